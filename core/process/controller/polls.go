package controller

import (
	"cmp"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/roster"
)

// minScanInterval is the least time between two looks at all held polls.
const minScanInterval = 10 * time.Millisecond

// pollInputs are what every node must get when it changes.
type pollInputs struct {
	version      id.Version
	urgentCursor uint64
	stallReports uint64
	grantsLeases bool
}

func (controller *Controller) pollInputs() pollInputs {
	return pollInputs{controller.register.Version(), controller.roster.UrgentCursor(roster.ScopeControl), controller.leadership.stalls.NewReports(), controller.leadership.departuresKnown}
}

// scanPolls looks at all held polls, if something that concerns all nodes has changed
// since it last did so, or if ticked is set. Else only arrived, the node whose poll has
// just come in, can have an update.
func (controller *Controller) scanPolls(now time.Time, actions *Actions, arrived id.Node, ticked bool) {
	leadership := controller.leadership
	changed := controller.pollInputs() != leadership.scannedInputs && now.Sub(leadership.scannedAt) >= minScanInterval
	if ticked || changed {
		controller.answerPolls(now, actions)
		return
	}
	if held, ok := leadership.pollByNode[arrived]; ok && controller.pollDue(now, held, false) && leadership.pacer.MayRespond(now, held.request.HasDisk) {
		controller.answer(now, actions, held)
	}
}

// answerPolls answers each held poll that is due, and each accepted change that every
// node has in force or whose deadline has passed.
func (controller *Controller) answerPolls(now time.Time, actions *Actions) {
	leadership := controller.leadership
	controller.updateDeparturesKnown()
	leadership.scannedAt, leadership.scannedInputs = now, controller.pollInputs()
	if version := controller.register.Version(); version != leadership.limitsVersion {
		leadership.limitsVersion = version
		leadership.granter.SetLimits(controller.contractLimits())
	}
	leadership.countNodes(now)
	for _, held := range controller.duePolls(now) {
		if leadership.pacer.MayRespond(now, held.request.HasDisk) {
			controller.answer(now, actions, held)
		}
	}
	leadership.inForceWaits = slices.DeleteFunc(leadership.inForceWaits, func(wait inForceWait) bool {
		return controller.answerInForceWait(now, actions, wait)
	})
}

// duePolls returns the held polls that are due, that of the node whose last response is the
// oldest first.
func (controller *Controller) duePolls(now time.Time) []heldPoll {
	leadership := controller.leadership
	nodesToNotify := leadership.granter.NodesToNotify(now)
	var due []heldPoll
	for node, held := range leadership.pollByNode {
		if _, quotaChanged := slices.BinarySearch(nodesToNotify, node); controller.pollDue(now, held, quotaChanged) {
			due = append(due, held)
		}
	}
	slices.SortFunc(due, func(a, b heldPoll) int {
		return cmp.Or(a.state.lastResponseAt.Compare(b.state.lastResponseAt), cmp.Compare(a.request.Node, b.request.Node))
	})
	return due
}

// countNodes counts the nodes that may act on a response, and their calls.
func (leadership *leadership) countNodes(now time.Time) {
	leadership.liveNodes, leadership.liveCalls = 0, 0
	for _, node := range leadership.stateByNode {
		if node.incarnation > 0 && now.Before(node.leaseExpiryBound) {
			leadership.liveNodes++
			leadership.liveCalls += node.totalCalls
		}
	}
	leadership.pacer.SetNodes(leadership.liveNodes)
}

// pollDue reports whether a poll has been held for long enough, or has an update if the
// last response to its node is long enough ago.
func (controller *Controller) pollDue(now time.Time, held heldPoll, quotaChanged bool) bool {
	leadership := controller.leadership
	sinceResponse := now.Sub(held.state.lastResponseAt)
	if !held.announcementsAccepted || sinceResponse >= leadership.pacer.HoldTime() {
		return true
	}
	return sinceResponse >= leadership.pacer.Pause() && (quotaChanged || controller.hasUpdate(held))
}

// answer answers a held poll.
func (controller *Controller) answer(now time.Time, actions *Actions, held heldPoll) {
	leadership := controller.leadership
	delete(leadership.pollByNode, held.request.Node)
	response := controller.respond(now, actions, held)
	leadership.pacer.Responded(now, response)
}

// hasUpdate reports whether a node doesn't have this leader's roster, or its version,
// an urgent announcement or a report of a stall is out of date, or what it awaits has
// come.
func (controller *Controller) hasUpdate(held heldPoll) bool {
	request := held.request
	return request.Epoch != controller.epoch() || request.Version != controller.register.Version() ||
		request.Cursor < controller.roster.UrgentCursor(roster.ScopeOf(request.HasDisk)) || held.stallReports < controller.leadership.stalls.NewReports() ||
		(held.withoutLease && controller.leadership.departuresKnown) || (request.AwaitedCursor > 0 && request.AwaitedCursor <= controller.majorityCursor())
}

// updateDeparturesKnown looks whether a majority of the voters has offered the
// departures that it holds. Each that was acknowledged is held by a majority, so that
// one of these holds it.
func (controller *Controller) updateDeparturesKnown() {
	if controller.leadership.departuresKnown {
		return
	}
	voters, offered := controller.quorum.Status().Membership.Voters, 0
	for _, voter := range voters {
		if node := controller.leadership.stateByNode[voter]; voter == controller.config.Self || (node != nil && node.offered) {
			offered++
		}
	}
	controller.leadership.departuresKnown = offered > len(voters)/2
}

// nodeLease returns the lease that a response grants: none while an acknowledged
// departure may be missing from the roster.
func (controller *Controller) nodeLease() time.Duration {
	if !controller.leadership.departuresKnown {
		return 0
	}
	return controller.config.lease()
}

// majorityCursor returns the cursor that a majority of the voters has reached.
func (controller *Controller) majorityCursor() uint64 {
	voters := controller.quorum.Status().Membership.Voters
	cursors := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		node := controller.leadership.stateByNode[voter]
		switch {
		case voter == controller.config.Self:
			cursors = append(cursors, controller.roster.Cursor())
		case node != nil:
			cursors = append(cursors, node.cursor)
		default:
			cursors = append(cursors, 0)
		}
	}
	slices.Sort(cursors)
	return cursors[(len(cursors)-1)/2]
}

// epoch identifies this leader's roster.
func (controller *Controller) epoch() feed.Epoch {
	return feed.Epoch{Node: controller.config.Self, Incarnation: controller.config.Incarnation}
}

// respond answers a held poll and renews the node's lease. It returns the response.
func (controller *Controller) respond(now time.Time, actions *Actions, held heldPoll) *feed.Response {
	request := held.request
	grant := controller.leadership.granter.Allocate(now, granter.Request{Node: request.Node, HeldGrant: request.HeldGrant, DemandByClientAccount: request.DemandByClientAccount})
	relayed, renewals := controller.rosterUpdate(now, request)
	response := &feed.Response{
		Number: request.Number, Leader: controller.config.Self, Term: controller.leadership.term,
		Stamp: controller.clock.Stamp(now), AnnouncementsAccepted: held.announcementsAccepted, LeaseMS: controller.nodeLease().Milliseconds(),
		Delta: controller.register.Since(request.Version),
		Epoch: controller.epoch(), Cursor: controller.roster.Cursor(), MajorityCursor: controller.majorityCursor(), Roster: relayed, Renewals: renewals,
		Grant: grant, Share: controller.leadership.share(request), HoldMS: controller.leadership.pacer.HoldTime().Milliseconds(),
		Voters: controller.quorum.Status().Membership.Voters, TakesCold: true, TakesOfferedWork: true,
	}
	controller.divideCold(now, actions)
	response.Cold = controller.leadership.coldRates.Grant(now, coldNode(&request))
	node := held.state
	response.RunningByEndpoint = controller.leadership.callSums.At(now)
	response.StalledEndpoints = controller.leadership.stalls.At(now)
	response.SuspectParts = controller.leadership.suspectParts(now, controller.register.Blocks().Blocks)
	if response.Delta.Declared != nil {
		response.DeclaredAgeMS = now.Sub(controller.declaredAt).Milliseconds()
	}
	controller.responses.count(request, response)
	node.withoutLease = response.LeaseMS == 0
	node.stallReports = controller.leadership.stalls.NewReports()
	node.lastResponseAt, node.leaseExpiryBound = now, now.Add(leaseWithDrift(controller.config.lease()))
	actions.Replies = append(actions.Replies, Reply{Ticket: held.ticket, Response: response})
	return response
}

// rosterUpdate returns what a node lacks of this leader's roster.
func (controller *Controller) rosterUpdate(now time.Time, request feed.Request) ([]roster.RelayedAnnouncement, []roster.Renewal) {
	if request.Epoch != controller.epoch() {
		return controller.roster.Missing(now, request.RosterDigest, roster.ScopeOf(request.HasDisk)), nil
	}
	return controller.roster.Since(now, request.Cursor, roster.ScopeOf(request.HasDisk))
}

// share returns a node's part of the calls in progress at all nodes, from 0 to
// 1. Each node counts one call more than it has, so that the share of an idle
// node isn't zero and it can begin to take calls.
func (leadership *leadership) share(request feed.Request) float64 {
	ownCalls := 1 + request.ActiveCalls
	return float64(ownCalls) / float64(max(ownCalls, leadership.liveNodes+leadership.liveCalls))
}

// anyNodeLags reports whether laggingNodes lists any node.
func (controller *Controller) anyNodeLags(now time.Time, version id.Version) bool {
	for _, node := range controller.leadership.stateByNode {
		if node.lags(now, version) {
			return true
		}
	}
	return false
}

// lags reports whether the node may still act on a state older than the version: it hasn't
// reported it, and its lease may not have expired.
func (node *nodeState) lags(now time.Time, version id.Version) bool {
	return node.version < version && now.Before(node.leaseExpiryBound)
}

// laggingNodes lists the nodes that lag behind the version, sorted by name.
func (controller *Controller) laggingNodes(now time.Time, version id.Version) []id.Node {
	var lagging []id.Node
	for _, name := range sortedKeys(controller.leadership.stateByNode) {
		if controller.leadership.stateByNode[name].lags(now, version) {
			lagging = append(lagging, name)
		}
	}
	return lagging
}

// answerInForceWait answers an accepted change once no node lags behind it or its
// deadline has passed. It reports whether it answered.
func (controller *Controller) answerInForceWait(now time.Time, actions *Actions, wait inForceWait) bool {
	lagging := controller.laggingNodes(now, wait.result.Version)
	if len(lagging) > 0 && now.Before(wait.deadline) {
		return false
	}
	result := wait.result
	actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: wait.ticket, Result: &result, InForce: len(lagging) == 0, Lagging: lagging})
	return true
}
