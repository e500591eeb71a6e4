package callerapi

import (
	"context"
	"net/http"
	"slices"

	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/dispatcher"
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
	// mayMove is set if the call may run again, so that it may leave an endpoint that is
	// lost, and once one that is unresponsive. reservation is the endpoint to which it moves.
	mayMove          bool
	leftUnresponsive bool
	reservation      *traffic.Reservation
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
	body, err := api.readBody(writer, request, call)
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
	defer answer.close()
	answer.charge.Transfer(api.config.Now(), call.holder(request), nil)
	writeAnswer(writer, answer.Answer, false)
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
func (api *API) runRepeatable(ctx context.Context, serviceCall *serviceCall) (*heldAnswer, error) {
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
