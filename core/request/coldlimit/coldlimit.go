// Package coldlimit limits the requests of one node to cold endpoints. Such an endpoint
// gets as many requests in any second as the leader has allocated to the node, and none
// without an allocation or after the lease of it.
//
// # Usage
//
//	limiter := coldlimit.New()
//	if limiter.Allows(now, endpoint) {
//		limiter.Sent(now, endpoint)
//	}
package coldlimit

import (
	"slices"
	"sync/atomic"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

const (
	// Window is the second in which requests are counted, with the hundredth by which the
	// endpoint's clock may be slower, and 40 ms by which a request may overtake an earlier one
	// on its way. Hosts that all have calls waiting send at the same times, so that a little
	// jitter would double what arrives in some second.
	Window = 1050 * time.Millisecond
	// pruneInterval is the time between removals of endpoints without recent requests.
	pruneInterval = 10 * time.Second
)

// Limiter holds the recent requests of one node. It isn't safe for concurrent use, but for
// Diverted.
type Limiter struct {
	// sentByEndpoint holds the times of the requests within the last Window, the earliest
	// first, for endpoints of services with a limit, cold or not: an endpoint may turn cold
	// after them.
	sentByEndpoint map[feed.Endpoint][]time.Time
	prunedAt       time.Time
	diverted       atomic.Int64
}

// New returns a limiter without requests.
func New() *Limiter { return &Limiter{sentByEndpoint: map[feed.Endpoint][]time.Time{}} }

// Allows reports whether a request may be sent to an endpoint.
func (limiter *Limiter) Allows(now time.Time, endpoint *view.Endpoint) bool {
	cold := &endpoint.Cold
	if !cold.IsCold(now) {
		return true
	}
	if cold.Allocated <= 0 || !now.Before(cold.AllocatedUntil) {
		return false
	}
	sent := limiter.sentByEndpoint[endpoint.Name]
	return len(sent) < cold.Allocated || now.Sub(sent[len(sent)-cold.Allocated]) > Window
}

// Sent records a request to an endpoint.
func (limiter *Limiter) Sent(now time.Time, endpoint *view.Endpoint) {
	if !endpoint.Cold.Limited {
		return
	}
	if now.Sub(limiter.prunedAt) >= pruneInterval {
		limiter.prune(now)
	}
	limiter.sentByEndpoint[endpoint.Name] = append(recent(now, limiter.sentByEndpoint[endpoint.Name]), now)
}

// Divert counts a call that has been assigned to one endpoint since the limit of another
// one didn't allow it there.
func (limiter *Limiter) Divert() { limiter.diverted.Add(1) }

// Diverted returns the number of calls that Divert has counted. It is safe for concurrent use.
func (limiter *Limiter) Diverted() int64 { return limiter.diverted.Load() }

// recent returns the times that are within Window.
func recent(now time.Time, sent []time.Time) []time.Time {
	first := slices.IndexFunc(sent, func(at time.Time) bool { return now.Sub(at) <= Window })
	if first < 0 {
		return sent[:0]
	}
	return slices.Delete(sent, 0, first)
}

// prune drops the endpoints without recent requests.
func (limiter *Limiter) prune(now time.Time) {
	limiter.prunedAt = now
	for endpoint, sent := range limiter.sentByEndpoint {
		if last := sent[len(sent)-1]; now.Sub(last) > Window {
			delete(limiter.sentByEndpoint, endpoint)
		}
	}
}
