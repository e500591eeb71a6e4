// Package grouper plans the groups of model engines: which free engines form a
// group of which model, and onto which hosts weights are staged. All hosts of a
// group are in one fabric domain.
//
// Loads from the weight store are the scarce resource: they take longer than any
// other step, and the store serves few at a time. Once there is traffic a group
// is therefore formed only of engines that already hold its weights, in memory
// or on their hosts. Each load goes to a group of the most underserved model, in
// the domain where the fewest loads complete it. Hosts that such a group will
// soon need are reserved for it, and a group of a better served model is
// dissolved where its hosts complete one.
//
// The first plan, before there is traffic, forms groups of any hosts, as many of each
// model as fit into the domains together, since loads are cheap then.
//
// # Usage
//
//	plan := grouper.New(free, groups, specs, grouper.Constraints{MaxLoads: 7}).Plan()
//	for _, assignment := range plan.Form { ... }
package grouper

import (
	"cmp"
	"maps"
	"slices"

	"carobline.dev/core/id"
)

// Group is an existing group and the hosts of its engines.
type Group struct {
	Group  id.Group
	Model  id.Model
	Domain id.Domain
	Hosts  []Host
	// DataCentre is that of the domain; it may be empty.
	DataCentre id.DataCentre
	// Calls is the number of calls in progress. Of the groups that may be dissolved, the one
	// with the fewest goes first.
	Calls int
}

// Spec is the demand for one model and the size of its groups.
type Spec struct {
	Model id.Model
	// HostsPerGroup is how many engines form one group.
	HostsPerGroup int
	// Share is the model's part of the work. Only its ratio to the sum over all
	// models counts.
	Share float64
	// NeededGroups is with how many groups the model's calls hardly wait, and CallCost the
	// engine time of one call, in any one unit. In a shortage the hosts of a model whose calls
	// cost less aren't given to one whose calls cost more. Both are 0 where they aren't known.
	NeededGroups, CallCost float64
}

// Assignment is a group to form. The first host is its head.
type Assignment struct {
	Model id.Model
	Hosts []id.Host
}

// Staging is one load: the weights of a model are copied onto a host.
type Staging struct {
	Host  id.Host
	Model id.Model
}

// Plan lists the changes to make now.
type Plan struct {
	// Form lists the groups to form, and Stage the loads to start.
	Form  []Assignment
	Stage []Staging
	// Dissolve lists the groups to retire because their hosts complete a group of
	// another model.
	Dissolve []Dissolution
}

// Dissolution is a group to retire, in a domain where its hosts complete a group of the
// model For.
type Dissolution struct {
	Group  id.Group
	Domain id.Domain
	For    id.Model
	// Reason is how well both models are served, for the log. It is empty without
	// Constraints.Rebalance.
	Reason string
}

// Constraints limits a plan.
type Constraints struct {
	// MaxLoads is how many more loads the weight store accepts now.
	MaxLoads int
	// BeforeTraffic is true until the first calls arrive. The store then accepts
	// all loads, so groups are formed of any free hosts.
	BeforeTraffic bool
	// DrainingHosts are those that will be free soon: hosts of retired groups, and free
	// ones that are unresponsive at present.
	DrainingHosts []Host
	// Rebalance allows groups of better served models to be dissolved also where no host is
	// free. MaxMovingHosts is how many more hosts may be taken out of groups for another
	// model now, and MovingDomains are those where such a move isn't over. Both hold only
	// with Rebalance.
	Rebalance      bool
	MaxMovingHosts int
	MovingDomains  map[id.Domain]bool
}

// Grouper computes one plan. Its methods consume the hosts and loads that it was
// created with, so Plan may be called only once.
type Grouper struct {
	freeHostsByDomain     map[id.Domain][]Host
	drainingHostsByDomain map[id.Domain][]Host
	groups                []Group
	groupsByDomain        map[id.Domain][]Group
	// groupCountBySite is the number of groups of a model in a data centre.
	groupCountBySite map[site]int
	specs            []Spec
	// targetGroupsByModel is the fractional number of groups that a model should
	// have by its share of the work.
	targetGroupsByModel map[id.Model]float64
	groupCountByModel   map[id.Model]int
	constraints         Constraints
	// reservedHostsByDomain are free hosts that are kept for a group which a dissolved one
	// completes.
	reservedHostsByDomain map[id.Domain][]Host
	plan                  Plan
}

// New returns a grouper for the engines that are in no group, the existing
// groups, the models, and the limits of the plan.
func New(free []Host, groups []Group, specs []Spec, constraints Constraints) *Grouper {
	grouper := &Grouper{
		freeHostsByDomain: byDomain(free), drainingHostsByDomain: byDomain(constraints.DrainingHosts), groups: groups, specs: slices.Clone(specs),
		targetGroupsByModel: map[id.Model]float64{}, groupCountByModel: map[id.Model]int{}, constraints: constraints,
		reservedHostsByDomain: map[id.Domain][]Host{}, groupsByDomain: map[id.Domain][]Group{}, groupCountBySite: map[site]int{},
	}
	slices.SortFunc(grouper.specs, func(a, b Spec) int {
		return cmp.Or(cmp.Compare(b.HostsPerGroup, a.HostsPerGroup), cmp.Compare(a.Model, b.Model))
	})
	engines := len(free) + len(constraints.DrainingHosts)
	for _, group := range groups {
		grouper.groupCountByModel[group.Model]++
		engines += len(group.Hosts)
		grouper.groupsByDomain[group.Domain] = append(grouper.groupsByDomain[group.Domain], group)
		grouper.groupCountBySite[site{group.DataCentre, group.Model}]++
	}
	grouper.setTargets(engines)
	return grouper
}

func byDomain(hosts []Host) map[id.Domain][]Host {
	hostsByDomain := map[id.Domain][]Host{}
	for _, host := range hosts {
		hostsByDomain[host.Domain] = append(hostsByDomain[host.Domain], host)
	}
	return hostsByDomain
}

// setTargets divides the engines among the models by their shares of the work,
// evenly if no model has a share.
func (grouper *Grouper) setTargets(engines int) {
	shareSum := 0.0
	for _, spec := range grouper.specs {
		shareSum += spec.Share
	}
	for _, spec := range grouper.specs {
		fraction := 1 / float64(len(grouper.specs))
		if shareSum > 0 {
			fraction = spec.Share / shareSum
		}
		grouper.targetGroupsByModel[spec.Model] = float64(engines) * fraction / float64(spec.HostsPerGroup)
	}
}

// minTarget stands for the target of a model without a share of the work.
const minTarget = 1e-9

// servedRatio returns the number of groups of a model plus further, which is negative for
// fewer groups, divided by the model's target.
func (grouper *Grouper) servedRatio(model id.Model, further int) float64 {
	return float64(grouper.groupCountByModel[model]+further) / max(grouper.targetGroupsByModel[model], minTarget)
}

// Plan computes the changes to make now. It forms groups for the most
// underserved model, one at a time, until no further group can be formed of any
// model, and then stages weights.
func (grouper *Grouper) Plan() Plan {
	if grouper.constraints.BeforeTraffic && len(grouper.groups) == 0 {
		grouper.formFirstGroups()
		return grouper.plan
	}
	skipped := map[id.Model]bool{}
	for {
		spec, ok := grouper.mostUnderserved(skipped)
		if !ok {
			break
		}
		if domain, ok := grouper.formableDomain(spec); ok {
			grouper.form(domain, spec)
			continue
		}
		skipped[spec.Model] = true
		grouper.reserveHosts(spec)
	}
	if !grouper.constraints.BeforeTraffic {
		if grouper.constraints.Rebalance {
			grouper.rebalance()
		}
		grouper.stageWeights()
	}
	return grouper.plan
}

// mostUnderserved returns the model with the lowest served ratio among those
// that weren't skipped.
func (grouper *Grouper) mostUnderserved(skipped map[id.Model]bool) (Spec, bool) {
	var best Spec
	found := false
	for _, spec := range grouper.specs {
		if skipped[spec.Model] || (found && grouper.servedRatio(spec.Model, 0) >= grouper.servedRatio(best.Model, 0)) {
			continue
		}
		best, found = spec, true
	}
	return best, found
}

// formableDomain returns the domain in which a group can be formed now. Of
// several it takes the one with the fewest hosts that hold the model's weights.
// Before there is traffic any free host qualifies, and the domain with the most
// free hosts is taken.
func (grouper *Grouper) formableDomain(spec Spec) (id.Domain, bool) {
	var best id.Domain
	fewest, found := 0, false
	for _, domain := range grouper.domains() {
		eligible := grouper.countHolders(domain, spec.Model)
		if grouper.constraints.BeforeTraffic {
			eligible = len(grouper.freeHostsByDomain[domain])
		}
		if eligible < spec.HostsPerGroup {
			continue
		}
		if grouper.constraints.BeforeTraffic {
			eligible = -eligible
		}
		if !found || eligible < fewest {
			best, fewest, found = domain, eligible, true
		}
	}
	return best, found
}

// domains lists the domains with free hosts by name.
func (grouper *Grouper) domains() []id.Domain {
	return slices.Sorted(maps.Keys(grouper.freeHostsByDomain))
}

// countHolders counts the free hosts of a domain that hold a model's weights.
func (grouper *Grouper) countHolders(domain id.Domain, model id.Model) int {
	return count(grouper.freeHostsByDomain[domain], func(host Host) bool { return host.HasWeights(model) })
}

func count(hosts []Host, match func(Host) bool) int {
	matching := 0
	for _, host := range hosts {
		if match(host) {
			matching++
		}
	}
	return matching
}

// form plans a new group of a domain's free hosts.
func (grouper *Grouper) form(domain id.Domain, spec Spec) {
	assignment := Assignment{Model: spec.Model}
	for _, host := range warmHead(grouper.takeHosts(domain, spec.Model, spec.HostsPerGroup)) {
		assignment.Hosts = append(assignment.Hosts, host.Host)
	}
	grouper.plan.Form = append(grouper.plan.Form, assignment)
	grouper.groupCountByModel[spec.Model]++
}

// warmHead returns the hosts of a group with a warm one as the first, if there is any. The
// others keep their order.
func warmHead(hosts []Host) []Host {
	warm := slices.IndexFunc(hosts, func(host Host) bool { return !host.Cold })
	if warm <= 0 {
		return hosts
	}
	head := hosts[warm]
	return append([]Host{head}, slices.Delete(slices.Clone(hosts), warm, warm+1)...)
}

// takeHosts removes free hosts of a domain and returns them, those with the
// lowest formation cost first.
func (grouper *Grouper) takeHosts(domain id.Domain, model id.Model, hosts int) []Host {
	free := grouper.freeHostsByDomain[domain]
	slices.SortStableFunc(free, byFormationCost(model))
	grouper.freeHostsByDomain[domain] = free[hosts:]
	return free[:hosts]
}
