package formation

import (
	"slices"
	"time"
)

// Event is what happens to engines at a time of the day.
type Event struct {
	At time.Duration
	// CrashedEngines is how many engines that are in a group crash for good, and
	// AddedEngines how many join without weights, both in one pair of domains.
	CrashedEngines, AddedEngines int
	// DomainDown stops all engines of the first domain, and DomainUp starts those
	// again, without what they had in memory.
	DomainDown, DomainUp bool
	// DomainPair is the index of the pair: domains 2×DomainPair and 2×DomainPair+1.
	DomainPair int
}

// Day is one scenario. Events are applied in the order of the list, each not before
// its time.
type Day struct {
	Length time.Duration
	Events []Event
}

// Crashes returns a day on which two engines crash for good about every three
// seconds, and empty engines are added later.
func Crashes() Day {
	day := Day{Length: 34 * time.Second}
	for index, at := range []float64{3.3, 5.9, 8.3, 11.7, 14.6, 18.3, 20.5, 23.8, 26.1} {
		day.Events = append(day.Events, Event{At: seconds(at), CrashedEngines: 2, DomainPair: (index + 2) % 3})
	}
	for index, at := range []float64{12, 16, 19, 20.8, 23.5, 26.3, 30} {
		day.Events = append(day.Events, Event{At: seconds(at), AddedEngines: 2, DomainPair: (index + 2) % 3})
	}
	return day
}

// DomainOutage returns the day of Crashes with the outage of a whole domain, whose
// engines start again without what they had in memory.
func DomainOutage() Day {
	day := Crashes()
	day.Events = append(day.Events, Event{At: seconds(11), DomainDown: true}, Event{At: seconds(18.7), DomainUp: true})
	slices.SortStableFunc(day.Events, func(a, b Event) int { return int(a.At - b.At) })
	return day
}

// Release returns a day on which engines are replaced by empty ones, one after the
// other.
func Release() Day {
	day := Day{Length: 34 * time.Second}
	for index := range 27 {
		at := 5 + 0.8*float64(index)
		day.Events = append(day.Events, Event{At: seconds(at), AddedEngines: 1, DomainPair: index % 3}, Event{At: seconds(at + 1), CrashedEngines: 1, DomainPair: index % 3})
	}
	slices.SortStableFunc(day.Events, func(a, b Event) int { return int(a.At - b.At) })
	return day
}

func seconds(at float64) time.Duration { return time.Duration(at * float64(time.Second)) }
