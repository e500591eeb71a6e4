package admission

import "time"

// priorityLength is the length of a scenario with priorities.
const priorityLength = 24 * time.Second

// Priorities returns a load of one pool with three kinds of calls of different priorities at 62
// entry hosts. The demand of each kind is its factor times a third of what the groups serve.
func Priorities(factors ...float64) Scenario {
	// servedPerSecond is about how many of these calls a group serves.
	const groups, servedPerSecond = 6, 14.0
	scenario := Scenario{
		Length: priorityLength, EntryHosts: 62, Groups: groups, Priorities: []int{0, 1, 2},
		Engine: Engine{Slots: 34, Queue: 68, StepMS: 5.95, StepPerRequestMS: 0.0445, PromptTokensPerMS: 50.7, StepsPerEvent: 7, Chunk: 2048},
		Stall:  largeStall, LossKnown: largeLossKnown, SavedRetries: 672, Beside: true,
	}
	for index, name := range []string{"urgent", "middle", "least"} {
		scenario.Kinds = append(scenario.Kinds, Kind{
			Name: name, CallsPerSecond: factors[index] * groups * servedPerSecond / float64(len(factors)),
			PromptTokens: 1420, PromptSpread: 1, MaxPromptTokens: 4030, Events: 24.6, EventsSpread: 1.5, MaxEvents: 78,
			Target: 500 * time.Millisecond, Pause: 300 * time.Millisecond, Deadline: 8 * time.Second, LateCredit: 0.25, EventTimeout: 2400 * time.Millisecond,
		})
	}
	return scenario
}

// PriorityPatterns returns loads that are too much for a pool with three priorities, by name.
func PriorityPatterns() map[string]Scenario {
	const (
		even, begins, ends = 0.8, 6 * time.Second, 12 * time.Second
		burstFactor        = 6
	)
	burst := func(kind int) Scenario {
		scenario := Priorities(even, even, even)
		scenario.Bursts = []Burst{{Kind: kind, From: begins, Until: ends, Factor: burstFactor}}
		return scenario
	}
	lose := func(groups int, until time.Duration) Scenario {
		scenario := Priorities(even, even, even)
		for group := range groups {
			scenario.Losses = append(scenario.Losses, Loss{Group: group, At: begins, BackAt: until})
		}
		return scenario
	}
	wave := Priorities(1.1, 1.1, 1.1)
	wave.Swing, wave.Period = 0.5, 11*time.Second
	outage := lose(wave.Groups, begins+2*time.Second)
	outage.Stall, outage.LossKnown = 0, 0
	return map[string]Scenario{
		"twice the capacity": Priorities(2, 2, 2), "few urgent calls": Priorities(0.1, 0.1, 5.8), "many urgent calls": Priorities(3, 2, 1),
		"burst of the least urgent": burst(2), "burst of the most urgent": burst(0), "wave": wave,
		"half of the capacity lost": lose(wave.Groups/2, begins+10*time.Second), "all refused callers return at once": outage,
	}
}

// KnowsAll returns a scenario with one entry host, whose counts include all calls, as a bound for many.
func KnowsAll(scenario Scenario) Scenario {
	scenario.EntryHosts = 1
	return scenario
}
