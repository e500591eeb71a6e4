package grouper

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"carobline.dev/core/id"
)

const (
	// minServedGap is by how much the served ratio of a model, once a group of it is gone,
	// must still exceed that of the model that gets the hosts. Both leave their ratio by
	// some hundredths with each move, so that a smaller gap would be closed and opened again.
	minServedGap = 0.05
	// minUsedFraction is the least part of the dissolved hosts that the new groups take.
	minUsedFraction = 0.75
	// maxMovesInPlan bounds the time that a plan takes in a fleet of thousands of engines. The
	// next one comes within a tenth of a second.
	maxMovesInPlan = 8
	// minReservedFraction is the least part of a group for which its free hosts wait until
	// a dissolved group completes it. Fewer serve in a group of another model meanwhile.
	minReservedFraction = 0.5
	// minNeededPart is the part of the groups that a model needs which it keeps even for calls
	// that cost less, so that none is starved.
	minNeededPart = 0.4
)

// site is a model in a data centre.
type site struct {
	dataCentre id.DataCentre
	model      id.Model
}

// move is the dissolution of groups of one model in a domain, whose hosts, with free ones,
// complete groups of another.
type move struct {
	domain     id.Domain
	dataCentre id.DataCentre
	from       id.Model
	groups     []Group
	// completed is how many groups they complete, and hosts how many hosts the dissolved
	// groups have. calls are in progress at these.
	completed, hosts, calls int
}

// reserveForRebalance keeps the free hosts that hold a model's weights, if they are most of a
// group and dissolved groups of the domain may complete it.
func (grouper *Grouper) reserveForRebalance(domain id.Domain, spec Spec, holders int) {
	if float64(holders) < minReservedFraction*float64(spec.HostsPerGroup) {
		return
	}
	if _, ok := grouper.findMove(domain, spec); ok {
		grouper.reservedHostsByDomain[domain] = append(grouper.reservedHostsByDomain[domain], grouper.takeHosts(domain, spec.Model, holders)...)
	}
}

// rebalance dissolves groups of better served models whose hosts complete groups of worse served
// ones with the weights that they hold. Groups that draining hosts will form count as
// formed meanwhile, so that nothing more is dissolved for them.
func (grouper *Grouper) rebalance() {
	counted := maps.Clone(grouper.groupCountByModel)
	grouper.countExpectedGroups()
	skipped := map[id.Model]bool{}
	for moves := 0; moves < maxMovesInPlan; {
		spec, ok := grouper.mostUnderserved(skipped)
		if !ok {
			break
		}
		move, ok := grouper.bestMove(spec)
		if !ok {
			skipped[spec.Model] = true
			continue
		}
		moves++
		reason := fmt.Sprintf("%s served %.2f, %s %.2f, %d calls", spec.Model, grouper.servedRatio(spec.Model, 0), move.from, grouper.servedRatio(move.from, 0), move.calls)
		for _, group := range move.groups {
			grouper.plan.Dissolve = append(grouper.plan.Dissolve, Dissolution{Group: group.Group, Domain: move.domain, For: spec.Model, Reason: reason})
		}
		for _, counts := range []map[id.Model]int{counted, grouper.groupCountByModel} {
			counts[move.from] -= len(move.groups)
			counts[spec.Model] += move.completed
		}
		grouper.groupCountBySite[site{move.dataCentre, move.from}] -= len(move.groups)
		grouper.groupCountBySite[site{move.dataCentre, spec.Model}] += move.completed
		grouper.constraints.MaxMovingHosts -= move.hosts
	}
	grouper.groupCountByModel = counted
}

// countExpectedGroups counts the groups that the draining hosts of each domain will form with
// its free ones, of the most underserved model first.
func (grouper *Grouper) countExpectedGroups() {
	pools := map[id.Domain][]Host{}
	for domain, draining := range grouper.drainingHostsByDomain {
		pools[domain] = slices.Concat(draining, grouper.freeHostsByDomain[domain], grouper.reservedHostsByDomain[domain])
	}
	domains, skipped := slices.Sorted(maps.Keys(pools)), map[id.Model]bool{}
	for {
		spec, ok := grouper.mostUnderserved(skipped)
		if !ok {
			return
		}
		holds := func(host Host) bool { return host.HasWeights(spec.Model) }
		index := slices.IndexFunc(domains, func(domain id.Domain) bool { return count(pools[domain], holds) >= spec.HostsPerGroup })
		if index < 0 {
			skipped[spec.Model] = true
			continue
		}
		left := spec.HostsPerGroup
		pools[domains[index]] = slices.DeleteFunc(pools[domains[index]], func(host Host) bool {
			if left == 0 || !holds(host) {
				return false
			}
			left--
			return true
		})
		grouper.groupCountByModel[spec.Model]++
	}
}

// bestMove returns the best move for a model, see compareMoves.
func (grouper *Grouper) bestMove(spec Spec) (move, bool) {
	var best move
	found := false
	for _, domain := range slices.Sorted(maps.Keys(grouper.groupsByDomain)) {
		move, ok := grouper.findMove(domain, spec)
		if ok && (!found || grouper.compareMoves(spec, move, best) < 0) {
			best, found = move, true
		}
	}
	return best, found
}

// compareMoves orders moves for a model, the better one first: one that uses more of the hosts,
// then one in a data centre that has more groups of the dissolved model, so that no data centre
// loses all of its groups, and then one with fewer calls.
func (grouper *Grouper) compareMoves(spec Spec, a, b move) int {
	unused := func(move move) int { return max(0, move.hosts-move.completed*spec.HostsPerGroup) }
	there := func(move move) int { return grouper.groupCountBySite[site{move.dataCentre, move.from}] }
	return cmp.Or(
		cmp.Compare(unused(a)*b.hosts, unused(b)*a.hosts), cmp.Compare(there(b), there(a)), cmp.Compare(a.calls*b.hosts, b.calls*a.hosts),
	)
}

// findMove finds a move for a model in a domain in which none is under way.
func (grouper *Grouper) findMove(domain id.Domain, spec Spec) (move, bool) {
	planned := slices.ContainsFunc(grouper.plan.Dissolve, func(dissolution Dissolution) bool { return dissolution.Domain == domain })
	if planned || grouper.constraints.MovingDomains[domain] || len(grouper.drainingHostsByDomain[domain]) > 0 {
		return move{}, false
	}
	var best move
	found := false
	for _, from := range grouper.specs {
		if from.Model == spec.Model {
			continue
		}
		move, ok := grouper.moveFrom(domain, from.Model, spec)
		if ok && (!found || grouper.compareMoves(spec, move, best) < 0) {
			best, found = move, true
		}
	}
	return best, found
}

// moveFrom finds the fewest groups of one model whose hosts complete a group of another.
// Those with the most hosts that hold the weights go first, then those with the fewest calls.
func (grouper *Grouper) moveFrom(domain id.Domain, from id.Model, spec Spec) (move, bool) {
	holds := func(host Host) bool { return host.HasWeights(spec.Model) }
	missing := func(group Group) int { return len(group.Hosts) - count(group.Hosts, holds) }
	if grouper.constraints.MaxMovingHosts <= 0 || !grouper.mayDissolve(from, 1, spec) {
		return move{}, false
	}
	candidates := slices.DeleteFunc(slices.Clone(grouper.groupsByDomain[domain]), func(group Group) bool {
		return group.Model != from || missing(group) == len(group.Hosts)
	})
	slices.SortStableFunc(candidates, func(a, b Group) int {
		return cmp.Or(cmp.Compare(missing(a), missing(b)), cmp.Compare(a.Calls, b.Calls))
	})
	found := move{domain: domain, from: from}
	holders := grouper.countHolders(domain, spec.Model) + count(grouper.reservedHostsByDomain[domain], holds)
	for _, group := range candidates {
		found.dataCentre = group.DataCentre
		if !grouper.mayDissolve(from, len(found.groups)+1, spec) {
			break
		}
		found.groups, found.hosts, found.calls = append(found.groups, group), found.hosts+len(group.Hosts), found.calls+group.Calls
		holders += count(group.Hosts, holds)
		if found.completed = holders / spec.HostsPerGroup; found.completed > 0 {
			break
		}
	}
	used := float64(found.completed * spec.HostsPerGroup)
	worthwhile := found.completed > 0 && used >= minUsedFraction*float64(found.hosts) && found.hosts <= grouper.constraints.MaxMovingHosts
	return found, worthwhile
}

// mayDissolve reports whether a model without some of its groups is still served clearly better
// than another, and has enough of the groups that it needs: all of them if its calls cost less,
// since the same engines then serve more calls than they would of the other model.
func (grouper *Grouper) mayDissolve(from id.Model, groups int, spec Spec) bool {
	if grouper.servedRatio(from, -groups) < grouper.servedRatio(spec.Model, 0)+minServedGap {
		return false
	}
	index := slices.IndexFunc(grouper.specs, func(other Spec) bool { return other.Model == from })
	needed := grouper.specs[index].NeededGroups
	if grouper.specs[index].CallCost >= spec.CallCost {
		needed *= minNeededPart
	}
	return float64(grouper.groupCountByModel[from]-groups) >= needed
}
