package controller

import (
	"cmp"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
)

// hostReturnTimeout is how long a broken group without a spare waits for the return of
// its host before its other hosts may be used elsewhere.
const hostReturnTimeout = 30 * time.Second

// repairGroups replaces missing hosts by spare ones. Spare hosts go to broken
// groups before any new group is formed. It reports whether it proposed a
// change.
func (controller *Controller) repairGroups(now time.Time, actions *Actions) bool {
	var unrepaired []register.GroupRecord
	for _, group := range controller.register.Groups() {
		if group.Phase == register.PhaseRetired || group.Service != "" {
			continue
		}
		missing := controller.inventory().Missing(now, group)
		if len(missing) == 0 {
			delete(controller.leadership.brokenSinceByGroup, group.Group)
			continue
		}
		if controller.awaitsDepartureDrain(now, group, missing) {
			continue
		}
		if controller.repairGroup(now, actions, group, controller.inventory().ToReplace(now, group)) {
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
	hosts, ok := controller.inventory().Replace(now, group, missing)
	if !ok {
		return false
	}
	controller.proposeAsLeader(now, actions, register.Command{RepairGroup: &register.RepairGroup{
		Group: group.Group, Base: group.Fencing, Hosts: hosts,
	}})
	return true
}

// retireUnrepairedGroup retires one broken group so that its live hosts can be
// used elsewhere. It does so only for a group that has been broken for
// hostReturnTimeout, and only when the assignable hosts and the live hosts of
// all such groups together suffice for one group. It retires the one with
// the fewest hosts present and reports whether it proposed a change.
func (controller *Controller) retireUnrepairedGroup(now time.Time, actions *Actions, unrepaired []register.GroupRecord) bool {
	var overdue []register.GroupRecord
	for _, group := range unrepaired {
		if !now.Before(controller.leadership.brokenSinceByGroup[group.Group].Add(hostReturnTimeout)) {
			overdue = append(overdue, group)
		}
	}
	if len(overdue) == 0 || !controller.inventory().SufficeWith(now, overdue) {
		return false
	}
	fewest := slices.MinFunc(overdue, func(a, b register.GroupRecord) int {
		return cmp.Compare(len(a.Hosts)-len(controller.inventory().Missing(now, a)), len(b.Hosts)-len(controller.inventory().Missing(now, b)))
	})
	controller.proposeAsLeader(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: fewest.Group, Base: fewest.Fencing}})
	return true
}
