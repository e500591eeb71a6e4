package chooser

import (
	"slices"
	"time"

	"carobline.dev/core/process/feed"
)

// medianInterval is how often the median paces of the endpoints are computed.
const medianInterval = 100 * time.Millisecond

// Pace records the time between two tokens, or of a whole call of a service, at
// an endpoint. An endpoint that is slow compared with its peers is ejected; one
// on probation is ejected again by a single slow sample. Slow samples of times
// that overlap count as one, since all calls wait in one pause of the endpoint.
func (chooser *Chooser) Pace(now time.Time, name feed.Endpoint, gap time.Duration) {
	state := chooser.state(name)
	sample := gap.Seconds()
	if median := chooser.MedianPace(name); median > 0 && sample > slowFactor*median {
		if now.Add(-gap).Before(state.slowUntil) {
			return
		}
		state.slowUntil, sample = now, min(sample, maxSampleFactor*median)
	}
	if state.samples == 0 {
		state.pace = sample
	}
	state.pace += paceSmoothing * (sample - state.pace)
	state.samples++
	if now.Sub(chooser.mediansAt) >= medianInterval {
		chooser.mediansAt = now
		chooser.updateMedians()
	}
	if now.Before(state.ejectedUntil) {
		return
	}
	median, peers := chooser.median(name)
	switch {
	case state.onProbation && median > 0 && sample > slowFactor*median:
		chooser.eject(now, state, peers)
	case state.samples < minSamples:
	case median > 0 && state.pace > slowFactor*median:
		chooser.eject(now, state, peers)
	default:
		state.onProbation = false
	}
}

// MedianPace returns the median time between tokens, in seconds, of an
// endpoint's peers; it is zero while too few are known.
func (chooser *Chooser) MedianPace(name feed.Endpoint) float64 {
	pace, _ := chooser.median(name)
	return pace
}

// median returns the median pace of an endpoint's peers; groups and services are
// compared separately. peers counts all endpoints that this node has used.
func (chooser *Chooser) median(name feed.Endpoint) (pace float64, peers int) {
	if name.Group != "" {
		return chooser.groupMedian, len(chooser.stateByEndpoint)
	}
	return chooser.serviceMedian, len(chooser.stateByEndpoint)
}

func (chooser *Chooser) updateMedians() {
	var groupPaces, servicePaces []float64
	for name, state := range chooser.stateByEndpoint {
		switch {
		case state.samples < minSamples:
		case name.Group != "":
			groupPaces = append(groupPaces, state.pace)
		default:
			servicePaces = append(servicePaces, state.pace)
		}
	}
	chooser.groupMedian, chooser.serviceMedian = medianOf(groupPaces), medianOf(servicePaces)
}

// medianOf returns zero when there are too few paces to compare.
func medianOf(paces []float64) float64 {
	if len(paces) < minPeers {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// eject excludes an endpoint for a while. It does nothing when too many others
// are ejected or on probation, unless the endpoint is on probation itself.
func (chooser *Chooser) eject(now time.Time, state *state, peers int) {
	if now.Before(state.ejectedUntil) {
		return
	}
	ejected := 0
	for _, other := range chooser.stateByEndpoint {
		if now.Before(other.ejectedUntil) || other.onProbation {
			ejected++
		}
	}
	if !state.onProbation && (ejected+1)*ejectedDivisor > peers {
		return
	}
	// An endpoint that wasn't ejected for longer than maxEjection starts again
	// at minEjection.
	if now.Sub(state.ejectedUntil) > maxEjection {
		state.ejections = 0
	}
	duration := min(maxEjection, minEjection<<min(state.ejections, 8))
	state.ejections++
	state.ejectedUntil = now.Add(duration)
	state.onProbation = true
	state.samples = 0
}

// Ejected reports whether an endpoint is ejected at a time.
func (chooser *Chooser) Ejected(now time.Time, name feed.Endpoint) bool {
	state := chooser.stateByEndpoint[name]
	return state != nil && now.Before(state.ejectedUntil)
}
