package admission

import "time"

const (
	// pauseAt is when the groups of a pausing scenario pause, and pauseLength for how
	// long. pauseAfter is for how long after the pause arrivals are counted.
	pauseAt     = 6 * time.Second
	pauseLength = time.Second
	pauseAfter  = 4 * time.Second
)

// EvenLoad returns a load without peaks or losses, at nine entry hosts: factor times the mean
// rates of HeavyLoad.
func EvenLoad(factor float64) Scenario {
	scenario := HeavyLoad()
	scenario.Length, scenario.EntryHosts, scenario.Swing, scenario.Losses = pauseAt+pauseLength+pauseAfter, 9, 0, nil
	scenario.Engine.Queue, scenario.SavedRetries = 2*scenario.Engine.Slots, 12*float64(scenario.EntryHosts)
	for index := range scenario.Kinds {
		scenario.Kinds[index].CallsPerSecond *= factor
		scenario.Kinds[index].EventTimeout = 2400 * time.Millisecond
	}
	return scenario
}

// PausingGroups returns a scenario with a pause of some of its groups. The calls count that
// arrive within pauseAfter of the end of the pause.
func PausingGroups(scenario Scenario, groups int) Scenario {
	scenario.Beside, scenario.Length = true, pauseAt+pauseLength+pauseAfter
	scenario.CountedFrom, scenario.CountedUntil = pauseAt+pauseLength, scenario.Length
	for group := range groups {
		scenario.Pauses = append(scenario.Pauses, Pause{Group: group, At: pauseAt, Length: pauseLength})
	}
	return scenario
}
