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

// byPrefix walks the ring from a prefix's place to the first endpoint that is
// usable and not far above the mean load. All nodes walk the same ring.
func (chooser *Chooser) byPrefix(now time.Time, endpoints *view.Set, known *set, ask Ask) *view.Endpoint {
	place, _ := slices.BinarySearchFunc(known.ring, mix(ask.Prefix), func(point ringPoint, hash uint64) int {
		return cmp.Compare(point.hash, hash)
	})
	bound := bound(known)
	last := -1
	for tries := 0; tries < prefixTries; place++ {
		if place >= len(known.ring) {
			place = 0
		}
		index := known.ring[place].index
		tries++
		if index == last {
			continue
		}
		last = index
		endpoint, state := endpoints.Endpoints[index], known.states[index]
		if chooser.usable(now, endpoint, state, ask) && float64(load(state)) < bound {
			return endpoint
		}
	}
	return nil
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
