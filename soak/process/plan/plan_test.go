package plan_test

import (
	"reflect"
	"testing"
	"time"

	"carobline.dev/soak/process/plan"
)

func shape() plan.Shape {
	return plan.Shape{
		Nodes: []string{"n1", "n2"}, Engines: []string{"h1"}, Services: []string{"s1", "s2"},
		PeerLinks: []string{"n1>n2"}, AnnounceLinks: []string{"hosts>n1"}, EngineFronts: []string{"front>h1"}, ServiceFronts: []string{"front>s1"},
		LinkWays: []string{"delay", "reset"}, FrontWays: []string{"delay", "repeat"}, EngineWays: []string{"hang"},
	}
}

// TestSeedGivesTheSamePlan guards against a failure that its seed doesn't bring back.
func TestSeedGivesTheSamePlan(t *testing.T) {
	first, again := plan.New(7, time.Minute, shape()), plan.New(7, time.Minute, shape())
	if !reflect.DeepEqual(first, again) {
		t.Error("the same seed gave two plans")
	}
	if reflect.DeepEqual(first, plan.New(8, time.Minute, shape())) {
		t.Error("two seeds gave the same plan")
	}
}

// TestPlanDrawsEachKind guards against kinds of faults that no seed draws, and against
// events out of order or outside of the run.
func TestPlanDrawsEachKind(t *testing.T) {
	count, last := map[plan.Kind]int{}, time.Duration(0)
	for seed := range uint64(5) {
		last = 0
		for _, event := range plan.New(seed, time.Minute, shape()).Events {
			count[event.Kind]++
			if event.At < last || event.At >= time.Minute {
				t.Errorf("seed %d: event at %v after one at %v", seed, event.At, last)
			}
			last = event.At
		}
	}
	for _, kind := range []plan.Kind{
		plan.Kill, plan.Terminate, plan.Pause, plan.Link, plan.EngineFault, plan.Rotate, plan.Retire, plan.Tune, plan.StopHost, plan.StopNode,
	} {
		if count[kind] == 0 {
			t.Errorf("no %s in five plans", kind)
		}
	}
}
