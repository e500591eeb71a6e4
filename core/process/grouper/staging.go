package grouper

import (
	"slices"

	"carobline.dev/core/id"
)

// stagingCandidate is a group of a model that could be completed in one domain by
// staging the weights onto the hosts.
type stagingCandidate struct {
	domain id.Domain
	hosts  []Host
}

// stageWeights assigns the available loads. It repeatedly picks the model that is
// then the most underserved and loads what one more group of it lacks, in the
// domain where that takes the fewest loads.
func (grouper *Grouper) stageWeights() {
	skipped := map[id.Model]bool{}
	for grouper.constraints.MaxLoads > 0 {
		spec, ok := grouper.mostUnderserved(skipped)
		if !ok {
			break
		}
		next, ok := grouper.fewestLoads(spec)
		if !ok {
			skipped[spec.Model] = true
			continue
		}
		grouper.stageGroup(next, spec)
	}
	grouper.stageHostsWithoutWeights()
}

// stageHostsWithoutWeights assigns the remaining loads to engines that hold no
// weights and complete no group now, so that they can complete one when another
// engine of their domain is lost. A service without models has none to stage.
func (grouper *Grouper) stageHostsWithoutWeights() {
	if len(grouper.specs) == 0 {
		return
	}
	for _, domain := range grouper.domains() {
		for _, host := range grouper.freeHostsByDomain[domain] {
			if grouper.constraints.MaxLoads <= 0 {
				return
			}
			if !host.HasNoWeights() || host.StagingModel != "" {
				continue
			}
			grouper.constraints.MaxLoads--
			grouper.plan.Stage = append(grouper.plan.Stage, Staging{Host: host.Host, Model: grouper.mostServedModel(domain)})
		}
	}
}

// mostServedModel returns the model that most engines of a domain serve, of at least one. Its
// groups are the most likely to need a replacement host there.
func (grouper *Grouper) mostServedModel(domain id.Domain) id.Model {
	enginesByModel := map[id.Model]int{}
	for _, group := range grouper.groups {
		if group.Domain == domain {
			enginesByModel[group.Model] += len(group.Hosts)
		}
	}
	best := grouper.specs[0].Model
	for _, spec := range grouper.specs {
		if enginesByModel[spec.Model] > enginesByModel[best] {
			best = spec.Model
		}
	}
	return best
}

// fewestLoads finds the domain in which a group of a model needs the fewest
// loads.
func (grouper *Grouper) fewestLoads(spec Spec) (stagingCandidate, bool) {
	var best stagingCandidate
	found := false
	for _, domain := range grouper.domains() {
		hosts := grouper.freeHostsByDomain[domain]
		holders := count(hosts, func(host Host) bool { return host.hasOrAwaitsWeights(spec.Model) }) +
			count(grouper.drainingHostsByDomain[domain], func(host Host) bool { return host.hasOrAwaitsWeights(spec.Model) })
		missing := max(0, spec.HostsPerGroup-holders)
		var candidates []Host
		for _, host := range hosts {
			if !host.hasOrAwaitsWeights(spec.Model) && host.StagingModel == "" {
				candidates = append(candidates, host)
			}
		}
		if missing > len(candidates) || (found && missing >= len(best.hosts)) {
			continue
		}
		slices.SortStableFunc(candidates, byFormationCost(spec.Model))
		best, found = stagingCandidate{domain: domain, hosts: candidates[:missing]}, true
	}
	return best, found
}

// stageGroup assigns loads to the hosts of a future group. It counts the group as
// formed and removes its hosts, so that no other group is planned with them.
func (grouper *Grouper) stageGroup(next stagingCandidate, spec Spec) {
	for _, host := range next.hosts {
		if grouper.constraints.MaxLoads <= 0 {
			break
		}
		grouper.constraints.MaxLoads--
		grouper.plan.Stage = append(grouper.plan.Stage, Staging{Host: host.Host, Model: spec.Model})
	}
	stagedHosts := map[id.Host]bool{}
	for _, host := range next.hosts {
		stagedHosts[host.Host] = true
	}
	remaining := spec.HostsPerGroup - len(next.hosts)
	free := grouper.freeHostsByDomain[next.domain]
	slices.SortStableFunc(free, byFormationCost(spec.Model))
	grouper.freeHostsByDomain[next.domain] = slices.DeleteFunc(free, func(host Host) bool {
		if stagedHosts[host.Host] {
			return true
		}
		if remaining > 0 && host.hasOrAwaitsWeights(spec.Model) {
			remaining--
			return true
		}
		return false
	})
	grouper.drainingHostsByDomain[next.domain] = grouper.drainingHostsByDomain[next.domain][min(remaining, len(grouper.drainingHostsByDomain[next.domain])):]
	grouper.groupCountByModel[spec.Model]++
}
