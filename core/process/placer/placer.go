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
	"cmp"
	"maps"
	"slices"

	"carobline.dev/core/id"
)

// maxCombinations is the most combinations that are tried for one pool. Above it
// groups are chosen greedily, one at a time.
const maxCombinations = 20_000

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

// pool is a set of hosts that may form groups with each other.
type pool struct {
	hosts []Host
	specs []Spec
	// specSetByHost holds for each host the set of specs that it can serve, as a
	// bit mask.
	specSetByHost []uint32
	// hostCountBySpecSet counts the hosts with the same such set.
	hostCountBySpecSet map[uint32]int
	// uniformHosts is true if all hosts have the same number of accelerators.
	uniformHosts bool
}

func newPool(hosts []Host, specs []Spec) *pool {
	pool := &pool{hosts: slices.Clone(hosts), specs: specs, hostCountBySpecSet: map[uint32]int{}, uniformHosts: true}
	// Larger hosts first, so that the greedy rule keeps them.
	slices.SortFunc(pool.hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.Host, b.Host))
	})
	pool.specSetByHost = make([]uint32, len(pool.hosts))
	for index, host := range pool.hosts {
		for specIndex, spec := range specs {
			if slices.Contains(host.Models, spec.Model) {
				pool.specSetByHost[index] |= 1 << specIndex
			}
		}
		pool.hostCountBySpecSet[pool.specSetByHost[index]]++
		pool.uniformHosts = pool.uniformHosts && host.Accelerators == pool.hosts[0].Accelerators
	}
	return pool
}

// search returns the number of groups of each spec that uses the most accelerators.
// Of equal ones it takes the one closest to the models' weights.
func (pool *pool) search(groupCountByModel map[id.Model]int) []int {
	combinations := 1
	for specIndex, spec := range pool.specs {
		combinations *= pool.countHostsFor(1<<specIndex)/spec.HostsPerGroup + 1
		if combinations > maxCombinations {
			return pool.searchGreedily(groupCountByModel)
		}
	}
	bestGroups := make([]int, len(pool.specs))
	mostAccelerators, leastImbalance := -1, 0.0
	groups := make([]int, len(pool.specs))
	pool.eachCombination(groups, 0, func() {
		if !pool.feasible(groups) {
			return
		}
		accelerators := pool.acceleratorsUsed(groups)
		imbalance := pool.imbalance(groups, groupCountByModel)
		if accelerators > mostAccelerators || (accelerators == mostAccelerators && imbalance < leastImbalance) {
			mostAccelerators, leastImbalance = accelerators, imbalance
			copy(bestGroups, groups)
		}
	})
	return bestGroups
}

// eachCombination calls visit with each combination of group numbers in groups,
// from the given spec on.
func (pool *pool) eachCombination(groups []int, spec int, visit func()) {
	if spec == len(groups) {
		visit()
		return
	}
	maxGroups := pool.countHostsFor(1<<spec) / pool.specs[spec].HostsPerGroup
	for groups[spec] = 0; groups[spec] <= maxGroups; groups[spec]++ {
		pool.eachCombination(groups, spec+1, visit)
	}
	groups[spec] = 0
}

// searchGreedily adds one group at a time, each of the model that keeps the groups
// closest to the models' weights.
func (pool *pool) searchGreedily(groupCountByModel map[id.Model]int) []int {
	groups := make([]int, len(pool.specs))
	for {
		bestSpec := -1
		leastImbalance := 0.0
		for spec := range pool.specs {
			groups[spec]++
			if pool.feasible(groups) {
				if imbalance := pool.imbalance(groups, groupCountByModel); bestSpec < 0 || imbalance < leastImbalance {
					bestSpec, leastImbalance = spec, imbalance
				}
			}
			groups[spec]--
		}
		if bestSpec < 0 {
			return groups
		}
		groups[bestSpec]++
	}
}

// countHostsFor counts the hosts that can serve at least one spec of a set.
func (pool *pool) countHostsFor(set uint32) int {
	total := 0
	for specSet, count := range pool.hostCountBySpecSet {
		if specSet&set != 0 {
			total += count
		}
	}
	return total
}

// feasible reports whether the groups can be formed, by Hall's condition: no set of
// specs needs more hosts than can serve at least one of them.
func (pool *pool) feasible(groups []int) bool {
	for set := uint32(1); set < 1<<len(pool.specs); set++ {
		needed := 0
		for spec, count := range groups {
			if set&(1<<spec) != 0 {
				needed += count * pool.specs[spec].HostsPerGroup
			}
		}
		if needed > 0 && needed > pool.countHostsFor(set) {
			return false
		}
	}
	return true
}

// acceleratorsUsed counts the accelerators of the hosts that are chosen for the
// groups.
func (pool *pool) acceleratorsUsed(groups []int) int {
	if pool.uniformHosts {
		total := 0
		for spec, count := range groups {
			total += count * pool.specs[spec].HostsPerGroup
		}
		if total == 0 {
			return 0
		}
		return total * pool.hosts[0].Accelerators
	}
	total := 0
	for _, hostIndex := range pool.chooseHosts(groups) {
		total += pool.hosts[hostIndex].Accelerators
	}
	return total
}

// chooseHosts returns the hosts for the groups, as indexes. It considers the
// largest first and keeps each that can be placed together with those before it.
func (pool *pool) chooseHosts(groups []int) []int {
	var chosen []int
	chosenBySpecSet := map[uint32]int{}
	for index, specSet := range pool.specSetByHost {
		chosenBySpecSet[specSet]++
		if specSet != 0 && pool.independent(chosenBySpecSet, groups) {
			chosen = append(chosen, index)
			continue
		}
		chosenBySpecSet[specSet]--
	}
	return chosen
}

// independent reports whether hosts, counted by the set of specs that they can
// serve, can all be placed: for each set of specs, the hosts that can serve nothing
// outside it must fit into its groups. In the transversal matroid of hosts and
// groups such hosts are an independent set.
func (pool *pool) independent(hostCountBySpecSet map[uint32]int, groups []int) bool {
	for set := uint32(1); set < 1<<len(pool.specs); set++ {
		capacity := 0
		for spec, count := range groups {
			if set&(1<<spec) != 0 {
				capacity += count * pool.specs[spec].HostsPerGroup
			}
		}
		hosts := 0
		for specSet, count := range hostCountBySpecSet {
			if specSet&^set == 0 {
				hosts += count
			}
		}
		if hosts > capacity {
			return false
		}
	}
	return true
}

// imbalance measures how unevenly the models are served for their weights. For the
// same number of groups it is lower the closer these are to the weights.
func (pool *pool) imbalance(groups []int, groupCountByModel map[id.Model]int) float64 {
	total := 0.0
	for spec, count := range groups {
		groupCount := float64(count + groupCountByModel[pool.specs[spec].Model])
		total += groupCount * groupCount / float64(max(1, pool.specs[spec].Weight))
	}
	return total
}

// assignHosts places the chosen hosts by augmenting paths. It returns the hosts of
// each spec as indexes.
func (pool *pool) assignHosts(groups []int) [][]int {
	hostsBySpec := make([][]int, len(groups))
	for _, host := range pool.chooseHosts(groups) {
		pool.augment(host, groups, hostsBySpec, make([]bool, len(groups)))
	}
	for spec := range hostsBySpec {
		slices.Sort(hostsBySpec[spec])
	}
	return hostsBySpec
}

// augment places a host with a spec that it can serve, moving hosts that are
// already placed to other specs where needed. It reports whether that succeeded.
func (pool *pool) augment(host int, groups []int, hostsBySpec [][]int, visited []bool) bool {
	for spec := range groups {
		if pool.specSetByHost[host]&(1<<spec) == 0 || visited[spec] {
			continue
		}
		visited[spec] = true
		if len(hostsBySpec[spec]) < groups[spec]*pool.specs[spec].HostsPerGroup {
			hostsBySpec[spec] = append(hostsBySpec[spec], host)
			return true
		}
		for position, other := range hostsBySpec[spec] {
			if pool.augment(other, groups, hostsBySpec, visited) {
				hostsBySpec[spec][position] = host
				return true
			}
		}
	}
	return false
}
