package entryapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/view"
)

// maxWholeAnswerBytes bounds an answer that is held whole before it is passed on.
const maxWholeAnswerBytes = 4 << 20

const (
	// reasonForeignAnswer is the reason of an exchange whose answer doesn't name its request.
	reasonForeignAnswer = "answer_to_another_request"
	// reasonReplaced is that of one whose call goes on at another endpoint.
	reasonReplaced = "replaced"
)

// errCallEnded reports that the caller has disconnected or its deadline has
// passed.
var errCallEnded = errors.New("the caller has gone or the deadline has passed")

// attempt is one send of a call to one endpoint.
type attempt struct {
	endpoint  *view.Endpoint
	decision  balancer.Decision
	queueTime time.Duration
	// sentAt is when the endpoint was assigned, immediately before the send.
	sentAt time.Time
}

// result returns the result of a call that this attempt has ended.
func (attempt *attempt) result(status int, reason, outcome string, err error) result {
	return result{
		status: status, reason: reason, outcome: outcome, endpoint: attempt.endpoint.Name, host: attempt.endpoint.Host,
		queueTime: attempt.queueTime, running: attempt.decision.Running, limit: attempt.decision.Limit, err: err,
	}
}

// forward sends a call to one endpoint after another until one gives an answer
// that can be passed on, or no further attempt is allowed.
func (api *API) forward(ctx context.Context, writer http.ResponseWriter, call *call) result {
	var lastResult result
	for {
		attempt, refusal := api.acquire(ctx, call)
		if refusal != nil {
			return api.failWithoutEndpoint(ctx, writer, call, lastResult, refusal)
		}
		attempt, exchange := api.send(ctx, call, attempt)
		if exchange.usable() {
			if exchange.events != nil {
				return api.stream(ctx, writer, call, attempt, exchange)
			}
			lastResult = api.writeAnswer(writer, attempt, exchange)
			api.recordAnswerTime(call, attempt)
			api.finishAttempt(call, attempt, balancer.Served)
			return lastResult
		}
		api.finishAttempt(call, attempt, exchange.ending(ctx))
		lastResult = attempt.result(0, exchange.reason, "", exchange.err)
		lastResult.framing = exchange.framing()
		if lastResult.breakage.retryRefusal = api.retryRefusal(ctx, call, exchange); lastResult.breakage.retryRefusal != "" {
			return api.fail(ctx, writer, call, lastResult, exchange)
		}
	}
}

// acquire waits for an endpoint. As the last step before the send it checks
// that the request is still allowed.
func (api *API) acquire(ctx context.Context, call *call) (*attempt, *refusal) {
	queuedAt := api.config.Now()
	balancerCall := balancer.Call{
		Number: balancer.Number(api.lastCallNumber.Add(1)), Pool: call.pool, Priority: call.priority,
		Due: call.arrivedAt.Add(call.route.Target()), Tried: call.tried, Failover: len(call.tried) > 0, Late: call.late,
		StillRunning: call.stillRunning,
	}
	if balancerCall.Failover {
		balancerCall.Due = queuedAt.Add(call.route.Target())
	}
	decision, err := api.awaitEndpoint(ctx, balancerCall)
	if err != nil {
		return nil, newRefusal(http.StatusServiceUnavailable, "gave_up_waiting", defaultRetryAfter)
	}
	if decision.Verdict == balancer.VerdictRefuse {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: string(decision.Reason), retryAfter: decision.RetryAfter, decision: decision}
	}
	now := api.config.Now()
	attempt := &attempt{endpoint: decision.Endpoint, decision: decision, queueTime: now.Sub(queuedAt), sentAt: now}
	if refusal := api.recheck(now, call); refusal != nil {
		api.finishAttempt(call, attempt, balancer.Abandoned)
		return nil, refusal
	}
	if call.deadline.Sub(now) < minTimeLeft || ctx.Err() != nil {
		api.finishAttempt(call, attempt, balancer.Abandoned)
		return nil, newRefusal(http.StatusServiceUnavailable, "no_time_left", defaultRetryAfter)
	}
	return attempt, nil
}

// awaitEndpoint submits a call to the balancer and waits for its decision.
func (api *API) awaitEndpoint(ctx context.Context, balancerCall balancer.Call) (balancer.Decision, error) {
	api.mutex.Lock()
	now := api.config.Now()
	decision := api.balancer.Submit(now, balancerCall)
	if decision.Verdict != balancer.VerdictWait {
		api.mutex.Unlock()
		return decision, nil
	}
	decided := make(chan balancer.Decision, 1)
	api.decisionByCall[balancerCall.Number] = decided
	api.mutex.Unlock()
	timer := time.NewTimer(decision.WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case decision := <-decided:
		return decision, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return api.cancelWait(ctx, balancerCall, decided)
}

// cancelWait removes a call from the queue. If the balancer has decided on it in
// the meantime, it returns that decision.
func (api *API) cancelWait(ctx context.Context, balancerCall balancer.Call, decided chan balancer.Decision) (balancer.Decision, error) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	decision, waited := api.balancer.Cancel(api.config.Now(), balancerCall)
	if !waited {
		return <-decided, nil
	}
	delete(api.decisionByCall, balancerCall.Number)
	if ctx.Err() != nil {
		return balancer.Decision{}, errCallEnded
	}
	return decision, nil
}

// recheck admits a request again when the view has changed while it waited. The
// call keeps its pool if the new route still sends calls to that service.
func (api *API) recheck(now time.Time, call *call) *refusal {
	current := api.config.View()
	if !current.AcceptsNewWork(now) {
		return closingConnection(newRefusal(http.StatusServiceUnavailable, "state_out_of_force", defaultRetryAfter))
	}
	if current.Routing == call.table {
		return nil
	}
	pool := call.pool
	if refusal := api.admit(call); refusal != nil {
		return refusal
	}
	for _, backend := range call.route.Backends {
		if backend.Service == pool.Service && backend.Weight > 0 {
			call.pool = pool
			return nil
		}
	}
	return newRefusal(http.StatusServiceUnavailable, "route_moved", defaultRetryAfter/10)
}

// recordAnswerTime reports to the balancer the time from the send to the first
// event of a stream, or to the end of any other answer.
func (api *API) recordAnswerTime(call *call, attempt *attempt) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.balancer.ObserveTimeToFirstEvent(call.pool, api.config.Now().Sub(attempt.sentAt))
}

func (api *API) finishAttempt(call *call, attempt *attempt, ending balancer.Ending) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.deliver(api.balancer.Done(api.config.Now(), balancer.Call{Pool: call.pool}, attempt.endpoint.Name, ending))
}

// exchange is the result of sending a call to one endpoint.
type exchange struct {
	response *http.Response
	// body is the whole answer. It isn't set for a stream, of which events are read.
	body   []byte
	events *eventReader
	cancel context.CancelFunc
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
		// A body that was read to its end, or is given up, has nothing more to say.
		_ = exchange.response.Body.Close()
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
	case ctx.Err() != nil || errors.Is(exchange.err, errReplaced):
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
}

// exchange sends a call to one endpoint and reads the answer: only the headers
// of a stream, any other answer to its end.
func (api *API) exchange(ctx context.Context, call *call, attempt *attempt) *exchange {
	attemptCtx, cancel := context.WithCancel(ctx)
	exchange := &exchange{cancel: cancel}
	request := api.request(attemptCtx, call, attempt.endpoint)
	call.tried = append(call.tried, attempt.endpoint.Name)
	watch := api.watchAnswerStart(ctx, call, attempt, cancel)
	response, err := api.config.Transport.RoundTrip(request)
	if exchange.replacement = watch.stop(err != nil); exchange.replacement != nil {
		call.possibleRuns++
		exchange.err, exchange.reason = replacedError(err), reasonReplaced
		cancel()
		if err == nil {
			_ = response.Body.Close()
		}
		return exchange
	}
	if err != nil {
		cancel()
		exchange.err, exchange.reason = err, reasonOf(err)
		exchange.notRun = rest.DialFailed(err)
		if !exchange.notRun {
			call.possibleRuns++
		}
		return exchange
	}
	exchange.response = response
	api.recordNotices(attempt, response)
	api.checkHeaders(call, exchange)
	switch {
	case exchange.reason != "":
	case call.streams(response):
		exchange.events = newEventReader(response.Body, api.config.Now)
	default:
		api.readResponseBody(exchange)
	}
	if !exchange.notRun {
		call.possibleRuns++
	}
	if exchange.reason != "" {
		cancel()
		_ = response.Body.Close()
	}
	return exchange
}

// reasonOf returns the reason of an exchange that ended without an answer of its own.
func reasonOf(err error) string {
	if errors.Is(err, endpoint.ErrForeignAnswer) {
		return reasonForeignAnswer
	}
	return "no_answer"
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
		request.Body = io.NopCloser(bytes.NewReader(call.body))
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
	case response.StatusCode >= http.StatusInternalServerError && call.route.Idempotent() && call.possibleRuns+1 < call.route.Attempts:
		exchange.reason = "endpoint_error"
	}
}

// readResponseBody reads an answer to its end. An answer that breaks off, or that is
// larger than maxWholeAnswerBytes, is rejected.
func (api *API) readResponseBody(exchange *exchange) {
	body, err := io.ReadAll(io.LimitReader(exchange.response.Body, maxWholeAnswerBytes+1))
	_ = exchange.response.Body.Close()
	switch {
	case err != nil:
		exchange.reason, exchange.err = "answer_broken_off", err
	case len(body) > maxWholeAnswerBytes:
		exchange.reason = "answer_too_large"
	case sse.Matches(exchange.response.Header.Get("Content-Type")) && sse.Truncated(body):
		exchange.reason, exchange.err = "answer_broken_off", sse.ErrTruncated
	default:
		exchange.body = body
	}
}

// retryRefusal returns why a call may not be sent to another endpoint. It returns ""
// when it may.
func (api *API) retryRefusal(ctx context.Context, call *call, exchange *exchange) string {
	const maxSends = 4
	switch {
	case ctx.Err() != nil:
		return errCallEnded.Error()
	case !exchange.notRun && !call.route.Idempotent():
		return refusalNotIdempotent
	case !exchange.notRun && call.possibleRuns >= call.route.Attempts:
		return refusalAttempts
	case len(call.tried) >= maxSends:
		return refusalSends
	case !api.retryBudget.Spend():
		return refusalBudget
	default:
		return ""
	}
}

// writeAnswer passes on an answer that was read to its end.
func (api *API) writeAnswer(writer http.ResponseWriter, attempt *attempt, exchange *exchange) result {
	exchange.cancel()
	copyHeaders(writer.Header(), exchange.response.Header)
	writer.WriteHeader(exchange.response.StatusCode)
	_, err := writer.Write(exchange.body)
	result := attempt.result(exchange.response.StatusCode, "answered", "ran", err)
	result.framing = exchange.framing()
	return result
}

// fail answers a call whose last attempt gave no answer that can be passed on.
func (api *API) fail(ctx context.Context, writer http.ResponseWriter, call *call, lastResult result, exchange *exchange) result {
	status, outcome := http.StatusBadGateway, "unknown"
	switch {
	case call.request.Context().Err() != nil:
		lastResult.status, lastResult.outcome, lastResult.abort = statusClientClosedRequest, outcome, true
		return lastResult
	case call.possibleRuns == 0 && exchange.notRun:
		status, outcome = http.StatusServiceUnavailable, "not_run"
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
	}
	refused := api.refuse(writer, call, newRefusal(status, lastResult.reason, defaultRetryAfter))
	lastResult.status, lastResult.outcome = refused.status, outcome
	return lastResult
}

// statusClientClosedRequest is the customary status in logs for a caller that
// closed its connection.
const statusClientClosedRequest = 499

// failWithoutEndpoint answers a call that got no endpoint for its next attempt.
// Earlier attempts may have run it.
func (api *API) failWithoutEndpoint(ctx context.Context, writer http.ResponseWriter, call *call, lastResult result, refusal *refusal) result {
	if call.request.Context().Err() != nil {
		return result{status: statusClientClosedRequest, reason: refusal.reason, outcome: "not_run", abort: true}
	}
	if call.possibleRuns > 0 {
		refusal.status, refusal.retryAfter = http.StatusBadGateway, 0
		if ctx.Err() != nil {
			refusal.status = http.StatusGatewayTimeout
		}
	}
	refused := api.refuse(writer, call, refusal)
	if call.possibleRuns > 0 {
		refused.outcome = "unknown"
	}
	refused.breakage = lastResult.breakage
	refused.endpoint, refused.host, refused.err = lastResult.endpoint, lastResult.host, lastResult.err
	return refused
}
