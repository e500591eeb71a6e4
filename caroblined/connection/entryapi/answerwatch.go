package entryapi

import (
	"context"
	"time"

	"carobline.dev/core/request/balancer"
)

// answerWatch looks for a replacement of an endpoint that takes too long to begin its
// answer, and looks again while it does. The limit is shorter when the endpoint's other
// streams get no events either.
type answerWatch struct {
	failover
	attempt            *attempt
	timer              *time.Timer
	startedAt          time.Time
	answerStart, pause time.Duration

	// The mutex of failover guards the field below.
	silent bool
}

// watchAnswerStart begins to watch an exchange. It returns nil for a call that can't be
// tried elsewhere.
func (api *API) watchAnswerStart(ctx context.Context, call *call, attempt *attempt, cancel context.CancelFunc) *answerWatch {
	if !call.route.Idempotent() || call.possibleRuns+1 >= call.route.Attempts {
		return nil
	}
	watch := &answerWatch{
		failover: failover{api: api, ctx: ctx, call: call, uncountedRuns: 1, cancelSilent: cancel},
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
	case watch.closed:
		return
	case idle >= watch.answerStart:
	case sinceLastEvent >= watch.pause:
		limit = limitPause
	default:
		watch.timer.Reset(watch.pause / 4)
		return
	}
	if !watch.silent {
		watch.silent = true
		watch.api.reportSilence(now, watch.call, watch.attempt, balancer.Failed, limit, idle)
	}
	watch.start("")
	watch.timer.Reset(watch.pause)
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
