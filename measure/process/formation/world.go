package formation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/stager"
)

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
			engine.up, engine.dark, engine.group, engine.Loaded, engine.StagingModel = true, false, nil, nil, ""
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
		if engine.StagingModel == "" || !engine.up {
			continue
		}
		if engine.left -= pace; engine.left <= 0 {
			engine.Staged, engine.StagingModel = []id.Model{engine.StagingModel}, ""
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
		if engine.up && engine.StagingModel != "" {
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
	room := grouper.Constraints{MaxLoads: loadsAtOnce - world.loading(), BeforeTraffic: world.now < 0, DrainingHosts: emptying}
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
	var hosts []grouper.Host
	for _, engine := range world.engines {
		if engine.up && engine.StagingModel == "" && (engine.group == nil || (!engine.group.retired && world.now >= engine.group.openAt)) {
			hosts = append(hosts, engine.Host)
		}
	}
	loads := loadsAtOnce - repairLoads - world.loading()
	if world.now < 0 {
		loads = 20 - world.loading()
	}
	for _, staging := range stager.Plan(hosts, specs(), 1, loads) {
		world.stage(staging.Host, staging.Model)
	}
}

func (world *world) stage(name id.Host, model id.Model) {
	engine := world.engine(name)
	engine.StagingModel, engine.left = model, modelOf(model).Load
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
