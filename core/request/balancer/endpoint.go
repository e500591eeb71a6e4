package balancer

import (
	"slices"
	"time"

	"carobline.dev/core/process/feed"
)

const (
	// failurePause is how long an endpoint gets no calls after a failure; it
	// doubles with each consecutive failure.
	failurePause = 500 * time.Millisecond
	// maxFailurePause is the upper bound of that pause.
	maxFailurePause = 4 * time.Second
	// stallPause is how long an endpoint gets no calls after a stall.
	stallPause = 2 * time.Second
	// maxPauseDoublings bounds the doublings, before maxFailurePause is applied.
	maxPauseDoublings = 4
	// maxEventGap is how long all streams of an endpoint may go without an
	// event before the endpoint gets no further calls.
	maxEventGap = 500 * time.Millisecond
	// maxCommonPause is for how long endpoints without calls are taken to make no progress like
	// those with calls: half of the time after which the first callers end their calls.
	maxCommonPause = time.Second
	// failuresToStall is the number of consecutive failures after which an
	// endpoint counts as stalled.
	failuresToStall = 2
	// fullPause is how long an endpoint gets no calls after it refused one for
	// lack of capacity.
	fullPause = 100 * time.Millisecond
)

// endpointState is what this entry host has recorded about one endpoint.
type endpointState struct {
	// running counts this entry host's calls in progress, of which there have been some
	// since busySince.
	running   int
	busySince time.Time
	// failures counts consecutive failures.
	failures   int
	avoidUntil time.Time
	// openStreams counts the streams that have had their first event, and
	// lastEventAt is the time of the last event of any of them.
	openStreams int
	lastEventAt time.Time
	// progressAt is the time of the last event or answer of any call.
	progressAt time.Time
	// stalledUntil is until when the endpoint counts as stalled after failures.
	stalledUntil time.Time
	inactivity   inactivity
	begins       begins
}

// recordEnding sets for how long the endpoint is avoided after a call ended.
func (balancer *Balancer) recordEnding(now time.Time, state *endpointState, ending Ending) {
	switch ending {
	case Served:
		state.failures = 0
		state.recordProgress(now, true)
	case Full:
		state.recordProgress(now, true)
		state.avoidUntil = now.Add(fullPause)
	case Failed:
		state.avoidUntil = now.Add(min(maxFailurePause, failurePause<<min(state.failures, maxPauseDoublings)))
		state.failures++
		if state.failures >= failuresToStall {
			state.stalledUntil = state.avoidUntil
		}
	case Stalled:
		state.recordInactivity(now, ending)
	case Abandoned:
	}
}

// Report records that an endpoint makes no progress with a call that goes on there: Failed
// for one whose answer hasn't begun, Stalled for a stream. It holds until the endpoint makes
// progress with any of its calls or, if its streams went on meanwhile, begins another answer.
func (balancer *Balancer) Report(now time.Time, endpoint feed.Endpoint, ending Ending) {
	balancer.state(endpoint).recordInactivity(now, ending)
}

// StreamBegan records the first event of a stream and returns the decisions for waiting
// calls that may go now.
func (balancer *Balancer) StreamBegan(now time.Time, endpoint feed.Endpoint) []Decision {
	decisions := balancer.recordEvent(now, endpoint, true)
	balancer.state(endpoint).openStreams++
	return decisions
}

// StreamEvent records a further event of a stream and returns the decisions for waiting
// calls that may go now. The endpoint no longer counts as stalled, unless it was reported
// for answers that don't begin while its streams went on.
func (balancer *Balancer) StreamEvent(now time.Time, endpoint feed.Endpoint) []Decision {
	return balancer.recordEvent(now, endpoint, false)
}

// recordEvent records an event of a stream. Waiting calls may go if it ends an inactive period.
func (balancer *Balancer) recordEvent(now time.Time, endpoint feed.Endpoint, begins bool) []Decision {
	state := balancer.state(endpoint)
	avoided := state.suspect(now)
	state.lastEventAt = now
	state.recordProgress(now, begins)
	if !avoided || state.suspect(now) {
		return nil
	}
	return balancer.dispatchWaiting(now)
}

// StreamEnded records the end of a stream that StreamBegan was called for.
func (balancer *Balancer) StreamEnded(endpoint feed.Endpoint) {
	state := balancer.state(endpoint)
	state.openStreams = max(0, state.openStreams-1)
}

// SinceLastEvent returns the time since the last event of any stream of an
// endpoint, or zero while no stream is open there.
func (balancer *Balancer) SinceLastEvent(now time.Time, endpoint feed.Endpoint) time.Duration {
	state := balancer.stateByEndpoint[endpoint]
	if state == nil || state.openStreams == 0 {
		return 0
	}
	return now.Sub(state.lastEventAt)
}

// StalledEndpoints returns the endpoints that count as stalled, sorted by name.
func (balancer *Balancer) StalledEndpoints(now time.Time) []feed.Endpoint {
	var stalled []feed.Endpoint
	for endpoint, state := range balancer.stateByEndpoint {
		if now.Before(state.stalledUntil) || (state.inactivity.stalled && now.Before(state.inactivity.avoidUntil)) {
			stalled = append(stalled, endpoint)
		}
	}
	slices.SortFunc(stalled, feed.Endpoint.Compare)
	return stalled
}

// recordProgress records an event or an answer of a call; begins is false for a further
// event of a stream.
func (state *endpointState) recordProgress(now time.Time, begins bool) {
	state.progressAt = now
	state.stalledUntil = time.Time{}
	if begins || !state.inactivity.startsOnly {
		state.inactivity = inactivity{}
	}
}

// recordInactivity records a call that makes no progress.
func (state *endpointState) recordInactivity(now time.Time, ending Ending) {
	pause := failurePause
	if ending == Stalled {
		pause = stallPause
	}
	state.inactivity.record(now, pause)
	if ending == Stalled || state.inactivity.calls >= failuresToStall {
		state.inactivity.stalled = true
	}
	state.inactivity.startsOnly = ending == Failed && state.openStreams > 0 && now.Sub(state.lastEventAt) < maxEventGap/2
}

// suspect reports whether the endpoint is avoided after a call ended there or made no
// progress, or has open streams of which none had an event within maxEventGap.
func (state *endpointState) suspect(now time.Time) bool {
	return now.Before(state.avoidUntil) || now.Before(state.inactivity.avoidUntil) || (state.openStreams > 0 && now.Sub(state.lastEventAt) > maxEventGap)
}

// goesOn reports whether a call has made progress there within maxEventGap.
func (state *endpointState) goesOn(now time.Time) bool {
	return !state.progressAt.IsZero() && now.Sub(state.progressAt) <= maxEventGap
}

// idle returns for how long none of the calls in progress there has made progress.
func (state *endpointState) idle(now time.Time) time.Duration {
	return min(now.Sub(state.busySince), now.Sub(state.progressAt))
}
