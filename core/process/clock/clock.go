// Package clock bounds the age of messages without comparing wall clocks. A
// process stamps what it answers with its own monotonic clock; the other side
// returns the stamp, advanced by its own elapsed time, with its next message.
// The difference is an upper bound on that message's age, however long it was
// held up on its way or before a process that was paused.
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

// Stamp is a reading of one process's monotonic clock.
type Stamp struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
	Nanos       int64          `json:"nanos"`
}

// Advance adds time that passed at the holder since it received the stamp.
func (stamp Stamp) Advance(elapsed time.Duration) Stamp {
	stamp.Nanos += int64(elapsed)
	return stamp
}

// Clock makes and reads the stamps of one process.
type Clock struct {
	node        id.Node
	incarnation id.Incarnation
	epoch       time.Time
}

// New returns the clock of one life of a process.
func New(now time.Time, node id.Node, incarnation id.Incarnation) *Clock {
	return &Clock{node: node, incarnation: incarnation, epoch: now}
}

// Reading is the time since the process started.
func (clock *Clock) Reading(now time.Time) time.Duration { return now.Sub(clock.epoch) }

// Stamp reads the clock.
func (clock *Clock) Stamp(now time.Time) Stamp {
	return Stamp{Node: clock.node, Incarnation: clock.incarnation, Nanos: int64(now.Sub(clock.epoch))}
}

// Age bounds how long ago an echo was sent. It is false for a stamp of another
// process or another life of this one.
func (clock *Clock) Age(now time.Time, echo Stamp) (time.Duration, bool) {
	if echo.Node != clock.node || echo.Incarnation != clock.incarnation {
		return 0, false
	}
	return max(0, now.Sub(clock.epoch)-time.Duration(echo.Nanos)), true
}
