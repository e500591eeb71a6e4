// Package stager decides which further weights are put onto the hosts of
// engines. An engine serves one model, and its host can keep the weights of
// others meanwhile; an engine whose group is lost then changes to another model
// in a second or two, without a load from the weight store.
//
// # Usage
//
//	for _, staging := range stager.Plan(hosts, models, kept, loads) { ... }
package stager

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
)

// Host is one engine that takes no part in any change.
type Host struct {
	Host   id.Host
	Domain id.Domain
	// Loaded are the models in the engine's memory, and Staged those whose
	// weights lie on its host.
	Loaded []id.Model
	Staged []id.Model
}

func (host *Host) holds(model id.Model) bool {
	return slices.Contains(host.Loaded, model) || slices.Contains(host.Staged, model)
}

// Model is one model and how many engines a group of it has.
type Model struct {
	Name  id.Model
	Hosts int
}

// Staging puts a model's weights on a host.
type Staging struct {
	Host  id.Host
	Model id.Model
}

// holding tells how many engines of a domain hold a model.
type holding struct {
	domain id.Domain
	model  id.Model
}

// Plan chooses up to so many loads for hosts that keep the weights of so many
// models. Each load goes to the domain in which the fewest groups of a model
// could be formed of the engines that hold it. A host on which all the weights
// are of use is left as it is.
func Plan(hosts []Host, models []Model, kept, loads int) []Staging {
	holders := map[holding]int{}
	for index := range hosts {
		for _, model := range models {
			if hosts[index].holds(model.Name) {
				holders[holding{hosts[index].Domain, model.Name}]++
			}
		}
	}
	rest := slices.DeleteFunc(slices.Clone(hosts), func(host Host) bool { return !host.hasRoom(kept) })
	var plan []Staging
	for len(plan) < loads && len(rest) > 0 {
		place, model, ok := scarcest(rest, models, holders)
		if !ok {
			break
		}
		plan = append(plan, Staging{Host: rest[place].Host, Model: model})
		holders[holding{rest[place].Domain, model}]++
		rest = slices.Delete(rest, place, place+1)
	}
	return plan
}

// hasRoom tells whether a further model on the host drives out nothing that the
// engine doesn't have in its memory.
func (host *Host) hasRoom(kept int) bool {
	useful := 0
	for _, model := range host.Staged {
		if !slices.Contains(host.Loaded, model) {
			useful++
		}
	}
	return useful < kept
}

// scarcest finds the host and the model that it lacks of which the fewest
// groups could be formed in the host's domain.
func scarcest(hosts []Host, models []Model, holders map[holding]int) (place int, model id.Model, found bool) {
	var least float64
	for index := range hosts {
		for _, candidate := range models {
			if hosts[index].holds(candidate.Name) {
				continue
			}
			groups := float64(holders[holding{hosts[index].Domain, candidate.Name}]) / float64(max(1, candidate.Hosts))
			if !found || cmp.Less(groups, least) {
				place, model, least, found = index, candidate.Name, groups, true
			}
		}
	}
	return place, model, found
}
