package grouper

import (
	"maps"
	"slices"

	"carobline.dev/core/id"
)

// packing is a division of the free hosts of all domains into groups.
type packing struct {
	// freeByDomain is the number of hosts left in each domain.
	freeByDomain map[id.Domain]int
	placements   []placement
}

// placement is one group of a packing.
type placement struct {
	domain id.Domain
	spec   Spec
}

// formFirstGroups forms groups of any free hosts. It raises the number of groups of the
// most underserved model by one at a time, as long as all groups still fit into the
// domains together, so that small groups don't take the hosts that a large one needs.
// Of equally served models the one with the smaller groups goes first, since the loss
// of an engine then costs less; but of models without a group the one with the larger
// groups does, as these are harder to place.
func (grouper *Grouper) formFirstGroups() {
	smallestFirst := slices.Clone(grouper.specs)
	slices.Reverse(smallestFirst)
	added, full := map[id.Model]int{}, map[id.Model]bool{}
	var best packing
	for {
		spec, ok := grouper.nextToAdd(smallestFirst, added, full)
		if !ok {
			break
		}
		added[spec.Model]++
		packed, fits := grouper.pack(added)
		if fits {
			best = packed
			continue
		}
		added[spec.Model]--
		full[spec.Model] = true
	}
	for _, placement := range best.placements {
		grouper.form(placement.domain, placement.spec)
	}
}

// nextToAdd returns the model that is the most underserved with the added groups, among
// those of which another group may still fit.
func (grouper *Grouper) nextToAdd(specs []Spec, added map[id.Model]int, full map[id.Model]bool) (Spec, bool) {
	var best Spec
	lowest, found := 0.0, false
	for _, spec := range specs {
		ratio := grouper.servedRatio(spec.Model, added[spec.Model])
		if !full[spec.Model] && (!found || ratio < lowest || ratio == 0) {
			best, lowest, found = spec, ratio, true
		}
	}
	return best, found
}

// pack places numbers of groups into the domains, the largest groups first. It returns
// false if they don't fit.
func (grouper *Grouper) pack(countByModel map[id.Model]int) (packing, bool) {
	packed := packing{freeByDomain: map[id.Domain]int{}}
	for domain, hosts := range grouper.freeHostsByDomain {
		packed.freeByDomain[domain] = len(hosts)
	}
	domains := slices.Sorted(maps.Keys(packed.freeByDomain))
	stranded := grouper.strandedHosts(slices.Max(append(slices.Collect(maps.Values(packed.freeByDomain)), 0)))
	for _, spec := range grouper.specs {
		for range countByModel[spec.Model] {
			domain, ok := packed.bestDomain(domains, spec, stranded)
			if !ok {
				return packing{}, false
			}
			packed.freeByDomain[domain] -= spec.HostsPerGroup
			packed.placements = append(packed.placements, placement{domain, spec})
		}
	}
	return packed, true
}

// bestDomain returns the domain in which one more group strands the fewest further
// hosts, and of several the one with the most free hosts.
func (packing *packing) bestDomain(domains []id.Domain, spec Spec, stranded []int) (id.Domain, bool) {
	var best id.Domain
	fewest, mostFree, found := 0, 0, false
	for _, domain := range domains {
		free := packing.freeByDomain[domain]
		if free < spec.HostsPerGroup {
			continue
		}
		cost := stranded[free-spec.HostsPerGroup] - stranded[free]
		if !found || cost < fewest || (cost == fewest && free > mostFree) {
			best, fewest, mostFree, found = domain, cost, free, true
		}
	}
	return best, found
}

// strandedHosts returns, for each number of hosts up to most, how many of them are in no
// group in the best division into groups of any models.
func (grouper *Grouper) strandedHosts(most int) []int {
	stranded := make([]int, most+1)
	for hosts := range stranded {
		stranded[hosts] = hosts
		for _, spec := range grouper.specs {
			if hosts >= spec.HostsPerGroup {
				stranded[hosts] = min(stranded[hosts], stranded[hosts-spec.HostsPerGroup])
			}
		}
	}
	return stranded
}
