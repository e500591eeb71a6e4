package entryapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/routing"
)

const (
	// readBytes is how much of a stream is read at once.
	readBytes = 4 << 10
	// eventBytes bounds one event.
	eventBytes = 256 << 10
	// silentPauses is how many of the route's longest pauses an endpoint may
	// be silent before its streams go on elsewhere, and alonePauses how many a
	// stream may be while the endpoint's others go on.
	silentPauses = 2
	alonePauses  = 5
	// leastSilence bounds the time to the first event from below.
	leastSilence = 800 * time.Millisecond
	// firstSilence is how many times the target an endpoint may take to begin.
	firstSilence = 2
)

// streams tells whether an answer is passed on event by event.
func (call *call) streams(response *http.Response) bool {
	return call.route.Repeat == routing.RepeatStream && response.StatusCode == http.StatusOK &&
		strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// silenceBefore is how long an endpoint may take to begin its answer.
func silenceBefore(call *call) time.Duration {
	return max(leastSilence, firstSilence*call.route.Target())
}

// silenceWithin is how long a stream may pause before it goes on elsewhere.
func silenceWithin(call *call) time.Duration {
	return max(leastSilence/2, time.Duration(silentPauses*call.route.PauseMS)*time.Millisecond)
}

// silenceAlone is the same while other streams of the endpoint go on.
func silenceAlone(call *call) time.Duration {
	return max(leastSilence, time.Duration(alonePauses*call.route.PauseMS)*time.Millisecond)
}

// progress is how far the caller has got a stream.
type progress struct {
	begun  bool
	last   string
	events int
	// first is when the first event was passed on, and pause the longest time
	// between two.
	first, latest time.Time
	pause         time.Duration
}

// mark notes the time at which events are passed on.
func (progress *progress) mark(now time.Time) {
	if progress.first.IsZero() {
		progress.first = now
	} else {
		progress.pause = max(progress.pause, now.Sub(progress.latest))
	}
	progress.latest = now
}

// errSilent reports an endpoint that has sent nothing for too long.
var errSilent = errors.New("the endpoint went silent")

// errWrite reports a caller that can't be written to.
var errWrite = errors.New("the caller can't be written to")

// stream passes a stream on event by event. When it breaks, it goes on at
// another endpoint after the last whole event, as one answer with the first
// endpoint's headers.
func (api *API) stream(ctx context.Context, writer http.ResponseWriter, call *call, try *attempt, first *exchange) result {
	var progress progress
	exchange := first
	for {
		err := api.passOn(call, try, writer, &progress, exchange, first.response.Header)
		exchange.cancel()
		_ = exchange.response.Body.Close()
		out := try.result(http.StatusOK, "answered", "ran", err)
		out.events, out.pause = progress.events, progress.pause
		if !progress.first.IsZero() {
			out.first = progress.first.Sub(call.arrived)
		}
		if err == nil {
			api.done(call, try, balancer.Served)
			return out
		}
		ending := balancer.Failed
		if errors.Is(err, errSilent) {
			ending = balancer.Stalled
		}
		if ctx.Err() != nil || errors.Is(err, errWrite) {
			ending = balancer.Abandoned
		}
		api.done(call, try, ending)
		out.reason, out.outcome, out.abort = "stream_broken_off", "unknown", true
		switch {
		case call.request.Context().Err() != nil:
			out.reason = "caller_left"
		case ctx.Err() != nil:
			out.reason = "time_over"
		}
		if ending == balancer.Abandoned || !call.route.Idempotent() {
			return out
		}
		try, exchange = api.resume(ctx, call, progress)
		if exchange == nil {
			return out
		}
	}
}

// resume sends a call to a further endpoint, to go on after the last event.
func (api *API) resume(ctx context.Context, call *call, progress progress) (*attempt, *exchange) {
	if progress.last != "" {
		call.request.Header.Set(api.config.Dialect.LastEventID, progress.last)
	}
	for ctx.Err() == nil && call.ran < call.route.Attempts && api.retries.Spend() {
		try, refusal := api.acquire(ctx, call)
		if refusal != nil {
			return nil, nil
		}
		exchange := api.exchange(ctx, call, try)
		if exchange.usable() && call.streams(exchange.response) {
			api.config.Log.Info().Str("step", "resume").Str("request", string(call.id)).Str("after", progress.last).
				Str("host", string(try.endpoint.Host)).Int("events", progress.events).Msg("the stream goes on elsewhere")
			return try, exchange
		}
		exchange.cancel()
		api.done(call, try, exchange.ending(ctx))
	}
	return nil, nil
}

// passOn copies whole events to the caller until the stream ends. It returns
// nil only for a stream that ended as its endpoint meant it to.
func (api *API) passOn(call *call, try *attempt, writer http.ResponseWriter, progress *progress, exchange *exchange, header http.Header) error {
	pace := newPace(api, call, try, exchange.cancel)
	defer pace.stop()
	controller := http.NewResponseController(writer)
	buffer := make([]byte, 0, readBytes)
	for {
		buffer = grow(buffer)
		count, err := exchange.response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		whole := wholeEvents(buffer)
		ended := errors.Is(err, io.EOF)
		if ended {
			whole = len(buffer)
		}
		if whole > 0 {
			pace.event()
			progress.mark(api.config.Now())
			if writeErr := progress.write(writer, controller, header, buffer[:whole]); writeErr != nil {
				return writeErr
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		switch {
		case ended:
			progress.begin(writer, header)
			return nil
		case err != nil && pace.lost():
			return errSilent
		case err != nil:
			return errors.Wrap(err, "read stream")
		case len(buffer) > eventBytes:
			return errors.New("read stream: an event is too long")
		}
	}
}

func grow(buffer []byte) []byte {
	if len(buffer) < cap(buffer) {
		return buffer
	}
	larger := make([]byte, len(buffer), 2*cap(buffer))
	copy(larger, buffer)
	return larger
}

// begin sends the headers before the first event.
func (progress *progress) begin(writer http.ResponseWriter, header http.Header) {
	if progress.begun {
		return
	}
	progress.begun = true
	incoming(writer.Header(), header)
	writer.Header().Del("Content-Length")
	writer.WriteHeader(http.StatusOK)
}

func (progress *progress) write(writer http.ResponseWriter, controller *http.ResponseController, header http.Header, events []byte) error {
	progress.begin(writer, header)
	if _, err := writer.Write(events); err != nil {
		return errors.Wrap(errWrite, err.Error())
	}
	if err := controller.Flush(); err != nil {
		return errors.Wrap(errWrite, err.Error())
	}
	progress.note(events)
	return nil
}

// note remembers the id of the last event that was passed on.
func (progress *progress) note(events []byte) {
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			progress.last = string(bytes.TrimSpace(value))
			progress.events++
		}
	}
}

// wholeEvents is the length of the part that ends with a blank line.
func wholeEvents(data []byte) int {
	end := 0
	if index := bytes.LastIndex(data, []byte("\n\n")); index >= 0 {
		end = index + 2
	}
	if index := bytes.LastIndex(data, []byte("\r\n\r\n")); index >= 0 {
		end = max(end, index+4)
	}
	return end
}
