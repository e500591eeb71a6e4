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

// TestClusterKeepsPromisesUnderFaults drives nine nodes and twelve hosts
// through lost, late and doubled messages, one-way cuts, pauses, crashes around
// the sync and host failures, and checks each promise after each step.
func TestClusterKeepsPromisesUnderFaults(t *testing.T) {
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
	world := newWorld(t, seed)
	world.checks.crashes = false
	world.run(4 * time.Second)
	world.checks.propose(world.nodes[0], register.Command{Change: "fixed", ApplyContract: &register.ApplyContract{Contract: fakeContract(fixedClientAccount, 1)}}, 5, func(controller.Outcome) {})
	world.run(8 * time.Second)
	world.checks.crashes = true
	world.weather = weather{lose: 0.02, double: 0.02, late: 0.01}
	world.after(0, world.operate)
	world.after(0, world.disturb)
	world.run(50 * time.Second)
	world.heal()
	world.run(40 * time.Second)
	world.checks.healed()
	if world.checks.begun == 0 || world.checks.done == 0 {
		t.Errorf("seed %d: the schedule did nothing: %d calls, %d changes", seed, world.checks.begun, world.checks.done)
	}
}

// operate makes changes and calls, often two at once with equal numbers.
func (world *world) operate() {
	if world.now > 60*time.Second {
		return
	}
	world.after(time.Duration(200+world.rand.IntN(400))*time.Millisecond, world.operate)
	from := world.nodes[world.rand.IntN(len(world.nodes))]
	if !from.up {
		return
	}
	clientAccount := id.ClientAccount(fmt.Sprintf("customer-%d", world.rand.IntN(3)))
	base := id.Revision(0)
	for _, node := range world.nodes {
		if node.voter == nil {
			continue
		}
		if record, ok := node.voter.Register().Contract(clientAccount); ok {
			base = max(base, record.Revision)
		}
	}
	for range 1 + world.rand.IntN(2) {
		// The share tells the revision, which the checks read from views.
		command := register.Command{
			Change:        id.Change(fmt.Sprintf("change-%d", world.rand.Uint64())),
			ApplyContract: &register.ApplyContract{Base: base, Contract: fakeContract(clientAccount, int(base)+1)},
		}
		command.ApplyContract.Contract.QueuePlaces = world.rand.IntN(1000)
		world.checks.propose(from, command, 4, func(controller.Outcome) {})
	}
	key := fmt.Sprintf("key-%d", world.rand.IntN(30))
	world.checks.call(from, key, id.Change(fmt.Sprintf("call-%d", world.rand.Uint64())))
}

// disturb makes one fault after another.
func (world *world) disturb() {
	if world.now > 60*time.Second {
		return
	}
	world.after(time.Duration(300+world.rand.IntN(2500))*time.Millisecond, world.disturb)
	node := world.nodes[world.rand.IntN(len(world.nodes))]
	host := world.hosts[world.rand.IntN(len(world.hosts))]
	length := time.Duration(world.rand.Int64N(int64(9 * time.Second)))
	switch world.rand.IntN(10) {
	case 0, 1:
		if node.up {
			node.crash()
			world.after(length, func() {
				if !node.up {
					node.start()
				}
			})
		}
	case 8:
		world.deposeLeader(length)
	case 9:
		// Quick restarts of all voters, as after a loss of power.
		for _, voter := range world.nodes[:fakeVoters] {
			if voter.up {
				voter.crash()
				world.after(time.Duration(world.rand.Int64N(int64(700*time.Millisecond))), voter.start)
			}
		}
	case 2:
		node.pausedTill = world.now + length
	case 3:
		world.cut(node, length, true)
	case 4:
		world.cut(node, length, false)
	case 5:
		host.up = false
		world.after(length, host.restart)
	case 6:
		host.up = false // a pause: it comes back as it was
		world.after(length, func() { host.up = true })
	case 7:
		host.leaving, host.leftAt = true, world.now
		world.after(length, host.restart)
	}
}

// deposeLeader cuts the leader off, or pauses it, and restarts another voter
// that has just heard from it.
func (world *world) deposeLeader(length time.Duration) {
	for _, node := range world.nodes[:fakeVoters] {
		if !node.up || node.voter == nil || !node.voter.HoldsLeaderLease(node.local()) {
			continue
		}
		if world.chance(0.5) {
			node.pausedTill = world.now + length
		} else {
			world.cut(node, length, true)
		}
		other := world.nodes[world.rand.IntN(fakeVoters)]
		if other != node && other.up {
			other.crash()
			world.after(time.Duration(world.rand.Int64N(int64(100*time.Millisecond))), other.start)
		}
		return
	}
}

// cut keeps a node from hearing others, or from being heard.
func (world *world) cut(node *node, length time.Duration, hears bool) {
	for _, other := range world.nodes {
		pair := [2]string{string(node.name), string(other.name)}
		if !hears {
			pair[0], pair[1] = pair[1], pair[0]
		}
		world.blocked[pair] = true
		world.after(length, func() { delete(world.blocked, pair) })
	}
}

func (world *world) heal() {
	world.weather = weather{}
	world.checks.crashes = false
	clear(world.blocked)
	for _, node := range world.nodes {
		node.pausedTill = 0
		if !node.up {
			node.start()
		}
	}
	for _, host := range world.hosts {
		if !host.up || host.leaving {
			host.restart()
		}
	}
}

// TestSeedsRepeat plays one schedule twice: the deciders must do the same, so
// that a failure's seed shows it again.
func TestSeedsRepeat(t *testing.T) {
	play := func(seed uint64) (uint64, int, string) {
		world := newWorld(t, seed)
		world.run(5 * time.Second)
		world.weather = weather{lose: 0.02, double: 0.02, late: 0.01}
		world.after(0, world.operate)
		world.after(0, world.disturb)
		world.run(25 * time.Second)
		state := ""
		for _, node := range world.nodes {
			state += fmt.Sprintf("%s %d %v\n", node.name, node.member.Version(), node.member.LeaseUntil())
		}
		return world.order, world.checks.begun, state
	}
	for seed := uint64(16); seed < 20; seed++ {
		events, begun, state := play(seed)
		eventsAgain, begunAgain, stateAgain := play(seed)
		if events != eventsAgain || begun != begunAgain || state != stateAgain {
			t.Errorf("seed %d: %d events and %d calls, then %d and %d\n%s\n%s", seed, events, begun, eventsAgain, begunAgain, state, stateAgain)
		}
	}
}
