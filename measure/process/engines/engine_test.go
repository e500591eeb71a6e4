package engines

import (
	"testing"
	"time"

	"carobline.dev/core/process/action"
)

func newEngine() *engine { return &engine{host: "engine-1"} }

func order(kind action.OrderKind) action.Order {
	return action.Order{Host: "engine-1", Kind: kind, Group: "group-1", Model: "four", Fencing: 7}
}

// TestEngineTakesItsTimeForEachOrder guards against groups that open at once or never.
func TestEngineTakesItsTimeForEachOrder(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engine, now := newEngine(), start
	for _, step := range []struct {
		kind          action.OrderKind
		time          time.Duration
		before, after state
	}{
		{action.OrderLoad, loadTime, stateJoining, stateReady},
		{action.OrderOpen, openTime, stateOpening, stateOpen},
		{action.OrderClose, closeTime, stateClosing, stateReady},
		{action.OrderUnload, 0, stateFree, stateFree},
	} {
		engine.carryOut(now, order(step.kind))
		engine.advance(now.Add(step.time - 1))
		if engine.state != step.before {
			t.Errorf("after the order to %s the state is %d, want %d", step.kind, engine.state, step.before)
		}
		now = now.Add(step.time)
		engine.advance(now)
		if engine.state != step.after {
			t.Errorf("%v after the order to %s the state is %d, want %d", step.time, step.kind, engine.state, step.after)
		}
	}
}

// TestEngineRefusesOldOrdersAndThoseOfOthers guards against an engine that is in two groups
// by turns, since orders arrive late and at the address of a lost engine.
func TestEngineRefusesOldOrdersAndThoseOfOthers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engine := newEngine()
	engine.carryOut(now, order(action.OrderLoad))
	old, foreign := order(action.OrderLoad), order(action.OrderUnload)
	old.Group, old.Fencing, foreign.Host = "group-0", 6, "engine-2"
	engine.carryOut(now, old)
	engine.carryOut(now, foreign)
	if !engine.inGroup("group-1", 7) {
		t.Errorf("the engine is in state %d by %+v", engine.state, engine.order)
	}
}

// TestHeadThatLosesAMemberBreaksItsGroup guards against groups that stay open without one
// of their members.
func TestHeadThatLosesAMemberBreaksItsGroup(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engine := newEngine()
	engine.carryOut(now, order(action.OrderLoad))
	engine.advance(now.Add(loadTime))
	engine.memberLost(now.Add(loadTime))
	engine.advance(now.Add(loadTime + memberLossTimeout - 1))
	if engine.announcement().Serving.Broken {
		t.Error("the group is broken before the timeout")
	}
	engine.advance(now.Add(loadTime + memberLossTimeout))
	if announcement := engine.announcement(); !announcement.Serving.Broken || announcement.Serving.Ready {
		t.Errorf("the head announces %+v", announcement.Serving)
	}
}
