package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// discoveryStableIntervals is how many announcement intervals must pass without
	// a further engine before the first plan, and discoveryTimeout how long a new
	// leader waits for that.
	discoveryStableIntervals = 1.1
	discoveryTimeout         = 6 * time.Second
	// dissolveInterval is the least time between two steps in one fabric domain in
	// which groups are retired in favour of another model.
	dissolveInterval = 2 * time.Second
	// recentlySeenIntervals is how many announcement intervals may have passed
	// since the last announcement of a host that is put into a new group.
	recentlySeenIntervals = 1.2
	// preparationInterval is the least time between two looks at which weights engines
	// should have for later groups.
	preparationInterval = 100 * time.Millisecond
	// idleSummaryInterval is the least time between two records of the idle
	// engines, and maxIdleKinds the number of kinds that one record names.
	idleSummaryInterval = time.Second
	maxIdleKinds        = 40
)

// formGroups forms groups of the assignable engines of a service, stages weights on
// those that are left, and retires a group when another model needs its hosts more. With
// prepare it also prepares engines for later groups, if nothing changes now.
func (fleet *Fleet) formGroups(now time.Time, actions *Actions, service *routing.Service, prepare bool) {
	free, groups := fleet.assignableEngines(now, service), fleet.plannerGroups(service)
	if fleet.discoveringEngines(now, service) {
		return
	}
	fleet.dropFinishedStagings(now)
	constraints := fleet.planConstraints(now, actions, service)
	engines := countEngines(free, constraints.DrainingHosts, groups)
	specs, basis := fleet.demandSpecs(now, actions, service, engines, free, groups)
	fleet.allowRebalance(now, service, engines, basis, groups, &constraints)
	plan := grouper.New(free, groups, specs, constraints).Plan()
	fleet.recordIdleEngines(now, actions, service, free, constraints)
	for _, assignment := range plan.Form {
		name := fleet.newGroupName()
		fleet.formedAtByGroup[name] = fleet.state.Register.Version()
		actions.Decisions = append(actions.Decisions, action.Decision{
			Step: "form_group", Group: name, Model: assignment.Model, Hosts: assignment.Hosts,
			Reason: fmt.Sprintf("%d engines free", len(free)),
		})
		actions.Changes.Commit = append(actions.Changes.Commit, register.CommitGroup{
			Group: name, Model: assignment.Model, Hosts: assignment.Hosts, Service: service.Name,
		})
	}
	for _, staging := range plan.Stage {
		fleet.orderStaging(now, actions, service, staging.Host, staging.Model)
	}
	fleet.dissolveGroups(now, actions, plan.Dissolve)
	if prepare && actions.Changes.Empty() {
		fleet.preparedAt = now
		fleet.stageFurtherModels(now, actions, service)
		fleet.warmSpares(now, actions, service, free, groups)
	}
}

// countEngines counts the engines that a plan divides.
func countEngines(free, draining []grouper.Host, groups []grouper.Group) int {
	engines := len(free) + len(draining)
	for index := range groups {
		engines += len(groups[index].Hosts)
	}
	return engines
}

// recordIdleEngines records how many engines are in no group, by fabric domain
// and weights held, and how many loads the weight store takes, when that has
// changed.
func (fleet *Fleet) recordIdleEngines(now time.Time, actions *Actions, service *routing.Service, free []grouper.Host, constraints grouper.Constraints) {
	if now.Before(fleet.idleSummaryAt.Add(idleSummaryInterval)) {
		return
	}
	engineCountByKind := map[string]int{}
	for _, host := range free {
		engineCountByKind[fmt.Sprintf("%s:%s", host.Domain, joinModels(host.Loaded)+"/"+joinModels(host.Staged))]++
	}
	var summary strings.Builder
	for position, kind := range slices.Sorted(maps.Keys(engineCountByKind)) {
		if position == maxIdleKinds {
			fmt.Fprintf(&summary, "and %d more kinds ", len(engineCountByKind)-position)
			break
		}
		fmt.Fprintf(&summary, "%s=%d ", kind, engineCountByKind[kind])
	}
	fmt.Fprintf(&summary, "loads=%d", constraints.MaxLoads)
	if text := summary.String(); text != fleet.idleSummary {
		fleet.idleSummary, fleet.idleSummaryAt = text, now
		actions.Decisions = append(actions.Decisions, action.Decision{Step: "idle_engines", Group: id.Group(service.Name), Reason: text})
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
func (fleet *Fleet) discoveringEngines(now time.Time, service *routing.Service) bool {
	if fleet.callsSeen || now.Sub(fleet.startedAt) > discoveryTimeout {
		return false
	}
	count, stablePeriod := 0, time.Duration(0)
	for _, host := range fleet.state.Roster.Members() {
		if host.Announcement.Engine && host.Announcement.Service == service.Name {
			count++
			stablePeriod = max(stablePeriod, announcementIntervals(host, discoveryStableIntervals))
		}
	}
	if count != fleet.engineCount {
		fleet.engineCount, fleet.engineCountChangedAt = count, now
	}
	return now.Sub(fleet.engineCountChangedAt) < stablePeriod
}

// dissolveGroups retires the groups whose hosts the plan needs for another model, once
// in dissolveInterval in each domain.
func (fleet *Fleet) dissolveGroups(now time.Time, actions *Actions, dissolutions []grouper.Dissolution) {
	for _, dissolution := range dissolutions {
		group, ok := fleet.state.Register.Group(dissolution.Group)
		if last, dissolved := fleet.lastDissolvedAtByDomain[dissolution.Domain]; !ok || (dissolved && last != now && now.Before(last.Add(dissolveInterval))) {
			continue
		}
		fleet.lastDissolvedAtByDomain[dissolution.Domain] = now
		reason := "room_for_" + string(dissolution.For)
		if dissolution.Reason != "" {
			fleet.moveByGroup[group.Group] = move{domain: dissolution.Domain, hosts: group.Hosts, startedAt: now}
			reason += ": " + dissolution.Reason
		}
		actions.Decisions = append(actions.Decisions, action.Decision{
			Step: "retire_group", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Reason: reason,
		})
		actions.Changes.Retire = append(actions.Changes.Retire, register.RetireGroup{Group: group.Group, Base: group.Fencing})
	}
}

// plannerHost converts an engine's announcement to the grouper's form.
func (fleet *Fleet) plannerHost(host *roster.Member) grouper.Host {
	announcement := &host.Announcement
	return grouper.Host{
		Host: announcement.Host, Domain: announcement.Domain, Loaded: announcement.Loaded, Staged: announcement.Staged,
		StagingModel: fleet.stagingByHost[announcement.Host].model,
	}
}

// plannerGroups converts the groups of a service to the grouper's form.
func (fleet *Fleet) plannerGroups(service *routing.Service) []grouper.Group {
	var groups []grouper.Group
	for _, group := range fleet.groups() {
		if group.Service != service.Name || fleet.groupEvacuated(group) {
			continue
		}
		plannerGroup := grouper.Group{Group: group.Group, Model: group.Model}
		for _, name := range group.Hosts {
			host, _ := fleet.state.Roster.Member(name)
			plannerGroup.Hosts = append(plannerGroup.Hosts, fleet.plannerHost(host))
			plannerGroup.DataCentre = host.Announcement.DataCentre
		}
		plannerGroup.Domain = plannerGroup.Hosts[0].Domain
		groups = append(groups, plannerGroup)
	}
	return groups
}

// planConstraints returns the constraints of a plan now: the loads that the weight store
// takes, and the hosts that will soon be free. Unresponsive ones of these are sent probes. Loads
// aren't limited until a node has reported a call in this term.
func (fleet *Fleet) planConstraints(now time.Time, actions *Actions, service *routing.Service) grouper.Constraints {
	constraints := grouper.Constraints{BeforeTraffic: !fleet.callsSeen, DrainingHosts: fleet.unresponsiveEngines(now, actions, service)}
	for _, name := range slices.Sorted(maps.Keys(fleet.state.Register.Unfreed())) {
		host, ok := fleet.state.Roster.Member(name)
		if ok && !fleet.evacuated(host) && host.Live(now) && (recentlySeen(now, host) || !fleet.unresponsiveHostLost(now, actions, host)) {
			constraints.DrainingHosts = append(constraints.DrainingHosts, fleet.plannerHost(host))
		}
	}
	constraints.MaxLoads = fleet.availableLoads(service.Engine)
	return constraints
}

// unresponsiveEngines lists the engines of a service in no group that are unresponsive but don't count
// as lost, and sends them probes. The planner takes them for free soon, and so neither
// dissolves a group nor loads weights to replace them.
func (fleet *Fleet) unresponsiveEngines(now time.Time, actions *Actions, service *routing.Service) []grouper.Host {
	releasing := fleet.state.Register.Unfreed()
	var unresponsive []grouper.Host
	for _, host := range fleet.state.Roster.Members() {
		announcement := &host.Announcement
		if !announcement.Engine || announcement.Service != service.Name || !host.Live(now) || recentlySeen(now, host) || fleet.evacuated(host) {
			continue
		}
		_, notFreed := releasing[announcement.Host]
		_, assigned := fleet.state.Register.GroupOf(announcement.Host)
		if notFreed || assigned || fleet.hostLost(now, host) || fleet.unresponsiveHostLost(now, actions, host) {
			continue
		}
		unresponsive = append(unresponsive, fleet.plannerHost(host))
	}
	return unresponsive
}

// recentlySeen reports whether a host's last announcement is recent enough for it to be
// put into a new group.
func recentlySeen(now time.Time, host *roster.Member) bool {
	return host.SinceLastAnnouncement(now) <= announcementIntervals(host, recentlySeenIntervals)
}

// newGroupName returns a group name that is unique for each term and group.
func (fleet *Fleet) newGroupName() id.Group {
	fleet.groupCount++
	return id.Group(fmt.Sprintf("g%d-%d", fleet.config.Term, fleet.groupCount))
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
func (fleet *Fleet) assignableEngines(now time.Time, service *routing.Service) []grouper.Host {
	releasing := fleet.state.Register.Unfreed()
	_, limitsCold := service.ColdRequests()
	var free []grouper.Host
	for _, host := range fleet.state.Roster.Members() {
		announcement := &host.Announcement
		if !announcement.Engine || announcement.Service != service.Name || !host.Live(now) || fleet.evacuated(host) {
			continue
		}
		if _, notFreed := releasing[announcement.Host]; notFreed {
			continue
		}
		if _, assigned := fleet.state.Register.GroupOf(announcement.Host); assigned {
			continue
		}
		if !recentlySeen(now, host) || fleet.hostLost(now, host) {
			continue
		}
		engine := fleet.plannerHost(host)
		engine.Cold = limitsCold && host.Cold(now)
		free = append(free, engine)
	}
	return free
}
