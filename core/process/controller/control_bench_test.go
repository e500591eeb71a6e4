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

// quietWorld is a world without faults whose groups have formed.
func quietWorld(b *testing.B, seed uint64) *world {
	world := newWorld(b, seed)
	world.checks.crashes = false
	world.run(15 * time.Second)
	return world
}

func (world *world) leading() *node {
	for _, node := range world.nodes {
		if node.up && node.voter != nil && node.voter.HoldsLeaderLease(node.local()) {
			return node
		}
	}
	return nil
}

// quantiles reports times of the world's own clock.
func quantiles(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), name+"_p50_ms")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), name+"_p99_ms")
}

// BenchmarkInForce reports the time from a change to its being in force at nine
// nodes, quiet and with one message in ten lost.
func BenchmarkInForce(b *testing.B) {
	for _, lose := range []float64{0, 0.1} {
		b.Run(fmt.Sprintf("lost=%g", lose), func(b *testing.B) {
			var times []time.Duration
			for seed := range uint64(10) {
				world := quietWorld(b, seed+1)
				world.weather.lose = lose
				for change := range 20 {
					asked := world.now
					command := register.Command{
						Change:        id.Change(fmt.Sprintf("change-%d", change)),
						ApplyContract: &register.ApplyContract{Base: id.Revision(change), Contract: fakeContract("customer", change+1)},
					}
					for world.leading() == nil {
						world.run(10 * time.Millisecond)
					}
					world.leading().step(controller.ChangeProposed{Command: command})
					for !world.allHave("customer", change+1) {
						world.run(2 * time.Millisecond)
					}
					times = append(times, world.now-asked)
					world.run(time.Second)
				}
			}
			quantiles(b, "in_force", times)
		})
	}
}

// allHave tells whether each node takes work by a contract's latest form.
func (world *world) allHave(clientAccount id.ClientAccount, share int) bool {
	for _, node := range world.nodes {
		if known := node.view.ClientAccounts[clientAccount]; known == nil || known.Contract.Share != share {
			return false
		}
	}
	return true
}

// BenchmarkLeaderDeath reports the time without a leader after its death.
func BenchmarkLeaderDeath(b *testing.B) {
	var times []time.Duration
	for seed := range uint64(100) {
		world := quietWorld(b, seed+1)
		world.leading().crash()
		died := world.now
		for world.leading() == nil {
			world.run(10 * time.Millisecond)
		}
		times = append(times, world.now-died)
	}
	quantiles(b, "leaderless", times)
}

// BenchmarkHostDeath reports how long fewer groups serve after one host's death,
// with and without a spare, in multiples of the time in which it is detected.
// Without a spare the host comes back after ten seconds.
func BenchmarkHostDeath(b *testing.B) {
	for _, spares := range []bool{true, false} {
		b.Run(fmt.Sprintf("spare=%v", spares), func(b *testing.B) {
			var times []time.Duration
			for seed := range uint64(30) {
				world := quietWorld(b, seed+1)
				if !spares {
					world.silenceSpares()
				}
				times = append(times, world.downtime(spares))
			}
			quantiles(b, "group_down", times)
			b.ReportMetric(float64(times[len(times)/2])/float64(hostLease), "detections_p50")
		})
	}
}

func (world *world) silenceSpares() {
	for _, host := range world.hosts {
		if host.serving.Group == "" {
			host.up = false
		}
	}
	world.run(hostLease + time.Second)
}

// downtime kills a host that serves and waits until as many groups serve again.
func (world *world) downtime(spare bool) time.Duration {
	serving := world.serving()
	for _, host := range world.hosts {
		if host.serving.Group != "" {
			host.up = false
			if !spare {
				world.after(10*time.Second, host.restart)
			}
			break
		}
	}
	died := world.now
	for world.serving() == serving {
		world.run(50 * time.Millisecond)
	}
	for world.serving() < serving {
		world.run(50 * time.Millisecond)
	}
	return world.now - died
}

// serving counts the groups that some follower would send work to.
func (world *world) serving() int {
	node := world.nodes[fakeNodes-1]
	count := 0
	if set := node.view.Models[fakeModel]; set != nil {
		for _, endpoint := range set.Endpoints {
			if node.local().Before(endpoint.ValidUntil) {
				count++
			}
		}
	}
	return count
}
