// Package dispatcher decides for one node which call runs next and at which
// endpoint. It combines the limits of contracts, the fair queue and the choice
// of an endpoint.
//
// # Usage
//
//	work := dispatcher.New(now, config)
//	ticket, refusal := work.Submit(now, current, call)
//	for _, decision := range work.Pump(now, current) { ... }
//	work.Finished(now, ticket, tokens, failed)
package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/request/bucket"
	"carobline.dev/core/request/chooser"
	"carobline.dev/core/request/estimate"
	"carobline.dev/core/request/fairqueue"
	"carobline.dev/core/request/shedding"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/view"
)

const (
	// queueCapacity is the most calls that wait at one node.
	queueCapacity = 20_000
	// initialExpectedTokens is the expected output of a client account's first
	// call.
	initialExpectedTokens = 64
	// promptWeight is the work of a prompt token relative to a generated one.
	promptWeight = 0.05
	// smoothing is the weight of a new sample in moving averages.
	smoothing = 0.05
	// rateWindow is the burst that a token bucket may save up, as a time at its
	// rate, and the window over which a client account's demand is averaged.
	rateWindow = time.Second
	// minStall is the shortest time without a token that counts as a stall.
	minStall = 100 * time.Millisecond
	// drainWindow is the window over which the drain rate of the queue is
	// averaged.
	drainWindow = time.Second
	// minRetryAfter and maxRetryAfter bound RetryAfter before jitter, which at
	// most doubles it.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Config is fixed for the life of a process.
type Config struct {
	Node       id.Node
	DataCentre id.DataCentre
	Rand       *rand.Rand
}

// accountState is what a node records about one client account.
type accountState struct {
	requests *bucket.Bucket
	tokens   *bucket.Bucket
	running  int
	// expectedTokens is the moving average of the tokens that a call generates.
	expectedTokens float64
	requestRate    rate
	tokenRate      rate
}

// Dispatcher decides for one node. It isn't safe for concurrent use.
type Dispatcher struct {
	config               Config
	chooser              *chooser.Chooser
	queue                *fairqueue.Queue[*waiting]
	itemByTicket         map[Ticket]*fairqueue.Item[*waiting]
	runningByTicket      map[Ticket]*running
	stateByClientAccount map[id.ClientAccount]*accountState
	drainRate            rate
	// firstToken estimates the time from the start at an endpoint to the first
	// token.
	firstToken estimate.Estimate
	lastTicket Ticket
	// policyByPool holds the policies of the models and services that have had calls and
	// endpoints.
	policyByPool map[pool]*shedding.Policy
	// displaced are running calls that wait for another endpoint.
	displaced []Ticket
}

// New returns an idle dispatcher.
func New(_ time.Time, config Config) *Dispatcher {
	dispatcher := &Dispatcher{
		config:               config,
		chooser:              chooser.New(chooser.Config{Node: config.Node, DataCentre: config.DataCentre, Rand: config.Rand}),
		queue:                fairqueue.New[*waiting](queueCapacity),
		itemByTicket:         map[Ticket]*fairqueue.Item[*waiting]{},
		runningByTicket:      map[Ticket]*running{},
		stateByClientAccount: map[id.ClientAccount]*accountState{},
		drainRate:            rate{window: drainWindow},
		policyByPool:         map[pool]*shedding.Policy{},
	}
	dispatcher.queue.OrderBy(func(item *fairqueue.Item[*waiting], priority int) int {
		if policy := dispatcher.policyByPool[poolOf(item.Value.call)]; policy != nil {
			return policy.Turn(priority)
		}
		return priority
	})
	return dispatcher
}

// Submit queues a call, or refuses it at once when it can't be served in time.
func (dispatcher *Dispatcher) Submit(now time.Time, current *view.View, call Call) (Ticket, *Refusal) {
	if current.Stopping {
		return 0, dispatcher.refuse(ReasonStopping, 0)
	}
	if !current.AcceptsNewWork(now) {
		return 0, dispatcher.refuse(ReasonNoLease, 0)
	}
	clientAccount := current.ClientAccounts[call.ClientAccount]
	if clientAccount == nil {
		return 0, dispatcher.refuse(ReasonNoContract, 0)
	}
	if evacuated(current, call) {
		return 0, dispatcher.refuse(ReasonEvacuated, 0)
	}
	state := dispatcher.accountState(now, clientAccount)
	state.requestRate.add(now, 1)
	if dispatcher.queue.LenOf(call.ClientAccount) > clientAccount.Contract.QueuePlaces {
		return 0, dispatcher.refuse(ReasonQueueFull, dispatcher.estimatedWait(now, clientAccount))
	}
	maxWait := clientAccount.Contract.Deadline() - dispatcher.firstTokenMargin(clientAccount)
	if wait := dispatcher.estimatedWait(now, clientAccount); wait > maxWait {
		return 0, dispatcher.refuse(ReasonDeadline, wait)
	}
	dispatcher.lastTicket++
	ticket := dispatcher.lastTicket
	work := &waiting{ticket: ticket, call: call, arrivedAt: now, startBy: now.Add(maxWait)}
	expected := state.expectedWork(call)
	cost := float64(call.Prompt)*promptWeight + expected
	item, ok := dispatcher.queue.Push(call.ClientAccount, float64(clientAccount.Contract.Share), priorityRank(clientAccount.Contract.Priority), cost, work)
	if !ok {
		return 0, dispatcher.refuse(ReasonQueueFull, 0)
	}
	state.tokenRate.add(now, float64(call.Prompt)+expected)
	if endpoints(current, call) != nil {
		dispatcher.policy(call).Observe(now, shed(clientAccount))
	}
	dispatcher.itemByTicket[ticket] = item
	return ticket, nil
}

// priorityRank returns the rank of a contract's priority in the queue; 0 is
// served first.
func priorityRank(priority contract.Priority) int {
	return slices.Index([]contract.Priority{contract.PriorityInteractive, contract.PriorityStandard, contract.PriorityBatch}, priority)
}

// accountState returns the state of a client account, created when it is
// missing, with the rates of its buckets set to the current quota.
func (dispatcher *Dispatcher) accountState(now time.Time, clientAccount *view.ClientAccount) *accountState {
	state := dispatcher.stateByClientAccount[clientAccount.Contract.ClientAccount]
	if state == nil {
		state = &accountState{
			requests:       bucket.New(now, clientAccount.Quota.RequestsPerSecond, rateWindow),
			tokens:         bucket.New(now, clientAccount.Quota.TokensPerSecond, rateWindow),
			expectedTokens: initialExpectedTokens,
			requestRate:    rate{window: rateWindow},
			tokenRate:      rate{window: rateWindow},
		}
		dispatcher.stateByClientAccount[clientAccount.Contract.ClientAccount] = state
	}
	state.requests.SetRate(now, clientAccount.Quota.RequestsPerSecond)
	state.tokens.SetRate(now, clientAccount.Quota.TokensPerSecond)
	return state
}

// Pump returns a decision for each waiting call that starts now or is refused
// because it has waited too long.
func (dispatcher *Dispatcher) Pump(now time.Time, current *view.View) []Decision {
	decisions := append(dispatcher.reassignDisplaced(now, current), dispatcher.expire(now, current)...)
	if !now.Before(current.LeaseUntil) {
		return decisions
	}
	dispatcher.observeLoads(now, current)
	for {
		var endpoint *view.Endpoint
		item, ok := dispatcher.queue.Pop(func(item *fairqueue.Item[*waiting]) bool {
			endpoint = dispatcher.findEndpoint(now, current, item.Value.call)
			return endpoint != nil
		})
		if !ok {
			return decisions
		}
		dispatcher.start(now, current, item, endpoint)
		decisions = append(decisions, Decision{Ticket: item.Value.ticket, Endpoint: endpoint})
	}
}

// expire refuses calls past their deadline, those of client accounts without a
// contract, and all calls once the node's lease has expired.
func (dispatcher *Dispatcher) expire(now time.Time, current *view.View) []Decision {
	if dispatcher.queue.Len() == 0 {
		return nil
	}
	leaseHeld := now.Before(current.LeaseUntil)
	refusalReason := func(work *waiting) (Reason, bool) {
		switch {
		case !leaseHeld:
			return ReasonNoLease, true
		case current.ClientAccounts[work.call.ClientAccount] == nil:
			return ReasonNoContract, true
		case evacuated(current, work.call):
			return ReasonEvacuated, true
		case now.Before(work.startBy):
			return "", false
		case endpoints(current, work.call) == nil:
			return ReasonNoEndpoint, true
		case dispatcher.limited(now, current, work.call.ClientAccount):
			return ReasonRateLimited, true
		default:
			return ReasonDeadline, true
		}
	}
	expired := dispatcher.queue.RemoveExpired(func(item *fairqueue.Item[*waiting]) bool {
		_, refused := refusalReason(item.Value)
		return refused
	})
	decisions := make([]Decision, len(expired))
	for index, item := range expired {
		reason, _ := refusalReason(item.Value)
		delete(dispatcher.itemByTicket, item.Value.ticket)
		decisions[index] = Decision{Ticket: item.Value.ticket, Refusal: dispatcher.refuse(reason, 0)}
	}
	return decisions
}

// limited reports whether a client account has used up its quota of requests,
// tokens or concurrent calls.
func (dispatcher *Dispatcher) limited(now time.Time, current *view.View, name id.ClientAccount) bool {
	clientAccount := current.ClientAccounts[name]
	state := dispatcher.accountState(now, clientAccount)
	return !state.requests.Ready(now) || !state.tokens.Ready(now) || float64(state.running) >= clientAccount.Quota.Concurrency
}

func endpoints(current *view.View, call Call) *view.Set {
	if call.Service != "" {
		return current.Services[call.Service]
	}
	return current.Models[call.Model]
}

// evacuated reports whether all endpoints that are left for a call are in evacuated data
// centres.
func evacuated(current *view.View, call Call) bool {
	if endpoints(current, call) != nil {
		return false
	}
	if call.Service != "" {
		return current.EvacuatedServices[call.Service]
	}
	return current.EvacuatedModels[call.Model]
}

// findEndpoint returns an endpoint for a call, or nil when its client account is
// over its quota or no endpoint has capacity.
func (dispatcher *Dispatcher) findEndpoint(now time.Time, current *view.View, call Call) *view.Endpoint {
	if dispatcher.limited(now, current, call.ClientAccount) {
		return nil
	}
	candidates := endpoints(current, call)
	if candidates == nil {
		return nil
	}
	dispatcher.chooser.Update(current.Routing)
	clientAccount, policy := current.ClientAccounts[call.ClientAccount], dispatcher.policy(call)
	accepted := &clientAccount.Contract
	criteria := chooser.Criteria{
		Prefix: call.Prefix, Allowed: accepted.DataCentres, Share: current.Share, Target: time.Duration(accepted.DeadlineMS) * time.Millisecond,
	}
	if maxLoad := policy.Limits(now, shed(clientAccount)).MaxLoad; maxLoad < 1 {
		criteria.MaxLoad = maxLoad
	}
	endpoint, ok := dispatcher.chooser.Choose(now, candidates, criteria)
	if !ok {
		policy.Delay(now, shed(clientAccount))
		return nil
	}
	return endpoint
}

func (dispatcher *Dispatcher) start(now time.Time, current *view.View, item *fairqueue.Item[*waiting], endpoint *view.Endpoint) {
	work := item.Value
	state := dispatcher.accountState(now, current.ClientAccounts[work.call.ClientAccount])
	state.requests.Take(now, 1)
	expected := state.expectedWork(work.call)
	state.tokens.Take(now, float64(work.call.Prompt)+expected)
	state.running++
	dispatcher.policy(work.call).Admit(now, shed(current.ClientAccounts[work.call.ClientAccount]))
	dispatcher.drainRate.add(now, item.Cost)
	delete(dispatcher.itemByTicket, work.ticket)
	dispatcher.runningByTicket[work.ticket] = &running{call: work.call, expected: expected, endpoint: endpoint.Name}
	dispatcher.chooser.Started(endpoint.Name, 0)
	dispatcher.chooser.Sent(now, endpoint)
}

// Cancel removes a waiting call whose caller has disconnected; it returns false
// when the call isn't waiting.
func (dispatcher *Dispatcher) Cancel(ticket Ticket) bool {
	item, ok := dispatcher.itemByTicket[ticket]
	if !ok {
		return false
	}
	delete(dispatcher.itemByTicket, ticket)
	return dispatcher.queue.Remove(item)
}

// Pace records the time between two tokens of a running call. It returns true
// when the endpoint is ejected as slow, so that the call should move to another
// one.
func (dispatcher *Dispatcher) Pace(now time.Time, ticket Ticket, gap time.Duration) bool {
	call := dispatcher.runningByTicket[ticket]
	if call == nil || call.endpoint == (feed.Endpoint{}) {
		return false
	}
	dispatcher.chooser.Pace(now, call.endpoint, gap)
	return dispatcher.chooser.Ejected(now, call.endpoint)
}

// expectedWork returns the tokens that a call is expected to generate. A call of
// a plain service generates none and counts as one token.
func (state *accountState) expectedWork(call Call) float64 {
	if call.Service != "" {
		return 1
	}
	return state.expectedTokens
}

// Finished records the end of a running call and the tokens that it generated,
// and corrects what was charged for it; failed is true if the endpoint was at
// fault.
func (dispatcher *Dispatcher) Finished(now time.Time, ticket Ticket, tokens id.Tokens, failed bool) {
	call := dispatcher.runningByTicket[ticket]
	if call == nil {
		return
	}
	dispatcher.ReleaseReserved(now, ticket, false)
	delete(dispatcher.runningByTicket, ticket)
	if call.endpoint != (feed.Endpoint{}) {
		dispatcher.chooser.Finished(now, call.endpoint, call.level, failed)
	}
	state := dispatcher.stateByClientAccount[call.call.ClientAccount]
	state.running--
	extra := float64(tokens) - call.expected
	state.tokens.Take(now, extra)
	state.tokenRate.add(now, max(0, extra))
	if call.call.Service == "" {
		state.expectedTokens += smoothing * extra
	}
	dispatcher.queue.AdjustCost(call.call.ClientAccount, extra)
}

// Report returns what the node reports to the leader: the demand of each client
// account, its running calls by endpoint, and the number of all running and
// waiting calls.
func (dispatcher *Dispatcher) Report(now time.Time) (map[id.ClientAccount]granter.Quota, map[feed.Endpoint]int, int) {
	demand := map[id.ClientAccount]granter.Quota{}
	for name, state := range dispatcher.stateByClientAccount {
		quota := granter.Quota{
			RequestsPerSecond: state.requestRate.perSecond(now),
			TokensPerSecond:   state.tokenRate.perSecond(now),
			Concurrency:       float64(state.running + dispatcher.queue.LenOf(name)),
		}
		if quota != (granter.Quota{}) {
			demand[name] = quota
		}
	}
	return demand, dispatcher.chooser.Running(), len(dispatcher.runningByTicket) + dispatcher.queue.Len()
}

// DivertedCalls returns how many calls the limits of cold endpoints have sent elsewhere. It is
// safe for concurrent use.
func (dispatcher *Dispatcher) DivertedCalls() int64 { return dispatcher.chooser.DivertedCalls() }

// Ejected reports whether an endpoint is ejected as slow or failing at a time.
func (dispatcher *Dispatcher) Ejected(now time.Time, name feed.Endpoint) bool {
	return dispatcher.chooser.Ejected(now, name)
}
