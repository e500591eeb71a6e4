package callerapi

import (
	"fmt"
	"net/http"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/request/suspicion"
)

// blockedError returns the error for a caller whose request, or parts of whose prompt, are
// blocked, or nil.
func blockedError(blocked suspicion.Refusal, refused bool) *rest.Error {
	if !refused {
		return nil
	}
	restError := rest.NotRun(http.StatusServiceUnavailable, "parts_blocked", fmt.Sprintf(
		"engines have ended as they began to answer this request, or others with the same messages (block %s); change it, or ask your operator", blocked.Block))
	restError.RetryAfter = blocked.RetryAfter
	return restError
}

// mayResend reports whether the call may be sent to another engine as far as the parts of its
// prompt are concerned.
func (relay *relay) mayResend() bool {
	return relay.breaks == 0 || relay.delivered() > 0 || relay.api.config.Guard.MayResend(relay.admission.Endpoint(), relay.parts, relay.breaks)
}

// recordBrokenOff records an attempt whose engine broke off before the answer had begun.
func (relay *relay) recordBrokenOff(attempt *attempt, err error) {
	if err == nil || attempt.ctx.Err() != nil || relay.delivered() > 0 || endpoint.Unsent(err) || showsProcess(err) || errors.Is(err, errCallerGone) {
		return
	}
	relay.breaks++
	relay.api.config.Guard.BrokeOff(relay.call.id, relay.parts, attempt.endpoint)
}

// showsProcess reports a failed attempt whose engine has written a whole head, of whatever answer: its process runs.
func showsProcess(err error) bool {
	var engineError *engineError
	return errors.As(err, &engineError) || endpoint.Answered(err)
}
