package controller

import (
	"fmt"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

// replacementTimeout is how long a stop waits, before it drains a group, for a
// new group that can take its place.
const replacementTimeout = time.Minute

// planStop fills in the hosts and nodes that a stop covers, and refuses a stop that
// covers none. Unless the loss is accepted, it also refuses one that would leave
// too few voters or a contract's model without a group.
func (controller *Controller) planStop(now time.Time, stop register.CreateStop, acceptLoss bool) (register.CreateStop, *register.Result) {
	stop.IncarnationByHost, stop.IncarnationByNode = controller.inventory().HostsUnder(now, stop), map[id.Node]id.Incarnation{}
	if stop.Kind == register.TargetNode {
		if node := controller.leadership.stateByNode[id.Node(stop.Target)]; node != nil && node.incarnation > 0 {
			stop.IncarnationByNode[id.Node(stop.Target)] = node.incarnation
		}
	}
	if len(stop.IncarnationByHost)+len(stop.IncarnationByNode) == 0 {
		return stop, refusal("%s %s is not known or has nothing running; carobline status lists what is", stop.Kind, stop.Target)
	}
	if acceptLoss {
		return stop, nil
	}
	if problem := controller.checkQuorumLoss(now, stop); problem != nil {
		return stop, problem
	}
	if model, account, lost := controller.inventory().LostModel(now, stop.IncarnationByHost); lost {
		return stop, refusal("the stop leaves no group for model %s of customer %s; bring spare hosts, or accept the loss", model, account)
	}
	return stop, nil
}

func refusal(format string, arguments ...any) *register.Result {
	return &register.Result{Verdict: register.VerdictRefused, Reason: fmt.Sprintf(format, arguments...)}
}

// checkQuorumLoss refuses a stop of voters that leaves no majority of live
// voters which aren't stopping.
func (controller *Controller) checkQuorumLoss(now time.Time, stop register.CreateStop) *register.Result {
	voters := controller.quorum.Status().Membership.Voters
	leavingNodes := map[id.Node]bool{}
	for _, other := range controller.register.Stops() {
		for node, incarnation := range other.IncarnationByNode {
			if state := controller.leadership.stateByNode[node]; state == nil || state.incarnation <= incarnation {
				leavingNodes[node] = true
			}
		}
	}
	coversVoter := false
	for node := range stop.IncarnationByNode {
		leavingNodes[node] = true
		coversVoter = coversVoter || slices.Contains(voters, node)
	}
	remainingVoters := 0
	for _, voter := range voters {
		state := controller.leadership.stateByNode[voter]
		live := voter == controller.config.Self || (state != nil && state.incarnation > 0 && now.Before(state.leaseExpiryBound))
		if live && !leavingNodes[voter] {
			remainingVoters++
		}
	}
	if coversVoter && remainingVoters <= len(voters)/2 {
		return refusal("the stop leaves %d of %d voters, and no change could be accepted; wait for the others, or accept the loss", remainingVoters, len(voters))
	}
	return nil
}

// transferLeadershipIfStopping starts a transfer of the leadership while an
// unfinished stop covers this node. It reports whether there is such a stop.
func (controller *Controller) transferLeadershipIfStopping(now time.Time, actions *Actions) bool {
	for _, stop := range controller.register.Stops() {
		if !stop.Done && stop.IncarnationByNode[controller.config.Self] == controller.config.Incarnation && len(stop.IncarnationByNode) > 0 {
			controller.applyQuorumActions(now, actions, controller.quorum.Step(now, quorum.TransferLeadership{}))
			return true
		}
	}
	return false
}

// advanceStops proposes the next step of the first unfinished stop that has one
// to take. It reports whether it proposed a change.
func (controller *Controller) advanceStops(now time.Time, actions *Actions) bool {
	for _, stop := range controller.register.Stops() {
		if stop.Done {
			continue
		}
		if controller.drainStoppedGroups(now, actions, stop) {
			return true
		}
		if controller.stopComplete(now, stop) {
			controller.proposeAsLeader(now, actions, register.Command{FinishStop: &register.FinishStop{Stop: stop.Stop}})
			return true
		}
	}
	return false
}

// drainStoppedGroups drains the groups of a stop's hosts, and repairs or retires
// a drained group once no call runs on it. It reports whether it proposed a
// change.
func (controller *Controller) drainStoppedGroups(now time.Time, actions *Actions, stop register.StopRecord) bool {
	for _, group := range controller.register.Groups() {
		if group.Phase == register.PhaseRetired || !controller.inventory().Covers(group, stop.IncarnationByHost) {
			continue
		}
		if group.Phase == register.PhaseServing {
			if controller.awaitsReplacement(now, stop.Stop) {
				continue
			}
			controller.proposeAsLeader(now, actions, register.Command{DrainGroup: &register.DrainGroup{Group: group.Group, Base: group.Fencing}})
			return true
		}
		if !controller.endpointIdle(now, feed.Endpoint{Group: group.Group}, group.Hosts[0], group.Version) {
			continue
		}
		if controller.repairGroup(now, actions, group, controller.inventory().ToReplace(now, group)) {
			return true
		}
		controller.proposeAsLeader(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: group.Group, Base: group.Fencing}})
		return true
	}
	return false
}

// awaitsReplacement reports whether a stop should wait because hosts can form a
// new group or a group without missing hosts isn't ready yet, so that new capacity serves before
// the old is taken away. It waits no longer than replacementTimeout.
func (controller *Controller) awaitsReplacement(now time.Time, stop id.Stop) bool {
	waitingSince, ok := controller.leadership.replacementWaitSinceByStop[stop]
	if !ok {
		waitingSince = now
		controller.leadership.replacementWaitSinceByStop[stop] = waitingSince
	}
	if !now.Before(waitingSince.Add(replacementTimeout)) {
		return false
	}
	return controller.inventory().ReplacementsComing(now)
}

// endpointIdle reports whether no call runs on an endpoint and none can begin:
// each node that may take calls has the version in force and reports no call
// there, and the endpoint's own host reports none.
func (controller *Controller) endpointIdle(now time.Time, endpoint feed.Endpoint, host id.Host, version id.Version) bool {
	if controller.anyNodeLags(now, version) {
		return false
	}
	for _, node := range controller.leadership.stateByNode {
		if now.Before(node.leaseExpiryBound) && node.callsByEndpoint[endpoint] > 0 {
			return false
		}
	}
	member, ok := controller.roster.Member(host)
	if !ok || !now.Before(member.Expiry) {
		return true
	}
	load := member.Announcement.Load
	return load.Running == 0 && load.Queued == 0
}

// stopComplete reports whether nothing runs any more on the hosts, groups and
// nodes that a stop covers.
func (controller *Controller) stopComplete(now time.Time, stop register.StopRecord) bool {
	for _, group := range controller.register.Groups() {
		if group.Phase != register.PhaseRetired && controller.inventory().Covers(group, stop.IncarnationByHost) {
			return false
		}
	}
	for host := range stop.IncarnationByHost {
		if !controller.endpointIdle(now, feed.Endpoint{Host: host}, host, stop.Version) {
			return false
		}
	}
	for name, incarnation := range stop.IncarnationByNode {
		node := controller.leadership.stateByNode[name]
		ended := node == nil || node.incarnation > incarnation || !now.Before(node.leaseExpiryBound)
		if !ended && (!node.drained || name == controller.config.Self) {
			return false
		}
	}
	return true
}
