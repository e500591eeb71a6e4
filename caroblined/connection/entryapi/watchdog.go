package entryapi

import (
	"context"
	"time"

	"carobline.dev/core/request/balancer"
)

// watchdog looks for a replacement of an endpoint whose stream has had no event for too
// long, and looks again while it has none. The limit depends on whether other streams
// of the endpoint get events.
type watchdog struct {
	*failover
	attempt *attempt
	timer   *time.Timer
	// answerStart, pause and lonePause are the limits. They are kept here since the call
	// may move to another route.
	answerStart, pause, lonePause time.Duration

	// The mutex of failover guards the fields below.
	firstEventSeen bool
	idleSince      time.Time
	// writing reports that events are being passed on, so that nothing is read.
	writing bool
	// reported reports that the endpoint has been reported as unresponsive since the last event.
	reported bool
	// position is how far the caller has got.
	position position
}

// position is the place in a stream at which another endpoint may go on with it.
type position struct {
	lastEventID string
	// refusal is why none can.
	refusal string
}

func newWatchdog(ctx context.Context, api *API, call *call, attempt *attempt, exchange *exchange, progress *progress) *watchdog {
	watchdog := &watchdog{
		failover: exchange.takeFailover(ctx, api, call, attempt),
		attempt:  attempt, idleSince: api.config.Now(), position: progress.position,
		answerStart: answerStartTimeout(call), pause: pauseTimeout(call), lonePause: loneStreamPauseTimeout(call),
	}
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.timer = time.AfterFunc(watchdog.answerStart, watchdog.check)
	return watchdog
}

// takeFailover returns the failover of an exchange's stream. A search that began before
// the stream's head goes on.
func (exchange *exchange) takeFailover(ctx context.Context, api *API, call *call, attempt *attempt) *failover {
	if exchange.watch == nil {
		return &failover{api: api, ctx: ctx, call: call, unresponsive: attempt.endpoint.Name, streamHead: true, streaming: true, cancelUnresponsive: exchange.cancel}
	}
	return exchange.watch.handOver()
}

// recordBlock records the arrival of what is passed on next. It returns false when that is
// no longer wanted, since the call has a replacement.
func (watchdog *watchdog) recordBlock(now time.Time, events *eventReader) bool {
	if events.hasEvent {
		return watchdog.recordEvents(now)
	}
	return watchdog.recordOther()
}

// recordEvents records the arrival of one or more events.
func (watchdog *watchdog) recordEvents(now time.Time) bool {
	watchdog.mutex.Lock()
	if !watchdog.progressed() {
		watchdog.mutex.Unlock()
		return false
	}
	first := !watchdog.firstEventSeen
	watchdog.streaming = true
	watchdog.firstEventSeen, watchdog.writing, watchdog.reported, watchdog.idleSince = true, true, false, now
	watchdog.mutex.Unlock()
	watchdog.api.recordEvent(now, watchdog.attempt.endpoint.Name, first)
	if first {
		watchdog.api.recordAnswerTime(watchdog.call, watchdog.attempt)
		watchdog.timer.Reset(watchdog.pause)
	}
	return true
}

// recordOther records the arrival of what is no event.
func (watchdog *watchdog) recordOther() bool {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.secured != nil {
		return false
	}
	watchdog.streaming = true
	return true
}

// recordPassedOn records that the caller has got the events.
func (watchdog *watchdog) recordPassedOn(now time.Time, position position) {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.writing, watchdog.idleSince, watchdog.position = false, now, position
}

// check looks for a replacement when the time without an event has reached the limit. It
// runs again when that may be so.
func (watchdog *watchdog) check() {
	now := watchdog.api.config.Now()
	sinceLastEvent := watchdog.api.sinceLastEvent(now, watchdog.attempt.endpoint.Name)
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.closed {
		return
	}
	limit, name := watchdog.limit(sinceLastEvent)
	idle := now.Sub(watchdog.idleSince)
	switch {
	case watchdog.writing:
		watchdog.timer.Reset(limit)
	case idle < limit:
		watchdog.timer.Reset(max(limit-idle, time.Millisecond))
	default:
		watchdog.failOver(now, name, idle)
		watchdog.timer.Reset(watchdog.pause)
	}
}

// failOver reports an unresponsive endpoint to the balancer, once, and looks for a replacement.
func (watchdog *watchdog) failOver(now time.Time, limit inactivityLimit, idle time.Duration) {
	if !watchdog.reported {
		watchdog.reported = true
		watchdog.api.reportUnresponsive(now, watchdog.call, watchdog.attempt, balancer.Stalled, limit, idle)
	}
	if watchdog.position.refusal != "" {
		watchdog.recordRefusal(watchdog.position.refusal)
		return
	}
	watchdog.start(watchdog.position.lastEventID)
}

// limit returns how long the stream may go without an event, and the limit's name. It is
// longer while other streams of the endpoint get events, since an engine may delay one
// stream in favour of others.
func (watchdog *watchdog) limit(sinceLastEvent time.Duration) (time.Duration, inactivityLimit) {
	switch {
	case !watchdog.firstEventSeen:
		return watchdog.answerStart, limitAnswerStart
	case sinceLastEvent >= watchdog.pause:
		return watchdog.pause, limitPause
	default:
		return watchdog.lonePause, limitLonePause
	}
}

// idle returns the time since the last event.
func (watchdog *watchdog) idle(now time.Time) time.Duration {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	return now.Sub(watchdog.idleSince)
}

// stop ends the watchdog and returns the replacement, if there is one; a search that is
// under way is awaited or cancelled. If the stream has begun, it no longer counts as one of
// its endpoint's streams.
func (watchdog *watchdog) stop(awaitSearch bool) *replacement {
	replacement := watchdog.close(awaitSearch)
	watchdog.timer.Stop()
	if watchdog.firstEventSeen {
		watchdog.api.streamEnded(watchdog.attempt.endpoint.Name)
	}
	return replacement
}
