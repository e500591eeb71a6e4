package controller

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

const (
	// promotionMaxLag is the greatest number of log entries that a learner may be
	// behind the leader to become a voter.
	promotionMaxLag = 16
	// firstDeclarationTimeout is how long a new leader refuses the first
	// declaration while there are fewer voters than the target.
	firstDeclarationTimeout = 6 * time.Second
)

// reconcileVoters proposes the next change of the set of voters, if one is due.
// It reports whether it did.
func (controller *Controller) reconcileVoters(now time.Time, actions *Actions) bool {
	if controller.config.TargetVoters == 0 {
		return false
	}
	statusBefore := controller.quorum.Status()
	next, reason, ok := electorate.Next(statusBefore.Membership, controller.voterCandidates(now, statusBefore.Membership), controller.config.TargetVoters)
	if !ok {
		return false
	}
	controller.applyQuorumActions(now, actions, controller.quorum.Step(now, quorum.Reconfigure{Membership: next}))
	if controller.quorum.Status().LastIndex == statusBefore.LastIndex {
		return false
	}
	controller.proposeAsLeader(now, actions, register.Command{RecordVoters: &register.RecordVoters{
		From: statusBefore.Membership.Voters, To: next.Voters, Reason: reason,
	}})
	return true
}

// voterCandidates lists the voters, the learners and the other nodes with a
// disk, each with the time since its last contact.
func (controller *Controller) voterCandidates(now time.Time, membership quorum.Membership) []electorate.Node {
	candidates := map[id.Node]bool{}
	for _, node := range membership.Voters {
		candidates[node] = true
	}
	for _, node := range membership.Learners {
		candidates[node] = true
	}
	for node, state := range controller.leadership.stateByNode {
		if state.hasDisk {
			candidates[node] = true
		}
	}
	var nodes []electorate.Node
	for _, node := range sortedKeys(candidates) {
		nodes = append(nodes, controller.voterCandidate(now, node))
	}
	return nodes
}

// voterCandidate returns what the leader holds of one voter, learner or node with a
// disk.
func (controller *Controller) voterCandidate(now time.Time, node id.Node) electorate.Node {
	if node == controller.config.Self {
		return electorate.Node{Node: node, CaughtUp: true}
	}
	// A new leader has had no contact with anyone yet, so the time without
	// contact counts from its start at the earliest.
	lastContactAt := controller.leadership.startedAt
	if state := controller.leadership.stateByNode[node]; state != nil && state.lastRequestAt.After(lastContactAt) {
		lastContactAt = state.lastRequestAt
	}
	progress, isMember := controller.quorum.Progress(node)
	if isMember && progress.AckedSendTime.After(lastContactAt) {
		lastContactAt = progress.AckedSendTime
	}
	return electorate.Node{Node: node, SinceLastContact: now.Sub(lastContactAt), CaughtUp: isMember && progress.Behind <= promotionMaxLag}
}

// mayAcceptDeclaration reports whether a declaration may be accepted. The first
// one waits until there are TargetVoters voters, so that an acknowledged
// declaration survives the loss of as many nodes as the target allows for.
// After firstDeclarationTimeout it is accepted all the same, since a small
// system may never have that many nodes.
func (controller *Controller) mayAcceptDeclaration(now time.Time) bool {
	if controller.register.Declared() != nil {
		return true
	}
	enoughVoters := len(controller.quorum.Status().Membership.Voters) >= controller.config.TargetVoters
	return enoughVoters || !now.Before(controller.leadership.startedAt.Add(firstDeclarationTimeout))
}
