// Package fairqueue orders waiting work: by priority, then fairly between
// client accounts by work and weight, then by arrival. It is start-time fair
// queueing (Goyal, Vin and Cheng, "Start-Time Fair Queueing", 1996) with one
// queue for each client account, so that what one client account queues never
// delays another's turn.
//
// # Usage
//
//	queue := fairqueue.New[Call](capacity)
//	item, ok := queue.Push("acme", 3, 0, cost, call)
//	item, ok = queue.Pop(func(item *fairqueue.Item[Call]) bool { return fits(item) })
//	queue.AdjustCost("acme", actual-cost)
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

	// startTag is the virtual time at which its turn comes.
	startTag float64
	element  *list.Element
	flow     *flow[T]
}

// flow is one client account's queue.
type flow[T any] struct {
	clientAccount id.ClientAccount
	weight        float64
	priority      int
	// finishTag is the virtual time at which its last item will be done.
	finishTag float64
	waiting   *list.List
	// cost is the total cost of the waiting items.
	cost float64
}

// Queue holds waiting work. It isn't safe for concurrent use.
type Queue[T any] struct {
	capacity            int
	count               int
	virtualTime         float64
	flowByClientAccount map[id.ClientAccount]*flow[T]
	// flows holds the same flows in the order of their creation.
	flows []*flow[T]
	// turn returns the priority by which an item waits. Without it that is its client account's.
	turn func(item *Item[T], priority int) int
}

// New returns a queue for up to capacity items of all client accounts together.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity, flowByClientAccount: map[id.ClientAccount]*flow[T]{}}
}

// OrderBy sets a function that returns the priority by which an item waits, from that of its
// client account.
func (queue *Queue[T]) OrderBy(turn func(item *Item[T], priority int) int) { queue.turn = turn }

// Len counts the waiting items.
func (queue *Queue[T]) Len() int { return queue.count }

// LenOf counts a client account's waiting items.
func (queue *Queue[T]) LenOf(clientAccount id.ClientAccount) int {
	if flow := queue.flowByClientAccount[clientAccount]; flow != nil {
		return flow.waiting.Len()
	}
	return 0
}

// CostOf returns the total cost of a client account's waiting items.
func (queue *Queue[T]) CostOf(clientAccount id.ClientAccount) float64 {
	if flow := queue.flowByClientAccount[clientAccount]; flow != nil {
		return flow.cost
	}
	return 0
}

// ActiveWeight adds up the weights of the client accounts that have work
// waiting at a priority or one that is served before it.
func (queue *Queue[T]) ActiveWeight(priority int) float64 {
	total := 0.0
	for _, flow := range queue.flows {
		if flow.waiting.Len() > 0 && flow.priority <= priority {
			total += flow.weight
		}
	}
	return total
}

// Push adds work at the end of its client account's queue; priority 0 is served
// first. It returns false when the queue is at its capacity.
func (queue *Queue[T]) Push(clientAccount id.ClientAccount, weight float64, priority int, cost float64, value T) (*Item[T], bool) {
	if queue.count >= queue.capacity {
		return nil, false
	}
	flow := queue.flow(clientAccount)
	flow.weight, flow.priority = max(weight, 1e-6), priority
	item := &Item[T]{ClientAccount: clientAccount, Cost: cost, Value: value, flow: flow}
	item.startTag = max(queue.virtualTime, flow.finishTag)
	flow.finishTag = item.startTag + cost/flow.weight
	flow.cost += cost
	item.element = flow.waiting.PushBack(item)
	queue.count++
	return item, true
}

func (queue *Queue[T]) flow(clientAccount id.ClientAccount) *flow[T] {
	known := queue.flowByClientAccount[clientAccount]
	if known == nil {
		known = &flow[T]{clientAccount: clientAccount, waiting: list.New()}
		queue.flowByClientAccount[clientAccount] = known
		queue.flows = append(queue.flows, known)
	}
	return known
}

// Pop removes and returns the next item that fit accepts. Only the first item of
// each client account is tried; a client account whose item isn't accepted is
// skipped and keeps its turn. Pop returns false when no item is accepted.
func (queue *Queue[T]) Pop(fit func(item *Item[T]) bool) (*Item[T], bool) {
	var tried map[*flow[T]]bool
	for {
		best := queue.nextFlow(tried)
		if best == nil {
			return nil, false
		}
		item := best.head()
		if fit(item) {
			queue.virtualTime = max(queue.virtualTime, item.startTag)
			queue.remove(item)
			return item, true
		}
		if tried == nil {
			tried = map[*flow[T]]bool{}
		}
		tried[best] = true
	}
}

// nextFlow returns the flow whose turn it is, except some; nil when there is
// none.
func (queue *Queue[T]) nextFlow(except map[*flow[T]]bool) *flow[T] {
	var best *flow[T]
	bestTurn := 0
	for _, flow := range queue.flows {
		if flow.waiting.Len() == 0 || except[flow] {
			continue
		}
		head, turn := flow.head(), flow.priority
		if queue.turn != nil {
			turn = queue.turn(head, turn)
		}
		if best == nil || turn < bestTurn || (turn == bestTurn && head.startTag < best.head().startTag) {
			best, bestTurn = flow, turn
		}
	}
	return best
}

func (flow *flow[T]) head() *Item[T] {
	item, _ := flow.waiting.Front().Value.(*Item[T])
	return item
}

// Remove takes an item out before its turn; it returns false when the item isn't
// waiting. The later items of its client account move up by its cost, so that
// nothing is charged for it.
func (queue *Queue[T]) Remove(item *Item[T]) bool {
	if item.element == nil {
		return false
	}
	shift := item.Cost / item.flow.weight
	for element := item.element.Next(); element != nil; element = element.Next() {
		if later, ok := element.Value.(*Item[T]); ok {
			later.startTag = max(queue.virtualTime, later.startTag-shift)
		}
	}
	item.flow.finishTag = max(queue.virtualTime, item.flow.finishTag-shift)
	queue.remove(item)
	return true
}

func (queue *Queue[T]) remove(item *Item[T]) {
	item.flow.waiting.Remove(item.element)
	item.flow.cost -= item.Cost
	item.element = nil
	queue.count--
}

// AdjustCost charges a client account for work of a finished call beyond its
// expected cost, or credits it when extra is negative.
func (queue *Queue[T]) AdjustCost(clientAccount id.ClientAccount, extra float64) {
	flow := queue.flowByClientAccount[clientAccount]
	if flow == nil || flow.weight == 0 {
		return
	}
	flow.finishTag += extra / flow.weight
	if flow.waiting.Len() == 0 {
		return
	}
	for element := flow.waiting.Front(); element != nil; element = element.Next() {
		if item, ok := element.Value.(*Item[T]); ok {
			item.startTag += extra / flow.weight
		}
	}
}

// RemoveExpired takes out and returns all items for which expired returns true,
// grouped by client account.
func (queue *Queue[T]) RemoveExpired(expired func(item *Item[T]) bool) []*Item[T] {
	var removed []*Item[T]
	for _, flow := range queue.flows {
		for element := flow.waiting.Front(); element != nil; {
			next := element.Next()
			if item, ok := element.Value.(*Item[T]); ok && expired(item) {
				removed = append(removed, item)
			}
			element = next
		}
	}
	for _, item := range removed {
		queue.Remove(item)
	}
	return removed
}
