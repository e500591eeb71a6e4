package dispatcher

import (
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/chooser"
	"carobline.dev/core/version/view"
)

// Move takes a running call from its endpoint and picks one for the rest of it,
// at a level; failed is true if the old endpoint was at fault, and it isn't
// picked again then. When no endpoint has capacity, a call that didn't fail stays
// where it was, as long as that endpoint is valid. Otherwise the call is
// displaced and Move returns false: it goes before all queued calls, and a later
// Pump returns the decision.
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
	if endpoint, ok := dispatcher.reassign(now, current, call); ok {
		return endpoint, true
	}
	if endpoint := current.Endpoints[old]; !failed && endpoint != nil && now.Before(endpoint.ValidUntil) {
		// A call that is demoted to a lower level may queue at its own endpoint.
		dispatcher.assign(call, endpoint)
		return endpoint, true
	}
	call.reassignBy = now
	if clientAccount := current.ClientAccounts[call.call.ClientAccount]; clientAccount != nil {
		call.reassignBy = now.Add(clientAccount.Contract.Deadline())
	}
	dispatcher.displaced = append(dispatcher.displaced, ticket)
	return nil, false
}

// reassign finds another endpoint for a call that has left its own.
func (dispatcher *Dispatcher) reassign(now time.Time, current *view.View, call *running) (*view.Endpoint, bool) {
	if !now.Before(current.LeaseUntil) {
		return nil, false
	}
	criteria := chooser.Criteria{Prefix: call.call.Prefix, Level: call.level, Avoid: call.failedEndpoint, Share: current.Share}
	if clientAccount := current.ClientAccounts[call.call.ClientAccount]; clientAccount != nil {
		criteria.Allowed = clientAccount.Contract.DataCentres
	}
	endpoint, ok := dispatcher.chooser.Choose(now, endpoints(current, call.call), criteria)
	if ok {
		dispatcher.assign(call, endpoint)
	}
	return endpoint, ok
}

func (dispatcher *Dispatcher) assign(call *running, endpoint *view.Endpoint) {
	call.endpoint = endpoint.Name
	dispatcher.chooser.Started(endpoint.Name, call.level)
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
		if endpoint, ok := dispatcher.reassign(now, current, call); ok {
			decisions = append(decisions, Decision{Ticket: ticket, Endpoint: endpoint})
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
