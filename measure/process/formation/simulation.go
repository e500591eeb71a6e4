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

// engine is one engine and its host.
type engine struct {
	grouper.Host
	up bool
	// downWithDomain is set while the engine is down because of its domain's outage.
	downWithDomain bool
	// group is the group that the engine is in or is leaving; freeAt is when it has
	// left a retired group.
	group  *group
	freeAt time.Duration
	// loadTimeLeft is what remains of the load of StagingModel, at full speed.
	loadTimeLeft time.Duration
}

// group is one group of engines.
type group struct {
	grouper.Group
	model   Model
	engines []*engine
	openAt  time.Duration
	// broken is set once an engine of the group is lost, and retireAt is when the
	// loss is detected. A broken group serves nothing.
	broken   bool
	retireAt time.Duration
	retired  bool
}

// simulation runs one day.
type simulation struct {
	now        time.Duration
	policy     Policy
	rand       *rand.Rand
	engines    []*engine
	groups     []*group
	lastNumber int
	// lastDissolvedAtByDomain is when groups of a domain were last dissolved.
	lastDissolvedAtByDomain map[id.Domain]time.Duration
}

func (simulation *simulation) addEngine(domain int) {
	simulation.lastNumber++
	simulation.engines = append(simulation.engines, &engine{
		Host: grouper.Host{Host: id.Host(fmt.Sprintf("e%03d", simulation.lastNumber)), Domain: id.Domain(fmt.Sprintf("d%d", domain))}, up: true,
	})
}

// applyEvent crashes engines of groups and adds empty ones, in the two domains of a
// pair, and starts or ends the outage of the first domain.
func (simulation *simulation) applyEvent(event Event) {
	if event.DomainDown || event.DomainUp {
		simulation.setDomainUp(event.DomainUp)
	}
	for index := range event.AddedEngines {
		simulation.addEngine(2*event.DomainPair + index%2)
	}
	for range event.CrashedEngines {
		var serving []*engine
		for _, engine := range simulation.engines {
			if engine.up && engine.group != nil && (engine.Domain == id.Domain(fmt.Sprintf("d%d", 2*event.DomainPair)) || engine.Domain == id.Domain(fmt.Sprintf("d%d", 2*event.DomainPair+1))) {
				serving = append(serving, engine)
			}
		}
		if len(serving) == 0 {
			return
		}
		crashed := serving[simulation.rand.IntN(len(serving))]
		crashed.up = false
		if !crashed.group.broken {
			crashed.group.broken, crashed.group.retireAt = true, simulation.now+lossDetectionTime
		}
	}
}

// setDomainUp stops the engines of the first domain, or starts those that its outage
// stopped, without what they had in memory.
func (simulation *simulation) setDomainUp(up bool) {
	for _, engine := range simulation.engines {
		switch {
		case engine.Domain != "d0":
		case up && engine.downWithDomain:
			engine.up, engine.downWithDomain, engine.group, engine.Loaded, engine.StagingModel = true, false, nil, nil, ""
		case !up && engine.up:
			engine.up, engine.downWithDomain = false, true
			if engine.group != nil && !engine.group.broken {
				engine.group.broken, engine.group.retireAt = true, simulation.now+lossDetectionTime
			}
		}
	}
}

// advance passes one tick: loads progress, slower if there are too many, groups whose
// loss is detected are retired, and engines leave retired groups.
func (simulation *simulation) advance() {
	activeLoads := max(1, simulation.activeLoads())
	progress := time.Duration(float64(tick) * min(1, float64(maxConcurrentLoads)/float64(activeLoads)))
	if simulation.now < 0 {
		progress = 10 * tick
	}
	for _, engine := range simulation.engines {
		if engine.StagingModel == "" || !engine.up {
			continue
		}
		if engine.loadTimeLeft -= progress; engine.loadTimeLeft <= 0 {
			engine.Staged, engine.StagingModel = []id.Model{engine.StagingModel}, ""
		}
	}
	for _, group := range simulation.groups {
		if group.broken && !group.retired && simulation.now >= group.retireAt {
			simulation.retire(group, survivorsLeaveTime)
		}
	}
	for _, engine := range simulation.engines {
		if engine.group != nil && engine.group.retired && simulation.now >= engine.freeAt {
			engine.group = nil
		}
	}
}

// retire ends a group. Its engines are free after the given time, or after
// headLossLeaveTime if its head is down.
func (simulation *simulation) retire(group *group, freeAfter time.Duration) {
	group.retired = true
	if !group.engines[0].up {
		freeAfter = headLossLeaveTime
	}
	for _, engine := range group.engines {
		engine.freeAt = simulation.now + freeAfter
	}
}

func (simulation *simulation) activeLoads() int {
	activeLoads := 0
	for _, engine := range simulation.engines {
		if engine.up && engine.StagingModel != "" {
			activeLoads++
		}
	}
	return activeLoads
}

// plan runs the product's planner and carries out the plan.
func (simulation *simulation) plan() {
	var free, draining []grouper.Host
	for _, engine := range simulation.engines {
		switch {
		case !engine.up:
		case engine.group == nil:
			free = append(free, engine.Host)
		case engine.group.retired:
			draining = append(draining, engine.Host)
		}
	}
	var groups []grouper.Group
	for _, group := range simulation.groups {
		if group.retired {
			continue
		}
		groupWithHosts := group.Group
		for _, engine := range group.engines {
			groupWithHosts.Hosts = append(groupWithHosts.Hosts, engine.Host)
		}
		groups = append(groups, groupWithHosts)
	}
	constraints := grouper.Constraints{MaxLoads: maxConcurrentLoads - simulation.activeLoads(), BeforeTraffic: simulation.now < 0, DrainingHosts: draining}
	plan := grouper.New(free, groups, modelSpecs(), constraints).Plan()
	for _, assignment := range plan.Form {
		simulation.formGroup(assignment)
	}
	for _, staging := range plan.Stage {
		simulation.startLoad(staging.Host, staging.Model)
	}
	for _, dissolution := range plan.Dissolve {
		last, dissolved := simulation.lastDissolvedAtByDomain[dissolution.Domain]
		if dissolved && last != simulation.now && simulation.now < last+dissolveInterval {
			continue
		}
		simulation.lastDissolvedAtByDomain[dissolution.Domain] = simulation.now
		index := slices.IndexFunc(simulation.groups, func(group *group) bool { return group.Group.Group == dissolution.Group })
		simulation.retire(simulation.groups[index], dissolveDrainTime)
	}
	simulation.stageSecondModels()
}

func modelSpecs() []grouper.Spec {
	specs := make([]grouper.Spec, len(Models))
	for index, model := range Models {
		specs[index] = model.Spec
	}
	return specs
}

// stageSecondModels starts loads of second models' weights on hosts that have no load
// and aren't leaving or joining a group.
func (simulation *simulation) stageSecondModels() {
	if !simulation.policy.StageSecondModel {
		return
	}
	var hosts []grouper.Host
	for _, engine := range simulation.engines {
		if engine.up && engine.StagingModel == "" && (engine.group == nil || (!engine.group.retired && simulation.now >= engine.group.openAt)) {
			hosts = append(hosts, engine.Host)
		}
	}
	freeLoads := maxConcurrentLoads - reservedLoads - simulation.activeLoads()
	if simulation.now < 0 {
		freeLoads = 20 - simulation.activeLoads()
	}
	for _, staging := range stager.Plan(hosts, modelSpecs(), 1, freeLoads) {
		simulation.startLoad(staging.Host, staging.Model)
	}
}

func (simulation *simulation) startLoad(name id.Host, model id.Model) {
	engine := simulation.engine(name)
	engine.StagingModel, engine.loadTimeLeft = model, modelOf(model).LoadTime
}

func modelOf(name id.Model) Model {
	return Models[slices.IndexFunc(Models, func(model Model) bool { return model.Spec.Model == name })]
}

func (simulation *simulation) engine(name id.Host) *engine {
	return simulation.engines[slices.IndexFunc(simulation.engines, func(engine *engine) bool { return engine.Host.Host == name })]
}

// formGroup forms a group, which opens once the last of its engines is ready.
func (simulation *simulation) formGroup(assignment grouper.Assignment) {
	simulation.lastNumber++
	model := modelOf(assignment.Model)
	formed := &group{model: model, Group: grouper.Group{Group: id.Group(fmt.Sprintf("g%d", simulation.lastNumber)), Model: assignment.Model}}
	longestJoinTime := time.Duration(0)
	for _, name := range assignment.Hosts {
		engine := simulation.engine(name)
		joinTime := model.LoadTime
		switch {
		case slices.Contains(engine.Loaded, assignment.Model):
			joinTime = rejoinTime
		case slices.Contains(engine.Staged, assignment.Model):
			joinTime = model.WarmUpTime
		case simulation.now < 0:
			joinTime = model.LoadTime / 10
		}
		longestJoinTime = max(longestJoinTime, joinTime)
		engine.group, engine.Loaded, engine.Staged = formed, []id.Model{assignment.Model}, []id.Model{assignment.Model}
		formed.engines = append(formed.engines, engine)
		formed.Domain = engine.Domain
	}
	formed.openAt = simulation.now + longestJoinTime + groupOpeningTime
	simulation.groups = append(simulation.groups, formed)
}
