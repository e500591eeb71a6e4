// Package shedding decides which calls are delayed or refused while a pool of endpoints has too
// little room: the order of waiting calls, and the load of an endpoint up to which a call is admitted.
//
// Entry hosts know each other's calls only as counts that are up to a second old, so none
// can tell whether a more urgent call waits at another one. A part of the slots is therefore
// reserved: while the pool is short of room, a call is admitted only below a load that falls
// with the number of more urgent priorities that this entry host has lately seen in the pool
// (trunk reservation). A pool whose calls have one priority isn't affected.
//
// No priority is starved: each earns a call in guaranteedPart of the more urgent ones that are
// admitted while it is delayed, which then counts as one of the most urgent.
//
// # Usage
//
//	policy.Observe(now, call)            // a call arrives
//	if policy.Several() { policy.ObserveLoad(now, poolLoad) }
//	limits := policy.Limits(now, call)   // where it may be sent
//	policy.Admit(now, call)              // it is sent
//	policy.Delay(now, call)              // it waits, or is refused
//	slices.SortStableFunc(waiting, policy.Compare)
package shedding

import (
	"cmp"
	"slices"
	"time"
)

const (
	// LateMaxLoad is the load below which an endpoint takes late calls. The other slots are
	// kept for calls that can be on time.
	LateMaxLoad = 0.6
	// QuotaThreshold is the load from which on each entry host keeps to its quota of an
	// endpoint's slots.
	QuotaThreshold = 0.7
	// seenWindow is for how long a priority counts after its last call. With 62 entry hosts
	// one sees a call of a kind that has 33 a second every two seconds.
	seenWindow = 10 * time.Second
	// shortWindow is for how long a pool counts as short after the last sign of it. It
	// outlasts the age of the counts, so that entry hosts don't all admit less urgent calls
	// as soon as an old count shows room.
	shortWindow = 2 * time.Second
	// shortLoad is the load of a whole pool from which on it counts as short.
	shortLoad = 0.7
	// reservedPart is the part of the slots that is kept for each more urgent priority, and
	// minMaxLoad the load below which every priority is admitted.
	reservedPart = 0.15
	minMaxLoad   = 0.4
	// urgentQuotaPart multiplies the quota for the most urgent calls while a pool is short. Its
	// calls come to an entry host in bursts, and the slots beyond its quota are reserved for them.
	urgentQuotaPart = 3
	// guaranteedPart is the part of the admissions of more urgent calls that each priority
	// gets in any case.
	guaranteedPart = 0.05
	// dueInterval is the length of the intervals of due times within which the call with
	// less work goes first. Longer ones would make callers with large calls pay for it.
	dueInterval = 50 * time.Millisecond
)

// Call describes a call to the policy.
type Call struct {
	// Priority ranks the call; 0 is served first.
	Priority int
	// Late is set when its answer misses its target in any case.
	Late bool
	// Due is when its answer, or the first event of it, should be there.
	Due time.Time
	// Work is an estimate of the time that the call takes of an endpoint, in any one unit.
	Work float64
}

// Limits bound where a call may be sent.
type Limits struct {
	// MaxLoad is the load below which an endpoint takes the call.
	MaxLoad float64
	// QuotaThreshold is the load of an endpoint from which on the call keeps to the quota of
	// its entry host, and QuotaPart multiplies that quota.
	QuotaThreshold, QuotaPart float64
}

// class is what is recorded of the calls of one priority.
type class struct {
	priority          int
	seenAt, delayedAt time.Time
	// credit is the number of calls that it may send as one of the most urgent priority.
	credit float64
}

// Policy decides for the calls of one pool at one entry host. The zero value has seen no calls.
// It isn't safe for concurrent use.
type Policy struct {
	// classes are sorted by priority, the most urgent one first.
	classes []class
	// crowdedAt is when the load of the pool last was shortLoad or more.
	crowdedAt time.Time
}

// Observe records a call that arrives.
func (policy *Policy) Observe(now time.Time, call Call) {
	policy.classes = slices.DeleteFunc(policy.classes, func(class class) bool {
		return class.priority != call.Priority && now.Sub(class.seenAt) > seenWindow
	})
	policy.class(call.Priority).seenAt = now
}

// Several reports whether calls of more than one priority were seen lately. Otherwise the load
// of the pool doesn't matter.
func (policy *Policy) Several() bool { return len(policy.classes) > 1 }

// ObserveLoad records the load of the pool by the latest counts.
func (policy *Policy) ObserveLoad(now time.Time, poolLoad float64) {
	if poolLoad >= shortLoad {
		policy.crowdedAt = now
	}
}

// class returns the record of a priority.
func (policy *Policy) class(priority int) *class {
	index, known := slices.BinarySearchFunc(policy.classes, priority, func(class class, priority int) int { return cmp.Compare(class.priority, priority) })
	if !known {
		policy.classes = slices.Insert(policy.classes, index, class{priority: priority})
	}
	return &policy.classes[index]
}

// Delay records that a call waits or is refused for lack of room.
func (policy *Policy) Delay(now time.Time, call Call) { policy.class(call.Priority).delayedAt = now }

// Admit records that a call is sent to an endpoint.
func (policy *Policy) Admit(now time.Time, call Call) {
	if rank, short := policy.rank(now, call.Priority); short && rank > 0 && policy.guaranteed(call.Priority) {
		policy.class(call.Priority).credit--
		return
	}
	for index := range policy.classes {
		other := &policy.classes[index]
		if other.priority > call.Priority && now.Sub(other.delayedAt) < shortWindow {
			other.credit = min(1, other.credit+guaranteedPart)
		}
	}
}

// guaranteed reports whether a priority may send a call as one of the most urgent.
func (policy *Policy) guaranteed(priority int) bool { return policy.credit(priority) >= 1 }

func (policy *Policy) credit(priority int) float64 {
	for index := range policy.classes {
		if policy.classes[index].priority == priority {
			return policy.classes[index].credit
		}
	}
	return 0
}

// rank returns the number of more urgent priorities that were seen lately, and whether the pool
// is short of room for one of several priorities: it is crowded, or calls that are more urgent
// wait or were refused at this entry host.
func (policy *Policy) rank(now time.Time, priority int) (rank int, short bool) {
	if !policy.Several() {
		return 0, false
	}
	short = now.Sub(policy.crowdedAt) < shortWindow
	for index := range policy.classes {
		other := &policy.classes[index]
		if other.priority >= priority {
			break
		}
		if now.Sub(other.seenAt) <= seenWindow {
			rank++
			short = short || now.Sub(other.delayedAt) < shortWindow
		}
	}
	return rank, short
}

// Limits returns where a call may be sent.
func (policy *Policy) Limits(now time.Time, call Call) Limits {
	limits := Limits{MaxLoad: 1, QuotaThreshold: QuotaThreshold, QuotaPart: 1}
	rank, short := policy.rank(now, call.Priority)
	switch {
	case !short:
	case rank == 0 || policy.guaranteed(call.Priority):
		limits.QuotaThreshold, limits.QuotaPart = 0, urgentQuotaPart
	default:
		limits.MaxLoad = max(minMaxLoad, 1-reservedPart*float64(rank))
		limits.QuotaThreshold, limits.QuotaPart = 0, limits.MaxLoad
	}
	if call.Late {
		limits.MaxLoad = min(limits.MaxLoad, LateMaxLoad)
	}
	return limits
}

// Compare orders waiting calls: by priority, then late calls last, then by due time, and those
// that are due at about the same time by work.
func (policy *Policy) Compare(a, b Call) int {
	return cmp.Or(
		cmp.Compare(policy.Turn(a.Priority), policy.Turn(b.Priority)), cmp.Compare(lateRank(a), lateRank(b)),
		a.Due.Truncate(dueInterval).Compare(b.Due.Truncate(dueInterval)), cmp.Compare(a.Work, b.Work), a.Due.Compare(b.Due),
	)
}

// Turn returns the priority by which calls of a priority wait: the most urgent one for those
// that have earned a call.
func (policy *Policy) Turn(priority int) int {
	if policy.Several() && policy.guaranteed(priority) {
		return min(priority, policy.classes[0].priority)
	}
	return priority
}

func lateRank(call Call) int {
	if call.Late {
		return 1
	}
	return 0
}
