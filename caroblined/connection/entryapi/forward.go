package entryapi

import (
	"context"
	"net/http"
	"time"

	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/view"
)

// attempt is one send of a call to one endpoint.
type attempt struct {
	endpoint  *view.Endpoint
	decision  balancer.Decision
	queueTime time.Duration
	// sentAt is when the endpoint was assigned, immediately before the send.
	sentAt time.Time
	// begun reports that the endpoint has begun to answer, and notRun that it has certainly
	// not run the call.
	begun, notRun bool
	// across reports that the endpoint is in another data centre.
	across bool
}

// result returns the result of a call that this attempt has ended.
func (attempt *attempt) result(status int, reason, outcome string, err error) result {
	return result{
		status: status, reason: reason, outcome: outcome, endpoint: attempt.endpoint.Name, host: attempt.endpoint.Host,
		queueTime: attempt.queueTime, running: attempt.decision.Running, limit: attempt.decision.Limit, err: err, across: attempt.across,
	}
}

// forward sends a call to one endpoint after another until one gives an answer
// that can be passed on, or no further attempt is allowed.
func (api *API) forward(ctx context.Context, writer http.ResponseWriter, call *call) result {
	var lastResult result
	for sends := 0; ; sends++ {
		attempt, refusal := api.acquire(ctx, call)
		if refusal != nil {
			if sends > 0 {
				api.retryBudget.Refund()
			}
			return api.failWithoutEndpoint(ctx, writer, call, lastResult, refusal)
		}
		attempt, exchange := api.send(ctx, call, attempt)
		if exchange.usable() {
			if exchange.events != nil {
				return api.stream(ctx, writer, call, attempt, exchange)
			}
			return api.answer(ctx, writer, call, attempt, exchange)
		}
		api.finishAttempt(call, attempt, exchange.ending(ctx))
		lastResult = attempt.result(0, exchange.reason, "", exchange.err)
		lastResult.framing = exchange.framing()
		if lastResult.breakage.retryRefusal = api.retryRefusal(ctx, call, exchange); lastResult.breakage.retryRefusal != "" {
			return api.fail(ctx, writer, call, lastResult, exchange)
		}
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
	case !api.mayResend(call):
		return refusalSuspectParts
	case !api.retryBudget.Spend():
		return refusalBudget
	default:
		return ""
	}
}

// answer ends a call with an answer that was read to its end, or that is passed on as it comes.
func (api *API) answer(ctx context.Context, writer http.ResponseWriter, call *call, attempt *attempt, exchange *exchange) result {
	if exchange.passing {
		return api.passThrough(ctx, writer, call, attempt, exchange)
	}
	result := api.writeAnswer(writer, call, attempt, exchange)
	api.recordAnswer(call, attempt, exchange)
	api.finishAttempt(call, attempt, balancer.Served)
	return result
}

// writeAnswer passes on an answer that was read to its end.
func (api *API) writeAnswer(writer http.ResponseWriter, call *call, attempt *attempt, exchange *exchange) result {
	exchange.cancel()
	callerWriter := api.newCallerWriter(writer, call, exchange)
	defer callerWriter.close()
	copyHeaders(writer.Header(), exchange.response.Header)
	writer.WriteHeader(exchange.response.StatusCode)
	err := callerWriter.write(exchange.body)
	result := attempt.result(exchange.response.StatusCode, "answered", "ran", err)
	result.framing = exchange.framing()
	// The end of the connection would complete an answer without a length.
	result.abort = err != nil
	return result
}

// fail answers a call whose last attempt gave no answer that can be passed on.
func (api *API) fail(ctx context.Context, writer http.ResponseWriter, call *call, lastResult result, exchange *exchange) result {
	status, outcome := possibleRunStatus(ctx), "unknown"
	switch {
	case call.request.Context().Err() != nil:
		lastResult.status, lastResult.outcome, lastResult.abort = statusClientClosedRequest, outcome, true
		return lastResult
	case call.failure != nil:
		return api.answerFailure(writer, call, lastResult.breakage)
	case call.possibleRuns == 0 && exchange.notRun:
		status, outcome = http.StatusServiceUnavailable, "not_run"
	}
	refused := api.refuse(writer, call, newRefusal(status, lastResult.reason, defaultRetryAfter))
	lastResult.status, lastResult.outcome = refused.status, outcome
	return lastResult
}

// possibleRunStatus returns the status for a call that may have run and whose caller has got
// nothing yet. Neither of the two states that it hasn't.
func possibleRunStatus(ctx context.Context) int {
	if ctx.Err() != nil {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
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
	if call.failure != nil {
		return api.answerFailure(writer, call, breakage{retryRefusal: refusal.reason})
	}
	if call.possibleRuns > 0 {
		refusal.status, refusal.retryAfter = possibleRunStatus(ctx), 0
	}
	refused := api.refuse(writer, call, refusal)
	if call.possibleRuns > 0 {
		refused.outcome = "unknown"
	}
	refused.breakage = lastResult.breakage
	refused.endpoint, refused.host, refused.err = lastResult.endpoint, lastResult.host, lastResult.err
	return refused
}
