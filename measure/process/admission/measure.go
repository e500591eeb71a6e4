package admission

import (
	"time"

	"carobline.dev/measure/process/report"
)

// Measure reports what callers get at the peak of the load, with late counts and
// with fresh ones, what they get of 300 entry hosts, by the number of their calls, and of a pool with three
// priorities that is short of room.
func Measure(seed uint64, report *report.Report) {
	const (
		opening = 8 * time.Second
		never   = time.Hour
	)
	for _, run := range []struct {
		name      string
		scenario  Scenario
		knowledge Knowledge
	}{
		{"late", HeavyLoad(), Late},
		{"fresh", HeavyLoad(), Fresh},
		{"large_mean", LargeGroups(1, 1, 0), LateAtLarge},
		{"large_double", LargeGroups(2, 1, 0), LateAtLarge},
		{"large_opening", LargeGroups(1, 0.3, opening), LateAtLarge},
		{"large_third", LargeGroups(1, 0.3, never), LateAtLarge},
		{"large_losing", LosingGroups(LargeGroups(1, 1, 0)), LateAtLarge},
		{"small_mean", SmallGroups(1, 1, 0), LateAtLarge},
		{"small_half_more", SmallGroups(1.5, 1, 0), LateAtLarge},
		{"small_opening", SmallGroups(1, 0.3, opening), LateAtLarge},
		{"small_third", SmallGroups(1, 0.3, never), LateAtLarge},
		{"small_losing", LosingGroups(SmallGroups(1, 1, 0)), LateAtLarge},
		{"priorities_twice", PriorityPatterns()["twice the capacity"], LateAtLarge},
		{"priorities_half_lost", PriorityPatterns()["half of the capacity lost"], LateAtLarge},
		{"priorities_twice_bound", KnowsAll(PriorityPatterns()["twice the capacity"]), Fresh},
	} {
		write(report, "admission_"+run.name+"_", run.scenario, Simulate(run.scenario, run.knowledge, seed))
	}
}

// write reports the figures of one run.
func write(report *report.Report, prefix string, scenario Scenario, result Result) {
	for index, kind := range scenario.Kinds {
		figures := result.Kinds[index]
		report.Figure(prefix+kind.Name+"_on_time", figures.OnTime, "part of calls")
		report.Figure(prefix+kind.Name+"_credit", figures.Credit, "part of the work")
		report.Figure(prefix+kind.Name+"_served", figures.Served, "part of calls")
		report.Figure(prefix+kind.Name+"_largest_tenth_served", figures.LargestServed, "part of calls")
		if scenario.Engine.Queue == 0 {
			continue
		}
		report.Figure(prefix+kind.Name+"_refused", figures.Refused, "part of calls")
		report.Figure(prefix+kind.Name+"_refused_again", figures.RefusedAgain, "part of calls")
		report.Figure(prefix+kind.Name+"_failed", figures.Failed, "part of calls")
	}
	if scenario.Engine.Queue > 0 {
		report.Figure(prefix+"rejected", result.Rejected, "part of sends")
		report.Figure(prefix+"busiest_group", result.Busiest, "beside the mean")
	}
}
