package balancer

import (
	"slices"
	"time"

	"carobline.dev/core/request/shedding"
)

const (
	// rateWindow is the time over which departures are averaged.
	rateWindow = 2 * time.Second
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest Retry-After of a refusal before it is spread, where the
	// caller's deadline isn't known.
	maxRetryAfter = 2 * time.Second
	// minSpread is the shortest time over which callers refused at one moment are spread.
	minSpread = 100 * time.Millisecond
	// lateMaxWait is how long a late call may wait.
	lateMaxWait = 500 * time.Millisecond
	// firstEventWeight is the weight of a new sample in the moving average of
	// the time to the first event.
	firstEventWeight = 0.05
)

// queue holds the waiting calls of one pool and the rate at which its calls
// finish.
type queue struct {
	waiting []Call
	policy  shedding.Policy
	// departures counts the calls that finished, decayed over rateWindow.
	departures float64
	// refusals counts the refused calls, decayed likewise: their callers retry.
	refusals  float64
	decayedAt time.Time
	// timeToFirstEvent is the moving average of the time from sending a call to
	// the first event of its answer.
	timeToFirstEvent time.Duration
	// reference is the logarithm of the time to the first event that is usual at the sound
	// endpoints, as it was at referenceAt, and compares is false while too few are known.
	reference   float64
	referenceAt time.Time
	compares    bool
}

// maxWait returns how long a call may wait from now for its answer to be on
// time.
func (queue *queue) maxWait(now time.Time, call Call) time.Duration {
	if call.Late {
		return lateMaxWait
	}
	return call.Due.Sub(now) - queue.timeToFirstEvent
}

// limits returns where a call may be sent.
func (queue *queue) limits(now time.Time, call Call) shedding.Limits {
	limits := queue.policy.Limits(now, call.shed())
	if call.Failover {
		limits.MaxLoad = failoverMaxLoad
	}
	return limits
}

// sort puts the waiting calls in their order, which changes as priorities earn calls.
func (queue *queue) sort() {
	slices.SortStableFunc(queue.waiting, func(a, b Call) int { return queue.policy.Compare(a.shed(), b.shed()) })
}

// recordDeparture counts a finished call, before which the pool made no progress for idle.
func (queue *queue) recordDeparture(now time.Time, idle time.Duration) {
	queue.decay(now, idle)
	queue.departures++
}

// decay reduces both counts in proportion to the part of rateWindow that has
// passed since they were last reduced. Departures don't decay in an inactive period of up to
// rateWindow, which is no measure of the rate after it.
func (queue *queue) decay(now time.Time, idle time.Duration) {
	elapsed := now.Sub(queue.decayedAt)
	queue.decayedAt = now
	if elapsed >= rateWindow {
		queue.departures, queue.refusals = 0, 0
		return
	}
	remaining := 1 - float64(elapsed)/float64(rateWindow)
	queue.refusals *= remaining
	if !queue.withoutProgress(idle) || idle > rateWindow {
		queue.departures *= remaining
	}
}

// withoutProgress reports whether the time idle is longer than a pool at work on its calls
// goes without progress.
func (queue *queue) withoutProgress(idle time.Duration) bool {
	return idle > max(maxEventGap, 2*queue.timeToFirstEvent)
}

// refuse turns decision into a refusal. Its RetryAfter is at least the time that the pool needs
// to serve the waiting calls and those refused recently, whose callers retry too, at the current
// departure rate, and at least idle, the time without progress at any endpoint, if the pool
// counts as without progress.
func (balancer *Balancer) refuse(now time.Time, queue *queue, call Call, idle time.Duration, decision Decision) Decision {
	rate := max(queue.departureRate(now, idle), 1)
	wait := time.Duration((float64(len(queue.waiting)+1) + queue.refusals) / rate * float64(time.Second))
	if queue.withoutProgress(idle) {
		wait = max(wait, idle)
	}
	decision.Verdict, decision.Reason = VerdictRefuse, ReasonNoCapacity
	decision.RetryAfter = min(maxRetryAfter, max(minRetryAfter, wait))
	if call.running() {
		return decision
	}
	queue.refusals++
	if !call.Ranked {
		return decision
	}
	queue.policy.Delay(now, call.shed())
	decision.RetryAfter = balancer.spreadRetry(now, call, max(minRetryAfter, wait), time.Duration(float64(time.Second)/rate))
	return decision
}

// spreadRetry returns a random time from wait to an interval between departures later, so that
// callers don't return together that were refused at the same moment by several entry hosts, each
// of which counts only its own. It is at most a third of the time that the caller still waits:
// callers don't honour more, but at least minSpread, also of a call whose deadline is past. Where
// that is less than wait, the last quarter of it is used.
func (balancer *Balancer) spreadRetry(now time.Time, call Call, wait, interval time.Duration) time.Duration {
	const honouredDivisor, lastDivisor = 3, 4
	honoured := max(minSpread, call.Deadline.Sub(now)/honouredDivisor)
	span := max(minSpread, interval)
	if call.Deadline.IsZero() {
		wait = min(wait, maxRetryAfter)
		honoured = wait + span
	}
	least, most := wait, min(wait+span, honoured)
	if wait > honoured {
		least = honoured - honoured/lastDivisor
	}
	return least + time.Duration(balancer.rand.Float64()*float64(most-least))
}

// departureRate returns the finished calls per second.
func (queue *queue) departureRate(now time.Time, idle time.Duration) float64 {
	queue.decay(now, idle)
	return queue.departures / rateWindow.Seconds()
}
