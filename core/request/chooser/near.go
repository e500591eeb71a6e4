package chooser

import (
	"slices"
	"time"

	"carobline.dev/core/request/locality"
	"carobline.dev/core/version/routing"
	"carobline.dev/core/version/view"
)

// Update takes the declaration, whose delays decide which data centres are far.
func (chooser *Chooser) Update(table *routing.Table) { chooser.locality.Update(table) }

// farWeight returns the weight of far endpoints for a call: 1 if it has no preference.
func (chooser *Chooser) farWeight(now time.Time, endpoints *view.Set, setState *setState, criteria Criteria) float64 {
	if !chooser.locality.Applies(criteria.Target) {
		return 1
	}
	var here, there locality.Load
	for _, index := range setState.subset {
		endpoint, state := endpoints.Endpoints[index], setState.states[index]
		chooser.applyReport(endpoint, state, criteria.share())
		side := &here
		if chooser.locality.Far(criteria.Target, endpoint.DataCentre) {
			side = &there
		}
		slots, running := float64(max(1, endpoint.Load.Slots)), float64(estimatedLoad(state))
		if endpoint.Load.Slots == 0 {
			running = 0 // it takes any number of calls
		}
		side.Slots += slots
		side.Running += running
		allowed := len(criteria.Allowed) == 0 || slices.Contains(criteria.Allowed, endpoint.DataCentre)
		if allowed && now.Before(endpoint.ValidUntil) && !now.Before(state.ejectedUntil) {
			side.Room += max(0, slots-running)
		}
	}
	return chooser.locality.Weight(here, there)
}

// leaves reports whether a call that has drawn a far endpoint leaves it for a near one.
func (chooser *Chooser) leaves(endpoint *view.Endpoint, criteria Criteria) bool {
	return criteria.farWeight < 1 && chooser.locality.Far(criteria.Target, endpoint.DataCentre) && chooser.config.Rand.Float64() >= criteria.farWeight
}
