package controller_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/roster"
)

// oddAnnouncement returns an announcement that can be read, of an engine that isn't there.
func (simulation *simulation) oddAnnouncement(sequence uint64) roster.Announcement {
	groups := []id.Group{"", "other", "g1-1", simulation.engines[0].group}
	fencings := []id.FencingToken{0, 1, math.MaxInt64, math.MaxUint64}
	models := [][]id.Model{nil, {"four"}, {"two"}, {"four", "two"}, {"other"}, {""}}
	domains := []id.Domain{"", "d0", "other"}
	pick := func(choices int) int { return simulation.rand.IntN(choices) }
	return roster.Announcement{
		Host: "odd", Incarnation: id.Incarnation(1 + pick(2)*math.MaxInt32), Sequence: sequence, Address: "10.9.9.9:9", DataCentre: "dc",
		Domain: domains[pick(len(domains))], Service: []id.Service{"pool", "other"}[pick(2)], Engine: true, LeaseMS: engineLease.Milliseconds(),
		Load: roster.Load{Slots: 1 + pick(1<<16)}, Staged: models[pick(len(models))], Loaded: models[pick(len(models))], Leaving: pick(5) == 0,
		Serving: roster.Serving{
			Group: groups[pick(len(groups))], Fencing: fencings[pick(len(fencings))],
			Ready: pick(2) == 0, Open: pick(2) == 0, Closing: pick(4) == 0, Broken: pick(4) == 0,
		},
	}
}

// Guards against one malformed entry among those of the engines that affects others: a
// node that ends or follows no longer, a leader that changes, or a group of sound engines.
func TestOddEngineCostsNoGroupOfSoundOnes(t *testing.T) {
	for seed := range uint64(*seedsFlag) / 4 {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			const entries, entryInterval, settleTime = 10, time.Second, 15 * time.Second
			simulation := newEngineSimulation(t, 700+seed, 30, 40*time.Second)
			leader, open := simulation.leader(), simulation.countOpenGroups()
			for sequence := range uint64(entries) {
				announcement := simulation.oddAnnouncement(sequence + 1)
				if err := announcement.Validate(); err != nil {
					t.Fatal(err)
				}
				entry := simulation.nodes[simulation.rand.IntN(diskNodeCount)]
				entry.runMember(entry.member.Step(entry.now(), member.AnnouncedWithoutEcho{Announcement: announcement}))
				simulation.run(entryInterval)
				if now := simulation.countOpenGroups(); now < open-1 {
					simulation.fail("%d of %d groups are open after %+v", now, open, announcement)
				}
				simulation.checkHostsWereReady()
			}
			simulation.run(settleTime)
			if now := simulation.countOpenGroups(); now < open {
				simulation.fail("%d of %d groups are open %v after the last odd entry", now, open, settleTime)
			}
			if simulation.leader() != leader {
				simulation.fail("the leader has changed")
			}
			simulation.checkSettled(1)
		})
	}
}
