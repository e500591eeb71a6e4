package balancer

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/shedding"
	"carobline.dev/core/version/view"
)

// assign picks a random endpoint, each with a probability in proportion to its room. It
// doesn't take the one with the most room, not even of a few: the counts of other entry
// hosts are old, and all of them would choose the same endpoints meanwhile.
func (balancer *Balancer) assign(now time.Time, call Call, endpoints []*view.Endpoint) (Decision, bool) {
	rooms, total, limited := balancer.rooms(now, call, endpoints)
	if total <= 0 {
		return Decision{}, false
	}
	chosen := pickWeighted(rooms, balancer.rand.Float64()*total)
	endpoint := endpoints[chosen]
	running, limit := balancer.runningAt(endpoint), slotsOf(endpoint)
	state := balancer.state(endpoint.Name)
	if state.running == 0 {
		state.busySince = now
	}
	state.running++
	state.inactivity.try(now)
	balancer.cold.Sent(now, endpoint)
	if limited {
		balancer.cold.Divert()
	}
	balancer.queue(call.Pool).policy.Admit(now, call.shed())
	return Decision{Call: call.Number, Verdict: VerdictGo, Endpoint: endpoint, Running: running, Limit: limit}, true
}

// rooms returns for each endpoint how many more calls it takes with the call's maximum
// load, and the sum. It is 0 for one that the call can't be sent to. limited reports whether
// the limit of a cold endpoint kept the call from one.
func (balancer *Balancer) rooms(now time.Time, call Call, endpoints []*view.Endpoint) (rooms []float64, total float64, limited bool) {
	limits, fits := balancer.queue(call.Pool).limits(now, call), balancer.fits(now, call, endpoints)
	rooms = make([]float64, len(endpoints))
	prefersNear, queue := balancer.prefersNear(call), balancer.queueByPool[call.Pool]
	if prefersNear {
		balancer.near.reset(len(endpoints))
	}
	for index, endpoint := range endpoints {
		if !fits(endpoint) {
			continue
		}
		load := balancer.loadOf(endpoint)
		if load >= limits.MaxLoad || (!prefersNear && !call.Failover && balancer.overQuota(endpoint, load, limits, 1)) {
			continue
		}
		if !balancer.cold.Allows(now, endpoint) {
			limited = true
			continue
		}
		if prefersNear {
			balancer.near.loads[index] = load
		}
		rooms[index] = (limits.MaxLoad - load) * float64(slotsOf(endpoint)) * balancer.slowRoom(now, call, queue, endpoint.Name)
		total += rooms[index]
	}
	if prefersNear && total > 0 {
		rooms, total = balancer.weighRooms(call, endpoints, rooms, limits)
	}
	return rooms, total, limited
}

// pickWeighted returns the index at which the running sum of the weights exceeds a
// number, which is below their total.
func pickWeighted(weights []float64, number float64) int {
	last := 0
	for index, weight := range weights {
		if weight <= 0 {
			continue
		}
		last = index
		if number -= weight; number < 0 {
			break
		}
	}
	return last
}

// overQuota reports whether an endpoint is loaded up to the call's QuotaThreshold and this
// entry host already uses its share of the slots, multiplied by a factor. The counts of other entry
// hosts' calls are old, so without quotas all would fill the same last slots at
// once.
func (balancer *Balancer) overQuota(endpoint *view.Endpoint, load float64, limits shedding.Limits, factor float64) bool {
	state := balancer.stateByEndpoint[endpoint.Name]
	if load < limits.QuotaThreshold || balancer.view.Share <= 0 || state == nil {
		return false
	}
	return state.running >= int(factor*limits.QuotaPart*balancer.view.Share*float64(slotsOf(endpoint))+balancer.quotaRounding(endpoint.Name))
}

// quotaRounding returns a number from 0 to 1, fixed for an entry host and an
// endpoint, that is added to a quota before it is rounded down. It differs
// between entry hosts, so that some round their quota up where others round
// down.
func (balancer *Balancer) quotaRounding(endpoint feed.Endpoint) float64 {
	const hashRange = 1 << 32
	hash := fnv.New32a()
	_, _ = hash.Write(balancer.salt[:])
	_, _ = hash.Write([]byte(endpoint.Group))
	_, _ = hash.Write([]byte(endpoint.Host))
	return float64(hash.Sum32()) / hashRange
}

// fits returns which endpoints a call may be sent to, whatever their load. When every
// endpoint is suspect they are used all the same: more likely the network path is at fault.
// A call that still runs waits for its own endpoint then.
func (balancer *Balancer) fits(now time.Time, call Call, endpoints []*view.Endpoint) func(*view.Endpoint) bool {
	untried := func(endpoint *view.Endpoint) bool { return !slices.Contains(call.Tried, endpoint.Name) }
	useReports := call.running() || !balancer.reportsOutdated(now, endpoints)
	trusted := func(endpoint *view.Endpoint) bool {
		return untried(endpoint) && !balancer.suspect(now, endpoint, useReports)
	}
	switch {
	case call.running():
		maxIdle, commonPause := balancer.maxIdle(now, call), balancer.commonPause(now, call, endpoints)
		return func(endpoint *view.Endpoint) bool {
			return trusted(endpoint) && !commonPause && balancer.idle(now, endpoint.Name) <= maxIdle
		}
	case slices.ContainsFunc(endpoints, trusted):
		return trusted
	default:
		return untried
	}
}

// anyFits reports whether there is an endpoint that a call may be sent to, whatever its load.
func (balancer *Balancer) anyFits(now time.Time, call Call, endpoints []*view.Endpoint) bool {
	return slices.ContainsFunc(endpoints, balancer.fits(now, call, endpoints))
}

// maxIdle returns for how long calls may have made no progress at an endpoint that goes on
// with a running call: half as long as at the call's own endpoint. Where that one goes on
// with other calls, there is no limit.
func (balancer *Balancer) maxIdle(now time.Time, call Call) time.Duration {
	own := balancer.idle(now, call.RunningAt)
	if own < maxEventGap/2 {
		return math.MaxInt64
	}
	return own / 2
}

// poolIdle returns for how long no call at any of the endpoints has made progress. It is
// zero while none runs. Once one endpoint's time is at most maxEventGap, that is returned
// though another's may be shorter, since no pool counts as without progress then.
func (balancer *Balancer) poolIdle(now time.Time, endpoints []*view.Endpoint) time.Duration {
	least, busy := time.Duration(math.MaxInt64), false
	for _, endpoint := range endpoints {
		state := balancer.stateByEndpoint[endpoint.Name]
		if state == nil || state.running == 0 {
			continue
		}
		least, busy = min(least, state.idle(now)), true
		if least <= maxEventGap {
			break
		}
	}
	if !busy {
		return 0
	}
	return least
}

// commonPause reports whether a running call's endpoint seems to make no progress together with all
// others: calls of this entry host run at some of them, and none makes progress. What holds
// for those is expected of endpoints without calls, but not for longer than maxCommonPause.
func (balancer *Balancer) commonPause(now time.Time, call Call, endpoints []*view.Endpoint) bool {
	maxIdle := balancer.maxIdle(now, call)
	if maxIdle > maxCommonPause/2 {
		return false
	}
	unresponsive := false
	for _, endpoint := range endpoints {
		state := balancer.stateByEndpoint[endpoint.Name]
		switch {
		case state == nil || state.running == 0 || slices.Contains(call.Tried, endpoint.Name):
		case now.Sub(state.progressAt) <= maxIdle:
			return false
		default:
			unresponsive = unresponsive || state.idle(now) > maxIdle
		}
	}
	return unresponsive
}

// idle returns for how long none of the calls at an endpoint has made progress. It is zero
// while none runs there.
func (balancer *Balancer) idle(now time.Time, endpoint feed.Endpoint) time.Duration {
	state := balancer.stateByEndpoint[endpoint]
	if state == nil || state.running == 0 {
		return 0
	}
	return state.idle(now)
}

// suspect reports whether an endpoint is avoided for what this entry host has seen there, or
// else, with useReports, for what another one has reported, unless calls of this one go on
// there.
func (balancer *Balancer) suspect(now time.Time, endpoint *view.Endpoint, useReports bool) bool {
	state := balancer.stateByEndpoint[endpoint.Name]
	reported := useReports && endpoint.Stalled
	if state == nil {
		return reported
	}
	return state.suspect(now) || (reported && !state.goesOn(now))
}

// reportsOutdated reports whether other entry hosts have reported at least half of the
// endpoints as stalled, while calls of this one go on at some of those: a common pause is
// over, which their reports don't show yet. Calls that run nowhere then ignore the reports,
// or all would be sent to the endpoints where calls of this entry host go on.
func (balancer *Balancer) reportsOutdated(now time.Time, endpoints []*view.Endpoint) bool {
	reported, goOn := 0, false
	for _, endpoint := range endpoints {
		if !endpoint.Stalled {
			continue
		}
		reported++
		state := balancer.stateByEndpoint[endpoint.Name]
		goOn = goOn || (state != nil && state.goesOn(now))
	}
	return goOn && 2*reported >= len(endpoints)
}

// runningAt returns the known calls in progress of all entry hosts.
func (balancer *Balancer) runningAt(endpoint *view.Endpoint) int {
	running := endpoint.RunningElsewhere
	if state := balancer.stateByEndpoint[endpoint.Name]; state != nil {
		running += state.running
	}
	return running
}

func slotsOf(endpoint *view.Endpoint) int { return max(1, endpoint.Load.Slots) }

func (balancer *Balancer) loadOf(endpoint *view.Endpoint) float64 {
	return float64(balancer.runningAt(endpoint)) / float64(slotsOf(endpoint))
}

// poolLoad adds up the calls in progress and the slots of endpoints.
func (balancer *Balancer) poolLoad(endpoints []*view.Endpoint) (running, limit int) {
	for _, endpoint := range endpoints {
		running += balancer.runningAt(endpoint)
		limit += slotsOf(endpoint)
	}
	return running, limit
}
