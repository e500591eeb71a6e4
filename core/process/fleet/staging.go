package fleet

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/stager"
	"carobline.dev/core/version/routing"
)

const (
	// reservedRepairLoads is how many of the weight store's loads are reserved for
	// repairing groups, and not available for the staging of further models.
	reservedRepairLoads = 2
	// earlyLoadSeconds limits the stagings in progress, until a node has reported
	// a call, to the loads of so many seconds. Few are then left when calls come.
	earlyLoadSeconds = 4
	// stagingSlackFactor is by how much longer than its declared time a load may
	// take before it is ordered again, as a fraction of that time.
	// lateOrderAllowance is added for an order that is carried out late.
	stagingSlackFactor = 0.5
	lateOrderAllowance = 4 * time.Second
)

// staging is an order in progress that puts a model's weights onto a host.
type staging struct {
	model               id.Model
	incarnation         id.Incarnation
	orderedAt, deadline time.Time
}

// availableLoads returns how many more loads the weight store takes now without
// slowing any of them down.
func (fleet *Fleet) availableLoads(engine *routing.Engine) int {
	return max(0, engine.LoadsAtOnce-fleet.countLoads(fleet.groups()))
}

// stagingTimeout returns how long the weights of a model may take to reach a
// host.
func stagingTimeout(engine *routing.Engine, name id.Model) time.Duration {
	index := slices.IndexFunc(engine.Models, func(model routing.Model) bool { return model.Name == name })
	loadTime := time.Duration(engine.Models[index].LoadMS) * time.Millisecond
	return loadTime + time.Duration(stagingSlackFactor*float64(loadTime)) + lateOrderAllowance
}

// dropFinishedStagings deletes the stagings that are over: the host holds the
// weights, has no lease, is leaving, has restarted or wasn't found at its address,
// or the staging timed out.
func (fleet *Fleet) dropFinishedStagings(now time.Time) {
	for name, staging := range fleet.stagingByHost {
		host, known := fleet.state.Roster.Member(name)
		announcement := &host.Announcement
		unavailable := !known || !host.Live(now) || announcement.Incarnation != staging.incarnation
		undelivered := fleet.undeliveredByHost[name].any(staging.orderedAt)
		if unavailable || undelivered || !now.Before(staging.deadline) || slices.Contains(announcement.Staged, staging.model) {
			delete(fleet.stagingByHost, name)
		}
	}
}

// stageFurtherModels stages the weights of further models on hosts that are idle
// or serve, so that each can change to another model without a load once its
// group is lost. It leaves reservedRepairLoads of the weight store's loads unused.
func (fleet *Fleet) stageFurtherModels(now time.Time, actions *Actions, service *routing.Service) {
	loads := fleet.availableLoads(service.Engine) - reservedRepairLoads
	if !fleet.callsSeen {
		loads = earlyLoadSeconds*int(service.Engine.LoadsPerSecond) - len(fleet.stagingByHost)
	}
	for _, staging := range stager.Plan(fleet.settledEngines(now, service), engineSpecs(service.Engine), service.Engine.StagedModels, loads) {
		fleet.orderStaging(now, actions, service, staging.Host, staging.Model)
	}
}

// orderStaging orders a host to stage a model's weights, unless a staging is in
// progress there or the weight store takes no further load now.
func (fleet *Fleet) orderStaging(now time.Time, actions *Actions, service *routing.Service, name id.Host, model id.Model) {
	host, ok := fleet.state.Roster.Member(name)
	if _, inProgress := fleet.stagingByHost[name]; !ok || inProgress || !fleet.mayOrder(now) || !fleet.acquireLoad(now, service.Engine) {
		return
	}
	fleet.stagingByHost[name] = staging{
		model: model, incarnation: host.Announcement.Incarnation, orderedAt: now, deadline: now.Add(stagingTimeout(service.Engine, model)),
	}
	fleet.sendOrder(now, actions, host, register.GroupRecord{Model: model}, action.OrderStage)
}

// settledEngines lists the engines that no change affects at present: they are in
// no group, or ready in one that is in use.
func (fleet *Fleet) settledEngines(now time.Time, service *routing.Service) []grouper.Host {
	releasing := fleet.state.Register.Unfreed()
	var settled []grouper.Host
	for _, host := range fleet.state.Roster.Members() {
		announcement := &host.Announcement
		if !announcement.Engine || announcement.Service != service.Name || !host.Live(now) || !recentlySeen(now, host) || fleet.evacuated(host) {
			continue
		}
		_, notFreed := releasing[announcement.Host]
		if _, inProgress := fleet.stagingByHost[announcement.Host]; notFreed || inProgress {
			continue
		}
		if name, assigned := fleet.state.Register.GroupOf(announcement.Host); assigned {
			group, known := fleet.state.Register.Group(name)
			if !known || !inGroup(host, group) || !announcement.Serving.Ready {
				continue
			}
		}
		settled = append(settled, fleet.plannerHost(host))
	}
	return settled
}
