package grouper

import "carobline.dev/core/id"

// keep holds back the hosts that will soon be a group of a model that lacks
// more than others: once hosts there are free that are still leaving their
// group, or a group of a better served model makes room.
func (grouper *Grouper) keep(spec Spec) {
	for _, domain := range grouper.domains() {
		have := grouper.holders(domain, spec.Model)
		soon := count(grouper.emptying[domain], func(host Host) bool { return host.HasWeights(spec.Model) })
		switch {
		case have == 0 || have >= spec.HostsPerGroup:
			// There is nothing to keep, or a group is formed of it anyway.
		case have+soon >= spec.HostsPerGroup:
			grouper.take(domain, spec.Model, have)
		default:
			if group, ok := grouper.exchange(domain, spec, spec.HostsPerGroup-have-soon); ok {
				grouper.makeRoom(group, spec)
				grouper.take(domain, spec.Model, have)
			}
		}
	}
}

// exchange finds a group of another model in a domain of which enough hosts
// hold the one that lacks hosts, and whose loss leaves its own model better off
// than that one.
func (grouper *Grouper) exchange(domain id.Domain, spec Spec, missing int) (Group, bool) {
	for _, group := range grouper.groups {
		if group.Domain != domain || group.Model == spec.Model {
			continue
		}
		holders := count(group.Hosts, func(host Host) bool { return host.HasWeights(spec.Model) })
		if holders >= missing && grouper.without(group.Model) > grouper.fullness(spec.Model) {
			return group, true
		}
	}
	return Group{}, false
}

// without is how far a model is served with one group less.
func (grouper *Grouper) without(model id.Model) float64 {
	return float64(grouper.counts[model]-1) / max(grouper.wanted[model], 1e-9)
}

// makeRoom dissolves a group, one at a time.
func (grouper *Grouper) makeRoom(group Group, spec Spec) {
	if grouper.plan.Dissolve != "" || len(grouper.emptying[group.Domain]) > 0 {
		return
	}
	grouper.plan.Dissolve, grouper.plan.DissolveFor = group.Group, spec.Model
	grouper.counts[group.Model]--
}
