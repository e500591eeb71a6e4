package formation

import (
	"slices"
	"time"
)

// Change is what happens to engines at a time of the day.
type Change struct {
	At time.Duration
	// Lost engines of groups in two domains fall dark; Added ones are empty.
	Lost, Added int
	// Dark loses all engines of the first domain, and Back brings them again.
	Dark, Back bool
	// Zone names the two domains.
	Zone int
}

// Day is what is played.
type Day struct {
	Length  time.Duration
	Changes []Change
}

// Crashes is a day on which two engines are lost for good every three seconds,
// and empty ones are added later on.
func Crashes() Day {
	day := Day{Length: 34 * time.Second}
	for place, at := range []float64{3.3, 5.9, 8.3, 11.7, 14.6, 18.3, 20.5, 23.8, 26.1} {
		day.Changes = append(day.Changes, Change{At: seconds(at), Lost: 2, Zone: (place + 2) % 3})
	}
	for place, at := range []float64{12, 16, 19, 20.8, 23.5, 26.3, 30} {
		day.Changes = append(day.Changes, Change{At: seconds(at), Added: 2, Zone: (place + 2) % 3})
	}
	return day
}

// Domain is a day like Crashes on which besides a whole domain falls dark and
// returns without what its engines had in memory.
func Domain() Day {
	day := Crashes()
	day.Changes = append(day.Changes, Change{At: seconds(11), Dark: true}, Change{At: seconds(18.7), Back: true})
	slices.SortStableFunc(day.Changes, func(a, b Change) int { return int(a.At - b.At) })
	return day
}

// Release is a day on which engines are replaced one after the other by empty
// ones.
func Release() Day {
	day := Day{Length: 34 * time.Second}
	for place := range 27 {
		at := 5 + 0.8*float64(place)
		day.Changes = append(day.Changes, Change{At: seconds(at), Added: 1, Zone: place % 3}, Change{At: seconds(at + 1), Lost: 1, Zone: place % 3})
	}
	slices.SortStableFunc(day.Changes, func(a, b Change) int { return int(a.At - b.At) })
	return day
}

func seconds(at float64) time.Duration { return time.Duration(at * float64(time.Second)) }
