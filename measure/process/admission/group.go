package admission

import (
	"cmp"
	"slices"
	"time"
)

// group is a group of engines at work. It works in passes: it reads prompts, up to a
// chunk in each token step, and gives each call that it writes one event.
type group struct {
	engine Engine
	// lost groups make no progress. From brokenAt on they reject calls.
	lost     bool
	brokenAt time.Duration
	// pausedUntil is until when it makes no progress but takes calls.
	pausedUntil time.Duration
	calls       []*call
	passEnd     time.Duration
	// arrived and rejected count the calls sent to the group.
	arrived, rejected int
}

// add takes a call, which is read after those that came before it. It reports false for a
// call that the group rejects.
func (group *group) add(now time.Duration, call *call) bool {
	group.arrived++
	full := group.engine.Queue > 0 && len(group.calls) >= group.engine.Slots+group.engine.Queue
	if full || (group.lost && now >= group.brokenAt) {
		group.rejected++
		return false
	}
	// Calls that wait for a slot get it in the order of their level.
	index := len(group.calls)
	for index > group.engine.Slots && group.calls[index-1].level > call.level {
		index--
	}
	group.calls = slices.Insert(group.calls, index, call)
	return true
}

// remove takes a call out of the group.
func (group *group) remove(call *call) {
	if index := slices.Index(group.calls, call); index >= 0 {
		group.calls = slices.Delete(group.calls, index, index+1)
	}
}

// advance ends the present pass if it is over, and begins the next one. It returns the
// calls that got an event, which are finished if none is left.
func (group *group) advance(now time.Duration) []*call {
	if group.lost || now < group.passEnd || now < group.pausedUntil {
		return nil
	}
	var progressed []*call
	for _, call := range group.running() {
		if call.unread <= 0 && call.inPass {
			call.eventsLeft--
			progressed = append(progressed, call)
		}
	}
	group.calls = slices.DeleteFunc(group.calls, func(call *call) bool { return call.eventsLeft <= 0 })
	group.passEnd = now + group.beginPass()
	return progressed
}

// running returns the calls that have a slot.
func (group *group) running() []*call { return group.calls[:min(len(group.calls), group.engine.Slots)] }

// beginPass reads prompts for the next pass and returns how long the pass takes.
func (group *group) beginPass() time.Duration {
	writers := 0
	for _, call := range group.running() {
		call.inPass = call.unread <= 0
		if call.inPass {
			writers++
		}
	}
	steps := 1
	if writers > 0 {
		steps = group.engine.StepsPerEvent
	}
	budget := steps * group.engine.Chunk
	read := 0
	for _, call := range group.running() {
		tokens := min(call.unread, budget-read)
		if tokens <= 0 {
			continue
		}
		call.unread -= tokens
		read += tokens
		call.inPass = call.unread <= 0
	}
	milliseconds := float64(read) / group.engine.PromptTokensPerMS
	if writers > 0 {
		milliseconds += float64(steps) * (group.engine.StepMS + float64(writers)*group.engine.StepPerRequestMS)
	}
	return max(time.Millisecond, time.Duration(milliseconds*cmp.Or(group.engine.Pace, 1)*float64(time.Millisecond)))
}
