package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/routing"
)

const (
	coreNodes    = 5
	entryNodes   = 3
	votersWanted = 5
	// foundingLease is shorter than the usual one.
	foundingLease = 3 * time.Second
	// catchUp is how soon after its return a node must count again.
	catchUp = 4 * time.Second
)

// founding is how a node of a world without listed peers finds the others.
type founding struct {
	address string
	seeds   []id.Node
	// founders is set on the nodes that begin the system, until a disk is lost.
	founders []id.Node
	disk     bool
	lives    int
}

func foundingAddress(index int) string { return fmt.Sprintf("10.0.0.%d:1", index+1) }

// newFoundingWorld has five nodes with disks, of which the first three are the
// seeds, and three without.
func newFoundingWorld(t testing.TB, seed uint64) *world {
	t.Helper()
	world := &world{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]string]bool{}}
	world.checks = newChecks(world)
	world.checks.crashes = false
	var seeds, founders []id.Node
	for index := range 3 {
		seeds = append(seeds, id.Node(foundingAddress(index)))
		founders = append(founders, id.Node(foundingAddress(index)+"~founder"))
	}
	for index := range coreNodes + entryNodes {
		node := &node{world: world, clock: world.newClock()}
		node.founding = &founding{address: foundingAddress(index), seeds: seeds, disk: index < coreNodes}
		node.rename()
		if index < len(founders) {
			node.founding.founders, node.name = founders, founders[index]
		}
		world.nodes = append(world.nodes, node)
		world.after(time.Duration(world.rand.Int64N(int64(300*time.Millisecond))), func() {
			node.start()
			node.tick()
		})
	}
	return world
}

// rename gives a node the name of a life that remembers nothing.
func (node *node) rename() {
	node.founding.lives++
	node.name = id.Node(fmt.Sprintf("%s~%d", node.founding.address, node.founding.lives))
}

func (node *node) startFounding() {
	contacts := slices.Concat(node.founding.founders, node.founding.seeds)
	node.member = member.New(node.local(), member.Config{
		Self: node.name, Incarnation: node.incarnation, Voters: contacts, HasDisk: node.founding.disk,
	}, node.hosts)
	if !node.founding.disk {
		return
	}
	voter, err := controller.New(node.local(), controller.Config{
		Self: node.name, Incarnation: node.incarnation, Voters: node.founding.founders, Timing: quorum.DefaultTiming(),
		CompactEntries: 100, TargetVoters: votersWanted, EngineStallTimeout: fakeStall, NodeLease: foundingLease, Rand: rand.New(rand.NewPCG(node.world.rand.Uint64(), 2)),
	}, node.stored, node.hosts)
	if err != nil {
		node.world.fail("node %s can't restart: %v", node.name, err)
	}
	node.voter = voter
	node.member.Step(node.local(), member.NodesDiscovered{Nodes: voter.Quorum().Membership.Voters})
}

// wipe takes a node's disk away with its life.
func (node *node) wipe() {
	node.crash()
	node.stored = quorum.Stored{}
	node.founding.founders = nil
	node.rename()
}

func (node *node) startAfter(delay time.Duration) { node.world.after(delay, node.start) }

// declare puts a declaration in force and waits for the answer.
func (world *world) declare(revision id.Revision, within time.Duration) {
	world.t.Helper()
	command := register.Command{Change: id.Change(fmt.Sprintf("declare-%d", revision)), Declare: &register.Declare{
		Declaration: routing.Declaration{Revision: revision, Services: []routing.Service{engineService}},
	}}
	deadline := world.now + within
	for world.now < deadline {
		answered := false
		if leader := world.leading(); leader != nil {
			ticket := leader.wait(func(content any) { answered = content.(controller.Outcome).Result != nil })
			leader.step(controller.ChangeProposed{Ticket: ticket, Command: command})
		}
		world.run(200 * time.Millisecond)
		if answered {
			return
		}
	}
	world.fail("declaration %d wasn't accepted within %v", revision, within)
}

// settled checks that all live nodes with disks vote, and that the declaration
// is in force everywhere.
func (world *world) settled(revision id.Revision) {
	world.t.Helper()
	leader := world.leading()
	if leader == nil {
		world.fail("no leader")
	}
	membership := leader.voter.Quorum().Membership
	if len(membership.Voters) != votersWanted {
		world.fail("voters %v, want %d", membership.Voters, votersWanted)
	}
	for _, node := range world.nodes {
		if !node.up {
			continue
		}
		if node.founding.disk && !slices.Contains(membership.Voters, node.name) {
			world.fail("%s doesn't vote: %v", node.name, membership)
		}
		if left := node.view.LeaseUntil.Sub(node.local()); left > foundingLease || !node.view.LeaseIsFresh(node.local()) {
			world.fail("%s has a lease of %v left, and in touch is %v", node.name, left, node.view.LeaseIsFresh(node.local()))
		}
		if node.view.Routing == nil || node.view.Routing.Declaration().Revision < revision {
			world.fail("%s hasn't revision %d in force", node.name, revision)
		}
	}
}

const foundingSeeds = 20

func foundingSeedsRun(t *testing.T, play func(world *world)) {
	t.Helper()
	for seed := range uint64(foundingSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			world := newFoundingWorld(t, seed)
			world.run(2500 * time.Millisecond)
			world.declare(1, 3*time.Second)
			world.run(catchUp)
			world.settled(1)
			play(world)
		})
	}
}

func TestVotersFindEachOther(t *testing.T) {
	foundingSeedsRun(t, func(*world) {})
}

// Two voters come back without their disks while the others lose power: the
// three must lead again, and the wiped ones vote anew.
func TestTwoWipedWhileOthersLosePower(t *testing.T) {
	foundingSeedsRun(t, func(world *world) {
		world.declare(2, 2*time.Second)
		order := world.rand.Perm(coreNodes)
		for place, index := range order {
			node := world.nodes[index]
			if place < 2 {
				node.wipe()
			} else {
				node.crash()
			}
			node.startAfter(time.Second + time.Duration(world.rand.Int64N(int64(500*time.Millisecond))))
		}
		world.run(1500*time.Millisecond + catchUp)
		world.settled(2)
		world.declare(3, 2*time.Second)
	})
}

// A voter is gone for good and an empty one comes at another address, again and
// again, until none of the founders is left. Seeds point to what is left of
// the first three.
func TestVotersAreReplacedAtNewAddresses(t *testing.T) {
	foundingSeedsRun(t, func(world *world) {
		for round := range coreNodes {
			gone := world.nodes[round]
			gone.crash()
			fresh := &node{world: world, clock: world.newClock(), founding: &founding{address: foundingAddress(50 + round), disk: true}}
			fresh.rename()
			for _, other := range world.nodes {
				if other.up && other.founding.disk && len(fresh.founding.seeds) < 3 {
					fresh.founding.seeds = append(fresh.founding.seeds, id.Node(other.founding.address))
				}
			}
			world.nodes = append(world.nodes, fresh)
			world.after(time.Second, func() {
				fresh.start()
				fresh.tick()
			})
			world.run(time.Second + catchUp)
			world.settled(1)
			world.declare(id.Revision(round+2), 2*time.Second)
		}
	})
}

// The leader is suspended and wakes up while another one leads: it must not act
// on what it held, nor keep the others from changing the declaration.
func TestLeaderIsSuspended(t *testing.T) {
	foundingSeedsRun(t, func(world *world) {
		for revision := id.Revision(2); revision < 5; revision++ {
			length := 2*time.Second + time.Duration(world.rand.Int64N(int64(6*time.Second)))
			world.leading().pausedTill = world.now + length
			world.run(1500 * time.Millisecond)
			world.declare(revision, 2*time.Second)
			world.run(length + catchUp)
			world.settled(revision)
		}
	})
}

// All nodes with disks are killed at once and come back within a second.
func TestHerdKill(t *testing.T) {
	foundingSeedsRun(t, func(world *world) {
		for revision := range id.Revision(3) {
			for _, node := range world.nodes[:coreNodes] {
				node.crash()
				node.startAfter(time.Duration(world.rand.Int64N(int64(time.Second))))
			}
			world.run(time.Second + catchUp)
			world.settled(revision + 1)
			world.declare(revision+2, 2*time.Second)
		}
	})
}

// A voter that has lost its disk isn't let in again under its old name, so the
// set of voters never counts a vote that was forgotten.
func TestElectorateNeverLosesItsMajority(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 3))
		membership := quorum.Membership{}
		var nodes []electorate.Node
		for index := range 3 + random.IntN(5) {
			name := id.Node(fmt.Sprintf("10.0.0.%d:1~a", index))
			membership.Voters = append(membership.Voters, name)
			nodes = append(nodes, electorate.Node{Node: name, SinceLastContact: time.Duration(2*random.IntN(2)) * time.Second, CaughtUp: true})
		}
		for index := range random.IntN(4) {
			name := id.Node(fmt.Sprintf("10.0.0.%d:1~b", index+random.IntN(4)))
			nodes = append(nodes, electorate.Node{Node: name, SinceLastContact: time.Duration(2*random.IntN(2)) * time.Second, CaughtUp: random.IntN(2) == 0})
		}
		next, _, ok := electorate.Next(membership, nodes, votersWanted)
		if !ok {
			continue
		}
		removed := slices.DeleteFunc(slices.Clone(membership.Voters), func(voter id.Node) bool { return slices.Contains(next.Voters, voter) })
		if len(removed) > 1 || len(next.Voters)-len(membership.Voters) > 1 {
			t.Fatalf("seed %d: %v to %v changes more than one voter", seed, membership, next)
		}
		if len(removed) == 0 {
			continue
		}
		heard := 0
		for _, node := range nodes {
			if slices.Contains(next.Voters, node.Node) && node.SinceLastContact < time.Second {
				heard++
			}
		}
		if heard <= len(next.Voters)/2 {
			t.Fatalf("seed %d: removing %v leaves %v without a majority", seed, removed, next.Voters)
		}
	}
}
