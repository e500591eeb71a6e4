package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/fleet"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// groupChangeDelay is how long a new leader collects announcements before it
	// changes groups.
	groupChangeDelay = 2 * time.Second
	// orderRetryInterval is how long the effect of an order is awaited before the
	// order is sent again.
	orderRetryInterval = time.Second
	// OrderLifetime is how long after receipt an order may be carried out.
	OrderLifetime = 2 * time.Second
	// deadHostQuarantine is how long after the end of its lease a dead host can't
	// be assigned to a group. By then every order sent to it has expired too.
	deadHostQuarantine = 10 * time.Second
	// hostReturnTimeout is how long a broken group without a spare waits for the
	// return of its host before its other hosts may be used elsewhere.
	hostReturnTimeout = 30 * time.Second
)

// reconcile compares the actual with the wanted state, and proposes changes and
// sends orders to close the gap. It changes groups only once the leader's last
// proposal is applied and groupChangeDelay has passed since the term began.
func (controller *Controller) reconcile(now time.Time, actions *Actions) {
	leadership := controller.leadership
	if !controller.reconcileDue(now) {
		return
	}
	leadership.reconciledAt, leadership.reconciledInputs = now, controller.reconcileInputs()
	if controller.transferLeadershipIfStopping(now, actions) {
		return
	}
	controller.sendOrders(now, actions)
	if controller.reconcileVoters(now, actions) || leadership.ownProposalIndex > controller.appliedIndex {
		return
	}
	if now.Before(leadership.startedAt.Add(groupChangeDelay)) {
		return
	}
	if controller.reconcileFleet(now, actions) {
		return
	}
	if controller.sweepCallRecords(now, actions) || controller.freeHosts(now, actions) {
		return
	}
	if controller.advanceStops(now, actions) || controller.repairGroups(now, actions) {
		return
	}
	controller.formGroups(now, actions)
}

// reconcileInputs are what makes a reconciliation urgent when it changes: facts of
// hosts, and whether the leader's last proposal is applied.
type reconcileInputs struct {
	urgentCursor    uint64
	proposalApplied bool
}

func (controller *Controller) reconcileInputs() reconcileInputs {
	return reconcileInputs{controller.roster.UrgentCursor(roster.ScopeControl), controller.leadership.ownProposalIndex <= controller.appliedIndex}
}

// reconcileDue reports whether the last reconciliation was long enough ago.
func (controller *Controller) reconcileDue(now time.Time) bool {
	interval := reconcileInterval
	if controller.reconcileInputs() != controller.leadership.reconciledInputs {
		interval = urgentReconcileInterval
	}
	return now.Sub(controller.leadership.reconciledAt) >= interval
}

// reconcileFleet lets the fleet change the groups of engines. It reports whether it
// proposed a change.
func (controller *Controller) reconcileFleet(now time.Time, actions *Actions) bool {
	decided := controller.leadership.fleet.Tick(now, fleet.State{
		Register: controller.register, Roster: controller.roster,
		Lags: func(version id.Version) bool { return controller.anyNodeLags(now, version) },
	})
	actions.Orders = append(actions.Orders, decided.Orders...)
	actions.Decisions = append(actions.Decisions, decided.Decisions...)
	if decided.Changes.Empty() {
		return false
	}
	controller.proposeAsLeader(now, actions, register.Command{ChangeGroups: &decided.Changes})
	return true
}

// sweepCallRecords marks the non-idempotent calls whose owner is lost, one owner
// at a time, and removes expired answers. It reports whether it proposed a
// change.
func (controller *Controller) sweepCallRecords(now time.Time, actions *Actions) bool {
	for _, owner := range controller.register.Owners() {
		node := controller.leadership.stateByNode[owner.Node]
		lost := node != nil && (node.incarnation > owner.Incarnation || !now.Before(node.leaseExpiryBound))
		if lost {
			controller.proposeAsLeader(now, actions, register.Command{MarkOwnerLost: &register.MarkOwnerLost{Owner: owner}})
			return true
		}
	}
	if now.Before(controller.leadership.nextCallExpiryAt) {
		return false
	}
	controller.leadership.nextCallExpiryAt = now.Add(callExpiryInterval)
	if !controller.register.HasExpired(controller.leadership.term, controller.clock.Reading(now)) {
		return false
	}
	controller.proposeAsLeader(now, actions, register.Command{ExpireCalls: &register.ExpireCalls{}})
	return true
}

// freeHosts frees a host that left a group, so that it can be assigned again.
// The host must have acknowledged the order to leave, or have been dead for
// longer than any order to it remains valid, and no node may still route to the
// old group. It reports whether it proposed a change.
func (controller *Controller) freeHosts(now time.Time, actions *Actions) bool {
	unfreed := controller.register.Unfreed()
	for _, host := range sortedKeys(unfreed) {
		record := unfreed[host]
		if record.PreviousGroup != nil {
			continue
		}
		if controller.anyNodeLags(now, record.Version) {
			continue
		}
		member, known := controller.roster.Member(host)
		acknowledged := known && now.Before(member.Expiry) &&
			member.Announcement.Serving.Group == "" && member.Announcement.Serving.Fencing >= record.Fencing
		dead := !known || !now.Before(member.Expiry.Add(deadHostQuarantine))
		if !known && now.Before(controller.leadership.startedAt.Add(deadHostQuarantine)) {
			dead = false
		}
		if acknowledged || dead {
			controller.proposeAsLeader(now, actions, register.Command{FreeHost: &register.FreeHost{Host: host, Base: record.Fencing}})
			return true
		}
	}
	return false
}

// sendOrders sends each host with a lease the order for the group that it should
// serve in, or to unload, and repeats it until the host announces that state. A
// group whose hosts don't hold its weights yet waits while MaxLoadingGroups older
// groups aren't ready.
func (controller *Controller) sendOrders(now time.Time, actions *Actions) {
	loadingGroups := 0
	groups := controller.register.Groups()
	slices.SortFunc(groups, func(a, b register.GroupRecord) int { return cmp.Compare(a.Fencing, b.Fencing) })
	for _, group := range groups {
		if group.Service != "" || group.Phase != register.PhaseServing || controller.groupReady(now, group) {
			continue
		}
		if loadingGroups >= controller.config.MaxLoadingGroups && !controller.hostsHoldWeights(group) {
			continue
		}
		loadingGroups++
		controller.orderGroup(now, actions, group)
	}
	unfreed := controller.register.Unfreed()
	for _, name := range sortedKeys(unfreed) {
		if unfreed[name].PreviousGroup != nil {
			continue
		}
		controller.sendOrder(now, actions, action.Order{Host: name, Kind: action.OrderUnload, Fencing: unfreed[name].Fencing})
	}
}

// hostsHoldWeights reports whether all hosts of a group have its model loaded
// already, so that ordering them puts no load on the weight store.
func (controller *Controller) hostsHoldWeights(group register.GroupRecord) bool {
	return !slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := controller.roster.Member(host)
		return !ok || member.Announcement.Serving.Model != group.Model || !member.Announcement.Serving.Ready
	})
}

// orderGroup sends each host of a group the order to load the group's model.
func (controller *Controller) orderGroup(now time.Time, actions *Actions, group register.GroupRecord) {
	peers := make([]string, len(group.Hosts))
	for rank, host := range group.Hosts {
		member, _ := controller.roster.Member(host)
		peers[rank] = member.Announcement.Address
	}
	for rank, host := range group.Hosts {
		controller.sendOrder(now, actions, action.Order{
			Host: host, Kind: action.OrderLoad, Group: group.Group, Model: group.Model,
			Fencing: group.Fencing, Rank: rank, Peers: peers,
		})
	}
}

// sendOrder sends an order to a host that has a lease and doesn't announce the
// order's effect yet, and at most one order to a host in orderRetryInterval.
func (controller *Controller) sendOrder(now time.Time, actions *Actions, order action.Order) {
	member, ok := controller.roster.Member(order.Host)
	if !ok || !now.Before(member.Expiry) || now.Before(controller.leadership.lastOrderAtByHost[order.Host].Add(orderRetryInterval)) {
		return
	}
	serving := member.Announcement.Serving
	if serving.Group == order.Group && serving.Fencing == order.Fencing {
		return
	}
	controller.leadership.lastOrderAtByHost[order.Host] = now
	order.Address = member.Announcement.Address
	order.LifetimeMS = OrderLifetime.Milliseconds()
	actions.Orders = append(actions.Orders, order)
}

// groupReady reports whether all hosts of a group have a lease and announce that
// they are ready in it under its current fencing token.
func (controller *Controller) groupReady(now time.Time, group register.GroupRecord) bool {
	return !slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := controller.roster.Member(host)
		serving := member.Announcement.Serving
		return !ok || !now.Before(member.Expiry) || !serving.Ready || serving.Group != group.Group || serving.Fencing != group.Fencing
	})
}

// assignableHosts lists the hosts that can be assigned to a group now: live
// ones that no group, plain service, planned stop or pending release claims.
func (controller *Controller) assignableHosts(now time.Time) []placer.Host {
	stopping := controller.stoppingHosts()
	unfreed := controller.register.Unfreed()
	var free []placer.Host
	for _, member := range controller.roster.Members() {
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

// modelSpec returns the settings of a model, or false if it has none.
func (controller *Controller) modelSpec(model id.Model) (placer.Spec, bool) {
	for _, spec := range controller.config.ModelSpecs {
		if spec.Model == model {
			return spec, true
		}
	}
	return placer.Spec{}, false
}

// missingHosts lists the hosts of a group that have no lease or are leaving.
func (controller *Controller) missingHosts(now time.Time, group register.GroupRecord) []id.Host {
	var missing []id.Host
	for _, host := range group.Hosts {
		if !controller.roster.Live(now, host) {
			missing = append(missing, host)
		}
	}
	return missing
}

// repairGroups replaces missing hosts by spare ones. Spare hosts go to broken
// groups before any new group is formed. It reports whether it proposed a
// change.
func (controller *Controller) repairGroups(now time.Time, actions *Actions) bool {
	var unrepaired []register.GroupRecord
	for _, group := range controller.register.Groups() {
		if group.Phase == register.PhaseRetired || group.Service != "" {
			continue
		}
		missing := controller.missingHosts(now, group)
		if len(missing) == 0 {
			delete(controller.leadership.brokenSinceByGroup, group.Group)
			continue
		}
		if controller.awaitsDepartureDrain(now, group, missing) {
			continue
		}
		if controller.repairGroup(now, actions, group, controller.hostsToReplace(now, group)) {
			return true
		}
		if controller.leadership.brokenSinceByGroup[group.Group].IsZero() {
			controller.leadership.brokenSinceByGroup[group.Group] = now
		}
		unrepaired = append(unrepaired, group)
	}
	return controller.retireUnrepairedGroup(now, actions, unrepaired)
}

// awaitsDepartureDrain reports whether the missing hosts of a group are all
// alive and only leaving, and the group still has calls to finish.
func (controller *Controller) awaitsDepartureDrain(now time.Time, group register.GroupRecord, missing []id.Host) bool {
	for _, host := range missing {
		member, ok := controller.roster.Member(host)
		if !ok || !now.Before(member.Expiry) {
			return false
		}
	}
	return !controller.endpointIdle(now, feed.Endpoint{Group: group.Group}, group.Hosts[0], group.Version)
}

func (controller *Controller) repairGroup(now time.Time, actions *Actions, group register.GroupRecord, missing []id.Host) bool {
	hosts, ok := controller.replaceHosts(now, group, missing)
	if !ok {
		return false
	}
	controller.proposeAsLeader(now, actions, register.Command{RepairGroup: &register.RepairGroup{
		Group: group.Group, Base: group.Fencing, Hosts: hosts,
	}})
	return true
}

// replaceHosts returns the group's hosts with a spare one at the rank of each
// leaving host. It returns false when there are too few spare hosts, when every
// host of the group is leaving, or when the model isn't in the settings.
func (controller *Controller) replaceHosts(now time.Time, group register.GroupRecord, leaving []id.Host) ([]id.Host, bool) {
	spec, ok := controller.modelSpec(group.Model)
	if !ok || len(leaving) == len(group.Hosts) {
		return nil, false
	}
	free := controller.assignableHosts(now)
	hosts := slices.Clone(group.Hosts)
	remaining := controller.remainingHost(group, leaving)
	for rank, host := range hosts {
		if !slices.Contains(leaving, host) {
			continue
		}
		spare, found := placer.Spare(free, spec, remaining.DataCentre, remaining.Domain)
		if !found {
			return nil, false
		}
		hosts[rank] = spare
		free = slices.DeleteFunc(free, func(candidate placer.Host) bool { return candidate.Host == spare })
	}
	return hosts, true
}

// remainingHost returns the announcement of the first host that stays in the
// group. Spare hosts are chosen by its data centre and fabric domain.
func (controller *Controller) remainingHost(group register.GroupRecord, leaving []id.Host) roster.Announcement {
	for _, host := range group.Hosts {
		if !slices.Contains(leaving, host) {
			member, _ := controller.roster.Member(host)
			return member.Announcement
		}
	}
	return roster.Announcement{}
}

// retireUnrepairedGroup retires one broken group so that its live hosts can be
// used elsewhere. It does so only for a group that has been broken for
// hostReturnTimeout, and only when the assignable hosts and the live hosts of
// all such groups together suffice for one group. It retires the one with
// the fewest hosts present and reports whether it proposed a change.
func (controller *Controller) retireUnrepairedGroup(now time.Time, actions *Actions, unrepaired []register.GroupRecord) bool {
	reusable := controller.assignableHosts(now)
	var overdue []register.GroupRecord
	for _, group := range unrepaired {
		if now.Before(controller.leadership.brokenSinceByGroup[group.Group].Add(hostReturnTimeout)) {
			continue
		}
		overdue = append(overdue, group)
		for _, host := range group.Hosts {
			if member, ok := controller.roster.Member(host); ok && member.Live(now) {
				reusable = append(reusable, placerHost(member.Announcement))
			}
		}
	}
	if len(overdue) == 0 || len(placer.Plan(reusable, controller.config.ModelSpecs, nil)) == 0 {
		return false
	}
	fewest := slices.MinFunc(overdue, func(a, b register.GroupRecord) int {
		return cmp.Compare(len(a.Hosts)-len(controller.missingHosts(now, a)), len(b.Hosts)-len(controller.missingHosts(now, b)))
	})
	controller.proposeAsLeader(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: fewest.Group, Base: fewest.Fencing}})
	return true
}

// formGroups proposes new groups of the assignable hosts.
func (controller *Controller) formGroups(now time.Time, actions *Actions) {
	free := controller.assignableHosts(now)
	if len(free) == 0 {
		return
	}
	groupCountByModel := map[id.Model]int{}
	for _, group := range controller.register.Groups() {
		if group.Phase != register.PhaseRetired {
			groupCountByModel[group.Model]++
		}
	}
	for _, assignment := range placer.Plan(free, controller.config.ModelSpecs, groupCountByModel) {
		controller.proposeAsLeader(now, actions, register.Command{CommitGroup: &register.CommitGroup{
			Group: controller.groupName(assignment.Model), Model: assignment.Model, Hosts: assignment.Hosts,
		}})
	}
}

// groupName returns a group name that is unique for each log index.
func (controller *Controller) groupName(model id.Model) id.Group {
	return id.Group(fmt.Sprintf("%s-%d", model, controller.quorum.Status().LastIndex+1))
}

func sortedKeys[K cmp.Ordered, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}
