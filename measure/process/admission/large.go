package admission

import "time"

// largeStall is how long a group with a lost engine takes calls before it rejects them, and
// largeLossKnown when entry hosts detect it.
const (
	largeStall     = 4 * time.Second
	largeLossKnown = 4500 * time.Millisecond
)

// LateAtLarge is what 300 entry hosts have of each other: one leader answers them all.
var LateAtLarge = Knowledge{ReportInterval: 600 * time.Millisecond, Leader: true}

// LargeGroups returns the load of a model of large groups in a fleet of 300 entry hosts,
// multiplied by a factor. Only the open part of the groups is there at first; the others
// open one after the other until openBy.
func LargeGroups(factor, open float64, openBy time.Duration) Scenario {
	scenario := large(34, 1, open, openBy)
	scenario.Kinds = []Kind{
		{"draft", 125 * factor, 1420, 1, 4030, 21.5, 1.5, 56.3, 500 * time.Millisecond, 300 * time.Millisecond, 8 * time.Second, 0.25, 2400 * time.Millisecond},
		{"triage", 130 * factor, 1960, 1.3, 5880, 2.82, 1.6, 31.5, 500 * time.Millisecond, 300 * time.Millisecond, 6 * time.Second, 0.25, 2400 * time.Millisecond},
	}
	return scenario
}

// SmallGroups is like LargeGroups, of a model of small and quick groups.
func SmallGroups(factor, open float64, openBy time.Duration) Scenario {
	scenario := large(92, 0.6, open, openBy)
	scenario.Kinds = []Kind{
		{"chat", 652 * factor, 674, 0.89, 2340, 22.5, 1.2, 56.3, 300 * time.Millisecond, 200 * time.Millisecond, 6 * time.Second, 0.25, 2 * time.Second},
	}
	return scenario
}

func large(groups int, pace, open float64, openBy time.Duration) Scenario {
	scenario := Scenario{
		Length: 26 * time.Second, EntryHosts: 295, Clients: 460, Groups: groups, Swing: 0.55, Period: 13 * time.Second,
		Engine: Engine{Slots: 14, Queue: 28, Pace: pace, StepMS: 7.8, StepPerRequestMS: 0.0947, PromptTokensPerMS: 45.9, StepsPerEvent: 8, Chunk: 2048},
		Stall:  largeStall, LossKnown: largeLossKnown, SavedRetries: 672,
	}
	first := int(open * float64(groups))
	for group := first; group < groups; group++ {
		opensAt := time.Duration(float64(openBy) * float64(group-first+1) / float64(groups-first))
		scenario.Losses = append(scenario.Losses, Loss{Group: group, At: -time.Second, BackAt: opensAt})
	}
	return scenario
}

// LosingGroups returns a scenario in which every third open group is lost in the second
// quarter of it and comes back in the last one.
func LosingGroups(scenario Scenario) Scenario {
	for group := 0; group < scenario.Groups; group += 3 {
		at := scenario.Length/4 + scenario.Length/4*time.Duration(group)/time.Duration(scenario.Groups)
		scenario.Losses = append(scenario.Losses, Loss{Group: group, At: at, BackAt: at + scenario.Length/2})
	}
	return scenario
}
