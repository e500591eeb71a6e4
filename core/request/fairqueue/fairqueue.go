// Package fairqueue orders waiting work: by priority, then fairly between
// customers by work and weight, then by arrival. It is start-time fair queueing
// (Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1996) with one queue for
// each customer, so that what one customer queues never delays another's turn.
//
// # Usage
//
//	queue := fairqueue.New[Call](places)
//	item, ok := queue.Push("acme", 3, 0, cost, call)
//	item, ok = queue.Pop(func(item *fairqueue.Item[Call]) bool { return fits(item) })
//	queue.Correct("acme", actual-cost)
package fairqueue

import (
	"container/list"

	"carobline.dev/core/id"
)

// Item is one piece of waiting work.
type Item[T any] struct {
	ClientAccount id.ClientAccount
	// Cost is the expected work, in tokens.
	Cost  float64
	Value T

	start   float64
	element *list.Element
	flow    *flow[T]
}

// flow is one customer's queue.
type flow[T any] struct {
	clientAccount id.ClientAccount
	weight        float64
	priority      int
	finish        float64
	waiting       *list.List
	cost          float64
}

// Queue holds waiting work. It isn't safe for concurrent use.
type Queue[T any] struct {
	places  int
	count   int
	virtual float64
	flows   map[id.ClientAccount]*flow[T]
	order   []*flow[T]
}

// New returns a queue with a number of places for all customers together.
func New[T any](places int) *Queue[T] {
	return &Queue[T]{places: places, flows: map[id.ClientAccount]*flow[T]{}}
}

// Len counts the waiting items.
func (queue *Queue[T]) Len() int { return queue.count }

// LenOf counts a customer's waiting items.
func (queue *Queue[T]) LenOf(clientAccount id.ClientAccount) int {
	if flow := queue.flows[clientAccount]; flow != nil {
		return flow.waiting.Len()
	}
	return 0
}

// CostOf adds up a customer's waiting work.
func (queue *Queue[T]) CostOf(clientAccount id.ClientAccount) float64 {
	if flow := queue.flows[clientAccount]; flow != nil {
		return flow.cost
	}
	return 0
}

// ActiveWeight adds up the weights of the customers of a priority or an
// earlier one that have work waiting.
func (queue *Queue[T]) ActiveWeight(priority int) float64 {
	total := 0.0
	for _, flow := range queue.order {
		if flow.waiting.Len() > 0 && flow.priority <= priority {
			total += flow.weight
		}
	}
	return total
}

// Push adds work at the end of its customer's queue. It is false when all
// places are taken.
func (queue *Queue[T]) Push(clientAccount id.ClientAccount, weight float64, priority int, cost float64, value T) (*Item[T], bool) {
	if queue.count >= queue.places {
		return nil, false
	}
	flow := queue.flow(clientAccount)
	flow.weight, flow.priority = max(weight, 1e-6), priority
	item := &Item[T]{ClientAccount: clientAccount, Cost: cost, Value: value, flow: flow}
	item.start = max(queue.virtual, flow.finish)
	flow.finish = item.start + cost/flow.weight
	flow.cost += cost
	item.element = flow.waiting.PushBack(item)
	queue.count++
	return item, true
}

func (queue *Queue[T]) flow(clientAccount id.ClientAccount) *flow[T] {
	known := queue.flows[clientAccount]
	if known == nil {
		known = &flow[T]{clientAccount: clientAccount, waiting: list.New()}
		queue.flows[clientAccount] = known
		queue.order = append(queue.order, known)
	}
	return known
}

// Pop takes the next item whose customer's first one is fit to go. Customers
// that aren't fit are passed over and keep their turn.
func (queue *Queue[T]) Pop(fit func(item *Item[T]) bool) (*Item[T], bool) {
	var tried map[*flow[T]]bool
	for {
		best := queue.first(tried)
		if best == nil {
			return nil, false
		}
		item := best.head()
		if fit(item) {
			queue.virtual = max(queue.virtual, item.start)
			queue.remove(item)
			return item, true
		}
		if tried == nil {
			tried = map[*flow[T]]bool{}
		}
		tried[best] = true
	}
}

// first finds the customer whose turn it is, passing over some.
func (queue *Queue[T]) first(except map[*flow[T]]bool) *flow[T] {
	var best *flow[T]
	for _, flow := range queue.order {
		if flow.waiting.Len() == 0 || except[flow] {
			continue
		}
		if best == nil || flow.priority < best.priority ||
			(flow.priority == best.priority && flow.head().start < best.head().start) {
			best = flow
		}
	}
	return best
}

func (flow *flow[T]) head() *Item[T] {
	item, _ := flow.waiting.Front().Value.(*Item[T])
	return item
}

// Remove takes an item out before its turn; it is false when it has gone. The
// customer gets back the turn that the item would have used.
func (queue *Queue[T]) Remove(item *Item[T]) bool {
	if item.element == nil {
		return false
	}
	shift := item.Cost / item.flow.weight
	for element := item.element.Next(); element != nil; element = element.Next() {
		if later, ok := element.Value.(*Item[T]); ok {
			later.start = max(queue.virtual, later.start-shift)
		}
	}
	item.flow.finish = max(queue.virtual, item.flow.finish-shift)
	queue.remove(item)
	return true
}

func (queue *Queue[T]) remove(item *Item[T]) {
	item.flow.waiting.Remove(item.element)
	item.flow.cost -= item.Cost
	item.element = nil
	queue.count--
}

// Correct charges a customer for work beyond, or gives back for work below,
// what was expected of a call that is over.
func (queue *Queue[T]) Correct(clientAccount id.ClientAccount, extra float64) {
	flow := queue.flows[clientAccount]
	if flow == nil || flow.weight == 0 {
		return
	}
	flow.finish += extra / flow.weight
	if flow.waiting.Len() == 0 {
		return
	}
	for element := flow.waiting.Front(); element != nil; element = element.Next() {
		if item, ok := element.Value.(*Item[T]); ok {
			item.start += extra / flow.weight
		}
	}
}

// Expired takes out all items that are over, in the order of the customers.
func (queue *Queue[T]) Expired(over func(item *Item[T]) bool) []*Item[T] {
	var expired []*Item[T]
	for _, flow := range queue.order {
		for element := flow.waiting.Front(); element != nil; {
			next := element.Next()
			if item, ok := element.Value.(*Item[T]); ok && over(item) {
				expired = append(expired, item)
			}
			element = next
		}
	}
	for _, item := range expired {
		queue.Remove(item)
	}
	return expired
}
