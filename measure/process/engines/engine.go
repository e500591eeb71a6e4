package engines

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/roster"
)

const (
	// announceInterval is the time between two announcements of an engine, and lease how
	// long one is valid.
	announceInterval = 1200 * time.Millisecond
	lease            = 4 * announceInterval
	// loadTime is how long an engine takes to join a group without having the weights,
	// warmUpTime with the weights on its host, and rejoinTime with them in memory.
	loadTime   = 1600 * time.Millisecond
	warmUpTime = time.Second
	rejoinTime = 200 * time.Millisecond
	// stageTime is how long staging weights takes, openTime opening a group, and
	// closeTime finishing its calls.
	stageTime = 1500 * time.Millisecond
	openTime  = 300 * time.Millisecond
	closeTime = time.Second
	// memberLossTimeout is how long after the loss of a member a head reports that its
	// group is broken.
	memberLossTimeout = 4 * time.Second
	slotsPerEngine    = 14
	dataCentre        = id.DataCentre("dc-1")
)

// state is what an engine does for its group.
type state int

const (
	stateFree state = iota
	stateJoining
	stateReady
	stateOpening
	stateOpen
	stateClosing
	stateBroken
)

// transition is the next state of an engine that needs time to get there.
type transition struct {
	to   state
	time time.Duration
}

// engine is the state machine of one engine. An engine that has failed answers nothing and
// announces nothing.
type engine struct {
	host        id.Host
	address     string
	domain      id.Domain
	service     id.Service
	incarnation id.Incarnation
	sequence    uint64

	order action.Order // the one by which it joined its group
	state state
	// next is the state from nextAt on. The zero nextAt stands for none, as it does for
	// stagedAt and breaksAt.
	next   state
	nextAt time.Time
	// loaded is the model in memory, staged the one on the host, and staging the one
	// that is on the host from stagedAt on.
	loaded, staged, staging id.Model
	stagedAt                time.Time
	// breaksAt is when the head of a group that has lost a member reports it.
	breaksAt   time.Time
	failed     bool
	announceAt time.Time
}

// carryOut carries out an order. Orders for another host, as well as those with an older
// fencing token than the engine's group has, change nothing.
func (engine *engine) carryOut(now time.Time, order action.Order) {
	if order.Host != engine.host {
		return
	}
	switch order.Kind {
	case action.OrderLoad:
		engine.join(now, order)
	case action.OrderUnload:
		if engine.inGroup(order.Group, order.Fencing) {
			engine.leave(now)
		}
	case action.OrderOpen:
		engine.advanceFrom(now, stateReady, order, transition{stateOpen, openTime})
	case action.OrderClose:
		engine.advanceFrom(now, stateOpen, order, transition{stateReady, closeTime})
	case action.OrderStage:
		engine.stage(now, order.Model)
	}
}

func (engine *engine) inGroup(group id.Group, fencing id.FencingToken) bool {
	return engine.state != stateFree && engine.order.Group == group && engine.order.Fencing == fencing
}

// join joins a group. An order that was carried out before changes nothing.
func (engine *engine) join(now time.Time, order action.Order) {
	if order.Fencing <= engine.order.Fencing {
		return
	}
	joinTime := loadTime
	switch order.Model {
	case engine.loaded:
		joinTime = rejoinTime
	case engine.staged:
		joinTime = warmUpTime
	}
	engine.order, engine.state, engine.breaksAt = order, stateJoining, time.Time{}
	engine.loaded, engine.staged = order.Model, order.Model
	engine.next, engine.nextAt = stateReady, now.Add(joinTime)
	engine.announceAt = now
}

// leave leaves the group. The order that it joined by is kept for its fencing token.
func (engine *engine) leave(now time.Time) {
	engine.state, engine.nextAt, engine.breaksAt, engine.announceAt = stateFree, time.Time{}, time.Time{}, now
}

// advanceFrom begins a transition if the engine is in a state for the order's group.
func (engine *engine) advanceFrom(now time.Time, from state, order action.Order, transition transition) {
	if engine.state != from || !engine.inGroup(order.Group, order.Fencing) {
		return
	}
	engine.state = stateOpening
	if from == stateOpen {
		engine.state = stateClosing
	}
	engine.next, engine.nextAt, engine.announceAt = transition.to, now.Add(transition.time), now
}

func (engine *engine) stage(now time.Time, model id.Model) {
	if model != engine.staged && model != engine.staging {
		engine.staging, engine.stagedAt = model, now.Add(stageTime)
	}
}

// advance makes the changes that are due, after each of which the engine announces
// itself at once.
func (engine *engine) advance(now time.Time) {
	if due(now, engine.nextAt) {
		engine.state, engine.nextAt, engine.announceAt = engine.next, time.Time{}, now
	}
	if due(now, engine.stagedAt) {
		engine.staged, engine.staging, engine.stagedAt, engine.announceAt = engine.staging, "", time.Time{}, now
	}
	if due(now, engine.breaksAt) {
		engine.state, engine.nextAt, engine.breaksAt, engine.announceAt = stateBroken, time.Time{}, time.Time{}, now
	}
}

func due(now, at time.Time) bool { return !at.IsZero() && !now.Before(at) }

// memberLost reports to the head of a group that a member is lost.
func (engine *engine) memberLost(now time.Time) {
	if engine.breaksAt.IsZero() {
		engine.breaksAt = now.Add(memberLossTimeout)
	}
}

// head reports whether the engine is the head of a group.
func (engine *engine) head() bool { return engine.state != stateFree && engine.order.Rank == 0 }

// announcement returns the engine's next announcement.
func (engine *engine) announcement() roster.Announcement {
	engine.sequence++
	announcement := roster.Announcement{
		Host: engine.host, Incarnation: engine.incarnation, Sequence: engine.sequence, Address: engine.address,
		DataCentre: dataCentre, Domain: engine.domain, Service: engine.service, Engine: true, ChecksFencing: true,
		LeaseMS: lease.Milliseconds(), Load: roster.Load{Slots: slotsPerEngine},
	}
	if engine.loaded != "" && engine.state != stateJoining {
		announcement.Loaded = []id.Model{engine.loaded}
	}
	if engine.staged != "" {
		announcement.Staged = []id.Model{engine.staged}
	}
	if engine.state != stateFree {
		announcement.Serving = engine.serving()
	}
	return announcement
}

func (engine *engine) serving() roster.Serving {
	return roster.Serving{
		Group: engine.order.Group, Fencing: engine.order.Fencing,
		Ready:   slices.Contains([]state{stateReady, stateOpening, stateOpen, stateClosing}, engine.state),
		Open:    engine.state == stateOpen || engine.state == stateClosing,
		Closing: engine.state == stateClosing, Broken: engine.state == stateBroken,
	}
}
