package balancer

import (
	"cmp"
	"time"
)

const (
	// rateWindow is the time over which departures are averaged.
	rateWindow = 2 * time.Second
	// leastRetryAfter is the least time that a refusal gives.
	leastRetryAfter = 200 * time.Millisecond
	// mostRetryAfter bounds what a refusal gives.
	mostRetryAfter = 2 * time.Second
	// latePatience is how long a call may wait whose answer is late anyhow.
	latePatience = 500 * time.Millisecond
	// firstWeight is the weight of one more answer in the average time that
	// answers take to begin.
	firstWeight = 0.05
)

// pool is the calls that wait and the rate at which calls leave.
type pool struct {
	waiting  []Call
	departed float64
	// refused counts the calls that were sent away, in a sum that fades alike:
	// they come back.
	refused   float64
	updatedAt time.Time
	// first is the average time from the sending of a call to the beginning of
	// its answer.
	first time.Duration
}

// patience is how long a call may wait from now for its answer to be on time.
func (pool *pool) patience(now time.Time, call Call) time.Duration {
	if call.Late {
		return latePatience
	}
	return call.Due.Sub(now) - pool.first
}

// before orders waiting calls.
func before(a, b Call) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(lateness(a), lateness(b)), a.Due.Compare(b.Due))
}

func lateness(call Call) int {
	if call.Late {
		return 1
	}
	return 0
}

// depart counts a call that left, in a sum that fades over the window.
func (pool *pool) depart(now time.Time) {
	pool.fade(now)
	pool.departed++
}

func (pool *pool) fade(now time.Time) {
	elapsed := now.Sub(pool.updatedAt)
	pool.updatedAt = now
	if elapsed >= rateWindow {
		pool.departed, pool.refused = 0, 0
		return
	}
	part := 1 - float64(elapsed)/float64(rateWindow)
	pool.departed *= part
	pool.refused *= part
}

// refuse sends a call away until those that wait, and those that were sent away
// before it and come back too, can have been served.
func (pool *pool) refuse(now time.Time, answer Decision) Decision {
	rate := max(pool.rate(now), 1)
	wait := time.Duration((float64(len(pool.waiting)+1) + pool.refused) / rate * float64(time.Second))
	pool.refused++
	answer.Verdict, answer.Reason = VerdictRefuse, ReasonNoRoom
	answer.RetryAfter = min(mostRetryAfter, max(leastRetryAfter, wait))
	return answer
}

// rate is how many calls leave in a second.
func (pool *pool) rate(now time.Time) float64 {
	pool.fade(now)
	return pool.departed / rateWindow.Seconds()
}
