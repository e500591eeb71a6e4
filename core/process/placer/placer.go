// Package placer decides which free hosts form groups and which spare repairs a
// broken one. Groups stay inside one fabric domain unless a specification
// allows its data centre.
//
// For each pool of hosts it searches the numbers of groups of each model,
// tests each by Hall's condition (Hall, "On Representatives of Subsets", 1935)
// and keeps the one that leaves the fewest accelerators idle. Which hosts to
// leave out follows the greedy rule for transversal matroids (Edmonds and
// Fulkerson, 1965).
//
// # Usage
//
//	plan := placer.Plan(free, specs, existing)
//	spare, ok := placer.Spare(free, spec, domain)
package placer

import (
	"cmp"
	"maps"
	"slices"

	"carobline.dev/core/id"
)

// searchLimit bounds the combinations that are tried for one pool; past it a
// pool is filled model by model.
const searchLimit = 20_000

// Host is one free host.
type Host struct {
	Host         id.Host
	DataCentre   id.DataCentre
	Domain       id.Domain
	Accelerators int
	Models       []id.Model
}

// Spec says how a model is served.
type Spec struct {
	Model id.Model `json:"model"`
	// HostsPerGroup is how many hosts one group spans.
	HostsPerGroup int `json:"hosts"`
	// Weight is the model's part of the groups where models compete.
	Weight int `json:"weight"`
	// AcrossDomains lets leftover hosts of one data centre form groups.
	AcrossDomains bool `json:"across_domains,omitempty"`
}

// Assignment is one new group.
type Assignment struct {
	Model id.Model
	Hosts []id.Host
}

// Plan assigns free hosts to new groups. Existing counts the groups that each
// model has already.
func Plan(free []Host, specs []Spec, existing map[id.Model]int) []Assignment {
	counts := maps.Clone(existing)
	if counts == nil {
		counts = map[id.Model]int{}
	}
	var plan []Assignment
	var left []Host
	for _, pool := range pools(free, func(host Host) string { return string(host.DataCentre) + "/" + string(host.Domain) }) {
		made, rest := fill(pool, specs, counts)
		plan = append(plan, made...)
		left = append(left, rest...)
	}
	across := slices.DeleteFunc(slices.Clone(specs), func(spec Spec) bool { return !spec.AcrossDomains })
	if len(across) == 0 {
		return plan
	}
	for _, pool := range pools(left, func(host Host) string { return string(host.DataCentre) }) {
		made, _ := fill(pool, across, counts)
		plan = append(plan, made...)
	}
	return plan
}

// Spare picks the host to repair a group with: one of the group's domain that
// can serve the fewest other models. Across allows the whole data centre.
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

func betterSpare(a, b Host, domain id.Domain) bool {
	if (a.Domain == domain) != (b.Domain == domain) {
		return a.Domain == domain
	}
	if len(a.Models) != len(b.Models) {
		return len(a.Models) < len(b.Models)
	}
	return a.Host < b.Host
}

func pools(hosts []Host, key func(Host) string) [][]Host {
	byKey := map[string][]Host{}
	for _, host := range hosts {
		byKey[key(host)] = append(byKey[key(host)], host)
	}
	var list [][]Host
	for _, name := range slices.Sorted(maps.Keys(byKey)) {
		list = append(list, byKey[name])
	}
	return list
}

// fill makes groups from one pool and returns the hosts that are left. It adds
// what it makes to counts.
func fill(hosts []Host, specs []Spec, counts map[id.Model]int) (plan []Assignment, left []Host) {
	pool := newPool(hosts, specs)
	best := pool.search(counts)
	slots := pool.assign(best)
	used := map[int]bool{}
	for spec, members := range slots {
		size := pool.specs[spec].HostsPerGroup
		for start := 0; start+size <= len(members); start += size {
			assignment := Assignment{Model: pool.specs[spec].Model}
			for _, member := range members[start : start+size] {
				assignment.Hosts = append(assignment.Hosts, pool.hosts[member].Host)
				used[member] = true
			}
			plan = append(plan, assignment)
			counts[assignment.Model]++
		}
	}
	for index, host := range pool.hosts {
		if !used[index] {
			left = append(left, host)
		}
	}
	return plan, left
}

// pool is one set of hosts that may form groups with each other.
type pool struct {
	hosts []Host
	specs []Spec
	// able holds for each host the set of specs it can serve, as bits.
	able []uint32
	// ableCount counts hosts by that set.
	ableCount map[uint32]int
	// equal says that all hosts have as many accelerators.
	equal bool
}

func newPool(hosts []Host, specs []Spec) *pool {
	pool := &pool{hosts: slices.Clone(hosts), specs: specs, ableCount: map[uint32]int{}, equal: true}
	// Larger hosts first, so that the greedy rule keeps them.
	slices.SortFunc(pool.hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.Host, b.Host))
	})
	pool.able = make([]uint32, len(pool.hosts))
	for index, host := range pool.hosts {
		for bit, spec := range specs {
			if slices.Contains(host.Models, spec.Model) {
				pool.able[index] |= 1 << bit
			}
		}
		pool.ableCount[pool.able[index]]++
		pool.equal = pool.equal && host.Accelerators == pool.hosts[0].Accelerators
	}
	return pool
}

// search finds the numbers of groups by spec that use the most accelerators;
// among equals, those that keep models nearest to their weights.
func (pool *pool) search(counts map[id.Model]int) []int {
	combinations := 1
	for bit, spec := range pool.specs {
		combinations *= pool.ableTo(1<<bit)/spec.HostsPerGroup + 1
		if combinations > searchLimit {
			return pool.greedy(counts)
		}
	}
	best := make([]int, len(pool.specs))
	bestUse, bestSpread := -1, 0.0
	current := make([]int, len(pool.specs))
	pool.each(current, 0, func() {
		if !pool.feasible(current) {
			return
		}
		use := pool.use(current)
		spread := pool.spread(current, counts)
		if use > bestUse || (use == bestUse && spread < bestSpread) {
			bestUse, bestSpread = use, spread
			copy(best, current)
		}
	})
	return best
}

func (pool *pool) each(current []int, spec int, visit func()) {
	if spec == len(current) {
		visit()
		return
	}
	most := pool.ableTo(1<<spec) / pool.specs[spec].HostsPerGroup
	for current[spec] = 0; current[spec] <= most; current[spec]++ {
		pool.each(current, spec+1, visit)
	}
	current[spec] = 0
}

// greedy gives one group at a time to the model furthest below its weight.
func (pool *pool) greedy(counts map[id.Model]int) []int {
	groups := make([]int, len(pool.specs))
	for {
		best := -1
		bestSpread := 0.0
		for spec := range pool.specs {
			groups[spec]++
			if pool.feasible(groups) {
				if spread := pool.spread(groups, counts); best < 0 || spread < bestSpread {
					best, bestSpread = spec, spread
				}
			}
			groups[spec]--
		}
		if best < 0 {
			return groups
		}
		groups[best]++
	}
}

// ableTo counts the hosts that can serve any of a set of specs.
func (pool *pool) ableTo(set uint32) int {
	total := 0
	for able, count := range pool.ableCount {
		if able&set != 0 {
			total += count
		}
	}
	return total
}

// feasible is Hall's condition: each set of specs needs no more hosts than can
// serve any of them.
func (pool *pool) feasible(groups []int) bool {
	for set := uint32(1); set < 1<<len(pool.specs); set++ {
		need := 0
		for spec, count := range groups {
			if set&(1<<spec) != 0 {
				need += count * pool.specs[spec].HostsPerGroup
			}
		}
		if need > 0 && need > pool.ableTo(set) {
			return false
		}
	}
	return true
}

// use counts the accelerators of the best hosts that fill the groups.
func (pool *pool) use(groups []int) int {
	if pool.equal {
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
	for _, member := range pool.choose(groups) {
		total += pool.hosts[member].Accelerators
	}
	return total
}

// choose picks the hosts, largest first, that can all be placed together.
func (pool *pool) choose(groups []int) []int {
	var chosen []int
	counts := map[uint32]int{}
	for index, able := range pool.able {
		counts[able]++
		if able != 0 && pool.independent(counts, groups) {
			chosen = append(chosen, index)
			continue
		}
		counts[able]--
	}
	return chosen
}

// independent tells whether hosts, counted by what they can serve, all fit:
// those that can serve nothing outside a set must fit into that set's places.
func (pool *pool) independent(counts map[uint32]int, groups []int) bool {
	for set := uint32(1); set < 1<<len(pool.specs); set++ {
		places := 0
		for spec, count := range groups {
			if set&(1<<spec) != 0 {
				places += count * pool.specs[spec].HostsPerGroup
			}
		}
		inside := 0
		for able, count := range counts {
			if able&^set == 0 {
				inside += count
			}
		}
		if inside > places {
			return false
		}
	}
	return true
}

// spread measures how unevenly models are served for their weights.
func (pool *pool) spread(groups []int, counts map[id.Model]int) float64 {
	total := 0.0
	for spec, count := range groups {
		have := float64(count + counts[pool.specs[spec].Model])
		total += have * have / float64(max(1, pool.specs[spec].Weight))
	}
	return total
}

// assign places the chosen hosts by augmenting paths; it returns each spec's
// members.
func (pool *pool) assign(groups []int) [][]int {
	members := make([][]int, len(groups))
	for _, host := range pool.choose(groups) {
		pool.augment(host, groups, members, make([]bool, len(groups)))
	}
	for spec := range members {
		slices.Sort(members[spec])
	}
	return members
}

func (pool *pool) augment(host int, groups []int, members [][]int, seen []bool) bool {
	for spec := range groups {
		if pool.able[host]&(1<<spec) == 0 || seen[spec] {
			continue
		}
		seen[spec] = true
		if len(members[spec]) < groups[spec]*pool.specs[spec].HostsPerGroup {
			members[spec] = append(members[spec], host)
			return true
		}
		for place, other := range members[spec] {
			if pool.augment(other, groups, members, seen) {
				members[spec][place] = host
				return true
			}
		}
	}
	return false
}
