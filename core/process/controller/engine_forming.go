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
	// gatherBeats is for how many announcements no further engine must be heard
	// before the first plan, and gatherPatience how long that is waited for.
	gatherBeats    = 1.1
	gatherPatience = 6 * time.Second
	// dissolveEvery is the least time between two groups that make room.
	dissolveEvery = 2 * time.Second
	// freshBeats is how many of its announcements ago a host may have been heard
	// last to be put into a new group.
	freshBeats = 1.2
	// idleEvery is how often the log says at most which engines are idle, and
	// mostIdle how many kinds of them one line names.
	idleEvery = time.Second
	mostIdle  = 40
)

// formEngines makes groups of the free engines of a service, stages weights on
// those that are left, and lets a group make room where another model lacks
// more.
func (controller *Controller) formEngines(now time.Time, actions *Actions, service *routing.Service) bool {
	free, groups := controller.freeEngines(now, service), controller.groupsOf(service)
	if controller.gathering(now, service) {
		return false
	}
	controller.endStagings(now)
	room := controller.room(now, service.Engine)
	plan := grouper.New(free, groups, engineSpecs(service.Engine), room).Plan()
	controller.noteIdle(now, actions, service, free, room)
	for place, assignment := range plan.Form {
		name := controller.engineGroupName(place)
		actions.Decisions = append(actions.Decisions, Decision{
			Step: "form_group", Group: name, Model: assignment.Model, Hosts: assignment.Hosts,
			Reason: fmt.Sprintf("%d engines free", len(free)),
		})
		controller.proposeOwn(now, actions, register.Command{CommitGroup: &register.CommitGroup{
			Group: name, Model: assignment.Model, Hosts: assignment.Hosts, Service: service.Name,
		}})
	}
	for _, staging := range plan.Stage {
		controller.stage(now, actions, service, staging.Host, staging.Model)
	}
	if controller.dissolve(now, actions, plan) || len(plan.Form) > 0 {
		return true
	}
	controller.stageBeside(now, actions, service)
	return false
}

// noteIdle says which engines are in no group, whose weights they hold and how
// many loads the store takes, when that has changed.
func (controller *Controller) noteIdle(now time.Time, actions *Actions, service *routing.Service, free []grouper.Host, room grouper.Constraints) {
	if now.Before(controller.reign.idleAt.Add(idleEvery)) {
		return
	}
	counts := map[string]int{}
	for _, host := range free {
		counts[fmt.Sprintf("%s:%s", host.Domain, joinModels(host.Loaded)+"/"+joinModels(host.Staged))]++
	}
	var idle strings.Builder
	for place, name := range sortedKeys(counts) {
		if place == mostIdle {
			fmt.Fprintf(&idle, "and %d more kinds ", len(counts)-place)
			break
		}
		fmt.Fprintf(&idle, "%s=%d ", name, counts[name])
	}
	fmt.Fprintf(&idle, "loads=%d", room.MaxLoads)
	if text := idle.String(); text != controller.reign.idle {
		controller.reign.idle, controller.reign.idleAt = text, now
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

// gathering tells whether engines are still being heard for the first time, as
// at the start of a system: a plan for all of them is better than one for some.
func (controller *Controller) gathering(now time.Time, service *routing.Service) bool {
	reign := controller.reign
	if reign.busy || now.Sub(reign.started) > gatherPatience {
		return false
	}
	count, pause := 0, time.Duration(0)
	for _, host := range controller.hosts.Members() {
		if host.Announcement.Engine && host.Announcement.Service == service.Name {
			count++
			pause = max(pause, beats(host, gatherBeats))
		}
	}
	if count != reign.gathered {
		reign.gathered, reign.gatheredAt = count, now
	}
	return now.Sub(reign.gatheredAt) < pause
}

// dissolve retires a group that makes room, one at a time.
func (controller *Controller) dissolve(now time.Time, actions *Actions, plan grouper.Plan) bool {
	if plan.Dissolve == "" || now.Before(controller.reign.dissolvedAt.Add(dissolveEvery)) {
		return false
	}
	group, ok := controller.register.Group(plan.Dissolve)
	if !ok {
		return false
	}
	controller.reign.dissolvedAt = now
	actions.Decisions = append(actions.Decisions, Decision{
		Step: "retire_group", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Reason: "room_for_" + string(plan.DissolveFor),
	})
	controller.proposeOwn(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: group.Group, Base: group.Fencing}})
	return true
}

// planned is an engine as planning sees it.
func (controller *Controller) planned(host roster.Member) grouper.Host {
	announcement := &host.Announcement
	return grouper.Host{
		Host: announcement.Host, Domain: announcement.Domain, Loaded: announcement.Loaded, Staged: announcement.Staged,
		StagingModel: controller.reign.staging[announcement.Host].model,
	}
}

// groupsOf lists the groups of a service for planning.
func (controller *Controller) groupsOf(service *routing.Service) []grouper.Group {
	var groups []grouper.Group
	for _, group := range controller.engineGroups() {
		if group.Service != service.Name {
			continue
		}
		known := grouper.Group{Group: group.Group, Model: group.Model}
		for _, name := range group.Hosts {
			host, _ := controller.hosts.Member(name)
			known.Hosts = append(known.Hosts, controller.planned(host))
		}
		known.Domain = known.Hosts[0].Domain
		groups = append(groups, known)
	}
	return groups
}

// room is what bounds a plan now. Before any calls come, the store takes all.
func (controller *Controller) room(now time.Time, engine *routing.Engine) grouper.Constraints {
	room := grouper.Constraints{BeforeTraffic: !controller.reign.busy}
	for _, name := range sortedKeys(controller.register.Unfreed()) {
		host, ok := controller.hosts.Member(name)
		if ok && host.Live(now) && host.SinceLastAnnouncement(now) <= beats(host, freshBeats) {
			room.DrainingHosts = append(room.DrainingHosts, controller.planned(host))
		}
	}
	room.MaxLoads = controller.freeLoads(engine)
	return room
}

// engineGroupName is new for each place in the log and each term.
func (controller *Controller) engineGroupName(place int) id.Group {
	status := controller.quorum.Status()
	return id.Group(fmt.Sprintf("g%d-%d-%d", status.Term, status.LastIndex, place))
}

func engineSpecs(engine *routing.Engine) []grouper.Spec {
	specs := make([]grouper.Spec, len(engine.Models))
	for index, model := range engine.Models {
		specs[index] = grouper.Spec{Model: model.Name, HostsPerGroup: max(1, model.Hosts), Share: model.Share}
	}
	return specs
}

// freeEngines lists the engines of a service that may be used now.
func (controller *Controller) freeEngines(now time.Time, service *routing.Service) []grouper.Host {
	unfreed := controller.register.Unfreed()
	var free []grouper.Host
	for _, host := range controller.hosts.Members() {
		announcement := host.Announcement
		if !announcement.Engine || announcement.Service != service.Name || !host.Live(now) {
			continue
		}
		if _, waits := unfreed[announcement.Host]; waits {
			continue
		}
		if _, assigned := controller.register.GroupOf(announcement.Host); assigned {
			continue
		}
		if host.SinceLastAnnouncement(now) > beats(host, freshBeats) || controller.lost(now, host) {
			continue
		}
		free = append(free, controller.planned(host))
	}
	return free
}
