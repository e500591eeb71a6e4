package entryapi

import (
	"net/http"
	"strings"
	"sync"

	"carobline.dev/caroblined/request/partsguard"
	"carobline.dev/core/id"
	"carobline.dev/core/process/member"
	"carobline.dev/core/request/fingerprint"
	"carobline.dev/core/request/suspicion"
	"carobline.dev/core/version/view"
)

const (
	// reasonPartsBlocked is the reason of the refusal of a call whose prompt has parts that
	// are blocked, and refusalSuspectParts that of a second send of one under suspicion.
	reasonPartsBlocked  = "parts_blocked"
	refusalSuspectParts = "suspect_parts"
)

// requestName returns a function that finds out, once, the name of a call's request: of what the
// caller sends again unchanged with a new id. The body must have been read. The function may run
// beside a search that goes on with a copy of the call, so that it reads nothing that changes.
func (dialect *Dialect) requestName(call *call) func() id.PromptPart {
	clientAccount, method, host, target, body := call.clientAccount, call.request.Method, call.request.Host, call.request.RequestURI, call.body
	model, parts := call.request.Header.Get(dialect.Model), call.request.Header.Values(dialect.PromptParts)
	return sync.OnceValue(func() id.PromptPart {
		return fingerprint.Of(clientAccount, []byte(method), []byte(host), []byte(target), []byte(model), []byte(strings.Join(parts, ",")), body)
	})
}

// guarded is what the guard receives about a call.
func (call *call) guarded() partsguard.Call {
	return partsguard.Call{ClientAccount: call.clientAccount, Parts: call.sharedParts, Name: call.requestName}
}

// ReportParts adds what the leader receives about the parts of prompts.
func (api *API) ReportParts(usage *member.UsageReported) { api.guard.Report(usage) }

// declines reports whether an endpoint has stated that it accepts no calls for now.
func (api *API) declines(endpoint *view.Endpoint) bool {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.Declines(api.config.Now(), endpoint)
}

// refuseBlocked refuses a call of whose prompt parts are blocked, or, once its body has come, whose
// request is.
func (api *API) refuseBlocked(call *call) *refusal {
	return blockedRefusal(api.guard.Check(call.guarded()))
}

// takePermit is refuseBlocked as the last step before a send: a call that is the trial of a
// block uses it up.
func (api *API) takePermit(call *call) *refusal {
	return blockedRefusal(api.guard.Take(call.guarded()))
}

func blockedRefusal(blocked suspicion.Refusal, refused bool) *refusal {
	if !refused {
		return nil
	}
	refusal := newRefusal(http.StatusServiceUnavailable, reasonPartsBlocked, blocked.RetryAfter)
	refusal.block = blocked.Block
	return refusal
}

// recordBegun records that an endpoint has begun to answer a call.
func (api *API) recordBegun(call *call, attempt *attempt) {
	attempt.begun = true
	api.guard.Began(call.guarded())
}

// recordFailed records that an endpoint's answer broke off.
func (api *API) recordFailed(call *call, attempt *attempt) {
	call.brokenAt = attempt.endpoint
	if !attempt.begun && !attempt.notRun {
		call.breaks++
		api.guard.BrokeOff(call.id, call.guarded(), attempt.endpoint)
	}
}

// mayResend reports whether a call that may have run may be sent once more as far as its
// parts are concerned.
func (api *API) mayResend(call *call) bool {
	return call.possibleRuns == 0 || api.guard.MayResend(call.brokenAt, call.guarded(), call.breaks)
}
