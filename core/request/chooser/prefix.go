package chooser

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"carobline.dev/core/version/view"
)

// pointsPerEndpoint evens out the parts of the ring.
const pointsPerEndpoint = 32

// ringPoint is one place of the hash ring.
type ringPoint struct {
	hash  uint64
	index int
}

func newRing(endpoints []*view.Endpoint) []ringPoint {
	ring := make([]ringPoint, 0, len(endpoints)*pointsPerEndpoint)
	for index, endpoint := range endpoints {
		for point := range pointsPerEndpoint {
			ring = append(ring, ringPoint{hashOf(strconv.Itoa(point), endpoint.Name), index})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// byPrefix finds the endpoint for a prefix: the least loaded one that says it
// has it cached, else the one with the fewest cached prefixes among the first on
// the ring from the prefix's place. All nodes walk the same ring, so that they
// agree before a cache's late report tells. None may be far above the mean load.
func (chooser *Chooser) byPrefix(now time.Time, endpoints *view.Set, known *set, ask Criteria) *view.Endpoint {
	most := bound(known)
	var best *view.Endpoint
	bestLoad := 0
	holding := ask
	holding.holds = true
	for _, index := range endpoints.Holders[uint32(ask.Prefix)] {
		endpoint, state := endpoints.Endpoints[index], known.states[index]
		if own := load(state); float64(own) < most && (best == nil || own < bestLoad) && chooser.usable(now, endpoint, state, holding) {
			best, bestLoad = endpoint, own
		}
	}
	if best != nil {
		return best
	}
	return chooser.byRing(now, endpoints, known, ask, most)
}

func (chooser *Chooser) byRing(now time.Time, endpoints *view.Set, known *set, ask Criteria, most float64) *view.Endpoint {
	place, _ := slices.BinarySearchFunc(known.ring, mix(ask.Prefix), func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	var best *view.Endpoint
	last := -1
	for tries := 0; tries < prefixTries; place++ {
		if place >= len(known.ring) {
			place = 0
		}
		tries++
		index := known.ring[place].index
		if index == last {
			continue
		}
		last = index
		endpoint, state := endpoints.Endpoints[index], known.states[index]
		if !chooser.usable(now, endpoint, state, ask) || float64(load(state)) >= most {
			continue
		}
		if best == nil || len(endpoint.Prefixes) < len(best.Prefixes) {
			best = endpoint
		}
	}
	return best
}

// bound is the load up to which a prefix decides: the mean over the node's
// subset with a margin, and never less than one call.
func bound(known *set) float64 {
	total := 0
	for _, index := range known.subset {
		total += load(known.states[index])
	}
	return max(1, loadBound*float64(total+1)/float64(len(known.subset)))
}
