package balancer

import (
	"hash/fnv"
	"slices"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

// assign picks a random endpoint, each with a probability in proportion to its room. It
// doesn't take the one with the most room, not even of a few: the counts of other entry
// hosts are old, and all of them would choose the same endpoints meanwhile.
func (balancer *Balancer) assign(now time.Time, call Call, endpoints []*view.Endpoint) (Decision, bool) {
	rooms, total := balancer.rooms(now, call, endpoints)
	if total <= 0 {
		return Decision{}, false
	}
	chosen := pickWeighted(rooms, balancer.rand.Float64()*total)
	endpoint := endpoints[chosen]
	running, limit := balancer.runningAt(endpoint), slotsOf(endpoint)
	state := balancer.state(endpoint.Name)
	state.running++
	state.silence.try(now)
	return Decision{Call: call.Number, Verdict: VerdictGo, Endpoint: endpoint, Running: running, Limit: limit}, true
}

// rooms returns for each endpoint how many more calls it takes with the call's maximum
// load, and the sum. It is 0 for one that the call can't be sent to.
func (balancer *Balancer) rooms(now time.Time, call Call, endpoints []*view.Endpoint) (rooms []float64, total float64) {
	maxLoad := call.maxLoad()
	allSuspect := balancer.allSuspect(now, call, endpoints)
	rooms = make([]float64, len(endpoints))
	for index, endpoint := range endpoints {
		if slices.Contains(call.Tried, endpoint.Name) || (!allSuspect && balancer.suspect(now, endpoint)) {
			continue
		}
		load := balancer.loadOf(endpoint)
		if load >= maxLoad || (!call.Failover && balancer.overQuota(endpoint, load)) {
			continue
		}
		rooms[index] = (maxLoad - load) * float64(slotsOf(endpoint))
		total += rooms[index]
	}
	return rooms, total
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

// overQuota reports whether an endpoint is loaded up to quotaThreshold and this
// entry host already uses its share of the slots. The counts of other entry
// hosts' calls are old, so without quotas all would fill the same last slots at
// once.
func (balancer *Balancer) overQuota(endpoint *view.Endpoint, load float64) bool {
	state := balancer.stateByEndpoint[endpoint.Name]
	if load < quotaThreshold || balancer.view.Share <= 0 || state == nil {
		return false
	}
	return state.running >= int(balancer.view.Share*float64(slotsOf(endpoint))+balancer.quotaRounding(endpoint.Name))
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

// allSuspect reports whether every endpoint has failed recently. They are then
// used all the same: more likely the network path is at fault.
func (balancer *Balancer) allSuspect(now time.Time, call Call, endpoints []*view.Endpoint) bool {
	return !slices.ContainsFunc(endpoints, func(endpoint *view.Endpoint) bool {
		return !slices.Contains(call.Tried, endpoint.Name) && !balancer.suspect(now, endpoint)
	})
}

// suspect reports whether an endpoint is avoided for what this entry host has seen there, or
// else for what another one has reported, unless calls of this one go on there.
func (balancer *Balancer) suspect(now time.Time, endpoint *view.Endpoint) bool {
	state := balancer.stateByEndpoint[endpoint.Name]
	if state == nil {
		return endpoint.Stalled
	}
	return state.suspect(now) || (endpoint.Stalled && !state.goesOn(now))
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
