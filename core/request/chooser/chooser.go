// Package chooser decides which endpoint serves a call. It corrects the
// endpoints' late load reports by this node's own calls in progress, prefers
// the endpoint that holds a prompt's prefix while that isn't overloaded
// (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
// 2018), else takes the better of two random ones (Mitzenmacher, "The Power of
// Two Choices", 2001), and ejects endpoints that are slow beside their peers.
//
// # Usage
//
//	choice := chooser.New(chooser.Config{Node: "n1", Rand: rand})
//	endpoint, ok := choice.Choose(now, endpoints, chooser.Ask{Prefix: hash})
//	choice.Started(endpoint, 0)
//	choice.Pace(now, endpoint, gap)
//	choice.Finished(endpoint, 0, false)
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
	"carobline.dev/core/version/view"
)

const (
	// subsetSize bounds the endpoints that one node considers for a model.
	subsetSize = 48
	// loadBound is how far above the mean an endpoint's load may go for the
	// sake of a prefix.
	loadBound = 1.5
	// prefixTries bounds how many places of the ring are tried.
	prefixTries = 4
	// plenty is the part of the slots, as one in this many, that must be free
	// before a node may go beyond its share by a call.
	plenty = 4
	// slowFactor is how much slower than the median of its peers an endpoint
	// must be to be ejected.
	slowFactor = 2
	// minPeers and minSamples are needed before any is ejected.
	minPeers   = 3
	minSamples = 8
	// ejectPart bounds the endpoints ejected at a time: one in this many.
	ejectPart = 3
	// firstEjection doubles with each ejection in a row, up to lastEjection.
	firstEjection = 5 * time.Second
	lastEjection  = 80 * time.Second
	// smoothing is the weight of a new sample of pace.
	smoothing = 0.2
)

// Config is fixed for the life of a process.
type Config struct {
	Node       id.Node
	DataCentre id.DataCentre
	Rand       *rand.Rand
}

// Criteria is what matters of a call for the choice.
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
	// holds is set while endpoints that have the prefix cached are looked at.
	holds bool
}

func (ask Criteria) share() float64 {
	if ask.Share <= 0 {
		return 1
	}
	return ask.Share
}

// state is what a node knows of an endpoint beyond its reports.
type state struct {
	running int
	urgent  int
	// reported says that report is the last one taken.
	reported bool
	report   uint64
	// others are the calls of other nodes by the last report.
	others int
	// allowed and allowedUrgent bound this node's calls until the next report.
	allowed       int
	allowedUrgent int

	pace         float64
	samples      int
	ejectedUntil time.Time
	ejections    int
	failures     int
	// trial says that an ejection is over and that the endpoint hasn't yet
	// shown that it is well again.
	trial bool
}

// Chooser chooses endpoints for one node. It isn't safe for concurrent use.
type Chooser struct {
	config Config
	states map[feed.Endpoint]*state
	sets   map[uint64]*set
	// checked is when the endpoints' paces were last compared, and the medians
	// are what came of it.
	checked       time.Time
	groupMedian   float64
	serviceMedian float64
}

// set is what is kept for one set of endpoints, by their places in it, until
// other endpoints come or go.
type set struct {
	subset []int
	ring   []ringPoint
	states []*state
}

// New returns a chooser that knows nothing of any endpoint.
func New(config Config) *Chooser {
	return &Chooser{config: config, states: map[feed.Endpoint]*state{}, sets: map[uint64]*set{}}
}

func (chooser *Chooser) state(name feed.Endpoint) *state {
	known := chooser.states[name]
	if known == nil {
		known = &state{}
		chooser.states[name] = known
	}
	return known
}

// take brings what is known of an endpoint up to its last report. The free
// slots that it shows are shared out over the nodes, since all nodes see the
// same report at about the same time: this node may add its share to what it
// runs, and gives up its share of what is too much.
func (chooser *Chooser) take(endpoint *view.Endpoint, known *state, share float64) {
	if known.reported && endpoint.Report == known.report {
		return
	}
	known.reported, known.report = true, endpoint.Report
	load := endpoint.Load
	known.others = max(0, load.Running+load.Queued-known.running)
	known.allowed = chooser.allow(load.Slots, load.Running+load.Queued, known.running, share)
	known.allowedUrgent = chooser.allow(load.Slots, load.HighestPriority, known.urgent, share)
}

// allow rounds up or down by chance, so that the nodes' parts add up right in
// the mean however small they are.
func (chooser *Chooser) allow(slots, total, own int, share float64) int {
	free := slots - max(total, own)
	exact := max(float64(own)+float64(free)*share, float64(slots)*share)
	allowed := int(exact + chooser.config.Rand.Float64())
	if free*plenty >= slots {
		// With slots to spare a call may go where it likes best.
		allowed = max(allowed, own+1)
	}
	return allowed
}

// room tells whether this node may start a call of a level at an endpoint. One
// that reports no slots takes any number, one on trial a single call.
func (chooser *Chooser) room(endpoint *view.Endpoint, known *state, ask Criteria) bool {
	chooser.take(endpoint, known, ask.share())
	switch {
	case known.trial && known.running > 0:
		return false
	case endpoint.Load.Slots == 0:
		return true
	case ask.holds && load(known)*plenty < endpoint.Load.Slots*(plenty-1):
		return true
	case ask.Level == 0:
		return known.urgent < known.allowedUrgent
	default:
		return known.running < known.allowed
	}
}

// load estimates the calls at an endpoint.
func load(known *state) int { return known.running + known.others }

// Choose picks an endpoint with room; it is false when there is none.
func (chooser *Chooser) Choose(now time.Time, endpoints *view.Set, ask Criteria) (*view.Endpoint, bool) {
	if endpoints == nil || len(endpoints.Endpoints) == 0 {
		return nil, false
	}
	known := chooser.set(endpoints)
	// A node that considers only some endpoints has a larger part of each.
	ask.Share = min(1, ask.share()*float64(len(endpoints.Endpoints))/float64(len(known.subset)))
	if ask.Prefix != 0 {
		if endpoint := chooser.byPrefix(now, endpoints, known, ask); endpoint != nil {
			return endpoint, true
		}
	}
	if endpoint := chooser.byLoad(now, endpoints, known, ask); endpoint != nil {
		return endpoint, true
	}
	return chooser.anyWithRoom(now, endpoints, known, ask)
}

// usable tells whether a call may go to an endpoint at all.
func (chooser *Chooser) usable(now time.Time, endpoint *view.Endpoint, known *state, ask Criteria) bool {
	if !now.Before(endpoint.ValidUntil) || now.Before(known.ejectedUntil) || endpoint.Name == ask.Avoid {
		return false
	}
	if len(ask.Allowed) > 0 && !slices.Contains(ask.Allowed, endpoint.DataCentre) {
		return false
	}
	return chooser.room(endpoint, known, ask)
}

// byLoad takes the better of two random endpoints of the node's subset.
func (chooser *Chooser) byLoad(now time.Time, endpoints *view.Set, known *set, ask Criteria) *view.Endpoint {
	size := len(known.subset)
	var best *view.Endpoint
	bestCost := 0.0
	for range 2 {
		index := known.subset[chooser.config.Rand.IntN(size)]
		endpoint, state := endpoints.Endpoints[index], known.states[index]
		if !chooser.usable(now, endpoint, state, ask) {
			continue
		}
		if cost := chooser.cost(endpoint, state, ask); best == nil || cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	return best
}

// anyWithRoom looks through the whole subset for the cheapest.
func (chooser *Chooser) anyWithRoom(now time.Time, endpoints *view.Set, known *set, ask Criteria) (*view.Endpoint, bool) {
	var best *view.Endpoint
	bestCost := 0.0
	for _, index := range known.subset {
		endpoint, state := endpoints.Endpoints[index], known.states[index]
		if !chooser.usable(now, endpoint, state, ask) {
			continue
		}
		if cost := chooser.cost(endpoint, state, ask); best == nil || cost < bestCost {
			best, bestCost = endpoint, cost
		}
	}
	return best, best != nil
}

// cost weighs an endpoint's load, its pace and its distance. Level 0 minds the
// calls behind it, which its arrival would push aside, less than those beside it.
func (chooser *Chooser) cost(endpoint *view.Endpoint, state *state, ask Criteria) float64 {
	slots := float64(max(1, endpoint.Load.Slots))
	cost := float64(load(state)) / slots
	if ask.Level == 0 {
		const behind = 0.25
		beside := float64(max(state.urgent, endpoint.Load.HighestPriority))
		cost = beside/slots + behind*cost
	}
	if state.samples >= minSamples {
		cost = (cost + 1/slots) * state.pace
	}
	if chooser.config.DataCentre != "" && endpoint.DataCentre != chooser.config.DataCentre {
		const remote = 1.1
		cost *= remote
	}
	return cost
}

// Started counts a call that begins at an endpoint.
func (chooser *Chooser) Started(name feed.Endpoint, level attained.Level) {
	known := chooser.state(name)
	known.running++
	if level == 0 {
		known.urgent++
	}
}

// Finished counts a call that has ended; failed says that the endpoint was at
// fault.
func (chooser *Chooser) Finished(now time.Time, name feed.Endpoint, level attained.Level, failed bool) {
	known := chooser.state(name)
	known.running = max(0, known.running-1)
	if level == 0 {
		known.urgent = max(0, known.urgent-1)
	}
	if !failed {
		known.failures = 0
		return
	}
	known.failures++
	const failuresToEject = 2
	if known.failures >= failuresToEject {
		known.failures = 0
		chooser.eject(now, known, len(chooser.states))
	}
}

// Running counts this node's calls in progress by endpoint.
func (chooser *Chooser) Running() map[feed.Endpoint]int {
	running := map[feed.Endpoint]int{}
	for name, known := range chooser.states {
		if known.running > 0 {
			running[name] = known.running
		}
	}
	return running
}

// set finds or draws up what is kept for a set of endpoints.
func (chooser *Chooser) set(endpoints *view.Set) *set {
	if known := chooser.sets[endpoints.Fingerprint]; known != nil {
		return known
	}
	const keep = 16
	if len(chooser.sets) > keep {
		clear(chooser.sets)
	}
	known := &set{subset: chooser.subset(endpoints.Endpoints), ring: newRing(endpoints.Endpoints)}
	for _, endpoint := range endpoints.Endpoints {
		known.states = append(known.states, chooser.state(endpoint.Name))
	}
	chooser.sets[endpoints.Fingerprint] = known
	return known
}

// subset picks the endpoints that this node considers, by rendezvous hashing of
// the node and the endpoint, so that nodes spread evenly.
func (chooser *Chooser) subset(endpoints []*view.Endpoint) []int {
	scores := make([]uint64, len(endpoints))
	order := make([]int, len(endpoints))
	for index, endpoint := range endpoints {
		order[index] = index
		scores[index] = hashOf(string(chooser.config.Node), endpoint.Name)
		if endpoint.DataCentre == chooser.config.DataCentre {
			scores[index] /= 2 // near ones come first, but not only them
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
