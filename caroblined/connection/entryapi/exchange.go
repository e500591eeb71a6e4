package entryapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/body"
	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/fieldname"
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/connection/status"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/view"
)

// maxWholeAnswerBytes bounds an answer that is held whole before it is passed on.
const maxWholeAnswerBytes = 4 << 20

const (
	// reasonForeignAnswer is the reason of an exchange whose answer doesn't name its request.
	reasonForeignAnswer = "answer_to_another_request"
	// reasonInvalidStatus is that of one whose answer has a status that no answer may have.
	reasonInvalidStatus = "invalid_status"
	// reasonInvalidField is that of one whose answer has a field, in a head or in its trailer, whose name none may have.
	reasonInvalidField = "invalid_field_name"
	// reasonCutInUpload is that of one whose answer has no length and may be a part, since its connection ended while the
	// request was being written.
	reasonCutInUpload = "answer_cut_in_upload"
	// reasonNoAnswer is that of one without a head, and reasonBrokenOff that of one whose body isn't whole.
	reasonNoAnswer  = "no_answer"
	reasonBrokenOff = "answer_broken_off"
	// reasonReplaced is that of one whose call goes on at another endpoint.
	reasonReplaced = "replaced"
	// reasonEndpointError is that of one whose endpoint answered that it has failed. The
	// call is sent to another one, or ends with a failure that is held.
	reasonEndpointError = "endpoint_error"
	// reasonNoMemory is that of one whose answer can neither be kept nor be passed on before it
	// is complete.
	reasonNoMemory = "no_memory"
)

// exchange is the result of sending a call to one endpoint.
type exchange struct {
	response *http.Response
	// body is the whole answer, or what has been read of one that is passed through. It isn't set
	// for a stream, of which events are read. The charge holds its bytes.
	body   []byte
	charge *memory.Charge
	// passing reports that no more of the answer may be kept, so that it is passed on as it comes.
	passing bool
	// held reports that the answer is a failure that its call keeps.
	held   bool
	events *eventReader
	cancel context.CancelFunc
	// watch looks for a replacement until a stream's first event. It is nil for another
	// answer, and for a call that can't be tried elsewhere.
	watch *answerWatch
	// replacement is the endpoint that goes on with the call instead of this one.
	replacement *replacement
	// notRun reports that the endpoint has certainly not run the request.
	notRun     bool
	atCapacity bool
	reason     string
	err        error
}

// usable reports whether there is an endpoint's answer to pass on.
func (exchange *exchange) usable() bool { return exchange.response != nil && exchange.reason == "" }

// close ends the exchange.
func (exchange *exchange) close() {
	exchange.cancel()
	if exchange.response != nil {
		// A body that was read to its end, or is given up, isn't read further.
		_ = exchange.response.Body.Close()
	}
	exchange.release()
}

// release gives back what is kept of the answer, unless that is a failure that is held.
func (exchange *exchange) release() {
	if exchange.held {
		return
	}
	exchange.body = nil
	exchange.charge.Close()
	if exchange.events != nil {
		exchange.events.close()
	}
}

// onClose has a function called when the exchange ends, besides what is done then.
func (exchange *exchange) onClose(closed func()) {
	cancel := exchange.cancel
	exchange.cancel = func() {
		cancel()
		closed()
	}
}

// ending returns what a failed exchange means for the balancer's view of the
// endpoint.
func (exchange *exchange) ending(ctx context.Context) balancer.Ending {
	switch {
	case exchange.atCapacity:
		return balancer.Full
	case ctx.Err() != nil || errors.Is(exchange.err, errReplaced) || errors.Is(exchange.err, memory.ErrNoRoom):
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
}

// exchange sends a call to one endpoint and reads the answer: only the headers of a stream,
// any other answer to its end. A search for a replacement that is under way is awaited
// unless the answer can be passed on.
func (api *API) exchange(ctx context.Context, call *call, attempt *attempt) *exchange {
	attemptCtx, cancel := context.WithCancel(ctx)
	exchange := &exchange{cancel: cancel}
	request := api.request(attemptCtx, call, attempt.endpoint)
	call.tried = append(call.tried, attempt.endpoint.Name)
	watch := api.watchAnswerStart(ctx, call, attempt, cancel)
	response, err := api.config.Transport.RoundTrip(request)
	api.recordHead(call, attempt, exchange, response, err)
	attempt.notRun = exchange.notRun
	if exchange.usable() && call.streams(exchange.response) && watch.recordStreamHead(api.config.Now(), call) {
		exchange.events, exchange.watch = api.readEvents(call, attempt, exchange), watch
		return exchange
	}
	failed := exchange.endpointFailed()
	if !failed {
		watch.recordAnswerHead()
	}
	if exchange.usable() {
		api.readResponseBody(attemptCtx, call, attempt, exchange)
	}
	attempt.begun = attempt.begun || failed || exchange.showsProcess()
	failure := api.failureAnswer(attempt, exchange)
	exchange.replacement = watch.stop(failed || !exchange.usable())
	if !exchange.notRun {
		call.possibleRuns++
	}
	call.hold(failure)
	switch {
	case exchange.replacement != nil:
		exchange.replaced()
	// This failure isn't passed on if the call may be sent again, or if another one is held.
	case failed && exchange.usable() && (call.repeatRefusal() == "" || call.failure != nil && call.failure != failure):
		exchange.reason = reasonEndpointError
	}
	call.recordMemory(exchange)
	if exchange.reason != "" {
		cancel()
		if response != nil {
			_ = response.Body.Close()
		}
		exchange.release()
	}
	return exchange
}

// recordHead records the head of an answer, or why there is none.
func (api *API) recordHead(call *call, attempt *attempt, exchange *exchange, response *http.Response, err error) {
	if err != nil {
		exchange.err, exchange.reason = err, reasonOf(err, reasonNoAnswer)
		exchange.notRun = endpoint.Unsent(err)
		return
	}
	exchange.response = response
	api.recordNotices(attempt, response)
	api.checkHeaders(call, exchange)
}

// endpointFailed reports an answer by which the endpoint states that it has failed. It is
// passed on only if no other endpoint goes on with the call.
func (exchange *exchange) endpointFailed() bool {
	return exchange.response != nil && exchange.response.StatusCode >= http.StatusInternalServerError
}

// showsProcess reports an answer that can't be passed on, but shows that the endpoint's process runs, as one which states
// that it has failed does.
func (exchange *exchange) showsProcess() bool {
	return exchange.reason == reasonForeignAnswer || endpoint.Answered(exchange.err)
}

// replaced records that another endpoint goes on with the call.
func (exchange *exchange) replaced() {
	if exchange.usable() || exchange.err != nil {
		exchange.err = replacedError(exchange.err)
	}
	exchange.reason = reasonReplaced
}

// reasonOf returns the reason of an exchange without a sound answer, which is otherwise for an error that says no more.
func reasonOf(err error, otherwise string) string {
	switch {
	case errors.Is(err, endpoint.ErrForeignAnswer):
		return reasonForeignAnswer
	case errors.Is(err, status.ErrInvalid):
		return reasonInvalidStatus
	case errors.Is(err, fieldname.ErrInvalid):
		return reasonInvalidField
	case errors.Is(err, endpoint.ErrCutInUpload):
		return reasonCutInUpload
	case errors.Is(err, memory.ErrNoRoom):
		return reasonNoMemory
	default:
		return otherwise
	}
}

func (api *API) request(ctx context.Context, call *call, endpoint *view.Endpoint) *http.Request {
	path, query, hasQuery := strings.Cut(call.request.RequestURI, "?")
	target := &url.URL{Scheme: "http", Host: endpoint.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	timeLeft := call.deadline.Sub(api.config.Now())
	request := &http.Request{
		Method: call.request.Method, URL: target, Host: call.request.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: api.config.Dialect.requestHeaders(call, endpoint, timeLeft), ContentLength: int64(len(call.body)),
	}
	if len(call.body) > 0 {
		body := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(call.body)), nil }
		request.Body, _ = body()
		request.GetBody = body
	} else {
		request.Body = http.NoBody
	}
	return request.WithContext(ctx)
}

// checkHeaders sets the exchange's reason when the headers show that the answer
// can't be passed on.
func (api *API) checkHeaders(call *call, exchange *exchange) {
	dialect, response := &api.config.Dialect, exchange.response
	switch {
	case response.Header.Get(dialect.RequestID) != string(call.id):
		exchange.reason = reasonForeignAnswer
	case response.StatusCode == http.StatusMisdirectedRequest:
		exchange.notRun, exchange.reason = true, "misdirected"
	case response.Header.Get(dialect.NotRun) != "":
		exchange.notRun, exchange.reason = true, "not_taken"
		exchange.atCapacity = response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	case response.Header.Get("Content-Encoding") != "":
		exchange.reason = "encoded_answer"
	case response.StatusCode < http.StatusMultipleChoices && response.Header.Get(dialect.EndpointMark) == "":
		exchange.reason = "answer_without_mark"
	}
}

// readResponseBody reads an answer to its end. An answer that breaks off, or that is
// larger than maxWholeAnswerBytes, is rejected. One that can't be kept for want of memory is
// rejected unless it can be passed on as it comes.
func (api *API) readResponseBody(ctx context.Context, call *call, attempt *attempt, exchange *exchange) {
	response, stated := exchange.response, call.statedLength(exchange.response)
	keeper := &keeper{source: response.Body, now: api.config.Now, yielder: yielder{cancel: exchange.cancel, passes: call.passes(response)}}
	if stated != 0 {
		exchange.charge = api.config.Account.Open(endpointHolder(call.pool, attempt), string(call.id), keeper.giveWay)
		keeper.charge = exchange.charge
	}
	reader := body.Reader{Charge: exchange.charge, Now: api.config.Now, Limit: maxWholeAnswerBytes}
	data, err := reader.ReadAll(ctx, keeper, stated)
	ended := keeper.finish()
	switch {
	case err != nil && ended && keeper.passes:
		exchange.reason, exchange.err = reasonNoMemory, errAnswerStalled
	case err != nil && ended:
		exchange.reason, exchange.err = reasonNoMemory, memory.ErrNoRoom
	case errors.Is(err, memory.ErrNoRoom) && keeper.passes:
		exchange.body, exchange.passing = data, true
		return
	case errors.Is(err, memory.ErrNoRoom):
		exchange.reason, exchange.err = reasonNoMemory, err
	case errors.Is(err, body.ErrTooLarge):
		exchange.reason = "answer_too_large"
	case err != nil:
		exchange.reason, exchange.err = reasonOf(err, reasonBrokenOff), err
	case sse.Matches(response.Header.Get("Content-Type")) && sse.Truncated(data):
		exchange.reason, exchange.err = reasonBrokenOff, sse.ErrTruncated
	default:
		exchange.body = data
		// What is complete isn't ended for others, also if it was just asked to give way.
		exchange.charge.Keep()
	}
	_ = response.Body.Close()
}

// statedLength returns the length of the body that follows an answer's head, or -1 if that isn't
// known. An answer without a body may state the length of another one.
func (call *call) statedLength(response *http.Response) int64 {
	if call.request.Method == http.MethodHead || response.StatusCode == http.StatusNotModified {
		return 0
	}
	return response.ContentLength
}

// passes reports whether an answer can be passed on before it is complete. That a stream of events
// was cut shows only when all of it has come.
func (call *call) passes(response *http.Response) bool {
	return !call.seeking && !call.streaming && !sse.Matches(response.Header.Get("Content-Type"))
}

// recordStreamMemory records what a shortage of memory meant for a stream of the call.
func (call *call) recordStreamMemory(events *eventReader) {
	switch {
	case errors.Is(events.err, errAnswerStalled):
		call.memory = memoryEnded
	case events.passedPieces:
		call.memory = memoryPassedThrough
	}
}

// recordMemory records what a shortage of memory meant for an exchange of the call.
func (call *call) recordMemory(exchange *exchange) {
	switch {
	case exchange.usable() && exchange.passing:
		call.memory = memoryPassedThrough
	case exchange.reason == reasonNoMemory:
		call.memory = memoryEnded
	}
}
