package controller

import (
	"cmp"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// hostReturnTimeout is how long a broken group without a spare waits for the return of
// its host before its other hosts may be used elsewhere.
const hostReturnTimeout = 30 * time.Second

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
