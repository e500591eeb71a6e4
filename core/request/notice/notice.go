// Package notice keeps what endpoints have reported of themselves in their answers to one
// entry host: that they are leaving, or that they accept no requests for a time. A notice
// holds for the incarnation of the host that gave it, whatever the control plane reports.
//
// # Usage
//
//	notices := notice.New()
//	notices.Leave(now, endpoint)
//	notices.Pause(now, endpoint, 2*time.Second)
//	available := notices.Filter(now, endpoints)
package notice

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/view"
)

// retention is how long a notice is kept after the host was last an endpoint. A late
// announcement may name a host again that has gone.
const retention = 10 * time.Minute

// given is the latest notice of one host.
type given struct {
	incarnation id.Incarnation
	leaving     bool
	pausedUntil time.Time
	lastSeenAt  time.Time
}

// holds reports whether the host accepts no requests at a time.
func (given *given) holds(now time.Time) bool { return given.leaving || now.Before(given.pausedUntil) }

// Notices holds the notices of all hosts. It isn't safe for concurrent use.
type Notices struct{ byHost map[id.Host]*given }

// New returns an empty set of notices.
func New() *Notices { return &Notices{map[id.Host]*given{}} }

// Leave records that the endpoint's host is leaving.
func (notices *Notices) Leave(now time.Time, endpoint *view.Endpoint) {
	if given := notices.of(now, endpoint); given != nil {
		given.leaving = true
	}
}

// Pause records that the endpoint's host accepts no requests for a time from now on.
func (notices *Notices) Pause(now time.Time, endpoint *view.Endpoint, pause time.Duration) {
	if given := notices.of(now, endpoint); given != nil && now.Add(pause).After(given.pausedUntil) {
		given.pausedUntil = now.Add(pause)
	}
}

// of returns the notice of an endpoint's host, a new one for a new incarnation. It is nil
// for an incarnation that has been followed by another.
func (notices *Notices) of(now time.Time, endpoint *view.Endpoint) *given {
	known := notices.byHost[endpoint.Host]
	switch {
	case known == nil || known.incarnation < endpoint.Incarnation:
		known = &given{incarnation: endpoint.Incarnation}
		notices.byHost[endpoint.Host] = known
	case known.incarnation > endpoint.Incarnation:
		return nil
	}
	known.lastSeenAt = now
	return known
}

// Filter returns the endpoints that accept requests. It returns the argument itself while
// all do.
func (notices *Notices) Filter(now time.Time, endpoints []*view.Endpoint) []*view.Endpoint {
	declines := func(endpoint *view.Endpoint) bool { return notices.declines(now, endpoint) }
	if len(notices.byHost) == 0 || !slices.ContainsFunc(endpoints, declines) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), declines)
}

// declines reports whether an endpoint accepts no requests at a time.
func (notices *Notices) declines(now time.Time, endpoint *view.Endpoint) bool {
	known := notices.byHost[endpoint.Host]
	if known == nil || known.incarnation != endpoint.Incarnation {
		return false
	}
	known.lastSeenAt = now
	return known.holds(now)
}

// FirstBack returns how long it takes until the first of the endpoints accepts requests
// again, or false when all of them are leaving.
func (notices *Notices) FirstBack(now time.Time, endpoints []*view.Endpoint) (time.Duration, bool) {
	var first time.Duration
	found := false
	for _, endpoint := range endpoints {
		known := notices.byHost[endpoint.Host]
		if known == nil || known.leaving {
			continue
		}
		if wait := known.pausedUntil.Sub(now); !found || wait < first {
			first, found = wait, true
		}
	}
	return first, found
}

// Forget drops the notices of hosts that haven't been endpoints for the retention time.
func (notices *Notices) Forget(now time.Time) {
	for host, known := range notices.byHost {
		if now.Sub(known.lastSeenAt) >= retention && !now.Before(known.pausedUntil) {
			delete(notices.byHost, host)
		}
	}
}
