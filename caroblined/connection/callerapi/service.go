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
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/dispatcher"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Carobline-Replayed"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// maxStoredAnswerBytes bounds an answer that is stored for resends.
	maxStoredAnswerBytes = 64 << 10
	// proposeTimeout bounds the recording of a call's start, and each try to
	// record its end.
	proposeTimeout = 5 * time.Second
	// singleSendTimeout bounds a call that must not repeat, also after its
	// caller has disconnected.
	singleSendTimeout = 2 * time.Minute
	// inFlightWait is how long a resend waits for the first call's answer.
	inFlightWait = 10 * time.Second
	// inFlightPollInterval is how often the resend checks for that answer.
	inFlightPollInterval = 200 * time.Millisecond
)

// serviceCall is one call to a plain service.
type serviceCall struct {
	call    *call
	service id.Service
	method  string
	// target is the path and query at the service.
	target         string
	header         http.Header
	body           []byte
	idempotencyKey string
	// mayMove is set if the call may run again, so that it may leave a lost endpoint.
	// reservation is the endpoint to which it moves.
	mayMove     bool
	reservation *traffic.Reservation
}

func (api *API) service(writer http.ResponseWriter, request *http.Request, call *call) error {
	serviceCall := &serviceCall{
		call: call, service: id.Service(request.PathValue("service")), method: request.Method,
		header: request.Header, idempotencyKey: request.Header.Get(headerIdempotencyKey),
	}
	contract := &call.clientAccount.Contract
	if !allows(contract, serviceCall.service) {
		return rest.NotRun(http.StatusNotFound, "unknown_service", "service "+string(serviceCall.service)+" is not in the contract")
	}
	path := "/" + request.PathValue("path")
	serviceCall.target = path
	if request.URL.RawQuery != "" {
		serviceCall.target += "?" + request.URL.RawQuery
	}
	mustNotRepeat := contract.MustNotRepeat(serviceCall.service, serviceCall.method, path)
	if mustNotRepeat && (serviceCall.idempotencyKey == "" || len(serviceCall.idempotencyKey) > maxKeyBytes) {
		return rest.NotRun(http.StatusBadRequest, "missing_idempotency_key", "this call must not repeat; send "+headerIdempotencyKey+" with 1 to 255 characters")
	}
	body, err := api.readBody(writer, request)
	if err != nil {
		return err
	}
	serviceCall.body = body
	if mustNotRepeat {
		return api.runOnce(request.Context(), writer, serviceCall)
	}
	answer, err := api.runRepeatable(request.Context(), serviceCall)
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
	// A write fails only when the caller has disconnected. The answer of a call
	// that must not repeat is recorded separately.
	_, _ = writer.Write(answer.Body)
}

func (api *API) admitService(ctx context.Context, serviceCall *serviceCall) (*traffic.Admission, error) {
	return api.config.Traffic.Admit(ctx, dispatcher.Call{
		ClientAccount: serviceCall.call.clientAccount.Contract.ClientAccount, Service: serviceCall.service,
		Prompt: id.Tokens(len(serviceCall.body) / promptBytesPerToken),
	})
}

// repeatable reports whether a call with this method may be tried again after
// it may have run.
func repeatable(method string) bool {
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete}, method)
}

// runRepeatable runs a call that the contract doesn't mark as not to be
// repeated. It is retried when its method is idempotent, or when it provably
// wasn't sent.
func (api *API) runRepeatable(ctx context.Context, serviceCall *serviceCall) (*register.Answer, error) {
	admission, err := api.admitService(ctx, serviceCall)
	if err != nil {
		return nil, err
	}
	api.config.RetryBudget.Earn()
	serviceCall.mayMove = repeatable(serviceCall.method)
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		answer, sent, err := api.exchange(ctx, admission, serviceCall, attempt, api.config.EngineTransport)
		if err == nil {
			admission.Finish(0, false)
			return answer, nil
		}
		mayHaveRun = mayHaveRun || sent
		serviceCall.call.log.Warn().Err(err).Str("step", "service").Int("attempt", attempt).Bool("sent", sent).Msg("service attempt failed")
		if reservation := serviceCall.reservation; reservation != nil {
			serviceCall.reservation = nil
			reservation.Take(nil, true)
			continue
		}
		retry := (!sent || serviceCall.mayMove) && ctx.Err() == nil && attempt < maxAttempts
		if retry && api.moveWithinBudget(ctx, admission) {
			continue
		}
		admission.Finish(0, true)
		return nil, serviceError(err, mayHaveRun)
	}
}

// moveWithinBudget takes a retry from the budget and moves a failed call to another
// endpoint. It returns false when the retry or the endpoint isn't available.
func (api *API) moveWithinBudget(ctx context.Context, admission *traffic.Admission) bool {
	if !api.config.RetryBudget.Spend() {
		return false
	}
	moved := admission.Move(ctx, 0, true)
	if !moved {
		api.config.RetryBudget.Refund()
	}
	return moved
}

// serviceError returns the error of a call that got no answer. mayHaveRun reports whether
// any of its attempts may have run it.
func serviceError(err error, mayHaveRun bool) *rest.Error {
	if !mayHaveRun {
		return rest.NotRun(http.StatusServiceUnavailable, "service_unreachable", "the service could not be reached: "+err.Error())
	}
	return rest.Unknown(http.StatusBadGateway, "service_failed", "the service gave no whole answer: "+err.Error())
}

// exchange makes one attempt. The result sent is false only when no byte of the
// request can have reached the service, or when the service's answer says that
// the request did not run.
func (api *API) exchange(ctx context.Context, admission *traffic.Admission, serviceCall *serviceCall, attempt int, transport http.RoundTripper) (answer *register.Answer, sent bool, err error) {
	endpoint := admission.Endpoint()
	serviceCall.call.lastEndpoint = endpointName(endpoint)
	attemptCtx, cancel, ok := admission.Attempt(ctx)
	if !ok {
		return nil, false, errors.Errorf("endpoint %s is no longer whole", endpoint.Address)
	}
	defer cancel(nil)
	inactivityTimer := time.AfterFunc(api.config.InactivityTimeout, func() { cancel(errEndpointUnresponsive) })
	defer inactivityTimer.Stop()
	if serviceCall.mayMove {
		defer api.leaveLostEndpoint(attemptCtx, cancel, admission, serviceCall)()
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, serviceCall.method, "http://"+endpoint.Address+serviceCall.target, bytes.NewReader(serviceCall.body))
	if err != nil {
		return nil, false, errors.Wrapf(err, "request to %s", endpoint.Address)
	}
	serviceCall.setHeaders(request, attempt)
	startedAt := api.config.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, connected.Load(), errors.Wrapf(causeOf(attemptCtx, err), "call service at %s", endpoint.Address)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, true, errors.Wrapf(causeOf(attemptCtx, err), "read service at %s", endpoint.Address)
	}
	if len(body) > maxAnswerBytes {
		return nil, true, errors.Errorf("read service at %s: the answer is too large", endpoint.Address)
	}
	if sse.Matches(response.Header.Get("Content-Type")) && sse.Truncated(body) {
		return nil, true, errors.Wrapf(sse.ErrTruncated, "read service at %s", endpoint.Address)
	}
	if response.Header.Get(rest.HeaderOutcome) == string(rest.OutcomeNotRun) {
		// A refusal that doesn't name the request may be another one's.
		mayHaveRun := response.Header.Get(rest.HeaderRequestID) != string(serviceCall.call.id)
		return nil, mayHaveRun, errors.Errorf("service at %s refused without running: %s", endpoint.Address, response.Status)
	}
	admission.RecordAnswerTime(api.config.Now().Sub(startedAt))
	return &register.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, true, nil
}

// leaveLostEndpoint ends an attempt at an endpoint that is lost once another one is
// reserved for the call. Without one the attempt goes on, since the service may be at
// work all the same. The returned function ends the watch.
func (api *API) leaveLostEndpoint(attempt context.Context, cancel context.CancelCauseFunc, admission *traffic.Admission, serviceCall *serviceCall) func() {
	done, moves := make(chan struct{}), admission.Moves()
	go func() {
		defer close(done)
		var reason error
		select {
		case <-attempt.Done():
			return
		case reason = <-moves:
		}
		for attempt.Err() == nil {
			reservation, ok := admission.Reserve(0, true)
			if ok && api.config.RetryBudget.Spend() {
				serviceCall.reservation = reservation
				cancel(reason)
				return
			}
			if ok {
				reservation.Release(false)
			}
			select {
			case <-attempt.Done():
			case <-time.After(minHandoverInterval):
			}
		}
	}()
	return func() {
		cancel(nil)
		<-done
	}
}

// forwardedHeaders are the headers of the caller that are sent on to a service.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", headerIdempotencyKey}

func (serviceCall *serviceCall) setHeaders(request *http.Request, attempt int) {
	for _, name := range forwardedHeaders {
		if value := serviceCall.header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(rest.HeaderRequestID, string(serviceCall.call.id))
	request.Header.Set(headerAttempt, strconv.Itoa(attempt))
	request.Header.Set("Carobline-Customer", string(serviceCall.call.clientAccount.Contract.ClientAccount))
}

// runOnce runs a call that must not repeat. The call is first admitted, then
// recorded by a majority of the voters, then sent once. While another call with
// the key is in flight, runOnce polls for that call's answer.
func (api *API) runOnce(ctx context.Context, writer http.ResponseWriter, serviceCall *serviceCall) error {
	deadline := api.config.Now().Add(inFlightWait)
	for round := 0; ; round++ {
		attempt := id.Change(string(serviceCall.call.id) + "-" + strconv.Itoa(round))
		answer, replayed, err := api.tryOnce(ctx, serviceCall, attempt)
		if err == nil {
			writeAnswer(writer, answer, replayed)
			return nil
		}
		if !errors.Is(err, errInFlight) {
			return err
		}
		if ctx.Err() != nil || !api.config.Now().Before(deadline) {
			restError := rest.Unknown(http.StatusConflict, "call_in_flight", "the first call with this key is still running; send the same again later")
			restError.RetryAfter = time.Second
			return restError
		}
		select {
		case <-ctx.Done():
		case <-time.After(inFlightPollInterval):
		}
	}
}

// errInFlight reports that another call with the same idempotency key is still
// running.
var errInFlight = errors.New("the first call with this key is still running")

// tryOnce records and sends a call that must not repeat, or answers it from the
// record of an earlier call with the same key.
func (api *API) tryOnce(ctx context.Context, serviceCall *serviceCall, attempt id.Change) (answer *register.Answer, replayed bool, err error) {
	admission, err := api.admitService(ctx, serviceCall)
	if err != nil {
		return nil, false, err
	}
	key := register.CallKey{ClientAccount: serviceCall.call.clientAccount.Contract.ClientAccount, Service: serviceCall.service, Key: serviceCall.idempotencyKey}
	result, err := api.recordBegin(ctx, serviceCall, key, attempt)
	if err != nil {
		admission.Finish(0, false)
		return nil, false, err
	}
	switch result.Verdict {
	case register.VerdictGranted:
		answer, err = api.dispatchOnce(ctx, admission, serviceCall, key, attempt)
		return answer, false, err
	case register.VerdictMismatch:
		admission.Finish(0, false)
		return nil, false, rest.NotRun(http.StatusUnprocessableEntity, "key_reused", "the "+headerIdempotencyKey+" was used with another request")
	case register.VerdictKnown:
		admission.Finish(0, false)
		return answerFromRecord(result.Call)
	default:
		admission.Finish(0, false)
		return nil, false, rest.NotRun(http.StatusServiceUnavailable, "not_recorded", "the call could not be recorded: "+result.Reason)
	}
}

// answerFromRecord answers a resend from the record of the first call.
func answerFromRecord(record *register.CallRecord) (*register.Answer, bool, error) {
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

// recordBegin records a call with a majority of the voters. When it can't tell
// whether that succeeded, the call is never sent: recordBegin starts to record
// in the background that the attempt hasn't run, and then answers so.
func (api *API) recordBegin(ctx context.Context, serviceCall *serviceCall, key register.CallKey, attempt id.Change) (register.Result, error) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposeTimeout)
	defer cancel()
	outcome, err := api.config.Propose(recordCtx, peers.Proposal{Command: register.Command{
		Change: attempt, Actor: "customer:" + string(key.ClientAccount),
		BeginCall: &register.BeginCall{
			Key: key, BodyHash: serviceCall.bodyHash(), Owner: api.config.Owner, Retention: serviceCall.call.clientAccount.Contract.KeyRetention(),
		},
	}})
	if err == nil {
		return *outcome.Result, nil
	}
	api.recordFinishInBackground(register.FinishCall{Key: key, Attempt: attempt, NotRun: true})
	return register.Result{}, rest.NotRun(http.StatusServiceUnavailable, "not_recorded", "the call could not be recorded by a majority in time, and was not run: "+err.Error())
}

// bodyHash returns a hash of method, target and body. It distinguishes a resend
// from another request with the same key.
func (serviceCall *serviceCall) bodyHash() string {
	sum := sha256.New()
	_, _ = io.WriteString(sum, strings.Join([]string{serviceCall.method, serviceCall.target, strconv.Itoa(len(serviceCall.body))}, "\x00"))
	_, _ = sum.Write(serviceCall.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// dispatchOnce sends a recorded call. The call continues in the background when
// the caller has disconnected, so that a resend finds the answer.
func (api *API) dispatchOnce(ctx context.Context, admission *traffic.Admission, serviceCall *serviceCall, key register.CallKey, attempt id.Change) (*register.Answer, error) {
	type outcome struct {
		answer *register.Answer
		err    error
	}
	outcomes := make(chan outcome, 1)
	api.config.RunInBackground(func(background context.Context) {
		run, cancel := context.WithTimeout(background, singleSendTimeout)
		defer cancel()
		answer, err := api.sendOnce(run, admission, serviceCall, key, attempt)
		outcomes <- outcome{answer, err}
	})
	select {
	case outcome := <-outcomes:
		return outcome.answer, outcome.err
	case <-ctx.Done():
		return nil, rest.Unknown(rest.StatusClientClosed, "caller_gone", "the caller went away; the call goes on")
	}
}

// sendOnce sends a recorded call and records its end. It tries another endpoint
// only while the call provably hasn't been sent.
func (api *API) sendOnce(ctx context.Context, admission *traffic.Admission, serviceCall *serviceCall, key register.CallKey, attempt id.Change) (*register.Answer, error) {
	for attemptNumber := 1; ; attemptNumber++ {
		answer, sent, err := api.exchange(ctx, admission, serviceCall, attemptNumber, api.config.SingleSendTransport)
		switch {
		case err == nil:
			admission.Finish(0, false)
			storedAnswer := answer
			if len(answer.Body) > maxStoredAnswerBytes {
				storedAnswer = nil
			}
			api.recordFinish(ctx, register.FinishCall{Key: key, Attempt: attempt, Answer: storedAnswer, Ran: true})
			return answer, nil
		case sent:
			admission.Finish(0, true)
			api.recordFinish(ctx, register.FinishCall{Key: key, Attempt: attempt})
			return nil, serviceError(err, true)
		case attemptNumber < maxAttempts && ctx.Err() == nil && admission.Move(ctx, 0, true):
			continue
		default:
			admission.Finish(0, true)
			api.recordFinish(ctx, register.FinishCall{Key: key, Attempt: attempt, NotRun: true})
			return nil, serviceError(err, false)
		}
	}
}

// recordFinish records the end of a call before the caller gets the answer.
// When that fails or takes too long, it continues in the background.
func (api *API) recordFinish(ctx context.Context, finish register.FinishCall) {
	const timeout = time.Second
	recordCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if api.proposeFinish(recordCtx, finish) != nil {
		api.recordFinishInBackground(finish)
	}
}

// recordFinishInBackground tries to record the end of a call until a majority
// has accepted it or the daemon closes.
func (api *API) recordFinishInBackground(finish register.FinishCall) {
	api.config.RunInBackground(func(ctx context.Context) {
		for ctx.Err() == nil {
			recordCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
			err := api.proposeFinish(recordCtx, finish)
			cancel()
			if err == nil {
				return
			}
			api.config.Log.Warn().Err(err).Str("step", "finish_call").Msg("recording the end of a call failed; retrying")
		}
	})
}

func (api *API) proposeFinish(ctx context.Context, finish register.FinishCall) error {
	_, err := api.config.Propose(ctx, peers.Proposal{Command: register.Command{
		Change: finish.Attempt + "-end", Actor: "customer:" + string(finish.Key.ClientAccount), FinishCall: &finish,
	}})
	return err
}
