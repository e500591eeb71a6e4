// Package pacer spaces a leader's responses to the nodes, so that it gives no more than a
// fixed number of them in a time, however many nodes there are and whatever changes.
//
// # Usage
//
//	pacer := &pacer.Pacer{}
//	pacer.SetNodes(count)
//	if now.Sub(lastResponseAt) >= pacer.HoldTime() && pacer.MayRespond(now, request.HasDisk) {
//		pacer.Responded(now, response)
//	}
package pacer

import (
	"time"

	"carobline.dev/core/process/feed"
)

const (
	// responseSpacing times the number of nodes is the least time between two
	// responses to one node.
	responseSpacing = time.Millisecond
	// responseBurst bounds the responses given at once, as the time that they take at
	// responseSpacing, so that heartbeats to the other voters don't wait behind them.
	responseBurst = 20 * time.Millisecond
	// largeResponseTime replaces responseSpacing for a response with the declaration or
	// with at least largeResponseRecords announcements and groups.
	largeResponseTime    = 2 * time.Millisecond
	largeResponseRecords = 50
)

// Pacer is the pace of one leader's responses. It isn't safe for concurrent use.
type Pacer struct {
	nodes int
	// respondingUntil is when the responses given so far would be over if each took
	// responseSpacing.
	respondingUntil time.Time
}

// SetNodes sets the number of nodes that may act on a response.
func (pacer *Pacer) SetNodes(nodes int) { pacer.nodes = nodes }

// MayRespond reports whether a further response is within responseBurst. Nodes with a
// disk are few, and relay what hosts announce, so that they needn't wait.
func (pacer *Pacer) MayRespond(now time.Time, hasDisk bool) bool {
	return hasDisk || !pacer.respondingUntil.After(now.Add(responseBurst))
}

// Responded records a response.
func (pacer *Pacer) Responded(now time.Time, response *feed.Response) {
	if now.After(pacer.respondingUntil) {
		pacer.respondingUntil = now
	}
	pacer.respondingUntil = pacer.respondingUntil.Add(responseTime(response))
}

// Pause returns the least time between two responses to one node.
func (pacer *Pacer) Pause() time.Duration { return time.Duration(pacer.nodes) * responseSpacing }

// HoldTime returns how long a poll without an update is held, from the last response to
// its node.
func (pacer *Pacer) HoldTime() time.Duration { return max(feed.LongPollTimeout, pacer.Pause()) }

// responseTime returns how much of the leader's time a response counts for.
func responseTime(response *feed.Response) time.Duration {
	if response.Delta.Declared != nil || len(response.Roster)+len(response.Delta.Groups) >= largeResponseRecords {
		return largeResponseTime
	}
	return responseSpacing
}
