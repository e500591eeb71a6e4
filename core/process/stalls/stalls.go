// Package stalls keeps which endpoints nodes report as stalled, so that the other nodes
// avoid them for a time.
//
// # Usage
//
//	stalled := stalls.New()
//	stalled.Report(now, endpoint)
//	endpoints := stalled.At(now)
package stalls

import (
	"slices"
	"time"

	"carobline.dev/core/process/feed"
)

// broadcastLifetime is how long the other nodes avoid an endpoint after one node has
// reported that its calls there are stalled.
const broadcastLifetime = 500 * time.Millisecond

// Stalls are the reports that one leader has got. It isn't safe for concurrent use.
type Stalls struct {
	// reportedAtByEndpoint is when a node last reported that its calls to an endpoint
	// are stalled.
	reportedAtByEndpoint map[feed.Endpoint]time.Time
	newReports           uint64
}

// New returns a Stalls without reports.
func New() *Stalls {
	return &Stalls{reportedAtByEndpoint: map[feed.Endpoint]time.Time{}}
}

// Report records that a node's calls to an endpoint are stalled.
func (stalls *Stalls) Report(now time.Time, endpoint feed.Endpoint) {
	if now.Sub(stalls.reportedAtByEndpoint[endpoint]) >= broadcastLifetime {
		stalls.newReports++
	}
	stalls.reportedAtByEndpoint[endpoint] = now
}

// NewReports counts the reports of endpoints that weren't reported within
// broadcastLifetime before. Each is an update for all nodes.
func (stalls *Stalls) NewReports() uint64 { return stalls.newReports }

// At lists the endpoints that a node reported as stalled within broadcastLifetime.
func (stalls *Stalls) At(now time.Time) []feed.Endpoint {
	var stalled []feed.Endpoint
	for endpoint, reportedAt := range stalls.reportedAtByEndpoint {
		if now.Sub(reportedAt) < broadcastLifetime {
			stalled = append(stalled, endpoint)
		}
	}
	slices.SortFunc(stalled, feed.Endpoint.Compare)
	return stalled
}
