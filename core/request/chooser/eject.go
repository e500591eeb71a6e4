package chooser

import (
	"slices"
	"time"

	"carobline.dev/core/process/feed"
)

// compareEvery is how often the endpoints' median pace is worked out.
const compareEvery = 100 * time.Millisecond

// Pace takes the time between two tokens, or of a whole call of a service, at
// an endpoint. An endpoint that is slow beside its peers is ejected.
func (chooser *Chooser) Pace(now time.Time, name feed.Endpoint, gap time.Duration) {
	known := chooser.state(name)
	sample := gap.Seconds()
	if known.samples == 0 {
		known.pace = sample
	}
	known.pace += smoothing * (sample - known.pace)
	known.samples++
	if now.Sub(chooser.checked) >= compareEvery {
		chooser.checked = now
		chooser.compare()
	}
	if now.Before(known.ejectedUntil) {
		return
	}
	median, peers := chooser.median(name)
	switch {
	case known.trial && median > 0 && sample > slowFactor*median:
		chooser.eject(now, known, peers)
	case known.samples < minSamples:
	case median > 0 && known.pace > slowFactor*median:
		chooser.eject(now, known, peers)
	default:
		known.trial = false
	}
}

// MedianPace is the median time between tokens, in seconds, at the peers of an
// endpoint; it is zero while too few are known.
func (chooser *Chooser) MedianPace(name feed.Endpoint) float64 {
	pace, _ := chooser.median(name)
	return pace
}

// median is the pace of an endpoint's peers; groups and services are compared
// apart. Peers counts all endpoints that this node has used.
func (chooser *Chooser) median(name feed.Endpoint) (pace float64, peers int) {
	if name.Group != "" {
		return chooser.groupMedian, len(chooser.states)
	}
	return chooser.serviceMedian, len(chooser.states)
}

func (chooser *Chooser) compare() {
	var groups, services []float64
	for name, known := range chooser.states {
		switch {
		case known.samples < minSamples:
		case name.Group != "":
			groups = append(groups, known.pace)
		default:
			services = append(services, known.pace)
		}
	}
	chooser.groupMedian, chooser.serviceMedian = medianOf(groups), medianOf(services)
}

// medianOf is zero when there are too few to compare.
func medianOf(paces []float64) float64 {
	if len(paces) < minPeers {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// eject keeps an endpoint out for a while, unless too many are out already.
func (chooser *Chooser) eject(now time.Time, known *state, peers int) {
	if now.Before(known.ejectedUntil) {
		return
	}
	out := 0
	for _, other := range chooser.states {
		if now.Before(other.ejectedUntil) || other.trial {
			out++
		}
	}
	if !known.trial && (out+1)*ejectPart > peers {
		return
	}
	// One that has served well for long since its last ejection starts over.
	if now.Sub(known.ejectedUntil) > lastEjection {
		known.ejections = 0
	}
	pause := min(lastEjection, firstEjection<<min(known.ejections, 8))
	known.ejections++
	known.ejectedUntil = now.Add(pause)
	known.trial = true
	known.samples = 0
}

// Ejected tells whether an endpoint is kept out at a time.
func (chooser *Chooser) Ejected(now time.Time, name feed.Endpoint) bool {
	known := chooser.states[name]
	return known != nil && now.Before(known.ejectedUntil)
}
