package controller_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/view"
)

const (
	tickEvery   = 20 * time.Millisecond
	hostLease   = 4 * time.Second
	renewEvery  = time.Second
	fakeModel   = id.Model("m")
	fakeVoters  = 3
	fakeNodes   = 9
	fakeDomains = 3
	fakeHosts   = 15 // two groups and a spare in each domain
	hostsInUnit = 2
)

// event is something that happens at a moment of the world's own time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].order < events[j].order
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *events) Push(x any)   { *events = append(*events, x.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// weather is how badly the network behaves.
type weather struct {
	lose, double, late float64
}

// world drives voters, members and hosts on one seeded schedule.
type world struct {
	t       testing.TB
	seed    uint64
	rand    *rand.Rand
	now     time.Duration
	order   uint64
	events  events
	weather weather
	// blocked holds the directions in which nothing passes.
	blocked map[[2]string]bool
	nodes   []*node
	hosts   []*host
	engines []*engine
	checks  *checks
}

var worldStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(t testing.TB, seed uint64) *world {
	t.Helper()
	world := &world{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]string]bool{}}
	world.checks = newChecks(world)
	for index := range fakeNodes {
		world.nodes = append(world.nodes, newNode(world, index))
	}
	for index := range fakeHosts {
		world.hosts = append(world.hosts, newHost(world, index))
	}
	return world
}

func (world *world) after(delay time.Duration, do func()) {
	world.order++
	heap.Push(&world.events, event{world.now + delay, world.order, do})
}

func (world *world) run(length time.Duration) {
	end := world.now + length
	for len(world.events) > 0 && world.events[0].at <= end {
		next := heap.Pop(&world.events).(event)
		world.now = next.at
		next.do()
	}
	world.now = end
}

func (world *world) chance(part float64) bool { return world.rand.Float64() < part }

// send carries something from one place to another, or doesn't.
func (world *world) send(from, to string, deliver func()) {
	if world.blocked[[2]string{from, to}] || world.chance(world.weather.lose) {
		return
	}
	copies := 1
	if world.chance(world.weather.double) {
		copies = 2
	}
	for range copies {
		delay := time.Duration(world.rand.Int64N(int64(3 * time.Millisecond)))
		if world.chance(world.weather.late) {
			delay += time.Duration(world.rand.Int64N(int64(8 * time.Second)))
		}
		world.after(delay, deliver)
	}
}

func (world *world) fail(format string, arguments ...any) {
	world.t.Helper()
	world.t.Fatalf("seed %d at %v: %s", world.seed, world.now, fmt.Sprintf(format, arguments...))
}

// skewed is a clock that is off and runs up to one per cent fast or slow.
type skewed struct {
	offset time.Duration
	rate   float64
}

func (world *world) newClock() skewed {
	const drift = 0.004
	return skewed{time.Duration(world.rand.Int64N(int64(time.Hour))), 1 + drift*(2*world.rand.Float64()-1)}
}

func (skewed skewed) read(now time.Duration) time.Time {
	return worldStart.Add(skewed.offset + time.Duration(float64(now)*skewed.rate))
}

// node is one process: a member, and a controller on voters.
type node struct {
	world       *world
	name        id.Node
	clock       skewed
	incarnation id.Incarnation
	stored      quorum.Stored
	up          bool
	// founding is set in worlds whose nodes find each other.
	founding *founding
	// extraVoter makes a node a voter that the first ones don't know of.
	extraVoter bool
	pausedTill time.Duration
	held       []func()
	hosts      *roster.Roster
	member     *member.Member
	voter      *controller.Controller
	view       *view.View
	report     member.UsageReported
	tickets    map[controller.Ticket]func(any)
	next       controller.Ticket
}

// peer is a node that another one asks; a node's own methods can't name their
// type, which their receiver hides.
type peer = node

func nodeName(index int) id.Node { return id.Node(fmt.Sprintf("n%d", index)) }

func voterNames() []id.Node {
	names := make([]id.Node, fakeVoters)
	for index := range names {
		names[index] = nodeName(index)
	}
	return names
}

func newNode(world *world, index int) *node {
	node := &node{world: world, name: nodeName(index), clock: world.newClock()}
	node.start()
	world.after(time.Duration(world.rand.Int64N(int64(tickEvery))), node.tick)
	return node
}

func (node *node) isVoter() bool { return node.extraVoter || slices.Contains(voterNames(), node.name) }

func (node *node) local() time.Time { return node.clock.read(node.world.now) }

// start begins a new life from what the disk holds.
func (node *node) start() {
	world := node.world
	if node.up {
		return
	}
	node.incarnation++
	node.up = true
	node.view = view.Empty()
	node.held = nil
	node.tickets = map[controller.Ticket]func(any){}
	node.hosts = roster.New()
	if node.founding != nil {
		node.startFounding()
		return
	}
	node.member = member.New(node.local(), member.Config{Self: node.name, Incarnation: node.incarnation, Voters: voterNames()}, node.hosts)
	if !node.isVoter() {
		return
	}
	names := make([]id.Node, fakeNodes)
	for index := range names {
		names[index] = nodeName(index)
	}
	voter, err := controller.New(node.local(), controller.Config{
		Self: node.name, Incarnation: node.incarnation, Voters: voterNames(), Nodes: names,
		Timing: quorum.DefaultTiming(), MaxLoadingGroups: 3, CompactEntries: 100,
		ModelSpecs: []placer.Spec{{Model: fakeModel, HostsPerGroup: hostsInUnit, Weight: 1}},
		Rand:       rand.New(rand.NewPCG(world.rand.Uint64(), 2)),
	}, node.stored, node.hosts)
	if err != nil {
		world.fail("node %s can't restart: %v", node.name, err)
	}
	node.voter = voter
}

func (node *node) crash() {
	node.up = false
	node.voter = nil
	node.world.checks.crashed(node)
}

// guard runs an event on a live node, after its pause if it has one.
func (node *node) guard(do func()) func() {
	life := node.incarnation
	return func() {
		if !node.up || node.incarnation != life {
			return
		}
		if node.world.now < node.pausedTill {
			node.held = append(node.held, do)
			return
		}
		do()
	}
}

func (node *node) tick() {
	world := node.world
	world.after(tickEvery, node.tick)
	if !node.up || world.now < node.pausedTill {
		return
	}
	held := node.held
	node.held = nil
	for _, do := range held {
		if node.up {
			do()
		}
	}
	if !node.up {
		return
	}
	if node.voter != nil {
		node.execute(node.voter.Tick(node.local()))
	}
	if !node.up {
		return
	}
	node.follow(node.member.Step(node.local(), node.report))
	node.follow(node.member.Tick(node.local()))
	world.checks.observe(node)
}

// step gives the voter an event. Now and then the process dies around the sync.
func (node *node) step(event controller.Event) {
	if node.voter != nil {
		node.execute(node.voter.Step(node.local(), event))
	}
}

func (node *node) execute(actions controller.Actions) {
	world := node.world
	const crashPart = 0.002
	if !actions.Save.Empty() && world.checks.crashes && world.chance(crashPart) {
		if world.chance(0.5) {
			saveNaively(&node.stored, actions.Save)
		}
		node.crash()
		world.after(time.Duration(world.rand.Int64N(int64(4*time.Second))), node.start)
		return
	}
	saveNaively(&node.stored, actions.Save)
	for _, message := range actions.Messages {
		node.sendMessage(message)
	}
	for _, reply := range actions.Replies {
		node.answer(reply.Ticket, reply)
	}
	for _, outcome := range actions.Outcomes {
		node.answer(outcome.Ticket, outcome)
	}
	for _, order := range actions.Orders {
		for _, host := range world.hosts {
			if host.name == order.Host {
				world.send(string(node.name), string(host.name), host.guard(func() { host.obey(order) }))
			}
		}
	}
	for _, order := range actions.Orders {
		world.orderEngine(node, order)
	}
	world.checks.applied(node)
}

func (node *node) sendMessage(message quorum.Message) {
	for _, other := range node.world.nodes {
		if other.name == message.To {
			node.world.send(string(node.name), string(other.name), func() {
				other.guard(func() { other.step(controller.MessageReceived{Message: message}) })()
			})
		}
	}
}

func (node *node) answer(ticket controller.Ticket, content any) {
	if answer, ok := node.tickets[ticket]; ok {
		delete(node.tickets, ticket)
		answer(content)
	}
}

func (node *node) wait(answer func(any)) controller.Ticket {
	node.next++
	node.tickets[node.next] = answer
	return node.next
}

func (node *node) follow(actions member.Actions) {
	if actions.Changed {
		node.view = node.member.View(node.local())
		node.world.checks.observe(node)
	}
	if actions.Send == nil {
		return
	}
	request := actions.Send.Request
	node.ask(actions.Send.To, func(other *peer) {
		ticket := other.wait(func(content any) {
			reply := content.(controller.Reply)
			other.world.send(string(other.name), string(node.name), node.guard(func() { node.fed(request.Number, reply) }))
		})
		other.step(controller.FeedRequested{Ticket: ticket, Request: request})
	})
}

// ask carries a question to a voter, which answers it in its own time.
func (node *node) ask(name id.Node, question func(other *peer)) {
	for _, other := range node.world.nodes {
		if other.name == name || electorate.Address(other.name) == string(name) {
			node.world.send(string(node.name), string(other.name), func() {
				other.guard(func() { question(other) })()
			})
		}
	}
}

func (node *node) fed(number uint64, reply controller.Reply) {
	switch {
	case reply.Response != nil:
		node.follow(node.member.Step(node.local(), member.Responded{Response: *reply.Response}))
	case reply.Redirect != nil:
		node.follow(node.member.Step(node.local(), member.Redirected{Number: number, Redirect: *reply.Redirect}))
	}
}

func (host *host) guard(do func()) func() {
	return func() {
		if host.up {
			do()
		}
	}
}

// saveNaively is the plain meaning of a Save, against which the disk's own
// format is tested too.
func saveNaively(stored *quorum.Stored, save quorum.DiskWrite) {
	if save.HardState != nil {
		stored.HardState = *save.HardState
	}
	if save.Snapshot != nil {
		stored.Snapshot = save.Snapshot
		stored.Entries = nil
	}
	first := id.Index(1)
	if stored.Snapshot != nil {
		first = stored.Snapshot.Index + 1
	}
	for _, entry := range save.Entries {
		stored.Entries = append(slices.Clone(stored.Entries[:entry.Index-first]), entry)
	}
}
