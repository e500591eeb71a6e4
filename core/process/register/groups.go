package register

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
)

// unassignable names the first host that is in a group or not yet freed.
func (register *Register) unassignable(hosts []id.Host, except id.Group) (id.Host, bool) {
	seen := map[id.Host]bool{}
	for _, host := range hosts {
		if group, ok := register.assigned[host]; ok && group != except {
			return host, true
		}
		if _, ok := register.state.Hosts[host]; ok || seen[host] {
			return host, true
		}
		seen[host] = true
	}
	return "", false
}

func (register *Register) commitGroup(index id.Index, command Command, commit CommitGroup) Result {
	if len(commit.Hosts) == 0 || commit.Group == "" {
		return refused("a group needs a name and hosts")
	}
	if _, ok := register.state.Groups[commit.Group]; ok {
		return refused("group %s exists", commit.Group)
	}
	if host, ok := register.unassignable(commit.Hosts, ""); ok {
		return refused("host %s is not free", host)
	}
	register.state.Fencing++
	group := &GroupRecord{
		Group: commit.Group, Model: commit.Model, Hosts: commit.Hosts,
		Fencing: register.state.Fencing, Phase: PhaseServing, Version: id.Version(index), Service: commit.Service,
	}
	register.setGroup(group)
	return register.done(index, command, "group_commit", string(commit.Group), "", text(group))
}

// current finds a group that is still as the command saw it.
func (register *Register) current(name id.Group, base id.FencingToken) (*GroupRecord, Result) {
	group := register.state.Groups[name]
	if group == nil || group.Phase == PhaseRetired {
		return nil, refused("group %s is not in use", name)
	}
	if group.Fencing != base {
		return nil, Result{Verdict: VerdictConflict, Reason: "the group has a newer fencing number"}
	}
	return group, Result{}
}

func (register *Register) repairGroup(index id.Index, command Command, repair RepairGroup) Result {
	old, problem := register.current(repair.Group, repair.Base)
	if old == nil {
		return problem
	}
	if old.Service != "" {
		return refused("group %s is opened by order: retire it and form another", repair.Group)
	}
	if len(repair.Hosts) != len(old.Hosts) {
		return refused("group %s spans %d hosts", repair.Group, len(old.Hosts))
	}
	if host, ok := register.unassignable(repair.Hosts, repair.Group); ok {
		return refused("host %s is not free", host)
	}
	register.state.Fencing++
	for _, host := range old.Hosts {
		if !slices.Contains(repair.Hosts, host) {
			register.state.Hosts[host] = HostRecord{Fencing: register.state.Fencing, Version: id.Version(index)}
		}
	}
	fresh := &GroupRecord{
		Group: old.Group, Model: old.Model, Hosts: repair.Hosts,
		Fencing: register.state.Fencing, Phase: PhaseServing, Version: id.Version(index),
	}
	register.setGroup(fresh)
	return register.done(index, command, "group_repair", string(old.Group), text(old), text(fresh))
}

func (register *Register) drainGroup(index id.Index, command Command, drain DrainGroup) Result {
	old, problem := register.current(drain.Group, drain.Base)
	if old == nil {
		return problem
	}
	if old.Phase == PhaseDraining {
		return Result{Verdict: VerdictUnchanged, Version: old.Version}
	}
	fresh := *old
	fresh.Phase, fresh.Version = PhaseDraining, id.Version(index)
	register.setGroup(&fresh)
	return register.done(index, command, "group_drain", string(old.Group), string(old.Phase), string(fresh.Phase))
}

func (register *Register) retireGroup(index id.Index, command Command, retire RetireGroup) Result {
	old, problem := register.current(retire.Group, retire.Base)
	if old == nil {
		return problem
	}
	register.state.Fencing++
	for _, host := range old.Hosts {
		record := HostRecord{Fencing: register.state.Fencing, Version: id.Version(index)}
		if old.Service != "" {
			record.PreviousGroup = old
		}
		register.state.Hosts[host] = record
	}
	fresh := *old
	fresh.Phase, fresh.Version = PhaseRetired, id.Version(index)
	register.setGroup(&fresh)
	register.pruneGroups()
	return register.done(index, command, "group_retire", string(old.Group), text(old), string(fresh.Phase))
}

func (register *Register) setGroup(group *GroupRecord) {
	if old := register.state.Groups[group.Group]; old != nil {
		for _, host := range old.Hosts {
			delete(register.assigned, host)
		}
	}
	register.state.Groups[group.Group] = group
	if group.Phase == PhaseRetired {
		return
	}
	for _, host := range group.Hosts {
		register.assigned[host] = group.Group
	}
}

// pruneGroups forgets the oldest retired group; whoever is older than that
// change gets a full delta.
func (register *Register) pruneGroups() {
	var retired []*GroupRecord
	for _, group := range register.state.Groups {
		if group.Phase == PhaseRetired {
			retired = append(retired, group)
		}
	}
	if len(retired) <= tombstones {
		return
	}
	oldest := slices.MinFunc(retired, func(a, b *GroupRecord) int { return cmp.Compare(a.Version, b.Version) })
	register.state.Horizon = max(register.state.Horizon, oldest.Version)
	delete(register.state.Groups, oldest.Group)
}

func (register *Register) freeHost(free FreeHost) Result {
	record, ok := register.state.Hosts[free.Host]
	if !ok {
		return Result{Verdict: VerdictUnchanged}
	}
	if record.Fencing != free.Base {
		return Result{Verdict: VerdictConflict, Reason: "the host has a newer fencing number"}
	}
	delete(register.state.Hosts, free.Host)
	return Result{Verdict: VerdictDone}
}
