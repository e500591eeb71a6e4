package dispatcher

import (
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/chooser"
	"carobline.dev/core/version/view"
)

// Move ends a running call's stay at its endpoint and picks one for the rest of
// it, at a level. When none has room the call is displaced: it goes before all
// queued ones, and a later Pump decides. Failed says that the old endpoint was
// at fault.
func (dispatcher *Dispatcher) Move(now time.Time, current *view.View, ticket Ticket, level attained.Level, failed bool) (*view.Endpoint, bool) {
	call := dispatcher.calls[ticket]
	if call == nil {
		return nil, false
	}
	old := call.endpoint
	dispatcher.choice.Finished(now, old, call.level, failed)
	call.endpoint, call.level, call.avoid = feed.Endpoint{}, level, feed.Endpoint{}
	if failed {
		call.avoid = old
	}
	if endpoint, ok := dispatcher.place(now, current, call); ok {
		return endpoint, true
	}
	if endpoint := current.Endpoints[old]; !failed && endpoint != nil && now.Before(endpoint.ValidUntil) {
		// A sinking call has its place in the queue of its own endpoint.
		dispatcher.settle(call, endpoint)
		return endpoint, true
	}
	call.until = now
	if clientAccount := current.ClientAccounts[call.call.ClientAccount]; clientAccount != nil {
		call.until = now.Add(clientAccount.Contract.Deadline())
	}
	dispatcher.displaced = append(dispatcher.displaced, ticket)
	return nil, false
}

// place finds an endpoint for a call that has lost its own.
func (dispatcher *Dispatcher) place(now time.Time, current *view.View, call *running) (*view.Endpoint, bool) {
	if !now.Before(current.LeaseUntil) {
		return nil, false
	}
	ask := chooser.Criteria{Prefix: call.call.Prefix, Level: call.level, Avoid: call.avoid, Share: current.Share}
	if clientAccount := current.ClientAccounts[call.call.ClientAccount]; clientAccount != nil {
		ask.Allowed = clientAccount.Contract.DataCentres
	}
	endpoint, ok := dispatcher.choice.Choose(now, endpoints(current, call.call), ask)
	if ok {
		dispatcher.settle(call, endpoint)
	}
	return endpoint, ok
}

func (dispatcher *Dispatcher) settle(call *running, endpoint *view.Endpoint) {
	call.endpoint = endpoint.Name
	dispatcher.choice.Started(endpoint.Name, call.level)
}

// pumpDisplaced places displaced calls, the longest displaced first.
func (dispatcher *Dispatcher) pumpDisplaced(now time.Time, current *view.View) []Decision {
	var decisions []Decision
	waiting := dispatcher.displaced[:0]
	for _, ticket := range dispatcher.displaced {
		call := dispatcher.calls[ticket]
		if call == nil {
			continue
		}
		if endpoint, ok := dispatcher.place(now, current, call); ok {
			decisions = append(decisions, Decision{Ticket: ticket, Endpoint: endpoint})
			continue
		}
		if !now.Before(call.until) {
			decisions = append(decisions, Decision{Ticket: ticket, Refusal: dispatcher.refuse(ReasonDeadline, 0)})
			continue
		}
		waiting = append(waiting, ticket)
	}
	dispatcher.displaced = waiting
	return decisions
}
