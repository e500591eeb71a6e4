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
	// forceTimeout is how long an operator waits for a change to be in force.
	forceTimeout = 8 * time.Second
	// governEvery is how often the leader looks for work of its own.
	governEvery = 100 * time.Millisecond
	// standingWord is how long a node's word that an endpoint stands still keeps
	// other nodes from it.
	standingWord = 500 * time.Millisecond
	// expireEvery is how often the ledger is swept.
	expireEvery = time.Minute
)

// reign is what a leader knows for one term; it is lost with the leadership.
type reign struct {
	term    id.Term
	started time.Time
	grants  *granter.Granter
	// limitsAt is the version whose contracts the grants keep to.
	limitsAt id.Version
	nodes    map[id.Node]*nodeState
	polls    map[id.Node]poll
	waits    []forceWait
	// ownIndex is the leader's own last proposal; no other follows until it is
	// applied, so that each decision sees the one before.
	ownIndex   id.Index
	governAt   time.Time
	expireAt   time.Time
	ordered    map[id.Host]time.Time
	brokenFrom map[id.Group]time.Time
	stopSince  map[id.Stop]time.Time
	// running sums the nodes' calls in progress by endpoint.
	running map[feed.Endpoint]int
	// formed is when a group's hosts were first ordered to join, and leftAt
	// when a host was first seen outside the group that was retired.
	formed map[id.Group]time.Time
	leftAt map[id.Host]time.Time
	// opened are the groups that were seen to take calls.
	opened map[id.Group]bool
	// idle is what was last said of the engines that are in no group, and idleAt
	// when.
	idle   string
	idleAt time.Time
	// engineOrders are the last orders to each engine.
	engineOrders map[id.Host]engineOrder
	// stallsAt is when a node last said that calls to an endpoint stand still.
	stallsAt map[feed.Endpoint]time.Time
	// undelivered is when an order last found no host at its address.
	undelivered map[id.Host]time.Time
	// stalls says that there is news of an endpoint that stands still, which
	// all nodes should hear at once.
	stalls bool
	// staging is when weights were ordered onto a spare host.
	staging map[id.Host]staging
	// dissolvedAt is when a group last made room.
	dissolvedAt time.Time
	// gathered counts the engines heard at the start, and gatheredAt is when
	// the last one was.
	gathered   int
	gatheredAt time.Time
	// loads are the latest starts of loads of weights.
	loads []time.Time
	// busy says that calls have been seen in this reign.
	busy bool
}

// nodeState is one node's last report.
type nodeState struct {
	incarnation id.Incarnation
	number      uint64
	version     id.Version
	running     map[feed.Endpoint]int
	calls       int
	drained     bool
	disk        bool
	// heard is when the node last asked.
	heard time.Time
	// answered is when the node last got a response. A request is held back no
	// longer than feed.Wait from then, so that a node that keeps asking out of
	// turn has its lease renewed all the same.
	answered time.Time
	// leaseBound is when the node's last lease has certainly run out.
	leaseBound time.Time
}

// poll is a request that is held back until there is news.
type poll struct {
	ticket  Ticket
	request feed.Request
	took    bool
	until   time.Time
}

// forceWait is a change that is accepted and not yet in force everywhere.
type forceWait struct {
	ticket Ticket
	result register.Result
	until  time.Time
}

func newReign(now time.Time, term id.Term, config Config) *reign {
	reign := &reign{
		term: term, started: now, grants: granter.New(now, leaseBound(feed.Lease)),
		nodes: map[id.Node]*nodeState{}, polls: map[id.Node]poll{},
		ordered: map[id.Host]time.Time{}, brokenFrom: map[id.Group]time.Time{},
		stopSince: map[id.Stop]time.Time{}, running: map[feed.Endpoint]int{},
		formed: map[id.Group]time.Time{}, leftAt: map[id.Host]time.Time{}, opened: map[id.Group]bool{},
		engineOrders: map[id.Host]engineOrder{}, stallsAt: map[feed.Endpoint]time.Time{}, staging: map[id.Host]staging{}, undelivered: map[id.Host]time.Time{},
	}
	// A node that hasn't been heard in this reign may hold a lease of the last.
	for _, node := range config.Nodes {
		reign.nodes[node] = &nodeState{leaseBound: now.Add(leaseBound(feed.Lease))}
	}
	return reign
}

// leaseBound lengthens a lease by what another clock may run slower.
func leaseBound(lease time.Duration) time.Duration {
	return lease + lease*driftPerMille/1000
}

func (controller *Controller) synced(now time.Time, actions *Actions, event FeedRequested) {
	request := event.Request
	if !controller.HoldsLeaderLease(now) {
		actions.Replies = append(actions.Replies, Reply{Ticket: event.Ticket, Redirect: controller.redirect()})
		return
	}
	reign := controller.reign
	node := reign.nodes[request.Node]
	if node == nil {
		node = &nodeState{}
		reign.nodes[request.Node] = node
	}
	if old := request.Incarnation < node.incarnation || (request.Incarnation == node.incarnation && request.Number <= node.number); old {
		actions.Replies = append(actions.Replies, Reply{Ticket: event.Ticket, Redirect: &feed.Redirect{Leader: controller.config.Self, Superseded: true}})
		return
	}
	took := controller.hear(now, request)
	node.incarnation, node.number, node.version = request.Incarnation, request.Number, request.Version
	reign.count(node.running, request.RunningByEndpoint)
	node.running, node.calls, node.drained = request.RunningByEndpoint, request.ActiveCalls, request.Drained
	node.disk, node.heard = request.HasDisk, now
	for _, endpoint := range request.Stalled {
		reign.stalls = reign.stalls || now.Sub(reign.stallsAt[endpoint]) >= standingWord
		reign.stallsAt[endpoint] = now
	}
	reign.busy = reign.busy || request.ActiveCalls > 0
	if held, ok := reign.polls[request.Node]; ok {
		// The node has given the older request up for this one.
		actions.Replies = append(actions.Replies, Reply{Ticket: held.ticket, Redirect: &feed.Redirect{Leader: controller.config.Self, Superseded: true}})
	}
	reign.polls[request.Node] = poll{ticket: event.Ticket, request: request, took: took, until: node.answered.Add(feed.LongPollTimeout)}
}

// count puts a node's calls in progress in the place of those it had before.
func (reign *reign) count(before, after map[feed.Endpoint]int) {
	for endpoint, calls := range before {
		reign.running[endpoint] -= calls
		if reign.running[endpoint] <= 0 {
			delete(reign.running, endpoint)
		}
	}
	for endpoint, calls := range after {
		reign.running[endpoint] += calls
	}
}

// elsewhere is what all nodes but one have in progress.
func (reign *reign) elsewhere(own map[feed.Endpoint]int) map[feed.Endpoint]int {
	others := make(map[feed.Endpoint]int, len(reign.running))
	for endpoint, calls := range reign.running {
		if rest := calls - own[endpoint]; rest > 0 {
			others[endpoint] = rest
		}
	}
	return others
}

// standing lists the endpoints that a node has lately said to stand still.
func (reign *reign) standing(now time.Time) []feed.Endpoint {
	var standing []feed.Endpoint
	for endpoint, at := range reign.stallsAt {
		if now.Sub(at) < standingWord {
			standing = append(standing, endpoint)
		}
	}
	slices.SortFunc(standing, feed.Endpoint.Compare)
	return standing
}

func (controller *Controller) redirect() *feed.Redirect {
	return &feed.Redirect{Leader: controller.Leader(), Voters: controller.quorum.Status().Membership.Voters}
}

// hear takes the announcements that a node passes on, as old as they may be.
func (controller *Controller) hear(now time.Time, request feed.Request) bool {
	age, ok := controller.clock.Age(now, request.Echo)
	if !ok {
		return false
	}
	for _, relayed := range request.Announcements {
		remaining := time.Duration(relayed.RemainingMS)*time.Millisecond - age
		controller.hosts.Merge(now, relayed.Announcement, now.Add(remaining))
	}
	return true
}

// answerNews answers each held request for which there is news, or whose wait
// is over, and each change that is in force by now.
func (controller *Controller) answerNews(now time.Time, actions *Actions) {
	reign := controller.reign
	if version := controller.register.Version(); version != reign.limitsAt {
		reign.limitsAt = version
		reign.grants.SetLimits(controller.limits())
	}
	pending := reign.grants.NodesToNotify(now)
	for _, name := range sortedKeys(reign.polls) {
		held := reign.polls[name]
		if reign.stalls || controller.hasNews(held, slices.Contains(pending, name)) || !now.Before(held.until) {
			delete(reign.polls, name)
			controller.respond(now, actions, held)
		}
	}
	reign.stalls = false
	reign.waits = slices.DeleteFunc(reign.waits, func(wait forceWait) bool {
		return controller.answerWait(now, actions, wait)
	})
}

func (controller *Controller) hasNews(held poll, regrant bool) bool {
	request := held.request
	own := feed.Epoch{Node: controller.config.Self, Incarnation: controller.config.Incarnation}
	return !held.took || regrant || request.Epoch != own || request.Version != controller.register.Version() ||
		request.Cursor < controller.hosts.UrgentCursor()
}

func (controller *Controller) respond(now time.Time, actions *Actions, held poll) {
	request := held.request
	own := feed.Epoch{Node: controller.config.Self, Incarnation: controller.config.Incarnation}
	cursor := request.Cursor
	if request.Epoch != own {
		cursor = 0
	}
	offer := controller.reign.grants.Allocate(now, granter.Request{Node: request.Node, HeldGrant: request.HeldGrant, Demand: request.Demand})
	relayed, renewals := controller.hosts.Since(now, cursor)
	response := &feed.Response{
		Number: request.Number, Leader: controller.config.Self, Term: controller.reign.term,
		Stamp: controller.clock.Stamp(now), AnnouncementsAccepted: held.took, LeaseMS: controller.config.lease().Milliseconds(),
		Delta: controller.register.Since(request.Version),
		Epoch: own, Cursor: controller.hosts.Cursor(), Roster: relayed, Renewals: renewals,
		Grant: offer, Share: controller.share(now, request),
		Voters: controller.quorum.Status().Membership.Voters,
	}
	node := controller.reign.nodes[request.Node]
	response.RunningElsewhere = controller.reign.elsewhere(node.running)
	response.Stalled = controller.reign.standing(now)
	node.answered, node.leaseBound = now, now.Add(leaseBound(feed.Lease))
	actions.Replies = append(actions.Replies, Reply{Ticket: held.ticket, Response: response})
}

// share is a node's part of the calls of all nodes. Each node counts for one
// call at least, so that one that is idle can begin.
func (controller *Controller) share(now time.Time, request feed.Request) float64 {
	total := 0
	for _, node := range controller.reign.nodes {
		if node.incarnation > 0 && now.Before(node.leaseBound) {
			total += 1 + node.calls
		}
	}
	own := 1 + request.ActiveCalls
	return float64(own) / float64(max(own, total))
}

// limits are the contracts in force as the granter wants them.
func (controller *Controller) limits() map[id.ClientAccount]granter.Quota {
	limits := map[id.ClientAccount]granter.Quota{}
	for _, record := range controller.register.Contracts() {
		if record.Retired {
			continue
		}
		limits[record.Contract.ClientAccount] = granter.Quota{
			RequestsPerSecond: float64(record.Contract.RequestsPerSecond),
			TokensPerSecond:   float64(record.Contract.TokensPerSecond),
			Concurrency:       float64(record.Contract.Concurrency),
		}
	}
	return limits
}

// lagging lists the nodes that may still act on a state before a version.
func (controller *Controller) lagging(now time.Time, version id.Version) []id.Node {
	var lagging []id.Node
	for _, name := range sortedKeys(controller.reign.nodes) {
		node := controller.reign.nodes[name]
		if node.version < version && now.Before(node.leaseBound) {
			lagging = append(lagging, name)
		}
	}
	return lagging
}

func (controller *Controller) answerWait(now time.Time, actions *Actions, wait forceWait) bool {
	lagging := controller.lagging(now, wait.result.Version)
	if len(lagging) > 0 && now.Before(wait.until) {
		return false
	}
	result := wait.result
	actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: wait.ticket, Result: &result, InForce: len(lagging) == 0, Lagging: lagging})
	return true
}
