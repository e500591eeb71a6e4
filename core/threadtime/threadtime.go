// Package threadtime measures processor time for tests that bound work, since time on the
// clock also depends on what else the machine does.
//
// # Usage
//
//	took := threadtime.Of(func() { allocator.Allocate(now, request) })
package threadtime

import (
	"runtime"
	"syscall"
	"time"
)

// rusageThread selects the usage of the calling thread in getrusage(2) on Linux.
const rusageThread = 1

// Of returns the processor time that the calling goroutine's thread spends in run. It
// panics if the system doesn't report it.
func Of(run func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	startedAt := now()
	run()
	return now() - startedAt
}

func now() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
