// Package balancer decides for one entry host where a routed call goes, whether
// it waits, and when it is refused. It knows the calls in progress of its own,
// the latest count of those of other entry hosts, and which endpoints have
// failed lately.
//
// Calls for one pool of endpoints wait in order of priority and then of when
// their answer is due; those that are late anyhow come after those that can
// still be on time. A call waits only as long as the time that answers take
// leaves it before it is due, and is refused at once when those before it would
// keep it longer: under overload, a queue that is longer than that makes all
// answers late and serves no more of them.
//
// # Usage
//
//	answer := pools.Submit(now, call)
//	switch answer.Verdict {
//	case balancer.VerdictGo:     // send to answer.Endpoint, then Done
//	case balancer.VerdictWait:   // until a later answer names the call
//	case balancer.VerdictRefuse: // not run; come back after answer.RetryAfter
//	}
//	for _, answer := range pools.Done(now, call, balancer.Served) { ... }
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

const (
	// suspicion is how long an endpoint is passed over after a failure; it
	// doubles with each failure in a row.
	suspicion = 500 * time.Millisecond
	// mostSuspicion bounds it.
	mostSuspicion = 4 * time.Second
	// stallPause is how long an endpoint is passed over that stood still.
	stallPause = 2 * time.Second
	// quietLimit is how long no stream of an endpoint may have had an event for
	// it to get further calls.
	quietLimit = 500 * time.Millisecond
	// failuresToStand is after how many failures in a row an endpoint counts as
	// standing still.
	failuresToStand = 2
	// choices is among how many endpoints with room a call chooses.
	choices = 2
	// rescuedPart is up to what part of its places an endpoint takes calls that
	// have lost another one.
	rescuedPart = 1.5
	// fullPause is how long an endpoint is passed over that said it is full.
	fullPause = 100 * time.Millisecond
	// rateWindow is the time over which departures are averaged.
	rateWindow = 2 * time.Second
	// leastWaiting is how many calls may wait before any rate is known.
	leastWaiting = 2
	// leastRetryAfter is the least time that a refusal gives.
	leastRetryAfter = 200 * time.Millisecond
	// mostRetryAfter bounds what a refusal gives.
	mostRetryAfter = 2 * time.Second
	// leastPatience is how long any call may wait.
	leastPatience = 20 * time.Millisecond
	// latePatience is how long a call may wait whose answer is late anyhow.
	latePatience = 500 * time.Millisecond
	// firstWeight is the weight of one more answer in the average time that
	// answers take to begin.
	firstWeight = 0.05
)

// Pool names the endpoints that may serve a call: those of a plain service, or
// the groups of one model of a service of engines.
type Pool struct {
	Service id.Service
	Model   id.Model
}

// Number tells one call in progress from another.
type Number uint64

// Call is one call that wants an endpoint.
type Call struct {
	Number Number
	Pool   Pool
	// Priority ranks the call; 0 is the first.
	Priority int
	// Due is when its answer, or the first event of it, should be there.
	Due time.Time
	// Arrived is when the caller's request came.
	Arrived time.Time
	// Late says that the caller has waited past its target before.
	Late bool
	// Tried are endpoints that it isn't sent to again.
	Tried []feed.Endpoint
	// Rescued calls have lost an endpoint that they were running on. They go
	// before others and may go where all places are taken, since the work done
	// for them would be lost.
	Rescued bool
}

// Verdict says what becomes of a call.
type Verdict string

// The verdicts.
const (
	VerdictGo     Verdict = "go"
	VerdictWait   Verdict = "wait"
	VerdictRefuse Verdict = "refuse"
)

// Reason says why a call was refused.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint Reason = "no_endpoint"
	ReasonNoRoom     Reason = "no_room"
)

// Answer is what becomes of one call.
type Answer struct {
	Call       Number
	Verdict    Verdict
	Endpoint   *view.Endpoint
	Reason     Reason
	RetryAfter time.Duration
	// Running and Limit are what was known of the endpoint, or of the whole
	// pool for a call that waits or is refused.
	Running, Limit int
	// Until is when a call that waits should be given up.
	Until time.Time
	// Waiting is how many calls waited before it.
	Waiting int
}

// Ending says how a call's time at an endpoint ended.
type Ending string

// The endings.
const (
	// Served calls got an answer of the endpoint.
	Served Ending = "served"
	// Full endpoints refused the call for want of room.
	Full Ending = "full"
	// Stalled endpoints stopped in the middle of all their calls.
	Stalled Ending = "stalled"
	// Failed endpoints broke off, couldn't be reached or went silent.
	Failed Ending = "failed"
	// Abandoned calls say nothing of the endpoint.
	Abandoned Ending = "abandoned"
)

// place is what is known of one endpoint.
type place struct {
	running  int
	failures int
	avoid    time.Time
	// streams counts the streams that have begun, and eventAt is when the last
	// event of any of them came.
	streams int
	eventAt time.Time
	// stalledUntil is until when the endpoint counts as standing still.
	stalledUntil time.Time
}

// pool is the calls that wait and the rate at which calls leave.
type pool struct {
	waiting  []Call
	departed float64
	// refused counts the calls that were sent away, in a sum that fades alike:
	// they come back.
	refused   float64
	updatedAt time.Time
	// first is the average time from the sending of a call to the beginning of
	// its answer.
	first time.Duration
}

// Balancer holds the pools of one entry host. It isn't safe for concurrent use.
type Balancer struct {
	view   *view.View
	rand   *rand.Rand
	places map[feed.Endpoint]*place
	pools  map[Pool]*pool
}

// New returns a balancer that knows no endpoints.
func New(source *rand.Rand) *Balancer {
	return &Balancer{view: view.Empty(), rand: source, places: map[feed.Endpoint]*place{}, pools: map[Pool]*pool{}}
}

// Update takes a new view and tells which waiting calls may go now.
func (balancer *Balancer) Update(now time.Time, current *view.View) []Answer {
	balancer.view = current
	for name, place := range balancer.places {
		if place.running == 0 && current.Endpoints[name] == nil && !now.Before(place.avoid) {
			delete(balancer.places, name)
		}
	}
	return balancer.release(now)
}

// Submit takes a new call.
func (balancer *Balancer) Submit(now time.Time, call Call) Answer {
	pool := balancer.pool(call.Pool)
	endpoints := balancer.endpoints(call.Pool)
	if len(endpoints) == 0 {
		return Answer{Call: call.Number, Verdict: VerdictRefuse, Reason: ReasonNoEndpoint, RetryAfter: mostRetryAfter / 2}
	}
	ahead := balancer.ahead(pool, call)
	if ahead == 0 || call.Rescued {
		if answer, ok := balancer.assign(now, call, endpoints); ok {
			return answer
		}
	}
	running, limit := balancer.load(endpoints)
	rate := pool.rate(now)
	wait := time.Duration(float64(ahead+1) / max(rate, 1) * float64(time.Second))
	patience := pool.patience(now, call)
	if wait > patience && ahead >= leastWaiting {
		return pool.refuse(now, Answer{Call: call.Number, Running: running, Limit: limit, Waiting: ahead})
	}
	pool.waiting = append(pool.waiting, call)
	slices.SortStableFunc(pool.waiting, before)
	return Answer{
		Call: call.Number, Verdict: VerdictWait, Running: running, Limit: limit, Waiting: ahead,
		Until: now.Add(max(leastPatience, patience)),
	}
}

// patience is how long a call may wait from now for its answer to be on time.
func (pool *pool) patience(now time.Time, call Call) time.Duration {
	if call.Late {
		return latePatience
	}
	return call.Due.Sub(now) - pool.first
}

// First notes how long a call's answer took to begin, from its sending.
func (balancer *Balancer) First(name Pool, took time.Duration) {
	pool := balancer.pool(name)
	if pool.first == 0 {
		pool.first = took
		return
	}
	pool.first += time.Duration(firstWeight * float64(took-pool.first))
}

// Cancel takes a waiting call out; it is false when the call waits no more.
func (balancer *Balancer) Cancel(now time.Time, call Call) (Answer, bool) {
	pool := balancer.pool(call.Pool)
	index := slices.IndexFunc(pool.waiting, func(other Call) bool { return other.Number == call.Number })
	if index < 0 {
		return Answer{}, false
	}
	pool.waiting = slices.Delete(pool.waiting, index, index+1)
	running, limit := balancer.load(balancer.endpoints(call.Pool))
	return pool.refuse(now, Answer{Call: call.Number, Running: running, Limit: limit, Waiting: index}), true
}

// Done ends a call's time at an endpoint and tells which waiting calls may go.
func (balancer *Balancer) Done(now time.Time, call Call, endpoint feed.Endpoint, ending Ending) []Answer {
	place := balancer.place(endpoint)
	place.running = max(0, place.running-1)
	balancer.judge(now, place, ending)
	balancer.pool(call.Pool).depart(now)
	return balancer.release(now)
}

func (balancer *Balancer) judge(now time.Time, place *place, ending Ending) {
	switch ending {
	case Served:
		place.failures = 0
	case Full:
		place.avoid = now.Add(fullPause)
	case Failed:
		place.avoid = now.Add(min(mostSuspicion, suspicion<<min(place.failures, 4)))
		place.failures++
		if place.failures >= failuresToStand {
			place.stalledUntil = place.avoid
		}
	case Stalled:
		place.avoid = now.Add(stallPause)
		place.stalledUntil = place.avoid
		place.failures++
	case Abandoned:
	}
}

// Began counts a stream whose first event has come.
func (balancer *Balancer) Began(now time.Time, endpoint feed.Endpoint) {
	place := balancer.place(endpoint)
	place.streams++
	place.eventAt = now
}

// Event notes an event of a stream.
func (balancer *Balancer) Event(now time.Time, endpoint feed.Endpoint) {
	place := balancer.place(endpoint)
	place.eventAt = now
	place.stalledUntil = time.Time{}
}

// Ended counts a stream that has begun and is over.
func (balancer *Balancer) Ended(endpoint feed.Endpoint) {
	place := balancer.place(endpoint)
	place.streams = max(0, place.streams-1)
}

// Quiet is how long no stream of an endpoint has had an event; it is zero
// while none has begun.
func (balancer *Balancer) Quiet(now time.Time, endpoint feed.Endpoint) time.Duration {
	place := balancer.places[endpoint]
	if place == nil || place.streams == 0 {
		return 0
	}
	return now.Sub(place.eventAt)
}

// Standing lists the endpoints that stand still, in order of their names.
func (balancer *Balancer) Standing(now time.Time) []feed.Endpoint {
	var standing []feed.Endpoint
	for name, place := range balancer.places {
		if now.Before(place.stalledUntil) {
			standing = append(standing, name)
		}
	}
	slices.SortFunc(standing, func(a, b feed.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Host, b.Host))
	})
	return standing
}

// Running counts this entry host's calls in progress by endpoint.
func (balancer *Balancer) Running() map[feed.Endpoint]int {
	running := map[feed.Endpoint]int{}
	for name, place := range balancer.places {
		if place.running > 0 {
			running[name] = place.running
		}
	}
	return running
}

// release lets as many waiting calls go as there is room for.
func (balancer *Balancer) release(now time.Time) []Answer {
	var answers []Answer
	for _, name := range balancer.waitingPools() {
		pool := balancer.pools[name]
		endpoints := balancer.endpoints(name)
		for len(pool.waiting) > 0 {
			answer, ok := balancer.assign(now, pool.waiting[0], endpoints)
			if !ok {
				break
			}
			answers = append(answers, answer)
			pool.waiting = pool.waiting[1:]
		}
	}
	return answers
}

// waitingPools lists the pools with waiting calls in order, so that equal
// histories give equal answers.
func (balancer *Balancer) waitingPools() []Pool {
	var names []Pool
	for name, pool := range balancer.pools {
		if len(pool.waiting) > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return names
}

// assign picks the endpoint with the least part of its places taken of a few
// that have room. It doesn't take the least of all: the counts of other entry
// hosts are old, and all of them would choose the same one meanwhile.
func (balancer *Balancer) assign(now time.Time, call Call, endpoints []*view.Endpoint) (Answer, bool) {
	var best *view.Endpoint
	most := 1.0
	if call.Rescued {
		most = rescuedPart
	}
	least, seen := most, 0
	suspect := balancer.allSuspect(now, call, endpoints)
	for _, offset := range balancer.rand.Perm(len(endpoints)) {
		endpoint := endpoints[offset]
		place := balancer.places[endpoint.Name]
		if slices.Contains(call.Tried, endpoint.Name) || (!suspect && (endpoint.Stalled || (place != nil && place.suspect(now)))) {
			continue
		}
		part := balancer.part(endpoint)
		if part >= most {
			continue
		}
		if best == nil || part < least {
			best, least = endpoint, part
		}
		if seen++; seen >= choices {
			break
		}
	}
	if best == nil {
		return Answer{}, false
	}
	running, limit := balancer.occupied(best), limitOf(best)
	balancer.place(best.Name).running++
	return Answer{Call: call.Number, Verdict: VerdictGo, Endpoint: best, Running: running, Limit: limit}, true
}

// allSuspect tells whether every endpoint has failed lately, in which case they
// are used all the same: more likely the path is at fault.
func (balancer *Balancer) allSuspect(now time.Time, call Call, endpoints []*view.Endpoint) bool {
	return !slices.ContainsFunc(endpoints, func(endpoint *view.Endpoint) bool {
		place := balancer.places[endpoint.Name]
		return !slices.Contains(call.Tried, endpoint.Name) && !endpoint.Stalled && (place == nil || !place.suspect(now))
	})
}

// suspect tells whether an endpoint has failed or fallen silent lately.
func (place *place) suspect(now time.Time) bool {
	return now.Before(place.avoid) || (place.streams > 0 && now.Sub(place.eventAt) > quietLimit)
}

func (balancer *Balancer) occupied(endpoint *view.Endpoint) int {
	running := endpoint.Elsewhere
	if place := balancer.places[endpoint.Name]; place != nil {
		running += place.running
	}
	return running
}

func limitOf(endpoint *view.Endpoint) int { return max(1, endpoint.Load.Slots) }

func (balancer *Balancer) part(endpoint *view.Endpoint) float64 {
	return float64(balancer.occupied(endpoint)) / float64(limitOf(endpoint))
}

func (balancer *Balancer) load(endpoints []*view.Endpoint) (running, limit int) {
	for _, endpoint := range endpoints {
		running += balancer.occupied(endpoint)
		limit += limitOf(endpoint)
	}
	return running, limit
}

// endpoints lists what may serve a pool.
func (balancer *Balancer) endpoints(name Pool) []*view.Endpoint {
	if name.Model == "" {
		if set := balancer.view.Services[name.Service]; set != nil {
			return set.Endpoints
		}
		return nil
	}
	set := balancer.view.Models[name.Model]
	if set == nil {
		return nil
	}
	if slices.ContainsFunc(set.Endpoints, func(endpoint *view.Endpoint) bool { return endpoint.Engines != name.Service }) {
		return slices.DeleteFunc(slices.Clone(set.Endpoints), func(endpoint *view.Endpoint) bool { return endpoint.Engines != name.Service })
	}
	return set.Endpoints
}

// ahead counts the waiting calls that go before a new one.
func (balancer *Balancer) ahead(pool *pool, call Call) int {
	count := 0
	for _, other := range pool.waiting {
		if before(other, call) <= 0 {
			count++
		}
	}
	return count
}

// before orders waiting calls.
func before(a, b Call) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(lateness(a), lateness(b)), a.Due.Compare(b.Due))
}

func lateness(call Call) int {
	if call.Late {
		return 1
	}
	return 0
}

func (balancer *Balancer) place(name feed.Endpoint) *place {
	known := balancer.places[name]
	if known == nil {
		known = &place{}
		balancer.places[name] = known
	}
	return known
}

func (balancer *Balancer) pool(name Pool) *pool {
	known := balancer.pools[name]
	if known == nil {
		known = &pool{}
		balancer.pools[name] = known
	}
	return known
}

// depart counts a call that left, in a sum that fades over the window.
func (pool *pool) depart(now time.Time) {
	pool.fade(now)
	pool.departed++
}

func (pool *pool) fade(now time.Time) {
	elapsed := now.Sub(pool.updatedAt)
	pool.updatedAt = now
	if elapsed >= rateWindow {
		pool.departed, pool.refused = 0, 0
		return
	}
	part := 1 - float64(elapsed)/float64(rateWindow)
	pool.departed *= part
	pool.refused *= part
}

// refuse sends a call away until those that wait, and those that were sent away
// before it and come back too, can have been served.
func (pool *pool) refuse(now time.Time, answer Answer) Answer {
	rate := max(pool.rate(now), 1)
	wait := time.Duration((float64(len(pool.waiting)+1) + pool.refused) / rate * float64(time.Second))
	pool.refused++
	answer.Verdict, answer.Reason = VerdictRefuse, ReasonNoRoom
	answer.RetryAfter = min(mostRetryAfter, max(leastRetryAfter, wait))
	return answer
}

// rate is how many calls leave in a second.
func (pool *pool) rate(now time.Time) float64 {
	pool.fade(now)
	return pool.departed / rateWindow.Seconds()
}
