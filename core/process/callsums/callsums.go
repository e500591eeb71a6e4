// Package callsums sums the calls in progress that the nodes report, by endpoint.
//
// # Usage
//
//	sums := callsums.New()
//	sums.Replace(before, after)
//	counts := sums.At(now)
package callsums

import (
	"time"

	"carobline.dev/core/process/feed"
)

// copyInterval is how old the counts of calls in a response may be, so that they are
// encoded for many responses at once.
const copyInterval = 20 * time.Millisecond

// CallSums are the calls in progress of all nodes. It isn't safe for concurrent use.
type CallSums struct {
	callsByEndpoint map[feed.Endpoint]int
	// copied is a copy for the responses, taken at copiedAt.
	copied   *feed.CallCounts
	copiedAt time.Time
}

// New returns sums without calls.
func New() *CallSums {
	return &CallSums{callsByEndpoint: map[feed.Endpoint]int{}}
}

// Replace replaces a node's previous calls in progress by its current ones.
func (callSums *CallSums) Replace(before, after map[feed.Endpoint]int) {
	for endpoint, calls := range before {
		callSums.callsByEndpoint[endpoint] -= calls
		if callSums.callsByEndpoint[endpoint] <= 0 {
			delete(callSums.callsByEndpoint, endpoint)
		}
	}
	for endpoint, calls := range after {
		callSums.callsByEndpoint[endpoint] += calls
	}
}

// Of returns the calls in progress at one endpoint.
func (callSums *CallSums) Of(endpoint feed.Endpoint) int { return callSums.callsByEndpoint[endpoint] }

// At returns the sums, at most copyInterval old.
func (callSums *CallSums) At(now time.Time) *feed.CallCounts {
	if callSums.copied == nil || now.Sub(callSums.copiedAt) >= copyInterval {
		callSums.copied, callSums.copiedAt = feed.NewCallCounts(callSums.callsByEndpoint), now
	}
	return callSums.copied
}
