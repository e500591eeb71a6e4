package controller_test

import (
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/routing"
)

// acknowledged is a change or a departure that was acknowledged, and from when on no
// node may act without it.
type acknowledged struct {
	revision id.Revision
	host     id.Host
	binding  time.Duration
}

// checkAcknowledged fails if an entry host acts on a state that lacks what was
// acknowledged more than a node's lease ago.
func (spread *spread) checkAcknowledged(known []acknowledged) {
	spread.t.Helper()
	for _, node := range spread.entryNodes() {
		if !node.up || spread.now < node.pausedUntil || !node.view.AcceptsNewWork(node.now()) || node.view.Routing == nil {
			continue
		}
		for _, change := range known {
			if spread.now < change.binding {
				continue
			}
			if revision := node.view.Routing.Declaration().Revision; revision < change.revision {
				spread.fail("node %s acts by revision %d, %v after a node's lease since revision %d was acknowledged has passed", node.name, revision, spread.now-change.binding, change.revision)
			}
			if endpoint := node.view.Endpoints[feed.Endpoint{Host: change.host}]; endpoint != nil && endpoint.Accepting {
				spread.fail("node %s uses host %s, %v after a node's lease since its departure was acknowledged has passed", node.name, change.host, spread.now-change.binding)
			}
		}
	}
}

// proposeUntilAcknowledged proposes the next declaration to whoever leads, until it is
// acknowledged, and reports it.
func (spread *spread) proposeUntilAcknowledged(report func(acknowledged)) {
	spread.revision++
	revision, answered := spread.revision, false
	command := register.Command{Change: id.Change(fmt.Sprintf("declare-%d", revision)), Declare: &register.Declare{
		Declaration: routing.Declaration{Revision: revision, Services: []routing.Service{{Name: "desk"}}},
	}}
	var try func()
	try = func() {
		if answered {
			return
		}
		spread.schedule(200*time.Millisecond, try)
		if leader := spread.leader(); leader != nil {
			leader.step(controller.ChangeProposed{Command: command, Ticket: leader.newTicket(func(content any) {
				if outcome := content.(controller.Outcome); outcome.Result != nil && !answered {
					answered = true
					report(acknowledged{revision: revision, binding: spread.now + nodeLeaseWithDrift})
				}
			})})
		}
	}
	try()
}

// leaveUntilAcknowledged reports to one control host after another that a host leaves, until
// one acknowledges that the leader has it, and reports that.
func (spread *spread) leaveUntilAcknowledged(host id.Host, report func(acknowledged)) {
	spread.leaveSeen[host] = spread.now
	relay := spread.nodes[spread.rand.IntN(diskNodeCount)]
	giveUpAt := spread.now + 900*time.Millisecond
	if relay.up && spread.now >= relay.pausedUntil && relay.member.Knows(host, 0) {
		relay.runMember(relay.member.Step(relay.now(), member.Departed{Host: host}))
	} else {
		giveUpAt = spread.now
	}
	incarnation := relay.incarnation
	var poll func()
	poll = func() {
		switch {
		case relay.up && relay.incarnation == incarnation && spread.now >= relay.pausedUntil && relay.member.Knows(host, 0) && relay.member.Accepted(host):
			report(acknowledged{host: host, binding: spread.now + nodeLeaseWithDrift})
		case spread.now >= giveUpAt:
			spread.schedule(50*time.Millisecond, func() { spread.leaveUntilAcknowledged(host, report) })
		default:
			spread.schedule(10*time.Millisecond, poll)
		}
	}
	poll()
}

// nodeLeaseWithDrift is a node's lease by a clock that runs a per cent slow.
const nodeLeaseWithDrift = bootstrapLease + bootstrapLease/100

// Guards against nodes that go on by a state that they couldn't renew: whatever is
// slow, cut off, paused or lost, what was acknowledged binds every node that still acts
// once its lease has passed.
func TestNodesStopBeforeTheyActOnOldState(t *testing.T) {
	for seed := range uint64(*seedsFlag) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			spread := newSpread(t, 200+seed, 12)
			spread.faults = networkFaults{lossRate: 0.02, duplicateRate: 0.02, delayRate: 0.01}
			var known []acknowledged
			remember := func(change acknowledged) { known = append(known, change) }
			for round := range 12 {
				spread.proposeUntilAcknowledged(remember)
				spread.leaveUntilAcknowledged(spreadHost(round), remember)
				spread.injectSpreadFault()
				for range 60 {
					spread.run(20 * time.Millisecond)
					spread.checkAcknowledged(known)
				}
			}
			if len(known) < 12 {
				spread.fail("%d changes were acknowledged, want half of 24 or more", len(known))
			}
		})
	}
}

// injectSpreadFault slows, cuts off, pauses or crashes a node, often the leader.
func (spread *spread) injectSpreadFault() {
	node := spread.nodes[spread.rand.IntN(len(spread.nodes))]
	if leader := spread.leader(); leader != nil && spread.chance(0.4) {
		node = leader
	}
	duration := time.Duration(spread.rand.Int64N(int64(5 * time.Second)))
	switch spread.rand.IntN(5) {
	case 0:
		if node.up {
			node.crash()
			node.startAfter(duration)
		}
	case 1:
		node.pausedUntil = spread.now + duration
	case 2:
		spread.blockTraffic(node, duration, true)
	case 3:
		spread.blockTraffic(node, duration, false)
	case 4:
		// Its processor has fallen behind by so much.
		if node.processor != nil {
			node.processor.busyUntil = max(node.processor.busyUntil, spread.now+duration/2)
		}
	}
}
