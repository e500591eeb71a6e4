// Package stager decides which further weights are staged on the hosts of engines.
// An engine serves one model while its host can keep the weights of others. If its
// group is lost, the engine then changes to another model in a second or two,
// without a load from the weight store.
//
// # Usage
//
//	for _, staging := range stager.Plan(hosts, specs, keptModels, maxLoads) { ... }
package stager

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
)

// domainModel is a model in a fabric domain. It is the key of the counts of engines
// there that hold the model's weights.
type domainModel struct {
	domain id.Domain
	model  id.Model
}

// Plan plans up to maxLoads loads, at most one for each host. The hosts must take
// part in no other change, and each keeps the weights of up to keptModels models.
// Each load goes where the engines that already hold the weights could form the
// fewest groups of the model in their domain. A host whose staged weights are all
// useful is left as it is.
func Plan(hosts []grouper.Host, specs []grouper.Spec, keptModels, maxLoads int) []grouper.Staging {
	holdersByDomainModel := map[domainModel]int{}
	for index := range hosts {
		for _, spec := range specs {
			if hosts[index].HasWeights(spec.Model) {
				holdersByDomainModel[domainModel{hosts[index].Domain, spec.Model}]++
			}
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(host grouper.Host) bool { return !canStageMore(host, keptModels) })
	var plan []grouper.Staging
	for len(plan) < maxLoads && len(candidates) > 0 {
		hostIndex, model, ok := fewestGroups(candidates, specs, holdersByDomainModel)
		if !ok {
			break
		}
		plan = append(plan, grouper.Staging{Host: candidates[hostIndex].Host, Model: model})
		holdersByDomainModel[domainModel{candidates[hostIndex].Domain, model}]++
		candidates = slices.Delete(candidates, hostIndex, hostIndex+1)
	}
	return plan
}

// canStageMore reports whether another model can be staged on the host without
// evicting one that the engine doesn't also have in its memory.
func canStageMore(host grouper.Host, keptModels int) bool {
	stagedOnly := 0
	for _, model := range host.Staged {
		if !slices.Contains(host.Loaded, model) {
			stagedOnly++
		}
	}
	return stagedOnly < keptModels
}

// fewestGroups returns the host, and the model that it lacks, for which the holders
// of the model's weights in the host's domain could form the fewest groups.
func fewestGroups(hosts []grouper.Host, specs []grouper.Spec, holdersByDomainModel map[domainModel]int) (hostIndex int, model id.Model, found bool) {
	var fewest float64
	for index := range hosts {
		for _, spec := range specs {
			if hosts[index].HasWeights(spec.Model) {
				continue
			}
			groups := float64(holdersByDomainModel[domainModel{hosts[index].Domain, spec.Model}]) / float64(max(1, spec.HostsPerGroup))
			if !found || cmp.Less(groups, fewest) {
				hostIndex, model, fewest, found = index, spec.Model, groups, true
			}
		}
	}
	return hostIndex, model, found
}
