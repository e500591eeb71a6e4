package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/view"
)

const (
	tick = 2 * time.Millisecond
	// maxTries is how often a caller asks: it returns once.
	maxTries = 2
)

var (
	model = id.Model("m")
	pool  = balancer.Pool{Service: "pool", Model: model}
)

// call is one call with what its caller has seen of it.
type call struct {
	number balancer.Number
	kind   int
	// size weighs the call's credit: its prompt and ten times its answer, in tokens.
	size      int
	prompt    int
	events    int
	arrivedAt time.Duration
	sentAt    time.Duration
	host      *entryHost
	group     int
	tries     int
	tried     []feed.Endpoint
	waitUntil time.Duration
	// unread is how much of the prompt the group must still read, and inPass is set
	// once the call is written.
	unread, eventsLeft int
	inPass             bool
	firstAt, lastAt    time.Duration
	longestPause       time.Duration
	served             bool
	kindOf             *Kind
}

func (call *call) onTime() bool {
	return call.firstAt-call.arrivedAt <= call.kindOf.Target && call.longestPause <= call.kindOf.Pause
}

// entryHost is one entry host and its balancer.
type entryHost struct {
	index    int
	balancer *balancer.Balancer
	waiting  map[balancer.Number]*call
}

// simulation is one run.
type simulation struct {
	scenario   Scenario
	knowledge  Knowledge
	rand       *rand.Rand
	now        time.Duration
	hosts      []*entryHost
	groups     []*group
	calls      []*call
	lastNumber balancer.Number
	// returns are the refused calls by when they come back.
	returns []returning
	// counts are the calls of each entry host at each group, by report.
	counts  [][][]int
	started time.Time
}

type returning struct {
	at   time.Duration
	call *call
}

// Simulate runs a scenario. The same seed gives the same result.
func Simulate(scenario Scenario, knowledge Knowledge, seed uint64) Result {
	simulation := &simulation{
		scenario: scenario, knowledge: knowledge, rand: rand.New(rand.NewPCG(seed, 11)), //nolint:gosec // a seeded model
		started: time.Unix(1000, 0),
	}
	for range scenario.Groups {
		simulation.groups = append(simulation.groups, &group{engine: scenario.Engine})
	}
	for index := range scenario.EntryHosts {
		simulation.hosts = append(simulation.hosts, &entryHost{
			index: index, balancer: balancer.New(rand.New(rand.NewPCG(seed, uint64(index)))), waiting: map[balancer.Number]*call{}, //nolint:gosec // a seeded model
		})
	}
	for ; simulation.now < scenario.Length+scenario.Kinds[0].Deadline; simulation.now += tick {
		simulation.step()
	}
	return simulation.result()
}

func (simulation *simulation) clock() time.Time { return simulation.started.Add(simulation.now) }

func (simulation *simulation) step() {
	simulation.applyLosses()
	if simulation.now%simulation.knowledge.ReportInterval < tick {
		simulation.report()
	}
	for index, group := range simulation.groups {
		for _, call := range group.advance(simulation.now) {
			simulation.progress(call, index)
		}
	}
	simulation.arrive()
	for len(simulation.returns) > 0 && simulation.returns[0].at <= simulation.now {
		call := simulation.returns[0].call
		simulation.returns = simulation.returns[1:]
		call.host = simulation.hosts[simulation.rand.IntN(len(simulation.hosts))]
		simulation.submit(call, false)
	}
	for _, host := range simulation.hosts {
		simulation.expire(host)
	}
	for index, group := range simulation.groups {
		simulation.cancelOverdue(index, group)
	}
}

// arrive adds the calls of one tick.
func (simulation *simulation) arrive() {
	if simulation.now >= simulation.scenario.Length {
		return
	}
	wave := 1 + simulation.scenario.Swing*math.Sin(2*math.Pi*float64(simulation.now)/float64(simulation.scenario.Period))
	for index := range simulation.scenario.Kinds {
		kind := &simulation.scenario.Kinds[index]
		if simulation.rand.Float64() >= kind.CallsPerSecond*wave*tick.Seconds() {
			continue
		}
		prompt := int(40 + logNormal(simulation.rand, kind.PromptTokens, kind.PromptSpread, kind.MaxPromptTokens))
		events := max(1, int(logNormal(simulation.rand, kind.Events, kind.EventsSpread, kind.MaxEvents)))
		call := &call{
			kind: index, kindOf: kind, prompt: prompt, events: events, eventsLeft: events, arrivedAt: simulation.now,
			size: prompt + 10*events*simulation.scenario.Engine.StepsPerEvent, host: simulation.hosts[simulation.rand.IntN(len(simulation.hosts))],
		}
		simulation.calls = append(simulation.calls, call)
		simulation.submit(call, false)
	}
}

// submit asks the call's entry host for a group.
func (simulation *simulation) submit(call *call, failover bool) {
	simulation.lastNumber++
	call.number = simulation.lastNumber
	late := simulation.now-call.arrivedAt > call.kindOf.Target
	due := simulation.clock().Add(call.kindOf.Target)
	decision := call.host.balancer.Submit(simulation.clock(), balancer.Call{
		Number: call.number, Pool: pool, Due: due, Late: late && !failover, Tried: call.tried, Failover: failover,
	})
	if decision.Verdict == balancer.VerdictWait {
		call.waitUntil = simulation.now + decision.WaitUntil.Sub(simulation.clock())
		call.host.waiting[call.number] = call
		return
	}
	simulation.decide(call, decision)
}

// decide carries out a decision that isn't to wait.
func (simulation *simulation) decide(call *call, decision balancer.Decision) {
	delete(call.host.waiting, call.number)
	if decision.Verdict == balancer.VerdictRefuse {
		call.tries++
		returnsAt := simulation.now + decision.RetryAfter
		if call.firstAt == 0 && call.tries < maxTries && decision.RetryAfter < (call.kindOf.Deadline-(simulation.now-call.arrivedAt))/3 {
			simulation.returns = append(simulation.returns, returning{returnsAt, call})
			slices.SortStableFunc(simulation.returns, func(a, b returning) int { return int(a.at - b.at) })
		}
		return
	}
	call.group, _ = groupIndex(decision.Endpoint.Name)
	call.sentAt, call.tried = simulation.now, append(call.tried, decision.Endpoint.Name)
	call.unread, call.inPass = call.prompt+(call.events-call.eventsLeft)*simulation.scenario.Engine.StepsPerEvent, false
	simulation.groups[call.group].add(call)
}

func groupName(index int) feed.Endpoint {
	return feed.Endpoint{Group: id.Group(fmt.Sprintf("g%02d", index))}
}

func groupIndex(name feed.Endpoint) (int, error) {
	index := 0
	_, err := fmt.Sscanf(string(name.Group), "g%d", &index)
	return index, err
}

// progress passes an event of a call on to its caller.
func (simulation *simulation) progress(call *call, group int) {
	if call.firstAt == 0 {
		call.firstAt = simulation.now
		call.host.balancer.ObserveTimeToFirstEvent(pool, simulation.now-call.sentAt)
	} else {
		call.longestPause = max(call.longestPause, simulation.now-call.lastAt)
	}
	call.lastAt = simulation.now
	if call.eventsLeft <= 0 {
		call.served = simulation.now-call.arrivedAt <= call.kindOf.Deadline
		simulation.done(call, group, balancer.Served)
	}
}

func (simulation *simulation) done(call *call, group int, ending balancer.Ending) {
	for _, decision := range call.host.balancer.Done(simulation.clock(), balancer.Call{Pool: pool}, groupName(group), ending) {
		if waiting := call.host.waiting[decision.Call]; waiting != nil {
			simulation.decide(waiting, decision)
		}
	}
}

// expire refuses the calls that have waited for too long.
func (simulation *simulation) expire(host *entryHost) {
	for number, call := range host.waiting {
		if simulation.now < call.waitUntil {
			continue
		}
		if decision, waited := host.balancer.Cancel(simulation.clock(), balancer.Call{Number: number, Pool: pool}); waited {
			simulation.decide(call, decision)
		}
	}
}

// cancelOverdue cancels the calls of a group that are past their deadline.
func (simulation *simulation) cancelOverdue(index int, group *group) {
	var overdue []*call
	group.calls = slices.DeleteFunc(group.calls, func(call *call) bool {
		late := simulation.now-call.arrivedAt > call.kindOf.Deadline
		if late {
			overdue = append(overdue, call)
		}
		return late
	})
	for _, call := range overdue {
		simulation.done(call, index, balancer.Abandoned)
	}
}

// applyLosses stops groups, whose calls go on elsewhere, and brings them back.
func (simulation *simulation) applyLosses() {
	for index, loss := range simulation.scenario.Losses {
		group := simulation.groups[index%len(simulation.groups)]
		if simulation.now >= loss.BackAt && simulation.now < loss.BackAt+tick {
			group.lost = false
		}
		if simulation.now < loss.At || simulation.now >= loss.At+tick {
			continue
		}
		group.lost = true
		moved := group.calls
		group.calls = nil
		for _, call := range moved {
			simulation.done(call, index%len(simulation.groups), balancer.Failed)
			simulation.submit(call, true)
		}
	}
}

// report gives each entry host a new view, with the calls of the others as they were
// before the lag.
func (simulation *simulation) report() {
	counts := make([][]int, len(simulation.hosts))
	for _, host := range simulation.hosts {
		counts[host.index] = make([]int, len(simulation.groups))
		for name, running := range host.balancer.Running() {
			if index, err := groupIndex(name); err == nil {
				counts[host.index][index] = running
			}
		}
	}
	simulation.counts = append(simulation.counts, counts)
	old := simulation.counts[max(0, len(simulation.counts)-1-int(simulation.knowledge.ReportLag/simulation.knowledge.ReportInterval))]
	for _, host := range simulation.hosts {
		for _, decision := range host.balancer.Update(simulation.clock(), simulation.view(host, old)) {
			if waiting := host.waiting[decision.Call]; waiting != nil {
				simulation.decide(waiting, decision)
			}
		}
	}
}

func (simulation *simulation) view(host *entryHost, counts [][]int) *view.View {
	built := &view.View{Models: map[id.Model]*view.Set{}, Endpoints: map[feed.Endpoint]*view.Endpoint{}}
	var endpoints []*view.Endpoint
	own, all := 1, len(simulation.hosts)
	for index, group := range simulation.groups {
		if group.lost {
			continue
		}
		endpoint := &view.Endpoint{
			Name: groupName(index), Model: model, EngineService: pool.Service, Load: roster.Load{Slots: simulation.scenario.Engine.Slots}, Accepting: true,
		}
		for other := range counts {
			all += counts[other][index]
			if other != host.index {
				endpoint.RunningElsewhere += counts[other][index]
				continue
			}
			own += counts[other][index]
		}
		endpoints = append(endpoints, endpoint)
		built.Endpoints[endpoint.Name] = endpoint
	}
	built.Models[model] = view.NewSet(endpoints)
	built.Share = float64(own) / float64(all)
	return built
}
