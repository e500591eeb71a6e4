package entryapi

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/request/balancer"
)

// minTimeLeft is the least time before its deadline with which a request is still sent.
const minTimeLeft = 20 * time.Millisecond

// errCallEnded reports that the caller has disconnected or its deadline has
// passed.
var errCallEnded = errors.New("the caller has gone or the deadline has passed")

// acquire waits for an endpoint. As the last step before the send it checks
// that the request is still allowed.
func (api *API) acquire(ctx context.Context, call *call) (*attempt, *refusal) {
	queuedAt := api.config.Now()
	balancerCall := balancer.Call{
		Number: balancer.Number(api.lastCallNumber.Add(1)), Pool: call.pool, Priority: call.priority,
		Due: call.arrivedAt.Add(call.route.Target()), Target: call.route.Target(), Deadline: call.deadline, Work: call.work.Seconds(), Ranked: call.ranked(), Tried: call.tried, Failover: len(call.tried) > 0, Late: call.late,
		RunningAt: call.runningAt,
	}
	if balancerCall.Failover {
		balancerCall.Due = queuedAt.Add(call.route.Target())
	}
	if call.late && !balancerCall.Failover {
		api.countShed(shedLate, call.priority)
	}
	decision, err := api.awaitAllowedEndpoint(ctx, balancerCall)
	if err != nil {
		return nil, newRefusal(http.StatusServiceUnavailable, "gave_up_waiting", defaultRetryAfter)
	}
	if decision.Verdict == balancer.VerdictRefuse {
		if decision.Reason == balancer.ReasonNoCapacity {
			api.countShed(shedRefused, call.priority)
		}
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: string(decision.Reason), retryAfter: decision.RetryAfter, decision: decision}
	}
	now := api.config.Now()
	attempt := &attempt{endpoint: decision.Endpoint, decision: decision, queueTime: now.Sub(queuedAt), sentAt: now}
	if refusal := api.recheck(now, call); refusal != nil {
		api.finishAttempt(call, attempt, balancer.Abandoned)
		return nil, refusal
	}
	if refusal := api.takePermit(call); refusal != nil {
		api.finishAttempt(call, attempt, balancer.Abandoned)
		return nil, refusal
	}
	if api.config.View().Evacuated(attempt.endpoint.DataCentre) {
		api.finishAttempt(call, attempt, balancer.Abandoned)
		return nil, newRefusal(http.StatusServiceUnavailable, string(balancer.ReasonEvacuated), defaultRetryAfter)
	}
	if call.deadline.Sub(now) < minTimeLeft || ctx.Err() != nil {
		api.finishAttempt(call, attempt, balancer.Abandoned)
		return nil, newRefusal(http.StatusServiceUnavailable, "no_time_left", defaultRetryAfter)
	}
	api.countSend(attempt)
	return attempt, nil
}

// awaitAllowedEndpoint waits for an endpoint whose data centre isn't evacuated by the latest
// view. The balancer gets a view a moment after it is published, so that it may choose an
// evacuated one once; the call is then submitted again.
func (api *API) awaitAllowedEndpoint(ctx context.Context, balancerCall balancer.Call) (balancer.Decision, error) {
	decision, err := api.awaitEndpoint(ctx, balancerCall)
	current := api.config.View()
	if err != nil || decision.Verdict != balancer.VerdictGo || !current.Evacuated(decision.Endpoint.DataCentre) {
		return decision, err
	}
	api.mutex.Lock()
	now := api.config.Now()
	api.deliver(api.balancer.Update(now, current))
	api.deliver(api.balancer.Done(now, balancerCall, decision.Endpoint.Name, balancer.Abandoned))
	api.mutex.Unlock()
	return api.awaitEndpoint(ctx, balancerCall)
}

// countSend counts the calls that are sent to the own data centre and to others.
func (api *API) countSend(attempt *attempt) {
	if api.config.DataCentre == "" || attempt.endpoint.DataCentre == "" {
		return
	}
	attempt.across = attempt.endpoint.DataCentre != api.config.DataCentre
	if attempt.across {
		api.sentAcross.Inc(1)
	} else {
		api.sentWithin.Inc(1)
	}
}

// awaitEndpoint submits a call to the balancer and waits for its decision.
func (api *API) awaitEndpoint(ctx context.Context, balancerCall balancer.Call) (balancer.Decision, error) {
	api.mutex.Lock()
	now := api.config.Now()
	decision := api.balancer.Submit(now, balancerCall)
	if decision.Verdict != balancer.VerdictWait {
		api.mutex.Unlock()
		return decision, nil
	}
	decided := make(chan balancer.Decision, 1)
	api.decisionByCall[balancerCall.Number] = decided
	api.mutex.Unlock()
	api.countShed(shedDelayed, balancerCall.Priority)
	timer := time.NewTimer(decision.WaitUntil.Sub(now))
	defer timer.Stop()
	select {
	case decision := <-decided:
		return decision, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return api.cancelWait(ctx, balancerCall, decided)
}

// cancelWait removes a call from the queue. If the balancer has decided on it in
// the meantime, it returns that decision.
func (api *API) cancelWait(ctx context.Context, balancerCall balancer.Call, decided chan balancer.Decision) (balancer.Decision, error) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	decision, waited := api.balancer.Cancel(api.config.Now(), balancerCall)
	if !waited {
		return <-decided, nil
	}
	delete(api.decisionByCall, balancerCall.Number)
	if ctx.Err() != nil {
		return balancer.Decision{}, errCallEnded
	}
	return decision, nil
}

// recheck admits a request again when the view has changed while it waited. The call keeps
// its pool if the new route still sends calls to that service. A call that may have run is
// also held to whether, and how often, the new route's calls are repeated.
func (api *API) recheck(now time.Time, call *call) *refusal {
	if refusal := api.refuseBeforeStop(now, call); refusal != nil && call.possibleRuns == 0 {
		return refusal
	}
	current := api.config.View()
	if !current.AcceptsNewWork(now) {
		return closingConnection(newRefusal(http.StatusServiceUnavailable, "state_out_of_force", defaultRetryAfter))
	}
	if current.Routing == call.table {
		return nil
	}
	pool := call.pool
	if refusal := api.admit(call); refusal != nil {
		return refusal
	}
	if reason := call.repeatRefusal(); reason != "" {
		return newRefusal(http.StatusServiceUnavailable, reason, 0)
	}
	for _, backend := range call.route.Backends {
		if backend.Service == pool.Service && backend.Weight > 0 {
			call.pool = pool
			return nil
		}
	}
	return newRefusal(http.StatusServiceUnavailable, "route_moved", defaultRetryAfter/10)
}

// repeatRefusal returns why the route doesn't allow a call to be sent once more, if an
// endpoint may have run it. It returns "" when it does.
func (call *call) repeatRefusal() string {
	switch {
	case call.possibleRuns == 0:
		return ""
	case !call.route.Idempotent():
		return refusalNotIdempotent
	case call.possibleRuns >= call.route.Attempts:
		return refusalAttempts
	default:
		return ""
	}
}

// recordAnswerTime reports to the balancer the time from the send to the first
// event of a stream, or to the end of any other answer.
func (api *API) recordAnswerTime(call *call, attempt *attempt) {
	api.recordBegun(call, attempt)
	api.observeAnswerTime(call, attempt)
}

func (api *API) observeAnswerTime(call *call, attempt *attempt) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	now := api.config.Now()
	api.balancer.ObserveFirstEvent(now, call.pool, attempt.endpoint.Name, now.Sub(attempt.sentAt))
}

// recordAnswer is recordAnswerTime for an answer that was read to its end. One by which the
// endpoint states that it has failed proves no part of the prompt sound.
func (api *API) recordAnswer(call *call, attempt *attempt, exchange *exchange) {
	if !exchange.endpointFailed() {
		api.recordBegun(call, attempt)
	}
	api.observeAnswerTime(call, attempt)
}

func (api *API) finishAttempt(call *call, attempt *attempt, ending balancer.Ending) {
	if ending == balancer.Failed {
		api.recordFailed(call, attempt)
	}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.deliver(api.balancer.Done(api.config.Now(), balancer.Call{Pool: call.pool}, attempt.endpoint.Name, ending))
}

// reserve takes a retry from the budget and an endpoint for it. It returns the reason when
// one of them isn't available.
func (api *API) reserve(ctx context.Context, call *call) (*attempt, string) {
	switch {
	case ctx.Err() != nil:
		return nil, errCallEnded.Error()
	case !call.route.Idempotent():
		return nil, refusalNotIdempotent
	case call.possibleRuns >= call.route.Attempts:
		return nil, refusalAttempts
	case !api.mayResend(call):
		return nil, refusalSuspectParts
	case !api.retryBudget.Spend():
		return nil, refusalBudget
	}
	attempt, refusal := api.acquire(ctx, call)
	if refusal != nil {
		api.retryBudget.Refund()
		return nil, refusal.reason
	}
	return attempt, ""
}
