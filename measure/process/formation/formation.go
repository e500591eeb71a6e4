// Package formation plays a day of engines that are lost, added and replaced,
// and measures how much of the work their groups can serve under the product's
// own planning of groups and weights. It models what takes time: detection of a
// loss, leaving, warming up, loads from a weight store that slows down beyond a
// number at once, and the opening of a group.
//
// # Usage
//
//	result := formation.Play(formation.Crashes(), formation.Product, seed)
//	fmt.Println(result.Worst, result.Mean)
package formation

import (
	"math"
	"math/rand/v2"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
)

const (
	tick = 100 * time.Millisecond
	// detection is the time from the loss of an engine until its group is
	// retired, and leaving that until the others are out of it.
	detection = 900 * time.Millisecond
	leaving   = 300 * time.Millisecond
	// deadHead is the same where the head itself is lost.
	deadHead = 4300 * time.Millisecond
	// finishing is how long a group that makes room finishes its work.
	finishing = 1500 * time.Millisecond
	// opening is the time from the last host's readiness to the first call.
	opening = 600 * time.Millisecond
	// returning is how long an engine takes to join with the model it had.
	returning = 200 * time.Millisecond
	// dissolveEvery is the least time between two groups that make room.
	dissolveEvery = 2 * time.Second
	loadsAtOnce   = 7
	repairLoads   = 2
	domainHosts   = 10
	domains       = 6
)

// Model is one model of the day.
type Model struct {
	Spec grouper.Spec
	// Load and WarmUp are how long weights take from the store and the host.
	Load, WarmUp time.Duration
	// Groups is how many groups the mean of the traffic keeps busy.
	Groups float64
}

// Models are two whose groups have four engines and two.
var Models = []Model{
	{grouper.Spec{Model: "four", HostsPerGroup: 4, Share: 0.5}, 16 * time.Second, 1600 * time.Millisecond, 5},
	{grouper.Spec{Model: "pair", HostsPerGroup: 2, Share: 0.5}, 12 * time.Second, 1100 * time.Millisecond, 8.5},
}

// Policy is what of the product's planning is in use.
type Policy struct {
	// Beside puts the weights of a second model onto hosts that serve.
	Beside bool
}

// Product is the policy of the product.
var Product = Policy{Beside: true}

// Result is the part of the work that the groups could serve.
type Result struct {
	// Mean is that of the whole day by models' work, Worst that of the worst
	// served model, and Idle the part of the engines' time in no open group.
	Mean, Worst, Idle float64
}

// Play plays one day.
func Play(day Day, policy Policy, seed uint64) Result {
	world := &world{now: -6 * time.Second, policy: policy, rand: rand.New(rand.NewPCG(seed, 5)), dissolvedAt: -time.Hour} //nolint:gosec // a seeded model
	for domain := range domains {
		for range domainHosts {
			world.add(domain)
		}
	}
	served, asked, idle, all := map[id.Model]float64{}, map[id.Model]float64{}, 0.0, 0.0
	changes := day.Changes
	for ; world.now < day.Length; world.now += tick {
		for len(changes) > 0 && changes[0].At <= world.now {
			world.change(changes[0])
			changes = changes[1:]
		}
		world.progress()
		world.plan()
		if world.now >= 0 {
			world.measure(served, asked, &idle, &all)
		}
	}
	result := Result{Worst: 1, Idle: idle / all}
	sum, total := 0.0, 0.0
	for _, model := range Models {
		weight := model.Groups * float64(model.Spec.HostsPerGroup)
		part := served[model.Spec.Model] / asked[model.Spec.Model]
		result.Worst = min(result.Worst, part)
		sum, total = sum+weight*part, total+weight
	}
	result.Mean = sum / total
	return result
}

// measure adds what the open groups can serve of the work that comes now.
func (world *world) measure(served, asked map[id.Model]float64, idle, all *float64) {
	const swing, period = 0.55, 13.0
	wave := 1 + swing*math.Sin(2*math.Pi*(world.now.Seconds()/period+0.18))
	open := map[id.Model]float64{}
	for _, group := range world.groups {
		if !group.retired && !group.stands && world.now >= group.openAt {
			open[group.Model]++
			*idle -= float64(len(group.engines))
		}
	}
	for _, engine := range world.engines {
		if engine.up {
			*idle++
			*all++
		}
	}
	for _, model := range Models {
		work := model.Groups * wave
		asked[model.Spec.Model] += work
		served[model.Spec.Model] += min(work, open[model.Spec.Model])
	}
}
