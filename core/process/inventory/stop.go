package inventory

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/register"
)

// HostsUnder returns the live hosts under the target of a stop, each with its
// incarnation.
func (inventory Inventory) HostsUnder(now time.Time, stop register.CreateStop) map[id.Host]id.Incarnation {
	hosts := map[id.Host]id.Incarnation{}
	var groupHosts []id.Host
	if group, ok := inventory.register.Group(id.Group(stop.Target)); ok && stop.Kind == register.TargetGroup && group.Phase != register.PhaseRetired {
		groupHosts = group.Hosts
	}
	for _, member := range inventory.roster.Members() {
		announcement := member.Announcement
		var covered bool
		switch stop.Kind {
		case register.TargetEndpoint:
			covered = string(announcement.Host) == stop.Target
		case register.TargetGroup:
			covered = slices.Contains(groupHosts, announcement.Host)
		case register.TargetDomain:
			covered = string(announcement.Domain) == stop.Target
		case register.TargetDataCentre:
			covered = string(announcement.DataCentre) == stop.Target
		}
		if covered && now.Before(member.Expiry) {
			hosts[announcement.Host] = announcement.Incarnation
		}
	}
	return hosts
}

// LostModel returns a model of a contract, and the contract's client account, that has a
// ready group now and would be left without any by a stop of the hosts. It is false when
// there is none.
func (inventory Inventory) LostModel(now time.Time, hosts map[id.Host]id.Incarnation) (id.Model, id.ClientAccount, bool) {
	readyGroupsByModel := map[id.Model]int{}
	remainingGroupsByModel := map[id.Model]int{}
	stopping := inventory.Stopping()
	for _, group := range inventory.register.Groups() {
		if group.Phase != register.PhaseServing || !inventory.Ready(now, group) || inventory.Evacuated(group) {
			continue
		}
		readyGroupsByModel[group.Model]++
		if !inventory.Covers(group, stopping) && !inventory.Covers(group, hosts) {
			remainingGroupsByModel[group.Model]++
		}
	}
	for _, group := range inventory.groupsWithout(now, hosts) {
		remainingGroupsByModel[group.Model]++
	}
	for _, record := range inventory.register.Contracts() {
		for _, model := range record.Contract.Models {
			if !record.Retired && readyGroupsByModel[model] > 0 && remainingGroupsByModel[model] == 0 {
				return model, record.Contract.ClientAccount, true
			}
		}
	}
	return "", "", false
}

// groupsWithout returns the groups that the assignable hosts could form without some.
func (inventory Inventory) groupsWithout(now time.Time, hosts map[id.Host]id.Incarnation) []placer.Assignment {
	free := slices.DeleteFunc(inventory.Assignable(now), func(host placer.Host) bool { return hosts[host.Host] > 0 })
	return placer.Plan(free, inventory.specs, nil)
}

// ReplacementsComing reports whether hosts can form a new group, or a group without
// missing hosts isn't ready yet.
func (inventory Inventory) ReplacementsComing(now time.Time) bool {
	if len(placer.Plan(inventory.Assignable(now), inventory.specs, nil)) > 0 {
		return true
	}
	return slices.ContainsFunc(inventory.register.Groups(), func(group register.GroupRecord) bool {
		return group.Phase == register.PhaseServing && len(inventory.Missing(now, group)) == 0 && !inventory.Ready(now, group) && !inventory.Evacuated(group)
	})
}
