// Package dispatcher decides for one node which call runs next and where. It
// joins the contracts' limits, the fair queue and the choice of endpoint.
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
	"carobline.dev/core/request/fairqueue"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/view"
)

const (
	// queuePlaces bounds the calls that wait at one node.
	queuePlaces = 20_000
	// firstGuess is the expected tokens of a customer's first call.
	firstGuess = 64
	// promptWeight is the work of a prompt token beside a generated one.
	promptWeight = 0.05
	// guessSmoothing is the weight of a new call's length in the guess.
	guessSmoothing = 0.05
	// rateWindow is what a limit may save up.
	rateWindow = time.Second
	// stallAtLeast is the shortest silence that counts as a stall.
	stallAtLeast = 100 * time.Millisecond
	// drainWindow smooths the rate at which the queue drains.
	drainWindow = time.Second
	// retryAtLeast and retryAtMost bound what callers are told to wait.
	retryAtLeast = time.Second
	retryAtMost  = 30 * time.Second
)

// Config is fixed for the life of a process.
type Config struct {
	Node       id.Node
	DataCentre id.DataCentre
	Rand       *rand.Rand
}

// account is what a node keeps of one customer.
type account struct {
	requests *bucket.Bucket
	tokens   *bucket.Bucket
	running  int
	guess    float64
	arrivals rate
	spending rate
}

// Dispatcher decides for one node. It isn't safe for concurrent use.
type Dispatcher struct {
	config   Config
	choice   *chooser.Chooser
	queue    *fairqueue.Queue[*waiting]
	items    map[Ticket]*fairqueue.Item[*waiting]
	calls    map[Ticket]*running
	accounts map[id.ClientAccount]*account
	drain    rate
	// firstMean and firstSpread are the time from the start at an endpoint to
	// the first token, and how far it strays, in seconds.
	firstMean   float64
	firstSpread float64
	next        Ticket
	// displaced are running calls that wait for another endpoint.
	displaced []Ticket
}

// New returns an idle dispatcher.
func New(_ time.Time, config Config) *Dispatcher {
	return &Dispatcher{
		config:   config,
		choice:   chooser.New(chooser.Config{Node: config.Node, DataCentre: config.DataCentre, Rand: config.Rand}),
		queue:    fairqueue.New[*waiting](queuePlaces),
		items:    map[Ticket]*fairqueue.Item[*waiting]{},
		calls:    map[Ticket]*running{},
		accounts: map[id.ClientAccount]*account{},
		drain:    rate{window: drainWindow},
	}
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
	account := dispatcher.account(now, clientAccount)
	account.arrivals.add(now, 1)
	if dispatcher.queue.LenOf(call.ClientAccount) > clientAccount.Contract.QueuePlaces {
		return 0, dispatcher.refuse(ReasonQueueFull, dispatcher.wait(now, clientAccount))
	}
	patience := clientAccount.Contract.Deadline() - dispatcher.margin(clientAccount)
	if wait := dispatcher.wait(now, clientAccount); wait > patience {
		return 0, dispatcher.refuse(ReasonDeadline, wait)
	}
	dispatcher.next++
	ticket := dispatcher.next
	work := &waiting{ticket: ticket, call: call, arrived: now, until: now.Add(patience)}
	expected := account.expected(call)
	cost := float64(call.Prompt)*promptWeight + expected
	item, ok := dispatcher.queue.Push(call.ClientAccount, float64(clientAccount.Contract.Share), rank(clientAccount.Contract.Priority), cost, work)
	if !ok {
		return 0, dispatcher.refuse(ReasonQueueFull, 0)
	}
	account.spending.add(now, float64(call.Prompt)+expected)
	dispatcher.items[ticket] = item
	return ticket, nil
}

// rank orders priorities for the queue.
func rank(priority contract.Priority) int {
	return slices.Index([]contract.Priority{contract.PriorityInteractive, contract.PriorityStandard, contract.PriorityBatch}, priority)
}

func (dispatcher *Dispatcher) account(now time.Time, clientAccount *view.ClientAccount) *account {
	known := dispatcher.accounts[clientAccount.Contract.ClientAccount]
	if known == nil {
		known = &account{
			requests: bucket.New(now, clientAccount.Quota.RequestsPerSecond, rateWindow),
			tokens:   bucket.New(now, clientAccount.Quota.TokensPerSecond, rateWindow),
			guess:    firstGuess,
			arrivals: rate{window: rateWindow},
			spending: rate{window: rateWindow},
		}
		dispatcher.accounts[clientAccount.Contract.ClientAccount] = known
	}
	known.requests.SetRate(now, clientAccount.Quota.RequestsPerSecond)
	known.tokens.SetRate(now, clientAccount.Quota.TokensPerSecond)
	return known
}

// Pump starts what can start and refuses what has waited too long.
func (dispatcher *Dispatcher) Pump(now time.Time, current *view.View) []Decision {
	decisions := append(dispatcher.pumpDisplaced(now, current), dispatcher.expire(now, current)...)
	if !now.Before(current.LeaseUntil) {
		return decisions
	}
	for {
		var endpoint *view.Endpoint
		item, ok := dispatcher.queue.Pop(func(item *fairqueue.Item[*waiting]) bool {
			endpoint = dispatcher.fit(now, current, item.Value.call)
			return endpoint != nil
		})
		if !ok {
			return decisions
		}
		dispatcher.start(now, current, item, endpoint)
		decisions = append(decisions, Decision{Ticket: item.Value.ticket, Endpoint: endpoint})
	}
}

// expire refuses calls past their deadline, and all once the node's lease is
// over or the customer's contract has gone.
func (dispatcher *Dispatcher) expire(now time.Time, current *view.View) []Decision {
	if dispatcher.queue.Len() == 0 {
		return nil
	}
	leased := now.Before(current.LeaseUntil)
	reason := func(work *waiting) (Reason, bool) {
		switch {
		case !leased:
			return ReasonNoLease, true
		case current.ClientAccounts[work.call.ClientAccount] == nil:
			return ReasonNoContract, true
		case now.Before(work.until):
			return "", false
		case endpoints(current, work.call) == nil:
			return ReasonNoEndpoint, true
		case dispatcher.limited(now, current, work.call.ClientAccount):
			return ReasonRateLimited, true
		default:
			return ReasonDeadline, true
		}
	}
	over := dispatcher.queue.Expired(func(item *fairqueue.Item[*waiting]) bool {
		_, expired := reason(item.Value)
		return expired
	})
	decisions := make([]Decision, len(over))
	for index, item := range over {
		why, _ := reason(item.Value)
		delete(dispatcher.items, item.Value.ticket)
		decisions[index] = Decision{Ticket: item.Value.ticket, Refusal: dispatcher.refuse(why, 0)}
	}
	return decisions
}

func (dispatcher *Dispatcher) limited(now time.Time, current *view.View, name id.ClientAccount) bool {
	clientAccount := current.ClientAccounts[name]
	account := dispatcher.account(now, clientAccount)
	return !account.requests.Ready(now) || !account.tokens.Ready(now) || float64(account.running) >= clientAccount.Quota.Concurrency
}

func endpoints(current *view.View, call Call) *view.Set {
	if call.Service != "" {
		return current.Services[call.Service]
	}
	return current.Models[call.Model]
}

// fit finds an endpoint for a call whose customer may start one now.
func (dispatcher *Dispatcher) fit(now time.Time, current *view.View, call Call) *view.Endpoint {
	if dispatcher.limited(now, current, call.ClientAccount) {
		return nil
	}
	endpoint, ok := dispatcher.choice.Choose(now, endpoints(current, call), chooser.Criteria{
		Prefix: call.Prefix, Allowed: current.ClientAccounts[call.ClientAccount].Contract.DataCentres, Share: current.Share,
	})
	if !ok {
		return nil
	}
	return endpoint
}

func (dispatcher *Dispatcher) start(now time.Time, current *view.View, item *fairqueue.Item[*waiting], endpoint *view.Endpoint) {
	work := item.Value
	account := dispatcher.account(now, current.ClientAccounts[work.call.ClientAccount])
	account.requests.Take(now, 1)
	expected := account.expected(work.call)
	account.tokens.Take(now, float64(work.call.Prompt)+expected)
	account.running++
	dispatcher.drain.add(now, item.Cost)
	delete(dispatcher.items, work.ticket)
	dispatcher.calls[work.ticket] = &running{call: work.call, expected: expected, endpoint: endpoint.Name}
	dispatcher.choice.Started(endpoint.Name, 0)
}

// Cancel drops a waiting call whose caller has gone; it is false when the call
// isn't waiting.
func (dispatcher *Dispatcher) Cancel(ticket Ticket) bool {
	item, ok := dispatcher.items[ticket]
	if !ok {
		return false
	}
	delete(dispatcher.items, ticket)
	return dispatcher.queue.Remove(item)
}

// Pace takes the time between two tokens of a running call. It is true when the
// endpoint has been ejected as slow, so that the call had better move.
func (dispatcher *Dispatcher) Pace(now time.Time, ticket Ticket, gap time.Duration) bool {
	call := dispatcher.calls[ticket]
	if call == nil || call.endpoint == (feed.Endpoint{}) {
		return false
	}
	dispatcher.choice.Pace(now, call.endpoint, gap)
	return dispatcher.choice.Ejected(now, call.endpoint)
}

// expected is the work that a call is thought to make beside its prompt. A call
// of a plain service generates nothing and counts as one token.
func (account *account) expected(call Call) float64 {
	if call.Service != "" {
		return 1
	}
	return account.guess
}

// Finished takes the end of a running call and what it really generated.
func (dispatcher *Dispatcher) Finished(now time.Time, ticket Ticket, tokens id.Tokens, failed bool) {
	call := dispatcher.calls[ticket]
	if call == nil {
		return
	}
	delete(dispatcher.calls, ticket)
	if call.endpoint != (feed.Endpoint{}) {
		dispatcher.choice.Finished(now, call.endpoint, call.level, failed)
	}
	account := dispatcher.accounts[call.call.ClientAccount]
	account.running--
	extra := float64(tokens) - call.expected
	account.tokens.Take(now, extra)
	account.spending.add(now, max(0, extra))
	if call.call.Service == "" {
		account.guess += guessSmoothing * extra
	}
	dispatcher.queue.Correct(call.call.ClientAccount, extra)
}

// Report tells what the node needs and does, for the leader.
func (dispatcher *Dispatcher) Report(now time.Time) (map[id.ClientAccount]granter.Quota, map[feed.Endpoint]int, int) {
	demand := map[id.ClientAccount]granter.Quota{}
	for name, account := range dispatcher.accounts {
		part := granter.Quota{
			RequestsPerSecond: account.arrivals.perSecond(now),
			TokensPerSecond:   account.spending.perSecond(now),
			Concurrency:       float64(account.running + dispatcher.queue.LenOf(name)),
		}
		if part != (granter.Quota{}) {
			demand[name] = part
		}
	}
	return demand, dispatcher.choice.Running(), len(dispatcher.calls) + dispatcher.queue.Len()
}

// Ejected tells whether an endpoint is kept out at a time.
func (dispatcher *Dispatcher) Ejected(now time.Time, name feed.Endpoint) bool {
	return dispatcher.choice.Ejected(now, name)
}
