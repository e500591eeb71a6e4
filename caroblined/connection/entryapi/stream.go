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
	// streams of an endpoint may go without an event before a replacement is
	// looked for beside it. streamPauseFactor is the same for one stream while
	// others get events.
	endpointPauseFactor = 2
	streamPauseFactor   = 5
	// minInactivityTimeout is the lower bound of answerStartTimeout and of
	// loneStreamPauseTimeout. The lower bound of pauseTimeout is half of it.
	minInactivityTimeout = 800 * time.Millisecond
	// answerStartTargetFactor times the route's target is how long an endpoint
	// may take to begin its answer before a replacement is looked for.
	answerStartTargetFactor = 2
)

// streams reports whether an answer is passed on event by event.
func (call *call) streams(response *http.Response) bool {
	return call.route.Repeat == routing.RepeatStream && response.StatusCode == http.StatusOK && sse.Matches(response.Header.Get("Content-Type"))
}

// answerStartTimeout returns how long an endpoint may take to begin its answer before a
// replacement is looked for.
func answerStartTimeout(call *call) time.Duration {
	return max(minInactivityTimeout, answerStartTargetFactor*call.route.Target())
}

// pauseTimeout returns how long a stream may go without an event before a replacement is
// looked for, when the endpoint's other streams get no events either.
func pauseTimeout(call *call) time.Duration {
	return max(minInactivityTimeout/2, time.Duration(endpointPauseFactor*call.route.PauseMS)*time.Millisecond)
}

// loneStreamPauseTimeout returns the same while other streams of the endpoint get events.
func loneStreamPauseTimeout(call *call) time.Duration {
	return max(minInactivityTimeout, time.Duration(streamPauseFactor*call.route.PauseMS)*time.Millisecond)
}

// progress records how much of a stream the caller has got.
type progress struct {
	// header is sent with the first event.
	header      http.Header
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

// errNoEvent reports a connection that ended after the head of a stream.
var errNoEvent = errors.New("the connection ended before the stream's first event")

// errCallerWrite reports a failed write to the caller.
var errCallerWrite = errors.New("write to the caller failed")

// stream passes a stream on event by event. When it breaks off, or another endpoint has
// taken over from an unresponsive one, it goes on there after the last complete event. The caller sees one answer,
// with the first endpoint's headers.
func (api *API) stream(ctx context.Context, writer http.ResponseWriter, call *call, attempt *attempt, exchange *exchange) result {
	progress := progress{header: exchange.response.Header}
	for {
		replacement, err := api.passOn(ctx, writer, call, attempt, exchange, &progress)
		exchange.close()
		result := progress.result(call, attempt, err)
		ending := endingOf(ctx, err)
		api.finishAttempt(call, attempt, ending)
		if err == nil {
			return result
		}
		if replacement == nil && ending == balancer.Abandoned {
			return api.endBrokenOff(ctx, writer, call, &progress, result)
		}
		call.streaming = progress.headersSent
		if replacement == nil {
			replacement, progress.breakage.retryRefusal = api.resume(ctx, call, progress.position)
		}
		if replacement == nil {
			return api.endBrokenOff(ctx, writer, call, &progress, result)
		}
		attempt, exchange = call.adopt(replacement)
		api.logResume(call, attempt, &progress)
		if exchange.events == nil {
			return api.answer(ctx, writer, call, attempt, exchange)
		}
	}
}

// endingOf returns what the end of a stream means for the balancer's view of the endpoint.
func endingOf(ctx context.Context, err error) balancer.Ending {
	switch {
	case err == nil:
		return balancer.Served
	case ctx.Err() != nil || errors.Is(err, errCallerWrite) || errors.Is(err, errReplaced):
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
}

// result returns the result of a call whose stream ended with err.
func (progress *progress) result(call *call, attempt *attempt, err error) result {
	result := attempt.result(http.StatusOK, "answered", "ran", err)
	result.events, result.longestPause = progress.events, progress.longestPause
	result.framing, result.unfinishedBytes = progress.framing, progress.unfinishedBytes
	if !progress.firstEventAt.IsZero() {
		result.timeToFirstEvent = progress.firstEventAt.Sub(call.arrivedAt)
	}
	return result
}

// endBrokenOff ends a call whose stream broke off and doesn't go on. A caller that has got
// nothing of it gets an answer all the same: the failed one of another endpoint, if there was
// one, or else one which states that the call may have run.
func (api *API) endBrokenOff(ctx context.Context, writer http.ResponseWriter, call *call, progress *progress, result result) result {
	switch {
	case progress.headersSent || call.request.Context().Err() != nil:
		return progress.brokenOff(ctx, call, result)
	case call.failure != nil:
		return api.answerFailure(writer, call, progress.breakage)
	}
	result = progress.brokenOff(ctx, call, result)
	refused := api.refuse(writer, call, newRefusal(possibleRunStatus(ctx), result.reason, 0))
	result.status, result.abort = refused.status, false
	return result
}

// brokenOff makes result that of a stream which broke off and doesn't go on.
func (progress *progress) brokenOff(ctx context.Context, call *call, result result) result {
	result.reason, result.outcome, result.abort = "stream_broken_off", "unknown", true
	switch {
	case call.request.Context().Err() != nil:
		result.reason = "caller_left"
	case ctx.Err() != nil:
		result.reason = "time_over"
	}
	result.breakage = progress.breakage
	return result
}

// resume sends a call to another endpoint, which continues the stream after the
// last event that the caller got. When no endpoint does, it returns the reason.
func (api *API) resume(ctx context.Context, call *call, position position) (*replacement, string) {
	if position.refusal != "" {
		return nil, position.refusal
	}
	if position.lastEventID != "" {
		call.request.Header.Set(api.config.Dialect.LastEventID, position.lastEventID)
	}
	for {
		attempt, refusal := api.reserve(ctx, call)
		if refusal != "" {
			return nil, refusal
		}
		attempt, exchange := api.send(ctx, call, attempt)
		if exchange.usable() && exchange.continues(call.streaming) {
			return &replacement{call: call, attempt: attempt, exchange: exchange}, ""
		}
		exchange.close()
		api.finishAttempt(call, attempt, exchange.ending(ctx))
	}
}

func (api *API) logResume(call *call, attempt *attempt, progress *progress) {
	api.config.Log.Info().Str("step", "resume").Str("request", string(call.id)).Str("after", progress.position.lastEventID).
		Str("framing", string(progress.framing)).Int("unfinished_bytes", progress.unfinishedBytes).EmbedObject(progress.breakage).
		Str("host", string(attempt.endpoint.Host)).Int("events", progress.events).Msg("resumed at another endpoint after the last complete event")
}

// passOn passes on the events of one endpoint until its stream ends or another endpoint
// has taken over, which it returns. The error is nil only when the endpoint ended the
// stream properly.
func (api *API) passOn(ctx context.Context, writer http.ResponseWriter, call *call, attempt *attempt, exchange *exchange, progress *progress) (*replacement, error) {
	progress.framing, progress.breakage, progress.unfinishedBytes = exchange.framing(), breakage{}, 0
	watchdog := newWatchdog(ctx, api, call, attempt, exchange, progress)
	err := api.copyEvents(call, writer, watchdog, exchange.events, progress)
	wanted := err != nil && !errors.Is(err, errCallerWrite)
	idle := watchdog.idle(api.config.Now())
	replacement := watchdog.stop(wanted)
	if replacement != nil && !wanted {
		api.release(replacement)
		replacement = nil
	}
	if replacement != nil {
		err = replacedError(err)
	}
	call.recordStreamMemory(exchange.events)
	if err != nil {
		progress.unfinishedBytes = exchange.events.unfinishedBytes()
		progress.breakage = breakage{by: breakerOf(ctx, call, err), idle: idle}
	}
	return replacement, err
}

// copyEvents copies complete events to the caller until the stream ends.
func (api *API) copyEvents(call *call, writer http.ResponseWriter, watchdog *watchdog, events *eventReader, progress *progress) error {
	controller := http.NewResponseController(writer)
	for {
		block, err := events.next()
		if len(block) > 0 {
			now := api.config.Now()
			if !watchdog.recordBlock(now, events) {
				return errReplaced
			}
			progress.begun = progress.begun || events.hasEvent
			progress.recordWrite(now)
			if writeErr := progress.write(writer, controller, block); writeErr != nil {
				return writeErr
			}
			progress.position.refusal = progress.resumeRefusal(events)
			if events.hasEvent {
				watchdog.recordPassedOn(api.config.Now(), progress.position)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && api.endedBeforeFirstEvent(call, progress):
			return errNoEvent
		case errors.Is(err, io.EOF):
			progress.sendHeaders(writer)
			return nil
		case err != nil:
			return err
		}
	}
}

// resumeRefusal returns why no other endpoint can go on after what the caller has got. It
// returns "" when one can.
func (progress *progress) resumeRefusal(events *eventReader) string {
	switch {
	case events.within:
		return refusalWithinEvent
	case progress.begun && progress.position.lastEventID == "":
		return refusalNoEventID
	default:
		return ""
	}
}

// endedBeforeFirstEvent reports whether a stream whose only end is that of its
// connection has had no event, though it starts from the first one.
func (api *API) endedBeforeFirstEvent(call *call, progress *progress) bool {
	return progress.framing == framingConnection && !progress.begun && call.request.Header.Get(api.config.Dialect.LastEventID) == ""
}

// sendHeaders sends the answer's headers, once.
func (progress *progress) sendHeaders(writer http.ResponseWriter) {
	if progress.headersSent {
		return
	}
	progress.headersSent = true
	copyHeaders(writer.Header(), progress.header)
	writer.Header().Del("Content-Length")
	writer.WriteHeader(http.StatusOK)
}

func (progress *progress) write(writer http.ResponseWriter, controller *http.ResponseController, events []byte) error {
	progress.sendHeaders(writer)
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
