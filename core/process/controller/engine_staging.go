package controller

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/stager"
	"carobline.dev/core/version/routing"
)

const (
	// repairLoads is how many loads are kept for groups while weights are put
	// onto hosts beside those that they need.
	repairLoads = 2
	// earlySeconds is for how many seconds' loads may be under way before any
	// calls come, so that few of them are left over when they do.
	earlySeconds = 4
	// stageSlack is how much longer than its time a load may take before it is
	// ordered again, in parts of that time, and orderSlack is added for an order
	// that is carried out late.
	stageSlack = 0.5
	orderSlack = 4 * time.Second
)

// staging is an order to put a model's weights onto a host.
type staging struct {
	model       id.Model
	incarnation id.Incarnation
	at, until   time.Time
}

// freeLoads is how many loads the weight store takes now at full pace.
func (controller *Controller) freeLoads(engine *routing.Engine) int {
	return max(0, engine.LoadsAtOnce-controller.loading(controller.engineGroups()))
}

// stagePatience is how long weights may take to reach a host.
func stagePatience(engine *routing.Engine, name id.Model) time.Duration {
	index := slices.IndexFunc(engine.Models, func(model routing.Model) bool { return model.Name == name })
	load := time.Duration(engine.Models[index].LoadMS) * time.Millisecond
	return load + time.Duration(stageSlack*float64(load)) + orderSlack
}

// endStagings forgets the loads that are over: the weights have come, or the
// host is gone, has begun a new life, found nobody at its address, or took too
// long.
func (controller *Controller) endStagings(now time.Time) {
	for name, load := range controller.reign.staging {
		host, known := controller.hosts.Member(name)
		announcement := &host.Announcement
		gone := !known || !host.Live(now) || announcement.Incarnation != load.incarnation
		refused := controller.reign.undelivered[name].After(load.at)
		if gone || refused || !now.Before(load.until) || slices.Contains(announcement.Staged, load.model) {
			delete(controller.reign.staging, name)
		}
	}
}

// stageBeside puts the weights of further models onto hosts that are idle or
// serve, so that each can change to another model without a load once its group
// is lost. It leaves the store room for repairs.
func (controller *Controller) stageBeside(now time.Time, actions *Actions, service *routing.Service) {
	loads := controller.freeLoads(service.Engine) - repairLoads
	if !controller.reign.busy {
		loads = earlySeconds*int(service.Engine.LoadsPerSecond) - len(controller.reign.staging)
	}
	for _, staging := range stager.Plan(controller.settledEngines(now, service), engineSpecs(service.Engine), service.Engine.StagedModels, loads) {
		controller.stage(now, actions, service, staging.Host, staging.Model)
	}
}

// stage orders weights onto a host as the weight store allows.
func (controller *Controller) stage(now time.Time, actions *Actions, service *routing.Service, name id.Host, model id.Model) {
	host, ok := controller.hosts.Member(name)
	if _, underWay := controller.reign.staging[name]; !ok || underWay || !controller.mayLoad(now, service.Engine) {
		return
	}
	controller.reign.staging[name] = staging{
		model: model, incarnation: host.Announcement.Incarnation, at: now, until: now.Add(stagePatience(service.Engine, model)),
	}
	controller.orderEngine(now, actions, host, register.GroupRecord{Model: model}, OrderStage)
}

// settledEngines lists the engines that take no part in any change: they are in
// no group, or ready in one that is in use.
func (controller *Controller) settledEngines(now time.Time, service *routing.Service) []grouper.Host {
	unfreed := controller.register.Unfreed()
	var settled []grouper.Host
	for _, host := range controller.hosts.Members() {
		announcement := &host.Announcement
		if !announcement.Engine || announcement.Service != service.Name || !host.Live(now) || host.SinceLastAnnouncement(now) > beats(host, freshBeats) {
			continue
		}
		_, waits := unfreed[announcement.Host]
		if _, underWay := controller.reign.staging[announcement.Host]; waits || underWay {
			continue
		}
		if name, assigned := controller.register.GroupOf(announcement.Host); assigned {
			group, known := controller.register.Group(name)
			if !known || !within(host, group) || !announcement.Serving.Ready {
				continue
			}
		}
		settled = append(settled, controller.planned(host))
	}
	return settled
}
