package entryapi

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/suspicion"
	"carobline.dev/core/version/view"
)

// crashCheckDelays are the pauses before the checks whether the process of an endpoint whose
// answer broke off has ended. Its listener may close later than its connections.
var crashCheckDelays = [...]time.Duration{5 * time.Millisecond, 100 * time.Millisecond}

const (
	// crashCheckRetention is how long further calls of a process that has ended are added
	// to its crash. crashCheckInterval is the time until one that goes on is checked again,
	// and crashCheckTimeout bounds one check.
	crashCheckRetention = 5 * time.Second
	crashCheckInterval  = 500 * time.Millisecond
	crashCheckTimeout   = 400 * time.Millisecond
	// maxCheckedCalls bounds the calls that wait for one check.
	maxCheckedCalls = 32
)

const (
	// reasonPartsBlocked is the reason of the refusal of a call whose prompt has parts that
	// are blocked, and refusalSuspectParts that of a second send of one under suspicion.
	reasonPartsBlocked  = "parts_blocked"
	refusalSuspectParts = "suspect_parts"
)

// crashCheck finds out whether an endpoint's process has ended. API.mutex guards it.
type crashCheck struct {
	// calls are those whose answers hadn't begun, while the check runs.
	calls []brokenCall
	// ended is set once the process is known to have ended, and finished when the check
	// is over.
	ended, finished bool
}

// brokenCall is a call whose answer broke off before it had begun.
type brokenCall struct {
	id         id.Request
	suspicion  suspicion.Call
	brokenOnAt time.Time
}

func (call *call) suspicion() suspicion.Call {
	return suspicion.Call{ClientAccount: call.clientAccount, Parts: call.sharedParts}
}

func processOf(endpoint *view.Endpoint) suspicion.Process {
	return suspicion.Process{Host: endpoint.Host, Incarnation: endpoint.Incarnation}
}

// checkCrash finds out whether an endpoint whose answer broke off before it had begun has
// ended. The caller holds the mutex.
func (api *API) checkCrash(now time.Time, call *call, attempt *attempt) {
	if len(call.sharedParts) == 0 || attempt.begun || attempt.notRun || api.config.Reach == nil {
		return
	}
	broken := brokenCall{call.id, call.suspicion(), now}
	process := processOf(attempt.endpoint)
	check := api.crashChecks[process]
	switch {
	case check == nil:
		check = &crashCheck{calls: []brokenCall{broken}}
		api.crashChecks[process] = check
		api.goroutines.Go(func() { api.runCrashCheck(attempt.endpoint, check) })
	case check.ended:
		api.recordCrashedCall(now, attempt.endpoint, broken)
	case !check.finished && len(check.calls) < maxCheckedCalls:
		check.calls = append(check.calls, broken)
	}
}

// runCrashCheck carries out a check, and keeps its result for crashCheckRetention.
func (api *API) runCrashCheck(endpoint *view.Endpoint, check *crashCheck) {
	ended := api.hasEnded(endpoint)
	now := api.config.Now()
	api.mutex.Lock()
	check.ended, check.finished = ended, true
	if ended {
		for _, broken := range check.calls {
			api.recordCrashedCall(now, endpoint, broken)
		}
	}
	check.calls = nil
	api.mutex.Unlock()
	retention := crashCheckRetention
	if !ended {
		retention = crashCheckInterval
	}
	api.sleep(retention)
	api.mutex.Lock()
	defer api.mutex.Unlock()
	delete(api.crashChecks, processOf(endpoint))
}

// hasEnded reports whether the process of an endpoint has ended unplanned: its address
// refuses connections, and neither control nor the endpoint has said that it is to go.
// A connection that can't be opened in time proves nothing.
func (api *API) hasEnded(endpoint *view.Endpoint) bool {
	for _, delay := range crashCheckDelays {
		if !api.sleep(delay) {
			return false
		}
		ctx, cancel := context.WithTimeout(api.stopCtx, crashCheckTimeout)
		refused := rest.Refused(api.config.Reach(ctx, endpoint.Address))
		cancel()
		if refused {
			return api.wasToStay(endpoint)
		}
	}
	return false
}

// wasToStay reports whether an endpoint accepts calls as far as control and its own answers
// have said.
func (api *API) wasToStay(endpoint *view.Endpoint) bool {
	current := api.config.View().Endpoints[endpoint.Name]
	if current == nil || !current.Accepting || current.Host != endpoint.Host || current.Incarnation != endpoint.Incarnation {
		return false
	}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return !api.balancer.Declines(api.config.Now(), endpoint)
}

// sleep pauses and reports whether the host goes on.
func (api *API) sleep(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-api.stopCtx.Done():
		return false
	}
}

// recordCrashedCall records a call that was at an endpoint which has ended. The caller holds
// the mutex.
func (api *API) recordCrashedCall(now time.Time, endpoint *view.Endpoint, broken brokenCall) {
	parts := api.suspicion.Ended(now, processOf(endpoint), broken.suspicion)
	metrics.GetOrRegisterCounter("entry.crashed_calls", api.config.Metrics).Inc(1)
	api.config.Log.Info().Str("step", "crash").Str("request", string(broken.id)).Str("host", string(endpoint.Host)).
		Int64("age_ms", now.Sub(broken.brokenOnAt).Milliseconds()).Interface("suspect_parts", parts[:min(len(parts), maxLoggedParts)]).
		Msg("the endpoint's process has ended before the call's answer began")
}

// recordBegun records that an endpoint has begun to answer a call. The caller holds the
// mutex.
func (api *API) recordBegun(now time.Time, call *call, attempt *attempt) {
	attempt.begun = true
	api.suspicion.Began(now, call.sharedParts)
}

// refuseBlocked refuses a call whose prompt has parts that are blocked.
func (api *API) refuseBlocked(now time.Time, call *call) *refusal {
	if len(call.sharedParts) == 0 {
		return nil
	}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	blocked, ok := api.suspicion.Check(now, call.suspicion())
	if !ok {
		return nil
	}
	return api.blockedRefusal(blocked)
}

// takePermit is refuseBlocked as the last step before a send: a call that is the trial of a
// block uses it up.
func (api *API) takePermit(now time.Time, call *call) *refusal {
	if len(call.sharedParts) == 0 {
		return nil
	}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	if api.suspicion.Use(call.suspicion()) {
		return nil
	}
	blocked, _ := api.suspicion.Check(now, call.suspicion())
	return api.blockedRefusal(blocked)
}

func (api *API) blockedRefusal(blocked suspicion.Refusal) *refusal {
	metrics.GetOrRegisterCounter("entry.blocked_calls", api.config.Metrics).Inc(1)
	refusal := newRefusal(http.StatusServiceUnavailable, reasonPartsBlocked, blocked.RetryAfter)
	refusal.block = blocked.Block
	return refusal
}

// Suspicions returns what the leader is told of endpoints that ended, of the parts that it
// asks about, and of the blocks under which calls were refused.
func (api *API) Suspicions() ([]feed.ObservedCrash, []id.PromptPart, []feed.WantedTrial) {
	now := api.config.Now()
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.suspicion.Crashes(now), api.suspicion.SoundParts(now), api.suspicion.WantedTrials(now)
}

// mayResend reports whether a call that may have run may be sent once more as far as its
// parts are concerned.
func (api *API) mayResend(call *call) bool {
	if len(call.sharedParts) == 0 || call.possibleRuns == 0 {
		return true
	}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.suspicion.MayResend(api.config.Now(), call.brokenAt, call.suspicion())
}
