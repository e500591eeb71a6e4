// Package scheduler shares an engine's slots between streams: those with the
// smallest priority numbers run, among equals the earliest, and the others pause.
//
// # Usage
//
//	ticket := scheduler.Enqueue(priority)
//	for scheduler.HasSlot(ticket) { ... }
//	scheduler.Remove(ticket)
package scheduler

import "sync"

// Ticket identifies one stream at its scheduler.
type Ticket struct {
	priority int
	// arrival numbers the streams in the order in which they were enqueued.
	arrival uint64
}

// Scheduler assigns the slots of one engine to its streams. It is safe for
// concurrent use.
type Scheduler struct {
	mutex       sync.Mutex
	slots       int
	lastArrival uint64
	tickets     map[*Ticket]struct{}
}

// New returns a scheduler that runs up to slots streams at a time.
func New(slots int) *Scheduler {
	return &Scheduler{slots: slots, tickets: map[*Ticket]struct{}{}}
}

// Enqueue adds a stream; a smaller priority number goes first.
func (scheduler *Scheduler) Enqueue(priority int) *Ticket {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.lastArrival++
	ticket := &Ticket{priority: priority, arrival: scheduler.lastArrival}
	scheduler.tickets[ticket] = struct{}{}
	return ticket
}

// Remove ends a stream and frees its slot.
func (scheduler *Scheduler) Remove(ticket *Ticket) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	delete(scheduler.tickets, ticket)
}

// HasSlot reports whether a stream has a slot now; streams of a smaller priority
// number that are enqueued later can take it away.
func (scheduler *Scheduler) HasSlot(ticket *Ticket) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	ahead := 0
	for other := range scheduler.tickets {
		if other.priority < ticket.priority || (other.priority == ticket.priority && other.arrival < ticket.arrival) {
			ahead++
		}
	}
	return ahead < scheduler.slots
}

// Load counts the streams that run, that wait for a slot, and, among both, those
// of priority 0.
func (scheduler *Scheduler) Load() (running, queued, highestPriority int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for ticket := range scheduler.tickets {
		if ticket.priority == 0 {
			highestPriority++
		}
	}
	running = min(len(scheduler.tickets), scheduler.slots)
	return running, len(scheduler.tickets) - running, highestPriority
}
