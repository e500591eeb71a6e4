// Package member is the state machine by which one node follows the replicated
// state. It exchanges reports for deltas with the leader, merges the announcements
// of hosts, and builds the view that the request path uses.
//
// # Usage
//
//	node := member.New(now, config, hosts)
//	actions := node.Step(now, member.Announced{Announcement: a, Echo: echo})
//	actions = node.Tick(now)
//	if actions.Changed { views.Store(node.View(now)) }
package member

import (
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// responseSlack is added to the time for which a leader holds a request back.
	// After that a response is overdue: the node asks another voter who leads. A
	// response that comes later is still used.
	responseSlack = 100 * time.Millisecond
	// overdueRetryFactor times that time is how long a node that owes a response
	// isn't asked again, so that requests to a busy leader don't multiply.
	overdueRetryFactor = 2
	// overdueProbeInterval is the time until yet another voter is asked meanwhile.
	overdueProbeInterval = 150 * time.Millisecond
	// failuresToRotate is how many requests in a row may fail before a node sends
	// to another voter.
	failuresToRotate = 2
	// voterRetryDelay is the delay before the first request to another voter.
	voterRetryDelay = 50 * time.Millisecond
	// minSendInterval is the shortest time between two requests, and the delay
	// after a failed one.
	minSendInterval = 20 * time.Millisecond
	// quotaRequestInterval is the shortest time between two requests that are sent
	// at once because demand exceeds the node's quota.
	quotaRequestInterval = 50 * time.Millisecond
	// leaderContactTimeout is how long after the leader's last response a node counts as
	// cut off from it. An election takes less in most cases.
	leaderContactTimeout = 800 * time.Millisecond
	// firstContactTime is how long after its start a node needn't have received
	// anything from a leader: the voters may elect the first one.
	firstContactTime = 3 * time.Second
	// workReportInterval is the least time between two reports of the offered work. It is
	// smoothed over seconds, and each request may cross to another data centre.
	workReportInterval = 500 * time.Millisecond
	// rosterPruneInterval is how often hosts that have long been dead are dropped
	// from the roster.
	rosterPruneInterval = time.Minute
	// viewRefreshInterval is the shortest time between two views if only leases
	// and loads have changed.
	viewRefreshInterval = 50 * time.Millisecond
)

// Config holds the settings of a node, which don't change while it runs.
type Config struct {
	Self        id.Node
	Incarnation id.Incarnation
	// Voters are the nodes that may lead, as known at the start.
	Voters []id.Node
	// HasDisk is true if the node has a disk for the log and could become a voter.
	HasDisk bool
	// ControlOnly is true if the node forwards no calls. Its views hold no endpoints.
	ControlOnly bool
}

// Member is the state machine of one node. It reads no clock and sends nothing
// itself. It isn't safe for concurrent use.
type Member struct {
	config Config
	clock  *clock.Clock
	hosts  *roster.Roster

	// voters are the nodes that may lead: those of the leader's last response and
	// those discovered since.
	voters       []id.Node
	version      id.Version
	declaration  *register.DeclarationRecord
	routingTable *routing.Table
	// routingDelay is how long after the leader's use of the declaration this node
	// began to use it, at most.
	routingDelay            time.Duration
	counts                  counts
	stalledEndpoints        []feed.Endpoint
	contractByClientAccount map[id.ClientAccount]register.ContractRecord
	stopByID                map[id.Stop]register.StopRecord
	groupByID               map[id.Group]register.GroupRecord
	// leaseRenewedAt is when the lease that ends at leaseUntil began.
	leaseRenewedAt time.Time
	leaseUntil     time.Time

	grant granter.Grant
	// holdTime is how long the leader holds requests back, as it last stated.
	holdTime time.Duration
	usage    UsageReported
	// unacceptedByHost holds the announcements that the leader hasn't accepted
	// yet.
	unacceptedByHost map[id.Host]roster.Announcement
	// awaitedCursorByHost holds the leader's cursors that a majority of the voters
	// must reach before departures that the leader has accepted count as known.
	awaitedCursorByHost map[id.Host]uint64
	// sendAtOnce is true if the next request shouldn't wait for the response to
	// the last one.
	sendAtOnce bool
	leader     id.Node
	// takesRuns is the last leader that has stated that it does, see feed.Response.
	takesRuns id.Node
	// takesColdLeader is the last leader that has stated that it takes cold times.
	takesColdLeader id.Node
	// takesOfferedWork is the same for Request.OfferedWork.
	takesOfferedWork id.Node
	// workReportedAt is when Request.OfferedWork was last sent.
	workReportedAt      time.Time
	voterIndex          int
	consecutiveFailures int
	quotaRequestedAt    time.Time
	rosterPrunedAt      time.Time
	// contactAt is when the request was sent that the leader answered last, and before
	// the first answer firstContactTime after the start.
	contactAt time.Time
	// leaderStamp was received at leaderStampAt.
	leaderStamp   clock.Stamp
	leaderStampAt time.Time
	// rosterEpoch and rosterCursor are the position up to which this node has the
	// leader's roster.
	rosterEpoch  feed.Epoch
	rosterCursor uint64
	// lastNumber is the number of the last request sent, lastProcessedNumber that
	// of the last one whose response was processed.
	lastNumber          uint64
	lastProcessedNumber uint64
	// inFlightByNumber holds the requests without an answer.
	inFlightByNumber map[uint64]*inFlight
	// nextSendAt is the earliest time for the next request.
	nextSendAt time.Time
	// viewStale is true if anything has changed since the view was last built.
	viewStale   bool
	viewBuiltAt time.Time
	builtFrom   viewInputs
	exchanges   ExchangeStats
	// blocks and suspectParts are those that the leader last sent.
	blocks       register.PartsBlocks
	suspectParts []id.PromptPart
	crashQueue   crashQueue
	// evacuations are those that the leader last sent.
	evacuations     register.Evacuations
	coldAllocations coldAllocations
}

// New returns the state machine of a node that has no state yet. The roster may be
// shared with the controller of the same process.
func New(now time.Time, config Config, hosts *roster.Roster) *Member {
	return &Member{
		config:                  config,
		voters:                  slices.Clone(config.Voters),
		contactAt:               now.Add(firstContactTime),
		clock:                   clock.New(now, config.Self, config.Incarnation),
		hosts:                   hosts,
		contractByClientAccount: map[id.ClientAccount]register.ContractRecord{},
		stopByID:                map[id.Stop]register.StopRecord{},
		groupByID:               map[id.Group]register.GroupRecord{},
		unacceptedByHost:        map[id.Host]roster.Announcement{},
		awaitedCursorByHost:     map[id.Host]uint64{},
		inFlightByNumber:        map[uint64]*inFlight{},
	}
}

// Step handles one event and returns what the caller must do.
func (member *Member) Step(now time.Time, event Event) Actions {
	var actions Actions
	switch event := event.(type) {
	case Announced:
		actions = member.handleAnnounced(now, event)
	case AnnouncedWithoutEcho:
		member.queueAnnouncement(event.Announcement, member.hosts.Merge(now, event.Announcement, now.Add(event.Announcement.Lease())))
		if event.Announcement.Leaving {
			member.queueDeparture(event.Announcement.Host)
		}
	case Departed:
		member.handleDeparted(now, event)
	case NodesDiscovered:
		member.addVoters(event.Nodes)
	case Responded:
		member.handleResponse(now, event.Response)
	case Redirected:
		member.handleRedirect(now, event)
	case Failed:
		member.handleFailure(now, event.Number)
	case UsageReported:
		member.handleUsage(now, event)
	}
	actions.Send = member.nextRequest(now)
	actions.Changed = member.viewDue(now)
	return actions
}

// viewInputs are what the view must never lag behind: the facts of hosts that calls
// depend on, the version of the state, the grant, and what is allocated of cold endpoints. Once a grant is acknowledged the leader no
// longer counts the one before it.
type viewInputs struct {
	urgentCursor uint64
	version      id.Version
	grantSerial  granter.Serial
	coldChanges  uint64
}

// viewDue reports whether the view must be rebuilt: at once if its inputs changed,
// and for any other change once the view is viewRefreshInterval old. If so, it
// records the view as rebuilt.
func (member *Member) viewDue(now time.Time) bool {
	current := viewInputs{member.hosts.UrgentCursor(roster.ScopeEntry), member.version, member.grant.Serial, member.coldAllocations.changes}
	if current == member.builtFrom && (!member.viewStale || now.Sub(member.viewBuiltAt) < viewRefreshInterval) {
		return false
	}
	member.viewStale, member.viewBuiltAt, member.builtFrom = false, now, current
	return true
}

// Tick handles timeouts and periodic work. The caller must call it regularly.
func (member *Member) Tick(now time.Time) Actions {
	member.markOverdue(now)
	if now.Sub(member.rosterPrunedAt) >= rosterPruneInterval {
		member.rosterPrunedAt = now
		member.hosts.Tick(now)
	}
	return Actions{Send: member.nextRequest(now), Changed: member.viewDue(now)}
}

// Version returns the version of the state that the node has applied.
func (member *Member) Version() id.Version { return member.version }

// LeaseUntil returns the end of the lease under which the node may accept new
// work.
func (member *Member) LeaseUntil() time.Time { return member.leaseUntil }

// Leader returns the node that is taken to lead: the one that last responded as
// the leader or that a redirect named, or else the voter that is tried next. It is
// empty before the first request.
func (member *Member) Leader() id.Node { return member.leader }

// handleAnnounced merges an announcement if the echo bounds its age, which is taken
// off its lease; otherwise it asks the host to resend it with the new stamp.
func (member *Member) handleAnnounced(now time.Time, event Announced) Actions {
	reply := &AnnouncementReply{Stamp: member.clock.Stamp(now)}
	age, ok := member.clock.Age(now, event.Echo)
	if !ok {
		reply.Resend = true
		return Actions{AnnouncementReply: reply}
	}
	expiry := now.Add(event.Announcement.Lease() - age)
	member.queueAnnouncement(event.Announcement, member.hosts.Merge(now, event.Announcement, expiry))
	return Actions{AnnouncementReply: reply}
}

// queueAnnouncement queues an announcement for the leader, unless the roster
// dropped it as old.
func (member *Member) queueAnnouncement(announcement roster.Announcement, change roster.Change) {
	if change == roster.ChangeNone {
		return
	}
	member.unacceptedByHost[announcement.Host] = announcement
	member.sendAtOnce = member.sendAtOnce || change == roster.ChangeUrgent
	member.viewStale = true
}

// handleDeparted marks a host as leaving. It ignores a host that isn't known or
// that is known by another incarnation: neither runs work of the departed
// incarnation.
func (member *Member) handleDeparted(now time.Time, event Departed) {
	known, ok := member.hosts.Member(event.Host)
	if !ok || (event.Incarnation != 0 && event.Incarnation != known.Announcement.Incarnation) {
		return
	}
	announcement := known.Announcement
	announcement.Leaving = true
	announcement.Sequence++
	member.queueAnnouncement(announcement, member.hosts.Merge(now, announcement, now.Add(announcement.Lease())))
	member.queueDeparture(event.Host)
}

// queueDeparture queues a departure for the leader also where this node had learnt of it
// before, as a majority of the voters may not have.
func (member *Member) queueDeparture(host id.Host) {
	known, ok := member.hosts.Member(host)
	if !ok || !known.Announcement.Leaving {
		return
	}
	member.unacceptedByHost[host] = known.Announcement
	member.sendAtOnce = true
}

// Knows reports whether the node has learnt of an incarnation of a host, or of a later
// one. Incarnation 0 stands for any.
func (member *Member) Knows(host id.Host, incarnation id.Incarnation) bool {
	known, ok := member.hosts.Member(host)
	return ok && known.Announcement.Incarnation >= incarnation
}

// Accepted reports whether the leader has all that a host announced to this node, and
// whether a departure survives the loss of the leader.
func (member *Member) Accepted(host id.Host) bool {
	_, unaccepted := member.unacceptedByHost[host]
	_, awaited := member.awaitedCursorByHost[host]
	return !unaccepted && !awaited
}

// ReachesLeader reports whether the leader has answered this node lately, so that what
// a host announces here soon reaches it. For firstContactTime after its start a node is
// taken to, since the whole system may only just be starting.
func (member *Member) ReachesLeader(now time.Time) bool {
	return now.Sub(member.contactAt) < leaderContactTimeout
}

// scope returns the part of the roster that this node gets from the leader.
func (member *Member) scope() roster.Scope { return roster.ScopeOf(member.config.HasDisk) }

// addVoters adds nodes that may know the leader, so that a node that can no longer
// reach any node it knew finds the cluster again.
func (member *Member) addVoters(nodes []id.Node) {
	for _, node := range nodes {
		if !slices.Contains(member.voters, node) {
			member.voters = append(member.voters, node)
		}
	}
}

// Voters returns the nodes that may lead: those of the leader's last response and
// those discovered since.
func (member *Member) Voters() []id.Node { return slices.Clone(member.voters) }

// applyDelta applies a delta; records that are older than the node's are skipped.
// It returns false for a delta that ends before the node's version or starts after
// it.
func (member *Member) applyDelta(delta register.Delta) bool {
	if delta.To < member.version || (!delta.Full && delta.From > member.version) {
		return false
	}
	if delta.To == member.version {
		return true
	}
	if delta.Full {
		clear(member.contractByClientAccount)
		clear(member.stopByID)
		clear(member.groupByID)
		member.blocks, member.evacuations = register.PartsBlocks{}, register.Evacuations{}
	}
	for _, record := range delta.Contracts {
		if record.Version > member.contractByClientAccount[record.Contract.ClientAccount].Version {
			member.contractByClientAccount[record.Contract.ClientAccount] = record
		}
	}
	for _, record := range delta.Stops {
		if record.Version > member.stopByID[record.Stop].Version {
			member.stopByID[record.Stop] = record
		}
	}
	for _, record := range delta.Groups {
		if record.Version > member.groupByID[record.Group].Version {
			member.groupByID[record.Group] = record
		}
	}
	if delta.Declared != nil {
		member.applyDeclaration(delta.Declared.Record())
	}
	if delta.Blocks != nil && delta.Blocks.Version > member.blocks.Version {
		member.blocks = *delta.Blocks
	}
	if delta.Evacuations != nil && delta.Evacuations.Version > member.evacuations.Version {
		member.evacuations = *delta.Evacuations
	}
	member.pruneRetiredGroups()
	member.version = delta.To
	member.sendAtOnce = true
	return true
}

func (member *Member) applyDeclaration(record *register.DeclarationRecord) {
	if member.declaration != nil && record.Version <= member.declaration.Version {
		return
	}
	member.declaration, member.routingTable = record, routing.NewTable(&record.Declaration)
}

// pruneRetiredGroups drops retired groups, which no request can use.
func (member *Member) pruneRetiredGroups() {
	maps.DeleteFunc(member.groupByID, func(_ id.Group, group register.GroupRecord) bool { return group.Phase == register.PhaseRetired })
}

// Group returns a group of the state that the node has applied.
func (member *Member) Group(name id.Group) (register.GroupRecord, bool) {
	record, ok := member.groupByID[name]
	return record, ok
}
