// Package control runs a node's deciders on one goroutine and carries their
// actions out: it syncs before it sends, publishes views for the request path,
// and takes proposals from everywhere else.
//
// # Usage
//
//	loop, err := control.New(config)
//	current := loop.View()
//	outcome, err := loop.Propose(ctx, proposal)
//	loop.Close()
package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/version/view"
)

const (
	// tickEvery is how often the deciders see time pass.
	tickEvery = 20 * time.Millisecond
	// feedTimeout bounds one exchange with the leader.
	feedTimeout = time.Second
	// queuedEvents bounds what waits for the control goroutine.
	queuedEvents = 1024
)

// ErrClosed reports a loop that has been closed.
var ErrClosed = errors.New("control loop is closed")

// Config is fixed for the life of a process.
type Config struct {
	Self        id.Node
	Incarnation id.Incarnation
	Voters      []id.Node
	Nodes       []id.Node
	// Seeds are nodes that may know the voters, where settings don't name them.
	Seeds []id.Node
	// DataFolder is set on voters.
	DataFolder string
	Disk       wal.Disk
	Specs      []placer.Spec
	GroupLoads int
	// VotersWanted, Stall and Lease are those of the controller.
	VotersWanted int
	Stall        time.Duration
	Lease        time.Duration
	Timing       quorum.Timing
	Peers        *peers.Peers
	Log          zerolog.Logger
	Now          func() time.Time
	// Order sends an order to a host.
	Order func(ctx context.Context, order controller.Order) error
	// Report tells what the request path needs and does.
	Report func(now time.Time) member.UsageReported
	// Changed is called on the control goroutine after a view is published.
	Changed func(*view.View)
}

// Contacts are the nodes that may lead or know who does, at the start.
func (config *Config) Contacts() []id.Node {
	contacts := slices.Clone(config.Voters)
	for _, seed := range config.Seeds {
		if !slices.Contains(contacts, seed) {
			contacts = append(contacts, seed)
		}
	}
	return contacts
}

// Control runs the deciders of one node.
type Control struct {
	config Config
	events chan func(now time.Time)
	view   atomic.Pointer[view.View]
	// leads is until when this node's lease as leader holds, for the last check
	// before a write. It is nil on a node that doesn't lead.
	leads atomic.Pointer[time.Time]
	// failed is why a voter has stopped voting.
	failed atomic.Pointer[string]

	hosts   *roster.Roster
	member  *member.Member
	voter   *controller.Controller
	log     *wal.WAL
	tickets map[controller.Ticket]func(any)
	next    controller.Ticket

	stop context.CancelFunc
	ctx  context.Context //nolint:containedctx // the life of the loop itself
	done sync.WaitGroup
}

// New opens the log on a voter and starts the loop. A log that can't be opened
// is an error; the node must not vote with it.
func New(config Config) (*Control, error) {
	now := config.Now()
	control := &Control{
		config: config, events: make(chan func(time.Time), queuedEvents),
		hosts: roster.New(), tickets: map[controller.Ticket]func(any){},
	}
	control.view.Store(view.Empty())
	control.member = member.New(now, member.Config{Self: config.Self, Incarnation: config.Incarnation, Voters: config.Contacts(), HasDisk: config.DataFolder != ""}, control.hosts)
	if config.DataFolder != "" {
		if err := control.openVoter(now); err != nil {
			return nil, err
		}
	}
	control.ctx, control.stop = context.WithCancel(context.Background())
	control.done.Go(control.run)
	return control, nil
}

func (control *Control) openVoter(now time.Time) error {
	log, stored, err := wal.Open(control.config.DataFolder, control.config.Disk)
	if err != nil {
		return errors.Wrap(err, "open voter")
	}
	control.log = log
	seed := uint64(control.config.Incarnation)
	control.voter, err = controller.New(now, controller.Config{
		Self: control.config.Self, Incarnation: control.config.Incarnation,
		Voters: control.config.Voters, Nodes: control.config.Nodes, Timing: control.config.Timing,
		ModelSpecs: control.config.Specs, MaxLoadingGroups: control.config.GroupLoads, CompactEntries: controller.CompactEntries,
		TargetVoters: control.config.VotersWanted, EngineStallTimeout: control.config.Stall, NodeLease: control.config.Lease,
		Rand: rand.New(rand.NewPCG(seed, hashNode(control.config.Self))), //nolint:gosec // spreads elections, keeps no secret
	}, stored, control.hosts)
	if err != nil {
		return errors.Wrap(err, "open voter")
	}
	known := control.voter.Quorum().Membership.Voters
	control.member.Step(now, member.NodesDiscovered{Nodes: known})
	return nil
}

func hashNode(node id.Node) uint64 {
	sum := uint64(14695981039346656037)
	for _, letter := range []byte(node) {
		sum = (sum ^ uint64(letter)) * 1099511628211
	}
	return sum
}

// Close stops the loop and waits until all that it started has ended.
func (control *Control) Close() error {
	control.stop()
	control.done.Wait()
	if control.log == nil {
		return nil
	}
	return control.log.Close()
}

// View is the latest picture for the request path.
func (control *Control) View() *view.View { return control.view.Load() }

// Failure says why a voter has stopped voting; it is empty on a healthy node.
func (control *Control) Failure() string {
	if reason := control.failed.Load(); reason != nil {
		return *reason
	}
	return ""
}

func (control *Control) run() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-control.ctx.Done():
			control.abandon()
			return
		case event := <-control.events:
			event(control.config.Now())
		case <-ticker.C:
			control.tick(control.config.Now())
		}
	}
}

// abandon answers all that still wait.
func (control *Control) abandon() {
	for ticket, answer := range control.tickets {
		delete(control.tickets, ticket)
		answer(nil)
	}
}

// post runs an event on the control goroutine; it is false once closed.
func (control *Control) post(event func(now time.Time)) bool {
	select {
	case control.events <- event:
		return true
	case <-control.ctx.Done():
		return false
	}
}

func (control *Control) tick(now time.Time) {
	if control.voter != nil {
		control.execute(now, control.voter.Tick(now))
	}
	control.follow(now, control.member.Step(now, control.config.Report(now)))
	control.follow(now, control.member.Tick(now))
	if control.voter != nil {
		control.publishLeads(now)
	}
}

func (control *Control) publishLeads(now time.Time) {
	if !control.voter.HoldsLeaderLease(now) {
		control.leads.Store(nil)
		return
	}
	until := control.voter.LeaderLeaseUntil(now)
	control.leads.Store(&until)
}

// stillLeads is the last check before a leader's write.
func (control *Control) stillLeads() bool {
	until := control.leads.Load()
	return until != nil && control.config.Now().Before(*until)
}

// step gives the voter an event and carries out what it decides.
func (control *Control) step(now time.Time, event controller.Event) {
	if control.voter == nil {
		return
	}
	control.execute(now, control.voter.Step(now, event))
}

// execute syncs first; when that fails the voter stops for good, and nothing
// that rests on the lost write leaves the node.
func (control *Control) execute(now time.Time, actions controller.Actions) {
	if err := control.log.Save(actions.Save); err != nil {
		reason := err.Error()
		control.failed.Store(&reason)
		control.leads.Store(nil)
		control.voter = nil
		control.config.Log.Error().Err(err).Str("step", "save").Msg("the disk failed; this node votes no more until it is restarted")
		control.abandon()
		return
	}
	control.config.Peers.Send(actions.Messages)
	control.note(actions.Decisions)
	for _, reply := range actions.Replies {
		control.answer(reply.Ticket, reply)
	}
	for _, outcome := range actions.Outcomes {
		control.answer(outcome.Ticket, outcome)
	}
	if len(actions.Orders) > 0 {
		control.publishLeads(now)
	}
	for _, order := range actions.Orders {
		control.done.Go(func() { control.sendOrder(order) })
	}
}

// note writes what the leader has decided by itself.
func (control *Control) note(notes []controller.Decision) {
	for index := range notes {
		note := &notes[index]
		event := control.config.Log.Info().Str("step", note.Step).Str("group", string(note.Group)).Str("reason", note.Reason).Int64("age_ms", note.Age.Milliseconds())
		if note.Host != "" {
			event = event.Str("host", string(note.Host))
		}
		if note.Model != "" {
			event = event.Str("model", string(note.Model)).Interface("hosts", note.Hosts)
		}
		event.Send()
	}
}

func (control *Control) sendOrder(order controller.Order) {
	if !control.stillLeads() {
		return
	}
	ctx, cancel := context.WithTimeout(control.ctx, feedTimeout)
	defer cancel()
	if err := control.config.Order(ctx, order); err != nil {
		if rest.DialFailed(err) {
			control.post(func(now time.Time) { control.step(now, controller.OrderUndelivered{Host: order.Host}) })
		}
		control.config.Log.Warn().Err(err).Str("step", "order").Str("host", string(order.Host)).Uint64("fencing", uint64(order.Fencing)).Msg("the order was not taken; it is repeated")
	}
}

// wait registers who gets the answer under a new ticket.
func (control *Control) wait(answer func(any)) controller.Ticket {
	control.next++
	control.tickets[control.next] = answer
	return control.next
}

func (control *Control) answer(ticket controller.Ticket, content any) {
	answer, ok := control.tickets[ticket]
	if !ok {
		return
	}
	delete(control.tickets, ticket)
	answer(content)
}

// follow carries out what the member decides.
func (control *Control) follow(now time.Time, actions member.Actions) {
	if actions.Changed {
		control.publish(now)
	}
	if actions.Send != nil {
		control.sendFeed(now, *actions.Send)
	}
}

func (control *Control) publish(now time.Time) {
	drawn := control.member.View(now)
	control.view.Store(drawn)
	control.config.Changed(drawn)
}

func (control *Control) sendFeed(now time.Time, send member.Send) {
	number := send.Request.Number
	if send.To == control.config.Self {
		ticket := control.wait(func(content any) { control.postAnswer(number, content) })
		control.step(now, controller.FeedRequested{Ticket: ticket, Request: send.Request})
		return
	}
	control.done.Go(func() {
		ctx, cancel := context.WithTimeout(control.ctx, feedTimeout)
		defer cancel()
		answer, err := control.config.Peers.Feed(ctx, send.To, send.Request)
		if err != nil {
			control.post(func(now time.Time) { control.follow(now, control.member.Step(now, member.Failed{Number: number})) })
			return
		}
		control.postAnswer(number, controller.Reply{Response: answer.Response, Redirect: answer.Redirect})
	})
}

// postAnswer hands the answer to a feed request to the member. It never waits
// on the control goroutine itself, which may be its caller.
func (control *Control) postAnswer(number uint64, content any) {
	reply, _ := content.(controller.Reply)
	deliver := func(now time.Time) {
		var event member.Event
		switch {
		case reply.Response != nil:
			event = member.Responded{Response: *reply.Response}
		case reply.Redirect != nil:
			event = member.Redirected{Number: number, Redirect: *reply.Redirect}
		default:
			event = member.Failed{Number: number}
		}
		control.follow(now, control.member.Step(now, event))
	}
	select {
	case control.events <- deliver:
	default:
		control.done.Go(func() { control.post(deliver) })
	}
}

// Announce takes a host's announcement.
func (control *Control) Announce(ctx context.Context, announcement roster.Announcement, echo clock.Stamp) (member.AnnouncementReply, error) {
	result := make(chan member.AnnouncementReply, 1)
	ok := control.post(func(now time.Time) {
		actions := control.member.Step(now, member.Announced{Announcement: announcement, Echo: echo})
		control.follow(now, actions)
		result <- *actions.AnnouncementReply
	})
	if !ok {
		return member.AnnouncementReply{}, ErrClosed
	}
	select {
	case welcome := <-result:
		return welcome, nil
	case <-ctx.Done():
		return member.AnnouncementReply{}, errors.Wrap(ctx.Err(), "announce")
	case <-control.ctx.Done():
		return member.AnnouncementReply{}, ErrClosed
	}
}

// Renew takes the announcement of a host that echoes no stamp. It returns once
// the announcement is on its way to the leader.
func (control *Control) Renew(ctx context.Context, announcement roster.Announcement) error {
	return control.tell(ctx, "renew", member.AnnouncedWithoutEcho{Announcement: announcement})
}

// Depart marks a host as leaving. It returns once that is on its way.
func (control *Control) Depart(ctx context.Context, host id.Host, incarnation id.Incarnation) error {
	return control.tell(ctx, "depart", member.Departed{Host: host, Incarnation: incarnation})
}

// tell gives the member an event and waits until it is taken.
func (control *Control) tell(ctx context.Context, name string, event member.Event) error {
	done := make(chan struct{})
	ok := control.post(func(now time.Time) {
		control.follow(now, control.member.Step(now, event))
		close(done)
	})
	if !ok {
		return ErrClosed
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), name)
	case <-control.ctx.Done():
		return ErrClosed
	}
}

// Introduce names nodes that may know who leads.
func (control *Control) Introduce(nodes []id.Node) {
	control.post(func(now time.Time) {
		control.follow(now, control.member.Step(now, member.NodesDiscovered{Nodes: nodes}))
	})
}

// Deliver takes messages of another voter.
func (control *Control) Deliver(messages []quorum.Message) error {
	ok := control.post(func(now time.Time) {
		for _, message := range messages {
			control.step(now, controller.MessageReceived{Message: message})
		}
	})
	if !ok {
		return ErrClosed
	}
	return nil
}

// Feed answers a node's report, as leader or with a redirect.
func (control *Control) Feed(ctx context.Context, request feed.Request) (peers.FeedAnswer, error) {
	result := make(chan any, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil {
			result <- controller.Reply{Redirect: &feed.Redirect{Leader: control.member.Leader(), Voters: control.member.Voters()}}
			return
		}
		ticket := control.wait(func(content any) { result <- content })
		control.step(now, controller.FeedRequested{Ticket: ticket, Request: request})
	})
	if !ok {
		return peers.FeedAnswer{}, ErrClosed
	}
	select {
	case content := <-result:
		reply, _ := content.(controller.Reply)
		if reply.Response != nil && !control.stillLeads() {
			return peers.FeedAnswer{Redirect: &feed.Redirect{}}, nil
		}
		return peers.FeedAnswer{Response: reply.Response, Redirect: reply.Redirect}, nil
	case <-ctx.Done():
		return peers.FeedAnswer{}, errors.Wrap(ctx.Err(), "feed")
	case <-control.ctx.Done():
		return peers.FeedAnswer{}, ErrClosed
	}
}
