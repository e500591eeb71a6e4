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
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/stager"
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
	{grouper.Spec{Model: "four", Hosts: 4, Share: 0.5}, 16 * time.Second, 1600 * time.Millisecond, 5},
	{grouper.Spec{Model: "pair", Hosts: 2, Share: 0.5}, 12 * time.Second, 1100 * time.Millisecond, 8.5},
}

// Policy is what of the product's planning is in use.
type Policy struct {
	// Beside puts the weights of a second model onto hosts that serve.
	Beside bool
}

// Product is the policy of the product.
var Product = Policy{Beside: true}

// Change is what happens to engines at a time of the day.
type Change struct {
	At time.Duration
	// Lost engines of groups in two domains fall dark; Added ones are empty.
	Lost, Added int
	// Dark loses all engines of the first domain, and Back brings them again.
	Dark, Back bool
	// Zone names the two domains.
	Zone int
}

// Day is what is played.
type Day struct {
	Length  time.Duration
	Changes []Change
}

// Crashes is a day on which two engines are lost for good every three seconds,
// and empty ones are added later on.
func Crashes() Day {
	day := Day{Length: 34 * time.Second}
	for place, at := range []float64{3.3, 5.9, 8.3, 11.7, 14.6, 18.3, 20.5, 23.8, 26.1} {
		day.Changes = append(day.Changes, Change{At: seconds(at), Lost: 2, Zone: (place + 2) % 3})
	}
	for place, at := range []float64{12, 16, 19, 20.8, 23.5, 26.3, 30} {
		day.Changes = append(day.Changes, Change{At: seconds(at), Added: 2, Zone: (place + 2) % 3})
	}
	return day
}

// Domain is a day like Crashes on which besides a whole domain falls dark and
// returns without what its engines had in memory.
func Domain() Day {
	day := Crashes()
	day.Changes = append(day.Changes, Change{At: seconds(11), Dark: true}, Change{At: seconds(18.7), Back: true})
	slices.SortStableFunc(day.Changes, func(a, b Change) int { return int(a.At - b.At) })
	return day
}

// Release is a day on which engines are replaced one after the other by empty
// ones.
func Release() Day {
	day := Day{Length: 34 * time.Second}
	for place := range 27 {
		at := 5 + 0.8*float64(place)
		day.Changes = append(day.Changes, Change{At: seconds(at), Added: 1, Zone: place % 3}, Change{At: seconds(at + 1), Lost: 1, Zone: place % 3})
	}
	slices.SortStableFunc(day.Changes, func(a, b Change) int { return int(a.At - b.At) })
	return day
}

func seconds(at float64) time.Duration { return time.Duration(at * float64(time.Second)) }

// Result is the part of the work that the groups could serve.
type Result struct {
	// Mean is that of the whole day by models' work, Worst that of the worst
	// served model, and Idle the part of the engines' time in no open group.
	Mean, Worst, Idle float64
}

// engine is one engine.
type engine struct {
	grouper.Host
	up bool
	// dark says that it is down with its domain.
	dark bool
	// group is what it is in or on its way out of, freeAt when it is out.
	group  *group
	freeAt time.Duration
	// left is what remains of its load.
	left time.Duration
}

// group is one group of engines.
type group struct {
	grouper.Group
	model   Model
	engines []*engine
	openAt  time.Duration
	// stands is set once a member is lost, and retireAt is when that is known.
	stands   bool
	retireAt time.Duration
	retired  bool
}

// world plays one day.
type world struct {
	now         time.Duration
	policy      Policy
	rand        *rand.Rand
	engines     []*engine
	groups      []*group
	number      int
	dissolvedAt time.Duration
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
		weight := model.Groups * float64(model.Spec.Hosts)
		part := served[model.Spec.Model] / asked[model.Spec.Model]
		result.Worst = min(result.Worst, part)
		sum, total = sum+weight*part, total+weight
	}
	result.Mean = sum / total
	return result
}

func (world *world) add(domain int) {
	world.number++
	world.engines = append(world.engines, &engine{
		Host: grouper.Host{Host: id.Host(fmt.Sprintf("e%03d", world.number)), Domain: id.Domain(fmt.Sprintf("d%d", domain))}, up: true,
	})
}

// change loses engines of groups, or adds empty ones, in the two domains of a
// zone.
func (world *world) change(change Change) {
	if change.Dark || change.Back {
		world.domain(change.Back)
	}
	for place := range change.Added {
		world.add(2*change.Zone + place%2)
	}
	for range change.Lost {
		var serving []*engine
		for _, engine := range world.engines {
			if engine.up && engine.group != nil && (engine.Domain == id.Domain(fmt.Sprintf("d%d", 2*change.Zone)) || engine.Domain == id.Domain(fmt.Sprintf("d%d", 2*change.Zone+1))) {
				serving = append(serving, engine)
			}
		}
		if len(serving) == 0 {
			return
		}
		lost := serving[world.rand.IntN(len(serving))]
		lost.up = false
		if !lost.group.stands {
			lost.group.stands, lost.group.retireAt = true, world.now+detection
		}
	}
}

// domain loses the engines of the first domain, or brings those back that were
// lost with it.
func (world *world) domain(back bool) {
	for _, engine := range world.engines {
		switch {
		case engine.Domain != "d0":
		case back && engine.dark:
			engine.up, engine.dark, engine.group, engine.Loaded, engine.Coming = true, false, nil, nil, ""
		case !back && engine.up:
			engine.up, engine.dark = false, true
			if engine.group != nil && !engine.group.stands {
				engine.group.stands, engine.group.retireAt = true, world.now+detection
			}
		}
	}
}

// progress moves loads on, and retires the groups whose loss is known.
func (world *world) progress() {
	loading := max(1, world.loading())
	pace := time.Duration(float64(tick) * min(1, float64(loadsAtOnce)/float64(loading)))
	if world.now < 0 {
		pace = 10 * tick
	}
	for _, engine := range world.engines {
		if engine.Coming == "" || !engine.up {
			continue
		}
		if engine.left -= pace; engine.left <= 0 {
			engine.Staged, engine.Coming = []id.Model{engine.Coming}, ""
		}
	}
	for _, group := range world.groups {
		if group.stands && !group.retired && world.now >= group.retireAt {
			world.retire(group, leaving)
		}
	}
	for _, engine := range world.engines {
		if engine.group != nil && engine.group.retired && world.now >= engine.freeAt {
			engine.group = nil
		}
	}
}

// retire ends a group; its hosts are free after a while.
func (world *world) retire(group *group, after time.Duration) {
	group.retired = true
	if !group.engines[0].up {
		after = deadHead
	}
	for _, engine := range group.engines {
		engine.freeAt = world.now + after
	}
}

func (world *world) loading() int {
	loading := 0
	for _, engine := range world.engines {
		if engine.up && engine.Coming != "" {
			loading++
		}
	}
	return loading
}

// plan lets the product plan, and carries it out.
func (world *world) plan() {
	var free, emptying []grouper.Host
	for _, engine := range world.engines {
		switch {
		case !engine.up:
		case engine.group == nil:
			free = append(free, engine.Host)
		case engine.group.retired:
			emptying = append(emptying, engine.Host)
		}
	}
	var groups []grouper.Group
	for _, group := range world.groups {
		if group.retired {
			continue
		}
		known := group.Group
		for _, engine := range group.engines {
			known.Hosts = append(known.Hosts, engine.Host)
		}
		groups = append(groups, known)
	}
	room := grouper.Room{Loads: loadsAtOnce - world.loading(), Early: world.now < 0, Emptying: emptying}
	plan := grouper.New(free, groups, specs(), room).Plan()
	for _, assignment := range plan.Form {
		world.form(assignment)
	}
	for _, staging := range plan.Stage {
		world.stage(staging.Host, staging.Model)
	}
	if plan.Dissolve != "" && world.now >= world.dissolvedAt+dissolveEvery {
		world.dissolvedAt = world.now
		index := slices.IndexFunc(world.groups, func(group *group) bool { return group.Group.Group == plan.Dissolve })
		world.retire(world.groups[index], finishing)
	}
	world.stageBeside()
}

func specs() []grouper.Spec {
	list := make([]grouper.Spec, len(Models))
	for index, model := range Models {
		list[index] = model.Spec
	}
	return list
}

// stageBeside puts the weights of second models onto hosts.
func (world *world) stageBeside() {
	if !world.policy.Beside {
		return
	}
	var hosts []stager.Host
	for _, engine := range world.engines {
		if engine.up && engine.Coming == "" && (engine.group == nil || (!engine.group.retired && world.now >= engine.group.openAt)) {
			hosts = append(hosts, stager.Host{Host: engine.Host.Host, Domain: engine.Domain, Loaded: engine.Loaded, Staged: engine.Staged})
		}
	}
	loads := loadsAtOnce - repairLoads - world.loading()
	if world.now < 0 {
		loads = 20 - world.loading()
	}
	models := make([]stager.Model, len(Models))
	for index, model := range Models {
		models[index] = stager.Model{Name: model.Spec.Model, Hosts: model.Spec.Hosts}
	}
	for _, staging := range stager.Plan(hosts, models, 1, loads) {
		world.stage(staging.Host, staging.Model)
	}
}

func (world *world) stage(name id.Host, model id.Model) {
	engine := world.engine(name)
	engine.Coming, engine.left = model, modelOf(model).Load
}

func modelOf(name id.Model) Model {
	return Models[slices.IndexFunc(Models, func(model Model) bool { return model.Spec.Model == name })]
}

func (world *world) engine(name id.Host) *engine {
	return world.engines[slices.IndexFunc(world.engines, func(engine *engine) bool { return engine.Host.Host == name })]
}

// form lets engines join a new group, which opens once the last one is ready.
func (world *world) form(assignment grouper.Assignment) {
	world.number++
	model := modelOf(assignment.Model)
	formed := &group{model: model, Group: grouper.Group{Group: id.Group(fmt.Sprintf("g%d", world.number)), Model: assignment.Model}}
	slowest := time.Duration(0)
	for _, name := range assignment.Hosts {
		engine := world.engine(name)
		takes := model.Load
		switch {
		case slices.Contains(engine.Loaded, assignment.Model):
			takes = returning
		case slices.Contains(engine.Staged, assignment.Model):
			takes = model.WarmUp
		case world.now < 0:
			takes = model.Load / 10
		}
		slowest = max(slowest, takes)
		engine.group, engine.Loaded, engine.Staged = formed, []id.Model{assignment.Model}, []id.Model{assignment.Model}
		formed.engines = append(formed.engines, engine)
		formed.Domain = engine.Domain
	}
	formed.openAt = world.now + slowest + opening
	world.groups = append(world.groups, formed)
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
