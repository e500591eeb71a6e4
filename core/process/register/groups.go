package register

import (
	"cmp"
	"slices"

	"carobline.dev/core/id"
)

// unassignableHost returns the first host that is listed twice, is in a group other
// than except, or hasn't been freed since it left a group.
func (register *Register) unassignableHost(hosts []id.Host, except id.Group) (id.Host, bool) {
	seen := map[id.Host]bool{}
	for _, host := range hosts {
		if group, ok := register.groupByHost[host]; ok && group != except {
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
	if host, ok := register.unassignableHost(commit.Hosts, ""); ok {
		return refused("host %s is not free", host)
	}
	register.state.Fencing++
	group := &GroupRecord{
		Group: commit.Group, Model: commit.Model, Hosts: commit.Hosts,
		Fencing: register.state.Fencing, Phase: PhaseServing, Version: id.Version(index), Service: commit.Service,
	}
	register.setGroup(group)
	return register.recordChange(index, command, "group_commit", string(commit.Group), "", jsonText(group))
}

// activeGroup returns a group that isn't retired and still has the fencing token
// base. Otherwise it returns nil and the result of the command.
func (register *Register) activeGroup(name id.Group, base id.FencingToken) (*GroupRecord, Result) {
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
	old, failure := register.activeGroup(repair.Group, repair.Base)
	if old == nil {
		return failure
	}
	if old.Service != "" {
		return refused("group %s is opened by order: retire it and form another", repair.Group)
	}
	if len(repair.Hosts) != len(old.Hosts) {
		return refused("group %s spans %d hosts", repair.Group, len(old.Hosts))
	}
	if host, ok := register.unassignableHost(repair.Hosts, repair.Group); ok {
		return refused("host %s is not free", host)
	}
	register.state.Fencing++
	for _, host := range old.Hosts {
		if !slices.Contains(repair.Hosts, host) {
			register.state.Hosts[host] = HostRecord{Fencing: register.state.Fencing, Version: id.Version(index)}
		}
	}
	updated := &GroupRecord{
		Group: old.Group, Model: old.Model, Hosts: repair.Hosts,
		Fencing: register.state.Fencing, Phase: PhaseServing, Version: id.Version(index),
	}
	register.setGroup(updated)
	return register.recordChange(index, command, "group_repair", string(old.Group), jsonText(old), jsonText(updated))
}

func (register *Register) drainGroup(index id.Index, command Command, drain DrainGroup) Result {
	old, failure := register.activeGroup(drain.Group, drain.Base)
	if old == nil {
		return failure
	}
	if old.Phase == PhaseDraining {
		return Result{Verdict: VerdictUnchanged, Version: old.Version}
	}
	updated := *old
	updated.Phase, updated.Version = PhaseDraining, id.Version(index)
	register.setGroup(&updated)
	return register.recordChange(index, command, "group_drain", string(old.Group), string(old.Phase), string(updated.Phase))
}

func (register *Register) retireGroup(index id.Index, command Command, retire RetireGroup) Result {
	old, failure := register.activeGroup(retire.Group, retire.Base)
	if old == nil {
		return failure
	}
	register.state.Fencing++
	for _, host := range old.Hosts {
		record := HostRecord{Fencing: register.state.Fencing, Version: id.Version(index)}
		if old.Service != "" {
			record.PreviousGroup = old
		}
		register.state.Hosts[host] = record
	}
	updated := *old
	updated.Phase, updated.Version = PhaseRetired, id.Version(index)
	register.setGroup(&updated)
	register.pruneGroups()
	return register.recordChange(index, command, "group_retire", string(old.Group), jsonText(old), string(updated.Phase))
}

// changeGroups applies all parts of a change, and returns the first refusal if there is
// one.
func (register *Register) changeGroups(index id.Index, command Command, change *ChangeGroups) Result {
	result := Result{Verdict: VerdictDone, Version: id.Version(index)}
	record := func(part Result) {
		if result.Verdict == VerdictDone && part.Verdict != VerdictDone {
			result = part
		}
	}
	for _, retire := range change.Retire {
		record(register.retireGroup(index, command, retire))
	}
	for _, free := range change.Free {
		record(register.freeHost(free))
	}
	for _, commit := range change.Commit {
		record(register.commitGroup(index, command, commit))
	}
	return result
}

// setGroup stores a group and updates groupByHost.
func (register *Register) setGroup(group *GroupRecord) {
	if old := register.state.Groups[group.Group]; old != nil {
		for _, host := range old.Hosts {
			delete(register.groupByHost, host)
		}
	}
	register.state.Groups[group.Group] = group
	if group.Phase == PhaseRetired {
		return
	}
	for _, host := range group.Hosts {
		register.groupByHost[host] = group.Group
	}
}

// pruneGroups drops the oldest retired group once more than maxRetiredGroups are
// kept. Nodes whose version is older than that group's last change get a full delta
// from then on.
func (register *Register) pruneGroups() {
	var retired []*GroupRecord
	for _, group := range register.state.Groups {
		if group.Phase == PhaseRetired {
			retired = append(retired, group)
		}
	}
	if len(retired) <= maxRetiredGroups {
		return
	}
	oldest := slices.MinFunc(retired, func(a, b *GroupRecord) int { return cmp.Compare(a.Version, b.Version) })
	register.state.MinDeltaVersion = max(register.state.MinDeltaVersion, oldest.Version)
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
