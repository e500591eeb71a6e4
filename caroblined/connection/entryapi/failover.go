package entryapi

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/balancer"
)

// The reasons for which a call doesn't go on at an endpoint that has answered, besides
// those of the exchange.
const (
	refusalNoStream = "no_stream"
	refusalNoEvent  = "no_event"
)

// errReplaced reports an exchange that was ended since another endpoint goes on with its
// call.
var errReplaced = errors.New("another endpoint goes on with the call")

// replacedError returns why a replaced exchange ended with err: by itself, or since it was
// cancelled for its replacement.
func replacedError(err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return errReplaced
	}
	return err
}

// replacement is an endpoint that goes on with a call: it has begun to answer.
type replacement struct {
	call     *call
	attempt  *attempt
	exchange *exchange
}

// search is one try to find a replacement. The call is a copy, since the other one is in
// use meanwhile.
type search struct {
	call   *call
	cancel context.CancelFunc
	// outdated is set when the replacement is no longer wanted.
	outdated bool
}

// failover looks for a replacement of an endpoint that is unresponsive, beside the exchange with
// it. That exchange is cancelled only once the replacement has begun to answer. What the
// unresponsive endpoint sends before ends the search if it is passed on.
type failover struct {
	api  *API
	ctx  context.Context
	call *call
	// unresponsive is the endpoint at which the call runs.
	unresponsive feed.Endpoint
	// uncountedRuns are the runs at the unresponsive endpoint that call.possibleRuns doesn't
	// count yet.
	uncountedRuns      int
	cancelUnresponsive context.CancelFunc

	mutex sync.Mutex
	// streamHead reports that the head of a stream has come, and streaming that the caller
	// has got a part of a stream, so that only a stream can go on with the call.
	streamHead, streaming bool

	search  *search
	secured *replacement
	// refusal is why there was no replacement last.
	refusal    string
	closed     bool
	goroutines sync.WaitGroup
}

// start begins a search, unless there is one. A stream is resumed after the event with the
// given id. The caller holds the mutex.
func (failover *failover) start(lastEventID string) {
	if failover.closed || failover.search != nil || failover.secured != nil {
		return
	}
	ctx, cancel := context.WithCancel(failover.ctx)
	search := &search{call: failover.call.fork(failover.unresponsive), cancel: cancel}
	search.call.possibleRuns += failover.uncountedRuns
	search.call.streaming = failover.streaming
	if lastEventID != "" {
		search.call.request.Header.Set(failover.api.config.Dialect.LastEventID, lastEventID)
	}
	failover.search = search
	failover.goroutines.Go(func() { failover.run(ctx, search) })
}

// fork returns a copy of a call for a search beside an unresponsive endpoint.
func (call *call) fork(unresponsive feed.Endpoint) *call {
	fork := *call
	fork.request = call.request.WithContext(call.request.Context())
	fork.request.Header = call.request.Header.Clone()
	fork.tried = slices.Clone(call.tried)
	fork.runningAt, fork.seeking = unresponsive, true
	return &fork
}

// run carries out a search.
func (failover *failover) run(ctx context.Context, search *search) {
	replacement, refusal := failover.api.seek(ctx, search.call)
	failover.mutex.Lock()
	failover.search = nil
	if refusal != "" && !search.outdated {
		failover.recordRefusal(refusal)
	}
	failover.call.tried = search.call.tried
	failover.call.possibleRuns = search.call.possibleRuns - failover.uncountedRuns
	failover.call.hold(search.call.failure)
	if replacement != nil && !search.outdated && failover.fits(replacement) {
		failover.secured = replacement
		replacement.exchange.onClose(search.cancel)
		failover.cancelUnresponsive()
		failover.mutex.Unlock()
		return
	}
	failover.mutex.Unlock()
	if replacement != nil {
		failover.api.release(replacement)
	}
	search.cancel()
}

// fits reports whether a replacement can go on with the call, of which the unresponsive endpoint
// may have begun a stream meanwhile. The caller holds the mutex.
func (failover *failover) fits(replacement *replacement) bool {
	return !failover.streamHead || replacement.exchange.continues(failover.streaming)
}

// continues reports whether a usable answer can go on after the head of a stream, or after
// a part of it that the caller has got.
func (exchange *exchange) continues(streaming bool) bool {
	return exchange.events != nil || (!streaming && exchange.response.StatusCode == http.StatusOK)
}

// recordRefusal logs why there is no replacement, unless that was the reason before. The
// caller holds the mutex.
func (failover *failover) recordRefusal(refusal string) {
	if refusal == failover.refusal {
		return
	}
	failover.refusal = refusal
	failover.api.config.Log.Info().Str("step", "not_replaced").Str("request", string(failover.call.id)).Str("retry_refused", refusal).
		Msg("no other endpoint goes on with the call; the unresponsive one is awaited")
}

// progressed ends a search, since the unresponsive endpoint has gone on. It returns false when
// the call has a replacement already. The caller holds the mutex.
func (failover *failover) progressed() bool {
	if failover.secured != nil {
		return false
	}
	if failover.search != nil {
		failover.search.outdated = true
		failover.search.cancel()
	}
	return true
}

// close waits until no search runs and returns the replacement, if there is one. A search
// that is under way ends first when it is awaited, and is cancelled otherwise.
func (failover *failover) close(awaitSearch bool) *replacement {
	failover.mutex.Lock()
	failover.closed = true
	if !awaitSearch {
		failover.progressed()
	}
	failover.mutex.Unlock()
	failover.goroutines.Wait()
	return failover.secured
}

// seek sends a call to another endpoint and waits until that one has begun to answer, for a
// stream with an event. It returns the reason when it doesn't.
func (api *API) seek(ctx context.Context, call *call) (*replacement, string) {
	attempt, refusal := api.reserve(ctx, call)
	if refusal != "" {
		return nil, refusal
	}
	attempt, exchange := api.send(ctx, call, attempt)
	attempt, exchange, refusal = api.awaitStart(ctx, call, attempt, exchange)
	if refusal == "" {
		return &replacement{call: call, attempt: attempt, exchange: exchange}, ""
	}
	exchange.close()
	api.finishAttempt(call, attempt, exchange.ending(ctx))
	return nil, refusal
}

// awaitStart waits until an endpoint's answer can go on with a call, or that of another
// one which is looked for beside it meanwhile. It returns the reason when neither does.
func (api *API) awaitStart(ctx context.Context, call *call, attempt *attempt, exchange *exchange) (*attempt, *exchange, string) {
	refusal := exchange.unfit(call.streaming)
	replacement := exchange.watch.stop(refusal != "")
	exchange.watch = nil
	if replacement == nil {
		return attempt, exchange, refusal
	}
	exchange.close()
	exchange.err = replacedError(exchange.events.failure())
	api.finishAttempt(call, attempt, exchange.ending(ctx))
	attempt, exchange = call.adopt(replacement)
	return attempt, exchange, ""
}

// unfit returns why an answer can't go on with a call that another endpoint may still
// answer. It returns "" when it can.
func (exchange *exchange) unfit(streaming bool) string {
	switch {
	case !exchange.usable():
		return exchange.reason
	case exchange.endpointFailed():
		return reasonEndpointError
	case streaming && exchange.events == nil:
		return refusalNoStream
	case exchange.events != nil && !exchange.events.awaitEvent():
		exchange.err = exchange.events.failure()
		return refusalNoEvent
	case exchange.events != nil && !exchange.events.hasEvent && exchange.framing() == framingConnection:
		return refusalNoEvent
	default:
		return ""
	}
}

// send sends a call to an endpoint, or to its replacement if that one is unresponsive, and
// returns the attempt that was answered last.
func (api *API) send(ctx context.Context, call *call, attempt *attempt) (*attempt, *exchange) {
	exchange := api.exchange(ctx, call, attempt)
	if exchange.replacement == nil {
		return attempt, exchange
	}
	api.finishAttempt(call, attempt, exchange.ending(ctx))
	return call.adopt(exchange.replacement)
}

// release ends a replacement that isn't wanted.
func (api *API) release(replacement *replacement) {
	replacement.exchange.close()
	api.finishAttempt(replacement.call, replacement.attempt, balancer.Abandoned)
}

// adopt makes a call go on with its replacement.
func (call *call) adopt(replacement *replacement) (*attempt, *exchange) {
	if replacement.call == call {
		return replacement.attempt, replacement.exchange
	}
	tried, possibleRuns, failure, seeking := call.tried, call.possibleRuns, call.failure, call.seeking
	*call = *replacement.call
	call.tried, call.possibleRuns, call.runningAt, call.seeking = tried, possibleRuns, feed.Endpoint{}, seeking
	call.hold(failure)
	return replacement.attempt, replacement.exchange
}

// inactivityLimit names the limit that an endpoint's inactivity has reached, as written to the
// log.
type inactivityLimit string

const (
	// limitAnswerStart is the limit on the time until an answer or its first event
	// begins, limitPause that on the inactivity of all streams of an endpoint, and
	// limitLonePause that on the inactivity of one stream.
	limitAnswerStart inactivityLimit = "answer_start"
	limitPause       inactivityLimit = "pause"
	limitLonePause   inactivityLimit = "lone_pause"
)

// reportUnresponsive reports to the balancer and the log that an endpoint is unresponsive.
func (api *API) reportUnresponsive(now time.Time, call *call, attempt *attempt, ending balancer.Ending, limit inactivityLimit, idle time.Duration) {
	api.mutex.Lock()
	api.balancer.Report(now, attempt.endpoint.Name, ending)
	api.mutex.Unlock()
	api.config.Log.Info().Str("step", "silent").Str("request", string(call.id)).Str("host", string(attempt.endpoint.Host)).
		Str("limit", string(limit)).Int64("idle_ms", idle.Milliseconds()).Msg("another endpoint is looked for beside one that is unresponsive")
}
