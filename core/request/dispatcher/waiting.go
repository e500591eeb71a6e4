package dispatcher

import (
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

// firstTokenMargin returns the part of a call's deadline that is kept for the
// time from its start at an endpoint to its first token: the mean and three mean
// deviations, but never more than half the deadline.
func (dispatcher *Dispatcher) firstTokenMargin(clientAccount *view.ClientAccount) time.Duration {
	const deviations = 3
	return min(dispatcher.firstToken.UpperBound(deviations), clientAccount.Contract.Deadline()/2)
}

// FirstToken records the time from a call's start at an endpoint to its first
// token.
func (dispatcher *Dispatcher) FirstToken(elapsed time.Duration) {
	dispatcher.firstToken.Record(elapsed)
}

// estimatedWait returns how long a client account's next call would wait: its
// queued work divided by its share of the rate at which the queue drains. It is
// zero while either is unknown.
func (dispatcher *Dispatcher) estimatedWait(now time.Time, clientAccount *view.ClientAccount) time.Duration {
	queued := dispatcher.queue.CostOf(clientAccount.Contract.ClientAccount)
	drain := dispatcher.drainRate.perSecond(now)
	if queued == 0 || drain == 0 {
		return 0
	}
	weight := float64(clientAccount.Contract.Share)
	share := weight / max(weight, dispatcher.queue.ActiveWeight(priorityRank(clientAccount.Contract.Priority)))
	return time.Duration(queued / (drain * share) * float64(time.Second))
}

func (dispatcher *Dispatcher) refuse(reason Reason, wait time.Duration) *Refusal {
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	spread := time.Duration(dispatcher.config.Rand.Int64N(int64(base)))
	return &Refusal{Reason: reason, RetryAfter: base + spread}
}

// Stalled reports whether a call has had no token for so long that it should
// move to another endpoint: before its first token, compared with the usual time
// to the first token; after it, with the median time between tokens of the
// endpoint's peers. A stall counts as a sample of the endpoint's pace. Only
// calls of level 0 are judged, since an engine may pause those of other levels.
func (dispatcher *Dispatcher) Stalled(now time.Time, ticket Ticket, sinceLastToken time.Duration, hasFirstToken bool) bool {
	call := dispatcher.runningByTicket[ticket]
	if call == nil || call.endpoint == (feed.Endpoint{}) || call.level > 0 || call.call.Service != "" {
		return false
	}
	const deviations, meanFactor, medianFactor = 8, 3, 10
	limit := max(dispatcher.firstToken.UpperBound(deviations), meanFactor*dispatcher.firstToken.Mean()).Seconds()
	if hasFirstToken {
		limit = medianFactor * dispatcher.chooser.MedianPace(call.endpoint)
	}
	if limit == 0 || sinceLastToken < minStall || sinceLastToken.Seconds() <= limit {
		return false
	}
	dispatcher.chooser.Pace(now, call.endpoint, sinceLastToken)
	return true
}
