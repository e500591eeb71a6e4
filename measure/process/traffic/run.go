// Package traffic tries policies on the model of the engines: the product's own
// dispatcher, two baselines, and a bound that knows all lengths. All see the
// same seeded arrivals.
//
// # Usage
//
//	result := traffic.Run(traffic.Scenario{...}, traffic.PolicyCarobline)
package traffic

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/view"
	"carobline.dev/measure/process/model"
)

// Step is the time of one token.
const Step = 20 * time.Millisecond

const (
	modelName    = id.Model("m")
	reportEvery  = 500 * time.Millisecond
	prefillSteps = 2
	// moveSteps is what a stream waits after it moved to another engine, and
	// sinkSteps after it sank a level at the same one.
	moveSteps = 4
	sinkSteps = 1
)

// Policy names how calls are given to engines.
type Policy string

// The policies.
const (
	PolicyCarobline Policy = "carobline"
	// PolicyNoSinking is carobline without levels.
	PolicyNoSinking Policy = "carobline_without_levels"
	// PolicyOneLevel and PolicyManyLevels have other thresholds.
	PolicyOneLevel         Policy = "carobline_one_level"
	PolicyManyLevels       Policy = "carobline_many_levels"
	PolicyRoundRobin       Policy = "round_robin"
	PolicyLeastConnections Policy = "least_connections"
	// PolicyBound knows all lengths and all engines' true loads.
	PolicyBound Policy = "bound"
)

// Arrival is one call.
type Arrival struct {
	At            time.Duration
	ClientAccount id.ClientAccount
	Length        int
	Prefix        uint64
}

// ClientAccount is one client account's contract in a scenario.
type ClientAccount struct {
	Name     id.ClientAccount
	Share    int
	Priority contract.Priority
	// TokensPerSecond bounds the customer; 0 leaves it free.
	TokensPerSecond float64
	Deadline        time.Duration
}

// Scenario is what all policies meet.
type Scenario struct {
	Seed           uint64
	Nodes          int
	Engines        int
	Slots          int
	PrefixPlaces   int
	ClientAccounts []ClientAccount
	Arrivals       []Arrival
	Length         time.Duration
	// SlowAt slows the first SlowEngines down by SlowFactor.
	SlowAt      time.Duration
	SlowEngines int
	SlowFactor  int
	// WindowFrom and WindowTo bound the time in which tokens are counted.
	WindowFrom, WindowTo time.Duration
}

// Outcome is what became of one call.
type Outcome struct {
	Arrival Arrival
	Refused bool
	// InWindow counts the steps with a slot in the scenario's window.
	InWindow int
	// First and Total are the times to the first and the last token; 0 when
	// there was none before the scenario's end.
	First, Total time.Duration
}

// Result is what became of a scenario.
type Result struct {
	Outcomes []Outcome
	Engines  []*model.Engine
}

// run is one scenario under one policy.
type run struct {
	scenario Scenario
	policy   Policy
	rand     *rand.Rand
	now      time.Duration
	engines  []*model.Engine
	nodes    []*node
	outcomes []Outcome
	levels   *attained.Attained
	turn     int
}

// node is one entry host.
type node struct {
	work    *dispatcher.Dispatcher
	retries *budget.Budget
	view    *view.View
	calls   map[dispatcher.Ticket]*call
	running []int
}

// call is one call on its way.
type call struct {
	index  int
	node   *node
	ticket dispatcher.Ticket
	engine int
	stream *model.Stream
	level  attained.Level
	last   time.Duration
	began  time.Duration
	token  time.Duration
	worked int
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (run *run) time() time.Time { return start.Add(run.now) }

// Run plays a scenario under a policy.
func Run(scenario Scenario, policy Policy) Result {
	run := &run{scenario: scenario, policy: policy, rand: rand.New(rand.NewPCG(scenario.Seed, 9)), levels: levelsOf(policy)}
	for range scenario.Engines {
		run.engines = append(run.engines, model.NewEngine(model.EngineConfig{Slots: scenario.Slots, Step: Step, PrefixPlaces: scenario.PrefixPlaces}))
	}
	for index := range scenario.Nodes {
		run.nodes = append(run.nodes, run.newNode(index))
	}
	run.outcomes = make([]Outcome, len(scenario.Arrivals))
	run.report()
	next := 0
	for run.now = 0; run.now < scenario.Length; run.now += Step {
		run.slowDown()
		if run.now%reportEvery == 0 {
			run.report()
		}
		for next < len(scenario.Arrivals) && scenario.Arrivals[next].At <= run.now {
			run.arrive(next)
			next++
		}
		run.pump()
		run.moveStalled()
		for _, engine := range run.engines {
			engine.Advance()
		}
	}
	return Result{Outcomes: run.outcomes[:next], Engines: run.engines}
}

func levelsOf(policy Policy) *attained.Attained {
	switch policy {
	case PolicyNoSinking:
		return attained.New(nil)
	case PolicyOneLevel:
		return attained.New([]id.Tokens{256})
	case PolicyManyLevels:
		return attained.New([]id.Tokens{64, 128, 256, 512, 1024})
	default:
		return attained.New(attained.DefaultThresholds())
	}
}

func (run *run) slowDown() {
	if run.scenario.SlowEngines == 0 || run.now < run.scenario.SlowAt {
		return
	}
	for index := range run.scenario.SlowEngines {
		run.engines[index].Slow = run.scenario.SlowFactor
	}
}

func (run *run) newNode(index int) *node {
	seed := run.scenario.Seed*100 + uint64(index)
	return &node{
		retries: budget.New(0.1, 128),
		work: dispatcher.New(start, dispatcher.Config{
			Node: id.Node(fmt.Sprintf("n%d", index)), Rand: rand.New(rand.NewPCG(seed, 5)),
		}),
		calls: map[dispatcher.Ticket]*call{}, running: make([]int, run.scenario.Engines),
	}
}

// report draws the nodes' views up anew, with loads as they were one report ago.
func (run *run) report() {
	for _, node := range run.nodes {
		fresh := &view.View{
			LeaseUntil: start.Add(time.Hour * 24), ClientAccounts: map[id.ClientAccount]*view.ClientAccount{},
			Share: run.share(node), Models: map[id.Model]*view.Set{}, Endpoints: map[feed.Endpoint]*view.Endpoint{},
		}
		run.addClientAccounts(fresh)
		var endpoints []*view.Endpoint
		for index, engine := range run.engines {
			running, queued, urgent := engine.Load()
			endpoint := &view.Endpoint{
				Name: feed.Endpoint{Group: id.Group(fmt.Sprintf("g%03d", index))}, Model: modelName, Address: fmt.Sprint(index),
				Resumes: true, Accepting: true, ValidUntil: fresh.LeaseUntil, Report: uint64(run.now/reportEvery) + 1,
				Prefixes: engine.Prefixes(),
				Load:     roster.Load{Slots: run.scenario.Slots, Running: running, Queued: queued, HighestPriority: urgent},
			}
			fresh.Endpoints[endpoint.Name] = endpoint
			endpoints = append(endpoints, endpoint)
		}
		fresh.Models[modelName] = view.NewSet(endpoints)
		node.view = fresh
	}
}

// share is a node's part of all calls, as the leader works it out.
func (run *run) share(of *node) float64 {
	total := 0
	for _, node := range run.nodes {
		total += 1 + len(node.calls)
	}
	return float64(1+len(of.calls)) / float64(total)
}

func (run *run) addClientAccounts(fresh *view.View) {
	const free = 1e9
	for _, clientAccount := range run.scenario.ClientAccounts {
		tokens := clientAccount.TokensPerSecond
		if tokens == 0 {
			tokens = free
		}
		fresh.ClientAccounts[clientAccount.Name] = &view.ClientAccount{
			Contract: contract.Contract{
				ClientAccount: clientAccount.Name, Share: clientAccount.Share, Priority: clientAccount.Priority, QueuePlaces: free,
				DeadlineMS: clientAccount.Deadline.Milliseconds(),
			},
			Quota: granter.Quota{RequestsPerSecond: free, TokensPerSecond: tokens / float64(run.scenario.Nodes), Concurrency: free},
		}
	}
}

func (run *run) arrive(index int) {
	arrival := run.scenario.Arrivals[index]
	run.outcomes[index].Arrival = arrival
	node := run.nodes[run.rand.IntN(len(run.nodes))]
	switch run.policy {
	case PolicyRoundRobin:
		run.turn++
		run.begin(&call{index: index, node: node, engine: run.turn % len(run.engines)}, 0)
	case PolicyLeastConnections:
		run.begin(&call{index: index, node: node, engine: least(node.running)}, 0)
	case PolicyBound:
		run.begin(&call{index: index, node: node, engine: run.leastTrue(arrival.Length)}, arrival.Length)
	default:
		run.submit(index, node)
	}
}

func least(counts []int) int {
	best := 0
	for index, count := range counts {
		if count < counts[best] {
			best = index
		}
	}
	return best
}

// leastTrue finds the engine with the fewest streams that are no longer than
// this one, then with the fewest of all.
func (run *run) leastTrue(length int) int {
	best, bestAhead, bestAll := 0, int(1e9), int(1e9)
	for index, engine := range run.engines {
		ahead, all := engine.Contenders(length)
		if ahead < bestAhead || (ahead == bestAhead && all < bestAll) {
			best, bestAhead, bestAll = index, ahead, all
		}
	}
	return best
}

func (run *run) submit(index int, node *node) {
	arrival := run.scenario.Arrivals[index]
	ticket, refusal := node.work.Submit(run.time(), node.view, dispatcher.Call{
		ClientAccount: arrival.ClientAccount, Model: modelName, Prompt: 100, Prefix: arrival.Prefix,
	})
	if refusal != nil {
		run.outcomes[index].Refused = true
		return
	}
	node.retries.Earn()
	node.calls[ticket] = &call{index: index, node: node, ticket: ticket, engine: -1}
}

// pump starts what the nodes' dispatchers let go.
func (run *run) pump() {
	for _, node := range run.nodes {
		for _, decision := range node.work.Pump(run.time(), node.view) {
			waiting := node.calls[decision.Ticket]
			if decision.Refusal != nil {
				run.outcomes[waiting.index].Refused = true
				delete(node.calls, decision.Ticket)
				continue
			}
			run.attach(waiting, decision.Endpoint)
		}
	}
}

func (run *run) attach(call *call, endpoint *view.Endpoint) {
	var engine int
	_, _ = fmt.Sscan(endpoint.Address, &engine) // the address is a number that report wrote
	if call.stream == nil {
		call.engine = engine
		run.begin(call, int(call.level))
		return
	}
	call.stream.Prefill = moveSteps
	if engine == call.engine {
		call.stream.Prefill = sinkSteps
	}
	call.engine = engine
	call.node.running[engine]++
	call.began = run.now
	call.stream.Priority = int(call.level)
	run.engines[engine].Join(call.stream)
}

// begin puts a new call on its engine.
func (run *run) begin(call *call, priority int) {
	arrival := run.scenario.Arrivals[call.index]
	call.stream = &model.Stream{Length: arrival.Length, Prefill: prefillSteps, Priority: priority, Prefix: arrival.Prefix}
	call.stream.Token = func(stream *model.Stream) { run.token(call, stream) }
	call.began = run.now
	call.node.running[call.engine]++
	if run.engines[call.engine].Join(call.stream) {
		call.stream.Prefill = 0
	}
}

func (run *run) token(call *call, stream *model.Stream) {
	outcome := &run.outcomes[call.index]
	at := run.now + Step
	if stream.Done == 1 {
		outcome.First = at - outcome.Arrival.At
	}
	if at > run.scenario.WindowFrom && at <= run.scenario.WindowTo {
		outcome.InWindow += stream.Worked - call.worked
	}
	call.worked = stream.Worked
	ended := stream.Done >= stream.Length
	if ended {
		outcome.Total = at - outcome.Arrival.At
		call.node.running[call.engine]--
	}
	if call.ticket == 0 {
		return
	}
	now := start.Add(at)
	slow := run.pace(call, at)
	call.token = at
	if stream.Done == 1 {
		call.node.work.FirstToken(at - call.began)
	}
	if ended {
		call.node.work.Finished(now, call.ticket, id.Tokens(stream.Done), false)
		delete(call.node.calls, call.ticket)
		return
	}
	level := run.levels.Level(id.Tokens(stream.Done))
	if level <= call.level && !slow {
		return
	}
	call.level = level
	run.move(call, now, slow)
}

// moveStalled moves the calls that have been without a token for too long,
// within the budget for retries, as the product does.
func (run *run) moveStalled() {
	for _, node := range run.nodes {
		for _, ticket := range slices.Sorted(maps.Keys(node.calls)) {
			call := node.calls[ticket]
			if call.engine < 0 || call.stream == nil {
				continue
			}
			since := max(call.began, call.token)
			if node.work.Stalled(run.time(), ticket, run.now-since, call.stream.Done > 0) && node.retries.Spend() {
				run.move(call, run.time(), true)
			}
		}
	}
}

// move takes a call from its engine and gives it to the one that its node's
// dispatcher picks.
func (run *run) move(call *call, now time.Time, failed bool) {
	call.last = 0
	call.node.running[call.engine]--
	run.engines[call.engine].Leave(call.stream)
	endpoint, ok := call.node.work.Move(now, call.node.view, call.ticket, call.level, failed)
	if !ok {
		call.engine = -1
		return
	}
	run.attach(call, endpoint)
}

// pace samples the time between tokens as the product does.
func (run *run) pace(call *call, at time.Duration) bool {
	if call.last == 0 {
		call.last = at
		return false
	}
	const sampleEvery = 100 * time.Millisecond
	if at-call.last < sampleEvery {
		return false
	}
	tokens := max(1, int((at-call.last)/Step)/run.engines[call.engine].Slow)
	gap := (at - call.last) / time.Duration(tokens)
	call.last = at
	return call.node.work.Pace(start.Add(at), call.ticket, gap)
}
