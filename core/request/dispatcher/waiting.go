package dispatcher

import (
	"math"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

// margin is what a call's deadline must leave for the time between its start at
// an endpoint and its first token. It never takes more than half the deadline.
func (dispatcher *Dispatcher) margin(clientAccount *view.ClientAccount) time.Duration {
	const spreads = 3
	margin := time.Duration((dispatcher.firstMean + spreads*dispatcher.firstSpread) * float64(time.Second))
	return min(margin, clientAccount.Contract.Deadline()/2)
}

// FirstToken takes the time from a call's start at an endpoint to its first
// token.
func (dispatcher *Dispatcher) FirstToken(took time.Duration) {
	if dispatcher.firstMean == 0 {
		dispatcher.firstMean, dispatcher.firstSpread = took.Seconds(), took.Seconds()/2
	}
	stray := took.Seconds() - dispatcher.firstMean
	dispatcher.firstMean += guessSmoothing * stray
	dispatcher.firstSpread += guessSmoothing * (math.Abs(stray) - dispatcher.firstSpread)
}

// wait estimates how long a customer's next call would wait: its queued work
// over its part of the rate at which the queue drains.
func (dispatcher *Dispatcher) wait(now time.Time, clientAccount *view.ClientAccount) time.Duration {
	queued := dispatcher.queue.CostOf(clientAccount.Contract.ClientAccount)
	drain := dispatcher.drain.perSecond(now)
	if queued == 0 || drain == 0 {
		return 0
	}
	weight := float64(clientAccount.Contract.Share)
	part := weight / max(weight, dispatcher.queue.ActiveWeight(rank(clientAccount.Contract.Priority)))
	return time.Duration(queued / (drain * part) * float64(time.Second))
}

func (dispatcher *Dispatcher) refuse(reason Reason, wait time.Duration) *Refusal {
	base := min(max(wait, retryAtLeast), retryAtMost)
	spread := time.Duration(dispatcher.config.Rand.Int64N(int64(base)))
	return &Refusal{Reason: reason, RetryAfter: base + spread}
}

// Stalled tells whether a call has been without a token for so long that it had
// better move: before its first token by what first tokens take, after it by the
// pace of the endpoint's peers. Only calls of the first level are judged, since
// others may rightly be paused.
func (dispatcher *Dispatcher) Stalled(now time.Time, ticket Ticket, silent time.Duration, began bool) bool {
	call := dispatcher.calls[ticket]
	if call == nil || call.endpoint == (feed.Endpoint{}) || call.level > 0 || call.call.Service != "" {
		return false
	}
	const spreads, factor, gaps = 8, 3, 10
	limit := max(dispatcher.firstMean+spreads*dispatcher.firstSpread, factor*dispatcher.firstMean)
	if began {
		limit = gaps * dispatcher.choice.MedianPace(call.endpoint)
	}
	if limit == 0 || silent < stallAtLeast || silent.Seconds() <= limit {
		return false
	}
	dispatcher.choice.Pace(now, call.endpoint, silent)
	return true
}
