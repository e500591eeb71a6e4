// Package boottime reads the clock that goes on while the machine is suspended.
// Leases must be judged by it: the monotonic clock of the runtime stands still
// during a suspension, and the time of day may jump.
//
// # Usage
//
//	clock := boottime.New(time.Now())
//	now := clock.Now()
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts from a moment that it is given, so that its times can be read
// by people; only differences mean anything.
type Clock struct {
	base  time.Time
	start int64
}

// New returns a clock that shows base at present.
func New(base time.Time) *Clock { return &Clock{base: base.Round(0), start: nanos()} }

// Now is the present time.
func (clock *Clock) Now() time.Time { return clock.base.Add(time.Duration(nanos() - clock.start)) }

// nanos reads the kernel's clock, which doesn't fail for a clock that exists.
func nanos() int64 {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Now().UnixNano()
	}
	return spec.Nano()
}
