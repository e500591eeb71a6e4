// Package locality decides which part of an entry host's calls is sent to endpoints in
// other data centres. Calls stay in the own data centre while its endpoints are about as
// free as the others, and are sent to the others in proportion to how much less free the
// own ones are.
//
// # Usage
//
//	preference := locality.New("dc1")
//	preference.Update(current.Routing)
//	if preference.Applies(target) {
//		far := preference.Far(target, endpoint.DataCentre)
//		weight := preference.Weight(here, there)
//	}
package locality

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/routing"
)

const (
	// minRoundTripDivisor of a call's target is the round trip from which on another data
	// centre counts as far: shorter ones change no answer's time by more than 1%, and calls
	// that stay would only be spread over fewer endpoints.
	minRoundTripDivisor = 100
	// maxRoundTrip stands for any longer one, which need not fit into a time.Duration.
	maxRoundTrip = time.Hour
	// margin is by which part the own endpoints may have less room per slot than the others
	// before calls are sent to those.
	margin = 0.1
	// gain is the part of the calls that is sent to the others for each part of the room
	// beyond margin that the own endpoints have less: all of them at 0.7. In the model of
	// measure/process/admission with 89 entry hosts, counts that are 0.6 s old and one data
	// centre with twice the others' demand, 0.002 to 0.028 fewer calls are on time with 1, and
	// with 2 calls begin to swing between data centres.
	gain = 1.5
	// maxExcess is by which part the own endpoints have more room per slot than the others when
	// the demand is so much less than expected that no calls need be sent across.
	maxExcess = 0.5
)

// Load is the sum over the endpoints of a pool in one or more data centres.
type Load struct {
	// Slots are those of all endpoints, whether or not they take calls.
	Slots float64
	// Room is how many more calls the endpoints take.
	Room float64
	// Running are the known calls in progress at the endpoints that may take calls.
	Running float64
}

// Preference is that of one entry host. It isn't safe for concurrent use.
type Preference struct {
	own   id.DataCentre
	table *routing.Table
	// roundTrips are those from the own data centre. There are few, so that a search
	// takes less time than a map.
	roundTrips []roundTrip
	longest    time.Duration
}

type roundTrip struct {
	to   id.DataCentre
	time time.Duration
}

// New returns the preference of an entry host in a data centre, without round trips. An
// empty name is for a host that doesn't know where it is and prefers nothing.
func New(own id.DataCentre) *Preference { return &Preference{own: own} }

// Update takes the delays that the services of a declaration declare. The longest one
// counts where they differ. Nothing is preferred without a declaration.
func (preference *Preference) Update(table *routing.Table) {
	if table == preference.table {
		return
	}
	preference.table, preference.roundTrips, preference.longest = table, nil, 0
	if table == nil || preference.own == "" {
		return
	}
	for _, service := range table.Declaration().Services {
		if service.Engine == nil {
			continue
		}
		for _, delay := range service.Engine.Delays {
			preference.add(delay)
		}
	}
}

func (preference *Preference) add(delay routing.Delay) {
	to := delay.To
	switch preference.own {
	case delay.From:
	case delay.To:
		to = delay.From
	default:
		return
	}
	both := time.Duration(min(2*delay.MS*float64(time.Millisecond), float64(maxRoundTrip)))
	if to == preference.own || both <= 0 {
		return
	}
	preference.longest = max(preference.longest, both)
	for index := range preference.roundTrips {
		if known := &preference.roundTrips[index]; known.to == to {
			known.time = max(known.time, both)
			return
		}
	}
	preference.roundTrips = append(preference.roundTrips, roundTrip{to: to, time: both})
}

// Applies reports whether some data centre is far for calls with a target.
func (preference *Preference) Applies(target time.Duration) bool {
	return isFar(preference.longest, target)
}

// Far reports whether a data centre is far for calls with a target. One without a declared
// delay isn't.
func (preference *Preference) Far(target time.Duration, dataCentre id.DataCentre) bool {
	for index := range preference.roundTrips {
		if known := &preference.roundTrips[index]; known.to == dataCentre {
			return isFar(known.time, target)
		}
	}
	return false
}

func isFar(roundTrip, target time.Duration) bool {
	return roundTrip > 0 && target > 0 && roundTrip >= target/minRoundTripDivisor
}

// Weight returns the factor, from 0 to 1, on the rooms of far endpoints, for calls that
// choose endpoints in proportion to their rooms. The share of calls that it sends to far
// endpoints rises from 0, once the near ones have less room per slot by margin, in
// proportion to what they have less, or to what they will. 1 is no preference: the share that
// the rooms give.
func (preference *Preference) Weight(here, there Load) float64 {
	switch {
	case here.Room <= 0:
		return 1
	case there.Room <= 0:
		return 0
	}
	// The room of here is small where it is nearly full, and so is a difference that matters
	// there: hence the ratio of rooms, not the difference of loads.
	lack := 1 - here.Room*there.Slots/(there.Room*here.Slots)
	spill := max(spillFor(lack), preference.expectedSpill(here, there)*min(1, max(0, 1+lack/maxExcess)))
	switch {
	case spill <= 0:
		return 0
	case spill >= 1:
		return 1
	default:
		return min(1, spill/(1-spill)*here.Room/there.Room)
	}
}

// spillFor returns the share of calls to send to far endpoints when the near ones have less room
// per slot by a part.
func spillFor(lack float64) float64 { return gain * (lack - margin) / (1 - margin) }

// expectedSpill returns the share of calls to send to far endpoints because the near ones have
// fewer slots than the data centre's part of the calls needs, as after a loss of engines. All
// data centres are taken to have equal demand. The loads show such a lack only after the calls
// have come, when all entry hosts have overloaded what is left here.
func (preference *Preference) expectedSpill(here, there Load) float64 {
	dataCentres := float64(len(preference.roundTrips) + 1)
	slots, running := here.Slots+there.Slots, here.Running+there.Running
	excess := 1 - dataCentres*here.Slots/slots
	if excess <= 0 {
		return 0
	}
	staying := running / dataCentres
	roomHere, roomThere := 1-staying/here.Slots, 1-(running-staying)/there.Slots
	if roomThere <= 0 {
		return 0
	}
	return min(excess, spillFor(1-roomHere/roomThere))
}

// QuotaFactors returns the factors on this entry host's quotas of the slots of near and of
// far endpoints. The quotas of a host that prefers the near ones move there from the far
// ones with its calls, so that the slots of each data centre are shared out whole.
func (preference *Preference) QuotaFactors(weight float64, here, there Load) (near, far float64) {
	if here.Slots <= 0 {
		return 1, 1
	}
	return 1 + (1-weight)*there.Slots/here.Slots, weight
}
