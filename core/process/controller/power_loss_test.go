package controller_test

import (
	"testing"
	"time"

	"carobline.dev/core/id"
)

// toleratedLosses is how many machines may be lost at a time, with or without their disks.
const toleratedLosses = (targetVoters - 1) / 2

// replacement is what happens to one voter shortly before the power is lost.
type replacement string

const (
	replaceNone replacement = "none"
	// replaceMachine removes the machine for good and adds one with an empty disk at
	// another address.
	replaceMachine replacement = "machine"
	// replaceDisk restarts the machine with an empty disk.
	replaceDisk replacement = "disk"
)

// replaceVoter replaces a random voter. It returns the machine that stands in for it.
func (simulation *simulation) replaceVoter(how replacement) *node {
	lost := simulation.nodes[simulation.rand.IntN(diskNodeCount)]
	switch how {
	case replaceMachine:
		lost.crash()
		lost.bootstrap.removed = true
		return simulation.addControlHost(diskNodeCount)
	case replaceDisk:
		lost.loseDisk()
		lost.startAfter(200 * time.Millisecond)
		return lost
	}
	return nil
}

// loseAllPower crashes all nodes at the same moment, some of those with a disk without
// their disks, and restarts them within half a second.
func (simulation *simulation) loseAllPower(disks int) {
	for _, index := range simulation.rand.Perm(len(simulation.nodes)) {
		node := simulation.nodes[index]
		if node.bootstrap.removed {
			continue
		}
		if node.bootstrap.hasDisk && disks > 0 {
			disks--
			node.loseDisk()
		} else {
			node.crash()
		}
		node.startAfter(time.Second + time.Duration(simulation.rand.Int64N(int64(500*time.Millisecond))))
	}
}

// Guards against a change that is lost, or that isn't in force at every node, where as many
// disks as are tolerated are lost and all other machines, entry hosts too, lose power at the
// very moment at which it is acknowledged. A voter may have been replaced just before: the
// machine counts as lost until its successor has had recoveryTime.
func TestAcknowledgedChangeOutlivesLossOfDisksAndAllPower(t *testing.T) {
	for _, how := range []replacement{replaceNone, replaceMachine, replaceDisk} {
		t.Run(string(how), func(t *testing.T) {
			runBootstrapSeeds(t, func(simulation *simulation) {
				disks := toleratedLosses
				if how != replaceNone {
					simulation.replaceVoter(how)
					sinceReplaced := time.Duration(simulation.rand.Int64N(int64(recoveryTime + 3*time.Second)))
					simulation.run(sinceReplaced)
					if sinceReplaced < recoveryTime+time.Second {
						disks--
					}
				}
				acknowledged, lostAt := id.Revision(1), time.Duration(0)
				wanted := 2 + id.Revision(simulation.rand.IntN(3))
				var change func(revision id.Revision)
				change = func(revision id.Revision) {
					host := simulation.nodes[simulation.rand.IntN(diskNodeCount)]
					if host.bootstrap.removed {
						host = simulation.nodes[len(simulation.nodes)-1]
					}
					simulation.proposeAt(host, revision, 2*acknowledgeTime, func() {
						acknowledged = revision
						if revision < wanted {
							simulation.schedule(0, func() { change(revision + 1) })
							return
						}
						lostAt = simulation.now
						simulation.schedule(0, func() { simulation.loseAllPower(disks) })
					})
				}
				change(2)
				for lostAt == 0 {
					simulation.run(10 * time.Millisecond)
					if simulation.now > time.Minute {
						simulation.fail("revision %d isn't acknowledged", acknowledged+1)
					}
				}
				simulation.run(1500*time.Millisecond + recoveryTime)
				simulation.checkReadBack(acknowledged)
				simulation.declare(wanted+1, acknowledgeTime)
				simulation.run(recoveryTime)
				simulation.checkReadBack(wanted + 1)
			})
		})
	}
}

// checkReadBack checks that the leader holds a revision, and that each node that wasn't
// removed acts by it.
func (simulation *simulation) checkReadBack(revision id.Revision) {
	simulation.t.Helper()
	leader := simulation.leader()
	if leader == nil {
		simulation.fail("no leader")
	}
	if declared := leader.voter.Register().Declared(); declared == nil || declared.Declaration.Revision < revision {
		simulation.fail("the leader %s holds %+v, want revision %d", leader.name, declared, revision)
	}
	for _, node := range simulation.nodes {
		if node.bootstrap.removed {
			continue
		}
		if !node.up || !node.view.LeaseIsFresh(node.now()) || node.view.Routing == nil || node.view.Routing.Declaration().Revision < revision {
			simulation.fail("node %s doesn't act by revision %d", node.name, revision)
		}
	}
}
