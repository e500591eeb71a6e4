package grouper

import (
	"slices"

	"carobline.dev/core/id"
)

// completion is what completes a group of a model in one domain: weights that
// are put onto so many hosts.
type completion struct {
	domain id.Domain
	hosts  []Host
}

// load spends the loads that the store takes now, on the model that will lack
// most.
func (grouper *Grouper) load() {
	passed := map[id.Model]bool{}
	for grouper.room.MaxLoads > 0 {
		spec, ok := grouper.neediest(passed)
		if !ok {
			break
		}
		next, ok := grouper.cheapest(spec)
		if !ok {
			passed[spec.Model] = true
			continue
		}
		grouper.complete(next, spec)
	}
	grouper.loadEmpty()
}

// loadEmpty gives weights to engines that have none and complete no group now, so
// that they complete one when another engine of their domain is lost.
func (grouper *Grouper) loadEmpty() {
	for _, domain := range grouper.domains() {
		for _, host := range grouper.free[domain] {
			if grouper.room.MaxLoads <= 0 {
				return
			}
			if !host.HasNoWeights() || host.StagingModel != "" {
				continue
			}
			grouper.room.MaxLoads--
			grouper.plan.Stage = append(grouper.plan.Stage, Staging{Host: host.Host, Model: grouper.likeliest(domain)})
		}
	}
}

// likeliest is the model whose groups in a domain will need a host most likely:
// the one that most engines there serve.
func (grouper *Grouper) likeliest(domain id.Domain) id.Model {
	serving := map[id.Model]int{}
	for _, group := range grouper.groups {
		if group.Domain == domain {
			serving[group.Model] += len(group.Hosts)
		}
	}
	best := grouper.specs[0].Model
	for _, spec := range grouper.specs {
		if serving[spec.Model] > serving[best] {
			best = spec.Model
		}
	}
	return best
}

// cheapest finds the domain in which a model's group needs the fewest loads.
func (grouper *Grouper) cheapest(spec Spec) (completion, bool) {
	var best completion
	found := false
	for _, domain := range grouper.domains() {
		hosts := grouper.free[domain]
		have := count(hosts, func(host Host) bool { return host.gets(spec.Model) }) +
			count(grouper.emptying[domain], func(host Host) bool { return host.gets(spec.Model) })
		missing := max(0, spec.HostsPerGroup-have)
		var candidates []Host
		for _, host := range hosts {
			if !host.gets(spec.Model) && host.StagingModel == "" {
				candidates = append(candidates, host)
			}
		}
		if missing > len(candidates) || (found && missing >= len(best.hosts)) {
			continue
		}
		slices.SortStableFunc(candidates, byCost(spec.Model))
		best, found = completion{domain: domain, hosts: candidates[:missing]}, true
	}
	return best, found
}

// complete spends loads on one group to be, and uses up its hosts.
func (grouper *Grouper) complete(next completion, spec Spec) {
	for _, host := range next.hosts {
		if grouper.room.MaxLoads <= 0 {
			break
		}
		grouper.room.MaxLoads--
		grouper.plan.Stage = append(grouper.plan.Stage, Staging{Host: host.Host, Model: spec.Model})
	}
	chosen := map[id.Host]bool{}
	for _, host := range next.hosts {
		chosen[host.Host] = true
	}
	rest := spec.HostsPerGroup - len(next.hosts)
	free := grouper.free[next.domain]
	slices.SortStableFunc(free, byCost(spec.Model))
	grouper.free[next.domain] = slices.DeleteFunc(free, func(host Host) bool {
		if chosen[host.Host] {
			return true
		}
		if rest > 0 && host.gets(spec.Model) {
			rest--
			return true
		}
		return false
	})
	grouper.emptying[next.domain] = grouper.emptying[next.domain][min(rest, len(grouper.emptying[next.domain])):]
	grouper.counts[spec.Model]++
}
