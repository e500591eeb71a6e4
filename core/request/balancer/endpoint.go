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
	// maxEventGap is how long all streams of an endpoint may go without an
	// event before the endpoint gets no further calls.
	maxEventGap = 500 * time.Millisecond
	// failuresToStall is the number of consecutive failures after which an
	// endpoint counts as stalled.
	failuresToStall = 2
	// fullPause is how long an endpoint gets no calls after it refused one for
	// lack of capacity.
	fullPause = 100 * time.Millisecond
)

// endpointState is what this entry host has recorded about one endpoint.
type endpointState struct {
	// running counts this entry host's calls in progress.
	running int
	// failures counts consecutive failures.
	failures   int
	avoidUntil time.Time
	// openStreams counts the streams that have had their first event, and
	// lastEventAt is the time of the last event of any of them.
	openStreams int
	lastEventAt time.Time
	// stalledUntil is until when the endpoint counts as stalled.
	stalledUntil time.Time
}

// recordEnding sets for how long the endpoint is avoided after a call ended.
func (balancer *Balancer) recordEnding(now time.Time, state *endpointState, ending Ending) {
	switch ending {
	case Served:
		state.failures = 0
	case Full:
		state.avoidUntil = now.Add(fullPause)
	case Failed:
		state.avoidUntil = now.Add(min(maxFailurePause, failurePause<<min(state.failures, 4)))
		state.failures++
		if state.failures >= failuresToStall {
			state.stalledUntil = state.avoidUntil
		}
	case Stalled:
		state.avoidUntil = now.Add(stallPause)
		state.stalledUntil = state.avoidUntil
		state.failures++
	case Abandoned:
	}
}

// Report records what an endpoint's behaviour towards a call means for the endpoint while
// the call goes on there.
func (balancer *Balancer) Report(now time.Time, endpoint feed.Endpoint, ending Ending) {
	balancer.recordEnding(now, balancer.state(endpoint), ending)
}

// StreamBegan records the first event of a stream.
func (balancer *Balancer) StreamBegan(now time.Time, endpoint feed.Endpoint) {
	state := balancer.state(endpoint)
	state.openStreams++
	state.lastEventAt = now
}

// StreamEvent records a further event of a stream. The endpoint no longer
// counts as stalled.
func (balancer *Balancer) StreamEvent(now time.Time, endpoint feed.Endpoint) {
	state := balancer.state(endpoint)
	state.lastEventAt = now
	state.stalledUntil = time.Time{}
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
		if now.Before(state.stalledUntil) {
			stalled = append(stalled, endpoint)
		}
	}
	slices.SortFunc(stalled, feed.Endpoint.Compare)
	return stalled
}

// suspect reports whether the endpoint is avoided after a call ended there, or
// has open streams of which none had an event within maxEventGap.
func (state *endpointState) suspect(now time.Time) bool {
	return now.Before(state.avoidUntil) || (state.openStreams > 0 && now.Sub(state.lastEventAt) > maxEventGap)
}
