// Package stager decides which further weights are put onto the hosts of
// engines. An engine serves one model, and its host can keep the weights of
// others meanwhile; an engine whose group is lost then changes to another model
// in a second or two, without a load from the weight store.
//
// # Usage
//
//	for _, staging := range stager.Plan(hosts, specs, kept, loads) { ... }
package stager

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
)

// holding tells how many engines of a domain hold a model.
type holding struct {
	domain id.Domain
	model  id.Model
}

// Plan chooses up to so many loads for hosts that take part in no change and keep
// the weights of so many models. Each load goes to the domain in which the fewest groups of a model
// could be formed of the engines that hold it. A host on which all the weights
// are of use is left as it is.
func Plan(hosts []grouper.Host, specs []grouper.Spec, kept, loads int) []grouper.Staging {
	holders := map[holding]int{}
	for index := range hosts {
		for _, spec := range specs {
			if hosts[index].HasWeights(spec.Model) {
				holders[holding{hosts[index].Domain, spec.Model}]++
			}
		}
	}
	rest := slices.DeleteFunc(slices.Clone(hosts), func(host grouper.Host) bool { return !hasRoom(host, kept) })
	var plan []grouper.Staging
	for len(plan) < loads && len(rest) > 0 {
		place, model, ok := scarcest(rest, specs, holders)
		if !ok {
			break
		}
		plan = append(plan, grouper.Staging{Host: rest[place].Host, Model: model})
		holders[holding{rest[place].Domain, model}]++
		rest = slices.Delete(rest, place, place+1)
	}
	return plan
}

// hasRoom tells whether a further model on the host drives out nothing that the
// engine doesn't have in its memory.
func hasRoom(host grouper.Host, kept int) bool {
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
func scarcest(hosts []grouper.Host, specs []grouper.Spec, holders map[holding]int) (place int, model id.Model, found bool) {
	var least float64
	for index := range hosts {
		for _, spec := range specs {
			if hosts[index].HasWeights(spec.Model) {
				continue
			}
			groups := float64(holders[holding{hosts[index].Domain, spec.Model}]) / float64(max(1, spec.HostsPerGroup))
			if !found || cmp.Less(groups, least) {
				place, model, least, found = index, spec.Model, groups, true
			}
		}
	}
	return place, model, found
}
