package fleet

import (
	"cmp"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/routing"
)

// warmSpares orders engines in no group to load a model from their hosts into memory, so
// that they replace a lost engine in a fraction of the time. Each joins a group of its
// own, which is never opened and which its next group replaces. An engine whose memory
// holds weights that its host doesn't is left as it is: it would lose them.
func (fleet *Fleet) warmSpares(now time.Time, actions *Actions, service *routing.Service, free []grouper.Host, groups []grouper.Group) {
	specs := engineSpecs(service.Engine)
	slices.SortFunc(specs, func(a, b grouper.Spec) int { return cmp.Compare(b.HostsPerGroup, a.HostsPerGroup) })
	served := servedModels(groups)
	for _, spare := range free {
		host, known := fleet.state.Roster.Member(spare.Host)
		standby := id.Group("standby-" + string(spare.Host))
		if _, staging := fleet.stagingByHost[spare.Host]; !known || staging || host.Announcement.Serving.Group == standby || onlyInMemory(spare) {
			continue
		}
		index := slices.IndexFunc(specs, func(spec grouper.Spec) bool {
			return spare.HasWeights(spec.Model) && served[domainModel{spare.Domain, spec.Model}]
		})
		if index < 0 || slices.Contains(spare.Loaded, specs[index].Model) || !fleet.leftOpenGroup(now, actions, host, standby) {
			continue
		}
		// The latest fencing token is lower than that of any group to come.
		fleet.sendOrder(now, actions, host, register.GroupRecord{
			Group: standby, Model: specs[index].Model, Hosts: []id.Host{spare.Host}, Fencing: fleet.state.Register.LastFencing(),
		}, action.OrderLoad)
	}
}

// onlyInMemory reports whether an engine's memory holds weights that its host doesn't.
func onlyInMemory(host grouper.Host) bool {
	return slices.ContainsFunc(host.Loaded, func(model id.Model) bool { return !slices.Contains(host.Staged, model) })
}

// domainModel is a model in a fabric domain.
type domainModel struct {
	domain id.Domain
	model  id.Model
}

// servedModels returns the models of the groups, by domain.
func servedModels(groups []grouper.Group) map[domainModel]bool {
	served := map[domainModel]bool{}
	for _, group := range groups {
		served[domainModel{group.Domain, group.Model}] = true
	}
	return served
}
