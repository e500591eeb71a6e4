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
)

const (
	// answerTimeout is how long a node waits before it asks again; a leader
	// holds no request back for longer than feed.Wait.
	answerTimeout = feed.Wait + 100*time.Millisecond
	// failuresToRotate is how many requests in a row may stay without an answer
	// before a node asks another voter.
	failuresToRotate = 2
	// retryPause is the pause after a voter could not be reached.
	retryPause = 50 * time.Millisecond
	// urgentPause is the least time between two requests with news.
	urgentPause = 5 * time.Millisecond
	// pleadEvery bounds how often a node asks out of turn for larger parts.
	pleadEvery = 50 * time.Millisecond
	// drawEvery bounds how often the view is drawn up anew for the sake of
	// leases and loads alone.
	drawEvery = 50 * time.Millisecond
)

// Config is fixed for the life of a process.
type Config struct {
	Self        id.Node
	Incarnation id.Incarnation
	// Voters are the nodes that may lead.
	Voters []id.Node
}

// Event is one thing that happened to a node: Announced, Responded, Redirected,
// Failed or Reported.
type Event interface{ event() }

// Announced is a host's announcement to this node, with the stamp it echoes.
type Announced struct {
	Announcement roster.Announcement
	Echo         clock.Stamp
}

// Responded is the leader's answer to one request.
type Responded struct{ Response feed.Response }

// Redirected is the answer of a voter that doesn't lead.
type Redirected struct {
	Number   uint64
	Redirect feed.Redirect
}

// Failed says that a request got no answer.
type Failed struct{ Number uint64 }

// Reported is what the request path wants and does at present.
type Reported struct {
	Demand  map[id.Customer]granter.Part
	Running map[feed.Endpoint]int
	Calls   int
	Drained bool
}

func (Announced) event()  {}
func (Responded) event()  {}
func (Redirected) event() {}
func (Failed) event()     {}
func (Reported) event()   {}

// Send is a request on its way to a voter.
type Send struct {
	To      id.Node
	Request feed.Request
}

// Actions are what the caller must do.
type Actions struct {
	Send *Send
	// Changed says that the view should be drawn up anew.
	Changed bool
	// Welcome answers an Announced event.
	Welcome *Welcome
}

// Welcome is the answer to an announcement.
type Welcome struct {
	Stamp clock.Stamp `json:"stamp"`
	// Again asks for the announcement once more with this stamp, because its
	// age wasn't known; it has started no lease.
	Again bool `json:"again"`
}

// Member is the decider of one node. It isn't safe for concurrent use.
type Member struct {
	config Config
	clock  *clock.Clock
	hosts  *roster.Roster

	version    id.Version
	contracts  map[id.Customer]register.ContractRecord
	stops      map[id.Stop]register.StopRecord
	groups     map[id.Group]register.GroupRecord
	leaseUntil time.Time

	offer     granter.Offer
	share     float64
	report    Reported
	pending   map[id.Host]roster.Announcement
	urgent    bool
	leader    id.Node
	rotation  int
	failures  int
	pleadedAt time.Time
	stamp     clock.Stamp
	stampAt   time.Time
	epoch     feed.Epoch
	cursor    uint64
	number    uint64
	processed uint64
	sent      map[uint64]time.Time
	sentHeard map[uint64][]roster.Relayed
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
		clock:     clock.New(now, config.Self, config.Incarnation),
		hosts:     hosts,
		contracts: map[id.Customer]register.ContractRecord{},
		stops:     map[id.Stop]register.StopRecord{},
		groups:    map[id.Group]register.GroupRecord{},
		pending:   map[id.Host]roster.Announcement{},
		sent:      map[uint64]time.Time{},
		sentHeard: map[uint64][]roster.Relayed{},
	}
}

// Step takes one event.
func (member *Member) Step(now time.Time, event Event) Actions {
	var actions Actions
	switch event := event.(type) {
	case Announced:
		actions = member.announced(now, event)
	case Responded:
		member.responded(now, event.Response)
	case Redirected:
		member.redirected(now, event)
	case Failed:
		member.failed(now, event.Number)
	case Reported:
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
	latest := drawing{member.hosts.Material(), member.version, member.offer.Serial}
	if latest == member.drawn && (!member.dirty || now.Sub(member.drawnAt) < drawEvery) {
		return false
	}
	member.dirty, member.drawnAt, member.drawn = false, now, latest
	return true
}

// Tick takes the passing of time.
func (member *Member) Tick(now time.Time) Actions {
	for number, at := range member.sent {
		if now.Sub(at) >= answerTimeout {
			member.failed(now, number)
		}
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
	welcome := &Welcome{Stamp: member.clock.Stamp(now)}
	age, ok := member.clock.Age(now, event.Echo)
	if !ok {
		welcome.Again = true
		return Actions{Welcome: welcome}
	}
	expiry := now.Add(event.Announcement.Lease() - age)
	change := member.hosts.Hear(now, event.Announcement, expiry)
	if change == roster.ChangeNone {
		return Actions{Welcome: welcome}
	}
	member.pending[event.Announcement.Host] = event.Announcement
	member.urgent = member.urgent || change == roster.ChangeMaterial
	member.dirty = true
	return Actions{Welcome: welcome}
}

func (member *Member) responded(now time.Time, response feed.Response) {
	sentAt, ok := member.sent[response.Number]
	if !ok || response.Number <= member.processed {
		return
	}
	member.processed = response.Number
	member.failures = 0
	heard := member.sentHeard[response.Number]
	member.forget(response.Number)
	member.leader = response.Leader
	if !member.takeDelta(response.Delta) {
		return
	}
	member.dirty = true
	member.settle(response.Took, heard)
	// Counted from the receipt, the echo never runs ahead of the leader.
	member.stamp, member.stampAt = response.Stamp, now
	member.takeRoster(sentAt, response)
	if response.Offer.Serial != member.offer.Serial {
		member.urgent = true
	}
	member.offer, member.share = response.Offer, response.Share
	lease := sentAt.Add(time.Duration(response.LeaseMS) * time.Millisecond)
	if lease.After(member.leaseUntil) {
		member.leaseUntil = lease
	}
}

// forget drops a request and those before it, which have been overtaken.
func (member *Member) forget(number uint64) {
	for other := range member.sent {
		if other <= number {
			delete(member.sent, other)
			delete(member.sentHeard, other)
		}
	}
}

// settle drops the announcements that the leader has taken. It takes none
// whose age it couldn't bound, which is so for the first request to a leader.
func (member *Member) settle(took bool, heard []roster.Relayed) {
	if !took {
		member.urgent = member.urgent || len(member.pending) > 0
		return
	}
	for _, relayed := range heard {
		announcement := relayed.Announcement
		if member.pending[announcement.Host].Sequence == announcement.Sequence {
			delete(member.pending, announcement.Host)
		}
	}
}

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
		if record.Version > member.contracts[record.Contract.Customer].Version {
			member.contracts[record.Contract.Customer] = record
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
	member.prune()
	member.version = delta.To
	member.urgent = true
	return true
}

// prune drops what no request can need any more.
func (member *Member) prune() {
	maps.DeleteFunc(member.groups, func(_ id.Group, group register.GroupRecord) bool { return group.Phase == register.PhaseRetired })
}

// takeRoster hears what the leader relays. Leases count from when the request
// left, so that a response held up on its way can't lengthen them.
func (member *Member) takeRoster(sentAt time.Time, response feed.Response) {
	for _, relayed := range response.Roster {
		expiry := sentAt.Add(time.Duration(relayed.RemainingMS) * time.Millisecond)
		member.hosts.Hear(sentAt, relayed.Announcement, expiry)
	}
	for _, renewal := range response.Renewals {
		member.hosts.Renew(sentAt, renewal, sentAt.Add(time.Duration(renewal.RemainingMS)*time.Millisecond))
	}
	if response.Epoch != member.epoch {
		member.epoch, member.cursor = response.Epoch, 0
	}
	member.cursor = max(member.cursor, response.Cursor)
}

func (member *Member) redirected(now time.Time, event Redirected) {
	if _, ok := member.sent[event.Number]; !ok {
		return
	}
	if event.Redirect.Superseded {
		delete(member.sent, event.Number)
		delete(member.sentHeard, event.Number)
		return
	}
	member.forget(event.Number)
	if event.Redirect.Leader == "" || event.Redirect.Leader == member.leader {
		member.rotate(now)
		return
	}
	member.leader = event.Redirect.Leader
}

func (member *Member) failed(now time.Time, number uint64) {
	if _, ok := member.sent[number]; !ok {
		return
	}
	member.forget(number)
	member.failures++
	if member.failures >= failuresToRotate {
		member.rotate(now)
		return
	}
	member.notBefore = now.Add(urgentPause)
}

func (member *Member) rotate(now time.Time) {
	member.rotation++
	member.failures = 0
	member.leader = member.config.Voters[member.rotation%len(member.config.Voters)]
	member.notBefore = now.Add(retryPause)
}

func (member *Member) reported(now time.Time, report Reported) {
	if now.Sub(member.pleadedAt) >= pleadEvery && member.needsMore(report) {
		member.pleadedAt, member.urgent = now, true
	}
	if report.Drained != member.report.Drained ||
		(report.Calls == 0) != (member.report.Calls == 0) || finished(member.report.Running, report.Running) {
		member.urgent = true
	}
	member.report = report
}

// finished tells whether an endpoint's last call has ended, which a planned
// stop may be waiting for.
func finished(before, after map[feed.Endpoint]int) bool {
	for endpoint := range before {
		if after[endpoint] == 0 {
			return true
		}
	}
	return false
}

// needsMore tells whether a customer's demand has risen past its part.
func (member *Member) needsMore(report Reported) bool {
	for customer, want := range report.Demand {
		have, before := member.offer.Parts[customer], member.report.Demand[customer]
		if want.Concurrency > have.Concurrency && want.Concurrency > before.Concurrency {
			return true
		}
		const step = 1.1
		if want.RequestsPerSecond > have.RequestsPerSecond && want.RequestsPerSecond > step*before.RequestsPerSecond {
			return true
		}
		if want.TokensPerSecond > have.TokensPerSecond && want.TokensPerSecond > step*before.TokensPerSecond {
			return true
		}
	}
	return false
}

// next sends a request when none is on its way, or when there is news.
func (member *Member) next(now time.Time) *Send {
	if now.Before(member.notBefore) || (len(member.sent) > 0 && !member.urgent) {
		return nil
	}
	if member.leader == "" {
		member.leader = member.config.Voters[member.rotation%len(member.config.Voters)]
	}
	member.urgent = false
	member.notBefore = now.Add(urgentPause)
	member.number++
	heard := member.heard(now)
	member.sent[member.number] = now
	member.sentHeard[member.number] = heard
	request := feed.Request{
		Node: member.config.Self, Incarnation: member.config.Incarnation, Number: member.number,
		Version: member.version, Epoch: member.epoch, Cursor: member.cursor,
		Echo: member.stamp.Advance(now.Sub(member.stampAt)), Heard: heard,
		Held:   granter.Offer{Serial: member.offer.Serial, Parts: member.held(now)},
		Demand: member.report.Demand, Running: member.report.Running, Calls: member.report.Calls, Drained: member.report.Drained,
	}
	return &Send{To: member.leader, Request: request}
}

// held is what the node may use of its offer; nothing once its lease is over.
func (member *Member) held(now time.Time) map[id.Customer]granter.Part {
	if !now.Before(member.leaseUntil) {
		return nil
	}
	return member.offer.Parts
}

func (member *Member) heard(now time.Time) []roster.Relayed {
	var heard []roster.Relayed
	for _, host := range slices.Sorted(maps.Keys(member.pending)) {
		known, ok := member.hosts.Member(host)
		if !ok {
			continue
		}
		remaining := max(0, known.Expiry.Sub(now))
		heard = append(heard, roster.Relayed{Announcement: known.Announcement, RemainingMS: remaining.Milliseconds()})
	}
	return heard
}

// Group is a group as the node has it in force.
func (member *Member) Group(name id.Group) (register.GroupRecord, bool) {
	record, ok := member.groups[name]
	return record, ok
}
