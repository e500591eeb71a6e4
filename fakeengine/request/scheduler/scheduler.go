// Package scheduler shares an engine's slots between streams: the streams of
// the best priority run, the earliest first, and the others pause.
//
// # Usage
//
//	turn := slots.Join(priority)
//	for slots.Runs(turn) { ... }
//	slots.Leave(turn)
package scheduler

import "sync"

// Turn is one stream's place.
type Turn struct {
	priority int
	order    uint64
}

// Scheduler holds the streams of one engine. It is safe for concurrent use.
type Scheduler struct {
	mutex sync.Mutex
	slots int
	next  uint64
	turns map[*Turn]struct{}
}

// New returns a scheduler with a number of slots.
func New(slots int) *Scheduler {
	return &Scheduler{slots: slots, turns: map[*Turn]struct{}{}}
}

// Join adds a stream; a smaller priority goes first.
func (scheduler *Scheduler) Join(priority int) *Turn {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.next++
	turn := &Turn{priority: priority, order: scheduler.next}
	scheduler.turns[turn] = struct{}{}
	return turn
}

// Leave takes a stream out.
func (scheduler *Scheduler) Leave(turn *Turn) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	delete(scheduler.turns, turn)
}

// Runs tells whether a stream has a slot now.
func (scheduler *Scheduler) Runs(turn *Turn) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	before := 0
	for other := range scheduler.turns {
		if other.priority < turn.priority || (other.priority == turn.priority && other.order < turn.order) {
			before++
		}
	}
	return before < scheduler.slots
}

// Load counts the streams that run, that wait, and that have the first
// priority.
func (scheduler *Scheduler) Load() (running, queued, urgent int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for turn := range scheduler.turns {
		if turn.priority == 0 {
			urgent++
		}
	}
	running = min(len(scheduler.turns), scheduler.slots)
	return running, len(scheduler.turns) - running, urgent
}
