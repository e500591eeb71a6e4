// Package chooser decides which endpoint serves a call. It corrects the
// endpoints' late load reports by this node's own calls in progress, prefers
// an endpoint that has a prompt's prefix cached while that isn't overloaded
// (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
// 2018), else takes the better of two random ones (Mitzenmacher, "The Power of
// Two Choices", 2001), and ejects endpoints that are slow compared with their
// peers.
//
// # Usage
//
//	endpoints := chooser.New(chooser.Config{Node: "n1", Rand: rand})
//	endpoint, ok := endpoints.Choose(now, set, chooser.Criteria{Prefix: hash})
//	endpoints.Started(endpoint.Name, 0)
//	endpoints.Pace(now, endpoint.Name, gap)
//	endpoints.Finished(now, endpoint.Name, 0, false)
package chooser

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/coldlimit"
	"carobline.dev/core/request/locality"
	"carobline.dev/core/version/view"
)

const (
	// subsetSize is the most endpoints that one node considers for a model or
	// service.
	subsetSize = 48
	// loadBound is the factor of the mean load that an endpoint's load must stay
	// under to be chosen for a prefix.
	loadBound = 1.5
	// ringProbes is the number of ring points that are tried for a prefix.
	ringProbes = 4
	// spareDivisor defines an endpoint with spare slots: at least one in this many
	// is free. A node may then start one call there beyond its share. While more
	// than that are free, calls whose prefix is cached there may start whatever
	// the share.
	spareDivisor = 4
	// slowFactor is how many times the median pace of its peers an endpoint's
	// pace must exceed to be ejected.
	slowFactor = 2
	// maxSampleFactor times that median is the most that a sample counts. One
	// sample after usual ones doesn't eject an endpoint, the next slow one does.
	maxSampleFactor = 4
	// minPeers is the number of endpoints with known paces, and minSamples the
	// number of samples of each, that are needed before any is ejected as slow.
	minPeers   = 3
	minSamples = 8
	// ejectedDivisor limits the endpoints ejected at a time to one in this many.
	ejectedDivisor = 3
	// minEjection is the duration of a first ejection; it doubles with each
	// consecutive one, up to maxEjection.
	minEjection = 5 * time.Second
	maxEjection = 80 * time.Second
	// paceSmoothing is the weight of a new sample in the moving average of pace.
	paceSmoothing = 0.2
)

// Config is fixed for the life of a process.
type Config struct {
	Node       id.Node
	DataCentre id.DataCentre
	Rand       *rand.Rand
}

// Criteria are the properties of a call that decide on its endpoint.
type Criteria struct {
	// Prefix is the hash of the prompt's start, 0 for none.
	Prefix uint64
	Level  attained.Level
	// Allowed lists the data centres that may serve; empty means all.
	Allowed []id.DataCentre
	// Avoid is an endpoint that has just failed this call.
	Avoid feed.Endpoint
	// Share is this node's part of the demand of all nodes; 0 means all of it.
	Share float64
	// Target is the time within which the answer should begin. With it calls prefer the own
	// data centre by the rules of package locality.
	Target time.Duration
	// farWeight is the weight of far endpoints, from 0 to 1.
	farWeight float64
	// MaxLoad is the load below which an endpoint takes the call; 0 sets no limit besides its
	// slots.
	MaxLoad float64
	// prefixCached is set while endpoints that have the prefix cached are
	// considered.
	prefixCached bool
}

func (criteria Criteria) share() float64 {
	if criteria.Share <= 0 {
		return 1
	}
	return criteria.Share
}

// state is what a node records about an endpoint beyond its reports.
type state struct {
	// running counts this node's calls there, urgent those of level 0.
	running int
	urgent  int
	// appliedSequence is the announcement sequence of the last report applied.
	// hasReport is set once there is one.
	hasReport       bool
	appliedSequence uint64
	// runningByOthers counts the calls of other nodes by the last report.
	runningByOthers int
	// maxRunning and maxUrgent bound this node's calls until the next report.
	maxRunning int
	maxUrgent  int

	// pace is the moving average of the time between tokens, or of whole calls
	// of a service, in seconds.
	pace    float64
	samples int
	// slowUntil is the end of the time that the last slow sample measured.
	slowUntil    time.Time
	ejectedUntil time.Time
	ejections    int
	// failures counts consecutive failed calls.
	failures int
	// onProbation is set by an ejection and stays set after it until the
	// endpoint's pace is normal again.
	onProbation bool
}

// Chooser chooses endpoints for one node. It isn't safe for concurrent use.
type Chooser struct {
	config           Config
	stateByEndpoint  map[feed.Endpoint]*state
	setByFingerprint map[uint64]*setState
	// mediansAt is when the median paces were last computed.
	mediansAt     time.Time
	groupMedian   float64
	serviceMedian float64
	cold          *coldlimit.Limiter
	// limited is set if the limit of a cold endpoint didn't allow the present call there.
	limited  bool
	locality *locality.Preference
}

// setState is derived from one set of endpoints and used until an endpoint is
// added or removed. subset and ring hold indexes into the set, and states has
// the order of the set.
type setState struct {
	subset []int
	ring   []ringPoint
	states []*state
}

// New returns a chooser without any records of endpoints.
func New(config Config) *Chooser {
	return &Chooser{config: config, stateByEndpoint: map[feed.Endpoint]*state{}, setByFingerprint: map[uint64]*setState{}, cold: coldlimit.New(), locality: locality.New(config.DataCentre)}
}

func (chooser *Chooser) state(name feed.Endpoint) *state {
	known := chooser.stateByEndpoint[name]
	if known == nil {
		known = &state{}
		chooser.stateByEndpoint[name] = known
	}
	return known
}

// applyReport updates an endpoint's state from its last report, once for each
// report. Its free slots are divided between the nodes, since all nodes see the
// same report at about the same time: this node may add its share of them to its
// running calls, and of an overload it waives its share.
func (chooser *Chooser) applyReport(endpoint *view.Endpoint, state *state, share float64) {
	if state.hasReport && endpoint.AnnouncementSequence == state.appliedSequence {
		return
	}
	state.hasReport, state.appliedSequence = true, endpoint.AnnouncementSequence
	load := endpoint.Load
	state.runningByOthers = max(0, load.Running+load.Queued-state.running)
	state.maxRunning = chooser.callLimit(load.Slots, load.Running+load.Queued, state.running, share)
	state.maxUrgent = chooser.callLimit(load.Slots, load.HighestPriorityRequests, state.urgent, share)
}

// callLimit returns how many calls this node may run at an endpoint. It rounds
// up or down at random, so that the nodes' limits add up to the slots on average
// however small the shares are.
func (chooser *Chooser) callLimit(slots, total, own int, share float64) int {
	free := slots - max(total, own)
	exact := max(float64(own)+float64(free)*share, float64(slots)*share)
	limit := int(exact + chooser.config.Rand.Float64())
	if free*spareDivisor >= slots {
		// With slots to spare the node may start one call whatever its share.
		limit = max(limit, own+1)
	}
	return limit
}

// hasCapacity reports whether this node may start a call at an endpoint. An
// endpoint that reports no slots takes any number of calls, one on probation a
// single call.
func (chooser *Chooser) hasCapacity(endpoint *view.Endpoint, state *state, criteria Criteria) bool {
	chooser.applyReport(endpoint, state, criteria.share())
	switch {
	case state.onProbation && state.running > 0:
		return false
	case endpoint.Load.Slots == 0:
		return true
	case criteria.MaxLoad > 0 && float64(estimatedLoad(state)) >= criteria.MaxLoad*float64(endpoint.Load.Slots):
		return false
	case criteria.prefixCached && estimatedLoad(state)*spareDivisor < endpoint.Load.Slots*(spareDivisor-1):
		return true
	case criteria.Level == 0:
		return state.urgent < state.maxUrgent
	default:
		return state.running < state.maxRunning
	}
}

// estimatedLoad returns the estimated calls of all nodes at an endpoint.
func estimatedLoad(state *state) int { return state.running + state.runningByOthers }

// Load returns the estimated calls of all nodes at the endpoints that this node considers,
// divided by their slots. It is 0 for endpoints that report none.
func (chooser *Chooser) Load(endpoints *view.Set) float64 {
	if endpoints == nil || len(endpoints.Endpoints) == 0 {
		return 0
	}
	setState := chooser.setState(endpoints)
	running, slots := 0, 0
	for _, index := range setState.subset {
		running += estimatedLoad(setState.states[index])
		slots += endpoints.Endpoints[index].Load.Slots
	}
	return float64(running) / float64(max(1, slots))
}

// Choose returns an endpoint with capacity, or false when there is none.
func (chooser *Chooser) Choose(now time.Time, endpoints *view.Set, criteria Criteria) (*view.Endpoint, bool) {
	if endpoints == nil || len(endpoints.Endpoints) == 0 {
		return nil, false
	}
	chooser.limited = false
	endpoint, ok := chooser.choose(now, endpoints, criteria)
	if ok && chooser.limited {
		chooser.cold.Divert()
	}
	return endpoint, ok
}

func (chooser *Chooser) choose(now time.Time, endpoints *view.Set, criteria Criteria) (*view.Endpoint, bool) {
	setState := chooser.setState(endpoints)
	// A node that considers only some endpoints has a larger share of each.
	criteria.Share = min(1, criteria.share()*float64(len(endpoints.Endpoints))/float64(len(setState.subset)))
	criteria.farWeight = chooser.farWeight(now, endpoints, setState, criteria)
	if criteria.Prefix != 0 {
		if endpoint := chooser.byPrefix(now, endpoints, setState, criteria); endpoint != nil {
			return endpoint, true
		}
	}
	if endpoint := chooser.byLoad(now, endpoints, setState, criteria); endpoint != nil {
		return endpoint, true
	}
	return chooser.cheapest(now, endpoints, setState, criteria)
}

// usable reports whether a call may go to an endpoint: its lease is valid, it
// isn't ejected, the criteria allow it, it has capacity, and if it is cold, its limit
// allows the call.
func (chooser *Chooser) usable(now time.Time, endpoint *view.Endpoint, state *state, criteria Criteria) bool {
	if !now.Before(endpoint.ValidUntil) || now.Before(state.ejectedUntil) || endpoint.Name == criteria.Avoid {
		return false
	}
	if len(criteria.Allowed) > 0 && !slices.Contains(criteria.Allowed, endpoint.DataCentre) {
		return false
	}
	if !chooser.hasCapacity(endpoint, state, criteria) {
		return false
	}
	allowed := chooser.cold.Allows(now, endpoint)
	chooser.limited = chooser.limited || !allowed
	return allowed
}

// MayRepeat reports whether the rest of a call may be sent to its own endpoint again.
func (chooser *Chooser) MayRepeat(now time.Time, endpoint *view.Endpoint) bool {
	return chooser.cold.Allows(now, endpoint)
}

// Sent counts a request to an endpoint against the limit of cold endpoints.
func (chooser *Chooser) Sent(now time.Time, endpoint *view.Endpoint) {
	chooser.cold.Sent(now, endpoint)
}

// DivertedCalls returns how many calls have gone to an endpoint since the limit of a cold one
// with capacity didn't allow them there. It is safe for concurrent use.
func (chooser *Chooser) DivertedCalls() int64 { return chooser.cold.Diverted() }

// byLoad returns the cheaper of two random endpoints of the node's subset, or
// nil when neither is usable.
func (chooser *Chooser) byLoad(now time.Time, endpoints *view.Set, setState *setState, criteria Criteria) *view.Endpoint {
	size := len(setState.subset)
	var best *view.Endpoint
	bestCost := 0.0
	for range 2 {
		index := setState.subset[chooser.config.Rand.IntN(size)]
		endpoint, state := endpoints.Endpoints[index], setState.states[index]
		if !chooser.usable(now, endpoint, state, criteria) || chooser.leaves(endpoint, criteria) {
			continue
		}
		if cost := chooser.cost(endpoint, state, criteria); best == nil || cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	return best
}

// cheapest returns the cheapest usable endpoint of the whole subset, of the near ones if calls
// prefer these and one is usable.
func (chooser *Chooser) cheapest(now time.Time, endpoints *view.Set, setState *setState, criteria Criteria) (*view.Endpoint, bool) {
	var best *view.Endpoint
	bestCost, bestFar := 0.0, false
	for _, index := range setState.subset {
		endpoint, state := endpoints.Endpoints[index], setState.states[index]
		if !chooser.usable(now, endpoint, state, criteria) {
			continue
		}
		far := criteria.farWeight < 1 && chooser.locality.Far(criteria.Target, endpoint.DataCentre)
		cost := chooser.cost(endpoint, state, criteria)
		if best == nil || (bestFar && !far) || (bestFar == far && cost < bestCost) {
			best, bestCost, bestFar = endpoint, cost, far
		}
	}
	return best, best != nil
}

// cost combines an endpoint's load, its pace and whether it is in another data
// centre. For a call of level 0, calls of other levels weigh less than those of
// level 0, since the engine serves it before them.
func (chooser *Chooser) cost(endpoint *view.Endpoint, state *state, criteria Criteria) float64 {
	slots := float64(max(1, endpoint.Load.Slots))
	cost := float64(estimatedLoad(state)) / slots
	if criteria.Level == 0 {
		const totalWeight = 0.25
		urgent := float64(max(state.urgent, endpoint.Load.HighestPriorityRequests))
		cost = urgent/slots + totalWeight*cost
	}
	if state.samples >= minSamples {
		cost = (cost + 1/slots) * state.pace
	}
	if chooser.config.DataCentre != "" && endpoint.DataCentre != chooser.config.DataCentre {
		const remoteFactor = 1.1
		cost *= remoteFactor
	}
	return cost
}

// Started counts a call that starts at an endpoint.
func (chooser *Chooser) Started(name feed.Endpoint, level attained.Level) {
	state := chooser.state(name)
	state.running++
	if level == 0 {
		state.urgent++
	}
}

// Finished counts a call that has ended; failed is true if the endpoint was at
// fault. Two consecutive failures eject the endpoint.
func (chooser *Chooser) Finished(now time.Time, name feed.Endpoint, level attained.Level, failed bool) {
	state := chooser.state(name)
	state.running = max(0, state.running-1)
	if level == 0 {
		state.urgent = max(0, state.urgent-1)
	}
	if !failed {
		state.failures = 0
		return
	}
	state.failures++
	const failuresToEject = 2
	if state.failures >= failuresToEject {
		state.failures = 0
		chooser.eject(now, state, len(chooser.stateByEndpoint))
	}
}

// Running counts this node's calls in progress by endpoint.
func (chooser *Chooser) Running() map[feed.Endpoint]int {
	running := map[feed.Endpoint]int{}
	for name, state := range chooser.stateByEndpoint {
		if state.running > 0 {
			running[name] = state.running
		}
	}
	return running
}

// setState returns the cached state of a set of endpoints, or computes it.
func (chooser *Chooser) setState(endpoints *view.Set) *setState {
	if known := chooser.setByFingerprint[endpoints.Fingerprint]; known != nil {
		return known
	}
	const maxCachedSets = 16
	if len(chooser.setByFingerprint) > maxCachedSets {
		clear(chooser.setByFingerprint)
	}
	known := &setState{subset: chooser.subset(endpoints.Endpoints), ring: newRing(endpoints.Endpoints)}
	for _, endpoint := range endpoints.Endpoints {
		known.states = append(known.states, chooser.state(endpoint.Name))
	}
	chooser.setByFingerprint[endpoints.Fingerprint] = known
	return known
}

// subset returns the indexes of the endpoints that this node considers, chosen
// by rendezvous hashing of the node and the endpoint, so that nodes spread
// evenly.
func (chooser *Chooser) subset(endpoints []*view.Endpoint) []int {
	scores := make([]uint64, len(endpoints))
	order := make([]int, len(endpoints))
	for index, endpoint := range endpoints {
		order[index] = index
		scores[index] = hashOf(string(chooser.config.Node), endpoint.Name)
		if endpoint.DataCentre == chooser.config.DataCentre {
			scores[index] /= 2 // prefer the own data centre, but not exclusively
		}
	}
	if len(order) <= subsetSize {
		return order
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[a], scores[b]) })
	return order[:subsetSize]
}

func hashOf(salt string, name feed.Endpoint) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(salt))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(name.Group))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(name.Host))
	return mix(hash.Sum64())
}

// mix spreads a hash's bits (the finaliser of SplitMix64).
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
