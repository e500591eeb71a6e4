package entryapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/sse"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/routing"
)

const (
	// endpointPauseFactor times the route's longest pause is how long all
	// streams of an endpoint may go without an event before they resume
	// elsewhere. streamPauseFactor is the same for one stream while others of
	// the endpoint get events.
	endpointPauseFactor = 2
	streamPauseFactor   = 5
	// minInactivityTimeout is the lower bound of answerStartTimeout and of
	// loneStreamPauseTimeout. The lower bound of pauseTimeout is half of it.
	minInactivityTimeout = 800 * time.Millisecond
	// answerStartTargetFactor times the route's target is how long an endpoint
	// may take to begin its answer.
	answerStartTargetFactor = 2
)

// streams reports whether an answer is passed on event by event.
func (call *call) streams(response *http.Response) bool {
	return call.route.Repeat == routing.RepeatStream && response.StatusCode == http.StatusOK && sse.Matches(response.Header.Get("Content-Type"))
}

// answerStartTimeout returns how long an endpoint may take to begin its answer.
func answerStartTimeout(call *call) time.Duration {
	return max(minInactivityTimeout, answerStartTargetFactor*call.route.Target())
}

// pauseTimeout returns how long a stream may go without an event before it
// resumes elsewhere, when the endpoint's other streams get no events either.
func pauseTimeout(call *call) time.Duration {
	return max(minInactivityTimeout/2, time.Duration(endpointPauseFactor*call.route.PauseMS)*time.Millisecond)
}

// loneStreamPauseTimeout returns how long a stream may go without an event
// while other streams of the endpoint get events.
func loneStreamPauseTimeout(call *call) time.Duration {
	return max(minInactivityTimeout, time.Duration(streamPauseFactor*call.route.PauseMS)*time.Millisecond)
}

// progress records how much of a stream the caller has got.
type progress struct {
	headersSent bool
	// begun reports that the caller has got an event.
	begun    bool
	position position
	events   int
	// midLine reports that the caller has got a part of a line.
	midLine bool
	// firstEventAt and lastEventAt are the times of the first and the latest
	// write of events. longestPause is the longest time between two writes.
	firstEventAt, lastEventAt time.Time
	longestPause              time.Duration
	// framing is that of the latest endpoint's stream. unfinishedBytes is what
	// followed the last complete event when it ended.
	framing         framing
	unfinishedBytes int
	// breakage is what ended the latest endpoint's stream early.
	breakage breakage
}

// recordWrite records the time at which events are passed on.
func (progress *progress) recordWrite(now time.Time) {
	if progress.firstEventAt.IsZero() {
		progress.firstEventAt = now
	} else {
		progress.longestPause = max(progress.longestPause, now.Sub(progress.lastEventAt))
	}
	progress.lastEventAt = now
}

// errEndpointSilent reports an endpoint that has sent no event for too long.
var errEndpointSilent = errors.New("the endpoint went silent")

// position is the place in a stream at which another endpoint may go on with it.
type position struct {
	lastEventID string
	// within reports that the caller has got a piece of the next event.
	within bool
}

// errNoEvent reports a connection that ended after the head of a stream.
var errNoEvent = errors.New("the connection ended before the stream's first event")

// errCallerWrite reports a failed write to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// stream passes a stream on event by event. When it breaks off, it resumes at
// another endpoint after the last complete event. The caller sees one answer,
// with the first endpoint's headers.
func (api *API) stream(ctx context.Context, writer http.ResponseWriter, call *call, attempt *attempt, first *exchange) result {
	var progress progress
	exchange := first
	for {
		err := api.copyEvents(call, attempt, writer, &progress, exchange, first.response.Header)
		exchange.cancel()
		_ = exchange.response.Body.Close()
		result := attempt.result(http.StatusOK, "answered", "ran", err)
		result.events, result.longestPause = progress.events, progress.longestPause
		result.framing, result.unfinishedBytes = progress.framing, progress.unfinishedBytes
		if !progress.firstEventAt.IsZero() {
			result.timeToFirstEvent = progress.firstEventAt.Sub(call.arrivedAt)
		}
		if err == nil {
			api.finishAttempt(call, attempt, balancer.Served)
			return result
		}
		ending := balancer.Failed
		if errors.Is(err, errEndpointSilent) {
			ending = balancer.Stalled
		}
		if ctx.Err() != nil || errors.Is(err, errCallerWrite) {
			ending = balancer.Abandoned
		}
		api.finishAttempt(call, attempt, ending)
		if progress.breakage.by == "" {
			progress.breakage.by = breakerOf(ctx, call, err)
		}
		result.breakage = progress.breakage
		result.reason, result.outcome, result.abort = "stream_broken_off", "unknown", true
		switch {
		case call.request.Context().Err() != nil:
			result.reason = "caller_left"
		case ctx.Err() != nil:
			result.reason = "time_over"
		}
		if ending == balancer.Abandoned {
			return result
		}
		attempt, exchange, result.breakage.retryRefusal = api.resume(ctx, call, progress)
		if exchange == nil {
			return result
		}
	}
}

// resume sends a call to another endpoint, which continues the stream after the
// last event that the caller got. When no endpoint does, it returns the reason.
func (api *API) resume(ctx context.Context, call *call, progress progress) (*attempt, *exchange, string) {
	if !call.route.Idempotent() {
		return nil, nil, refusalNotIdempotent
	}
	if progress.position.within {
		return nil, nil, refusalWithinEvent
	}
	if progress.position.lastEventID != "" {
		call.request.Header.Set(api.config.Dialect.LastEventID, progress.position.lastEventID)
	}
	for {
		switch {
		case ctx.Err() != nil:
			return nil, nil, errCallEnded.Error()
		case call.possibleRuns >= call.route.Attempts:
			return nil, nil, refusalAttempts
		case !api.retryBudget.Spend():
			return nil, nil, refusalBudget
		}
		attempt, refusal := api.acquire(ctx, call)
		if refusal != nil {
			return nil, nil, refusal.reason
		}
		exchange := api.exchange(ctx, call, attempt)
		if exchange.usable() && call.streams(exchange.response) {
			api.config.Log.Info().Str("step", "resume").Str("request", string(call.id)).Str("after", progress.position.lastEventID).
				Str("framing", string(progress.framing)).Int("unfinished_bytes", progress.unfinishedBytes).
				Str("broken_by", string(progress.breakage.by)).Int64("idle_ms", progress.breakage.idle.Milliseconds()).
				Str("host", string(attempt.endpoint.Host)).Int("events", progress.events).Msg("stream broke off; resumed at another endpoint after the last complete event")
			return attempt, exchange, ""
		}
		exchange.cancel()
		api.finishAttempt(call, attempt, exchange.ending(ctx))
	}
}

// copyEvents copies complete events to the caller until the stream ends. It
// returns nil only when the endpoint ended the stream properly.
func (api *API) copyEvents(call *call, attempt *attempt, writer http.ResponseWriter, progress *progress, exchange *exchange, header http.Header) error {
	watchdog := newWatchdog(api, call, attempt, exchange.cancel)
	defer watchdog.stop()
	controller := http.NewResponseController(writer)
	progress.framing, progress.breakage = exchange.framing(), breakage{}
	events := newEventReader(exchange.response.Body)
	for {
		block, err := events.next()
		if err != nil {
			progress.unfinishedBytes = events.unfinishedBytes()
			progress.breakage.idle = watchdog.idle(api.config.Now())
		}
		if len(block) > 0 {
			if events.hasEvent {
				watchdog.recordEvent()
				progress.begun = true
			}
			progress.recordWrite(api.config.Now())
			if writeErr := progress.write(writer, controller, header, block); writeErr != nil {
				return writeErr
			}
			progress.position.within = events.within
		}
		switch {
		case errors.Is(err, io.EOF) && api.endedBeforeFirstEvent(call, progress):
			return errNoEvent
		case errors.Is(err, io.EOF):
			progress.sendHeaders(writer, header)
			return nil
		case err != nil && watchdog.expired() && !errors.Is(err, sse.ErrTruncated):
			progress.breakage = watchdog.breakage
			return errEndpointSilent
		case err != nil:
			return err
		}
	}
}

// endedBeforeFirstEvent reports whether a stream whose only end is that of its
// connection has had no event, though it starts from the first one.
func (api *API) endedBeforeFirstEvent(call *call, progress *progress) bool {
	return progress.framing == framingConnection && !progress.begun && call.request.Header.Get(api.config.Dialect.LastEventID) == ""
}

// sendHeaders sends the answer's headers, once.
func (progress *progress) sendHeaders(writer http.ResponseWriter, header http.Header) {
	if progress.headersSent {
		return
	}
	progress.headersSent = true
	copyHeaders(writer.Header(), header)
	writer.Header().Del("Content-Length")
	writer.WriteHeader(http.StatusOK)
}

func (progress *progress) write(writer http.ResponseWriter, controller *http.ResponseController, header http.Header, events []byte) error {
	progress.sendHeaders(writer, header)
	if _, err := writer.Write(events); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if err := controller.Flush(); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	progress.recordEventIDs(events)
	return nil
}

// recordEventIDs counts the events that have an id, and keeps the last id.
func (progress *progress) recordEventIDs(events []byte) {
	begunLine := progress.midLine
	progress.midLine = !bytes.HasSuffix(events, []byte("\n"))
	if begunLine {
		_, events, _ = bytes.Cut(events, []byte("\n"))
	}
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			progress.position.lastEventID = string(bytes.TrimSpace(value))
			progress.events++
		}
	}
}
