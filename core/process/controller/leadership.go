package controller

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/register"
)

const (
	// inForceTimeout is how long an operator's request waits until every node has
	// the change in force.
	inForceTimeout = 8 * time.Second
	// reconcileInterval is the time between two runs of the leader's reconciliation.
	reconcileInterval = 100 * time.Millisecond
	// stallBroadcastLifetime is how long the other nodes avoid an endpoint after
	// one node has reported that its calls there are stalled.
	stallBroadcastLifetime = 500 * time.Millisecond
	// callExpiryInterval is the time between two checks for expired call records.
	callExpiryInterval = time.Minute
)

// leadership is the leader's volatile state for one term. It isn't replicated
// and is discarded when the voter stops leading.
type leadership struct {
	term      id.Term
	startedAt time.Time
	granter   *granter.Granter
	// limitsVersion is the version whose contract limits the granter was given.
	limitsVersion id.Version
	stateByNode   map[id.Node]*nodeState
	pollByNode    map[id.Node]heldPoll
	inForceWaits  []inForceWait
	// ownProposalIndex is the log index of the leader's own last proposal. The
	// leader changes no groups until it is applied, so that each decision sees
	// the effects of those before.
	ownProposalIndex           id.Index
	nextReconcileAt            time.Time
	nextCallExpiryAt           time.Time
	lastOrderAtByHost          map[id.Host]time.Time
	brokenSinceByGroup         map[id.Group]time.Time
	replacementWaitSinceByStop map[id.Stop]time.Time
	// callsByEndpoint sums the calls in progress of all nodes.
	callsByEndpoint map[feed.Endpoint]int
	// joinStartedAtByGroup is when the hosts of a group were first considered for
	// an order to join. leftGroupAtByHost is when a host of a retired group was
	// first seen outside that group.
	joinStartedAtByGroup map[id.Group]time.Time
	leftGroupAtByHost    map[id.Host]time.Time
	// openedGroups holds the groups whose opening was already recorded as a
	// decision.
	openedGroups map[id.Group]bool
	// idleSummary is the last logged summary of the engines that are in no group,
	// and idleSummaryAt the time at which it was logged.
	idleSummary   string
	idleSummaryAt time.Time
	// lastEngineOrderByHost holds the last order sent to each engine.
	lastEngineOrderByHost map[id.Host]engineOrder
	// stallReportedAtByEndpoint is when a node last reported that its calls to an
	// endpoint are stalled.
	stallReportedAtByEndpoint map[feed.Endpoint]time.Time
	// undeliveredAtByHost is when an order last found no host at its address.
	undeliveredAtByHost map[id.Host]time.Time
	// newStallReported is set when a node reports a stalled endpoint that wasn't
	// reported within stallBroadcastLifetime. All held polls are then answered at
	// once.
	newStallReported bool
	// stagingByHost holds the orders to stage weights that are in progress.
	stagingByHost map[id.Host]staging
	// lastDissolvedAt is when a group was last retired in favour of another model.
	lastDissolvedAt time.Time
	// engineCount is the number of engines that discovery has seen, and
	// engineCountChangedAt the time at which that number last changed.
	engineCount          int
	engineCountChangedAt time.Time
	// loadStartTimes are the starts of loads from the weight store within the
	// last loadWindow.
	loadStartTimes []time.Time
	// callsSeen is set once a node has reported a call in this term.
	callsSeen bool
}

// nodeState is what the leader knows of one node from its last request.
type nodeState struct {
	incarnation     id.Incarnation
	requestNumber   uint64
	version         id.Version
	callsByEndpoint map[feed.Endpoint]int
	totalCalls      int
	drained         bool
	hasDisk         bool
	// lastRequestAt is when the node's last request arrived.
	lastRequestAt time.Time
	// lastResponseAt is when the leader last answered the node. A request is held
	// no longer than feed.LongPollTimeout from then, so that a node that keeps
	// replacing its pending request by a new one still has its lease renewed.
	lastResponseAt time.Time
	// leaseExpiryBound is the time by which the node's last lease has expired by
	// any clock within the assumed drift.
	leaseExpiryBound time.Time
}

// heldPoll is a node's long poll, which is held until there is an update for
// the node or its deadline passes.
type heldPoll struct {
	ticket                Ticket
	request               feed.Request
	announcementsAccepted bool
	deadline              time.Time
}

// inForceWait is an accepted change whose answer waits until every node has it
// in force or the deadline passes.
type inForceWait struct {
	ticket   Ticket
	result   register.Result
	deadline time.Time
}

func newLeadership(now time.Time, term id.Term, config Config) *leadership {
	leadership := &leadership{
		term: term, startedAt: now, granter: granter.New(now, leaseWithDrift(feed.Lease)),
		stateByNode: map[id.Node]*nodeState{}, pollByNode: map[id.Node]heldPoll{},
		lastOrderAtByHost: map[id.Host]time.Time{}, brokenSinceByGroup: map[id.Group]time.Time{},
		replacementWaitSinceByStop: map[id.Stop]time.Time{}, callsByEndpoint: map[feed.Endpoint]int{},
		joinStartedAtByGroup: map[id.Group]time.Time{}, leftGroupAtByHost: map[id.Host]time.Time{}, openedGroups: map[id.Group]bool{},
		lastEngineOrderByHost: map[id.Host]engineOrder{}, stallReportedAtByEndpoint: map[feed.Endpoint]time.Time{}, stagingByHost: map[id.Host]staging{}, undeliveredAtByHost: map[id.Host]time.Time{},
	}
	// A node that hasn't sent a request in this term may still hold a lease that
	// the previous leader granted.
	for _, node := range config.Nodes {
		leadership.stateByNode[node] = &nodeState{leaseExpiryBound: now.Add(leaseWithDrift(feed.Lease))}
	}
	return leadership
}

// leaseWithDrift lengthens a lease by the time that a slower clock may add to it.
func leaseWithDrift(lease time.Duration) time.Duration {
	return lease + lease*maxClockDriftPerMille/1000
}

// handleFeedRequest records a node's report and holds its request as a long poll.
// It redirects the node when this voter doesn't hold the leader's lease.
// It answers at once, as superseded, a request that isn't newer than the node's
// last one, and a held request that this one replaces.
func (controller *Controller) handleFeedRequest(now time.Time, actions *Actions, event FeedRequested) {
	request := event.Request
	if !controller.HoldsLeaderLease(now) {
		actions.Replies = append(actions.Replies, Reply{Ticket: event.Ticket, Redirect: controller.redirect()})
		return
	}
	leadership := controller.leadership
	node := leadership.stateByNode[request.Node]
	if node == nil {
		node = &nodeState{}
		leadership.stateByNode[request.Node] = node
	}
	if outdated := request.Incarnation < node.incarnation || (request.Incarnation == node.incarnation && request.Number <= node.requestNumber); outdated {
		actions.Replies = append(actions.Replies, Reply{Ticket: event.Ticket, Redirect: &feed.Redirect{Leader: controller.config.Self, Superseded: true}})
		return
	}
	announcementsAccepted := controller.acceptAnnouncements(now, request)
	node.incarnation, node.requestNumber, node.version = request.Incarnation, request.Number, request.Version
	leadership.updateNodeCalls(node.callsByEndpoint, request.RunningByEndpoint)
	node.callsByEndpoint, node.totalCalls, node.drained = request.RunningByEndpoint, request.ActiveCalls, request.Drained
	node.hasDisk, node.lastRequestAt = request.HasDisk, now
	for _, endpoint := range request.StalledEndpoints {
		leadership.newStallReported = leadership.newStallReported || now.Sub(leadership.stallReportedAtByEndpoint[endpoint]) >= stallBroadcastLifetime
		leadership.stallReportedAtByEndpoint[endpoint] = now
	}
	leadership.callsSeen = leadership.callsSeen || request.ActiveCalls > 0
	if held, ok := leadership.pollByNode[request.Node]; ok {
		// The node has replaced its older request by this one.
		controller.responses.Superseded++
		actions.Replies = append(actions.Replies, Reply{Ticket: held.ticket, Redirect: &feed.Redirect{Leader: controller.config.Self, Superseded: true}})
	}
	leadership.pollByNode[request.Node] = heldPoll{ticket: event.Ticket, request: request, announcementsAccepted: announcementsAccepted, deadline: node.lastResponseAt.Add(feed.LongPollTimeout)}
}

// updateNodeCalls replaces a node's previous calls in progress by its current
// ones in the sums over all nodes.
func (leadership *leadership) updateNodeCalls(before, after map[feed.Endpoint]int) {
	for endpoint, calls := range before {
		leadership.callsByEndpoint[endpoint] -= calls
		if leadership.callsByEndpoint[endpoint] <= 0 {
			delete(leadership.callsByEndpoint, endpoint)
		}
	}
	for endpoint, calls := range after {
		leadership.callsByEndpoint[endpoint] += calls
	}
}

// callsAtOtherNodes returns the calls in progress by endpoint at all nodes but
// the one whose calls are given.
func (leadership *leadership) callsAtOtherNodes(own map[feed.Endpoint]int) map[feed.Endpoint]int {
	callsByEndpoint := make(map[feed.Endpoint]int, len(leadership.callsByEndpoint))
	for endpoint, calls := range leadership.callsByEndpoint {
		if otherCalls := calls - own[endpoint]; otherCalls > 0 {
			callsByEndpoint[endpoint] = otherCalls
		}
	}
	return callsByEndpoint
}

// stalledEndpoints lists the endpoints that a node reported as stalled within
// stallBroadcastLifetime.
func (leadership *leadership) stalledEndpoints(now time.Time) []feed.Endpoint {
	var stalled []feed.Endpoint
	for endpoint, reportedAt := range leadership.stallReportedAtByEndpoint {
		if now.Sub(reportedAt) < stallBroadcastLifetime {
			stalled = append(stalled, endpoint)
		}
	}
	slices.SortFunc(stalled, feed.Endpoint.Compare)
	return stalled
}

func (controller *Controller) redirect() *feed.Redirect {
	return &feed.Redirect{Leader: controller.Leader(), Voters: controller.quorum.Status().Membership.Voters}
}

// acceptAnnouncements adds the host announcements that a node relays to the
// roster, with their leases shortened by the greatest possible age of the
// request. It returns false, and adds nothing, when that age is unknown because
// the echoed stamp isn't from this process.
func (controller *Controller) acceptAnnouncements(now time.Time, request feed.Request) bool {
	age, ok := controller.clock.Age(now, request.Echo)
	if !ok {
		return false
	}
	for _, relayed := range request.Announcements {
		remaining := time.Duration(relayed.RemainingMS)*time.Millisecond - age
		controller.roster.Merge(now, relayed.Announcement, now.Add(remaining))
	}
	return true
}

// answerPolls answers each held poll that has an update or has reached its
// deadline, and each accepted change that every node has in force or whose
// deadline has passed.
func (controller *Controller) answerPolls(now time.Time, actions *Actions) {
	leadership := controller.leadership
	if version := controller.register.Version(); version != leadership.limitsVersion {
		leadership.limitsVersion = version
		leadership.granter.SetLimits(controller.contractLimits())
	}
	nodesToNotify := leadership.granter.NodesToNotify(now)
	for _, node := range sortedKeys(leadership.pollByNode) {
		held := leadership.pollByNode[node]
		if leadership.newStallReported || controller.hasUpdate(held, slices.Contains(nodesToNotify, node)) || !now.Before(held.deadline) {
			delete(leadership.pollByNode, node)
			controller.respond(now, actions, held)
		}
	}
	leadership.newStallReported = false
	leadership.inForceWaits = slices.DeleteFunc(leadership.inForceWaits, func(wait inForceWait) bool {
		return controller.answerInForceWait(now, actions, wait)
	})
}

// hasUpdate reports whether a held poll must be answered before its deadline: the
// node needs a valid stamp, its quota changed, it doesn't know this leader's
// roster, or its version or an urgent announcement is out of date.
func (controller *Controller) hasUpdate(held heldPoll, quotaChanged bool) bool {
	request := held.request
	ownEpoch := feed.Epoch{Node: controller.config.Self, Incarnation: controller.config.Incarnation}
	return !held.announcementsAccepted || quotaChanged || request.Epoch != ownEpoch || request.Version != controller.register.Version() ||
		request.Cursor < controller.roster.UrgentCursor()
}

// respond answers a held poll and renews the node's lease.
func (controller *Controller) respond(now time.Time, actions *Actions, held heldPoll) {
	request := held.request
	ownEpoch := feed.Epoch{Node: controller.config.Self, Incarnation: controller.config.Incarnation}
	cursor := request.Cursor
	if request.Epoch != ownEpoch {
		cursor = 0
	}
	grant := controller.leadership.granter.Allocate(now, granter.Request{Node: request.Node, HeldGrant: request.HeldGrant, DemandByClientAccount: request.DemandByClientAccount})
	relayed, renewals := controller.roster.Since(now, cursor)
	response := &feed.Response{
		Number: request.Number, Leader: controller.config.Self, Term: controller.leadership.term,
		Stamp: controller.clock.Stamp(now), AnnouncementsAccepted: held.announcementsAccepted, LeaseMS: controller.config.lease().Milliseconds(),
		Delta: controller.register.Since(request.Version),
		Epoch: ownEpoch, Cursor: controller.roster.Cursor(), Roster: relayed, Renewals: renewals,
		Grant: grant, Share: controller.share(now, request),
		Voters: controller.quorum.Status().Membership.Voters,
	}
	node := controller.leadership.stateByNode[request.Node]
	response.RunningElsewhereByEndpoint = controller.leadership.callsAtOtherNodes(node.callsByEndpoint)
	response.StalledEndpoints = controller.leadership.stalledEndpoints(now)
	if response.Delta.Declared != nil {
		response.DeclaredAgeMS = now.Sub(controller.declaredAt).Milliseconds()
	}
	controller.responses.count(request, response)
	node.lastResponseAt, node.leaseExpiryBound = now, now.Add(leaseWithDrift(controller.config.lease()))
	actions.Replies = append(actions.Replies, Reply{Ticket: held.ticket, Response: response})
}

// share returns a node's part of the calls in progress at all nodes, from 0 to
// 1. Each node counts one call more than it has, so that the share of an idle
// node isn't zero and it can begin to take calls.
func (controller *Controller) share(now time.Time, request feed.Request) float64 {
	totalCalls := 0
	for _, node := range controller.leadership.stateByNode {
		if node.incarnation > 0 && now.Before(node.leaseExpiryBound) {
			totalCalls += 1 + node.totalCalls
		}
	}
	ownCalls := 1 + request.ActiveCalls
	return float64(ownCalls) / float64(max(ownCalls, totalCalls))
}

// contractLimits returns the limits of the contracts in force by client account.
func (controller *Controller) contractLimits() map[id.ClientAccount]granter.Quota {
	limitsByClientAccount := map[id.ClientAccount]granter.Quota{}
	for _, record := range controller.register.Contracts() {
		if record.Retired {
			continue
		}
		limitsByClientAccount[record.Contract.ClientAccount] = granter.Quota{
			RequestsPerSecond: float64(record.Contract.RequestsPerSecond),
			TokensPerSecond:   float64(record.Contract.TokensPerSecond),
			Concurrency:       float64(record.Contract.Concurrency),
		}
	}
	return limitsByClientAccount
}

// laggingNodes lists the nodes that may still act on a state older than the
// version: they haven't reported it, and their lease may not have expired.
func (controller *Controller) laggingNodes(now time.Time, version id.Version) []id.Node {
	var lagging []id.Node
	for _, name := range sortedKeys(controller.leadership.stateByNode) {
		node := controller.leadership.stateByNode[name]
		if node.version < version && now.Before(node.leaseExpiryBound) {
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
