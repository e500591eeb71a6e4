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
	"carobline.dev/core/request/budget"
	"carobline.dev/core/version/view"
)

const (
	tick = 2 * time.Millisecond
	// maxTries is how often a caller asks: it returns once.
	maxTries = 2
	// maxSends is to how many groups an entry host sends a call, and maxRuns how many of
	// them may have begun it.
	maxSends = 4
	maxRuns  = 2
	// earnedRetries and maxSavedRetries are the budget of an entry host for sending a
	// call again, and rejectedRetryAfter is what the caller hears when it is used up.
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
	inPass             bool
	firstAt, lastAt    time.Duration
	longestPause       time.Duration
	served             bool
	// replacement is the search for another group beside a silent one, and original the
	// call that a search is for. reportedAt is when the silence was reported last.
	replacement, original  *call
	reportedAt, searchedAt time.Duration
	kindOf                 *Kind
}

func (call *call) onTime() bool {
	return call.firstAt-call.arrivedAt <= call.kindOf.Target && call.longestPause <= call.kindOf.Pause
}

// begun reports whether the call has had an event from its present group.
func (call *call) begun() bool { return call.lastAt > call.sentAt }

// entryHost is one entry host and its balancer.
type entryHost struct {
	index    int
	balancer *balancer.Balancer
	waiting  map[balancer.Number]*call
	budget   *budget.Budget
}

// simulation is one run.
type simulation struct {
	scenario  Scenario
	knowledge Knowledge
	rand      *rand.Rand
	now       time.Duration
	hosts     []*entryHost
	groups    []*group
	// hostByClient is the entry host of each client.
	hostByClient []*entryHost
	calls        []*call
	lastNumber   balancer.Number
	// returns are the refused calls by when they come back.
	returns []returning
	// counts are the calls of each entry host at each group, by report.
	counts [][][]int
	// reported is what each entry host last told the leader, and total the sum.
	reported [][]int
	total    []int
	// stalled are the groups that entry hosts lately reported as stalled, by entry host.
	stalled [][]feed.Endpoint
	started time.Time
	// sentTwice counts the calls that were sent while they ran elsewhere.
	sentTwice int
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
	for _, loss := range scenario.Losses {
		if loss.At < 0 {
			simulation.groups[loss.Group].lost, simulation.groups[loss.Group].brokenAt = true, loss.At-scenario.LossKnown
		}
	}
	simulation.total = make([]int, scenario.Groups)
	for index := range scenario.EntryHosts {
		simulation.hosts = append(simulation.hosts, &entryHost{
			index: index, balancer: balancer.New(rand.New(rand.NewPCG(seed, uint64(index)))), waiting: map[balancer.Number]*call{}, //nolint:gosec // a seeded model
			budget: budget.New(earnedRetries, max(1, min(maxSavedRetries, savedPart*scenario.SavedRetries/float64(scenario.EntryHosts)))),
		})
		simulation.reported = append(simulation.reported, make([]int, scenario.Groups))
		simulation.stalled = append(simulation.stalled, nil)
	}
	for range scenario.Clients {
		simulation.hostByClient = append(simulation.hostByClient, simulation.hosts[simulation.rand.IntN(len(simulation.hosts))])
	}
	for ; simulation.now < scenario.Length+scenario.Kinds[0].Deadline; simulation.now += tick {
		simulation.step()
	}
	return simulation.result()
}

func (simulation *simulation) clock() time.Time { return simulation.started.Add(simulation.now) }

func (simulation *simulation) step() {
	simulation.applyLosses()
	simulation.applyPauses()
	switch {
	case simulation.knowledge.Leader:
		simulation.reportToLeader()
	case simulation.now%simulation.knowledge.ReportInterval < tick:
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
		call.host, call.tried, call.runs, call.refused = simulation.hosts[simulation.rand.IntN(len(simulation.hosts))], nil, 0, false
		call.askedAt = simulation.now
		call.host.budget.Earn()
		simulation.submit(call, false)
	}
	for _, host := range simulation.hosts {
		simulation.expire(host)
	}
	for index, group := range simulation.groups {
		simulation.cancelOverdue(index, group)
		if simulation.scenario.SavedRetries > 0 {
			simulation.moveSilent(index, group)
		}
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
		due := kind.CallsPerSecond * wave * tick.Seconds()
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
		return simulation.hosts[simulation.rand.IntN(len(simulation.hosts))]
	}
	return simulation.hostByClient[simulation.rand.IntN(len(simulation.hostByClient))]
}

// submit asks the call's entry host for a group.
func (simulation *simulation) submit(call *call, failover bool) {
	simulation.lastNumber++
	call.number = simulation.lastNumber
	late := simulation.now-call.arrivedAt > max(call.kindOf.Target, simulation.lateAfter(call))
	due := simulation.clock().Add(call.kindOf.Target)
	decision := call.host.balancer.Submit(simulation.clock(), balancer.Call{
		Number: call.number, Pool: pool, Due: due, Late: late && !failover, Tried: call.tried, Failover: failover, RunningAt: call.runningAt(),
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

// lateAfter is from when on an entry host can tell that a caller has waited before.
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
	call.sentAt, call.tried = simulation.now, append(call.tried, decision.Endpoint.Name)
	call.unread, call.inPass = call.prompt+(call.events-call.eventsLeft)*simulation.scenario.Engine.StepsPerEvent, false
	if simulation.groups[call.group].add(simulation.now, call) {
		call.runs++
		return
	}
	simulation.done(call, call.group, balancer.Full)
	simulation.sendAgain(call, rejectedRetryAfter)
}

// refuse tells the caller of a call that it wasn't run, and when to come back. The caller
// of a call that may have run hears that it failed.
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

// groupNames and groupByName are the names of groups, by index.
var groupNames, groupByName = nameGroups()

func nameGroups() ([]feed.Endpoint, map[feed.Endpoint]int) {
	const most = 1000
	byName := map[feed.Endpoint]int{}
	var names []feed.Endpoint
	for index := range most {
		name := feed.Endpoint{Group: id.Group(fmt.Sprintf("g%03d", index))}
		names, byName[name] = append(names, name), index
	}
	return names, byName
}

// progress passes an event of a call on to its caller.
func (simulation *simulation) progress(call *call, group int) {
	if call.original != nil {
		call = simulation.takeOver(call)
	}
	simulation.cancelSearch(call)
	if call.firstAt == 0 {
		call.firstAt = simulation.now
		call.host.balancer.ObserveTimeToFirstEvent(pool, simulation.now-call.sentAt)
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

// observeEvent tells the balancer of an event of a stream.
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
		simulation.cancelSearch(call)
		simulation.done(call, index, balancer.Abandoned)
	}
}

// moveSilent moves the calls of a group that have had no event for too long, and drops
// those whose callers have given up.
func (simulation *simulation) moveSilent(index int, group *group) {
	for _, call := range slices.Clone(group.calls) {
		silent := simulation.now - max(call.sentAt, call.lastAt)
		begun := call.begun()
		broken := group.lost && simulation.now >= group.brokenAt
		limit := max(minStartTimeout, 2*call.kindOf.Target)
		if begun {
			limit = max(minPauseTimeout, 2*call.kindOf.Pause)
		}
		switch {
		case call.original != nil:
		case simulation.now-max(call.askedAt, call.lastAt) > call.kindOf.Patience:
			group.remove(call)
			simulation.cancelSearch(call)
			simulation.done(call, index, balancer.Abandoned)
		case simulation.scenario.Beside && !broken:
			if silent > limit {
				simulation.search(index, call)
			}
		case broken || (silent > limit && (begun || call.runs < maxRuns)):
			group.remove(call)
			if broken && !begun {
				call.runs--
			}
			simulation.cancelSearch(call)
			simulation.done(call, index, balancer.Failed)
			simulation.sendAgain(call, rejectedRetryAfter)
		}
	}
}

// applyPauses begins the pauses whose time has come.
func (simulation *simulation) applyPauses() {
	for _, pause := range simulation.scenario.Pauses {
		if simulation.now >= pause.At && simulation.now < pause.At+tick {
			simulation.groups[pause.Group].pausedUntil = pause.At + pause.Length
		}
	}
}

// applyLosses stops groups, whose calls go on elsewhere, and brings them back.
func (simulation *simulation) applyLosses() {
	for _, loss := range simulation.scenario.Losses {
		group := simulation.groups[loss.Group]
		if simulation.now >= loss.BackAt && simulation.now < loss.BackAt+tick {
			group.lost = false
		}
		if simulation.now < loss.At || simulation.now >= loss.At+tick || loss.At < 0 {
			continue
		}
		group.lost, group.brokenAt = true, simulation.now+simulation.scenario.Stall
		if simulation.scenario.Stall > 0 {
			continue
		}
		moved := group.calls
		group.calls = nil
		for _, call := range moved {
			simulation.done(call, loss.Group, balancer.Failed)
			simulation.submit(call, true)
		}
	}
}

// listed reports whether entry hosts are told of a group.
func (simulation *simulation) listed(group *group) bool {
	return !group.lost || simulation.now < group.brokenAt-simulation.scenario.Stall+simulation.scenario.LossKnown
}

// reportToLeader exchanges counts between the leader and the entry hosts whose turn it is.
func (simulation *simulation) reportToLeader() {
	interval := simulation.knowledge.ReportInterval
	for _, host := range simulation.hosts {
		phase := interval * time.Duration(host.index) / time.Duration(len(simulation.hosts))
		if (simulation.now+phase)%interval >= tick {
			continue
		}
		reported := simulation.reported[host.index]
		for group, running := range reported {
			simulation.total[group] -= running
		}
		clear(reported)
		for name, running := range host.balancer.Running() {
			index := groupByName[name]
			reported[index] = running
			simulation.total[index] += running
		}
		simulation.stalled[host.index] = host.balancer.StalledEndpoints(simulation.clock())
		simulation.update(host, simulation.total, reported)
	}
}

// report gives each entry host a new view, with the calls of the others as they were
// before the lag.
func (simulation *simulation) report() {
	counts := make([][]int, len(simulation.hosts))
	for _, host := range simulation.hosts {
		counts[host.index] = make([]int, len(simulation.groups))
		for name, running := range host.balancer.Running() {
			counts[host.index][groupByName[name]] = running
		}
	}
	simulation.counts = append(simulation.counts, counts)
	old := simulation.counts[max(0, len(simulation.counts)-1-int(simulation.knowledge.ReportLag/simulation.knowledge.ReportInterval))]
	total := make([]int, len(simulation.groups))
	for _, running := range old {
		for index, count := range running {
			total[index] += count
		}
	}
	for _, host := range simulation.hosts {
		simulation.update(host, total, old[host.index])
	}
}

// update gives an entry host a view of all calls in progress, of which some are its own.
func (simulation *simulation) update(host *entryHost, total, own []int) {
	for _, decision := range host.balancer.Update(simulation.clock(), simulation.view(total, own)) {
		if waiting := host.waiting[decision.Call]; waiting != nil {
			simulation.decide(waiting, decision)
		}
	}
}

func (simulation *simulation) view(total, ownCounts []int) *view.View {
	built := &view.View{Models: map[id.Model]*view.Set{}, Endpoints: map[feed.Endpoint]*view.Endpoint{}}
	var endpoints []*view.Endpoint
	own, all := 1, len(simulation.hosts)
	stalled := simulation.stalledGroups()
	for index, group := range simulation.groups {
		if !simulation.listed(group) {
			continue
		}
		endpoint := &view.Endpoint{
			Name: groupNames[index], Model: model, EngineService: pool.Service, Load: roster.Load{Slots: simulation.scenario.Engine.Slots}, Accepting: true,
			RunningElsewhere: total[index] - ownCounts[index], Stalled: stalled[index],
		}
		own += ownCounts[index]
		all += total[index]
		endpoints = append(endpoints, endpoint)
		built.Endpoints[endpoint.Name] = endpoint
	}
	built.Models[model] = view.NewSet(endpoints)
	built.Share = float64(own) / float64(all)
	return built
}

// stalledGroups returns the groups that some entry host reports as stalled.
func (simulation *simulation) stalledGroups() map[int]bool {
	stalled := map[int]bool{}
	for _, endpoints := range simulation.stalled {
		for _, endpoint := range endpoints {
			stalled[groupByName[endpoint]] = true
		}
	}
	return stalled
}
