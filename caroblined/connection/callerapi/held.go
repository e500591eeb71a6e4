package callerapi

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/body"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/view"
)

// decodedBodyFactor times a body's size is what a completion's body takes while it is decoded and
// encoded for the engine.
const decodedBodyFactor = 4

// errNoMemory ends an attempt whose answer can't be kept.
var errNoMemory = errors.New("no memory is left for the endpoint's answer")

// heldBody is a request's body that is charged to its caller. It is held by the call and by what outlives
// the call's handler.
type heldBody struct {
	charge *memory.Charge
	uses   atomic.Int32
}

// release ends one use of the body.
func (body *heldBody) release() {
	if body.uses.Add(-1) == 0 {
		body.charge.Close()
	}
}

// holder returns who the bytes of a request are held for.
func (call *call) holder(request *http.Request) memory.Holder {
	if call.clientAccount != nil {
		return memory.Holder{Kind: memory.Caller, Name: string(call.clientAccount.Contract.ClientAccount)}
	}
	return memory.HolderAt(memory.Caller, request.RemoteAddr)
}

// endpointHolder returns who the bytes of an endpoint's answer are held for.
func endpointHolder(pool string, endpoint *view.Endpoint) memory.Holder {
	return memory.Holder{Kind: memory.Endpoint, Name: pool + "/" + endpointName(endpoint)}
}

// readBody reads the whole body and then clears the connection's read deadline, which would otherwise cut off
// a long answer too. The body is charged to the caller until the call ends.
func (api *API) readBody(writer http.ResponseWriter, request *http.Request, call *call) ([]byte, error) {
	controller := http.NewResponseController(writer)
	call.body.charge = api.config.Account.Open(call.holder(request), string(call.id), func(bool) {
		// The reading fails at once. Where deadlines aren't supported, it goes on until the server's own limit.
		_ = controller.SetReadDeadline(time.Unix(1, 0))
	})
	reader := body.Reader{Charge: call.body.charge, Now: api.config.Now, Limit: api.config.BodyBytes, Waits: true}
	data, err := reader.ReadAll(request.Context(), request.Body, request.ContentLength)
	if !call.body.charge.Keep() {
		err = memory.ErrNoRoom
	}
	if err != nil {
		// The rest of the body may still come.
		writer.Header().Set("Connection", "close")
		return nil, rest.BodyError(err, api.config.BodyBytes)
	}
	err = controller.SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, rest.NotRun(rest.StatusClientClosed, "caller_gone", "the caller went away")
	}
	return data, nil
}

// chargeDecoded charges what a completion's body takes while it is decoded. The returned function
// charges what the body for the engine takes from then on.
func (api *API) chargeDecoded(ctx context.Context, call *call, size int) (decoded func(), err error) {
	charge := call.body.charge
	if charge.Await(ctx, api.config.Now, memory.Bytes(decodedBodyFactor*size)) != nil {
		return nil, rest.NoMemory()
	}
	// A charge that becomes smaller always fits.
	return func() { _ = charge.Resize(api.config.Now(), memory.Bytes(2*size)) }, nil
}

// heldAnswer is an answer of a plain service that is charged until it is closed.
type heldAnswer struct {
	*register.Answer
	charge *memory.Charge
}

func (answer *heldAnswer) close() {
	if answer != nil {
		answer.charge.Close()
	}
}

// readAnswer reads the whole body of a service's answer. One with a stated length waits for its turn
// before any of it is kept; one without waits for a bounded time while a part of it is.
func (api *API) readAnswer(ctx context.Context, charge *memory.Charge, response *http.Response, watch *serviceWatch) ([]byte, error) {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	if response.ContentLength < 0 {
		bounded, cancel = context.WithTimeout(ctx, memory.StallTime)
		defer cancel()
	}
	watch.waits.Store(true)
	reader := body.Reader{Charge: charge, Now: api.config.Now, Limit: maxAnswerBytes, Waits: true, Reserves: true}
	data, err := reader.ReadAll(bounded, &watchedReader{response.Body, watch}, response.ContentLength)
	if errors.Is(err, memory.ErrNoRoom) {
		return nil, errNoMemory
	}
	return data, err
}

// completionHolder returns who the bytes of an engine's answer are held for.
func completionHolder(model id.Model, endpoint *view.Endpoint) memory.Holder {
	return endpointHolder(string(model), endpoint)
}
