package dispatcher

import (
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/chooser"
	"carobline.dev/core/version/view"
)

// Move takes a running call from its endpoint, where its attempt has ended, and picks
// one for the rest of it, at a level; failed is true if the old endpoint was at fault,
// and it isn't picked again then. When no endpoint has capacity, a call that didn't fail
// stays where it was, as long as that endpoint is valid. Otherwise the call is displaced
// and Move returns false: it goes before all queued calls, and a later Pump returns the
// decision.
func (dispatcher *Dispatcher) Move(now time.Time, current *view.View, ticket Ticket, level attained.Level, failed bool) (*view.Endpoint, bool) {
	call := dispatcher.runningByTicket[ticket]
	if call == nil {
		return nil, false
	}
	old := call.endpoint
	dispatcher.chooser.Finished(now, old, call.level, failed)
	call.endpoint, call.level, call.failedEndpoint = feed.Endpoint{}, level, feed.Endpoint{}
	if failed {
		call.failedEndpoint = old
	}
	endpoint, ok := dispatcher.pickEndpoint(now, current, call, level, old, failed)
	if ok {
		dispatcher.assign(now, call, endpoint)
		return endpoint, true
	}
	call.reassignBy = now
	if clientAccount := current.ClientAccounts[call.call.ClientAccount]; clientAccount != nil {
		call.reassignBy = now.Add(clientAccount.Contract.Deadline())
	}
	dispatcher.displaced = append(dispatcher.displaced, ticket)
	return nil, false
}

// Reserve holds an endpoint for the rest of a call that goes on at its own, at a level.
// The arguments are as in Move. It returns false when no endpoint has capacity, or one is
// held already. TakeReserved or ReleaseReserved ends the reservation.
func (dispatcher *Dispatcher) Reserve(now time.Time, current *view.View, ticket Ticket, level attained.Level, failed bool) (*view.Endpoint, bool) {
	call := dispatcher.runningByTicket[ticket]
	if call == nil || call.endpoint == (feed.Endpoint{}) || call.reserved != (feed.Endpoint{}) {
		return nil, false
	}
	endpoint, ok := dispatcher.pickEndpoint(now, current, call, level, call.endpoint, failed)
	if !ok {
		return nil, false
	}
	call.reserved, call.reservedLevel = endpoint.Name, level
	dispatcher.chooser.Started(endpoint.Name, level)
	dispatcher.chooser.Sent(now, endpoint)
	return endpoint, true
}

// TakeReserved moves a call to its reserved endpoint. Set failed if the old one was at
// fault.
func (dispatcher *Dispatcher) TakeReserved(now time.Time, ticket Ticket, failed bool) {
	call := dispatcher.runningByTicket[ticket]
	if call == nil || call.reserved == (feed.Endpoint{}) {
		return
	}
	dispatcher.chooser.Finished(now, call.endpoint, call.level, failed)
	call.endpoint, call.level, call.reserved = call.reserved, call.reservedLevel, feed.Endpoint{}
}

// ReleaseReserved ends a reservation without a move. Set failed if the reserved endpoint
// was at fault.
func (dispatcher *Dispatcher) ReleaseReserved(now time.Time, ticket Ticket, failed bool) {
	call := dispatcher.runningByTicket[ticket]
	if call == nil || call.reserved == (feed.Endpoint{}) {
		return
	}
	dispatcher.chooser.Finished(now, call.reserved, call.reservedLevel, failed)
	call.reserved = feed.Endpoint{}
}

// pickEndpoint picks an endpoint for the rest of a call that is or was at its own. A call
// that didn't fail there, but is demoted, may queue at its own, unless that one is evacuated, or
// cold and its limit doesn't allow another request.
func (dispatcher *Dispatcher) pickEndpoint(now time.Time, current *view.View, call *running, level attained.Level, own feed.Endpoint, failed bool) (*view.Endpoint, bool) {
	avoid := feed.Endpoint{}
	if failed {
		avoid = own
	}
	if endpoint, ok := dispatcher.chooseRest(now, current, call, level, avoid); ok {
		return endpoint, true
	}
	endpoint := current.Endpoints[own]
	return endpoint, !failed && endpoint != nil && now.Before(endpoint.ValidUntil) && !current.Evacuated(endpoint.DataCentre) && dispatcher.chooser.MayRepeat(now, endpoint)
}

// chooseRest chooses an endpoint with capacity for the rest of a call.
func (dispatcher *Dispatcher) chooseRest(now time.Time, current *view.View, call *running, level attained.Level, avoid feed.Endpoint) (*view.Endpoint, bool) {
	if !now.Before(current.LeaseUntil) {
		return nil, false
	}
	criteria := chooser.Criteria{Prefix: call.call.Prefix, Level: level, Avoid: avoid, Share: current.Share}
	if clientAccount := current.ClientAccounts[call.call.ClientAccount]; clientAccount != nil {
		criteria.Allowed = clientAccount.Contract.DataCentres
	}
	return dispatcher.chooser.Choose(now, endpoints(current, call.call), criteria)
}

func (dispatcher *Dispatcher) assign(now time.Time, call *running, endpoint *view.Endpoint) {
	call.endpoint = endpoint.Name
	dispatcher.chooser.Started(endpoint.Name, call.level)
	dispatcher.chooser.Sent(now, endpoint)
}

// reassignDisplaced decides on displaced calls, the longest displaced first.
func (dispatcher *Dispatcher) reassignDisplaced(now time.Time, current *view.View) []Decision {
	var decisions []Decision
	remaining := dispatcher.displaced[:0]
	for _, ticket := range dispatcher.displaced {
		call := dispatcher.runningByTicket[ticket]
		if call == nil {
			continue
		}
		if endpoint, ok := dispatcher.chooseRest(now, current, call, call.level, call.failedEndpoint); ok {
			dispatcher.assign(now, call, endpoint)
			decisions = append(decisions, Decision{Ticket: ticket, Endpoint: endpoint})
			continue
		}
		if evacuated(current, call.call) {
			decisions = append(decisions, Decision{Ticket: ticket, Refusal: dispatcher.refuse(ReasonEvacuated, 0)})
			continue
		}
		if !now.Before(call.reassignBy) {
			decisions = append(decisions, Decision{Ticket: ticket, Refusal: dispatcher.refuse(ReasonDeadline, 0)})
			continue
		}
		remaining = append(remaining, ticket)
	}
	dispatcher.displaced = remaining
	return decisions
}
