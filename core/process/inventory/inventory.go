// Package inventory lists which hosts and groups the leader has, by the replicated state
// and what hosts announce: which groups are ready, which of their hosts are missing, which
// hosts are free, and what a planned stop covers. It changes nothing.
//
// # Usage
//
//	inventory := inventory.New(register, roster, specs)
//	missing := inventory.Missing(now, group)
//	hosts, ok := inventory.Replace(now, group, missing)
package inventory

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// Inventory reads the replicated state and the roster. A new one is made when the state
// is replaced. It isn't safe for concurrent use.
type Inventory struct {
	register *register.Register
	roster   *roster.Roster
	specs    []placer.Spec
}

// New returns the inventory of a replicated state and a roster, for groups of the models
// in specs.
func New(state *register.Register, hosts *roster.Roster, specs []placer.Spec) Inventory {
	return Inventory{register: state, roster: hosts, specs: specs}
}

// Stopping returns the highest incarnation of each host that a planned
// stop covers, whether or not the stop is finished. A later incarnation of the
// host isn't covered, so the host is used again once it has restarted.
func (inventory Inventory) Stopping() map[id.Host]id.Incarnation {
	stopping := map[id.Host]id.Incarnation{}
	for _, stop := range inventory.register.Stops() {
		for host, incarnation := range stop.IncarnationByHost {
			stopping[host] = max(stopping[host], incarnation)
		}
	}
	return stopping
}

// Covers reports whether a stop covers any host of a group. A host that has
// restarted since the stop was planned isn't covered.
func (inventory Inventory) Covers(group register.GroupRecord, hosts map[id.Host]id.Incarnation) bool {
	return slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := inventory.roster.Member(host)
		return hosts[host] > 0 && (!ok || member.Announcement.Incarnation <= hosts[host])
	})
}

// Evacuated reports whether the data centre of a group, which is that of its first known host,
// is evacuated: it gets no calls and no orders to load.
func (inventory Inventory) Evacuated(group register.GroupRecord) bool {
	evacuations := inventory.register.Evacuations()
	for _, host := range group.Hosts {
		if member, known := inventory.roster.Member(host); known {
			return evacuations.Covers(member.Announcement.DataCentre)
		}
	}
	return false
}

// Ready reports whether all hosts of a group have a lease and announce that
// they are ready in it under its current fencing token.
func (inventory Inventory) Ready(now time.Time, group register.GroupRecord) bool {
	return !slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := inventory.roster.Member(host)
		serving := member.Announcement.Serving
		return !ok || !now.Before(member.Expiry) || !serving.Ready || serving.Group != group.Group || serving.Fencing != group.Fencing
	})
}

// HoldWeights reports whether all hosts of a group have its model loaded
// already, so that ordering them puts no load on the weight store.
func (inventory Inventory) HoldWeights(group register.GroupRecord) bool {
	return !slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := inventory.roster.Member(host)
		return !ok || member.Announcement.Serving.Model != group.Model || !member.Announcement.Serving.Ready
	})
}

// Missing lists the hosts of a group that have no lease or are leaving.
func (inventory Inventory) Missing(now time.Time, group register.GroupRecord) []id.Host {
	var missing []id.Host
	for _, host := range group.Hosts {
		if !inventory.roster.Live(now, host) {
			missing = append(missing, host)
		}
	}
	return missing
}

// ToReplace lists the hosts of a group that are missing or covered by a
// planned stop.
func (inventory Inventory) ToReplace(now time.Time, group register.GroupRecord) []id.Host {
	toReplace := inventory.Missing(now, group)
	stopping := inventory.Stopping()
	for _, host := range group.Hosts {
		member, ok := inventory.roster.Member(host)
		if ok && stopping[host] >= member.Announcement.Incarnation && !slices.Contains(toReplace, host) {
			toReplace = append(toReplace, host)
		}
	}
	return toReplace
}

// Assignable lists the hosts that can be assigned to a group now: live ones outside of
// evacuated data centres that no group, plain service, planned stop or pending release claims.
func (inventory Inventory) Assignable(now time.Time) []placer.Host {
	stopping := inventory.Stopping()
	releasing, evacuations := inventory.register.Unfreed(), inventory.register.Evacuations()
	var free []placer.Host
	for _, member := range inventory.roster.Members() {
		announcement := member.Announcement
		if !member.Live(now) || evacuations.Covers(announcement.DataCentre) || announcement.Service != "" || stopping[announcement.Host] >= announcement.Incarnation {
			continue
		}
		if _, ok := releasing[announcement.Host]; ok {
			continue
		}
		if _, ok := inventory.register.GroupOf(announcement.Host); ok {
			continue
		}
		free = append(free, placerHost(announcement))
	}
	return free
}

func placerHost(announcement roster.Announcement) placer.Host {
	return placer.Host{
		Host: announcement.Host, DataCentre: announcement.DataCentre, Domain: announcement.Domain,
		Accelerators: announcement.Accelerators, Models: announcement.Models,
	}
}

// spec returns the settings of a model, or false if it has none.
func (inventory Inventory) spec(model id.Model) (placer.Spec, bool) {
	for _, spec := range inventory.specs {
		if spec.Model == model {
			return spec, true
		}
	}
	return placer.Spec{}, false
}

// Replace returns the group's hosts with a spare one at the rank of each
// leaving host. It returns false when there are too few spare hosts, when every
// host of the group is leaving, or when the model isn't in the settings.
func (inventory Inventory) Replace(now time.Time, group register.GroupRecord, leaving []id.Host) ([]id.Host, bool) {
	spec, ok := inventory.spec(group.Model)
	if !ok || len(leaving) == len(group.Hosts) {
		return nil, false
	}
	free := inventory.Assignable(now)
	hosts := slices.Clone(group.Hosts)
	remaining := inventory.remaining(group, leaving)
	for rank, host := range hosts {
		if !slices.Contains(leaving, host) {
			continue
		}
		spare, found := placer.Spare(free, spec, remaining.DataCentre, remaining.Domain)
		if !found {
			return nil, false
		}
		hosts[rank] = spare
		free = slices.DeleteFunc(free, func(candidate placer.Host) bool { return candidate.Host == spare })
	}
	return hosts, true
}

// remaining returns the announcement of the first host that stays in the
// group. Spare hosts are chosen by its data centre and fabric domain.
func (inventory Inventory) remaining(group register.GroupRecord, leaving []id.Host) roster.Announcement {
	for _, host := range group.Hosts {
		if !slices.Contains(leaving, host) {
			member, _ := inventory.roster.Member(host)
			return member.Announcement
		}
	}
	return roster.Announcement{}
}

// NewGroups returns the groups that the assignable hosts can form now.
func (inventory Inventory) NewGroups(now time.Time) []placer.Assignment {
	free := inventory.Assignable(now)
	if len(free) == 0 {
		return nil
	}
	groupCountByModel := map[id.Model]int{}
	for _, group := range inventory.register.Groups() {
		if group.Phase != register.PhaseRetired && !inventory.Evacuated(group) {
			groupCountByModel[group.Model]++
		}
	}
	return placer.Plan(free, inventory.specs, groupCountByModel)
}

// SufficeWith reports whether the assignable hosts and the live hosts of the groups
// together suffice for one group.
func (inventory Inventory) SufficeWith(now time.Time, groups []register.GroupRecord) bool {
	reusable := inventory.Assignable(now)
	for _, group := range groups {
		if inventory.Evacuated(group) {
			continue
		}
		for _, host := range group.Hosts {
			if member, ok := inventory.roster.Member(host); ok && member.Live(now) {
				reusable = append(reusable, placerHost(member.Announcement))
			}
		}
	}
	return len(placer.Plan(reusable, inventory.specs, nil)) > 0
}
