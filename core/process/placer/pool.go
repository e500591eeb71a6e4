package placer

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
)

// maxCombinations is the most combinations that are tried for one pool. Above it
// groups are chosen greedily, one at a time.
const maxCombinations = 20_000

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
