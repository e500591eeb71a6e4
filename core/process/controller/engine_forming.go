package controller

import (
	"fmt"
	"strings"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// discoveryQuietIntervals is how many announcement intervals must pass without
	// a further engine before the first plan, and discoveryTimeout how long a new
	// leader waits for that.
	discoveryQuietIntervals = 1.1
	discoveryTimeout        = 6 * time.Second
	// dissolveInterval is the least time between two groups that are retired in
	// favour of another model.
	dissolveInterval = 2 * time.Second
	// recentlySeenIntervals is how many announcement intervals may have passed
	// since the last announcement of a host that is put into a new group.
	recentlySeenIntervals = 1.2
	// idleSummaryInterval is the least time between two records of the idle
	// engines, and maxIdleKinds the number of kinds that one record names.
	idleSummaryInterval = time.Second
	maxIdleKinds        = 40
)

// formEngineGroups forms groups of the assignable engines of a service, stages
// weights on those that are left, and retires a group when another model needs
// its hosts more. It reports whether it proposed a change.
func (controller *Controller) formEngineGroups(now time.Time, actions *Actions, service *routing.Service) bool {
	free, groups := controller.assignableEngines(now, service), controller.plannerGroups(service)
	if controller.discoveringEngines(now, service) {
		return false
	}
	controller.dropFinishedStagings(now)
	constraints := controller.planConstraints(now, service.Engine)
	plan := grouper.New(free, groups, engineSpecs(service.Engine), constraints).Plan()
	controller.recordIdleEngines(now, actions, service, free, constraints)
	for position, assignment := range plan.Form {
		name := controller.engineGroupName(position)
		actions.Decisions = append(actions.Decisions, Decision{
			Step: "form_group", Group: name, Model: assignment.Model, Hosts: assignment.Hosts,
			Reason: fmt.Sprintf("%d engines free", len(free)),
		})
		controller.proposeAsLeader(now, actions, register.Command{CommitGroup: &register.CommitGroup{
			Group: name, Model: assignment.Model, Hosts: assignment.Hosts, Service: service.Name,
		}})
	}
	for _, staging := range plan.Stage {
		controller.orderStaging(now, actions, service, staging.Host, staging.Model)
	}
	if controller.dissolveGroup(now, actions, plan) || len(plan.Form) > 0 {
		return true
	}
	controller.stageFurtherModels(now, actions, service)
	return false
}

// recordIdleEngines records how many engines are in no group, by fabric domain
// and weights held, and how many loads the weight store takes, when that has
// changed.
func (controller *Controller) recordIdleEngines(now time.Time, actions *Actions, service *routing.Service, free []grouper.Host, constraints grouper.Constraints) {
	if now.Before(controller.leadership.idleSummaryAt.Add(idleSummaryInterval)) {
		return
	}
	engineCountByKind := map[string]int{}
	for _, host := range free {
		engineCountByKind[fmt.Sprintf("%s:%s", host.Domain, joinModels(host.Loaded)+"/"+joinModels(host.Staged))]++
	}
	var summary strings.Builder
	for position, kind := range sortedKeys(engineCountByKind) {
		if position == maxIdleKinds {
			fmt.Fprintf(&summary, "and %d more kinds ", len(engineCountByKind)-position)
			break
		}
		fmt.Fprintf(&summary, "%s=%d ", kind, engineCountByKind[kind])
	}
	fmt.Fprintf(&summary, "loads=%d", constraints.MaxLoads)
	if text := summary.String(); text != controller.leadership.idleSummary {
		controller.leadership.idleSummary, controller.leadership.idleSummaryAt = text, now
		actions.Decisions = append(actions.Decisions, Decision{Step: "idle_engines", Group: id.Group(service.Name), Reason: text})
	}
}

func joinModels(models []id.Model) string {
	names := make([]string, len(models))
	for index, model := range models {
		names[index] = string(model)
	}
	return strings.Join(names, "+")
}

// discoveringEngines reports whether engines are still announcing themselves for
// the first time, as at the start of a system. Planning waits for them, since a
// plan for all engines is better than one for some.
func (controller *Controller) discoveringEngines(now time.Time, service *routing.Service) bool {
	leadership := controller.leadership
	if leadership.callsSeen || now.Sub(leadership.startedAt) > discoveryTimeout {
		return false
	}
	count, quietPeriod := 0, time.Duration(0)
	for _, host := range controller.roster.Members() {
		if host.Announcement.Engine && host.Announcement.Service == service.Name {
			count++
			quietPeriod = max(quietPeriod, announcementIntervals(host, discoveryQuietIntervals))
		}
	}
	if count != leadership.engineCount {
		leadership.engineCount, leadership.engineCountChangedAt = count, now
	}
	return now.Sub(leadership.engineCountChangedAt) < quietPeriod
}

// dissolveGroup retires the group whose hosts the plan needs for another model,
// at most one in dissolveInterval. It reports whether it proposed a change.
func (controller *Controller) dissolveGroup(now time.Time, actions *Actions, plan grouper.Plan) bool {
	if plan.Dissolve == "" || now.Before(controller.leadership.lastDissolvedAt.Add(dissolveInterval)) {
		return false
	}
	group, ok := controller.register.Group(plan.Dissolve)
	if !ok {
		return false
	}
	controller.leadership.lastDissolvedAt = now
	actions.Decisions = append(actions.Decisions, Decision{
		Step: "retire_group", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Reason: "room_for_" + string(plan.DissolveFor),
	})
	controller.proposeAsLeader(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: group.Group, Base: group.Fencing}})
	return true
}

// plannerHost converts an engine's announcement to the grouper's form.
func (controller *Controller) plannerHost(host roster.Member) grouper.Host {
	announcement := &host.Announcement
	return grouper.Host{
		Host: announcement.Host, Domain: announcement.Domain, Loaded: announcement.Loaded, Staged: announcement.Staged,
		StagingModel: controller.leadership.stagingByHost[announcement.Host].model,
	}
}

// plannerGroups converts the groups of a service to the grouper's form.
func (controller *Controller) plannerGroups(service *routing.Service) []grouper.Group {
	var groups []grouper.Group
	for _, group := range controller.engineGroups() {
		if group.Service != service.Name {
			continue
		}
		plannerGroup := grouper.Group{Group: group.Group, Model: group.Model}
		for _, name := range group.Hosts {
			host, _ := controller.roster.Member(name)
			plannerGroup.Hosts = append(plannerGroup.Hosts, controller.plannerHost(host))
		}
		plannerGroup.Domain = plannerGroup.Hosts[0].Domain
		groups = append(groups, plannerGroup)
	}
	return groups
}

// planConstraints returns the constraints of a plan now: the loads that the
// weight store takes, and the hosts of retired groups that will soon be free.
// Loads aren't limited until a node has reported a call in this term.
func (controller *Controller) planConstraints(now time.Time, engine *routing.Engine) grouper.Constraints {
	constraints := grouper.Constraints{BeforeTraffic: !controller.leadership.callsSeen}
	for _, name := range sortedKeys(controller.register.Unfreed()) {
		host, ok := controller.roster.Member(name)
		if ok && host.Live(now) && host.SinceLastAnnouncement(now) <= announcementIntervals(host, recentlySeenIntervals) {
			constraints.DrainingHosts = append(constraints.DrainingHosts, controller.plannerHost(host))
		}
	}
	constraints.MaxLoads = controller.availableLoads(engine)
	return constraints
}

// engineGroupName returns a group name that is unique for each term, log index
// and position in the plan.
func (controller *Controller) engineGroupName(position int) id.Group {
	status := controller.quorum.Status()
	return id.Group(fmt.Sprintf("g%d-%d-%d", status.Term, status.LastIndex, position))
}

func engineSpecs(engine *routing.Engine) []grouper.Spec {
	specs := make([]grouper.Spec, len(engine.Models))
	for index, model := range engine.Models {
		specs[index] = grouper.Spec{Model: model.Name, HostsPerGroup: max(1, model.Hosts), Share: model.Share}
	}
	return specs
}

// assignableEngines lists the engines of a service that can be put into a group
// now.
func (controller *Controller) assignableEngines(now time.Time, service *routing.Service) []grouper.Host {
	unfreed := controller.register.Unfreed()
	var free []grouper.Host
	for _, host := range controller.roster.Members() {
		announcement := host.Announcement
		if !announcement.Engine || announcement.Service != service.Name || !host.Live(now) {
			continue
		}
		if _, notFreed := unfreed[announcement.Host]; notFreed {
			continue
		}
		if _, assigned := controller.register.GroupOf(announcement.Host); assigned {
			continue
		}
		if host.SinceLastAnnouncement(now) > announcementIntervals(host, recentlySeenIntervals) || controller.hostLost(now, host) {
			continue
		}
		free = append(free, controller.plannerHost(host))
	}
	return free
}
