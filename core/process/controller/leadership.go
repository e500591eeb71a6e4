package controller

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/callsums"
	"carobline.dev/core/process/coldrates"
	"carobline.dev/core/process/crashes"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/fleet"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/pacer"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/stalls"
)

const (
	// inForceTimeout is how long an operator's request waits until every node has
	// the change in force.
	inForceTimeout = 8 * time.Second
	// reconcileInterval is the time between two runs of the leader's reconciliation,
	// and urgentReconcileInterval the least time when there is something new to act on.
	reconcileInterval       = 100 * time.Millisecond
	urgentReconcileInterval = 20 * time.Millisecond
	// callExpiryInterval is the time between two checks for expired call records.
	callExpiryInterval = time.Minute
	// suspectsInterval is how old the suspect parts of prompts in a response may be.
	suspectsInterval = 100 * time.Millisecond
)

// leadership is the leader's volatile state for one term. It isn't replicated
// and is discarded when the voter stops leading.
type leadership struct {
	term      id.Term
	startedAt time.Time
	granter   *granter.Granter
	// fleet decides on the groups of engines.
	fleet *fleet.Fleet
	// limitsVersion is the version whose contract limits the granter was given.
	limitsVersion id.Version
	stateByNode   map[id.Node]*nodeState
	pollByNode    map[id.Node]heldPoll
	inForceWaits  []inForceWait
	// ownProposalIndex is the log index of the leader's own last proposal. The
	// leader changes no groups until it is applied, so that each decision sees
	// the effects of those before.
	ownProposalIndex id.Index
	// reconciledAt is when the leader last reconciled, and reconciledInputs what it
	// acted on.
	reconciledAt               time.Time
	reconciledInputs           reconcileInputs
	nextCallExpiryAt           time.Time
	lastOrderAtByHost          map[id.Host]time.Time
	brokenSinceByGroup         map[id.Group]time.Time
	replacementWaitSinceByStop map[id.Stop]time.Time
	// callSums are the calls in progress of all nodes.
	callSums *callsums.CallSums
	// stalls are the endpoints that nodes report as stalled.
	stalls *stalls.Stalls
	// scannedAt is when all held polls were last looked at, and scannedInputs what
	// concerned all nodes then. liveNodes and liveCalls count the nodes with a lease, and
	// their calls, at that time.
	scannedAt     time.Time
	scannedInputs pollInputs
	liveNodes     int
	liveCalls     int
	// pacer spaces the responses.
	pacer pacer.Pacer
	// departuresKnown is set once a majority of the voters has offered the departures
	// that it has. Before, the roster may lack some that were acknowledged.
	departuresKnown bool
	// crashes decides which parts of prompts are blocked. blocksProposalIndex is the log
	// index of its last change.
	crashes             *crashes.Crashes
	blocksProposalIndex id.Index
	// suspects are the parts that responses list as suspect, as of suspectsTakenAt.
	suspects        []id.PromptPart
	suspectsTakenAt time.Time
	// coldRates divides the requests to cold endpoints, last at coldDividedAt and by the roster
	// at coldDividedCursor.
	coldRates         *coldrates.Rates
	coldDividedAt     time.Time
	coldDividedCursor uint64
}

// nodeState is what the leader holds of one node from its last request.
type nodeState struct {
	incarnation   id.Incarnation
	requestNumber uint64
	version       id.Version
	// cursor is the position in this leader's roster that the node has reached.
	cursor uint64
	// offered is set once the node has offered this leader the departures that it
	// has.
	offered         bool
	callsByEndpoint map[feed.Endpoint]int
	totalCalls      int
	drained         bool
	hasDisk         bool
	// lastRequestAt is when the node's last request arrived.
	lastRequestAt time.Time
	// lastResponseAt is when the leader last answered the node. How long a request
	// is held counts from then, so that a node that keeps replacing its pending
	// request by a new one still has its lease renewed.
	lastResponseAt time.Time
	// stallReports is the number of new reports of stalls at that time, and
	// withoutLease is set if that response granted no lease.
	stallReports uint64
	withoutLease bool
	// leaseExpiryBound is the time by which the node's last lease has expired by
	// any clock within the assumed drift.
	leaseExpiryBound time.Time
}

// heldPoll is a node's long poll, which is held until there is an update for
// the node, or for holdTime.
type heldPoll struct {
	ticket  Ticket
	request feed.Request
	// state is that of the node.
	state                 *nodeState
	announcementsAccepted bool
	// stallReports is the number of new reports of stalls at the last response to the node,
	// and withoutLease is set if it was granted no lease.
	stallReports uint64
	withoutLease bool
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
		replacementWaitSinceByStop: map[id.Stop]time.Time{}, callSums: callsums.New(),
		stalls: stalls.New(), crashes: crashes.New(), coldRates: coldrates.New(now, leaseWithDrift(feed.Lease)),
		fleet: fleet.New(now, fleet.Config{Term: term, EngineStallTimeout: config.EngineStallTimeout}),
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
	node.incarnation, node.requestNumber, node.version, node.cursor = request.Incarnation, request.Number, request.Version, 0
	if request.Epoch == controller.epoch() {
		node.cursor = request.Cursor
		node.offered = node.offered || announcementsAccepted
	}
	leadership.callSums.Replace(node.callsByEndpoint, request.RunningByEndpoint)
	node.callsByEndpoint, node.totalCalls, node.drained = request.RunningByEndpoint, request.ActiveCalls, request.Drained
	node.hasDisk, node.lastRequestAt = request.HasDisk, now
	leadership.coldRates.Report(now, coldNode(&request), request.LimitsCold)
	for _, endpoint := range request.StalledEndpoints {
		leadership.stalls.Report(now, endpoint)
		leadership.fleet.Step(now, fleet.StallReported{Group: endpoint.Group})
	}
	if request.ActiveCalls > 0 {
		leadership.fleet.Step(now, fleet.CallReported{})
	}
	leadership.fleet.Step(now, fleet.WorkOffered{Node: request.Node, Incarnation: request.Incarnation, Work: request.OfferedWork})
	controller.recordCrashes(now, actions, &request)
	if held, ok := leadership.pollByNode[request.Node]; ok {
		// The node has replaced its older request by this one.
		controller.responses.Superseded++
		actions.Replies = append(actions.Replies, Reply{Ticket: held.ticket, Redirect: &feed.Redirect{
			Leader: controller.config.Self, Superseded: true, AnnouncementsAccepted: held.announcementsAccepted,
		}})
	}
	leadership.pollByNode[request.Node] = heldPoll{ticket: event.Ticket, request: request, state: node, announcementsAccepted: announcementsAccepted, stallReports: node.stallReports, withoutLease: node.withoutLease}
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
