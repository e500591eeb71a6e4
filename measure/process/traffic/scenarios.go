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
	engineCount    = 10
	slotsPerEngine = 8
	// shortTokens is the mean length of a short call. A longFraction of the calls is
	// longFactor times as long.
	shortTokens  = 24
	longFactor   = 50
	longFraction = 0.05
	nodeCount    = 9
	// Calls that arrive during warmUp are left out of the figures.
	warmUp = 20 * time.Second
	// headOfLineLoad is the load in HeadOfLine, as a fraction of the capacity.
	headOfLineLoad     = 0.8
	firstTokenDeadline = 2 * time.Second
	// acceptedTokenInterval is the time a token that a call may take, after the
	// deadline of its first one, to count in crest_goodput_at_55_ms_a_token.
	acceptedTokenInterval = 55 * time.Millisecond
	longDeadline          = time.Hour
)

// tokensPerSecondCapacity is the tokens a second of all engines together.
func tokensPerSecondCapacity() float64 { return engineCount * slotsPerEngine / StepTime.Seconds() }

// mixedArrivals draws Poisson arrivals from one time up to another at a load, which
// is a fraction of the capacity. A longFraction of them have longFactor times as
// many tokens.
func mixedArrivals(random *rand.Rand, clientAccounts []id.ClientAccount, load float64, from, to time.Duration) []Arrival {
	meanTokens := shortTokens * (1 - longFraction + longFraction*longFactor)
	rate := load * tokensPerSecondCapacity() / meanTokens
	var arrivals []Arrival
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return arrivals
		}
		tokens := shortTokens/2 + random.IntN(shortTokens)
		if random.Float64() < longFraction {
			tokens *= longFactor
		}
		arrivals = append(arrivals, Arrival{At: at, ClientAccount: clientAccounts[random.IntN(len(clientAccounts))], Tokens: tokens})
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 77)) }

func isShort(arrival Arrival) bool { return arrival.Tokens < shortTokens*longFactor/2 }

// matchingSeconds returns a figure of the calls that match, sorted, in seconds. It
// leaves out arrivals in the warm-up and calls for which the figure is 0.
func matchingSeconds(result Result, match func(Arrival) bool, figure func(Outcome) time.Duration) []float64 {
	var seconds []float64
	for _, outcome := range result.Outcomes {
		if outcome.Arrival.At < warmUp || !match(outcome.Arrival) || figure(outcome) == 0 {
			continue
		}
		seconds = append(seconds, figure(outcome).Seconds())
	}
	slices.Sort(seconds)
	return seconds
}

func timeToFirstToken(outcome Outcome) time.Duration { return outcome.TimeToFirstToken }
func timeToLastToken(outcome Outcome) time.Duration  { return outcome.TimeToLastToken }

// p99 returns the 99th percentile, or infinity if there are no values.
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

// HeadOfLine measures head-of-line blocking: how long short calls take beside long
// ones under each policy.
func HeadOfLine(seed uint64, report *report.Report) {
	const end = 240 * time.Second
	clientAccounts := []ClientAccount{{Name: "a", Share: 1, Priority: contract.PriorityStandard, Deadline: longDeadline}}
	scenario := Scenario{
		Seed: seed, Nodes: nodeCount, Engines: engineCount, SlotsPerEngine: slotsPerEngine, ClientAccounts: clientAccounts, Duration: end + 120*time.Second,
		Arrivals: mixedArrivals(newRand(seed), []id.ClientAccount{"a"}, headOfLineLoad, 0, end),
	}
	isLong := func(arrival Arrival) bool { return !isShort(arrival) }
	firstTokenP99ByPolicy, totalP99ByPolicy, longMeanByPolicy := map[Policy]float64{}, map[Policy]float64{}, map[Policy]float64{}
	for _, policy := range []Policy{
		PolicyRoundRobin, PolicyLeastConnections, PolicyBound, PolicyNoLevels, PolicyOneLevel, PolicyManyLevels, PolicyCarobline,
	} {
		result := Run(scenario, policy)
		firstTokenP99ByPolicy[policy] = p99(matchingSeconds(result, isShort, timeToFirstToken))
		totalP99ByPolicy[policy] = p99(matchingSeconds(result, isShort, timeToLastToken))
		longMeanByPolicy[policy] = mean(matchingSeconds(result, isLong, timeToLastToken))
		report.Figure("hol_short_first_token_p99."+string(policy), firstTokenP99ByPolicy[policy], "s")
		report.Figure("hol_short_total_p99."+string(policy), totalP99ByPolicy[policy], "s")
		report.Figure("hol_long_total_mean."+string(policy), longMeanByPolicy[policy], "s")
	}
	report.AtLeast("hol_first_token_gain_over_round_robin", firstTokenP99ByPolicy[PolicyRoundRobin]/firstTokenP99ByPolicy[PolicyCarobline], "times", 10)
	report.AtMost("hol_first_token_beside_bound", firstTokenP99ByPolicy[PolicyCarobline]/firstTokenP99ByPolicy[PolicyBound], "times", 1.3)
	report.AtMost("hol_total_beside_bound", totalP99ByPolicy[PolicyCarobline]/totalP99ByPolicy[PolicyBound], "times", 1.3)
	report.AtMost("hol_long_mean_beside_round_robin", longMeanByPolicy[PolicyCarobline]/longMeanByPolicy[PolicyRoundRobin], "times", 1.15)
}

// OverloadBurst measures a demand of three times the capacity for 20 s, in which two
// client accounts flood and one stays within its contract.
func OverloadBurst(seed uint64, report *report.Report) {
	const burstFrom, burstTo, end = 30 * time.Second, 50 * time.Second, 80 * time.Second
	random := newRand(seed)
	clientAccounts := []ClientAccount{
		{Name: "steady", Share: 2, Priority: contract.PriorityStandard, Deadline: firstTokenDeadline},
		{Name: "flood-1", Share: 1, Priority: contract.PriorityStandard, Deadline: firstTokenDeadline},
		{Name: "flood-2", Share: 1, Priority: contract.PriorityStandard, Deadline: firstTokenDeadline},
	}
	const steadyLoad = 0.3
	arrivals := mixedArrivals(random, []id.ClientAccount{"steady"}, steadyLoad, 0, end)
	arrivals = append(arrivals, mixedArrivals(random, []id.ClientAccount{"flood-1", "flood-2"}, 0.4, 0, end)...)
	arrivals = append(arrivals, mixedArrivals(random, []id.ClientAccount{"flood-1", "flood-2"}, 3-steadyLoad-0.4, burstFrom, burstTo)...)
	slices.SortFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	scenario := Scenario{Seed: seed, Nodes: nodeCount, Engines: engineCount, SlotsPerEngine: slotsPerEngine, ClientAccounts: clientAccounts, Arrivals: arrivals, Duration: end + 60*time.Second, WindowFrom: burstFrom, WindowTo: burstTo}
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastConnections, PolicyCarobline} {
		result := Run(scenario, policy)
		servedSteps, pacedSteps, steadyAll, steadyOnTime := 0.0, 0.0, 0.0, 0.0
		for _, outcome := range result.Outcomes {
			at := outcome.Arrival.At
			onTime := !outcome.Refused && outcome.TimeToFirstToken > 0 && outcome.TimeToFirstToken <= firstTokenDeadline
			if onTime {
				servedSteps += float64(outcome.StepsInWindow)
			}
			if acceptedTime := time.Duration(outcome.Arrival.Tokens) * acceptedTokenInterval; onTime && outcome.TimeToLastToken > 0 && outcome.TimeToLastToken <= firstTokenDeadline+acceptedTime {
				pacedSteps += float64(outcome.StepsInWindow)
			}
			if at < burstFrom || at >= burstTo {
				continue
			}
			if outcome.Arrival.ClientAccount == "steady" {
				steadyAll++
				if onTime {
					steadyOnTime++
				}
			}
		}
		goodput := servedSteps / (tokensPerSecondCapacity() * (burstTo - burstFrom).Seconds())
		report.Figure("crest_goodput_at_55_ms_a_token."+string(policy), pacedSteps/(tokensPerSecondCapacity()*(burstTo-burstFrom).Seconds()), "of capacity")
		recovery := recoveryTime(result, burstTo)
		if policy != PolicyCarobline {
			report.Figure("crest_goodput."+string(policy), goodput, "of capacity")
			report.Figure("crest_steady_on_time."+string(policy), steadyOnTime/steadyAll, "of calls")
			report.Figure("crest_recovery."+string(policy), recovery.Seconds(), "s")
			continue
		}
		report.AtLeast("crest_goodput.carobline", goodput, "of capacity", 0.95)
		report.AtLeast("crest_steady_on_time.carobline", steadyOnTime/steadyAll, "of calls", 0.99)
		report.AtMost("crest_recovery.carobline", recovery.Seconds(), "s", 2)
	}
}

// recoveryTime returns how long after the end of a burst the last call arrived that
// was refused, got no token, or waited for its first one over ten times as long as
// on idle engines.
func recoveryTime(result Result, burstEnd time.Duration) time.Duration {
	const acceptedWait = 10 * (prefillSteps + 1) * StepTime
	lastBadArrival := burstEnd
	for _, outcome := range result.Outcomes {
		if outcome.Arrival.At > burstEnd && (outcome.Refused || outcome.TimeToFirstToken == 0 || outcome.TimeToFirstToken > acceptedWait) {
			lastBadArrival = outcome.Arrival.At
		}
	}
	return lastBadArrival - burstEnd
}

// SlowEngines measures the total time of short calls once two of ten engines have
// become ten times slower, relative to the same run without slow engines.
func SlowEngines(seed uint64, report *report.Report) {
	const slowAt, end = 60 * time.Second, 150 * time.Second
	clientAccounts := []ClientAccount{{Name: "a", Share: 1, Priority: contract.PriorityStandard, Deadline: longDeadline}}
	const load = 0.5 // the eight other engines can serve it alone
	scenario := Scenario{
		Seed: seed, Nodes: nodeCount, Engines: engineCount, SlotsPerEngine: slotsPerEngine, ClientAccounts: clientAccounts, Duration: end + 120*time.Second,
		Arrivals: mixedArrivals(newRand(seed), []id.ClientAccount{"a"}, load, 0, end),
	}
	shortAfterSlowdown := func(arrival Arrival) bool { return isShort(arrival) && arrival.At > slowAt+3*time.Second }
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastConnections, PolicyCarobline} {
		healthyP99 := p99(matchingSeconds(Run(scenario, policy), shortAfterSlowdown, timeToLastToken))
		slowedScenario := scenario
		slowedScenario.SlowAt, slowedScenario.SlowEngines, slowedScenario.SlowFactor = slowAt, 2, 10
		slowedP99 := p99(matchingSeconds(Run(slowedScenario, policy), shortAfterSlowdown, timeToLastToken))
		if policy == PolicyCarobline {
			report.AtMost("slow_engines_p99_beside_healthy.carobline", slowedP99/healthyP99, "times", 1.5)
			continue
		}
		report.Figure("slow_engines_p99_beside_healthy."+string(policy), slowedP99/healthyP99, "times")
	}
}

// PrefixCacheHits measures hits in the engines' prefix caches, relative to the best
// possible, and how evenly the engines are loaded.
func PrefixCacheHits(seed uint64, report *report.Report) {
	const prefixCount, maxCachedPrefixes, end = 60, 8, 200 * time.Second
	random := newRand(seed)
	zipf := rand.NewZipf(random, 1.1, 8, prefixCount-1)
	clientAccounts := []ClientAccount{{Name: "a", Share: 1, Priority: contract.PriorityStandard, Deadline: longDeadline}}
	arrivals := mixedArrivals(random, []id.ClientAccount{"a"}, 0.6, 0, end)
	countByPrefix := map[uint64]int{}
	for index := range arrivals {
		arrivals[index].Prefix = zipf.Uint64() + 1
		arrivals[index].Tokens = shortTokens
		countByPrefix[arrivals[index].Prefix]++
	}
	scenario := Scenario{
		Seed: seed, Nodes: nodeCount, Engines: engineCount, SlotsPerEngine: slotsPerEngine, MaxCachedPrefixes: maxCachedPrefixes, ClientAccounts: clientAccounts,
		Arrivals: arrivals, Duration: end + 20*time.Second,
	}
	// The engines together can cache all prefixes, so that at best each prefix
	// misses once.
	bestHits := float64(len(arrivals) - len(countByPrefix))
	for _, policy := range []Policy{PolicyRoundRobin, PolicyLeastConnections, PolicyCarobline} {
		result := Run(scenario, policy)
		hits, served, mostServed := 0, 0, 0
		for _, engine := range result.Engines {
			hits += engine.PrefixHits
			served += engine.TokensServed
			mostServed = max(mostServed, engine.TokensServed)
		}
		imbalance := float64(mostServed) * engineCount / float64(served)
		if policy == PolicyCarobline {
			report.AtLeast("prefix_hits_beside_best.carobline", float64(hits)/bestHits, "of best", 0.9)
			report.AtMost("prefix_load_imbalance.carobline", imbalance, "max over mean", 1.25)
			continue
		}
		report.Figure("prefix_hits_beside_best."+string(policy), float64(hits)/bestHits, "of best")
		report.Figure("prefix_load_imbalance."+string(policy), imbalance, "max over mean")
	}
}
