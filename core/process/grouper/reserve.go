package grouper

import "carobline.dev/core/id"

// reserveHosts takes the hosts that hold the weights of an underserved model out
// of the free ones if they will soon form a group of it: because draining hosts
// of the domain complete the group, or a group of a better served model is
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
		default:
			if group, ok := grouper.groupToDissolve(domain, spec, spec.HostsPerGroup-holders-draining); ok {
				grouper.dissolve(group, spec)
				grouper.takeHosts(domain, spec.Model, holders)
			}
		}
	}
}

// groupToDissolve finds a group of another model in the domain that can be
// dissolved: at least the missing number of its hosts hold the weights of the
// underserved model, and its own model still has the higher served ratio
// afterwards.
func (grouper *Grouper) groupToDissolve(domain id.Domain, spec Spec, missing int) (Group, bool) {
	for _, group := range grouper.groups {
		if group.Domain != domain || group.Model == spec.Model {
			continue
		}
		holders := count(group.Hosts, func(host Host) bool { return host.HasWeights(spec.Model) })
		if holders >= missing && grouper.servedRatioWithoutOne(group.Model) > grouper.servedRatio(spec.Model) {
			return group, true
		}
	}
	return Group{}, false
}

// servedRatioWithoutOne returns the served ratio of a model with one group less.
func (grouper *Grouper) servedRatioWithoutOne(model id.Model) float64 {
	return float64(grouper.groupCountByModel[model]-1) / max(grouper.targetGroupsByModel[model], 1e-9)
}

// dissolve plans to retire a group. It plans at most one, and none while hosts of
// the domain are still draining.
func (grouper *Grouper) dissolve(group Group, spec Spec) {
	if grouper.plan.Dissolve != "" || len(grouper.drainingHostsByDomain[group.Domain]) > 0 {
		return
	}
	grouper.plan.Dissolve, grouper.plan.DissolveFor = group.Group, spec.Model
	grouper.groupCountByModel[group.Model]--
}
