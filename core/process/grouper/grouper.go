// Package grouper decides which engines form a group of which model, and which
// are given weights to wait with. Groups stay inside one fabric domain.
//
// Loads of weights are what is scarce: they take longer than all else, and the
// weight store takes few at a time. So engines that hold the weights of a model
// are used for it first, and each load goes where it brings the most engines to
// work on the model that lacks most. A group is formed only once the store
// takes all its loads, so that no engine is bound to a group that waits.
//
// # Usage
//
//	plan := grouper.New(free, groups, specs, grouper.Room{Spares: 5, Loads: 7}).Plan()
//	for _, assignment := range plan.Form { ... }
package grouper

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"carobline.dev/core/id"
)

// sparePart is the part of all engines that is kept as spares.
const sparePart = 0.08

// overshoot is by how many loads one group may exceed what the store takes.
const overshoot = 2

// Host is one engine that is in no group.
type Host struct {
	Host   id.Host
	Domain id.Domain
	// Loaded are the models that were in the engine's memory last, and Staged
	// those whose weights lie on its host.
	Loaded []id.Model
	Staged []id.Model
}

// Empty tells whether the engine needs a load for any model.
func (host Host) Empty() bool { return len(host.Loaded)+len(host.Staged) == 0 }

// holds tells whether the engine needs no load for a model.
func (host Host) holds(model id.Model) bool {
	return slices.Contains(host.Loaded, model) || slices.Contains(host.Staged, model)
}

// Group is one group in use.
type Group struct {
	Group  id.Group
	Model  id.Model
	Domain id.Domain
	Hosts  int
}

// Spec is one model.
type Spec struct {
	Model id.Model
	// Hosts is how many engines form one group.
	Hosts int
	// Share is the model's part of the work, of the sum over all models.
	Share float64
}

// Assignment is one new group; the first host is its head.
type Assignment struct {
	Model id.Model
	Hosts []id.Host
}

// Staging puts a model's weights on a spare host.
type Staging struct {
	Host  id.Host
	Model id.Model
}

// Plan is what should be done now.
type Plan struct {
	Form  []Assignment
	Stage []Staging
	// Dissolve is a group whose hosts complete one of the model For, which
	// lacks a single host there; it is empty where there is none.
	Dissolve id.Group
	For      id.Model
}

// Room bounds a plan.
type Room struct {
	// Spares is how many engines are kept out of groups.
	Spares int
	// Loads is how many loads the weight store takes now.
	Loads int
	// Emptying are the domains in which hosts of retired groups will be free
	// soon.
	Emptying map[id.Domain]bool
}

// Spares is how many engines of a total are kept as spares.
func Spares(total int) int { return int(math.Ceil(float64(total) * sparePart)) }

// Grouper plans once. Its methods use up what it was made of.
type Grouper struct {
	free   map[id.Domain][]Host
	groups []Group
	specs  []Spec
	wanted map[id.Model]float64
	counts map[id.Model]int
	loads  int
	room   Room
	plan   Plan
}

// New takes the engines that are in no group, the groups in use, the models,
// and what bounds the plan.
func New(free []Host, groups []Group, specs []Spec, room Room) *Grouper {
	grouper := &Grouper{
		free: map[id.Domain][]Host{}, groups: groups, specs: slices.Clone(specs), wanted: map[id.Model]float64{},
		counts: map[id.Model]int{}, loads: room.Loads, room: room,
	}
	slices.SortFunc(grouper.specs, func(a, b Spec) int {
		return cmp.Or(cmp.Compare(b.Hosts, a.Hosts), cmp.Compare(a.Model, b.Model))
	})
	total := len(free)
	for _, host := range free {
		grouper.free[host.Domain] = append(grouper.free[host.Domain], host)
	}
	for _, group := range groups {
		grouper.counts[group.Model]++
		total += group.Hosts
	}
	grouper.want(max(0, total-room.Spares))
	return grouper
}

// want shares the usable engines out by the models' parts of the work.
func (grouper *Grouper) want(usable int) {
	sum := 0.0
	for _, spec := range grouper.specs {
		sum += spec.Share
	}
	for _, spec := range grouper.specs {
		part := 1 / float64(len(grouper.specs))
		if sum > 0 {
			part = spec.Share / sum
		}
		grouper.wanted[spec.Model] = float64(usable) * part / float64(max(1, spec.Hosts))
	}
}

// Plan decides.
func (grouper *Grouper) Plan() Plan {
	for {
		candidate, ok := grouper.best()
		if !ok {
			break
		}
		grouper.loads -= candidate.loads
		grouper.form(candidate.domain, candidate.spec)
	}
	grouper.makeRoom()
	grouper.useUp()
	for _, domain := range grouper.domains() {
		grouper.stageSpares(domain)
	}
	return grouper.plan
}

// makeRoom finds a group whose hosts complete one of a model that lacks more,
// where that needs a single load and the store has room for it.
func (grouper *Grouper) makeRoom() {
	if grouper.loads <= 0 {
		return
	}
	for _, spec := range grouper.specs {
		if !grouper.short(spec) {
			continue
		}
		for _, group := range grouper.groups {
			if group.Model != spec.Model && !grouper.room.Emptying[group.Domain] && grouper.completes(group, spec) {
				grouper.plan.Dissolve, grouper.plan.For = group.Group, spec.Model
				return
			}
		}
	}
}

// completes tells whether a model lacks one host in a group's domain, and more
// than the group's own model would lack without the group.
func (grouper *Grouper) completes(group Group, spec Spec) bool {
	if grouper.holders(group.Domain, spec.Model) != spec.Hosts-1 || group.Hosts >= spec.Hosts {
		return false
	}
	without := float64(grouper.counts[group.Model]-1) / max(grouper.wanted[group.Model], 1e-9)
	return without > grouper.fullness(spec.Model)
}

// useUp forms groups beyond what is wanted while hosts and the store are idle,
// but for hosts that a group of their model lacks only one of.
func (grouper *Grouper) useUp() {
	for _, domain := range grouper.domains() {
		for _, spec := range slices.Backward(grouper.specs) {
			for len(grouper.free[domain]) >= spec.Hosts && !grouper.awaited(domain) {
				loads := max(0, spec.Hosts-grouper.holders(domain, spec.Model))
				if loads == 0 || loads > grouper.loads {
					break
				}
				grouper.loads -= loads
				grouper.form(domain, spec)
			}
		}
	}
}

// awaited tells whether the hosts of a domain wait for one more of their kind,
// or for a spare's use.
func (grouper *Grouper) awaited(domain id.Domain) bool {
	if len(grouper.plan.Dissolve) > 0 || len(grouper.free[domain]) <= 2 {
		return true
	}
	return slices.ContainsFunc(grouper.specs, func(spec Spec) bool {
		return grouper.room.Emptying[domain] || (spec.Hosts > 2 && grouper.holders(domain, spec.Model) == spec.Hosts-1 && len(grouper.free[domain]) > spec.Hosts)
	})
}

// candidate is a group that could be formed.
type candidate struct {
	domain id.Domain
	spec   Spec
	loads  int
	worth  float64
}

// best is the group that brings the most for its loads. Where the store must
// free itself for that one first, only groups that need no load go ahead.
func (grouper *Grouper) best() (candidate, bool) {
	best, found := grouper.pick(math.MaxInt)
	if found && best.loads > 0 && (grouper.loads <= 0 || best.loads > grouper.loads+overshoot) {
		return grouper.pick(0)
	}
	return best, found
}

// pick is the group that brings the most among those of so many loads.
func (grouper *Grouper) pick(most int) (candidate, bool) {
	var best candidate
	found := false
	for _, domain := range grouper.domains() {
		for _, spec := range grouper.specs {
			if len(grouper.free[domain]) < spec.Hosts || !grouper.short(spec) {
				continue
			}
			loads := max(0, spec.Hosts-grouper.holders(domain, spec.Model))
			if loads > most {
				continue
			}
			next := candidate{domain: domain, spec: spec, loads: loads, worth: grouper.worth(domain, spec, loads)}
			if !found || next.worth > best.worth {
				best, found = next, true
			}
		}
	}
	return best, found
}

// short tells whether a model lacks at least half a group.
func (grouper *Grouper) short(spec Spec) bool {
	return float64(grouper.counts[spec.Model])+0.5 <= grouper.wanted[spec.Model]
}

// worth is how many engines a load brings to work, weighed by how much their
// model lacks. Among equals the domain with the most free hosts goes first.
func (grouper *Grouper) worth(domain id.Domain, spec Spec, loads int) float64 {
	const (
		leastLoads    = 0.1
		leastFullness = 0.1
		tieBreak      = 1e-6
	)
	worth := float64(spec.Hosts) / max(float64(loads), leastLoads)
	return worth/(grouper.fullness(spec.Model)+leastFullness) + tieBreak*float64(len(grouper.free[domain]))
}

func (grouper *Grouper) domains() []id.Domain { return slices.Sorted(maps.Keys(grouper.free)) }

// form makes a group of a domain's hosts, those first that hold the weights,
// and then those that hold none.
func (grouper *Grouper) form(domain id.Domain, spec Spec) {
	hosts := grouper.free[domain]
	slices.SortStableFunc(hosts, func(a, b Host) int { return cmp.Compare(cost(a, spec.Model), cost(b, spec.Model)) })
	assignment := Assignment{Model: spec.Model}
	for _, host := range hosts[:spec.Hosts] {
		assignment.Hosts = append(assignment.Hosts, host.Host)
	}
	grouper.free[domain] = hosts[spec.Hosts:]
	grouper.plan.Form = append(grouper.plan.Form, assignment)
	grouper.counts[spec.Model]++
}

// cost ranks hosts for a model: one that holds the weights of another model
// would lose them.
func cost(host Host, model id.Model) int {
	switch {
	case slices.Contains(host.Loaded, model):
		return 0
	case host.holds(model):
		return 1
	case len(host.Staged) == 0:
		return 2
	default:
		return 3
	}
}

func (grouper *Grouper) holders(domain id.Domain, model id.Model) int {
	count := 0
	for index := range grouper.free[domain] {
		if grouper.free[domain][index].holds(model) {
			count++
		}
	}
	return count
}

// fullness is how far a model is served, of what is wanted.
func (grouper *Grouper) fullness(model id.Model) float64 {
	return float64(grouper.counts[model]) / max(grouper.wanted[model], 1e-9)
}

// stageSpares puts weights on hosts that are left and hold none, as far as the
// store takes the loads: those of the model that has the most hosts waiting in
// the domain, or else of the largest one that has a group there to repair.
func (grouper *Grouper) stageSpares(domain id.Domain) {
	model, ok := grouper.waited(domain)
	for index := 0; !ok && index < len(grouper.specs); index++ {
		model = grouper.specs[index].Model
		ok = slices.ContainsFunc(grouper.groups, func(group Group) bool { return group.Domain == domain && group.Model == model })
	}
	if !ok {
		return
	}
	for _, host := range grouper.free[domain] {
		if len(host.Staged) == 0 && grouper.loads > 0 {
			grouper.loads--
			grouper.plan.Stage = append(grouper.plan.Stage, Staging{Host: host.Host, Model: model})
		}
	}
}

// waited is the model whose weights most free hosts of a domain hold.
func (grouper *Grouper) waited(domain id.Domain) (id.Model, bool) {
	most := 0
	var model id.Model
	for _, spec := range grouper.specs {
		if count := grouper.holders(domain, spec.Model); count > most {
			most, model = count, spec.Model
		}
	}
	return model, most > 0
}
