package admission

import (
	"math/rand/v2"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/request/budget"
)

const tick = 2 * time.Millisecond

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
	// reported is what each entry host last reported to the leader, and total the sum.
	reported [][]int
	total    []int
	// stalled are the groups that entry hosts lately reported as stalled, by entry host.
	stalled [][]feed.Endpoint
	started time.Time
	// sentTwice counts the calls that were sent while they ran elsewhere.
	sentTwice int
	sites     siteCounts
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
		simulation.hosts[index].balancer.SetDataCentre(scenario.Sites.ofHost(index))
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
	simulation.applySlowdowns()
	simulation.sampleSites()
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
		call.host, call.tried, call.runs, call.refused = simulation.returnHost(), nil, 0, false
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
