package balancer

import (
	"slices"
	"time"

	"carobline.dev/core/process/feed"
)

const (
	// suspicion is how long an endpoint is passed over after a failure; it
	// doubles with each failure in a row.
	suspicion = 500 * time.Millisecond
	// mostSuspicion bounds it.
	mostSuspicion = 4 * time.Second
	// stallPause is how long an endpoint is passed over that stood still.
	stallPause = 2 * time.Second
	// quietLimit is how long no stream of an endpoint may have had an event for
	// it to get further calls.
	quietLimit = 500 * time.Millisecond
	// failuresToStand is after how many failures in a row an endpoint counts as
	// standing still.
	failuresToStand = 2
	// fullPause is how long an endpoint is passed over that said it is full.
	fullPause = 100 * time.Millisecond
)

// place is what is known of one endpoint.
type place struct {
	running  int
	failures int
	avoid    time.Time
	// streams counts the streams that have begun, and eventAt is when the last
	// event of any of them came.
	streams int
	eventAt time.Time
	// stalledUntil is until when the endpoint counts as standing still.
	stalledUntil time.Time
}

func (balancer *Balancer) judge(now time.Time, place *place, ending Ending) {
	switch ending {
	case Served:
		place.failures = 0
	case Full:
		place.avoid = now.Add(fullPause)
	case Failed:
		place.avoid = now.Add(min(mostSuspicion, suspicion<<min(place.failures, 4)))
		place.failures++
		if place.failures >= failuresToStand {
			place.stalledUntil = place.avoid
		}
	case Stalled:
		place.avoid = now.Add(stallPause)
		place.stalledUntil = place.avoid
		place.failures++
	case Abandoned:
	}
}

// StreamBegan counts a stream whose first event has come.
func (balancer *Balancer) StreamBegan(now time.Time, endpoint feed.Endpoint) {
	place := balancer.place(endpoint)
	place.streams++
	place.eventAt = now
}

// StreamEvent notes an event of a stream.
func (balancer *Balancer) StreamEvent(now time.Time, endpoint feed.Endpoint) {
	place := balancer.place(endpoint)
	place.eventAt = now
	place.stalledUntil = time.Time{}
}

// StreamEnded counts a stream that has begun and is over.
func (balancer *Balancer) StreamEnded(endpoint feed.Endpoint) {
	place := balancer.place(endpoint)
	place.streams = max(0, place.streams-1)
}

// SinceLastEvent is how long no stream of an endpoint has had an event; it is zero
// while none has begun.
func (balancer *Balancer) SinceLastEvent(now time.Time, endpoint feed.Endpoint) time.Duration {
	place := balancer.places[endpoint]
	if place == nil || place.streams == 0 {
		return 0
	}
	return now.Sub(place.eventAt)
}

// StalledEndpoints lists the endpoints that stand still, in order of their names.
func (balancer *Balancer) StalledEndpoints(now time.Time) []feed.Endpoint {
	var standing []feed.Endpoint
	for name, place := range balancer.places {
		if now.Before(place.stalledUntil) {
			standing = append(standing, name)
		}
	}
	slices.SortFunc(standing, feed.Endpoint.Compare)
	return standing
}

// suspect tells whether an endpoint has failed or fallen silent lately.
func (place *place) suspect(now time.Time) bool {
	return now.Before(place.avoid) || (place.streams > 0 && now.Sub(place.eventAt) > quietLimit)
}
