package control

import (
	"time"

	"carobline.dev/caroblined/process/run"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/runs"
)

// runsCheckInterval is the time between two looks for nodes that report no more.
const runsCheckInterval = time.Second

// leadsRuns reports whether this node leads, and so gets the reports of all nodes. What it
// holds of their runs is dropped when it stops leading, since another one gets them then.
func (control *Control) leadsRuns(now time.Time) bool {
	if control.voter == nil || !control.voter.HoldsLeaderLease(now) {
		control.runs = nil
		return false
	}
	if control.runs == nil {
		control.runs = runs.New()
	}
	return true
}

// observeRun records, on the leader, what a node reports about its run. It returns the run before
// it if the node has to be informed that this has ended without a stop, and logs that once.
func (control *Control) observeRun(now time.Time, request *feed.Request) *feed.EndedRun {
	if !control.leadsRuns(now) {
		return nil
	}
	former, isNew := control.runs.Report(now, request)
	if isNew {
		run.Describe(control.config.Log.Warn().Str("step", "ended_without_stop").Str("peer", string(request.Node)), &former.Last).
			Int64("gap_ms", former.GapMS).Msg("the run before this one of the node ended without a stop")
	}
	return former
}

// checkRuns logs, on the leader, each node that has stopped reporting and gave no notice of a stop.
func (control *Control) checkRuns(now time.Time) {
	if now.Sub(control.runsCheckedAt) < runsCheckInterval {
		return
	}
	control.runsCheckedAt = now
	if !control.leadsRuns(now) {
		return
	}
	for _, lost := range control.runs.Lost(now) {
		run.Describe(control.config.Log.Warn().Str("step", "node_lost").Str("peer", string(lost.Node)).Int64("age_ms", lost.Age.Milliseconds()), &lost.Last).
			Msg("the node has stopped reporting and gave no notice of a stop")
	}
}

// noteStopReported records that the leader has answered a request of this node, if that states
// that the node stops.
func (control *Control) noteStopReported(request *feed.Request) {
	if request.Run != nil && request.Run.Stopping {
		control.stopReported.Store(true)
	}
}

// StopReported reports whether the leader has answered a request which states that this node
// stops. It may be called from any goroutine.
func (control *Control) StopReported() bool { return control.stopReported.Load() }
