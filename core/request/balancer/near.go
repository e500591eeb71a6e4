package balancer

import (
	"slices"

	"carobline.dev/core/request/locality"
	"carobline.dev/core/request/shedding"
	"carobline.dev/core/version/view"
)

// prefersNear reports whether a call prefers endpoints in the own data centre. Calls that
// have lost an endpoint, or seek another one beside their own, go where they are served
// best: their callers have waited already, and they are few.
func (balancer *Balancer) prefersNear(call Call) bool {
	return !call.Failover && !call.running() && balancer.locality.Applies(call.Target)
}

// nearScratch holds what weighRooms needs of each endpoint. It is kept between decisions, of
// which a pool of thousands of endpoints would otherwise allocate megabytes a second.
type nearScratch struct {
	loads, weighed []float64
	far            []bool
}

// reset makes room for a number of endpoints.
func (scratch *nearScratch) reset(count int) {
	scratch.loads = slices.Grow(scratch.loads[:0], count)[:count]
	scratch.weighed = slices.Grow(scratch.weighed[:0], count)[:count]
	scratch.far = slices.Grow(scratch.far[:0], count)[:count]
	clear(scratch.loads)
}

// weighRooms applies the preference for the own data centre, and the quotas that follow
// from it, to the rooms of endpoints. When no near endpoint takes the call, there is no
// preference, so that it doesn't wait while others are free. The result is valid until the
// next decision.
func (balancer *Balancer) weighRooms(call Call, endpoints []*view.Endpoint, rooms []float64, limits shedding.Limits) (weighed []float64, total float64) {
	var here, there locality.Load
	scratch := &balancer.near
	for index, endpoint := range endpoints {
		far, side := balancer.locality.Far(call.Target, endpoint.DataCentre), &here
		if far {
			side = &there
		}
		scratch.far[index] = far
		slots := float64(slotsOf(endpoint))
		side.Slots += slots
		side.Room += rooms[index]
		side.Running += scratch.loads[index] * slots
	}
	weight := balancer.locality.Weight(here, there)
	nearQuota, farQuota := balancer.locality.QuotaFactors(weight, here, there)
	if total = balancer.weigh(endpoints, rooms, limits, weight, nearQuota, farQuota); total <= 0 && weight < 1 {
		total = balancer.weigh(endpoints, rooms, limits, 1, 1, 1)
	}
	return scratch.weighed, total
}

// weigh sets the weighed rooms, by a weight of far endpoints and factors on quotas, and returns
// their sum.
func (balancer *Balancer) weigh(endpoints []*view.Endpoint, rooms []float64, limits shedding.Limits, weight, nearQuota, farQuota float64) (total float64) {
	scratch := &balancer.near
	for index, room := range rooms {
		quota := nearQuota
		if scratch.far[index] {
			room *= weight
			quota = farQuota
		}
		if room > 0 && balancer.overQuota(endpoints[index], scratch.loads[index], limits, quota) {
			room = 0
		}
		scratch.weighed[index] = room
		total += room
	}
	return total
}
