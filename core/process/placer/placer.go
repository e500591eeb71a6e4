// Package placer decides which free hosts form new groups, and which spare host
// repairs a broken group. All hosts of a group are in one fabric domain unless the
// model's specification allows groups across the domains of a data centre.
//
// For each pool of hosts that may be grouped together it enumerates the numbers of
// groups of each model, tests each combination by Hall's condition (Hall, "On
// Representatives of Subsets", 1935) and keeps the one that leaves the fewest
// accelerators idle. Which hosts it leaves out follows the greedy algorithm for
// transversal matroids (Edmonds and Fulkerson, 1965).
//
// # Usage
//
//	plan := placer.Plan(free, specs, existing)
//	spare, ok := placer.Spare(free, spec, centre, domain)
package placer

import (
	"maps"
	"slices"

	"carobline.dev/core/id"
)

// Host is one free host and the models that it can serve.
type Host struct {
	Host         id.Host
	DataCentre   id.DataCentre
	Domain       id.Domain
	Accelerators int
	Models       []id.Model
}

// Spec is how a model is served.
type Spec struct {
	Model id.Model `json:"model"`
	// HostsPerGroup is how many hosts form one group.
	HostsPerGroup int `json:"hosts"`
	// Weight is the model's part of the groups where models compete for hosts.
	Weight int `json:"weight"`
	// AcrossDomains allows groups of hosts from several domains of a data centre,
	// formed of the hosts that are left over within the domains.
	AcrossDomains bool `json:"across_domains,omitempty"`
}

// Assignment is one group to form. The first host is its head.
type Assignment struct {
	Model id.Model
	Hosts []id.Host
}

// Plan assigns free hosts to new groups. existing counts the groups that each model
// already has.
func Plan(free []Host, specs []Spec, existing map[id.Model]int) []Assignment {
	groupCountByModel := maps.Clone(existing)
	if groupCountByModel == nil {
		groupCountByModel = map[id.Model]int{}
	}
	var plan []Assignment
	var leftover []Host
	for _, pool := range partition(free, func(host Host) string { return string(host.DataCentre) + "/" + string(host.Domain) }) {
		groups, rest := formGroups(pool, specs, groupCountByModel)
		plan = append(plan, groups...)
		leftover = append(leftover, rest...)
	}
	specsAcrossDomains := slices.DeleteFunc(slices.Clone(specs), func(spec Spec) bool { return !spec.AcrossDomains })
	if len(specsAcrossDomains) == 0 {
		return plan
	}
	for _, pool := range partition(leftover, func(host Host) string { return string(host.DataCentre) }) {
		groups, _ := formGroups(pool, specsAcrossDomains, groupCountByModel)
		plan = append(plan, groups...)
	}
	return plan
}

// Spare returns the host to repair a group with: one of the group's domain before
// any other, then the one that can serve the fewest models. Hosts of other domains
// of the data centre are considered only if the spec allows groups across domains.
func Spare(free []Host, spec Spec, centre id.DataCentre, domain id.Domain) (id.Host, bool) {
	best, found := Host{}, false
	for _, host := range free {
		if !slices.Contains(host.Models, spec.Model) || host.DataCentre != centre {
			continue
		}
		if host.Domain != domain && !spec.AcrossDomains {
			continue
		}
		if !found || betterSpare(host, best, domain) {
			best, found = host, true
		}
	}
	return best.Host, found
}

// betterSpare reports whether a is a better spare than b for a group of the domain.
func betterSpare(a, b Host, domain id.Domain) bool {
	if (a.Domain == domain) != (b.Domain == domain) {
		return a.Domain == domain
	}
	if len(a.Models) != len(b.Models) {
		return len(a.Models) < len(b.Models)
	}
	return a.Host < b.Host
}

// partition divides hosts by a key, sorted by that key.
func partition(hosts []Host, key func(Host) string) [][]Host {
	hostsByKey := map[string][]Host{}
	for _, host := range hosts {
		hostsByKey[key(host)] = append(hostsByKey[key(host)], host)
	}
	var partitions [][]Host
	for _, name := range slices.Sorted(maps.Keys(hostsByKey)) {
		partitions = append(partitions, hostsByKey[name])
	}
	return partitions
}

// formGroups forms groups of the hosts of one pool, adds them to groupCountByModel,
// and returns them and the hosts that are left over.
func formGroups(hosts []Host, specs []Spec, groupCountByModel map[id.Model]int) (plan []Assignment, leftover []Host) {
	pool := newPool(hosts, specs)
	groupsBySpec := pool.search(groupCountByModel)
	hostsBySpec := pool.assignHosts(groupsBySpec)
	grouped := map[int]bool{}
	for spec, hostIndexes := range hostsBySpec {
		size := pool.specs[spec].HostsPerGroup
		for start := 0; start+size <= len(hostIndexes); start += size {
			assignment := Assignment{Model: pool.specs[spec].Model}
			for _, hostIndex := range hostIndexes[start : start+size] {
				assignment.Hosts = append(assignment.Hosts, pool.hosts[hostIndex].Host)
				grouped[hostIndex] = true
			}
			plan = append(plan, assignment)
			groupCountByModel[assignment.Model]++
		}
	}
	for index, host := range pool.hosts {
		if !grouped[index] {
			leftover = append(leftover, host)
		}
	}
	return plan, leftover
}
