package entryapi

import (
	"sync/atomic"
	"time"
)

// watchdog calls a function when it isn't reset in time.
type watchdog struct {
	timer *time.Timer
	late  atomic.Bool
}

func newWatchdog(limit time.Duration, bark func()) *watchdog {
	watchdog := &watchdog{}
	watchdog.timer = time.AfterFunc(limit, func() {
		watchdog.late.Store(true)
		bark()
	})
	return watchdog
}

func (watchdog *watchdog) reset(limit time.Duration) { watchdog.timer.Reset(limit) }

func (watchdog *watchdog) stop() { watchdog.timer.Stop() }

func (watchdog *watchdog) fired() bool { return watchdog.late.Load() }
