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
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

const (
	// sharedPart is up to what part of its places an endpoint is open to all
	// entry hosts alike; of the rest each has a quota.
	sharedPart = 0.7
	// choices is among how many endpoints with room a call chooses.
	choices = 2
	// rescuedPart is up to what part of its places an endpoint takes calls that
	// have lost another one.
	rescuedPart = 1.5
	// latePart is the same for calls whose answer is late anyhow. The other
	// places are kept for those that can be on time.
	latePart = 0.6
	// leastWaiting is how many calls may wait before any rate is known.
	leastWaiting = 2
	// leastPatience is how long any call may wait.
	leastPatience = 20 * time.Millisecond
	// noEndpointRetry is when to come back to a pool without endpoints.
	noEndpointRetry = time.Second
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
	// Late says that the caller has waited past its target before.
	Late bool
	// Tried are endpoints that it isn't sent to again.
	Tried []feed.Endpoint
	// Failover calls have lost an endpoint that they were running on. They go
	// before others and may go where all places are taken, since the work done
	// for them would be lost.
	Failover bool
}

// mostPart is up to what part of its places an endpoint takes the call.
func (call *Call) mostPart() float64 {
	switch {
	case call.Failover:
		return rescuedPart
	case call.Late:
		return latePart
	default:
		return 1
	}
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

// Decision is what becomes of one call.
type Decision struct {
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

// Balancer holds the pools of one entry host. It isn't safe for concurrent use.
type Balancer struct {
	view *view.View
	rand *rand.Rand
	// salt makes the spread of quotas the entry host's own.
	salt   [8]byte
	places map[feed.Endpoint]*place
	pools  map[Pool]*pool
}

// New returns a balancer that knows no endpoints.
func New(source *rand.Rand) *Balancer {
	balancer := &Balancer{view: view.Empty(), rand: source, places: map[feed.Endpoint]*place{}, pools: map[Pool]*pool{}}
	binary.LittleEndian.PutUint64(balancer.salt[:], source.Uint64())
	return balancer
}

// Update takes a new view and tells which waiting calls may go now.
func (balancer *Balancer) Update(now time.Time, current *view.View) []Decision {
	balancer.view = current
	for name, place := range balancer.places {
		if place.running == 0 && current.Endpoints[name] == nil && !now.Before(place.avoid) {
			delete(balancer.places, name)
		}
	}
	return balancer.release(now)
}

// Submit takes a new call.
func (balancer *Balancer) Submit(now time.Time, call Call) Decision {
	pool := balancer.pool(call.Pool)
	endpoints := balancer.endpoints(call.Pool)
	if len(endpoints) == 0 {
		return Decision{Call: call.Number, Verdict: VerdictRefuse, Reason: ReasonNoEndpoint, RetryAfter: noEndpointRetry}
	}
	ahead := balancer.ahead(pool, call)
	if ahead == 0 || call.Failover {
		if answer, ok := balancer.assign(now, call, endpoints); ok {
			return answer
		}
	}
	running, limit := balancer.load(endpoints)
	rate := pool.rate(now)
	wait := time.Duration(float64(ahead+1) / max(rate, 1) * float64(time.Second))
	patience := pool.patience(now, call)
	if wait > patience && ahead >= leastWaiting {
		return pool.refuse(now, Decision{Call: call.Number, Running: running, Limit: limit, Waiting: ahead})
	}
	pool.waiting = append(pool.waiting, call)
	slices.SortStableFunc(pool.waiting, before)
	return Decision{
		Call: call.Number, Verdict: VerdictWait, Running: running, Limit: limit, Waiting: ahead,
		Until: now.Add(max(leastPatience, patience)),
	}
}

// ObserveTimeToFirstEvent notes how long a call's answer took to begin, from its sending.
func (balancer *Balancer) ObserveTimeToFirstEvent(name Pool, took time.Duration) {
	pool := balancer.pool(name)
	if pool.first == 0 {
		pool.first = took
		return
	}
	pool.first += time.Duration(firstWeight * float64(took-pool.first))
}

// Cancel takes a waiting call out; it is false when the call waits no more.
func (balancer *Balancer) Cancel(now time.Time, call Call) (Decision, bool) {
	pool := balancer.pool(call.Pool)
	index := slices.IndexFunc(pool.waiting, func(other Call) bool { return other.Number == call.Number })
	if index < 0 {
		return Decision{}, false
	}
	pool.waiting = slices.Delete(pool.waiting, index, index+1)
	running, limit := balancer.load(balancer.endpoints(call.Pool))
	return pool.refuse(now, Decision{Call: call.Number, Running: running, Limit: limit, Waiting: index}), true
}

// Done ends a call's time at an endpoint and tells which waiting calls may go.
func (balancer *Balancer) Done(now time.Time, call Call, endpoint feed.Endpoint, ending Ending) []Decision {
	place := balancer.place(endpoint)
	place.running = max(0, place.running-1)
	balancer.judge(now, place, ending)
	balancer.pool(call.Pool).depart(now)
	return balancer.release(now)
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
func (balancer *Balancer) release(now time.Time) []Decision {
	var answers []Decision
	for _, name := range balancer.waitingPools() {
		pool := balancer.pools[name]
		endpoints := balancer.endpoints(name)
		full := map[float64]bool{}
		pool.waiting = slices.DeleteFunc(pool.waiting, func(call Call) bool {
			if full[call.mostPart()] {
				return false
			}
			answer, ok := balancer.assign(now, call, endpoints)
			full[call.mostPart()] = !ok
			if ok {
				answers = append(answers, answer)
			}
			return ok
		})
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
func (balancer *Balancer) assign(now time.Time, call Call, endpoints []*view.Endpoint) (Decision, bool) {
	var best *view.Endpoint
	most := call.mostPart()
	least, seen := most, 0
	suspect := balancer.allSuspect(now, call, endpoints)
	for _, offset := range balancer.rand.Perm(len(endpoints)) {
		endpoint := endpoints[offset]
		place := balancer.places[endpoint.Name]
		if slices.Contains(call.Tried, endpoint.Name) || (!suspect && (endpoint.Stalled || (place != nil && place.suspect(now)))) {
			continue
		}
		part := balancer.part(endpoint)
		if part >= most || (!call.Failover && balancer.overQuota(endpoint, part)) {
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
		return Decision{}, false
	}
	running, limit := balancer.occupied(best), limitOf(best)
	balancer.place(best.Name).running++
	return Decision{Call: call.Number, Verdict: VerdictGo, Endpoint: best, Running: running, Limit: limit}, true
}

// overQuota tells whether this entry host must leave the places of a crowded
// endpoint to others. What is known of others' calls is old, so without quotas
// all would fill the same last places at once.
func (balancer *Balancer) overQuota(endpoint *view.Endpoint, part float64) bool {
	place := balancer.places[endpoint.Name]
	if part < sharedPart || balancer.view.Share <= 0 || place == nil {
		return false
	}
	return place.running >= int(balancer.view.Share*float64(limitOf(endpoint))+balancer.spread(endpoint.Name))
}

// spread is a number from 0 to 1 that differs by entry host and endpoint, so
// that parts of a place that are rounded down here are rounded up elsewhere.
func (balancer *Balancer) spread(endpoint feed.Endpoint) float64 {
	const whole = 1 << 32
	hash := fnv.New32a()
	_, _ = hash.Write(balancer.salt[:])
	_, _ = hash.Write([]byte(endpoint.Group))
	_, _ = hash.Write([]byte(endpoint.Host))
	return float64(hash.Sum32()) / whole
}

// allSuspect tells whether every endpoint has failed lately, in which case they
// are used all the same: more likely the path is at fault.
func (balancer *Balancer) allSuspect(now time.Time, call Call, endpoints []*view.Endpoint) bool {
	return !slices.ContainsFunc(endpoints, func(endpoint *view.Endpoint) bool {
		place := balancer.places[endpoint.Name]
		return !slices.Contains(call.Tried, endpoint.Name) && !endpoint.Stalled && (place == nil || !place.suspect(now))
	})
}

func (balancer *Balancer) occupied(endpoint *view.Endpoint) int {
	running := endpoint.RunningElsewhere
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
	if slices.ContainsFunc(set.Endpoints, func(endpoint *view.Endpoint) bool { return endpoint.EngineService != name.Service }) {
		return slices.DeleteFunc(slices.Clone(set.Endpoints), func(endpoint *view.Endpoint) bool { return endpoint.EngineService != name.Service })
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
