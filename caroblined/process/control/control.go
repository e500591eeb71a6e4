// Package control runs a node's state machines, the member and on a voter the
// controller, on one event loop and executes the actions they return: it syncs
// the log before it sends messages, publishes views for the request path, and
// accepts proposals from any goroutine.
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
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/fleet"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/process/runs"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/version/view"
)

const (
	// tickInterval is the interval between Tick calls to the state machines.
	tickInterval = 20 * time.Millisecond
	// feedTimeout bounds one feed request to a voter and one order to a host.
	feedTimeout = time.Second
	// eventQueueLength bounds the events queued for the event loop; post blocks
	// while the queue is full.
	eventQueueLength = 1024
)

// ErrClosed is returned once the event loop has been closed.
var ErrClosed = errors.New("control loop is closed")

// Config is fixed for the life of a process.
type Config struct {
	Self        id.Node
	Incarnation id.Incarnation
	Voters      []id.Node
	// Founders are the voters while the log holds none, if Voters isn't set. Unlike Voters
	// they aren't contacted: later voters may have replaced them.
	Founders []id.Node
	Nodes    []id.Node
	// Seeds are contacted to discover the voters when the settings don't list
	// them.
	Seeds []id.Node
	// DataCentres are those that the settings name. Each may be evacuated though no host there
	// has announced itself yet.
	DataCentres []id.DataCentre
	// DataFolder holds the write-ahead log. It is set on voters only.
	DataFolder       string
	Disk             wal.Disk
	ModelSpecs       []placer.Spec
	MaxLoadingGroups int
	// TargetVoters, EngineStallTimeout and NodeLease are passed on to
	// controller.Config.
	TargetVoters       int
	EngineStallTimeout time.Duration
	NodeLease          time.Duration
	// ControlOnly is passed on to member.Config.
	ControlOnly bool
	Timing      quorum.Timing
	Peers       *peers.Peers
	Log         zerolog.Logger
	Now         func() time.Time
	// SendOrder delivers an order to its host.
	SendOrder func(ctx context.Context, order action.Order) error
	// CollectUsage returns the demand, the active calls and the stalled endpoints
	// of the request path. It is called on every tick.
	CollectUsage func(now time.Time) member.UsageReported
	// OnViewChange is called on the event loop after a view is published.
	OnViewChange func(*view.View)
	// OnDemand, if set, is called on the event loop once a second with what the leader has
	// of the demand for models. On any other node that is nothing.
	OnDemand func([]fleet.ModelDemand)
	// OnFormerRun is called on the event loop, possibly several times, when the leader reports
	// that the run of this node before the present one has ended without a stop.
	OnFormerRun func(former feed.EndedRun)
}

// Contacts returns the configured voters followed by the seeds, without
// duplicates: the nodes to ask for the leader after a start.
func (config *Config) Contacts() []id.Node {
	contacts := slices.Clone(config.Voters)
	for _, seed := range config.Seeds {
		if !slices.Contains(contacts, seed) {
			contacts = append(contacts, seed)
		}
	}
	return contacts
}

// firstVoters returns the voters while the log holds none.
func (config *Config) firstVoters() []id.Node {
	if len(config.Voters) == 0 {
		return config.Founders
	}
	return config.Voters
}

// Control is the event loop of one node. Its exported methods are safe for
// concurrent use.
type Control struct {
	config Config
	events chan queuedEvent
	view   atomic.Pointer[view.View]
	// leaderLeaseUntil is the end of this node's leader lease, for the check just
	// before an order or a reply leaves the node. It is nil while the node holds
	// no leader lease.
	leaderLeaseUntil atomic.Pointer[time.Time]
	// voterFailure is the disk error that stopped the voter, nil while it votes.
	voterFailure atomic.Pointer[string]

	hosts           *roster.Roster
	member          *member.Member
	voter           *controller.Controller
	log             *wal.WAL
	resolveByTicket map[controller.Ticket]func(any)
	lastTicket      controller.Ticket
	delays          *delays
	acceptanceWaits []acceptanceWait
	// runs are those of the nodes that this node leads, and nil while it doesn't lead.
	runs          *runs.Runs
	runsCheckedAt time.Time
	// stopReported is set once the leader has answered a request that states that this node
	// stops.
	stopReported atomic.Bool

	stop       context.CancelFunc
	ctx        context.Context //nolint:containedctx // bounds the event loop itself
	goroutines sync.WaitGroup
}

// New opens the log, if DataFolder is set, and starts the event loop. A log that
// can't be opened is an error, since the node must not vote without the votes
// and entries stored in it.
func New(config Config) (*Control, error) {
	now := config.Now()
	control := &Control{
		config: config, events: make(chan queuedEvent, eventQueueLength),
		hosts: roster.New(), resolveByTicket: map[controller.Ticket]func(any){}, delays: newDelays(now),
	}
	control.view.Store(view.Empty())
	control.member = member.New(now, member.Config{Self: config.Self, Incarnation: config.Incarnation, Voters: config.Contacts(), HasDisk: config.DataFolder != "", ControlOnly: config.ControlOnly}, control.hosts)
	if config.DataFolder != "" {
		if err := control.openVoter(now); err != nil {
			return nil, err
		}
	}
	control.ctx, control.stop = context.WithCancel(context.Background())
	control.goroutines.Go(control.run)
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
		Voters: control.config.firstVoters(), Nodes: control.config.Nodes, Timing: control.config.Timing,
		ModelSpecs: control.config.ModelSpecs, MaxLoadingGroups: control.config.MaxLoadingGroups, CompactEntries: controller.CompactEntries,
		TargetVoters: control.config.TargetVoters, EngineStallTimeout: control.config.EngineStallTimeout, NodeLease: control.config.NodeLease,
		Rand: rand.New(rand.NewPCG(seed, hashNode(control.config.Self))), //nolint:gosec // jitter of election timeouts, not security
	}, stored, control.hosts)
	if err != nil {
		return errors.Wrap(err, "open voter")
	}
	voters := control.voter.Quorum().Membership.Voters
	control.member.Step(now, member.NodesDiscovered{Nodes: voters})
	return nil
}

// hashNode returns the 64-bit FNV-1a hash of a node's name.
func hashNode(node id.Node) uint64 {
	hash := uint64(14695981039346656037)
	for _, char := range []byte(node) {
		hash = (hash ^ uint64(char)) * 1099511628211
	}
	return hash
}

// Close stops the event loop, waits for all goroutines that it started, and
// closes the log.
func (control *Control) Close() error {
	control.stop()
	control.goroutines.Wait()
	if control.log == nil {
		return nil
	}
	return control.log.Close()
}

// View returns the latest published view.
func (control *Control) View() *view.View { return control.view.Load() }

// Failure returns the disk error that stopped the voter, or "" while there is
// none.
func (control *Control) Failure() string {
	if reason := control.voterFailure.Load(); reason != nil {
		return *reason
	}
	return ""
}

func (control *Control) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-control.ctx.Done():
			control.resolvePending()
			return
		case event := <-control.events:
			now := control.config.Now()
			event.run(now)
			control.delays.recordEvent(event.queuedAt, now, control.config.Now())
		case <-ticker.C:
			now := control.config.Now()
			control.tick(now)
			control.delays.recordTick(now, control.config.Now())
			control.reportDelays(now)
		}
	}
}

// resolvePending resolves every open ticket with nil, so that no caller waits
// for an event loop or a voter that has stopped.
func (control *Control) resolvePending() {
	for ticket, resolve := range control.resolveByTicket {
		delete(control.resolveByTicket, ticket)
		resolve(nil)
	}
}

// post queues an event for the event loop, and blocks while the queue is full.
// It returns false once the loop is closed.
func (control *Control) post(event func(now time.Time)) bool {
	select {
	case control.events <- queuedEvent{control.config.Now(), event}:
		return true
	case <-control.ctx.Done():
		return false
	}
}

func (control *Control) tick(now time.Time) {
	if control.voter != nil {
		control.executeVoter(now, control.voter.Tick(now))
	}
	control.executeMember(now, control.member.Step(now, control.config.CollectUsage(now)))
	control.executeMember(now, control.member.Tick(now))
	if control.voter != nil {
		control.publishLeaderLease(now)
	}
	control.checkRuns(now)
}

func (control *Control) publishLeaderLease(now time.Time) {
	if !control.voter.HoldsLeaderLease(now) {
		control.leaderLeaseUntil.Store(nil)
		return
	}
	leaseUntil := control.voter.LeaderLeaseUntil(now)
	control.leaderLeaseUntil.Store(&leaseUntil)
}

// holdsLeaderLease reports whether the leader lease is still valid at the time
// of the call. It may be called from any goroutine.
func (control *Control) holdsLeaderLease() bool {
	leaseUntil := control.leaderLeaseUntil.Load()
	return leaseUntil != nil && control.config.Now().Before(*leaseUntil)
}

// stepVoter passes an event to the voter and executes the resulting actions. It
// does nothing on a node without a voter.
func (control *Control) stepVoter(now time.Time, event controller.Event) {
	if control.voter == nil {
		return
	}
	control.executeVoter(now, control.voter.Step(now, event))
}

// executeVoter executes the voter's actions. It syncs the log before anything
// else. If that fails the voter is dropped until the node restarts and no other
// action is executed, so that nothing that depends on the lost write leaves the
// node.
func (control *Control) executeVoter(now time.Time, actions controller.Actions) {
	if err := control.save(actions.DiskWrite); err != nil {
		reason := err.Error()
		control.voterFailure.Store(&reason)
		control.leaderLeaseUntil.Store(nil)
		control.voter = nil
		control.config.Log.Error().Err(err).Str("step", "save").Msg("the disk failed; the node doesn't vote until it is restarted")
		control.resolvePending()
		return
	}
	control.config.Peers.Send(actions.Messages)
	control.logDecisions(actions.Decisions)
	for _, reply := range actions.Replies {
		control.resolveTicket(reply.Ticket, reply)
	}
	for _, outcome := range actions.Outcomes {
		control.resolveTicket(outcome.Ticket, outcome)
	}
	if len(actions.Orders) > 0 {
		control.publishLeaderLease(now)
	}
	for _, order := range actions.Orders {
		control.goroutines.Go(func() { control.sendOrder(order) })
	}
	if len(actions.Contacts) > 0 {
		control.executeMember(now, control.member.Step(now, member.NodesDiscovered{Nodes: actions.Contacts}))
	}
}

// save writes and syncs the log.
func (control *Control) save(write quorum.DiskWrite) error {
	startedAt := control.config.Now()
	err := control.log.Save(write)
	control.delays.recordSave(control.config.Now().Sub(startedAt))
	return err
}

// logDecisions logs what the leader decided on its own.
func (control *Control) logDecisions(decisions []action.Decision) {
	for index := range decisions {
		decision := &decisions[index]
		event := control.config.Log.Info().Str("step", decision.Step).Str("reason", decision.Reason)
		if decision.Group != "" || decision.Host != "" {
			event = event.Str("group", string(decision.Group)).Int64("age_ms", decision.Age.Milliseconds())
		}
		if decision.Block != "" {
			event = event.Str("block", string(decision.Block))
		}
		if len(decision.Parts) > 0 {
			event = event.Interface("parts", decision.Parts).Interface("customers", decision.ClientAccounts)
		}
		if decision.Host != "" {
			event = event.Str("host", string(decision.Host))
		}
		if decision.Model != "" {
			event = event.Str("model", string(decision.Model)).Interface("hosts", decision.Hosts)
		}
		event.Send()
	}
}

func (control *Control) sendOrder(order action.Order) {
	if !control.holdsLeaderLease() {
		return
	}
	ctx, cancel := context.WithTimeout(control.ctx, feedTimeout)
	defer cancel()
	if err := control.config.SendOrder(ctx, order); err != nil {
		if rest.DialFailed(err) {
			control.post(func(now time.Time) {
				control.stepVoter(now, controller.OrderUndelivered{Host: order.Host, Refused: rest.Refused(err)})
			})
		}
		control.config.Log.Warn().Err(err).Str("step", "order").Str("host", string(order.Host)).Uint64("fencing", uint64(order.Fencing)).Msg("sending an order to the host failed; the leader sends it again")
	}
}

// newTicket returns a new ticket. resolve is called once, on the event loop, with
// the ticket's result, or with nil if the loop or the voter stops first.
func (control *Control) newTicket(resolve func(any)) controller.Ticket {
	control.lastTicket++
	control.resolveByTicket[control.lastTicket] = resolve
	return control.lastTicket
}

func (control *Control) resolveTicket(ticket controller.Ticket, result any) {
	resolve, ok := control.resolveByTicket[ticket]
	if !ok {
		return
	}
	delete(control.resolveByTicket, ticket)
	resolve(result)
}

// executeMember executes the member's actions: it publishes a changed view and
// sends the next feed request.
func (control *Control) executeMember(now time.Time, actions member.Actions) {
	if actions.Changed {
		control.publishView(now)
	}
	if actions.Send != nil {
		control.sendFeed(now, *actions.Send)
	}
	if len(control.acceptanceWaits) > 0 {
		control.resolveAcceptances()
	}
}

func (control *Control) publishView(now time.Time) {
	current := control.member.View(now)
	control.logEvacuations(control.view.Swap(current), current)
	control.config.OnViewChange(current)
}

// AddContacts adds nodes to those that are asked for the leader.
func (control *Control) AddContacts(nodes []id.Node) {
	control.post(func(now time.Time) {
		control.executeMember(now, control.member.Step(now, member.NodesDiscovered{Nodes: nodes}))
	})
}

// Deliver queues messages from another voter. It returns ErrClosed once the loop
// is closed.
func (control *Control) Deliver(messages []quorum.Message) error {
	ok := control.post(func(now time.Time) {
		for _, message := range messages {
			control.stepVoter(now, controller.MessageReceived{Message: message})
		}
	})
	if !ok {
		return ErrClosed
	}
	return nil
}
