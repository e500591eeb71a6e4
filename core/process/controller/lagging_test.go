package controller

import (
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/id"
)

// TestAskingWhetherNodesLagCopiesNoNodes guards against a leader that sorts the names of all
// nodes for each group that is about to open, fifty times a second.
func TestAskingWhetherNodesLagCopiesNoNodes(t *testing.T) {
	const nodes = 300
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	controller := &Controller{leadership: &leadership{stateByNode: map[id.Node]*nodeState{}}}
	for number := range nodes {
		controller.leadership.stateByNode[id.Node(fmt.Sprintf("n%d", number))] = &nodeState{version: 7, leaseExpiryBound: now.Add(time.Second)}
	}
	if allocations := testing.AllocsPerRun(100, func() { _ = controller.anyNodeLags(now, 7) }); allocations > 0 {
		t.Errorf("%.0f allocations at %d nodes", allocations, nodes)
	}
}

// TestNodeLagsUntilItReportsTheVersionOrItsLeaseEnds guards against groups that open while a
// node may still act on an older state.
func TestNodeLagsUntilItReportsTheVersionOrItsLeaseEnds(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		version id.Version
		lease   time.Duration
		want    bool
	}{
		{6, time.Second, true},
		{7, time.Second, false},
		{8, time.Second, false},
		{6, 0, false},
		{6, -time.Second, false},
	} {
		controller := &Controller{leadership: &leadership{stateByNode: map[id.Node]*nodeState{
			"other": {version: 9, leaseExpiryBound: now.Add(time.Second)},
			"node":  {version: test.version, leaseExpiryBound: now.Add(test.lease)},
		}}}
		if got, listed := controller.anyNodeLags(now, 7), len(controller.laggingNodes(now, 7)) > 0; got != test.want || listed != test.want {
			t.Errorf("version %d, lease %v: lags %v, listed %v, want %v", test.version, test.lease, got, listed, test.want)
		}
	}
}
