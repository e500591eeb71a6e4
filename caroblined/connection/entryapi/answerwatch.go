package entryapi

import (
	"context"
	"time"

	"carobline.dev/core/request/balancer"
)

// answerWatch looks for a replacement of an endpoint that takes too long to begin its
// answer, and looks again while it does. The limit is shorter when the endpoint's other
// streams get no events either. A stream has begun with its first event.
type answerWatch struct {
	*failover
	attempt            *attempt
	timer              *time.Timer
	startedAt          time.Time
	answerStart, pause time.Duration

	// The mutex of failover guards the fields below.
	reported bool
	// begun reports that a whole answer is being read, so that no search starts.
	begun bool
}

// watchAnswerStart begins to watch an exchange. It returns nil for a call that can't be
// tried elsewhere.
func (api *API) watchAnswerStart(ctx context.Context, call *call, attempt *attempt, cancel context.CancelFunc) *answerWatch {
	if !call.route.Idempotent() || call.possibleRuns+1 >= call.route.Attempts {
		return nil
	}
	watch := &answerWatch{
		failover: &failover{api: api, ctx: ctx, call: call, unresponsive: attempt.endpoint.Name, uncountedRuns: 1, cancelUnresponsive: cancel, streaming: call.streaming},
		attempt:  attempt, startedAt: api.config.Now(), answerStart: answerStartTimeout(call), pause: pauseTimeout(call),
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.timer = time.AfterFunc(watch.pause, watch.check)
	return watch
}

func (watch *answerWatch) check() {
	now := watch.api.config.Now()
	sinceLastEvent := watch.api.sinceLastEvent(now, watch.attempt.endpoint.Name)
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	idle := now.Sub(watch.startedAt)
	limit := limitAnswerStart
	switch {
	case watch.closed || watch.begun:
		return
	case idle >= watch.answerStart:
	case sinceLastEvent >= watch.pause:
		limit = limitPause
	default:
		watch.timer.Reset(watch.pause / 4)
		return
	}
	if !watch.reported {
		watch.reported = true
		watch.api.reportUnresponsive(now, watch.call, watch.attempt, balancer.Failed, limit, idle)
	}
	watch.start("")
	watch.timer.Reset(watch.pause)
}

// recordStreamHead records that a stream's head has come, and counts its run. It returns
// false when the call has a replacement already.
func (watch *answerWatch) recordStreamHead(now time.Time, call *call) bool {
	if watch == nil {
		call.possibleRuns++
		return true
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if watch.secured != nil {
		return false
	}
	call.possibleRuns++
	watch.uncountedRuns, watch.streamHead, watch.startedAt = 0, true, now
	return true
}

// recordAnswerHead records that the head of another answer has come. A search that is under way
// goes on, since the answer may break off.
func (watch *answerWatch) recordAnswerHead() {
	if watch == nil {
		return
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.begun = true
}

// handOver ends the watch, and returns its failover with a search that may be under way.
func (watch *answerWatch) handOver() *failover {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.begun = true
	watch.timer.Stop()
	return watch.failover
}

// stop ends the watch and returns the replacement, if there is one. A search that is under
// way is awaited or cancelled.
func (watch *answerWatch) stop(awaitSearch bool) *replacement {
	if watch == nil {
		return nil
	}
	replacement := watch.close(awaitSearch)
	watch.timer.Stop()
	return replacement
}
