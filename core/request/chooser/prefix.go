package chooser

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"carobline.dev/core/version/view"
)

// pointsPerEndpoint is the number of points of each endpoint on the hash ring;
// with more of them the endpoints' parts of the ring differ less.
const pointsPerEndpoint = 32

// ringPoint is one point of the hash ring and the index of its endpoint.
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

// byPrefix finds an endpoint for a prefix: the least loaded one that reports the
// prefix as cached, else the one with the fewest cached prefixes among the first
// on the ring from the prefix's hash. All nodes use the same ring, so that they
// agree on an endpoint before its late report lists the prefix. None may be
// loaded up to prefixLoadLimit.
func (chooser *Chooser) byPrefix(now time.Time, endpoints *view.Set, setState *setState, criteria Criteria) *view.Endpoint {
	loadLimit := prefixLoadLimit(setState)
	var best *view.Endpoint
	bestLoad := 0
	cachedCriteria := criteria
	cachedCriteria.prefixCached = true
	for _, index := range endpoints.IndexesByPrefix[uint32(criteria.Prefix)] {
		endpoint, state := endpoints.Endpoints[index], setState.states[index]
		if load := estimatedLoad(state); float64(load) < loadLimit && (best == nil || load < bestLoad) && chooser.usable(now, endpoint, state, cachedCriteria) {
			best, bestLoad = endpoint, load
		}
	}
	if best != nil {
		return best
	}
	return chooser.byRing(now, endpoints, setState, criteria, loadLimit)
}

func (chooser *Chooser) byRing(now time.Time, endpoints *view.Set, setState *setState, criteria Criteria, loadLimit float64) *view.Endpoint {
	position, _ := slices.BinarySearchFunc(setState.ring, mix(criteria.Prefix), func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	var best *view.Endpoint
	last := -1
	for probes := 0; probes < ringProbes; position++ {
		if position >= len(setState.ring) {
			position = 0
		}
		probes++
		index := setState.ring[position].index
		if index == last {
			continue
		}
		last = index
		endpoint, state := endpoints.Endpoints[index], setState.states[index]
		if !chooser.usable(now, endpoint, state, criteria) || float64(estimatedLoad(state)) >= loadLimit {
			continue
		}
		if best == nil || len(endpoint.Prefixes) < len(best.Prefixes) {
			best = endpoint
		}
	}
	return best
}

// prefixLoadLimit returns the load from which on an endpoint isn't chosen for a
// prefix: loadBound times the mean load of the node's subset with the new call,
// and at least one call.
func prefixLoadLimit(setState *setState) float64 {
	total := 0
	for _, index := range setState.subset {
		total += estimatedLoad(setState.states[index])
	}
	return max(1, loadBound*float64(total+1)/float64(len(setState.subset)))
}
