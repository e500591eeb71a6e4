package controlload

import "carobline.dev/measure/process/report"

// Result is what a run saw.
type Result struct {
	Seconds []Second
	// KilledLeader is the index of the control host that was killed, or NoLeader.
	KilledLeader int
}

// Report reports the cores of the leader and of the other control hosts: while groups
// open, which is until as many are open as ever before the first engines fail, and in
// calm seconds, in which the same groups are open and the same host leads as before.
func (result *Result) Report(report *report.Report) {
	allOpen := result.firstWithAllGroups()
	result.reportPhase(report, "groups_open", func(index int) bool { return index <= allOpen })
	result.reportPhase(report, "calm", func(index int) bool {
		previous, second := &result.Seconds[index-1], &result.Seconds[index]
		return index > allOpen && previous.Leader == second.Leader && previous.Engines.OpenGroups == second.Engines.OpenGroups
	})
}

// firstWithAllGroups returns the index of the first second with as many open groups as
// there are in any second up to the first that was disturbed.
func (result *Result) firstWithAllGroups() int {
	first, most := 0, 0
	for index := range result.Seconds {
		if open := result.Seconds[index].Engines.OpenGroups; open > most {
			first, most = index, open
		}
		if result.Seconds[index].Disturbed {
			break
		}
	}
	return first
}

// reportPhase reports the seconds whose index matches, of those with a leader.
func (result *Result) reportPhase(report *report.Report, name string, matches func(index int) bool) {
	count, leaderSum, followerSum, leaderMost := 0, 0.0, 0.0, 0.0
	for index := 1; index < len(result.Seconds); index++ {
		if result.Seconds[index].Leader == NoLeader || !matches(index) {
			continue
		}
		leader, follower := result.Seconds[index].cores()
		count, leaderSum, followerSum, leaderMost = count+1, leaderSum+leader, followerSum+follower, max(leaderMost, leader)
	}
	report.Figure("control_"+name+"_seconds", float64(count), "s")
	if count == 0 {
		return
	}
	report.Figure("control_"+name+"_leader_mean", leaderSum/float64(count), "cores")
	report.Figure("control_"+name+"_leader_most", leaderMost, "cores")
	report.Figure("control_"+name+"_follower_mean", followerSum/float64(count), "cores")
}
