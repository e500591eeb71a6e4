// Package balancer decides for one entry host which endpoint a routed call is
// sent to, whether it waits, and when it is refused. It counts the calls in
// progress of its own entry host, takes the latest counts of the other entry
// hosts from the view, and records which endpoints have failed recently.
//
// Calls for one pool of endpoints wait in order of priority and then of their
// due time. Late calls, whose answer misses its target in any case, come after
// those of equal priority that can still be on time. A call may wait until its
// due time less the usual time to the first event of an answer, and is refused
// at once when the calls before it would keep it longer: under overload, a
// longer queue makes all answers late and serves no more calls.
//
// # Usage
//
//	decision := pools.Submit(now, call)
//	switch decision.Verdict {
//	case balancer.VerdictGo:     // send to decision.Endpoint, then Done
//	case balancer.VerdictWait:   // until a later decision names the call
//	case balancer.VerdictRefuse: // not run; retry after decision.RetryAfter
//	}
//	for _, decision := range pools.Done(now, call, endpoint, balancer.Served) { ... }
package balancer

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/coldlimit"
	"carobline.dev/core/request/locality"
	"carobline.dev/core/request/notice"
	"carobline.dev/core/request/shedding"
	"carobline.dev/core/version/view"
)

// The load of an endpoint is its calls in progress divided by its slots.
const (
	// failoverMaxLoad is the load below which an endpoint takes calls that have
	// lost another endpoint.
	failoverMaxLoad = 1.5
	// minQueueLength is the number of calls that may wait whatever the
	// estimated wait, since no departure rate is known at first.
	minQueueLength = 2
	// minMaxWait is the shortest time that a queued call may wait.
	minMaxWait = 20 * time.Millisecond
	// noEndpointRetryAfter is the RetryAfter for a pool without endpoints.
	noEndpointRetryAfter = time.Second
	// minEvacuatedRetryAfter is the shortest RetryAfter for a pool whose endpoints are all in
	// evacuated data centres.
	minEvacuatedRetryAfter = 500 * time.Millisecond
)

// Pool names the endpoints that may serve a call: those of a plain service, or
// the groups of one model of a service of engines.
type Pool struct {
	Service id.Service
	Model   id.Model
}

// Number identifies a call in progress at this entry host.
type Number uint64

// Call is one call that needs an endpoint.
type Call struct {
	Number Number
	Pool   Pool
	// Priority ranks the call; 0 is served first.
	Priority int
	// Due is when its answer, or the first event of it, should be there.
	Due time.Time
	// Target is that of the call's route. Without one the call has no preference for the
	// own data centre.
	Target time.Duration
	// Late is set when the caller has already waited past its target in an
	// earlier attempt.
	Late bool
	// Ranked is set where routes to engines differ in priority. Slots are then reserved for more
	// urgent calls in a shortage, and refused callers are spread over time.
	Ranked bool
	// Deadline is until when its caller waits. It is zero where that isn't known.
	Deadline time.Time
	// Work is an estimate of the time that the call takes of an endpoint, in any one unit. It orders calls that are due
	// at about the same time.
	Work float64
	// Tried lists the endpoints that the call isn't sent to again.
	Tried []feed.Endpoint
	// Failover marks a call that has lost an endpoint that it was running on.
	// It goes before other calls and may go to an endpoint without free slots,
	// since the work done for it would be lost.
	Failover bool
	// RunningAt is the endpoint at which the call goes on if it is refused, so that no
	// caller comes back for it. It is sent only to endpoints that go on while its own is
	// unresponsive.
	RunningAt feed.Endpoint
}

// running reports whether the call runs at an endpoint.
func (call *Call) running() bool { return call.RunningAt != feed.Endpoint{} }

// shed returns what the shedding policy needs about the call.
func (call *Call) shed() shedding.Call {
	return shedding.Call{Priority: call.Priority, Late: call.Late, Due: call.Due, Work: call.Work}
}

// Verdict is the kind of a Decision.
type Verdict string

// The verdicts.
const (
	VerdictGo     Verdict = "go"
	VerdictWait   Verdict = "wait"
	VerdictRefuse Verdict = "refuse"
)

// Reason is the cause of a refusal.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonNoCapacity Reason = "no_room"
	// ReasonEvacuated is that of a pool whose only endpoints are in evacuated data centres.
	ReasonEvacuated Reason = "evacuated"
)

// Decision is the result of submitting one call, or a later one for a call that
// waited.
type Decision struct {
	Call     Number
	Verdict  Verdict
	Endpoint *view.Endpoint
	Reason   Reason
	// RetryAfter is set for refused calls.
	RetryAfter time.Duration
	// Running and Limit are the known calls in progress and the slots of the
	// endpoint, or of the whole pool for a call that waits or is refused.
	Running, Limit int
	// WaitUntil is when the caller should cancel a call that waits.
	WaitUntil time.Time
	// Waiting is the number of calls that waited before it.
	Waiting int
}

// Ending is how a call ended at an endpoint.
type Ending string

// The endings.
const (
	// Served calls got an answer from the endpoint.
	Served Ending = "served"
	// Full endpoints refused the call for lack of capacity.
	Full Ending = "full"
	// Stalled endpoints sent no more events to any of their calls.
	Stalled Ending = "stalled"
	// Failed endpoints broke off, couldn't be reached or timed out.
	Failed Ending = "failed"
	// Abandoned calls were given up for reasons other than the endpoint.
	Abandoned Ending = "abandoned"
)

// Balancer holds the pools of one entry host. It isn't safe for concurrent use.
type Balancer struct {
	view *view.View
	rand *rand.Rand
	// salt makes quotaRounding differ between entry hosts.
	salt            [8]byte
	stateByEndpoint map[feed.Endpoint]*endpointState
	queueByPool     map[Pool]*queue
	notices         *notice.Notices
	cold            *coldlimit.Limiter
	locality        *locality.Preference
	// slow holds the endpoints whose begins.slow is set.
	slow map[feed.Endpoint]bool
	near nearScratch
}

// New returns a balancer that has no endpoints.
func New(source *rand.Rand) *Balancer {
	balancer := &Balancer{view: view.Empty(), rand: source, stateByEndpoint: map[feed.Endpoint]*endpointState{}, queueByPool: map[Pool]*queue{}, notices: notice.New(), cold: coldlimit.New(), locality: locality.New(""), slow: map[feed.Endpoint]bool{}}
	binary.LittleEndian.PutUint64(balancer.salt[:], source.Uint64())
	return balancer
}

// SetDataCentre sets the data centre of the entry host. It is called before the first Update.
func (balancer *Balancer) SetDataCentre(own id.DataCentre) { balancer.locality = locality.New(own) }

// Update takes a new view and returns the decisions for waiting calls that may
// go now.
func (balancer *Balancer) Update(now time.Time, current *view.View) []Decision {
	balancer.view = current
	balancer.locality.Update(current.Routing)
	for endpoint, state := range balancer.stateByEndpoint {
		if state.running == 0 && current.Endpoints[endpoint] == nil && !now.Before(state.avoidUntil) && !now.Before(state.inactivity.avoidUntil) {
			delete(balancer.stateByEndpoint, endpoint)
			delete(balancer.slow, endpoint)
		}
	}
	balancer.notices.Forget(now)
	return balancer.dispatchWaiting(now)
}

// Submit decides whether a new call goes to an endpoint, waits or is refused.
func (balancer *Balancer) Submit(now time.Time, call Call) Decision {
	endpoints := balancer.available(now, call.Pool)
	if len(endpoints) == 0 {
		return balancer.refuseWithoutEndpoint(now, call)
	}
	queue := balancer.queue(call.Pool)
	if !balancer.anyFits(now, call, endpoints) {
		return balancer.refuse(now, queue, call, balancer.poolIdle(now, endpoints), Decision{Call: call.Number})
	}
	if call.Ranked {
		queue.policy.Observe(now, call.shed())
	}
	balancer.observeLoad(now, queue, endpoints)
	ahead, mayPass := queuedAhead(queue, call)
	if mayPass {
		if decision, ok := balancer.assign(now, call, endpoints); ok {
			return decision
		}
	}
	queue.policy.Delay(now, call.shed())
	running, limit := balancer.poolLoad(endpoints)
	rate := queue.departureRate(now, balancer.poolIdle(now, endpoints))
	wait := time.Duration(float64(ahead+1) / max(rate, 1) * float64(time.Second))
	maxWait := queue.maxWait(now, call)
	if wait > maxWait && ahead >= minQueueLength {
		return balancer.refuse(now, queue, call, balancer.poolIdle(now, endpoints), Decision{Call: call.Number, Running: running, Limit: limit, Waiting: ahead})
	}
	queue.waiting = append(queue.waiting, call)
	queue.sort()
	return Decision{
		Call: call.Number, Verdict: VerdictWait, Running: running, Limit: limit, Waiting: ahead,
		WaitUntil: now.Add(max(minMaxWait, maxWait)),
	}
}

// ObserveTimeToFirstEvent records the time from sending a call to the first
// event of its answer.
func (balancer *Balancer) ObserveTimeToFirstEvent(pool Pool, elapsed time.Duration) {
	queue := balancer.queue(pool)
	if queue.timeToFirstEvent == 0 {
		queue.timeToFirstEvent = elapsed
		return
	}
	queue.timeToFirstEvent += time.Duration(firstEventWeight * float64(elapsed-queue.timeToFirstEvent))
}

// Cancel removes a waiting call and returns its refusal; it returns false when
// the call no longer waits.
func (balancer *Balancer) Cancel(now time.Time, call Call) (Decision, bool) {
	queue := balancer.queue(call.Pool)
	index := slices.IndexFunc(queue.waiting, func(other Call) bool { return other.Number == call.Number })
	if index < 0 {
		return Decision{}, false
	}
	call = queue.waiting[index]
	queue.waiting = slices.Delete(queue.waiting, index, index+1)
	endpoints := balancer.available(now, call.Pool)
	running, limit := balancer.poolLoad(endpoints)
	return balancer.refuse(now, queue, call, balancer.poolIdle(now, endpoints), Decision{Call: call.Number, Running: running, Limit: limit, Waiting: index}), true
}

// Done records how a call ended at an endpoint and returns the decisions for
// waiting calls that may go now.
func (balancer *Balancer) Done(now time.Time, call Call, endpoint feed.Endpoint, ending Ending) []Decision {
	balancer.queue(call.Pool).recordDeparture(now, balancer.poolIdle(now, balancer.endpoints(call.Pool)))
	state := balancer.state(endpoint)
	state.running = max(0, state.running-1)
	balancer.recordEnding(now, state, ending)
	return balancer.dispatchWaiting(now)
}

// DivertedCalls returns how many calls have gone to an endpoint since the limit of a cold one
// with room didn't allow them there. It is safe for concurrent use.
func (balancer *Balancer) DivertedCalls() int64 { return balancer.cold.Diverted() }

// Running counts this entry host's calls in progress by endpoint.
func (balancer *Balancer) Running() map[feed.Endpoint]int {
	running := map[feed.Endpoint]int{}
	for endpoint, state := range balancer.stateByEndpoint {
		if state.running > 0 {
			running[endpoint] = state.running
		}
	}
	return running
}

// refuseWithoutEndpoint refuses a call whose pool has no endpoint that accepts requests.
func (balancer *Balancer) refuseWithoutEndpoint(now time.Time, call Call) Decision {
	decision := Decision{Call: call.Number, Verdict: VerdictRefuse, Reason: ReasonNoEndpoint, RetryAfter: balancer.firstBack(now, call.Pool)}
	if balancer.evacuated(call.Pool) {
		decision.Reason = ReasonEvacuated
		// Callers would return together at the end of the evacuation otherwise.
		decision.RetryAfter = minEvacuatedRetryAfter + time.Duration(balancer.rand.Float64()*float64(maxRetryAfter-minEvacuatedRetryAfter))
	}
	return decision
}

// evacuated reports whether all endpoints that a pool has left are in evacuated data centres.
func (balancer *Balancer) evacuated(pool Pool) bool {
	if len(balancer.endpoints(pool)) > 0 {
		return false
	}
	if pool.Model != "" {
		return balancer.view.EvacuatedModels[pool.Model]
	}
	return balancer.view.EvacuatedServices[pool.Service]
}

// refuseEvacuated refuses the calls that wait for a pool whose endpoints are evacuated: none
// would be served before its due time.
func (balancer *Balancer) refuseEvacuated(now time.Time, queue *queue) []Decision {
	var decisions []Decision
	for _, call := range queue.waiting {
		decisions = append(decisions, balancer.refuseWithoutEndpoint(now, call))
	}
	queue.waiting = nil
	return decisions
}

// dispatchWaiting assigns endpoints to waiting calls, in order, while there is
// capacity. Once no endpoint takes a call that may go to any, other calls of the same
// limits are skipped, but those of others are still tried.
func (balancer *Balancer) dispatchWaiting(now time.Time) []Decision {
	var decisions []Decision
	for _, pool := range balancer.poolsWithWaiting() {
		queue := balancer.queueByPool[pool]
		if balancer.evacuated(pool) {
			decisions = append(decisions, balancer.refuseEvacuated(now, queue)...)
			continue
		}
		endpoints := balancer.available(now, pool)
		balancer.observeLoad(now, queue, endpoints)
		queue.sort()
		full := map[shedding.Limits]bool{}
		queue.waiting = slices.DeleteFunc(queue.waiting, func(call Call) bool {
			limits := queue.limits(now, call)
			if full[limits] {
				return false
			}
			decision, ok := balancer.assign(now, call, endpoints)
			switch {
			case ok:
				decisions = append(decisions, decision)
			case len(call.Tried) == 0:
				full[limits] = true
			}
			return ok
		})
	}
	return decisions
}

// observeLoad records the load of a pool whose calls differ in priority.
func (balancer *Balancer) observeLoad(now time.Time, queue *queue, endpoints []*view.Endpoint) {
	if running, limit := 0, 0; queue.policy.Several() {
		running, limit = balancer.poolLoad(endpoints)
		queue.policy.ObserveLoad(now, float64(running)/float64(max(1, limit)))
	}
}

// poolsWithWaiting returns the pools with waiting calls, sorted, so that equal
// histories give equal decisions.
func (balancer *Balancer) poolsWithWaiting() []Pool {
	var pools []Pool
	for pool, queue := range balancer.queueByPool {
		if len(queue.waiting) > 0 {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return pools
}

// endpoints returns the endpoints that may serve a pool.
func (balancer *Balancer) endpoints(pool Pool) []*view.Endpoint {
	if pool.Model == "" {
		if set := balancer.view.Services[pool.Service]; set != nil {
			return set.Endpoints
		}
		return nil
	}
	set := balancer.view.Models[pool.Model]
	if set == nil {
		return nil
	}
	if slices.ContainsFunc(set.Endpoints, func(endpoint *view.Endpoint) bool { return endpoint.EngineService != pool.Service }) {
		return slices.DeleteFunc(slices.Clone(set.Endpoints), func(endpoint *view.Endpoint) bool { return endpoint.EngineService != pool.Service })
	}
	return set.Endpoints
}

// available returns the endpoints that may serve a pool and accept requests.
func (balancer *Balancer) available(now time.Time, pool Pool) []*view.Endpoint {
	return balancer.notices.Filter(now, balancer.endpoints(pool))
}

// firstBack returns the RetryAfter for a pool of which no endpoint accepts requests.
func (balancer *Balancer) firstBack(now time.Time, pool Pool) time.Duration {
	wait, ok := balancer.notices.FirstBack(now, balancer.endpoints(pool))
	if !ok {
		return noEndpointRetryAfter
	}
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// Leaving records that an endpoint has reported that it is leaving. Its host gets no calls
// until it starts again.
func (balancer *Balancer) Leaving(now time.Time, endpoint *view.Endpoint) {
	balancer.notices.Leave(now, endpoint)
}

// Declines reports whether an endpoint has reported that it accepts no calls for now.
func (balancer *Balancer) Declines(now time.Time, endpoint *view.Endpoint) bool {
	return len(balancer.notices.Filter(now, []*view.Endpoint{endpoint})) == 0
}

// Paused records that an endpoint accepts no calls of this entry host for a time.
func (balancer *Balancer) Paused(now time.Time, endpoint *view.Endpoint, pause time.Duration) {
	balancer.notices.Pause(now, endpoint, pause)
}

// queuedAhead counts the waiting calls that go before a new one, and reports whether the new
// one may still be sent before them. Calls that have lost an endpoint wait only while no
// endpoint that they may go to takes any call.
func queuedAhead(queue *queue, call Call) (count int, mayPass bool) {
	mayPass = true
	for _, other := range queue.waiting {
		if queue.policy.Compare(other.shed(), call.shed()) <= 0 {
			count++
			mayPass = mayPass && (other.Failover || call.Failover)
		}
	}
	return count, mayPass
}

func (balancer *Balancer) state(endpoint feed.Endpoint) *endpointState {
	known := balancer.stateByEndpoint[endpoint]
	if known == nil {
		known = &endpointState{}
		balancer.stateByEndpoint[endpoint] = known
	}
	return known
}

func (balancer *Balancer) queue(pool Pool) *queue {
	known := balancer.queueByPool[pool]
	if known == nil {
		known = &queue{}
		balancer.queueByPool[pool] = known
	}
	return known
}
