package callerapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/dispatcher"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Carobline-Replayed"
	// keyBytes bounds an idempotency key.
	keyBytes = 255
	// keptBytes bounds an answer that is kept for resends.
	keptBytes = 64 << 10
	// recordTimeout bounds the recording of a call before it is dispatched.
	recordTimeout = 5 * time.Second
	// runTimeout bounds a call that must not repeat, also after its caller has
	// gone.
	runTimeout = 2 * time.Minute
	// resendWait is how long a resend waits for the first call's answer.
	resendWait = 10 * time.Second
	// resendPoll is how often it looks.
	resendPoll = 200 * time.Millisecond
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	call    *call
	service id.Service
	method  string
	// target is the path and query at the service.
	target string
	header http.Header
	body   []byte
	key    string
}

func (api *API) service(writer http.ResponseWriter, request *http.Request, current *call) error {
	asked := &serviceCall{
		call: current, service: id.Service(request.PathValue("service")), method: request.Method,
		header: request.Header, key: request.Header.Get(headerIdempotencyKey),
	}
	agreed := &current.clientAccount.Contract
	if !allows(agreed, asked.service) {
		return rest.NotRun(http.StatusNotFound, "unknown_service", "service "+string(asked.service)+" is not in the contract")
	}
	path := "/" + request.PathValue("path")
	asked.target = path
	if request.URL.RawQuery != "" {
		asked.target += "?" + request.URL.RawQuery
	}
	once := agreed.MustNotRepeat(asked.service, asked.method, path)
	if once && (asked.key == "" || len(asked.key) > keyBytes) {
		return rest.NotRun(http.StatusBadRequest, "missing_idempotency_key", "this call must not repeat; send "+headerIdempotencyKey+" with 1 to 255 characters")
	}
	body, err := api.readBody(writer, request)
	if err != nil {
		return err
	}
	asked.body = body
	if once {
		return api.runOnce(request.Context(), writer, asked)
	}
	answer, err := api.runRepeatable(request.Context(), asked)
	if err != nil {
		return err
	}
	writeAnswer(writer, answer, false)
	return nil
}

func writeAnswer(writer http.ResponseWriter, answer *register.Answer, replayed bool) {
	header := writer.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	if replayed {
		header.Set(headerReplayed, "true")
	}
	writer.WriteHeader(answer.Status)
	// The caller may be gone; the answer is kept where it must be.
	_, _ = writer.Write(answer.Body)
}

func (api *API) admitService(ctx context.Context, asked *serviceCall) (*traffic.Admission, error) {
	return api.config.Traffic.Admit(ctx, dispatcher.Call{
		ClientAccount: asked.call.clientAccount.Contract.ClientAccount, Service: asked.service,
		Prompt: id.Tokens(len(asked.body) / bytesPerToken),
	})
}

// repeatable tells whether a call may be tried again after it may have run.
func repeatable(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}, method)
}

// runRepeatable runs a call that isn't marked. It is tried again when it is
// idempotent by its method, or provably wasn't sent.
func (api *API) runRepeatable(ctx context.Context, asked *serviceCall) (*register.Answer, error) {
	admission, err := api.admitService(ctx, asked)
	if err != nil {
		return nil, err
	}
	api.config.RetryBudget.Earn()
	for attempt := 1; ; attempt++ {
		answer, sent, err := api.exchange(ctx, admission, asked, attempt, api.config.EngineTransport)
		if err == nil {
			admission.Finish(0, false)
			return answer, nil
		}
		asked.call.log.Warn().Err(err).Str("step", "service").Int("attempt", attempt).Bool("sent", sent).Msg("attempt failed")
		again := (!sent || repeatable(asked.method)) && ctx.Err() == nil && attempt < mostAttempts
		if again && api.config.RetryBudget.Spend() && admission.Move(ctx, 0, true) {
			continue
		}
		admission.Finish(0, true)
		return nil, serviceError(err, sent)
	}
}

func serviceError(err error, sent bool) *rest.Error {
	if !sent {
		return rest.NotRun(http.StatusServiceUnavailable, "service_unreachable", "the service could not be reached: "+err.Error())
	}
	return rest.Unknown(http.StatusBadGateway, "service_failed", "the service gave no whole answer: "+err.Error())
}

// exchange makes one attempt. Sent is false only when no byte of the request
// can have reached the service, or the service itself says that it didn't run.
func (api *API) exchange(ctx context.Context, admission *traffic.Admission, asked *serviceCall, attempt int, transport http.RoundTripper) (answer *register.Answer, sent bool, err error) {
	endpoint := admission.Endpoint()
	asked.call.endpoint = endpointName(endpoint)
	attemptCtx, cancel, ok := admission.Attempt(ctx)
	if !ok {
		return nil, false, errors.Errorf("endpoint %s is no longer whole", endpoint.Address)
	}
	defer cancel(nil)
	silence := time.AfterFunc(api.config.InactivityTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, asked.method, "http://"+endpoint.Address+asked.target, bytes.NewReader(asked.body))
	if err != nil {
		return nil, false, errors.Wrapf(err, "request to %s", endpoint.Address)
	}
	asked.setHeaders(request, attempt)
	began := api.config.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, connected.Load(), errors.Wrapf(causeOf(attemptCtx, err), "call service at %s", endpoint.Address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, wholeBytes+1))
	if err != nil {
		return nil, true, errors.Wrapf(causeOf(attemptCtx, err), "read service at %s", endpoint.Address)
	}
	if len(body) > wholeBytes {
		return nil, true, errors.Errorf("read service at %s: the answer is too large", endpoint.Address)
	}
	if got := response.Header.Get(rest.HeaderRequestID); got != "" && got != string(asked.call.id) {
		return nil, true, errors.Errorf("service at %s answered request %q, not this one", endpoint.Address, got)
	}
	if response.Header.Get(rest.HeaderOutcome) == string(rest.OutcomeNotRun) {
		return nil, false, errors.Errorf("service at %s refused without running: %s", endpoint.Address, response.Status)
	}
	admission.RecordAnswerTime(api.config.Now().Sub(began))
	return &register.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, true, nil
}

// passedOn are the callers' headers that a service sees.
var passedOn = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

func (asked *serviceCall) setHeaders(request *http.Request, attempt int) {
	for _, name := range passedOn {
		if value := asked.header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(rest.HeaderRequestID, string(asked.call.id))
	request.Header.Set(headerAttempt, strconv.Itoa(attempt))
	request.Header.Set("Carobline-Customer", string(asked.call.clientAccount.Contract.ClientAccount))
}

// runOnce runs a call that must not repeat: admitted first, then recorded by a
// majority, then dispatched once.
func (api *API) runOnce(ctx context.Context, writer http.ResponseWriter, asked *serviceCall) error {
	deadline := api.config.Now().Add(resendWait)
	for round := 0; ; round++ {
		attempt := id.Change(string(asked.call.id) + "-" + strconv.Itoa(round))
		answer, replayed, err := api.tryOnce(ctx, asked, attempt)
		if err == nil {
			writeAnswer(writer, answer, replayed)
			return nil
		}
		if !errors.Is(err, errInFlight) {
			return err
		}
		if ctx.Err() != nil || !api.config.Now().Before(deadline) {
			refused := rest.Unknown(http.StatusConflict, "call_in_flight", "the first call with this key is still running; send the same again later")
			refused.RetryAfter = time.Second
			return refused
		}
		select {
		case <-ctx.Done():
		case <-time.After(resendPoll):
		}
	}
}

// errInFlight reports that another attempt holds the key.
var errInFlight = errors.New("the first call with this key is still running")

func (api *API) tryOnce(ctx context.Context, asked *serviceCall, attempt id.Change) (answer *register.Answer, replayed bool, err error) {
	admission, err := api.admitService(ctx, asked)
	if err != nil {
		return nil, false, err
	}
	key := register.CallKey{ClientAccount: asked.call.clientAccount.Contract.ClientAccount, Service: asked.service, Key: asked.key}
	result, err := api.begin(ctx, asked, key, attempt)
	if err != nil {
		admission.Finish(0, false)
		return nil, false, err
	}
	switch result.Verdict {
	case register.VerdictGranted:
		answer, err = api.dispatchOnce(ctx, admission, asked, key, attempt)
		return answer, false, err
	case register.VerdictMismatch:
		admission.Finish(0, false)
		return nil, false, rest.NotRun(http.StatusUnprocessableEntity, "key_reused", "the "+headerIdempotencyKey+" was used with another request")
	case register.VerdictKnown:
		admission.Finish(0, false)
		return known(result.Call)
	default:
		admission.Finish(0, false)
		return nil, false, rest.NotRun(http.StatusServiceUnavailable, "not_recorded", "the call could not be recorded: "+result.Reason)
	}
}

// known answers a resend from the ledger.
func known(record *register.CallRecord) (*register.Answer, bool, error) {
	switch {
	case record.State == register.CallDone && record.Answer != nil:
		return record.Answer, true, nil
	case record.State == register.CallInFlight:
		return nil, false, errInFlight
	case record.State == register.CallUnknown:
		return nil, false, rest.Unknown(http.StatusConflict, "outcome_unknown", "an earlier call with this key may have run; it is not run again")
	default:
		return nil, false, rest.Unknown(http.StatusConflict, "answer_not_kept", "an earlier call with this key ran; its answer is no longer kept, and it is not run again")
	}
}

// begin records a call with a majority. When that can't be told to have worked,
// the attempt is given up for good before the caller hears that it wasn't run.
func (api *API) begin(ctx context.Context, asked *serviceCall, key register.CallKey, attempt id.Change) (register.Result, error) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	outcome, err := api.config.Propose(recordCtx, peers.Proposal{Command: register.Command{
		Change: attempt, Actor: "customer:" + string(key.ClientAccount),
		BeginCall: &register.BeginCall{
			Key: key, BodyHash: asked.hash(), Owner: api.config.Owner, Retention: asked.call.clientAccount.Contract.KeyRetention(),
		},
	}})
	if err == nil {
		return *outcome.Result, nil
	}
	api.conclude(register.FinishCall{Key: key, Attempt: attempt, NotRun: true})
	return register.Result{}, rest.NotRun(http.StatusServiceUnavailable, "not_recorded", "the call could not be recorded by a majority in time, and was not run: "+err.Error())
}

// hash tells requests under one key apart.
func (asked *serviceCall) hash() string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, strings.Join([]string{asked.method, asked.target, strconv.Itoa(len(asked.body))}, "\x00"))
	_, _ = sum.Write(asked.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// dispatchOnce sends a recorded call. It goes on when the caller has gone, so
// that a resend finds the answer.
func (api *API) dispatchOnce(ctx context.Context, admission *traffic.Admission, asked *serviceCall, key register.CallKey, attempt id.Change) (*register.Answer, error) {
	type ending struct {
		answer *register.Answer
		err    error
	}
	ended := make(chan ending, 1)
	api.config.RunInBackground(func(background context.Context) {
		run, cancel := context.WithTimeout(background, runTimeout)
		defer cancel()
		answer, err := api.sendOnce(run, admission, asked, key, attempt)
		ended <- ending{answer, err}
	})
	select {
	case result := <-ended:
		return result.answer, result.err
	case <-ctx.Done():
		return nil, rest.Unknown(rest.StatusClientClosed, "caller_gone", "the caller went away; the call goes on")
	}
}

func (api *API) sendOnce(ctx context.Context, admission *traffic.Admission, asked *serviceCall, key register.CallKey, attempt id.Change) (*register.Answer, error) {
	for try := 1; ; try++ {
		answer, sent, err := api.exchange(ctx, admission, asked, try, api.config.SingleSendTransport)
		switch {
		case err == nil:
			admission.Finish(0, false)
			kept := answer
			if len(answer.Body) > keptBytes {
				kept = nil
			}
			api.concludeNow(ctx, register.FinishCall{Key: key, Attempt: attempt, Answer: kept, Ran: true})
			return answer, nil
		case sent:
			admission.Finish(0, true)
			api.concludeNow(ctx, register.FinishCall{Key: key, Attempt: attempt})
			return nil, serviceError(err, true)
		case try < mostAttempts && ctx.Err() == nil && admission.Move(ctx, 0, true):
			continue
		default:
			admission.Finish(0, true)
			api.concludeNow(ctx, register.FinishCall{Key: key, Attempt: attempt, NotRun: true})
			return nil, serviceError(err, false)
		}
	}
}

// concludeNow records an end before the caller hears of it, and goes on trying
// behind the caller's back when that takes too long.
func (api *API) concludeNow(ctx context.Context, finish register.FinishCall) {
	const patience = time.Second
	recordCtx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if api.record(recordCtx, finish) != nil {
		api.conclude(finish)
	}
}

// conclude records an end in the background until it is accepted.
func (api *API) conclude(finish register.FinishCall) {
	api.config.RunInBackground(func(ctx context.Context) {
		for ctx.Err() == nil {
			recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
			err := api.record(recordCtx, finish)
			cancel()
			if err == nil {
				return
			}
			api.config.Log.Warn().Err(err).Str("step", "finish_call").Msg("the end of a call is not recorded yet")
		}
	})
}

func (api *API) record(ctx context.Context, finish register.FinishCall) error {
	_, err := api.config.Propose(ctx, peers.Proposal{Command: register.Command{
		Change: finish.Attempt + "-end", Actor: "customer:" + string(finish.Key.ClientAccount), FinishCall: &finish,
	}})
	return err
}
