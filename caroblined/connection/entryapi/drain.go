package entryapi

import (
	"maps"
	"net/http"
	"time"

	"carobline.dev/core/request/estimate"
	"carobline.dev/core/version/routing"
)

const (
	// otherHostRetryAfter is the Retry-After of a call that another entry host may
	// take at once.
	otherHostRetryAfter = 50 * time.Millisecond
	// answerTimeDeviations is the number of deviations above the usual time to the
	// end of an answer within which nearly all answers end.
	answerTimeDeviations = 4
)

// drain is the planned stop of the entry host.
type drain struct {
	// noticedAt is when the load balancer in front of the entry hosts has noticed the
	// stop and sends callers to other hosts.
	noticedAt time.Time
	// stopsAt is when the host ends the calls that still run.
	stopsAt time.Time
}

// answersInTime reports whether a call is answered to its end before the host
// stops. For a call that must not repeat only its deadline is proof of that. A call
// that may be repeated is also taken until noticedAt, since its caller has no other host
// before, if the answers of its route usually end in time.
func (drain *drain) answersInTime(now time.Time, call *call, answerTime estimate.Estimate) bool {
	if !call.deadline.After(drain.stopsAt) {
		return true
	}
	if !call.route.Idempotent() || !now.Before(drain.noticedAt) || !answerTime.Known() {
		return false
	}
	return !now.Add(answerTime.UpperBound(answerTimeDeviations)).After(drain.stopsAt)
}

// Drain prepares for the stop of the host: every answer from now on closes its
// connection, and a call whose answer may not end before stopsAt is refused as not
// run. At noticedAt the load balancer in front of the entry hosts has noticed the stop.
func (api *API) Drain(noticedAt, stopsAt time.Time) {
	api.drain.Store(&drain{noticedAt: noticedAt, stopsAt: stopsAt})
}

// Stop ends all calls. Callers whose answer hasn't begun are informed.
func (api *API) Stop() {
	api.stop()
	api.guard.Close()
}

// refuseBeforeStop refuses a call that may not be answered before the host stops.
func (api *API) refuseBeforeStop(now time.Time, call *call) *refusal {
	drain := api.drain.Load()
	if drain == nil || (api.stopCtx.Err() == nil && drain.answersInTime(now, call, api.answerTime(call.route))) {
		return nil
	}
	return closingConnection(newRefusal(http.StatusServiceUnavailable, "host_stopping", otherHostRetryAfter))
}

// answerTime returns the estimate of the time from a call's arrival to the end of
// its answer.
func (api *API) answerTime(route *routing.Route) estimate.Estimate {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.answerTimeByRoute[route.Name]
}

func (api *API) recordAnswerEnd(route *routing.Route, elapsed time.Duration) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	answerTime := api.answerTimeByRoute[route.Name]
	answerTime.Record(elapsed)
	api.answerTimeByRoute[route.Name] = answerTime
}

// forgetDroppedRoutes removes the estimates of routes that a declaration has
// dropped. The caller holds the mutex.
func (api *API) forgetDroppedRoutes(table *routing.Table) {
	if table == nil || table == api.table {
		return
	}
	api.table = table
	declared := map[string]bool{}
	for index := range table.Declaration().Routes {
		declared[table.Declaration().Routes[index].Name] = true
	}
	maps.DeleteFunc(api.answerTimeByRoute, func(route string, _ estimate.Estimate) bool { return !declared[route] })
}
