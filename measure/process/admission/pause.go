package admission

import "time"

const (
	// pauseAt is when the groups of a pausing scenario fall silent, and pauseLength for how
	// long. pauseAfter is how long after it arrivals are counted.
	pauseAt     = 6 * time.Second
	pauseLength = time.Second
	pauseAfter  = 4 * time.Second
)

// EvenLoad returns a load without peaks or losses that a model's groups can serve, before
// nine entry hosts.
func EvenLoad(factor float64) Scenario {
	scenario := HeavyLoad()
	scenario.Length, scenario.EntryHosts, scenario.Swing, scenario.Losses = pauseAt+pauseLength+pauseAfter, 9, 0, nil
	scenario.Engine.Queue, scenario.SavedRetries = 2*scenario.Engine.Slots, 12*float64(scenario.EntryHosts)
	for index := range scenario.Kinds {
		scenario.Kinds[index].CallsPerSecond *= factor
		scenario.Kinds[index].Patience = 2400 * time.Millisecond
	}
	return scenario
}

// PausingGroups returns a scenario in which some of the groups make no progress for a second
// and go on. The calls count that arrive within four seconds of the pause.
func PausingGroups(scenario Scenario, groups int) Scenario {
	scenario.Beside, scenario.Length = true, pauseAt+pauseLength+pauseAfter
	scenario.CountedFrom, scenario.CountedUntil = pauseAt+pauseLength, scenario.Length
	for group := range groups {
		scenario.Pauses = append(scenario.Pauses, Pause{Group: group, At: pauseAt, Length: pauseLength})
	}
	return scenario
}
