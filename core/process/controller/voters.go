package controller

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

const (
	// caughtUpEntries is how far behind a learner may be to vote.
	caughtUpEntries = 16
	// foundingPatience is how long the first declaration waits for voters.
	foundingPatience = 6 * time.Second
)

// governVoters changes who votes when a change is due; it tells whether it did.
func (controller *Controller) governVoters(now time.Time, actions *Actions) bool {
	if controller.config.TargetVoters == 0 {
		return false
	}
	before := controller.quorum.Status()
	next, reason, ok := electorate.Next(before.Membership, controller.electors(now, before.Membership), controller.config.TargetVoters)
	if !ok {
		return false
	}
	controller.absorb(now, actions, controller.quorum.Step(now, quorum.Reconfigure{Membership: next}))
	if controller.quorum.Status().LastIndex == before.LastIndex {
		return false
	}
	controller.proposeOwn(now, actions, register.Command{RecordVoters: &register.RecordVoters{
		From: before.Membership.Voters, To: next.Voters, Reason: reason,
	}})
	return true
}

// electors lists the nodes that vote or could, with how long each was silent.
func (controller *Controller) electors(now time.Time, membership quorum.Membership) []electorate.Node {
	asked := map[id.Node]bool{}
	for _, node := range membership.Voters {
		asked[node] = true
	}
	for _, node := range membership.Learners {
		asked[node] = true
	}
	for node, state := range controller.reign.nodes {
		if state.disk {
			asked[node] = true
		}
	}
	var nodes []electorate.Node
	for _, node := range sortedKeys(asked) {
		nodes = append(nodes, controller.elector(now, node))
	}
	return nodes
}

func (controller *Controller) elector(now time.Time, node id.Node) electorate.Node {
	if node == controller.config.Self {
		return electorate.Node{Node: node, CaughtUp: true}
	}
	// A leader that is new has heard nobody yet and holds that against nobody.
	last := controller.reign.started
	if state := controller.reign.nodes[node]; state != nil && state.heard.After(last) {
		last = state.heard
	}
	progress, member := controller.quorum.Progress(node)
	if member && progress.Acked.After(last) {
		last = progress.Acked
	}
	return electorate.Node{Node: node, SinceLastContact: now.Sub(last), CaughtUp: member && progress.Behind <= caughtUpEntries}
}

// bearsLosses tells whether a first declaration may be accepted: only once as
// many vote as bear the losses that are asked for, so that what is acknowledged
// outlives them. A system that never gets so many nodes goes on without.
func (controller *Controller) bearsLosses(now time.Time) bool {
	if controller.register.Declared() != nil {
		return true
	}
	enough := len(controller.quorum.Status().Membership.Voters) >= controller.config.TargetVoters
	return enough || !now.Before(controller.reign.started.Add(foundingPatience))
}
