package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// settleTime is how long a new leader listens before it changes groups.
	settleTime = 2 * time.Second
	// orderEvery is how often an order is repeated until it shows.
	orderEvery = time.Second
	// OrderLifetime is how long after receipt an order may be carried out.
	OrderLifetime = 2 * time.Second
	// freeAfter is how long a dead host stays unassignable: its lease is over,
	// and so is the life of any order sent to it.
	freeAfter = 10 * time.Second
	// returnPatience is how long a broken group without a spare waits for its
	// host before its other hosts may be used elsewhere.
	returnPatience = 30 * time.Second
)

// govern does the leader's own work, one decision at a time.
func (controller *Controller) govern(now time.Time, actions *Actions) {
	reign := controller.reign
	if now.Before(reign.governAt) {
		return
	}
	reign.governAt = now.Add(governEvery)
	if controller.handOverIfStopping(now, actions) {
		return
	}
	controller.sendOrders(now, actions)
	if controller.governVoters(now, actions) || reign.ownIndex > controller.applied {
		return
	}
	if now.Before(reign.started.Add(settleTime)) {
		return
	}
	if controller.governEngines(now, actions) {
		return
	}
	if controller.sweepLedger(now, actions) || controller.freeHosts(now, actions) {
		return
	}
	if controller.advanceStops(now, actions) || controller.repairGroups(now, actions) {
		return
	}
	controller.formGroups(now, actions)
}

// sweepLedger marks the calls of lost owners and drops old answers.
func (controller *Controller) sweepLedger(now time.Time, actions *Actions) bool {
	for _, owner := range controller.register.Owners() {
		node := controller.reign.nodes[owner.Node]
		lost := node != nil && (node.incarnation > owner.Incarnation || !now.Before(node.leaseBound))
		if lost {
			controller.proposeOwn(now, actions, register.Command{MarkOwnerLost: &register.MarkOwnerLost{Owner: owner}})
			return true
		}
	}
	if now.Before(controller.reign.expireAt) {
		return false
	}
	controller.reign.expireAt = now.Add(expireEvery)
	if !controller.register.HasExpired(controller.reign.term, controller.clock.Reading(now)) {
		return false
	}
	controller.proposeOwn(now, actions, register.Command{ExpireCalls: &register.ExpireCalls{}})
	return true
}

// freeHosts frees hosts that acknowledged leaving their group, or that are
// dead for longer than any order to them lives; and only once no node can route
// to the old group any more.
func (controller *Controller) freeHosts(now time.Time, actions *Actions) bool {
	unfreed := controller.register.Unfreed()
	for _, name := range sortedKeys(unfreed) {
		record := unfreed[name]
		if record.PreviousGroup != nil {
			continue
		}
		if len(controller.lagging(now, record.Version)) > 0 {
			continue
		}
		member, known := controller.hosts.Member(name)
		acknowledged := known && now.Before(member.Expiry) &&
			member.Announcement.Serving.Group == "" && member.Announcement.Serving.Fencing >= record.Fencing
		dead := !known || !now.Before(member.Expiry.Add(freeAfter))
		if !known && now.Before(controller.reign.started.Add(freeAfter)) {
			dead = false
		}
		if acknowledged || dead {
			controller.proposeOwn(now, actions, register.Command{FreeHost: &register.FreeHost{Host: name, Base: record.Fencing}})
			return true
		}
	}
	return false
}

// sendOrders repeats to each live host what it should serve until it says so.
func (controller *Controller) sendOrders(now time.Time, actions *Actions) {
	loading := 0
	groups := controller.register.Groups()
	slices.SortFunc(groups, func(a, b register.GroupRecord) int { return cmp.Compare(a.Fencing, b.Fencing) })
	for _, group := range groups {
		if group.Service != "" || group.Phase != register.PhaseServing || controller.ready(now, group) {
			continue
		}
		if loading >= controller.config.MaxLoadingGroups && !controller.holdsOrders(group) {
			continue
		}
		loading++
		controller.orderGroup(now, actions, group)
	}
	unfreed := controller.register.Unfreed()
	for _, name := range sortedKeys(unfreed) {
		if unfreed[name].PreviousGroup != nil {
			continue
		}
		controller.order(now, actions, Order{Host: name, Kind: OrderUnload, Fencing: unfreed[name].Fencing})
	}
}

// holdsOrders tells whether all hosts of a group have their weights already,
// so that ordering them costs the weight store nothing.
func (controller *Controller) holdsOrders(group register.GroupRecord) bool {
	return !slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := controller.hosts.Member(host)
		return !ok || member.Announcement.Serving.Model != group.Model || !member.Announcement.Serving.Ready
	})
}

func (controller *Controller) orderGroup(now time.Time, actions *Actions, group register.GroupRecord) {
	peers := make([]string, len(group.Hosts))
	for rank, host := range group.Hosts {
		member, _ := controller.hosts.Member(host)
		peers[rank] = member.Announcement.Address
	}
	for rank, host := range group.Hosts {
		controller.order(now, actions, Order{
			Host: host, Kind: OrderLoad, Group: group.Group, Model: group.Model,
			Fencing: group.Fencing, Rank: rank, Peers: peers,
		})
	}
}

func (controller *Controller) order(now time.Time, actions *Actions, order Order) {
	member, ok := controller.hosts.Member(order.Host)
	if !ok || !now.Before(member.Expiry) || now.Before(controller.reign.ordered[order.Host].Add(orderEvery)) {
		return
	}
	serving := member.Announcement.Serving
	if serving.Group == order.Group && serving.Fencing == order.Fencing {
		return
	}
	controller.reign.ordered[order.Host] = now
	order.Address = member.Announcement.Address
	order.LifetimeMS = OrderLifetime.Milliseconds()
	actions.Orders = append(actions.Orders, order)
}

// ready tells whether all hosts of a group serve in it.
func (controller *Controller) ready(now time.Time, group register.GroupRecord) bool {
	return !slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := controller.hosts.Member(host)
		serving := member.Announcement.Serving
		return !ok || !now.Before(member.Expiry) || !serving.Ready || serving.Group != group.Group || serving.Fencing != group.Fencing
	})
}

// free lists the hosts that may be assigned now.
func (controller *Controller) free(now time.Time) []placer.Host {
	stopping := controller.stoppingHosts()
	unfreed := controller.register.Unfreed()
	var free []placer.Host
	for _, member := range controller.hosts.Members() {
		announcement := member.Announcement
		if !member.Live(now) || announcement.Service != "" || stopping[announcement.Host] >= announcement.Incarnation {
			continue
		}
		if _, ok := unfreed[announcement.Host]; ok {
			continue
		}
		if _, ok := controller.register.GroupOf(announcement.Host); ok {
			continue
		}
		free = append(free, placerHost(announcement))
	}
	return free
}

func placerHost(announcement roster.Announcement) placer.Host {
	return placer.Host{
		Host: announcement.Host, DataCentre: announcement.DataCentre, Domain: announcement.Domain,
		Accelerators: announcement.Accelerators, Models: announcement.Models,
	}
}

func (controller *Controller) spec(model id.Model) (placer.Spec, bool) {
	for _, spec := range controller.config.ModelSpecs {
		if spec.Model == model {
			return spec, true
		}
	}
	return placer.Spec{}, false
}

// missing lists the hosts of a group that have no lease or are leaving.
func (controller *Controller) missing(now time.Time, group register.GroupRecord) []id.Host {
	var missing []id.Host
	for _, host := range group.Hosts {
		if !controller.hosts.Live(now, host) {
			missing = append(missing, host)
		}
	}
	return missing
}

// repairGroups replaces missing hosts by spares. Spares go to broken groups
// before any new group is made.
func (controller *Controller) repairGroups(now time.Time, actions *Actions) bool {
	var stuck []register.GroupRecord
	for _, group := range controller.register.Groups() {
		if group.Phase == register.PhaseRetired || group.Service != "" {
			continue
		}
		missing := controller.missing(now, group)
		if len(missing) == 0 {
			delete(controller.reign.brokenFrom, group.Group)
			continue
		}
		if controller.leavingBusy(now, group, missing) {
			continue
		}
		if controller.repair(now, actions, group, controller.leaving(now, group)) {
			return true
		}
		if controller.reign.brokenFrom[group.Group].IsZero() {
			controller.reign.brokenFrom[group.Group] = now
		}
		stuck = append(stuck, group)
	}
	return controller.salvage(now, actions, stuck)
}

// leavingBusy tells whether a group is whole but for hosts that are leaving,
// and still has work to finish.
func (controller *Controller) leavingBusy(now time.Time, group register.GroupRecord, missing []id.Host) bool {
	for _, host := range missing {
		member, ok := controller.hosts.Member(host)
		if !ok || !now.Before(member.Expiry) {
			return false
		}
	}
	return !controller.idle(now, feed.Endpoint{Group: group.Group}, group.Hosts[0], group.Version)
}

func (controller *Controller) repair(now time.Time, actions *Actions, group register.GroupRecord, missing []id.Host) bool {
	hosts, ok := controller.substitute(now, group, missing)
	if !ok {
		return false
	}
	controller.proposeOwn(now, actions, register.Command{RepairGroup: &register.RepairGroup{
		Group: group.Group, Base: group.Fencing, Hosts: hosts,
	}})
	return true
}

// substitute puts spares in the places of hosts that must go; it is false when
// there are too few.
func (controller *Controller) substitute(now time.Time, group register.GroupRecord, leaving []id.Host) ([]id.Host, bool) {
	spec, ok := controller.spec(group.Model)
	if !ok || len(leaving) == len(group.Hosts) {
		return nil, false
	}
	free := controller.free(now)
	hosts := slices.Clone(group.Hosts)
	anchor := controller.anchor(group, leaving)
	for place, host := range hosts {
		if !slices.Contains(leaving, host) {
			continue
		}
		spare, found := placer.Spare(free, spec, anchor.DataCentre, anchor.Domain)
		if !found {
			return nil, false
		}
		hosts[place] = spare
		free = slices.DeleteFunc(free, func(candidate placer.Host) bool { return candidate.Host == spare })
	}
	return hosts, true
}

// anchor is a host that stays; spares are looked for in its domain.
func (controller *Controller) anchor(group register.GroupRecord, leaving []id.Host) roster.Announcement {
	for _, host := range group.Hosts {
		if !slices.Contains(leaving, host) {
			member, _ := controller.hosts.Member(host)
			return member.Announcement
		}
	}
	return roster.Announcement{}
}

// salvage retires one broken group that has waited long enough, when the hosts
// that are stranded can form a whole group together.
func (controller *Controller) salvage(now time.Time, actions *Actions, stuck []register.GroupRecord) bool {
	stranded := controller.free(now)
	var ripe []register.GroupRecord
	for _, group := range stuck {
		if now.Before(controller.reign.brokenFrom[group.Group].Add(returnPatience)) {
			continue
		}
		ripe = append(ripe, group)
		for _, host := range group.Hosts {
			if member, ok := controller.hosts.Member(host); ok && member.Live(now) {
				stranded = append(stranded, placerHost(member.Announcement))
			}
		}
	}
	if len(ripe) == 0 || len(placer.Plan(stranded, controller.config.ModelSpecs, nil)) == 0 {
		return false
	}
	fewest := slices.MinFunc(ripe, func(a, b register.GroupRecord) int {
		return cmp.Compare(len(a.Hosts)-len(controller.missing(now, a)), len(b.Hosts)-len(controller.missing(now, b)))
	})
	controller.proposeOwn(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: fewest.Group, Base: fewest.Fencing}})
	return true
}

// formGroups makes new groups of free hosts, as many as may load now.
func (controller *Controller) formGroups(now time.Time, actions *Actions) {
	free := controller.free(now)
	if len(free) == 0 {
		return
	}
	existing := map[id.Model]int{}
	for _, group := range controller.register.Groups() {
		if group.Phase != register.PhaseRetired {
			existing[group.Model]++
		}
	}
	for _, assignment := range placer.Plan(free, controller.config.ModelSpecs, existing) {
		controller.proposeOwn(now, actions, register.Command{CommitGroup: &register.CommitGroup{
			Group: controller.groupName(assignment.Model), Model: assignment.Model, Hosts: assignment.Hosts,
		}})
	}
}

// groupName is new for each place in the log.
func (controller *Controller) groupName(model id.Model) id.Group {
	return id.Group(fmt.Sprintf("%s-%d", model, controller.quorum.Status().LastIndex+1))
}

func sortedKeys[K cmp.Ordered, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}
