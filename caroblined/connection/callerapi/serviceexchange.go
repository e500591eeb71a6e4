package callerapi

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/process/register"
)

// connectionUse selects the connections on which a call to a service may be sent.
type connectionUse bool

// ownConnection is that of calls that must not repeat: an unused connection may be closed just as a call is written, and
// whether that call has run is then unknown for good.
const (
	anyConnection connectionUse = false
	ownConnection connectionUse = true
)

// exchange makes one attempt. The result sent is false only when no byte of the
// request can have reached the service, or when the service's answer states that
// the request did not run.
func (api *API) exchange(ctx context.Context, admission *traffic.Admission, serviceCall *serviceCall, attempt int, use connectionUse) (answer *heldAnswer, sent bool, err error) {
	attemptCtx, cancel, ok := admission.Attempt(ctx)
	endpoint := admission.Endpoint()
	serviceCall.call.lastEndpoint = endpointName(endpoint)
	if !ok {
		return nil, false, api.notStarted(endpoint)
	}
	defer cancel(nil)
	watch := api.watchService(attemptCtx, cancel, admission, serviceCall)
	defer watch.stop()
	request, err := http.NewRequestWithContext(attemptCtx, serviceCall.method, "http://"+endpoint.Address+serviceCall.target, bytes.NewReader(serviceCall.body))
	if err != nil {
		return nil, false, errors.Wrapf(err, "request to %s", endpoint.Address)
	}
	serviceCall.setHeaders(request, attempt)
	request.Close = use == ownConnection
	startedAt := api.config.Now()
	response, err := api.config.EngineTransport.RoundTrip(request)
	if err != nil {
		return nil, reached(err), errors.Wrapf(causeOf(attemptCtx, err), "call service at %s", endpoint.Address)
	}
	defer func() { _ = response.Body.Close() }()
	watch.recordBytes()
	charge := api.config.Account.Open(endpointHolder(string(serviceCall.service), endpoint), string(serviceCall.call.id), func(bool) { cancel(errNoMemory) })
	defer func() {
		if answer == nil {
			charge.Close()
		}
	}()
	body, err := api.readAnswer(attemptCtx, charge, response, watch)
	if err != nil {
		return nil, true, errors.Wrapf(causeOf(attemptCtx, err), "read service at %s", endpoint.Address)
	}
	if !charge.Keep() {
		return nil, true, errors.Wrapf(errNoMemory, "read service at %s", endpoint.Address)
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
	return &heldAnswer{&register.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, charge}, true, nil
}

// reached reports whether a request that failed may have reached its endpoint.
func reached(err error) bool { return !endpoint.Unsent(err) }

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
