// Package clock bounds the age of messages without comparing wall clocks. A process
// puts a stamp of its own monotonic clock into each answer. The receiver returns the
// stamp, advanced by the time since it arrived, with its next message. The process's
// current time less the returned stamp is an upper bound on the age of that message,
// however long it was delayed in the network or by a paused process.
//
// # Usage
//
//	stamp := own.Stamp(now)                 // sent with an answer
//	echo := stamp.Advance(elapsed)          // sent back with the next message
//	age, ok := own.Age(now, echo)           // on receiving it
package clock

import (
	"time"

	"carobline.dev/core/id"
)

// Stamp is a reading of one process's monotonic clock. Nanos is the time since that
// process started, in nanoseconds.
type Stamp struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
	Nanos       int64          `json:"nanos"`
}

// Advance returns the stamp with the time added that has elapsed at its holder since
// it was received.
func (stamp Stamp) Advance(elapsed time.Duration) Stamp {
	stamp.Nanos += int64(elapsed)
	return stamp
}

// Clock makes and reads the stamps of one process.
type Clock struct {
	node        id.Node
	incarnation id.Incarnation
	startedAt   time.Time
}

// New returns the clock of one incarnation of a node's process, which starts at now.
func New(now time.Time, node id.Node, incarnation id.Incarnation) *Clock {
	return &Clock{node: node, incarnation: incarnation, startedAt: now}
}

// Reading returns the time since the process started.
func (clock *Clock) Reading(now time.Time) time.Duration { return now.Sub(clock.startedAt) }

// Stamp returns a stamp of the clock at now.
func (clock *Clock) Stamp(now time.Time) Stamp {
	return Stamp{Node: clock.node, Incarnation: clock.incarnation, Nanos: int64(now.Sub(clock.startedAt))}
}

// Age returns an upper bound on how long ago an echoed stamp was sent back. It is
// false for a stamp of another node or another incarnation of this one.
func (clock *Clock) Age(now time.Time, echo Stamp) (time.Duration, bool) {
	if echo.Node != clock.node || echo.Incarnation != clock.incarnation {
		return 0, false
	}
	return max(0, now.Sub(clock.startedAt)-time.Duration(echo.Nanos)), true
}
