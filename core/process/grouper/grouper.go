// Package grouper decides which engines form a group of which model, and which
// are given weights to wait with. Groups stay inside one fabric domain.
//
// Loads of weights are what is scarce: they take longer than all else, and the
// weight store takes few at a time. So once calls come a group is formed only of
// engines that hold its weights, in memory or on their hosts, and each load
// completes a group of the model that lacks most, where the fewest loads do so.
// Hosts that such a group will need soon are kept for it, and a group of a model
// that is better off makes room where its hosts complete one.
//
// # Usage
//
//	plan := grouper.New(free, groups, specs, grouper.Room{Loads: 7}).Plan()
//	for _, assignment := range plan.Form { ... }
package grouper

import (
	"cmp"
	"maps"
	"slices"

	"carobline.dev/core/id"
)

// Group is one group in use.
type Group struct {
	Group  id.Group
	Model  id.Model
	Domain id.Domain
	Hosts  []Host
}

// Spec is one model.
type Spec struct {
	Model id.Model
	// HostsPerGroup is how many engines form one group.
	HostsPerGroup int
	// Share is the model's part of the work, of the sum over all models.
	Share float64
}

// Assignment is one new group; the first host is its head.
type Assignment struct {
	Model id.Model
	Hosts []id.Host
}

// Staging puts a model's weights on a host.
type Staging struct {
	Host  id.Host
	Model id.Model
}

// Plan is what should be done now.
type Plan struct {
	Form  []Assignment
	Stage []Staging
	// Dissolve is a group whose hosts complete one of the model For; it is empty
	// where there is none.
	Dissolve    id.Group
	DissolveFor id.Model
}

// Constraints bounds a plan.
type Constraints struct {
	// MaxLoads is how many loads the weight store takes now.
	MaxLoads int
	// BeforeTraffic says that no calls come yet, so that the store takes all loads.
	BeforeTraffic bool
	// DrainingHosts are the hosts of retired groups that will be free soon.
	DrainingHosts []Host
}

// Grouper plans once. Its methods use up what it was made of.
type Grouper struct {
	free     map[id.Domain][]Host
	emptying map[id.Domain][]Host
	groups   []Group
	specs    []Spec
	// wanted is how many groups of a model its part of the work asks for.
	wanted map[id.Model]float64
	counts map[id.Model]int
	room   Constraints
	plan   Plan
}

// New takes the engines that are in no group, the groups in use, the models,
// and what bounds the plan.
func New(free []Host, groups []Group, specs []Spec, room Constraints) *Grouper {
	grouper := &Grouper{
		free: byDomain(free), emptying: byDomain(room.DrainingHosts), groups: groups, specs: slices.Clone(specs),
		wanted: map[id.Model]float64{}, counts: map[id.Model]int{}, room: room,
	}
	slices.SortFunc(grouper.specs, func(a, b Spec) int {
		return cmp.Or(cmp.Compare(b.HostsPerGroup, a.HostsPerGroup), cmp.Compare(a.Model, b.Model))
	})
	total := len(free) + len(room.DrainingHosts)
	for _, group := range groups {
		grouper.counts[group.Model]++
		total += len(group.Hosts)
	}
	grouper.want(total)
	return grouper
}

func byDomain(hosts []Host) map[id.Domain][]Host {
	domains := map[id.Domain][]Host{}
	for _, host := range hosts {
		domains[host.Domain] = append(domains[host.Domain], host)
	}
	return domains
}

// want shares the engines out by the models' parts of the work.
func (grouper *Grouper) want(engines int) {
	sum := 0.0
	for _, spec := range grouper.specs {
		sum += spec.Share
	}
	for _, spec := range grouper.specs {
		part := 1 / float64(len(grouper.specs))
		if sum > 0 {
			part = spec.Share / sum
		}
		grouper.wanted[spec.Model] = float64(engines) * part / float64(spec.HostsPerGroup)
	}
}

// fullness is how far a model is served, of what is wanted.
func (grouper *Grouper) fullness(model id.Model) float64 {
	return float64(grouper.counts[model]) / max(grouper.wanted[model], 1e-9)
}

// Plan decides. It turns again and again to the model that lacks most, until
// nothing more can be done for any.
func (grouper *Grouper) Plan() Plan {
	passed := map[id.Model]bool{}
	for {
		spec, ok := grouper.neediest(passed)
		if !ok {
			break
		}
		if domain, ok := grouper.ready(spec); ok {
			grouper.form(domain, spec)
			continue
		}
		passed[spec.Model] = true
		grouper.keep(spec)
	}
	if !grouper.room.BeforeTraffic {
		grouper.load()
	}
	return grouper.plan
}

// neediest is the model that lacks most of those that weren't passed over.
func (grouper *Grouper) neediest(passed map[id.Model]bool) (Spec, bool) {
	var best Spec
	found := false
	for _, spec := range grouper.specs {
		if passed[spec.Model] || (found && grouper.fullness(spec.Model) >= grouper.fullness(best.Model)) {
			continue
		}
		best, found = spec, true
	}
	return best, found
}

// ready finds the domain in which a group can be formed now: the one that is
// left with the fewest holders of the model. Early on any hosts will do, and
// the domain with most of them goes first.
func (grouper *Grouper) ready(spec Spec) (id.Domain, bool) {
	var best id.Domain
	least, found := 0, false
	for _, domain := range grouper.domains() {
		fit := grouper.holders(domain, spec.Model)
		if grouper.room.BeforeTraffic {
			fit = len(grouper.free[domain])
		}
		if fit < spec.HostsPerGroup {
			continue
		}
		if grouper.room.BeforeTraffic {
			fit = -fit
		}
		if !found || fit < least {
			best, least, found = domain, fit, true
		}
	}
	return best, found
}

func (grouper *Grouper) domains() []id.Domain { return slices.Sorted(maps.Keys(grouper.free)) }

func (grouper *Grouper) holders(domain id.Domain, model id.Model) int {
	return count(grouper.free[domain], func(host Host) bool { return host.HasWeights(model) })
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

// form makes a group of a domain's hosts.
func (grouper *Grouper) form(domain id.Domain, spec Spec) {
	assignment := Assignment{Model: spec.Model}
	for _, host := range grouper.take(domain, spec.Model, spec.HostsPerGroup) {
		assignment.Hosts = append(assignment.Hosts, host.Host)
	}
	grouper.plan.Form = append(grouper.plan.Form, assignment)
	grouper.counts[spec.Model]++
}

// take uses up so many hosts of a domain: those first that cost least.
func (grouper *Grouper) take(domain id.Domain, model id.Model, hosts int) []Host {
	free := grouper.free[domain]
	slices.SortStableFunc(free, byCost(model))
	grouper.free[domain] = free[hosts:]
	return free[:hosts]
}
