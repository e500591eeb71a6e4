package admission

import (
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/request/shedding"
)

const (
	// maxTries is how often a caller asks: it returns once.
	maxTries = 2
	// maxSends is to how many groups an entry host sends a call, and maxRuns how many of
	// them may have begun it.
	maxSends = 4
	maxRuns  = 2
	// earnedRetries and maxSavedRetries are the budget of an entry host for sending a
	// call again, and rejectedRetryAfter is what the caller receives when it is used up.
	earnedRetries      = 0.15
	maxSavedRetries    = 12
	savedPart          = 0.9
	rejectedRetryAfter = 500 * time.Millisecond
	// minStartTimeout and minPauseTimeout are the least times without an event after
	// which the model takes a call from its group. Entry hosts keep it there until another
	// has gone on with it.
	minStartTimeout = 800 * time.Millisecond
	minPauseTimeout = 400 * time.Millisecond
	// lateSlack is the part of its deadline that a caller may have used up without being
	// late.
	lateSlack = 0.15
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
	// askedAt is when its caller last asked.
	askedAt   time.Duration
	sentAt    time.Duration
	host      *entryHost
	group     int
	tries     int
	runs      int
	refused   bool
	tried     []feed.Endpoint
	waitUntil time.Duration
	// unread is how much of the prompt the group must still read, and inPass is set
	// once the call is written.
	unread, eventsLeft int
	// level is the priority at which its group admits it.
	level           int
	inPass          bool
	firstAt, lastAt time.Duration
	longestPause    time.Duration
	served          bool
	// replacement is the search for another group beside an unresponsive one, and original the
	// call that a search is for. reportedAt is when the pause was reported last.
	replacement, original  *call
	reportedAt, searchedAt time.Duration
	kindOf                 *Kind
}

func (call *call) onTime() bool {
	return call.firstAt-call.arrivedAt <= call.kindOf.Target && call.longestPause <= call.kindOf.Pause
}

// begun reports whether the call has had an event from its present group.
func (call *call) begun() bool { return call.lastAt > call.sentAt }

type returning struct {
	at   time.Duration
	call *call
}

// arrive adds the calls of one tick.
func (simulation *simulation) arrive() {
	if simulation.now >= simulation.scenario.Length {
		return
	}
	for index := range simulation.scenario.Kinds {
		kind := &simulation.scenario.Kinds[index]
		due := simulation.scenario.rate(index, simulation.now) * tick.Seconds()
		for ; due > 0; due-- {
			if simulation.rand.Float64() < due {
				simulation.arriveOne(index, kind)
			}
		}
	}
}

// arriveOne adds one call of a kind.
func (simulation *simulation) arriveOne(index int, kind *Kind) {
	prompt := int(40 + logNormal(simulation.rand, kind.PromptTokens, kind.PromptSpread, kind.MaxPromptTokens))
	events := max(1, int(logNormal(simulation.rand, kind.Events, kind.EventsSpread, kind.MaxEvents)))
	call := &call{
		kind: index, kindOf: kind, prompt: prompt, events: events, eventsLeft: events, arrivedAt: simulation.now, askedAt: simulation.now,
		size: prompt + 10*events*simulation.scenario.Engine.StepsPerEvent, host: simulation.firstHost(),
	}
	simulation.calls = append(simulation.calls, call)
	call.host.budget.Earn()
	simulation.submit(call, false)
}

// firstHost returns the entry host that the client of a new call is connected to.
func (simulation *simulation) firstHost() *entryHost {
	if len(simulation.hostByClient) == 0 {
		return simulation.returnHost()
	}
	return simulation.hostByClient[simulation.rand.IntN(len(simulation.hostByClient))]
}

// submit requests a group of the call's entry host.
func (simulation *simulation) submit(call *call, failover bool) {
	simulation.lastNumber++
	call.number = simulation.lastNumber
	late := simulation.now-call.arrivedAt > max(call.kindOf.Target, simulation.lateAfter(call))
	call.level = shedding.EngineLevel(simulation.scenario.Priorities, shedding.Call{Priority: simulation.scenario.priority(call.kind), Late: late && !failover}, failover)
	due := simulation.clock().Add(call.kindOf.Target)
	target := call.kindOf.Target
	if simulation.scenario.NoTargets {
		target = 0
	}
	decision := call.host.balancer.Submit(simulation.clock(), balancer.Call{
		Number: call.number, Pool: pool, Priority: simulation.scenario.priority(call.kind), Ranked: len(simulation.scenario.Priorities) > 0, Due: due, Target: target, Deadline: simulation.started.Add(call.arrivedAt + call.kindOf.Deadline), Work: float64(call.size), Late: late && !failover, Tried: call.tried, Failover: failover, RunningAt: call.runningAt(),
	})
	if decision.Verdict == balancer.VerdictWait {
		call.waitUntil = simulation.now + decision.WaitUntil.Sub(simulation.clock())
		call.host.waiting[call.number] = call
		return
	}
	simulation.decide(call, decision)
}

// runningAt returns the endpoint beside which a call is a search, or none.
func (call *call) runningAt() feed.Endpoint {
	if call.original == nil {
		return feed.Endpoint{}
	}
	return groupNames[call.original.group]
}

// lateAfter is from when on an entry host can detect that a caller has waited before.
func (simulation *simulation) lateAfter(call *call) time.Duration {
	if simulation.scenario.SavedRetries == 0 {
		return 0
	}
	return time.Duration(lateSlack * float64(call.kindOf.Deadline))
}

// decide carries out a decision that isn't to wait.
func (simulation *simulation) decide(call *call, decision balancer.Decision) {
	delete(call.host.waiting, call.number)
	if call.original != nil {
		simulation.decideSearch(call, decision)
		return
	}
	if decision.Verdict == balancer.VerdictRefuse {
		simulation.refuse(call, decision.RetryAfter)
		return
	}
	call.group = groupByName[decision.Endpoint.Name]
	simulation.countSend(call)
	call.sentAt, call.tried = simulation.now, append(call.tried, decision.Endpoint.Name)
	call.unread, call.inPass = call.prompt+(call.events-call.eventsLeft)*simulation.scenario.Engine.StepsPerEvent, false
	if simulation.groups[call.group].add(simulation.now, call) {
		call.runs++
		return
	}
	simulation.done(call, call.group, balancer.Full)
	simulation.sendAgain(call, rejectedRetryAfter)
}

// refuse reports to the caller of a call that it wasn't run, and when to come back. The caller
// of a call that may have run is reported as failed.
func (simulation *simulation) refuse(call *call, retryAfter time.Duration) {
	if call.runs > 0 {
		return
	}
	call.tries++
	call.refused = true
	if call.tries < maxTries && retryAfter < (call.kindOf.Deadline-(simulation.now-call.arrivedAt))/3 {
		simulation.returns = append(simulation.returns, returning{simulation.now + retryAfter, call})
		slices.SortStableFunc(simulation.returns, func(a, b returning) int { return int(a.at - b.at) })
	}
}

// sendAgain sends a call that has lost its group to another one, if the budget allows it.
func (simulation *simulation) sendAgain(call *call, retryAfter time.Duration) {
	if simulation.scenario.SavedRetries > 0 && (len(call.tried) >= maxSends || call.runs >= maxRuns || !call.host.budget.Spend()) {
		simulation.refuse(call, retryAfter)
		return
	}
	simulation.submit(call, true)
}

// progress passes an event of a call on to its caller.
func (simulation *simulation) progress(call *call, group int) {
	if call.original != nil {
		call = simulation.takeOver(call)
	}
	simulation.cancelSearch(call)
	if call.firstAt == 0 {
		call.firstAt = simulation.now
		call.host.balancer.ObserveFirstEvent(simulation.clock(), pool, groupNames[group], simulation.now-call.sentAt)
	} else {
		call.longestPause = max(call.longestPause, simulation.now-call.lastAt)
	}
	simulation.observeEvent(call, group)
	call.lastAt = simulation.now
	if call.eventsLeft <= 0 {
		call.served = simulation.now-call.arrivedAt <= call.kindOf.Deadline
		simulation.done(call, group, balancer.Served)
	}
}

// observeEvent reports to the balancer an event of a stream.
func (simulation *simulation) observeEvent(call *call, group int) {
	if !simulation.knowledge.Leader {
		return
	}
	if call.begun() {
		call.host.balancer.StreamEvent(simulation.clock(), groupNames[group])
		return
	}
	call.host.balancer.StreamBegan(simulation.clock(), groupNames[group])
}

func (simulation *simulation) done(call *call, group int, ending balancer.Ending) {
	if simulation.knowledge.Leader && call.begun() {
		call.host.balancer.StreamEnded(groupNames[group])
	}
	for _, decision := range call.host.balancer.Done(simulation.clock(), balancer.Call{Pool: pool}, groupNames[group], ending) {
		if waiting := call.host.waiting[decision.Call]; waiting != nil {
			simulation.decide(waiting, decision)
		}
	}
}

// expire refuses the calls that have waited for too long.
func (simulation *simulation) expire(host *entryHost) {
	// In the order of their numbers, so that the same seed gives the same result.
	for _, number := range slices.Sorted(maps.Keys(host.waiting)) {
		call := host.waiting[number]
		if call == nil || simulation.now < call.waitUntil {
			continue
		}
		if decision, waited := host.balancer.Cancel(simulation.clock(), balancer.Call{Number: number, Pool: pool}); waited {
			simulation.decide(call, decision)
		}
	}
}
