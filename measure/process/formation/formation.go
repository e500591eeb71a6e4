// Package formation simulates a day on which engines are lost, added and replaced,
// and measures the fraction of the work that their groups can serve under the
// product's own planning of groups and weights. The model has the steps that take
// time: the detection of a loss, leaving a group, warming up, loads from a weight
// store that slows down above a number of concurrent loads, and opening a group.
//
// # Usage
//
//	result := formation.Simulate(formation.Crashes(), formation.Product, seed)
//	fmt.Println(result.WorstModelServed, result.MeanServed)
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
	// lossDetectionTime is the time from the loss of an engine until its group is
	// retired, and survivorsLeaveTime the time from then until the group's other
	// engines are free.
	lossDetectionTime  = 900 * time.Millisecond
	survivorsLeaveTime = 300 * time.Millisecond
	// headLossLeaveTime replaces survivorsLeaveTime if the group's head is lost.
	headLossLeaveTime = 4300 * time.Millisecond
	// dissolveDrainTime is how long a group drains that is dissolved for another model.
	dissolveDrainTime = 1500 * time.Millisecond
	// groupOpeningTime is the time from when the last engine of a group is ready until
	// the group's first call.
	groupOpeningTime = 600 * time.Millisecond
	// rejoinTime is how long an engine takes to join a group of the model that is
	// still in its memory.
	rejoinTime = 200 * time.Millisecond
	// dissolveInterval is the minimum time between two dissolved groups.
	dissolveInterval = 2 * time.Second
	// maxConcurrentLoads is how many loads the weight store serves at full speed, and
	// reservedLoads how many of them are kept free of loads of second models.
	maxConcurrentLoads = 7
	reservedLoads      = 2
	enginesPerDomain   = 10
	domainCount        = 6
)

// Model is one of the models that the engines serve.
type Model struct {
	Spec grouper.Spec
	// LoadTime is how long loading the weights from the store takes, and WarmUpTime
	// how long it takes from the engine's host.
	LoadTime, WarmUpTime time.Duration
	// BusyGroups is how many groups the mean traffic keeps busy.
	BusyGroups float64
}

// Models are two models, whose groups have four and two engines.
var Models = []Model{
	{grouper.Spec{Model: "four", HostsPerGroup: 4, Share: 0.5}, 16 * time.Second, 1600 * time.Millisecond, 5},
	{grouper.Spec{Model: "pair", HostsPerGroup: 2, Share: 0.5}, 12 * time.Second, 1100 * time.Millisecond, 8.5},
}

// Policy selects the parts of the product's planning that are in use. Groups are
// always planned by the product.
type Policy struct {
	// StageSecondModel stages the weights of a second model on hosts whose engines
	// are free or serve another model.
	StageSecondModel bool
}

// Product is the policy that the product has.
var Product = Policy{StageSecondModel: true}

// Result is the fraction of the work that the groups could serve on a day.
type Result struct {
	// MeanServed is the fraction over all models, weighted by their work, and
	// WorstModelServed that of the model with the lowest one. IdleFraction is the
	// fraction of the engines' time in which they are in no open group.
	MeanServed, WorstModelServed, IdleFraction float64
}

// Simulate simulates one day. It starts six seconds earlier, with faster loads, for
// the first groups to form. The same seed gives the same result.
func Simulate(day Day, policy Policy, seed uint64) Result {
	simulation := &simulation{now: -6 * time.Second, policy: policy, rand: rand.New(rand.NewPCG(seed, 5)), lastDissolvedAtByDomain: map[id.Domain]time.Duration{}} //nolint:gosec // a seeded model
	for domain := range domainCount {
		for range enginesPerDomain {
			simulation.addEngine(domain)
		}
	}
	servedByModel, workByModel, idleEngines, upEngines := map[id.Model]float64{}, map[id.Model]float64{}, 0.0, 0.0
	events := day.Events
	for ; simulation.now < day.Length; simulation.now += tick {
		for len(events) > 0 && events[0].At <= simulation.now {
			simulation.applyEvent(events[0])
			events = events[1:]
		}
		simulation.advance()
		simulation.plan()
		if simulation.now >= 0 {
			simulation.measure(servedByModel, workByModel, &idleEngines, &upEngines)
		}
	}
	result := Result{WorstModelServed: 1, IdleFraction: idleEngines / upEngines}
	weightedSum, totalWeight := 0.0, 0.0
	for _, model := range Models {
		weight := model.BusyGroups * float64(model.Spec.HostsPerGroup)
		servedFraction := servedByModel[model.Spec.Model] / workByModel[model.Spec.Model]
		result.WorstModelServed = min(result.WorstModelServed, servedFraction)
		weightedSum, totalWeight = weightedSum+weight*servedFraction, totalWeight+weight
	}
	result.MeanServed = weightedSum / totalWeight
	return result
}

// measure adds the work of one tick for each model, and how much of it the open groups
// can serve; the work swings around its mean. It adds the engines that are up, and
// those of them in no open group.
func (simulation *simulation) measure(servedByModel, workByModel map[id.Model]float64, idleEngines, upEngines *float64) {
	const swing, period = 0.55, 13.0
	demandFactor := 1 + swing*math.Sin(2*math.Pi*(simulation.now.Seconds()/period+0.18))
	openGroupsByModel := map[id.Model]float64{}
	for _, group := range simulation.groups {
		if !group.retired && !group.broken && simulation.now >= group.openAt {
			openGroupsByModel[group.Model]++
			*idleEngines -= float64(len(group.engines))
		}
	}
	for _, engine := range simulation.engines {
		if engine.up {
			*idleEngines++
			*upEngines++
		}
	}
	for _, model := range Models {
		work := model.BusyGroups * demandFactor
		workByModel[model.Spec.Model] += work
		servedByModel[model.Spec.Model] += min(work, openGroupsByModel[model.Spec.Model])
	}
}
