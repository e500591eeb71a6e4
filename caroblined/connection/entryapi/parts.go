package entryapi

import (
	"net/http"
	"strings"
	"sync"

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

// requestName is the name of a call's request (package fingerprint), which is found out once.
type requestName struct {
	once sync.Once
	name id.PromptPart
}

// of returns the name. It is made of what the caller sends again unchanged with a new id; the
// body must have been read.
func (name *requestName) of(call *call, dialect *Dialect) id.PromptPart {
	name.once.Do(func() {
		header := call.request.Header
		name.name = fingerprint.Of(
			call.clientAccount, []byte(call.request.Method), []byte(call.request.Host), []byte(call.request.RequestURI), []byte(header.Get(dialect.Model)),
			[]byte(strings.Join(header.Values(dialect.PromptParts), ",")), call.body,
		)
	})
	return name.name
}

// parts is what is known of a call before its body has come.
func (call *call) parts() suspicion.Call {
	return suspicion.Call{ClientAccount: call.clientAccount, Parts: call.sharedParts}
}

// suspicion is what is known of a call whose answer has broken off.
func (api *API) suspicion(call *call) suspicion.Call {
	known := call.parts()
	known.Request = call.requestName.of(call, &api.config.Dialect)
	return known
}

// watched is what is known of a call, with its request only while that matters.
func (api *API) watched(call *call) suspicion.Call {
	if !api.guard.Watches() {
		return call.parts()
	}
	return api.suspicion(call)
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
	return blockedRefusal(api.guard.Check(call.parts()))
}

// refuseBlockedRequest refuses a call whose request is blocked, as is known once its body has
// come.
func (api *API) refuseBlockedRequest(call *call) *refusal {
	return blockedRefusal(api.guard.Check(api.watched(call)))
}

// takePermit is refuseBlocked as the last step before a send: a call that is the trial of a
// block uses it up.
func (api *API) takePermit(call *call) *refusal {
	return blockedRefusal(api.guard.Take(api.watched(call)))
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
	api.guard.Began(api.watched(call))
}

// recordFailed records that an endpoint's answer broke off.
func (api *API) recordFailed(call *call, attempt *attempt) {
	call.brokenAt = attempt.endpoint
	if !attempt.begun && !attempt.notRun {
		call.breaks++
		api.guard.BrokeOff(call.id, api.suspicion(call), attempt.endpoint)
	}
}

// mayResend reports whether a call that may have run may be sent once more as far as its
// parts are concerned.
func (api *API) mayResend(call *call) bool {
	return call.possibleRuns == 0 || api.guard.MayResend(call.brokenAt, api.suspicion(call), call.breaks)
}
