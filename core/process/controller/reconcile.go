package controller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/fleet"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// groupChangeDelay is how long a new leader collects announcements before it
	// changes groups.
	groupChangeDelay = 2 * time.Second
	// deadHostQuarantine is how long after the end of its lease a dead host can't
	// be assigned to a group. By then every order sent to it has expired too.
	deadHostQuarantine = 10 * time.Second
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
	controller.decideBlocks(now, actions)
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
		Lags:  func(version id.Version) bool { return controller.anyNodeLags(now, version) },
		Calls: func(group id.Group) int { return controller.leadership.callSums.Of(feed.Endpoint{Group: group}) },
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
	releasing := controller.register.Unfreed()
	for _, host := range sortedKeys(releasing) {
		record := releasing[host]
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

// formGroups proposes new groups of the assignable hosts.
func (controller *Controller) formGroups(now time.Time, actions *Actions) {
	for _, assignment := range controller.inventory().NewGroups(now) {
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
