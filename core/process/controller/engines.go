package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// joinPatience is how long the hosts of a group may take to become ready.
	joinPatience = 45 * time.Second
	// stallMargin is added to the time after which a group without one of its
	// hosts has certainly given itself up.
	stallMargin = 300 * time.Millisecond
	// gatherPause is how long no further engine must be heard before the first
	// plan, and gatherPatience how long that is waited for.
	gatherPause    = 1300 * time.Millisecond
	gatherPatience = 6 * time.Second
	// dissolveEvery is the least time between two groups that make room.
	dissolveEvery = 2 * time.Second
	// stallWord is how long a node's word that a group stands still counts.
	stallWord = 3 * time.Second
	// stalledSilence is how long a host of a group that stands still must not
	// have been heard for to be the one that is gone; heartbeats come a little
	// more often.
	stalledSilence = 1500 * time.Millisecond
	// freshSilence is how long ago a host may have been heard to be put into a
	// new group.
	freshSilence = 1400 * time.Millisecond
	// loadWindow is the time over which starts of loads are counted.
	loadWindow = time.Second
	// stagePatience is how long weights may take to reach a spare host before
	// they are ordered again.
	stagePatience = 40 * time.Second
)

// governEngines sees to the groups of engines, which join, open, close and
// leave by order. It tells whether it proposed a change.
func (controller *Controller) governEngines(now time.Time, actions *Actions) bool {
	declared := controller.register.Declared()
	if declared == nil {
		return false
	}
	proposed := controller.retireBroken(now, actions)
	proposed = controller.emptyRetired(now, actions) || proposed
	controller.driveGroups(now, actions)
	if proposed {
		return true
	}
	for index := range declared.Declaration.Services {
		service := &declared.Declaration.Services[index]
		if service.Engine != nil && controller.formEngines(now, actions, service) {
			proposed = true
		}
	}
	return proposed
}

// engineGroups lists the groups of engines in use, the oldest first.
func (controller *Controller) engineGroups() []register.GroupRecord {
	groups := slices.DeleteFunc(controller.register.Groups(), func(group register.GroupRecord) bool {
		return group.Service == "" || group.Phase == register.PhaseRetired
	})
	slices.SortFunc(groups, func(a, b register.GroupRecord) int { return cmp.Compare(a.Fencing, b.Fencing) })
	return groups
}

// within tells whether a host says that it is in a group under its committed
// fencing number.
func within(host roster.Member, group register.GroupRecord) bool {
	serving := host.Announcement.Serving
	return serving.Group == group.Group && serving.Fencing == group.Fencing
}

// retireBroken retires each group that can't serve any more.
func (controller *Controller) retireBroken(now time.Time, actions *Actions) bool {
	proposed := false
	for _, group := range controller.engineGroups() {
		broken, host := controller.mustRetire(now, group)
		if broken == "" {
			continue
		}
		known, _ := controller.hosts.Member(host)
		actions.Notes = append(actions.Notes, Note{
			Step: "retire_group", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Host: host, Reason: broken, Age: known.Silence(now),
		})
		controller.proposeOwn(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: group.Group, Base: group.Fencing}})
		proposed = true
	}
	return proposed
}

// The reasons for which a group is retired.
const (
	hostUnknown  = "host_unknown"
	hostSilent   = "host_silent"
	hostLeaving  = "host_leaving"
	hostAbsent   = "host_not_in_group"
	hostGaveUp   = "host_gave_up"
	groupStalled = "group_stalled"
	neverReady   = "never_ready"
)

// mustRetire tells why a group can't serve any more, and by which host: one is
// gone, leaving or no longer in it, or the group never became ready.
func (controller *Controller) mustRetire(now time.Time, group register.GroupRecord) (string, id.Host) {
	head, _ := controller.hosts.Member(group.Hosts[0])
	open := within(head, group) && head.Announcement.Serving.Open
	stalled := open && controller.reign.stalled(now, group)
	for _, name := range group.Hosts {
		host, ok := controller.hosts.Member(name)
		switch {
		case !ok:
			return hostUnknown, name
		case host.Announcement.Leaving:
			return hostLeaving, name
		case within(host, group) && host.Announcement.Serving.Broken:
			return hostGaveUp, name
		case open && !within(host, group):
			return hostAbsent, name
		case stalled && controller.silence(now, host) > stalledSilence:
			return groupStalled, name
		case !open && controller.lost(now, host):
			return hostSilent, name
		}
	}
	formed := controller.reign.formed[group.Group]
	if !open && !formed.IsZero() && now.Sub(formed) > joinPatience {
		return neverReady, ""
	}
	return "", ""
}

// silence is how long this leader could have heard a host and didn't.
func (controller *Controller) silence(now time.Time, host roster.Member) time.Duration {
	return min(host.Silence(now), now.Sub(controller.reign.started))
}

// lost tells whether a host that takes no requests yet is gone: its lease is
// over, or an order found nobody at its address since it was last heard.
func (controller *Controller) lost(now time.Time, host roster.Member) bool {
	silence := controller.silence(now, host)
	refused := controller.reign.undelivered[host.Announcement.Host]
	return silence > host.Announcement.Lease() || refused.After(now.Add(-silence))
}

// stalled tells whether a node said lately that calls in a group stand still.
func (reign *reign) stalled(now time.Time, group register.GroupRecord) bool {
	return now.Sub(reign.stallsAt[feed.Endpoint{Group: group.Group}]) < stallWord
}

// emptyRetired orders the head of each retired group out of it, and frees the
// hosts once the head certainly serves no more.
func (controller *Controller) emptyRetired(now time.Time, actions *Actions) bool {
	unfreed := controller.register.Unfreed()
	proposed := false
	for _, name := range sortedKeys(unfreed) {
		record := unfreed[name]
		if record.Left == nil {
			continue
		}
		if !controller.released(now, actions, name, *record.Left) {
			continue
		}
		delete(controller.reign.leftAt, name)
		controller.proposeOwn(now, actions, register.Command{FreeHost: &register.FreeHost{Host: name, Base: record.Fencing}})
		proposed = true
	}
	return proposed
}

// released tells whether a host of a retired group may join another one. No
// engine may do so while the head of its group is open: the head must have left
// itself, or, when it can't be reached, must have been without one of its hosts
// for so long that it has given the group up.
func (controller *Controller) released(now time.Time, actions *Actions, name id.Host, left register.GroupRecord) bool {
	head, known := controller.hosts.Member(left.Hosts[0])
	if known && now.Before(head.Expiry) {
		if !within(head, left) {
			return true
		}
		if name == left.Hosts[0] {
			controller.orderOut(now, actions, head, left)
		}
		return false
	}
	host, ok := controller.hosts.Member(name)
	if !ok || !now.Before(host.Expiry) {
		return false
	}
	if within(host, left) {
		controller.orderEngine(now, actions, host, left, OrderUnload)
		return false
	}
	if controller.reign.leftAt[name].IsZero() {
		controller.reign.leftAt[name] = now
	}
	return now.Sub(controller.reign.leftAt[name]) > controller.config.Stall+stallMargin
}

// orderOut lets a head that is whole finish its work before it leaves.
func (controller *Controller) orderOut(now time.Time, actions *Actions, head roster.Member, left register.GroupRecord) {
	whole := !slices.ContainsFunc(left.Hosts, func(name id.Host) bool {
		host, ok := controller.hosts.Member(name)
		return !ok || !now.Before(host.Expiry) || !within(host, left)
	})
	switch serving := head.Announcement.Serving; {
	case whole && serving.Closing:
	case whole && serving.Open && !serving.Broken:
		controller.orderEngine(now, actions, head, left, OrderClose)
	default:
		controller.orderEngine(now, actions, head, left, OrderUnload)
	}
}

// driveGroups orders the hosts of each group to join, and its head to open once
// all are ready.
func (controller *Controller) driveGroups(now time.Time, actions *Actions) {
	for _, group := range controller.engineGroups() {
		head, ok := controller.hosts.Member(group.Hosts[0])
		if !ok || (within(head, group) && head.Announcement.Serving.Open) {
			continue
		}
		ready := true
		for _, name := range group.Hosts {
			host, known := controller.hosts.Member(name)
			if !known {
				ready = false
				continue
			}
			joined := within(host, group)
			ready = ready && joined && host.Announcement.Serving.Ready
			if !joined && controller.mayJoin(now, host, group) {
				controller.orderEngine(now, actions, host, group, OrderLoad)
			}
		}
		if ready {
			controller.orderEngine(now, actions, head, group, OrderOpen)
		}
	}
}

// loading counts the hosts that are loading weights.
func (controller *Controller) loading(now time.Time, groups []register.GroupRecord) int {
	loading := 0
	for _, group := range groups {
		for _, name := range group.Hosts {
			host, ok := controller.hosts.Member(name)
			loaded := within(host, group) && host.Announcement.Serving.Ready
			if ok && !loaded && !slices.Contains(host.Announcement.Staged, group.Model) {
				loading++
			}
		}
	}
	for name, at := range controller.reign.staging {
		host, ok := controller.hosts.Member(name)
		if !ok || now.Sub(at) > stagePatience || len(host.Announcement.Staged) > 0 {
			continue
		}
		loading++
	}
	return loading
}

// mayJoin tells whether a host may be ordered to join now. One that holds the
// weights may at any time; others wait for the weight store. Before any calls
// come, the store takes all.
func (controller *Controller) mayJoin(now time.Time, host roster.Member, group register.GroupRecord) bool {
	reign := controller.reign
	if reign.formed[group.Group].IsZero() {
		reign.formed[group.Group] = now
	}
	if reign.orderedLately(now, host.Announcement.Host, OrderLoad, group.Fencing) {
		return false
	}
	if slices.Contains(host.Announcement.Staged, group.Model) {
		return true
	}
	return controller.mayLoad(now, controller.engine(group.Service))
}

// mayLoad tells whether the weight store lets one more load start now, and
// counts it. Before any calls come, it takes all.
func (controller *Controller) mayLoad(now time.Time, engine *routing.Engine) bool {
	reign := controller.reign
	if !reign.busy || engine == nil {
		return true
	}
	reign.loads = slices.DeleteFunc(reign.loads, func(at time.Time) bool { return now.Sub(at) >= loadWindow })
	if float64(len(reign.loads)) >= engine.LoadsPerSecond {
		return false
	}
	reign.loads = append(reign.loads, now)
	return true
}

func (controller *Controller) engine(service id.Service) *routing.Engine {
	declared := controller.register.Declared()
	if declared == nil {
		return nil
	}
	found, ok := declared.Declaration.Service(service)
	if !ok {
		return nil
	}
	return found.Engine
}

// engineOrder is an order that was sent to an engine.
type engineOrder struct {
	kind    OrderKind
	fencing id.Fencing
	at      time.Time
}

// orderedLately tells whether an order was sent so lately that its effect may yet
// show.
func (reign *reign) orderedLately(now time.Time, host id.Host, kind OrderKind, fencing id.Fencing) bool {
	last := reign.engineOrders[host]
	return last.kind == kind && last.fencing == fencing && now.Before(last.at.Add(orderEvery))
}

// orderEngine sends an order to one host of a group, at most once a second.
func (controller *Controller) orderEngine(now time.Time, actions *Actions, host roster.Member, group register.GroupRecord, kind OrderKind) {
	name := host.Announcement.Host
	if !now.Before(host.Expiry) || controller.reign.orderedLately(now, name, kind, group.Fencing) {
		return
	}
	actions.Notes = append(actions.Notes, Note{Step: "order", Group: group.Group, Host: name, Reason: string(kind), Age: host.Silence(now)})
	controller.reign.engineOrders[name] = engineOrder{kind: kind, fencing: group.Fencing, at: now}
	actions.Orders = append(actions.Orders, Order{
		Host: name, Address: host.Announcement.Address, Kind: kind, Group: group.Group, Model: group.Model,
		Fencing: group.Fencing, Rank: slices.Index(group.Hosts, name), Members: group.Hosts,
		Term: controller.reign.term,
	})
}

// formEngines makes groups of the free engines of a service, stages weights on
// those that are left, and lets a group make room where another model lacks
// more.
func (controller *Controller) formEngines(now time.Time, actions *Actions, service *routing.Service) bool {
	free, groups := controller.freeEngines(now, service), controller.groupsOf(service)
	if len(free) == 0 || controller.gathering(now, service) {
		return false
	}
	total := len(free)
	for _, group := range groups {
		total += group.Hosts
	}
	plan := grouper.New(free, groups, engineSpecs(service.Engine), controller.room(now, service.Engine, total)).Plan()
	for place, assignment := range plan.Form {
		name := controller.engineGroupName(place)
		actions.Notes = append(actions.Notes, Note{
			Step: "form_group", Group: name, Model: assignment.Model, Hosts: assignment.Hosts,
			Reason: fmt.Sprintf("%d of %d engines free", len(free), total),
		})
		controller.proposeOwn(now, actions, register.Command{CommitGroup: &register.CommitGroup{
			Group: name, Model: assignment.Model, Hosts: assignment.Hosts, Service: service.Name,
		}})
	}
	controller.stageSpares(now, actions, service, plan.Stage)
	return controller.dissolve(now, actions, plan) || len(plan.Form) > 0
}

// gathering tells whether engines are still being heard for the first time, as
// at the start of a system: a plan for all of them is better than one for some.
func (controller *Controller) gathering(now time.Time, service *routing.Service) bool {
	reign := controller.reign
	if reign.busy || now.Sub(reign.started) > gatherPatience {
		return false
	}
	count := 0
	for _, host := range controller.hosts.Members() {
		if host.Announcement.Engine && host.Announcement.Service == service.Name {
			count++
		}
	}
	if count != reign.gathered {
		reign.gathered, reign.gatheredAt = count, now
	}
	return now.Sub(reign.gatheredAt) < gatherPause
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
	actions.Notes = append(actions.Notes, Note{
		Step: "retire_group", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Reason: "room_for_" + string(plan.For),
	})
	controller.proposeOwn(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: group.Group, Base: group.Fencing}})
	return true
}

// groupsOf lists the groups of a service for planning.
func (controller *Controller) groupsOf(service *routing.Service) []grouper.Group {
	var groups []grouper.Group
	for _, group := range controller.engineGroups() {
		if group.Service != service.Name {
			continue
		}
		head, _ := controller.hosts.Member(group.Hosts[0])
		groups = append(groups, grouper.Group{
			Group: group.Group, Model: group.Model, Domain: head.Announcement.Domain, Hosts: len(group.Hosts),
		})
	}
	return groups
}

// stageSpares orders weights onto spare hosts as the weight store allows.
func (controller *Controller) stageSpares(now time.Time, actions *Actions, service *routing.Service, stagings []grouper.Staging) {
	for _, staging := range stagings {
		host, ok := controller.hosts.Member(staging.Host)
		since := now.Sub(controller.reign.staging[staging.Host])
		if !ok || since < stagePatience || !controller.mayLoad(now, service.Engine) {
			continue
		}
		controller.reign.staging[staging.Host] = now
		controller.orderEngine(now, actions, host, register.GroupRecord{Model: staging.Model}, OrderStage)
	}
}

// room is what bounds a plan now. Before any calls come, the store takes all.
func (controller *Controller) room(now time.Time, engine *routing.Engine, total int) grouper.Room {
	room := grouper.Room{Spares: grouper.Spares(total), Loads: total, Emptying: map[id.Domain]bool{}}
	for name := range controller.register.Unfreed() {
		if host, ok := controller.hosts.Member(name); ok && host.Live(now) {
			room.Emptying[host.Announcement.Domain] = true
		}
	}
	if controller.reign.busy {
		room.Loads = max(0, engine.LoadsAtOnce-controller.loading(now, controller.engineGroups()))
	}
	return room
}

// engineGroupName is new for each place in the log and each term.
func (controller *Controller) engineGroupName(place int) id.Group {
	status := controller.quorum.Status()
	return id.Group(fmt.Sprintf("g%d-%d-%d", status.Term, status.Last, place))
}

func engineSpecs(engine *routing.Engine) []grouper.Spec {
	specs := make([]grouper.Spec, len(engine.Models))
	for index, model := range engine.Models {
		specs[index] = grouper.Spec{Model: model.Name, Hosts: max(1, model.Hosts), Share: model.Share}
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
		if host.Silence(now) > freshSilence || controller.lost(now, host) {
			continue
		}
		free = append(free, grouper.Host{Host: announcement.Host, Domain: announcement.Domain, Staged: announcement.Staged})
	}
	return free
}
