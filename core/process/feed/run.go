package feed

import (
	"time"

	"carobline.dev/core/process/memory"
)

// RunState is the state of one run of a node's process.
type RunState struct {
	// UptimeMS is how long ago the run began, in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	// Held is what the run's account of memory holds, and Peak the most that it held at a
	// time, both in bytes.
	Held memory.Bytes `json:"held,omitempty"`
	Peak memory.Bytes `json:"peak,omitempty"`
	// LargestKind and Largest are the holder that holds most, and LargestHeld how much, in
	// bytes.
	LargestKind memory.Kind  `json:"largest_kind,omitempty"`
	Largest     string       `json:"largest,omitempty"`
	LargestHeld memory.Bytes `json:"largest_held,omitempty"`
	// Heap is what the objects on the runtime's heap take, in bytes.
	Heap memory.Bytes `json:"heap,omitempty"`
	// Calls is the number of calls in progress.
	Calls int `json:"calls,omitempty"`
	// Stopping is set once the run drains or stops.
	Stopping bool `json:"stopping,omitempty"`
}

// Uptime returns how long ago the run began.
func (state *RunState) Uptime() time.Duration {
	return time.Duration(state.UptimeMS) * time.Millisecond
}

// EndedRun is a run that has ended without a stop.
type EndedRun struct {
	// Last is its last known state.
	Last RunState `json:"last"`
	// GapMS is the time from Last to the start of the next run, in milliseconds, by the clock
	// of the leader or of the node, and never negative.
	GapMS int64 `json:"gap_ms"`
}
