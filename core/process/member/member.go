// Package member decides for one node how it follows the state in force: it
// exchanges reports for changes with the leader, merges announcements, and
// draws up the view that the request path uses.
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
	// answerTimeout is how long a node waits before it asks again; a leader
	// holds no request back for longer than feed.Wait.
	answerTimeout = feed.LongPollTimeout + 100*time.Millisecond
	// failuresToRotate is how many requests in a row may stay without an answer
	// before a node asks another voter.
	failuresToRotate = 2
	// retryPause is the pause after a voter could not be reached.
	retryPause = 50 * time.Millisecond
	// urgentPause is the least time between two requests with news.
	urgentPause = 5 * time.Millisecond
	// pleadEvery bounds how often a node asks out of turn for larger parts.
	pleadEvery = 50 * time.Millisecond
	// forgetEvery is how often hosts that are long dead are forgotten.
	forgetEvery = time.Minute
	// drawEvery bounds how often the view is drawn up anew for the sake of
	// leases and loads alone.
	drawEvery = 50 * time.Millisecond
)

// Config is fixed for the life of a process.
type Config struct {
	Self        id.Node
	Incarnation id.Incarnation
	// Voters are the nodes that may lead, as known at the start.
	Voters []id.Node
	// HasDisk says that the node could vote.
	HasDisk bool
}

// Member is the decider of one node. It isn't safe for concurrent use.
type Member struct {
	config Config
	clock  *clock.Clock
	hosts  *roster.Roster

	// voters are the nodes that may lead, by the latest word.
	voters    []id.Node
	version   id.Version
	declared  *register.DeclarationRecord
	table     *routing.Table
	elsewhere map[feed.Endpoint]int
	stalled   []feed.Endpoint
	contracts map[id.ClientAccount]register.ContractRecord
	stops     map[id.Stop]register.StopRecord
	groups    map[id.Group]register.GroupRecord
	// renewed is when the lease began that ends at leaseUntil.
	renewed    time.Time
	leaseUntil time.Time

	offer     granter.Grant
	share     float64
	report    UsageReported
	pending   map[id.Host]roster.Announcement
	urgent    bool
	leader    id.Node
	rotation  int
	failures  int
	pleadedAt time.Time
	forgotAt  time.Time
	stamp     clock.Stamp
	stampAt   time.Time
	epoch     feed.Epoch
	cursor    uint64
	number    uint64
	processed uint64
	sent      map[uint64]time.Time
	sentHeard map[uint64][]roster.RelayedAnnouncement
	notBefore time.Time
	// dirty says that there is news since the view was last drawn up.
	dirty   bool
	drawnAt time.Time
	drawn   drawing
}

// New starts a node that knows nothing. The roster may be shared with the
// controller of the same process.
func New(now time.Time, config Config, hosts *roster.Roster) *Member {
	return &Member{
		config:    config,
		voters:    slices.Clone(config.Voters),
		clock:     clock.New(now, config.Self, config.Incarnation),
		hosts:     hosts,
		contracts: map[id.ClientAccount]register.ContractRecord{},
		stops:     map[id.Stop]register.StopRecord{},
		groups:    map[id.Group]register.GroupRecord{},
		pending:   map[id.Host]roster.Announcement{},
		sent:      map[uint64]time.Time{},
		sentHeard: map[uint64][]roster.RelayedAnnouncement{},
	}
}

// Step takes one event.
func (member *Member) Step(now time.Time, event Event) Actions {
	var actions Actions
	switch event := event.(type) {
	case Announced:
		actions = member.announced(now, event)
	case AnnouncedWithoutEcho:
		member.hear(event.Announcement, member.hosts.Merge(now, event.Announcement, now.Add(event.Announcement.Lease())))
	case Departed:
		member.departed(now, event)
	case NodesDiscovered:
		member.introduced(event.Nodes)
	case Responded:
		member.responded(now, event.Response)
	case Redirected:
		member.redirected(now, event)
	case Failed:
		member.failed(now, event.Number)
	case UsageReported:
		member.reported(now, event)
	}
	actions.Send = member.next(now)
	actions.Changed = member.due(now)
	return actions
}

// drawing is what a drawn view must never lag behind: facts of hosts, the state
// in force, and the parts, which the leader counts as taken once acknowledged.
type drawing struct {
	material uint64
	version  id.Version
	serial   granter.Serial
}

// due tells whether the view should be drawn up anew: at once for what it must
// not lag behind, else when it is old enough.
func (member *Member) due(now time.Time) bool {
	latest := drawing{member.hosts.UrgentCursor(), member.version, member.offer.Serial}
	if latest == member.drawn && (!member.dirty || now.Sub(member.drawnAt) < drawEvery) {
		return false
	}
	member.dirty, member.drawnAt, member.drawn = false, now, latest
	return true
}

// Tick takes the passing of time.
func (member *Member) Tick(now time.Time) Actions {
	for _, number := range slices.Sorted(maps.Keys(member.sent)) {
		if at, waits := member.sent[number]; waits && now.Sub(at) >= answerTimeout {
			member.failed(now, number)
		}
	}
	if now.Sub(member.forgotAt) >= forgetEvery {
		member.forgotAt = now
		member.hosts.Tick(now)
	}
	return Actions{Send: member.next(now), Changed: member.due(now)}
}

// Version is the state that the node has in force.
func (member *Member) Version() id.Version { return member.version }

// LeaseUntil is until when the node may take new work.
func (member *Member) LeaseUntil() time.Time { return member.leaseUntil }

// Leader is the node's last word of who leads.
func (member *Member) Leader() id.Node { return member.leader }

func (member *Member) announced(now time.Time, event Announced) Actions {
	welcome := &AnnouncementReply{Stamp: member.clock.Stamp(now)}
	age, ok := member.clock.Age(now, event.Echo)
	if !ok {
		welcome.Resend = true
		return Actions{AnnouncementReply: welcome}
	}
	expiry := now.Add(event.Announcement.Lease() - age)
	member.hear(event.Announcement, member.hosts.Merge(now, event.Announcement, expiry))
	return Actions{AnnouncementReply: welcome}
}

// hear queues what is news for the leader.
func (member *Member) hear(announcement roster.Announcement, change roster.Change) {
	if change == roster.ChangeNone {
		return
	}
	member.pending[announcement.Host] = announcement
	member.urgent = member.urgent || change == roster.ChangeUrgent
	member.dirty = true
}

// departed marks a host as leaving; one that isn't known, or is known by a
// later life, takes no work that this could stop.
func (member *Member) departed(now time.Time, event Departed) {
	known, ok := member.hosts.Member(event.Host)
	if !ok || (event.Incarnation != 0 && event.Incarnation != known.Announcement.Incarnation) {
		return
	}
	announcement := known.Announcement
	announcement.Leaving = true
	announcement.Sequence++
	member.hear(announcement, member.hosts.Merge(now, announcement, now.Add(announcement.Lease())))
}

// introduced adds nodes that may know who leads, for a node that has lost
// touch with all that it knew.
func (member *Member) introduced(nodes []id.Node) {
	for _, node := range nodes {
		if !slices.Contains(member.voters, node) {
			member.voters = append(member.voters, node)
		}
	}
}

// Voters are the nodes that may lead, by the latest word.
func (member *Member) Voters() []id.Node { return slices.Clone(member.voters) }

// takeDelta brings the state in force forward, never back. It is false for a
// delta that doesn't join on to what the node holds.
func (member *Member) takeDelta(delta register.Delta) bool {
	if delta.To < member.version || (!delta.Full && delta.From > member.version) {
		return false
	}
	if delta.To == member.version {
		return true
	}
	if delta.Full {
		clear(member.contracts)
		clear(member.stops)
		clear(member.groups)
	}
	for _, record := range delta.Contracts {
		if record.Version > member.contracts[record.Contract.ClientAccount].Version {
			member.contracts[record.Contract.ClientAccount] = record
		}
	}
	for _, record := range delta.Stops {
		if record.Version > member.stops[record.Stop].Version {
			member.stops[record.Stop] = record
		}
	}
	for _, record := range delta.Groups {
		if record.Version > member.groups[record.Group].Version {
			member.groups[record.Group] = record
		}
	}
	if delta.Declared != nil && (member.declared == nil || delta.Declared.Version > member.declared.Version) {
		member.declared = delta.Declared
		member.table = routing.NewTable(&delta.Declared.Declaration)
	}
	member.prune()
	member.version = delta.To
	member.urgent = true
	return true
}

// prune drops what no request can need any more.
func (member *Member) prune() {
	maps.DeleteFunc(member.groups, func(_ id.Group, group register.GroupRecord) bool { return group.Phase == register.PhaseRetired })
}

// Group is a group as the node has it in force.
func (member *Member) Group(name id.Group) (register.GroupRecord, bool) {
	record, ok := member.groups[name]
	return record, ok
}
