package traffic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/contract"
	"carobline.dev/measure/process/report"
)

const (
	engines      = 10
	slots        = 8
	shortTokens  = 24
	longFactor   = 50
	longPart     = 0.05
	nodes        = 9
	warmUp       = 20 * time.Second
	usualLoad    = 0.8
	deadline     = 2 * time.Second
	tokenPace    = 55 * time.Millisecond
	longDeadline = time.Hour
)

// capacity is the tokens a second of all engines.
func capacity() float64 { return engines * slots / Step.Seconds() }

// mixed draws arrivals at a load, of which a part is long.
func mixed(random *rand.Rand, clientAccounts []id.ClientAccount, load float64, from, to time.Duration) []Arrival {
	mean := shortTokens * (1 - longPart + longPart*longFactor)
	rate := load * capacity() / mean
	var arrivals []Arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return arrivals
		}
		length := shortTokens/2 + random.IntN(shortTokens)
		if random.Float64() < longPart {
			length *= longFactor
		}
		arrivals = append(arrivals, Arrival{At: at, ClientAccount: clientAccounts[random.IntN(len(clientAccounts))], Length: length})
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 77)) }

func isShort(arrival Arrival) bool { return arrival.Length < shortTokens*longFactor/2 }

// times collects a figure of the calls that match, sorted, in seconds.
func times(result Result, match func(Arrival) bool, figure func(Outcome) time.Duration) []float64 {
	var list []float64
	for _, outcome := range result.Outcomes {
		if outcome.Arrival.At < warmUp || !match(outcome.Arrival) || figure(outcome) == 0 {
			continue
		}
		list = append(list, figure(outcome).Seconds())
	}
	slices.Sort(list)
	return list
}

func first(outcome Outcome) time.Duration { return outcome.First }
func total(outcome Outcome) time.Duration { return outcome.Total }

// p99 is infinite when there is nothing to look at.
func p99(sorted []float64) float64 {
	if len(sorted) == 0 {
		return math.Inf(1)
	}
	return sorted[min(len(sorted)-1, len(sorted)*99/100)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}

// HeadOfLine measures short work beside long work.
func HeadOfLine(seed uint64, lines *report.Report) {
	const length = 240 * time.Second
	clientAccounts := []ClientAccount{{Name: "a", Share: 1, Priority: contract.PriorityStandard, Deadline: longDeadline}}
	scenario := Scenario{
		Seed: seed, Nodes: nodes, Engines: engines, Slots: slots, ClientAccounts: clientAccounts, Length: length + 120*time.Second,
		Arrivals: mixed(newRand(seed), []id.ClientAccount{"a"}, usualLoad, 0, length),
	}
	isLong := func(arrival Arrival) bool { return !isShort(arrival) }
	firsts, totals, longs := map[Policy]float64{}, map[Policy]float64{}, map[Policy]float64{}
	for _, policy := range []Policy{
		PolicyRoundRobin, PolicyLeastConnections, PolicyBound, PolicyNoSinking, PolicyOneLevel, PolicyManyLevels, PolicyCarobline,
	} {
		result := Run(scenario, policy)
		firsts[policy] = p99(times(result, isShort, first))
		totals[policy] = p99(times(result, isShort, total))
		longs[policy] = mean(times(result, isLong, total))
		lines.Figure("hol_short_first_token_p99."+string(policy), firsts[policy], "s")
		lines.Figure("hol_short_total_p99."+string(policy), totals[policy], "s")
		lines.Figure("hol_long_total_mean."+string(policy), longs[policy], "s")
	}
	lines.AtLeast("hol_first_token_gain_over_round_robin", firsts[PolicyRoundRobin]/firsts[PolicyCarobline], "times", 10)
	lines.AtMost("hol_first_token_beside_bound", firsts[PolicyCarobline]/firsts[PolicyBound], "times", 1.3)
	lines.AtMost("hol_total_beside_bound", totals[PolicyCarobline]/totals[PolicyBound], "times", 1.3)
	lines.AtMost("hol_long_mean_beside_round_robin", longs[PolicyCarobline]/longs[PolicyRoundRobin], "times", 1.15)
}

// Crest measures a demand of three times the capacity for 20 s, in which two
// customers flood and one stays within its contract.
func Crest(seed uint64, lines *report.Report) {
	const crestFrom, crestTo, end = 30 * time.Second, 50 * time.Second, 80 * time.Second
	random := newRand(seed)
	clientAccounts := []ClientAccount{
		{Name: "steady", Share: 2, Priority: contract.PriorityStandard, Deadline: deadline},
		{Name: "flood-1", Share: 1, Priority: contract.PriorityStandard, Deadline: deadline},
		{Name: "flood-2", Share: 1, Priority: contract.PriorityStandard, Deadline: deadline},
	}
	const steadyLoad = 0.3
	arrivals := mixed(random, []id.ClientAccount{"steady"}, steadyLoad, 0, end)
	arrivals = append(arrivals, mixed(random, []id.ClientAccount{"flood-1", "flood-2"}, 0.4, 0, end)...)
	arrivals = append(arrivals, mixed(random, []id.ClientAccount{"flood-1", "flood-2"}, 3-steadyLoad-0.4, crestFrom, crestTo)...)
	slices.SortFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	scenario := Scenario{Seed: seed, Nodes: nodes, Engines: engines, Slots: slots, ClientAccounts: clientAccounts, Arrivals: arrivals, Length: end + 60*time.Second, WindowFrom: crestFrom, WindowTo: crestTo}
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastConnections, PolicyCarobline} {
		result := Run(scenario, policy)
		served, paced, steadyAll, steadyOnTime := 0.0, 0.0, 0.0, 0.0
		for _, outcome := range result.Outcomes {
			at := outcome.Arrival.At
			onTime := !outcome.Refused && outcome.First > 0 && outcome.First <= deadline
			if onTime {
				served += float64(outcome.InWindow)
			}
			if pace := time.Duration(outcome.Arrival.Length) * tokenPace; onTime && outcome.Total > 0 && outcome.Total <= deadline+pace {
				paced += float64(outcome.InWindow)
			}
			if at < crestFrom || at >= crestTo {
				continue
			}
			if outcome.Arrival.ClientAccount == "steady" {
				steadyAll++
				if onTime {
					steadyOnTime++
				}
			}
		}
		goodput := served / (capacity() * (crestTo - crestFrom).Seconds())
		lines.Figure("crest_goodput_at_55_ms_a_token."+string(policy), paced/(capacity()*(crestTo-crestFrom).Seconds()), "of capacity")
		recovery := recoveryTime(result, crestTo)
		if policy != PolicyCarobline {
			lines.Figure("crest_goodput."+string(policy), goodput, "of capacity")
			lines.Figure("crest_steady_on_time."+string(policy), steadyOnTime/steadyAll, "of calls")
			lines.Figure("crest_recovery."+string(policy), recovery.Seconds(), "s")
			continue
		}
		lines.AtLeast("crest_goodput.carobline", goodput, "of capacity", 0.95)
		lines.AtLeast("crest_steady_on_time.carobline", steadyOnTime/steadyAll, "of calls", 0.99)
		lines.AtMost("crest_recovery.carobline", recovery.Seconds(), "s", 2)
	}
}

// recoveryTime is how long after a crest the last call arrived that was refused
// or waited ten times as long as one does on idle engines.
func recoveryTime(result Result, from time.Duration) time.Duration {
	const usual = 10 * (prefillSteps + 1) * Step
	last := from
	for _, outcome := range result.Outcomes {
		if outcome.Arrival.At > from && (outcome.Refused || outcome.First == 0 || outcome.First > usual) {
			last = outcome.Arrival.At
		}
	}
	return last - from
}

// SlowEngines measures two of ten engines that turn ten times slower.
func SlowEngines(seed uint64, lines *report.Report) {
	const slowAt, end = 60 * time.Second, 150 * time.Second
	clientAccounts := []ClientAccount{{Name: "a", Share: 1, Priority: contract.PriorityStandard, Deadline: longDeadline}}
	const load = 0.5 // eight engines still carry it
	scenario := Scenario{
		Seed: seed, Nodes: nodes, Engines: engines, Slots: slots, ClientAccounts: clientAccounts, Length: end + 120*time.Second,
		Arrivals: mixed(newRand(seed), []id.ClientAccount{"a"}, load, 0, end),
	}
	after := func(arrival Arrival) bool { return isShort(arrival) && arrival.At > slowAt+3*time.Second }
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastConnections, PolicyCarobline} {
		healthy := p99(times(Run(scenario, policy), after, total))
		slowed := scenario
		slowed.SlowAt, slowed.SlowEngines, slowed.SlowFactor = slowAt, 2, 10
		sick := p99(times(Run(slowed, policy), after, total))
		if policy == PolicyCarobline {
			lines.AtMost("slow_engines_p99_beside_healthy.carobline", sick/healthy, "times", 1.5)
			continue
		}
		lines.Figure("slow_engines_p99_beside_healthy."+string(policy), sick/healthy, "times")
	}
}

// Prefixes measures the hits of cached prompt prefixes.
func Prefixes(seed uint64, lines *report.Report) {
	const prefixes, places, end = 60, 8, 200 * time.Second
	random := newRand(seed)
	zipf := rand.NewZipf(random, 1.1, 8, prefixes-1)
	clientAccounts := []ClientAccount{{Name: "a", Share: 1, Priority: contract.PriorityStandard, Deadline: longDeadline}}
	arrivals := mixed(random, []id.ClientAccount{"a"}, 0.6, 0, end)
	counts := map[uint64]int{}
	for index := range arrivals {
		arrivals[index].Prefix = zipf.Uint64() + 1
		arrivals[index].Length = shortTokens
		counts[arrivals[index].Prefix]++
	}
	scenario := Scenario{
		Seed: seed, Nodes: nodes, Engines: engines, Slots: slots, PrefixPlaces: places, ClientAccounts: clientAccounts,
		Arrivals: arrivals, Length: end + 20*time.Second,
	}
	// With full knowledge each prefix has a place somewhere and misses once.
	best := float64(len(arrivals) - len(counts))
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastConnections, PolicyCarobline} {
		result := Run(scenario, policy)
		hits, served, most := 0, 0, 0
		for _, engine := range result.Engines {
			hits += engine.Hits
			served += engine.Served
			most = max(most, engine.Served)
		}
		imbalance := float64(most) * engines / float64(served)
		if policy == PolicyCarobline {
			lines.AtLeast("prefix_hits_beside_best.carobline", float64(hits)/best, "of best", 0.9)
			lines.AtMost("prefix_load_imbalance.carobline", imbalance, "max over mean", 1.25)
			continue
		}
		lines.Figure("prefix_hits_beside_best."+string(policy), float64(hits)/best, "of best")
		lines.Figure("prefix_load_imbalance."+string(policy), imbalance, "max over mean")
	}
}
