package shedding

import "slices"

// EngineLevels is the number of priorities that an engine tells apart; 0 is served first.
// DefaultEngineLevel is that of a call which names none.
const (
	EngineLevels       = 10
	DefaultEngineLevel = 5
)

// EngineLevel returns the priority at which an engine is to admit a call, where priorities are
// those that calls may have, sorted. It rises with the call's priority and, as far as there are
// levels, with lateness; calls that have lost another endpoint come first within their
// priority. With one priority, a call that can be on time has DefaultEngineLevel.
func EngineLevel(priorities []int, call Call, failover bool) int {
	const (
		perPriority = 3 // failover, on time, late
		onTime      = 1
	)
	rank, _ := slices.BinarySearch(priorities, call.Priority)
	count := max(len(priorities), rank+1)
	within := onTime
	switch {
	case failover:
		within = 0
	case call.Late:
		within = perPriority - 1
	}
	switch {
	case count == 1:
		return DefaultEngineLevel - onTime + within
	case count*perPriority <= EngineLevels:
		return rank*perPriority + within
	case 2*count <= EngineLevels:
		return rank*2 + within/2
	case count <= EngineLevels:
		return rank
	default:
		return rank * EngineLevels / count
	}
}
