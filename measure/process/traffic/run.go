// Package traffic simulates dispatch policies on the model of the engines: the
// product's own dispatcher, two baselines, and a bound that uses the length of each
// call. All of them get the same seeded arrivals.
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

// StepTime is the time of one token at an engine that isn't slow, and the step of
// the simulation.
const StepTime = 20 * time.Millisecond

const (
	modelName      = id.Model("m")
	reportInterval = 500 * time.Millisecond
	prefillSteps   = 2
	// moveDelaySteps is how many steps of prefill a stream needs after a move to
	// another engine, and demotionDelaySteps after a demotion at the same one.
	moveDelaySteps     = 4
	demotionDelaySteps = 1
)

// Policy names a way of choosing the engine of a call.
type Policy string

// The policies.
const (
	PolicyCarobline Policy = "carobline"
	// PolicyNoLevels is the product's dispatcher without demotion to lower levels.
	PolicyNoLevels Policy = "carobline_without_levels"
	// PolicyOneLevel and PolicyManyLevels are the product's dispatcher with other
	// thresholds of demotion.
	PolicyOneLevel         Policy = "carobline_one_level"
	PolicyManyLevels       Policy = "carobline_many_levels"
	PolicyRoundRobin       Policy = "round_robin"
	PolicyLeastConnections Policy = "least_connections"
	// PolicyBound uses the length of each call and the present load of each engine.
	PolicyBound Policy = "bound"
)

// Arrival is one call: when it comes, and how many tokens its answer has.
type Arrival struct {
	At            time.Duration
	ClientAccount id.ClientAccount
	Tokens        int
	Prefix        uint64
}

// ClientAccount is the contract of one client account in a scenario.
type ClientAccount struct {
	Name     id.ClientAccount
	Share    int
	Priority contract.Priority
	// TokensPerSecond is the client account's rate limit; 0 means no limit.
	TokensPerSecond float64
	Deadline        time.Duration
}

// Scenario is the input of a simulation, the same for all policies. Nodes is the
// number of entry hosts, Arrivals are in order of time, and Duration is the
// simulated time.
type Scenario struct {
	Seed              uint64
	Nodes             int
	Engines           int
	SlotsPerEngine    int
	MaxCachedPrefixes int
	ClientAccounts    []ClientAccount
	Arrivals          []Arrival
	Duration          time.Duration
	// From SlowAt on, the first SlowEngines engines take SlowFactor times as long for
	// each step.
	SlowAt      time.Duration
	SlowEngines int
	SlowFactor  int
	// WindowFrom and WindowTo bound the time in which Outcome.StepsInWindow counts.
	WindowFrom, WindowTo time.Duration
}

// Outcome is the result of one call.
type Outcome struct {
	Arrival Arrival
	Refused bool
	// StepsInWindow counts the steps with a slot in the scenario's window.
	StepsInWindow int
	// TimeToFirstToken and TimeToLastToken count from the arrival; 0 means that
	// the token didn't come before the end of the scenario.
	TimeToFirstToken, TimeToLastToken time.Duration
}

// Result holds the outcomes of the calls in order of arrival, and the engines in
// their final state.
type Result struct {
	Outcomes []Outcome
	Engines  []*model.Engine
}

// simulation runs one scenario under one policy.
type simulation struct {
	scenario       Scenario
	policy         Policy
	rand           *rand.Rand
	now            time.Duration
	engines        []*model.Engine
	nodes          []*node
	outcomes       []Outcome
	levels         *attained.Attained
	lastRoundRobin int
}

// node is one entry host.
type node struct {
	dispatcher      *dispatcher.Dispatcher
	retryBudget     *budget.Budget
	view            *view.View
	callByTicket    map[dispatcher.Ticket]*call
	runningByEngine []int
}

// call is one call in progress. ticket is 0 under the policies without a dispatcher,
// and engineIndex is -1 while the call is queued at its node. Times are those of the
// simulation; a zero paceSampledAt or lastTokenAt means that there is none yet.
type call struct {
	arrivalIndex  int
	node          *node
	ticket        dispatcher.Ticket
	engineIndex   int
	stream        *model.Stream
	level         attained.Level
	paceSampledAt time.Duration
	attachedAt    time.Duration
	lastTokenAt   time.Duration
	countedSteps  int
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (simulation *simulation) time() time.Time { return startTime.Add(simulation.now) }

// Run simulates a scenario under a policy.
func Run(scenario Scenario, policy Policy) Result {
	simulation := &simulation{scenario: scenario, policy: policy, rand: rand.New(rand.NewPCG(scenario.Seed, 9)), levels: levelsOf(policy)}
	for range scenario.Engines {
		simulation.engines = append(simulation.engines, model.NewEngine(model.EngineConfig{Slots: scenario.SlotsPerEngine, StepTime: StepTime, MaxCachedPrefixes: scenario.MaxCachedPrefixes}))
	}
	for index := range scenario.Nodes {
		simulation.nodes = append(simulation.nodes, simulation.newNode(index))
	}
	simulation.outcomes = make([]Outcome, len(scenario.Arrivals))
	simulation.refreshViews()
	nextArrival := 0
	for simulation.now = 0; simulation.now < scenario.Duration; simulation.now += StepTime {
		simulation.slowEngines()
		if simulation.now%reportInterval == 0 {
			simulation.refreshViews()
		}
		for nextArrival < len(scenario.Arrivals) && scenario.Arrivals[nextArrival].At <= simulation.now {
			simulation.dispatch(nextArrival)
			nextArrival++
		}
		simulation.startQueued()
		simulation.failOverStalled()
		for _, engine := range simulation.engines {
			engine.Advance()
		}
	}
	return Result{Outcomes: simulation.outcomes[:nextArrival], Engines: simulation.engines}
}

func levelsOf(policy Policy) *attained.Attained {
	switch policy {
	case PolicyNoLevels:
		return attained.New(nil)
	case PolicyOneLevel:
		return attained.New([]id.Tokens{256})
	case PolicyManyLevels:
		return attained.New([]id.Tokens{64, 128, 256, 512, 1024})
	default:
		return attained.New(attained.DefaultThresholds())
	}
}

func (simulation *simulation) slowEngines() {
	if simulation.scenario.SlowEngines == 0 || simulation.now < simulation.scenario.SlowAt {
		return
	}
	for index := range simulation.scenario.SlowEngines {
		simulation.engines[index].SlowFactor = simulation.scenario.SlowFactor
	}
}

func (simulation *simulation) newNode(index int) *node {
	seed := simulation.scenario.Seed*100 + uint64(index)
	return &node{
		retryBudget: budget.New(0.1, 128),
		dispatcher: dispatcher.New(startTime, dispatcher.Config{
			Node: id.Node(fmt.Sprintf("n%d", index)), Rand: rand.New(rand.NewPCG(seed, 5)),
		}),
		callByTicket: map[dispatcher.Ticket]*call{}, runningByEngine: make([]int, simulation.scenario.Engines),
	}
}

// refreshViews rebuilds the nodes' views from the present loads of the engines. The
// nodes decide on these loads until the next refresh, one reportInterval later.
func (simulation *simulation) refreshViews() {
	for _, node := range simulation.nodes {
		refreshed := &view.View{
			LeaseUntil: startTime.Add(time.Hour * 24), ClientAccounts: map[id.ClientAccount]*view.ClientAccount{},
			Share: simulation.nodeShare(node), Models: map[id.Model]*view.Set{}, Endpoints: map[feed.Endpoint]*view.Endpoint{},
		}
		simulation.addClientAccounts(refreshed)
		var endpoints []*view.Endpoint
		for index, engine := range simulation.engines {
			running, queued, highestPriority := engine.Load()
			endpoint := &view.Endpoint{
				Name: feed.Endpoint{Group: id.Group(fmt.Sprintf("g%03d", index))}, Model: modelName, Address: fmt.Sprint(index),
				Resumes: true, Accepting: true, ValidUntil: refreshed.LeaseUntil, AnnouncementSequence: uint64(simulation.now/reportInterval) + 1,
				Prefixes: engine.CachedPrefixes(),
				Load:     roster.Load{Slots: simulation.scenario.SlotsPerEngine, Running: running, Queued: queued, HighestPriorityRequests: highestPriority},
			}
			refreshed.Endpoints[endpoint.Name] = endpoint
			endpoints = append(endpoints, endpoint)
		}
		refreshed.Models[modelName] = view.NewSet(endpoints)
		node.view = refreshed
	}
}

// nodeShare returns a node's fraction of all calls, by the leader's formula.
func (simulation *simulation) nodeShare(sharer *node) float64 {
	total := 0
	for _, node := range simulation.nodes {
		total += 1 + len(node.callByTicket)
	}
	return float64(1+len(sharer.callByTicket)) / float64(total)
}

func (simulation *simulation) addClientAccounts(refreshed *view.View) {
	const unlimited = 1e9
	for _, clientAccount := range simulation.scenario.ClientAccounts {
		tokens := clientAccount.TokensPerSecond
		if tokens == 0 {
			tokens = unlimited
		}
		refreshed.ClientAccounts[clientAccount.Name] = &view.ClientAccount{
			Contract: contract.Contract{
				ClientAccount: clientAccount.Name, Share: clientAccount.Share, Priority: clientAccount.Priority, QueuePlaces: unlimited,
				DeadlineMS: clientAccount.Deadline.Milliseconds(),
			},
			Quota: granter.Quota{RequestsPerSecond: unlimited, TokensPerSecond: tokens / float64(simulation.scenario.Nodes), Concurrency: unlimited},
		}
	}
}

// dispatch gives an arrival to a random node, as a load balancer in front would, and
// to an engine by the policy.
func (simulation *simulation) dispatch(index int) {
	arrival := simulation.scenario.Arrivals[index]
	simulation.outcomes[index].Arrival = arrival
	node := simulation.nodes[simulation.rand.IntN(len(simulation.nodes))]
	switch simulation.policy {
	case PolicyRoundRobin:
		simulation.lastRoundRobin++
		simulation.startCall(&call{arrivalIndex: index, node: node, engineIndex: simulation.lastRoundRobin % len(simulation.engines)}, 0)
	case PolicyLeastConnections:
		simulation.startCall(&call{arrivalIndex: index, node: node, engineIndex: indexOfLeast(node.runningByEngine)}, 0)
	case PolicyBound:
		simulation.startCall(&call{arrivalIndex: index, node: node, engineIndex: simulation.engineWithFewestShorter(arrival.Tokens)}, arrival.Tokens)
	default:
		simulation.submit(index, node)
	}
}

// indexOfLeast returns the first index of the smallest count.
func indexOfLeast(counts []int) int {
	bestIndex := 0
	for index, count := range counts {
		if count < counts[bestIndex] {
			bestIndex = index
		}
	}
	return bestIndex
}

// engineWithFewestShorter returns the index of the engine with the fewest streams
// that have at most the given number of tokens left, and among equals with the
// fewest streams.
func (simulation *simulation) engineWithFewestShorter(tokens int) int {
	bestIndex, bestAhead, bestAll := 0, int(1e9), int(1e9)
	for index, engine := range simulation.engines {
		ahead, all := engine.CountRemaining(tokens)
		if ahead < bestAhead || (ahead == bestAhead && all < bestAll) {
			bestIndex, bestAhead, bestAll = index, ahead, all
		}
	}
	return bestIndex
}

// submit queues an arrival at its node's dispatcher, or records the refusal.
func (simulation *simulation) submit(index int, node *node) {
	arrival := simulation.scenario.Arrivals[index]
	ticket, refusal := node.dispatcher.Submit(simulation.time(), node.view, dispatcher.Call{
		ClientAccount: arrival.ClientAccount, Model: modelName, Prompt: 100, Prefix: arrival.Prefix,
	})
	if refusal != nil {
		simulation.outcomes[index].Refused = true
		return
	}
	node.retryBudget.Earn()
	node.callByTicket[ticket] = &call{arrivalIndex: index, node: node, ticket: ticket, engineIndex: -1}
}

// startQueued carries out the decisions of the nodes' dispatchers: it starts or
// refuses queued calls.
func (simulation *simulation) startQueued() {
	for _, node := range simulation.nodes {
		for _, decision := range node.dispatcher.Pump(simulation.time(), node.view) {
			queued := node.callByTicket[decision.Ticket]
			if decision.Refusal != nil {
				simulation.outcomes[queued.arrivalIndex].Refused = true
				delete(node.callByTicket, decision.Ticket)
				continue
			}
			simulation.attach(queued, decision.Endpoint)
		}
	}
}

// attach adds a call to the engine of an endpoint: a new stream, or the rest of one
// that was moved or demoted.
func (simulation *simulation) attach(call *call, endpoint *view.Endpoint) {
	var engineIndex int
	_, _ = fmt.Sscan(endpoint.Address, &engineIndex) // refreshViews wrote the index as the address
	if call.stream == nil {
		call.engineIndex = engineIndex
		simulation.startCall(call, int(call.level))
		return
	}
	call.stream.PrefillSteps = moveDelaySteps
	if engineIndex == call.engineIndex {
		call.stream.PrefillSteps = demotionDelaySteps
	}
	call.engineIndex = engineIndex
	call.node.runningByEngine[engineIndex]++
	call.attachedAt = simulation.now
	call.stream.Priority = int(call.level)
	simulation.engines[engineIndex].Add(call.stream)
}

// startCall adds the stream of a new call to its engine.
func (simulation *simulation) startCall(call *call, priority int) {
	arrival := simulation.scenario.Arrivals[call.arrivalIndex]
	call.stream = &model.Stream{TokensTotal: arrival.Tokens, PrefillSteps: prefillSteps, Priority: priority, Prefix: arrival.Prefix}
	call.stream.OnToken = func(stream *model.Stream) { simulation.recordToken(call, stream) }
	call.attachedAt = simulation.now
	call.node.runningByEngine[call.engineIndex]++
	if simulation.engines[call.engineIndex].Add(call.stream) {
		call.stream.PrefillSteps = 0
	}
}

// recordToken records a token in the outcome of its call and reports it to the
// call's dispatcher, if there is one. The call moves if it has been demoted to a
// lower level or its endpoint has been ejected as slow.
func (simulation *simulation) recordToken(call *call, stream *model.Stream) {
	outcome := &simulation.outcomes[call.arrivalIndex]
	at := simulation.now + StepTime
	if stream.TokensDone == 1 {
		outcome.TimeToFirstToken = at - outcome.Arrival.At
	}
	if at > simulation.scenario.WindowFrom && at <= simulation.scenario.WindowTo {
		outcome.StepsInWindow += stream.StepsWithSlot - call.countedSteps
	}
	call.countedSteps = stream.StepsWithSlot
	ended := stream.TokensDone >= stream.TokensTotal
	if ended {
		outcome.TimeToLastToken = at - outcome.Arrival.At
		call.node.runningByEngine[call.engineIndex]--
	}
	if call.ticket == 0 {
		return
	}
	now := startTime.Add(at)
	slow := simulation.samplePace(call, at)
	call.lastTokenAt = at
	if stream.TokensDone == 1 {
		call.node.dispatcher.FirstToken(at - call.attachedAt)
	}
	if ended {
		call.node.dispatcher.Finished(now, call.ticket, id.Tokens(stream.TokensDone), false)
		delete(call.node.callByTicket, call.ticket)
		return
	}
	level := simulation.levels.Level(id.Tokens(stream.TokensDone))
	if level <= call.level && !slow {
		return
	}
	call.level = level
	simulation.move(call, now, slow)
}

// failOverStalled moves the calls whose streams have stalled, within the retry
// budget, as the product does.
func (simulation *simulation) failOverStalled() {
	for _, node := range simulation.nodes {
		for _, ticket := range slices.Sorted(maps.Keys(node.callByTicket)) {
			call := node.callByTicket[ticket]
			if call.engineIndex < 0 || call.stream == nil {
				continue
			}
			lastProgressAt := max(call.attachedAt, call.lastTokenAt)
			if node.dispatcher.Stalled(simulation.time(), ticket, simulation.now-lastProgressAt, call.stream.TokensDone > 0) && node.retryBudget.Spend() {
				simulation.move(call, simulation.time(), true)
			}
		}
	}
}

// move removes a call from its engine and attaches it to the one that its node's
// dispatcher picks. If it picks none, the call is queued for a later startQueued.
func (simulation *simulation) move(call *call, now time.Time, failed bool) {
	call.paceSampledAt = 0
	call.node.runningByEngine[call.engineIndex]--
	simulation.engines[call.engineIndex].Remove(call.stream)
	endpoint, ok := call.node.dispatcher.Move(now, call.node.view, call.ticket, call.level, failed)
	if !ok {
		call.engineIndex = -1
		return
	}
	simulation.attach(call, endpoint)
}

// samplePace reports the mean time between tokens to the dispatcher, at most once in
// sampleInterval, as the product does. It returns true if the dispatcher has ejected
// the endpoint as slow.
func (simulation *simulation) samplePace(call *call, at time.Duration) bool {
	if call.paceSampledAt == 0 {
		call.paceSampledAt = at
		return false
	}
	const sampleInterval = 100 * time.Millisecond
	if at-call.paceSampledAt < sampleInterval {
		return false
	}
	tokens := max(1, int((at-call.paceSampledAt)/StepTime)/simulation.engines[call.engineIndex].SlowFactor)
	gap := (at - call.paceSampledAt) / time.Duration(tokens)
	call.paceSampledAt = at
	return call.node.dispatcher.Pace(startTime.Add(at), call.ticket, gap)
}
