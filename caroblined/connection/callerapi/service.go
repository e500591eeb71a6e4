package callerapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/request/dispatcher"
)

// maxWriteBytes is the most of an answer that is written to a caller at a time.
const maxWriteBytes = 256 << 10

// serviceCall is one call to a plain service.
type serviceCall struct {
	call    *call
	service id.Service
	// holder is whom its bytes are held for.
	holder memory.Holder
	method string
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
		holder: call.holder(request), header: request.Header, idempotencyKey: request.Header.Get(headerIdempotencyKey),
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
	api.writeAnswer(writer, answer, false, serviceCall.holder)
	return nil
}

// writeAnswer writes an answer, which its caller holds meanwhile, and closes it. Each piece has the time of one write.
func (api *API) writeAnswer(writer http.ResponseWriter, answer *heldAnswer, replayed bool, holder memory.Holder) {
	defer answer.close()
	controller := http.NewResponseController(writer)
	answer.charge.Transfer(api.config.Now(), holder, func(bool) { _ = controller.SetWriteDeadline(time.Unix(1, 0)) })
	header := writer.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	if replayed {
		header.Set(headerReplayed, "true")
	}
	writer.WriteHeader(answer.Status)
	for piece := range slices.Chunk(answer.Body, maxWriteBytes) {
		// Fails only for a connection without deadlines.
		_ = controller.SetWriteDeadline(time.Now().Add(api.config.CallerWriteTimeout))
		// A write fails only when the caller has disconnected or reads nothing. The answer of a call
		// that must not repeat is recorded separately.
		if _, err := writer.Write(piece); err != nil {
			return
		}
	}
	_ = controller.SetWriteDeadline(time.Time{})
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
		answer, sent, err := api.exchange(ctx, admission, serviceCall, attempt, anyConnection)
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
	if refusal := refuseEvacuated(err); refusal != nil && !mayHaveRun {
		return refusal
	}
	if !mayHaveRun {
		return rest.NotRun(http.StatusServiceUnavailable, "service_unreachable", "the service could not be reached: "+err.Error())
	}
	return rest.Unknown(http.StatusBadGateway, "service_failed", "the service gave no whole answer: "+err.Error())
}
