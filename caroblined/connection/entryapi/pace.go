package entryapi

import (
	"sync"
	"time"
)

// pace watches the events of one stream and gives it up when it, and with it
// its endpoint, has been silent for too long.
type pace struct {
	api    *API
	call   *call
	try    *attempt
	cancel func()

	mutex sync.Mutex
	timer *time.Timer
	begun bool
	last  time.Time
	gone  bool
}

func newPace(api *API, call *call, try *attempt, cancel func()) *pace {
	pace := &pace{api: api, call: call, try: try, cancel: cancel, last: api.config.Now()}
	pace.timer = time.AfterFunc(silenceBefore(call), pace.look)
	return pace
}

// event notes that a whole event has come.
func (pace *pace) event() {
	now := pace.api.config.Now()
	pace.mutex.Lock()
	first := !pace.begun
	pace.begun, pace.last = true, now
	pace.mutex.Unlock()
	pace.api.progress(now, pace.try.endpoint.Name, first)
	if first {
		pace.api.first(pace.call, pace.try)
		pace.timer.Reset(silenceWithin(pace.call))
	}
}

// look gives the stream up, or looks again once its silence may be too long.
func (pace *pace) look() {
	now := pace.api.config.Now()
	limit := pace.limit(now)
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	if pace.gone {
		return
	}
	silent := now.Sub(pace.last)
	if silent < limit {
		pace.timer.Reset(max(limit-silent, time.Millisecond))
		return
	}
	pace.gone = true
	pace.cancel()
}

// limit is how long the stream may be silent: longer while other streams of
// the endpoint go on, since an engine may put one of them off.
func (pace *pace) limit(now time.Time) time.Duration {
	pace.mutex.Lock()
	begun := pace.begun
	pace.mutex.Unlock()
	if !begun {
		return silenceBefore(pace.call)
	}
	if within := silenceWithin(pace.call); pace.api.quiet(now, pace.try.endpoint.Name) >= within {
		return within
	}
	return silenceAlone(pace.call)
}

// lost tells whether the stream was given up.
func (pace *pace) lost() bool {
	pace.mutex.Lock()
	defer pace.mutex.Unlock()
	return pace.gone
}

func (pace *pace) stop() {
	pace.mutex.Lock()
	begun := pace.begun
	pace.gone = true
	pace.mutex.Unlock()
	pace.timer.Stop()
	if begun {
		pace.api.streamEnded(pace.try.endpoint.Name)
	}
}
