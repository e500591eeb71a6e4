package grouper

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
)

// minDissolveGain is by how much the lowest served ratio must rise for groups to be
// dissolved: their calls and hosts are lost for seconds.
const minDissolveGain = 0.05

// reserveHosts takes the hosts that hold the weights of an underserved model out
// of the free ones if they will soon form a group of it: because draining hosts
// of the domain complete the group, or groups of better served models are
// dissolved for it.
func (grouper *Grouper) reserveHosts(spec Spec) {
	for _, domain := range grouper.domains() {
		holders := grouper.countHolders(domain, spec.Model)
		draining := count(grouper.drainingHostsByDomain[domain], func(host Host) bool { return host.HasWeights(spec.Model) })
		switch {
		case holders == 0 || holders >= spec.HostsPerGroup:
			// No host to reserve, or enough for a group, which is formed anyway.
		case holders+draining >= spec.HostsPerGroup:
			grouper.takeHosts(domain, spec.Model, holders)
		case grouper.constraints.Rebalance:
			grouper.reserveForRebalance(domain, spec, holders)
		default:
			if groups := grouper.groupsToDissolve(domain, spec, spec.HostsPerGroup-holders-draining); len(groups) > 0 {
				grouper.dissolve(groups, spec)
				grouper.takeHosts(domain, spec.Model, holders)
			}
		}
	}
}

// groupsToDissolve finds the fewest groups of other models in the domain that can be
// dissolved: together at least the missing number of their hosts hold the weights of
// the underserved model, and the lowest served ratio rises by minDissolveGain. It returns
// none if there aren't enough.
func (grouper *Grouper) groupsToDissolve(domain id.Domain, spec Spec, missing int) []Group {
	holdersOf := func(group Group) int {
		return count(group.Hosts, func(host Host) bool { return host.HasWeights(spec.Model) })
	}
	candidates := slices.DeleteFunc(slices.Clone(grouper.groups), func(group Group) bool {
		return group.Domain != domain || group.Model == spec.Model || holdersOf(group) == 0
	})
	slices.SortStableFunc(candidates, func(a, b Group) int { return cmp.Compare(holdersOf(b), holdersOf(a)) })
	var chosen []Group
	chosenByModel := map[id.Model]int{}
	for _, group := range candidates {
		if missing <= 0 {
			break
		}
		if grouper.servedRatio(group.Model, -chosenByModel[group.Model]-1) < grouper.servedRatio(spec.Model, 0)+minDissolveGain {
			continue
		}
		chosenByModel[group.Model]++
		chosen, missing = append(chosen, group), missing-holdersOf(group)
	}
	if missing > 0 {
		return nil
	}
	return chosen
}

// dissolve plans to retire groups of one domain. It plans none while hosts of the
// domain are still draining, nor for two models in one domain.
func (grouper *Grouper) dissolve(groups []Group, spec Spec) {
	domain := groups[0].Domain
	planned := slices.ContainsFunc(grouper.plan.Dissolve, func(dissolution Dissolution) bool { return dissolution.Domain == domain })
	if planned || len(grouper.drainingHostsByDomain[domain]) > 0 {
		return
	}
	for _, group := range groups {
		grouper.plan.Dissolve = append(grouper.plan.Dissolve, Dissolution{Group: group.Group, Domain: domain, For: spec.Model})
		grouper.groupCountByModel[group.Model]--
	}
	// The group that they complete counts, so that no further one is sought than the
	// model needs.
	grouper.groupCountByModel[spec.Model]++
}
