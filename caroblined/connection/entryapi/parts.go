package entryapi

import (
	"net/http"

	"carobline.dev/core/process/member"
	"carobline.dev/core/request/suspicion"
	"carobline.dev/core/version/view"
)

const (
	// reasonPartsBlocked is the reason of the refusal of a call whose prompt has parts that
	// are blocked, and refusalSuspectParts that of a second send of one under suspicion.
	reasonPartsBlocked  = "parts_blocked"
	refusalSuspectParts = "suspect_parts"
)

func (call *call) suspicion() suspicion.Call {
	return suspicion.Call{ClientAccount: call.clientAccount, Parts: call.sharedParts}
}

// ReportParts adds what the leader is told of the parts of prompts.
func (api *API) ReportParts(usage *member.UsageReported) { api.guard.Report(usage) }

// declines reports whether an endpoint has said that it accepts no calls for now.
func (api *API) declines(endpoint *view.Endpoint) bool {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.Declines(api.config.Now(), endpoint)
}

// refuseBlocked refuses a call whose prompt has parts that are blocked.
func (api *API) refuseBlocked(call *call) *refusal {
	return blockedRefusal(api.guard.Check(call.suspicion()))
}

// takePermit is refuseBlocked as the last step before a send: a call that is the trial of a
// block uses it up.
func (api *API) takePermit(call *call) *refusal {
	return blockedRefusal(api.guard.Take(call.suspicion()))
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
	api.guard.Began(call.suspicion())
}

// recordFailed records that an endpoint's answer broke off.
func (api *API) recordFailed(call *call, attempt *attempt) {
	call.brokenAt = attempt.endpoint
	if !attempt.begun && !attempt.notRun {
		call.breaks++
		api.guard.BrokeOff(call.id, call.suspicion(), attempt.endpoint)
	}
}

// mayResend reports whether a call that may have run may be sent once more as far as its
// parts are concerned.
func (api *API) mayResend(call *call) bool {
	return call.possibleRuns == 0 || api.guard.MayResend(call.brokenAt, call.suspicion(), call.breaks)
}
