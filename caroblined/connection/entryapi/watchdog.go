package entryapi

import (
	"sync"
	"time"
)

// watchdog cancels the exchange of a stream that has had no event for too long.
// The limit depends on whether other streams of the endpoint get events.
type watchdog struct {
	api     *API
	call    *call
	attempt *attempt
	cancel  func()

	mutex          sync.Mutex
	timer          *time.Timer
	firstEventSeen bool
	lastEventAt    time.Time
	stopped        bool
	// breakage is set once the exchange has been cancelled.
	breakage breakage
}

func newWatchdog(api *API, call *call, attempt *attempt, cancel func()) *watchdog {
	watchdog := &watchdog{api: api, call: call, attempt: attempt, cancel: cancel, lastEventAt: api.config.Now()}
	watchdog.timer = time.AfterFunc(answerStartTimeout(call), watchdog.check)
	return watchdog
}

// recordEvent records the arrival of one or more complete events.
func (watchdog *watchdog) recordEvent() {
	now := watchdog.api.config.Now()
	watchdog.mutex.Lock()
	first := !watchdog.firstEventSeen
	watchdog.firstEventSeen, watchdog.lastEventAt = true, now
	watchdog.mutex.Unlock()
	watchdog.api.recordEvent(now, watchdog.attempt.endpoint.Name, first)
	if first {
		watchdog.api.recordAnswerTime(watchdog.call, watchdog.attempt)
		watchdog.timer.Reset(pauseTimeout(watchdog.call))
	}
}

// check cancels the exchange when the time without an event has reached the
// limit. Otherwise it runs again when the limit may be reached.
func (watchdog *watchdog) check() {
	now := watchdog.api.config.Now()
	limit, name := watchdog.timeout(now)
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.stopped {
		return
	}
	idle := now.Sub(watchdog.lastEventAt)
	if idle < limit {
		watchdog.timer.Reset(max(limit-idle, time.Millisecond))
		return
	}
	watchdog.stopped, watchdog.breakage = true, breakage{by: name, idle: idle}
	watchdog.cancel()
}

// timeout returns how long the stream may go without an event, and the limit's name. It is longer
// while other streams of the endpoint get events, since an engine may delay one
// stream in favour of others.
func (watchdog *watchdog) timeout(now time.Time) (time.Duration, breaker) {
	watchdog.mutex.Lock()
	firstEventSeen := watchdog.firstEventSeen
	watchdog.mutex.Unlock()
	if !firstEventSeen {
		return answerStartTimeout(watchdog.call), breakerAnswerStart
	}
	if limit := pauseTimeout(watchdog.call); watchdog.api.sinceLastEvent(now, watchdog.attempt.endpoint.Name) >= limit {
		return limit, breakerPause
	}
	return loneStreamPauseTimeout(watchdog.call), breakerLonePause
}

// expired reports whether the watchdog has cancelled the exchange.
func (watchdog *watchdog) expired() bool {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	return watchdog.stopped
}

// idle returns the time since the last event.
func (watchdog *watchdog) idle(now time.Time) time.Duration {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	return now.Sub(watchdog.lastEventAt)
}

// stop ends the watchdog. If the stream has begun, it no longer counts as one of
// its endpoint's streams.
func (watchdog *watchdog) stop() {
	watchdog.mutex.Lock()
	firstEventSeen := watchdog.firstEventSeen
	watchdog.stopped = true
	watchdog.mutex.Unlock()
	watchdog.timer.Stop()
	if firstEventSeen {
		watchdog.api.streamEnded(watchdog.attempt.endpoint.Name)
	}
}
