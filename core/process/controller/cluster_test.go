package controller_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run only this seed of the cluster test")
	seedsFlag = flag.Int("seeds", 40, "how many seeds of the cluster test to run")
)

// TestClusterKeepsInvariantsUnderFaults runs nine nodes and fifteen hosts through
// lost, late and duplicated messages, one-way partitions, pauses, crashes before
// and after the fsync, and host failures. It checks the invariants after each
// step.
func TestClusterKeepsInvariantsUnderFaults(t *testing.T) {
	if *seedFlag != 0 {
		runSeed(t, *seedFlag)
		return
	}
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

func runSeed(t *testing.T, seed uint64) {
	t.Helper()
	simulation := newSimulation(t, seed)
	simulation.checker.crashAroundSync = false
	simulation.run(4 * time.Second)
	simulation.checker.propose(simulation.nodes[0], register.Command{Change: "fixed", ApplyContract: &register.ApplyContract{Contract: fakeContract(fixedClientAccount, 1)}}, 5, func(controller.Outcome) {})
	simulation.run(8 * time.Second)
	simulation.checker.crashAroundSync = true
	simulation.faults = networkFaults{lossRate: 0.02, duplicateRate: 0.02, delayRate: 0.01}
	simulation.schedule(0, simulation.generateLoad)
	simulation.schedule(0, simulation.injectFaults)
	simulation.run(50 * time.Second)
	simulation.stopFaults()
	simulation.run(40 * time.Second)
	simulation.checker.checkRecovered()
	if simulation.checker.dispatchedCalls == 0 || simulation.checker.acceptedChanges == 0 {
		t.Errorf("seed %d: %d calls were dispatched and %d changes accepted, want some of both", seed, simulation.checker.dispatchedCalls, simulation.checker.acceptedChanges)
	}
}

// generateLoad proposes changes and begins calls. Often two changes at once have
// the same base revision, of which only one may be accepted.
func (simulation *simulation) generateLoad() {
	if simulation.now > 60*time.Second {
		return
	}
	simulation.schedule(time.Duration(200+simulation.rand.IntN(400))*time.Millisecond, simulation.generateLoad)
	from := simulation.nodes[simulation.rand.IntN(len(simulation.nodes))]
	if !from.up {
		return
	}
	clientAccount := id.ClientAccount(fmt.Sprintf("customer-%d", simulation.rand.IntN(3)))
	base := id.Revision(0)
	for _, node := range simulation.nodes {
		if node.voter == nil {
			continue
		}
		if record, ok := node.voter.Register().Contract(clientAccount); ok {
			base = max(base, record.Revision)
		}
	}
	for range 1 + simulation.rand.IntN(2) {
		// The share is set to the revision, so that the checker can read the
		// revision from a view.
		command := register.Command{
			Change:        id.Change(fmt.Sprintf("change-%d", simulation.rand.Uint64())),
			ApplyContract: &register.ApplyContract{Base: base, Contract: fakeContract(clientAccount, int(base)+1)},
		}
		command.ApplyContract.Contract.QueuePlaces = simulation.rand.IntN(1000)
		simulation.checker.propose(from, command, 4, func(controller.Outcome) {})
	}
	key := fmt.Sprintf("key-%d", simulation.rand.IntN(30))
	simulation.checker.beginCall(from, key, id.Change(fmt.Sprintf("call-%d", simulation.rand.Uint64())))
}

// injectFaults injects one random fault after another.
func (simulation *simulation) injectFaults() {
	if simulation.now > 60*time.Second {
		return
	}
	simulation.schedule(time.Duration(300+simulation.rand.IntN(2500))*time.Millisecond, simulation.injectFaults)
	node := simulation.nodes[simulation.rand.IntN(len(simulation.nodes))]
	host := simulation.hosts[simulation.rand.IntN(len(simulation.hosts))]
	duration := time.Duration(simulation.rand.Int64N(int64(9 * time.Second)))
	switch simulation.rand.IntN(10) {
	case 0, 1:
		if node.up {
			node.crash()
			simulation.schedule(duration, func() {
				if !node.up {
					node.start()
				}
			})
		}
	case 8:
		simulation.deposeLeader(duration)
	case 9:
		// All voters crash and restart within a second, as after a power failure.
		for _, voter := range simulation.nodes[:voterCount] {
			if voter.up {
				voter.crash()
				simulation.schedule(time.Duration(simulation.rand.Int64N(int64(700*time.Millisecond))), voter.start)
			}
		}
	case 2:
		node.pausedUntil = simulation.now + duration
	case 3:
		simulation.blockTraffic(node, duration, true)
	case 4:
		simulation.blockTraffic(node, duration, false)
	case 5:
		host.up = false
		simulation.schedule(duration, host.restart)
	case 6:
		host.up = false // a pause: the host resumes with its state
		simulation.schedule(duration, func() { host.up = true })
	case 7:
		host.leaving, host.leavingSince = true, simulation.now
		simulation.schedule(duration, host.restart)
	}
}

// deposeLeader blocks the leader's outgoing messages or pauses it, and may also
// crash and restart another voter that has just been in contact with the leader.
func (simulation *simulation) deposeLeader(duration time.Duration) {
	for _, node := range simulation.nodes[:voterCount] {
		if !node.up || node.voter == nil || !node.voter.HoldsLeaderLease(node.now()) {
			continue
		}
		if simulation.chance(0.5) {
			node.pausedUntil = simulation.now + duration
		} else {
			simulation.blockTraffic(node, duration, true)
		}
		other := simulation.nodes[simulation.rand.IntN(voterCount)]
		if other != node && other.up {
			other.crash()
			simulation.schedule(time.Duration(simulation.rand.Int64N(int64(100*time.Millisecond))), other.start)
		}
		return
	}
}

// blockTraffic blocks a node's outgoing or incoming messages.
func (simulation *simulation) blockTraffic(node *node, duration time.Duration, outgoing bool) {
	for _, other := range simulation.nodes {
		pair := [2]string{string(node.name), string(other.name)}
		if !outgoing {
			pair[0], pair[1] = pair[1], pair[0]
		}
		simulation.blocked[pair] = true
		simulation.schedule(duration, func() { delete(simulation.blocked, pair) })
	}
}

func (simulation *simulation) stopFaults() {
	simulation.faults = networkFaults{}
	simulation.checker.crashAroundSync = false
	clear(simulation.blocked)
	for _, node := range simulation.nodes {
		node.pausedUntil = 0
		if !node.up {
			node.start()
		}
	}
	for _, host := range simulation.hosts {
		if !host.up || host.leaving {
			host.restart()
		}
	}
}

// TestSeedsRepeat runs one schedule twice. Both runs must give the same result,
// or else a failure can't be repeated by its seed.
func TestSeedsRepeat(t *testing.T) {
	play := func(seed uint64) (uint64, int, string) {
		simulation := newSimulation(t, seed)
		simulation.run(5 * time.Second)
		simulation.faults = networkFaults{lossRate: 0.02, duplicateRate: 0.02, delayRate: 0.01}
		simulation.schedule(0, simulation.generateLoad)
		simulation.schedule(0, simulation.injectFaults)
		simulation.run(25 * time.Second)
		state := ""
		for _, node := range simulation.nodes {
			state += fmt.Sprintf("%s %d %v\n", node.name, node.member.Version(), node.member.LeaseUntil())
		}
		return simulation.eventSequence, simulation.checker.dispatchedCalls, state
	}
	for seed := uint64(16); seed < 20; seed++ {
		eventCount, callCount, state := play(seed)
		eventCountAgain, callCountAgain, stateAgain := play(seed)
		if eventCount != eventCountAgain || callCount != callCountAgain || state != stateAgain {
			t.Errorf("seed %d: first run with %d events and %d calls, second run with %d and %d\n%s\n%s", seed, eventCount, callCount, eventCountAgain, callCountAgain, state, stateAgain)
		}
	}
}
