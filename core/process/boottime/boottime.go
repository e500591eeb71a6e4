// Package boottime reads CLOCK_BOOTTIME, which keeps running while the machine is
// suspended. Leases must be checked against it: the runtime's monotonic clock stops
// during a suspension, and the wall clock may jump.
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

// Clock counts from a given time, so that its times are readable in logs. Only the
// differences between its times are meaningful.
type Clock struct {
	base       time.Time
	startNanos int64
}

// New returns a clock whose current time is base.
func New(base time.Time) *Clock { return &Clock{base: base.Round(0), startNanos: nanos()} }

// Now returns base plus the time since New, suspensions included.
func (clock *Clock) Now() time.Time { return clock.base.Add(time.Duration(nanos() - clock.startNanos)) }

// nanos returns CLOCK_BOOTTIME in nanoseconds. Reading it can fail only on a kernel
// without that clock; then the wall clock is used.
func nanos() int64 {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		return time.Now().UnixNano()
	}
	return timespec.Nano()
}
