// Package runs decides, on the leader, which nodes have ended without a stop. A node reports
// the state of its run with each feed request, and reports before it stops that it does. A run
// that another one at the same address replaces, or that reports no more, has ended without a
// stop if it hadn't reported one.
//
// Only what one leader has received counts: a run that ends while no one leads, or whose
// reports went to the leader before, isn't known to its successor.
//
// # Usage
//
//	known := runs.New()
//	former, isNew := known.Report(now, request) // former goes into the response
//	for _, lost := range known.Lost(now) { ... }
package runs

import (
	"maps"
	"slices"
	"strings"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/feed"
)

const (
	// lostAfter is how long after its last report a run counts as lost. Its lease has ended
	// by then.
	lostAfter = feed.Lease
	// informTime is how long a new run is informed how the former one has ended, counted from its
	// first report: responses may be lost.
	informTime = 10 * time.Second
	// forgetAfter is how long after its last report a run is known.
	forgetAfter = 10 * time.Minute
)

// Lost is a node that has reported nothing for a time and hadn't reported that it stops.
type Lost struct {
	Node id.Node
	// Age is how long ago its last report came.
	Age  time.Duration
	Last feed.RunState
}

// runKey distinguishes the runs at one address: a node without a disk has a new name with each
// start, and one with a disk a new incarnation.
type runKey struct {
	node        id.Node
	incarnation id.Incarnation
}

// run is the run that has reported last from an address.
type run struct {
	key        runKey
	firstAt    time.Time
	reportedAt time.Time
	last       feed.RunState
	// reportedLost is set once Lost has returned the run.
	reportedLost bool
	// formerKey and former are the run before it, former only if it has ended without a
	// stop.
	formerKey runKey
	former    *feed.EndedRun
}

// Runs is what one leader holds of the runs of all nodes. It isn't safe for concurrent use.
type Runs struct {
	byAddress map[string]*run
}

// New returns a Runs that holds no run.
func New() *Runs { return &Runs{byAddress: map[string]*run{}} }

// Report records a node's request. It returns the run before it at its address if that has
// ended without a stop, for as long as the node has to be informed, and whether this is the
// request that showed it.
func (runs *Runs) Report(now time.Time, request *feed.Request) (former *feed.EndedRun, isNew bool) {
	address, key := electorate.Address(request.Node), runKey{request.Node, request.Incarnation}
	known := runs.byAddress[address]
	if known != nil && known.formerKey == key {
		// A late request of a run that another one has replaced.
		return nil, false
	}
	if request.Run == nil {
		// The first request to a leader, or a node of an older release, which never reports when it stops.
		if known != nil && known.key == key {
			known.reportedAt = now
		}
		return nil, false
	}
	if known == nil || known.key != key {
		known = replace(now, known, key, request.Run)
		runs.byAddress[address] = known
		isNew = known.former != nil
	}
	known.reportedAt, known.reportedLost = now, false
	// A request that a later one has overtaken may not report yet that the run stops.
	stopping := known.last.Stopping
	known.last = *request.Run
	known.last.Calls, known.last.Stopping = request.ActiveCalls, request.Run.Stopping || stopping
	if now.Sub(known.firstAt) >= informTime {
		return nil, false
	}
	return known.former, isNew
}

// replace returns a run that has just reported for the first time. before is the one that
// reported last from its address, or nil.
func replace(now time.Time, before *run, key runKey, state *feed.RunState) *run {
	next := &run{key: key, firstAt: now}
	if before == nil {
		return next
	}
	next.formerKey = before.key
	if !before.last.Stopping {
		startedAt := now.Add(-state.Uptime())
		next.former = &feed.EndedRun{Last: before.last, GapMS: max(0, startedAt.Sub(before.reportedAt).Milliseconds())}
	}
	return next
}

// Lost returns each run that has newly been without a report for lostAfter and hadn't reported
// that it stops, sorted by node. It forgets runs without a report for forgetAfter.
func (runs *Runs) Lost(now time.Time) []Lost {
	maps.DeleteFunc(runs.byAddress, func(_ string, known *run) bool { return now.Sub(known.reportedAt) >= forgetAfter })
	var lost []Lost
	for _, known := range runs.byAddress {
		age := now.Sub(known.reportedAt)
		if known.reportedLost || known.last.Stopping || age < lostAfter {
			continue
		}
		known.reportedLost = true
		lost = append(lost, Lost{Node: known.key.node, Age: age, Last: known.last})
	}
	slices.SortFunc(lost, func(a, b Lost) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return lost
}
