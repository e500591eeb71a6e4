package entryapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/view"
)

// errStopped reports that the caller has left or its time is over.
var errStopped = errors.New("the call is over")

// attempt is one sending of a call to one endpoint.
type attempt struct {
	endpoint *view.Endpoint
	answer   balancer.Decision
	waited   time.Duration
	// sentAt is when the request was sent.
	sentAt time.Time
}

// result is what is known of a call that an attempt has ended.
func (try *attempt) result(status int, reason, outcome string, err error) result {
	return result{
		status: status, reason: reason, outcome: outcome, endpoint: try.endpoint.Name, host: try.endpoint.Host,
		waited: try.waited, running: try.answer.Running, limit: try.answer.Limit, err: err,
	}
}

// forward sends a call to endpoints until one gives an answer that can be
// passed on, or no further try is allowed.
func (api *API) forward(ctx context.Context, writer http.ResponseWriter, call *call) result {
	var last result
	for {
		try, refusal := api.acquire(ctx, call)
		if refusal != nil {
			return api.giveUp(ctx, writer, call, last, refusal)
		}
		exchange := api.exchange(ctx, call, try)
		if exchange.usable() {
			if call.streams(exchange.response) {
				return api.stream(ctx, writer, call, try, exchange)
			}
			last = api.whole(writer, try, exchange)
			api.first(call, try)
			api.done(call, try, balancer.Served)
			return last
		}
		api.done(call, try, exchange.ending(ctx))
		last = try.result(0, exchange.reason, "", exchange.err)
		if !api.mayRetry(ctx, call, exchange) {
			return api.fail(ctx, writer, call, last, exchange)
		}
	}
}

// acquire waits for an endpoint, and checks as the last step before the send
// that the request is still allowed.
func (api *API) acquire(ctx context.Context, call *call) (*attempt, *refusal) {
	started := api.config.Now()
	wanted := balancer.Call{
		Number: balancer.Number(api.number.Add(1)), Pool: call.pool, Priority: call.priority,
		Due: call.arrived.Add(call.route.Target()), Tried: call.tried, Failover: len(call.tried) > 0, Late: call.late,
	}
	if wanted.Failover {
		wanted.Due = started.Add(call.route.Target())
	}
	answer, err := api.place(ctx, wanted)
	if err != nil {
		return nil, newRefusal(http.StatusServiceUnavailable, "gave_up_waiting", noStateRetry)
	}
	if answer.Verdict == balancer.VerdictRefuse {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: string(answer.Reason), retryAfter: answer.RetryAfter, answer: answer}
	}
	now := api.config.Now()
	try := &attempt{endpoint: answer.Endpoint, answer: answer, waited: now.Sub(started), sentAt: now}
	if refusal := api.recheck(now, call); refusal != nil {
		api.done(call, try, balancer.Abandoned)
		return nil, refusal
	}
	if call.deadline.Sub(now) < leastLeft || ctx.Err() != nil {
		api.done(call, try, balancer.Abandoned)
		return nil, newRefusal(http.StatusServiceUnavailable, "no_time_left", noStateRetry)
	}
	return try, nil
}

// place submits a call and waits for its turn.
func (api *API) place(ctx context.Context, wanted balancer.Call) (balancer.Decision, error) {
	api.mutex.Lock()
	now := api.config.Now()
	answer := api.balancer.Submit(now, wanted)
	if answer.Verdict != balancer.VerdictWait {
		api.mutex.Unlock()
		return answer, nil
	}
	turn := make(chan balancer.Decision, 1)
	api.waiting[wanted.Number] = turn
	api.mutex.Unlock()
	timer := time.NewTimer(answer.Until.Sub(now))
	defer timer.Stop()
	select {
	case answer := <-turn:
		return answer, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return api.withdraw(ctx, wanted, turn)
}

// withdraw takes a call out of the queue, unless its turn has come meanwhile.
func (api *API) withdraw(ctx context.Context, wanted balancer.Call, turn chan balancer.Decision) (balancer.Decision, error) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	answer, waited := api.balancer.Cancel(api.config.Now(), wanted)
	if !waited {
		return <-turn, nil
	}
	delete(api.waiting, wanted.Number)
	if ctx.Err() != nil {
		return balancer.Decision{}, errStopped
	}
	return answer, nil
}

// recheck judges a request anew when the view has changed while it waited.
func (api *API) recheck(now time.Time, call *call) *refusal {
	current := api.config.View()
	if !current.AcceptsNewWork(now) {
		return leaving(newRefusal(http.StatusServiceUnavailable, "state_out_of_force", noStateRetry))
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
	return newRefusal(http.StatusServiceUnavailable, "route_moved", noStateRetry/10)
}

// first notes how long an answer took to begin.
func (api *API) first(call *call, try *attempt) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.balancer.ObserveTimeToFirstEvent(call.pool, api.config.Now().Sub(try.sentAt))
}

func (api *API) done(call *call, try *attempt, ending balancer.Ending) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.deliver(api.balancer.Done(api.config.Now(), balancer.Call{Pool: call.pool}, try.endpoint.Name, ending))
}

// exchange is what one sending came to.
type exchange struct {
	response *http.Response
	// body is set once an answer that isn't a stream was read to its end.
	body   []byte
	cancel context.CancelFunc
	// notRun says that the endpoint has certainly not run the request.
	notRun bool
	full   bool
	reason string
	err    error
}

// usable tells whether there is an endpoint's answer to pass on.
func (exchange *exchange) usable() bool { return exchange.response != nil && exchange.reason == "" }

// ending is what the exchange says of its endpoint.
func (exchange *exchange) ending(ctx context.Context) balancer.Ending {
	switch {
	case exchange.full:
		return balancer.Full
	case ctx.Err() != nil:
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
}

// exchange sends a call to one endpoint and reads the answer: to its end, or to
// its headers where it is a stream.
func (api *API) exchange(ctx context.Context, call *call, try *attempt) *exchange {
	attemptCtx, cancel := context.WithCancel(ctx)
	exchange := &exchange{cancel: cancel}
	request := api.request(attemptCtx, call, try.endpoint)
	call.tried = append(call.tried, try.endpoint.Name)
	stop := api.limitFirst(call, try, cancel)
	response, err := api.config.Transport.RoundTrip(request)
	stop()
	if err != nil {
		cancel()
		exchange.err, exchange.reason = err, "no_answer"
		exchange.notRun = rest.DialFailed(err)
		if !exchange.notRun {
			call.ran++
		}
		return exchange
	}
	exchange.response = response
	api.inspect(call, exchange)
	if exchange.reason == "" && !call.streams(response) {
		api.readAnswer(exchange)
	}
	if !exchange.notRun {
		call.ran++
	}
	if exchange.reason != "" {
		cancel()
		_ = response.Body.Close()
	}
	return exchange
}

// limitFirst cancels an exchange that may be tried elsewhere when its endpoint
// stays silent for too long: sooner when all other calls there stand still too.
func (api *API) limitFirst(call *call, try *attempt, cancel context.CancelFunc) func() {
	if !call.route.Idempotent() || call.ran+1 >= call.route.Attempts {
		return func() {}
	}
	started := api.config.Now()
	var timer *time.Timer
	var mutex sync.Mutex
	look := func() {
		mutex.Lock()
		defer mutex.Unlock()
		now := api.config.Now()
		within := silenceWithin(call)
		if now.Sub(started) >= silenceBefore(call) || api.quiet(now, try.endpoint.Name) >= within {
			cancel()
			return
		}
		timer.Reset(within / 4)
	}
	mutex.Lock()
	timer = time.AfterFunc(silenceWithin(call), look)
	mutex.Unlock()
	return func() {
		mutex.Lock()
		defer mutex.Unlock()
		timer.Stop()
	}
}

func (api *API) request(ctx context.Context, call *call, endpoint *view.Endpoint) *http.Request {
	path, query, hasQuery := strings.Cut(call.request.RequestURI, "?")
	target := &url.URL{Scheme: "http", Host: endpoint.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	left := call.deadline.Sub(api.config.Now())
	request := &http.Request{
		Method: call.request.Method, URL: target, Host: call.request.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: api.config.Dialect.outgoing(call, endpoint, left), ContentLength: int64(len(call.body)),
	}
	if len(call.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(call.body))
	} else {
		request.Body = http.NoBody
	}
	return request.WithContext(ctx)
}

// inspect judges an answer by its headers.
func (api *API) inspect(call *call, exchange *exchange) {
	dialect, response := &api.config.Dialect, exchange.response
	switch {
	case response.Header.Get(dialect.RequestID) != string(call.id):
		exchange.reason = "answer_to_another_request"
	case response.StatusCode == http.StatusMisdirectedRequest:
		exchange.notRun, exchange.reason = true, "misdirected"
	case response.Header.Get(dialect.NotRun) != "":
		exchange.notRun, exchange.reason = true, "not_taken"
		exchange.full = response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	case response.Header.Get("Content-Encoding") != "":
		exchange.reason = "encoded_answer"
	case response.StatusCode < http.StatusMultipleChoices && response.Header.Get(dialect.EndpointMark) == "":
		exchange.reason = "answer_without_mark"
	case response.StatusCode >= http.StatusInternalServerError && call.route.Idempotent() && call.ran+1 < call.route.Attempts:
		exchange.reason = "endpoint_error"
	}
}

// readAnswer reads an answer to its end; one that breaks off is no answer.
func (api *API) readAnswer(exchange *exchange) {
	body, err := io.ReadAll(exchange.response.Body)
	_ = exchange.response.Body.Close()
	if err != nil {
		exchange.reason, exchange.err = "answer_broken_off", err
		return
	}
	exchange.body = body
}

// mayRetry tells whether a call may be sent to a further endpoint.
func (api *API) mayRetry(ctx context.Context, call *call, exchange *exchange) bool {
	if ctx.Err() != nil {
		return false
	}
	if !exchange.notRun && (!call.route.Idempotent() || call.ran >= call.route.Attempts) {
		return false
	}
	const mostSends = 4
	return len(call.tried) < mostSends && api.retries.Spend()
}

// whole passes an answer on that was read to its end.
func (api *API) whole(writer http.ResponseWriter, try *attempt, exchange *exchange) result {
	exchange.cancel()
	incoming(writer.Header(), exchange.response.Header)
	writer.WriteHeader(exchange.response.StatusCode)
	_, err := writer.Write(exchange.body)
	return try.result(exchange.response.StatusCode, "answered", "ran", err)
}

// fail answers a call that was sent and got no answer to pass on.
func (api *API) fail(ctx context.Context, writer http.ResponseWriter, call *call, last result, exchange *exchange) result {
	status, outcome := http.StatusBadGateway, "unknown"
	switch {
	case call.request.Context().Err() != nil:
		last.status, last.outcome, last.abort = statusCallerGone, outcome, true
		return last
	case call.ran == 0 && exchange.notRun:
		status, outcome = http.StatusServiceUnavailable, "not_run"
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
	}
	own := api.refuse(writer, call, newRefusal(status, last.reason, noStateRetry))
	last.status, last.outcome = own.status, outcome
	return last
}

// statusCallerGone is the customary status for a caller that has left.
const statusCallerGone = 499

// giveUp answers a call for which no endpoint could be had.
func (api *API) giveUp(ctx context.Context, writer http.ResponseWriter, call *call, last result, refusal *refusal) result {
	if call.request.Context().Err() != nil {
		return result{status: statusCallerGone, reason: refusal.reason, outcome: "not_run", abort: true}
	}
	if call.ran > 0 {
		refusal.status, refusal.retryAfter = http.StatusBadGateway, 0
		if ctx.Err() != nil {
			refusal.status = http.StatusGatewayTimeout
		}
	}
	own := api.refuse(writer, call, refusal)
	if call.ran > 0 {
		own.outcome = "unknown"
	}
	own.endpoint, own.host, own.err = last.endpoint, last.host, last.err
	return own
}
