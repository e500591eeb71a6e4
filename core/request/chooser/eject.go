package chooser

import (
	"slices"
	"time"

	"carobline.dev/core/process/feed"
)

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
	if known.samples < minSamples || now.Before(known.ejectedUntil) {
		return
	}
	const checkEvery = 100 * time.Millisecond
	if now.Sub(chooser.checked) < checkEvery {
		return
	}
	chooser.checked = now
	chooser.compare(now)
}

// compare ejects the endpoints that are slow beside the median of all that
// have enough samples. Groups and services are compared apart.
func (chooser *Chooser) compare(now time.Time) {
	var groups, services []*state
	for name, known := range chooser.states {
		switch {
		case known.samples < minSamples:
		case name.Group != "":
			groups = append(groups, known)
		default:
			services = append(services, known)
		}
	}
	for _, peers := range [][]*state{groups, services} {
		chooser.comparePeers(now, peers)
	}
}

func (chooser *Chooser) comparePeers(now time.Time, peers []*state) {
	if len(peers) < minPeers {
		return
	}
	slices.SortFunc(peers, func(a, b *state) int {
		switch {
		case a.pace < b.pace:
			return -1
		case a.pace > b.pace:
			return 1
		default:
			return 0
		}
	})
	median := peers[len(peers)/2].pace
	for _, known := range slices.Backward(peers) {
		if known.pace <= slowFactor*median {
			break
		}
		chooser.eject(now, known, len(peers))
	}
}

// eject keeps an endpoint out for a while, unless too many are out already.
func (chooser *Chooser) eject(now time.Time, known *state, peers int) {
	if now.Before(known.ejectedUntil) {
		return
	}
	out := 0
	for _, other := range chooser.states {
		if now.Before(other.ejectedUntil) {
			out++
		}
	}
	if (out+1)*ejectPart > peers {
		return
	}
	pause := min(lastEjection, firstEjection<<min(known.ejections, 8))
	// One that has served well since its last ejection starts over.
	if now.Sub(known.ejectedUntil) > lastEjection {
		known.ejections = 0
		pause = firstEjection
	}
	known.ejections++
	known.ejectedUntil = now.Add(pause)
	// Half the samples needed: one that is still slow is soon out again.
	known.samples = minSamples / 2
}

// Ejected tells whether an endpoint is kept out at a time.
func (chooser *Chooser) Ejected(now time.Time, name feed.Endpoint) bool {
	known := chooser.states[name]
	return known != nil && now.Before(known.ejectedUntil)
}
