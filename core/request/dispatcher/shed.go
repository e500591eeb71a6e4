package dispatcher

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/request/shedding"
	"carobline.dev/core/version/view"
)

// pool names the endpoints that may serve a call: those of a model or of a plain service.
type pool struct {
	model   id.Model
	service id.Service
}

func poolOf(call Call) pool { return pool{model: call.Model, service: call.Service} }

// shed describes a client account's call to the shedding policy. The fair queue
// decides on its turn within a priority.
func shed(clientAccount *view.ClientAccount) shedding.Call {
	return shedding.Call{Priority: priorityRank(clientAccount.Contract.Priority)}
}

// policy returns the policy for the calls of a call's pool.
func (dispatcher *Dispatcher) policy(call Call) *shedding.Policy {
	name := poolOf(call)
	known := dispatcher.policyByPool[name]
	if known == nil {
		known = &shedding.Policy{}
		dispatcher.policyByPool[name] = known
	}
	return known
}

// observeLoads records the loads of the pools whose calls differ in priority. While no call waits, it
// drops the policies of pools without endpoints, whose models and services may have been removed.
func (dispatcher *Dispatcher) observeLoads(now time.Time, current *view.View) {
	for name, policy := range dispatcher.policyByPool {
		candidates := endpoints(current, Call{Model: name.model, Service: name.service})
		switch {
		case dispatcher.queue.Len() == 0:
			if candidates == nil {
				delete(dispatcher.policyByPool, name)
			}
		case policy.Several():
			policy.ObserveLoad(now, dispatcher.chooser.Load(candidates))
		}
	}
}
