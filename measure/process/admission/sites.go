package admission

import (
	"fmt"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/routing"
)

// sampleInterval is the time between two samples of the loads of data centres, of which
// smoothing is the weight of a new one in a moving average.
const (
	sampleInterval = 50 * time.Millisecond
	smoothing      = 0.05
)

// Sites are data centres, of which the entry hosts and the groups are in turn.
type Sites struct {
	// Demand is the part of the calls that arrives in each data centre.
	Demand []float64
	// GroupSite is the data centre of each group. Without it they are in turn.
	GroupSite []int
	// Delays are declared between all of them. Without any, entry hosts prefer none.
	Delays []routing.Delay
	built  *routing.Table
}

// Slowdown is a time in which the times of a group are multiplied by a factor.
type Slowdown struct {
	Group     int
	At, Until time.Duration
	Factor    float64
}

// SitesResult is what happened between data centres.
type SitesResult struct {
	// Across is the part of the calls that were sent to another data centre.
	Across float64
	// Apart is the mean difference between the loads of the most and the least loaded data
	// centre, averaged over about a second, and MostApart the largest.
	Apart, MostApart float64
	// Swings is how often per second the part of the calls that is sent across rose above its
	// mean by a tenth of all calls, and fell below it by as much, averaged over about 0.3 s.
	Swings float64
	// SentToSlow is the part of the counted sends that went to a group during its slowdown.
	SentToSlow float64
}

// siteCounts are the counts behind a SitesResult.
type siteCounts struct {
	sent, across, counted, toSlow int
	sentLately, acrossLately      float64
	loads                         []float64
	samples                       int
	apart, mostApart              float64
	acrossSeries                  []float64
	sentSinceSample, acrossSample int
}

// ThreeSites returns three data centres with delays between them, in milliseconds, and
// parts of the demand. A delay of 0 isn't declared.
func ThreeSites(delayMS float64, demand ...float64) *Sites {
	sites := &Sites{Demand: demand}
	for from := range demand {
		for to := range from {
			if delayMS > 0 {
				sites.Delays = append(sites.Delays, routing.Delay{From: siteName(from), To: siteName(to), MS: delayMS})
			}
		}
	}
	sites.built = routing.NewTable(&routing.Declaration{Services: []routing.Service{{Name: pool.Service, Engine: &routing.Engine{Delays: sites.Delays}}}})
	return sites
}

// SitesOfSmallGroups returns the load of a model of small groups, multiplied by a factor, at
// entry hosts that are in several data centres with as many groups each.
func SitesOfSmallGroups(hosts int, factor float64) Scenario {
	scenario := sitesScenario(hosts, 36, Engine{Slots: 30, Queue: 60, Pace: 0.6, StepMS: 5.95, StepPerRequestMS: 0.0445, PromptTokensPerMS: 50.7, StepsPerEvent: 7, Chunk: 2048})
	scenario.Kinds = []Kind{
		{"note", 381 * factor, 674, 0.89, 2340, 22.5, 1.2, 56, 200 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second, 0.25, 2 * time.Second},
	}
	return scenario
}

// SitesOfLargeGroups is like SitesOfSmallGroups, of a model with three large groups in each of
// three data centres.
func SitesOfLargeGroups(hosts int, factor float64) Scenario {
	scenario := sitesScenario(hosts, 9, HeavyLoad().Engine)
	scenario.Engine.Queue, scenario.Kinds = 2*scenario.Engine.Slots, HeavyLoad().Kinds
	for index := range scenario.Kinds {
		scenario.Kinds[index].CallsPerSecond *= factor
		scenario.Kinds[index].EventTimeout = 2400 * time.Millisecond
	}
	return scenario
}

// SitesOfPlainService is like SitesOfSmallGroups, of a plain service with seven endpoints whose
// answers take 40 to 80 ms.
func SitesOfPlainService(hosts int, factor float64) Scenario {
	scenario := sitesScenario(hosts, 7, Engine{Slots: 6, Queue: 12, StepMS: 40, PromptTokensPerMS: 50.7, StepsPerEvent: 1, Chunk: 2048})
	scenario.Kinds = []Kind{
		{"order", 53 * factor, 20, 0.1, 60, 1, 0.1, 1, 300 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond, 0.25, 1400 * time.Millisecond},
	}
	return scenario
}

func sitesScenario(hosts, groups int, engine Engine) Scenario {
	return Scenario{
		Length: 12 * time.Second, EntryHosts: hosts, Groups: groups, Swing: 0.2, Period: 11 * time.Second, Engine: engine, SavedRetries: 12 * float64(hosts),
	}
}

// LosingSites returns a scenario in which a part of the groups of each of three data centres is
// lost in turn, for a quarter of it.
func LosingSites(scenario Scenario, part float64) Scenario {
	const sites = 3
	turn := scenario.Length / (sites + 1)
	for group := range scenario.Groups {
		if float64(group/sites) < part*float64(scenario.Groups)/sites {
			at := turn/2 + time.Duration(group%sites)*turn
			scenario.Losses = append(scenario.Losses, Loss{Group: group, At: at, BackAt: at + turn})
		}
	}
	return scenario
}

func siteName(site int) id.DataCentre { return id.DataCentre(fmt.Sprintf("dc-%d", site)) }

func (sites *Sites) siteOfHost(host int) int { return host % len(sites.Demand) }

func (sites *Sites) siteOfGroup(group int) int {
	if group < len(sites.GroupSite) {
		return sites.GroupSite[group]
	}
	return group % len(sites.Demand)
}

func (sites *Sites) ofHost(host int) id.DataCentre {
	if sites == nil {
		return ""
	}
	return siteName(sites.siteOfHost(host))
}

func (sites *Sites) ofGroup(group int) id.DataCentre {
	if sites == nil {
		return ""
	}
	return siteName(sites.siteOfGroup(group))
}

func (sites *Sites) table() *routing.Table {
	if sites == nil {
		return nil
	}
	return sites.built
}

// returnHost draws the entry host for a call, by the demand of its data centre.
func (simulation *simulation) returnHost() *entryHost {
	sites := simulation.scenario.Sites
	if sites == nil {
		return simulation.hosts[simulation.rand.IntN(len(simulation.hosts))]
	}
	site, number := 0, simulation.rand.Float64()
	for ; site < len(sites.Demand)-1 && number >= sites.Demand[site]; site++ {
		number -= sites.Demand[site]
	}
	inSite := (len(simulation.hosts) - site + len(sites.Demand) - 1) / len(sites.Demand)
	return simulation.hosts[site+len(sites.Demand)*simulation.rand.IntN(inSite)]
}

// countSend counts a call that is sent to its group.
func (simulation *simulation) countSend(call *call) {
	counts := &simulation.sites
	counts.sent++
	counts.sentSinceSample++
	if simulation.scenario.counts(simulation.now) {
		counts.counted++
	}
	for _, slowdown := range simulation.scenario.Slowdowns {
		if simulation.scenario.counts(simulation.now) && slowdown.Group == call.group && simulation.now >= slowdown.At && simulation.now < slowdown.Until {
			counts.toSlow++
		}
	}
	sites := simulation.scenario.Sites
	if sites != nil && sites.siteOfHost(call.host.index) != sites.siteOfGroup(call.group) {
		counts.across++
		counts.acrossSample++
	}
}

// sampleSites takes a sample of the loads of data centres and of the calls sent across.
func (simulation *simulation) sampleSites() {
	sites, counts := simulation.scenario.Sites, &simulation.sites
	if sites == nil || simulation.now%sampleInterval >= tick || simulation.now >= simulation.scenario.Length {
		return
	}
	running, slots := make([]float64, len(sites.Demand)), make([]float64, len(sites.Demand))
	for index, group := range simulation.groups {
		if !group.lost {
			running[sites.siteOfGroup(index)] += float64(len(group.calls))
			slots[sites.siteOfGroup(index)] += float64(group.engine.Slots)
		}
	}
	if counts.loads == nil {
		counts.loads = make([]float64, len(sites.Demand))
	}
	least, most := 0.0, 0.0
	for site := range running {
		if slots[site] > 0 {
			counts.loads[site] += smoothing * (running[site]/slots[site] - counts.loads[site])
		}
		if site == 0 || counts.loads[site] < least {
			least = counts.loads[site]
		}
		most = max(most, counts.loads[site])
	}
	counts.samples++
	counts.apart += most - least
	if simulation.now >= time.Second {
		counts.mostApart = max(counts.mostApart, most-least)
	}
	const lately = 0.15
	counts.sentLately += lately * (float64(counts.sentSinceSample) - counts.sentLately)
	counts.acrossLately += lately * (float64(counts.acrossSample) - counts.acrossLately)
	counts.sentSinceSample, counts.acrossSample = 0, 0
	if simulation.now >= time.Second && counts.sentLately > 0 {
		counts.acrossSeries = append(counts.acrossSeries, counts.acrossLately/counts.sentLately)
	}
}

func (counts *siteCounts) result() SitesResult {
	if counts.samples == 0 {
		return SitesResult{SentToSlow: float64(counts.toSlow) / float64(max(1, counts.counted))}
	}
	mean := 0.0
	for _, across := range counts.acrossSeries {
		mean += across / float64(len(counts.acrossSeries))
	}
	const swing = 0.1
	swings, above := 0, false
	for _, across := range counts.acrossSeries {
		switch {
		case !above && across > mean+swing:
			above = true
			swings++
		case above && across < mean-swing:
			above = false
		}
	}
	return SitesResult{
		Across: float64(counts.across) / float64(max(1, counts.sent)), Apart: counts.apart / float64(counts.samples), MostApart: counts.mostApart,
		Swings:     float64(swings) / (float64(len(counts.acrossSeries)) * sampleInterval.Seconds()),
		SentToSlow: float64(counts.toSlow) / float64(max(1, counts.counted)),
	}
}
