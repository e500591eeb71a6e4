package member

import (
	"maps"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
)

// countsSettleTime is how long a new leader takes to receive the calls of all nodes.
const countsSettleTime = time.Second

// counts is what the leader reports about the calls of other nodes. A new leader receives them
// one node after the other, and at first has hardly any; until it has received all,
// the larger of its counts and the last leader's holds, and the smaller share.
type counts struct {
	// share is this node's part of the demand of all nodes.
	share             float64
	runningByEndpoint map[feed.Endpoint]int

	term id.Term
	// The last leader's share and counts hold until settledAt.
	settledAt             time.Time
	lastShare             float64
	lastRunningByEndpoint map[feed.Endpoint]int
}

// update takes over what the leader of a term reports in a response.
func (counts *counts) update(now time.Time, term id.Term, share float64, runningByEndpoint map[feed.Endpoint]int) {
	if term != counts.term {
		counts.term, counts.settledAt = term, now.Add(countsSettleTime)
		counts.lastShare, counts.lastRunningByEndpoint = counts.share, counts.runningByEndpoint
	}
	counts.share, counts.runningByEndpoint = share, runningByEndpoint
	if counts.lastShare <= 0 || !now.Before(counts.settledAt) {
		return
	}
	counts.share = min(counts.share, counts.lastShare)
	merged := make(map[feed.Endpoint]int, len(counts.lastRunningByEndpoint))
	maps.Copy(merged, counts.lastRunningByEndpoint)
	for endpoint, calls := range runningByEndpoint {
		merged[endpoint] = max(calls, merged[endpoint])
	}
	counts.runningByEndpoint = merged
}
