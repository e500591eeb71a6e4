package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
)

// newFaultFreeSimulation returns a simulation without faults whose groups have
// formed.
func newFaultFreeSimulation(b *testing.B, seed uint64) *simulation {
	simulation := newSimulation(b, seed)
	simulation.checker.crashAroundSync = false
	simulation.run(15 * time.Second)
	return simulation
}

func (simulation *simulation) leader() *node {
	for _, node := range simulation.nodes {
		if node.up && node.voter != nil && node.voter.HoldsLeaderLease(node.now()) {
			return node
		}
	}
	return nil
}

// reportQuantiles reports the median and the 99th percentile of durations in
// simulated time.
func reportQuantiles(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), name+"_p50_ms")
	b.ReportMetric(float64(durations[len(durations)*99/100].Milliseconds()), name+"_p99_ms")
}

// BenchmarkInForce reports the time from the proposal of a change until nine
// nodes have it in force, without faults and with one message in ten lost.
func BenchmarkInForce(b *testing.B) {
	for _, lossRate := range []float64{0, 0.1} {
		b.Run(fmt.Sprintf("lost=%g", lossRate), func(b *testing.B) {
			var durations []time.Duration
			for seed := range uint64(10) {
				simulation := newFaultFreeSimulation(b, seed+1)
				simulation.faults.lossRate = lossRate
				for change := range 20 {
					proposedAt := simulation.now
					command := register.Command{
						Change:        id.Change(fmt.Sprintf("change-%d", change)),
						ApplyContract: &register.ApplyContract{Base: id.Revision(change), Contract: fakeContract("customer", change+1)},
					}
					for simulation.leader() == nil {
						simulation.run(10 * time.Millisecond)
					}
					simulation.leader().step(controller.ChangeProposed{Command: command})
					for !simulation.contractInForceEverywhere("customer", change+1) {
						simulation.run(2 * time.Millisecond)
					}
					durations = append(durations, simulation.now-proposedAt)
					simulation.run(time.Second)
				}
			}
			reportQuantiles(b, "in_force", durations)
		})
	}
}

// contractInForceEverywhere reports whether each node's view holds the contract
// with the given share.
func (simulation *simulation) contractInForceEverywhere(clientAccount id.ClientAccount, share int) bool {
	for _, node := range simulation.nodes {
		if known := node.view.ClientAccounts[clientAccount]; known == nil || known.Contract.Share != share {
			return false
		}
	}
	return true
}

// BenchmarkLeaderDeath reports the time without a leader after a leader's crash.
func BenchmarkLeaderDeath(b *testing.B) {
	var durations []time.Duration
	for seed := range uint64(100) {
		simulation := newFaultFreeSimulation(b, seed+1)
		simulation.leader().crash()
		diedAt := simulation.now
		for simulation.leader() == nil {
			simulation.run(10 * time.Millisecond)
		}
		durations = append(durations, simulation.now-diedAt)
	}
	reportQuantiles(b, "leaderless", durations)
}

// BenchmarkHostDeath reports how long fewer groups serve after one host's crash,
// with and without a spare host, and the median also in multiples of the host's
// lease, which is the time of detection. Without a spare, the host comes back
// after ten seconds.
func BenchmarkHostDeath(b *testing.B) {
	for _, spares := range []bool{true, false} {
		b.Run(fmt.Sprintf("spare=%v", spares), func(b *testing.B) {
			var durations []time.Duration
			for seed := range uint64(30) {
				simulation := newFaultFreeSimulation(b, seed+1)
				if !spares {
					simulation.stopSpareHosts()
				}
				durations = append(durations, simulation.measureGroupDowntime(spares))
			}
			reportQuantiles(b, "group_down", durations)
			b.ReportMetric(float64(durations[len(durations)/2])/float64(hostLease), "detections_p50")
		})
	}
}

func (simulation *simulation) stopSpareHosts() {
	for _, host := range simulation.hosts {
		if host.serving.Group == "" {
			host.up = false
		}
	}
	simulation.run(hostLease + time.Second)
}

// measureGroupDowntime stops a host that serves in a group and returns how long
// it takes until as many groups serve as before.
func (simulation *simulation) measureGroupDowntime(spare bool) time.Duration {
	serving := simulation.countServingGroups()
	for _, host := range simulation.hosts {
		if host.serving.Group != "" {
			host.up = false
			if !spare {
				simulation.schedule(10*time.Second, host.restart)
			}
			break
		}
	}
	diedAt := simulation.now
	for simulation.countServingGroups() == serving {
		simulation.run(50 * time.Millisecond)
	}
	for simulation.countServingGroups() < serving {
		simulation.run(50 * time.Millisecond)
	}
	return simulation.now - diedAt
}

// countServingGroups counts the groups to which the last node, which isn't a
// voter, would route.
func (simulation *simulation) countServingGroups() int {
	node := simulation.nodes[nodeCount-1]
	count := 0
	if set := node.view.Models[fakeModel]; set != nil {
		for _, endpoint := range set.Endpoints {
			if node.now().Before(endpoint.ValidUntil) {
				count++
			}
		}
	}
	return count
}
