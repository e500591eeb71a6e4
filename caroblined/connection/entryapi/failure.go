package entryapi

import (
	"net/http"
	"time"
)

// failureAnswer is an answer by which an endpoint states that it has failed, read to its end.
type failureAnswer struct {
	attempt  *attempt
	exchange *exchange
	readAt   time.Time
}

// failureAnswer returns an exchange's answer if it is a failure that may be held until it
// is known that no other endpoint answers, and nil otherwise. A 503 isn't held, since callers
// take it to mean that the call hasn't run, nor is an answer without the endpoint's mark,
// which may not be the endpoint's.
func (api *API) failureAnswer(attempt *attempt, exchange *exchange) *failureAnswer {
	switch {
	case !exchange.usable() || !exchange.endpointFailed() || exchange.passing:
		return nil
	case exchange.response.StatusCode == http.StatusServiceUnavailable:
		return nil
	case exchange.response.Header.Get(api.config.Dialect.EndpointMark) == "":
		return nil
	default:
		return &failureAnswer{attempt: attempt, exchange: exchange, readAt: api.config.Now()}
	}
}

// hold keeps an endpoint's failure, which may be nil, unless a later one is held. What isn't kept is
// given back.
func (call *call) hold(failure *failureAnswer) {
	if failure == nil || failure == call.failure {
		return
	}
	if call.failure != nil && failure.readAt.Before(call.failure.readAt) {
		failure.discard()
		return
	}
	call.dropFailure()
	call.failure = failure
	failure.exchange.held = true
}

// dropFailure gives back the failure that the call holds, if it holds one.
func (call *call) dropFailure() {
	if call.failure != nil {
		call.failure.discard()
		call.failure = nil
	}
}

func (failure *failureAnswer) discard() {
	failure.exchange.held = false
	failure.exchange.release()
}

// answerFailure ends a call with the failure of an endpoint, since no other one has answered.
func (api *API) answerFailure(writer http.ResponseWriter, call *call, breakage breakage) result {
	result := api.writeAnswer(writer, call, call.failure.attempt, call.failure.exchange)
	result.breakage = breakage
	return result
}
