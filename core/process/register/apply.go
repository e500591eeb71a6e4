package register

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"carobline.dev/core/id"
	"carobline.dev/core/version/routing"
)

// Apply executes one committed command and returns its result. A command whose
// Change was applied before, within the time that results are kept, changes
// nothing but the state's clock and gets the earlier result.
func (register *Register) Apply(index id.Index, command Command) Result {
	register.state.Clock.advance(command.Term, command.Clock)
	cache, retention := &register.state.Changes, changeRetention
	if command.BeginCall != nil || command.FinishCall != nil {
		cache, retention = &register.state.Attempts, attemptRetention
	}
	if result, ok := cache.find(command.Change); ok {
		return result
	}
	result := register.apply(index, command)
	cache.add(command.Change, register.state.Clock.Elapsed, result, retention)
	return result
}

func (register *Register) apply(index id.Index, command Command) Result {
	switch {
	case command.ApplyContract != nil:
		return register.applyContract(index, command, *command.ApplyContract)
	case command.RetireContract != nil:
		return register.retireContract(index, command, *command.RetireContract)
	case command.CreateStop != nil:
		return register.createStop(index, command, *command.CreateStop)
	case command.FinishStop != nil:
		return register.finishStop(index, command, *command.FinishStop)
	case command.CommitGroup != nil:
		return register.commitGroup(index, command, *command.CommitGroup)
	case command.RepairGroup != nil:
		return register.repairGroup(index, command, *command.RepairGroup)
	case command.DrainGroup != nil:
		return register.drainGroup(index, command, *command.DrainGroup)
	case command.RetireGroup != nil:
		return register.retireGroup(index, command, *command.RetireGroup)
	case command.FreeHost != nil:
		return register.freeHost(*command.FreeHost)
	case command.ChangeGroups != nil:
		return register.changeGroups(index, command, command.ChangeGroups)
	case command.BeginCall != nil:
		return register.beginCall(command, *command.BeginCall)
	case command.FinishCall != nil:
		return register.finishCall(*command.FinishCall)
	case command.MarkOwnerLost != nil:
		return register.markOwnerLost(*command.MarkOwnerLost)
	case command.RecordVoters != nil:
		return register.recordChange(index, command, "voters_change", "voters", jsonText(command.RecordVoters.From), jsonText(command.RecordVoters.To))
	case command.ExpireCalls != nil:
		return register.expireCalls()
	case command.BlockParts != nil:
		return register.blockParts(index, command, command.BlockParts)
	case command.GrantTrial != nil:
		return register.grantTrial(index, command, command.GrantTrial)
	case command.UnblockParts != nil:
		return register.unblockParts(index, command, command.UnblockParts)
	case command.StartEvacuation != nil:
		return register.startEvacuation(index, command, command.StartEvacuation)
	case command.FinishEvacuation != nil:
		return register.finishEvacuation(index, command, command.FinishEvacuation)
	case command.Declare != nil:
		return register.declare(index, command, &command.Declare.Declaration)
	default:
		return refused("unknown command")
	}
}

func refused(format string, arguments ...any) Result {
	return Result{Verdict: VerdictRefused, Reason: fmt.Sprintf(format, arguments...)}
}

// recordChange sets the state's version to the index, so that nodes get the change
// in their next delta, and adds an entry to the audit trail.
func (register *Register) recordChange(index id.Index, command Command, action, subject, from, to string) Result {
	register.state.Version = id.Version(index)
	register.state.Audit = append(register.state.Audit, AuditEntry{
		Index: index, At: command.At, Actor: command.Actor, Change: command.Change,
		Action: action, Subject: subject, From: from, To: to,
	})
	if excess := len(register.state.Audit) - maxAuditEntries; excess > 0 {
		register.state.Audit = slices.Delete(register.state.Audit, 0, excess)
	}
	return Result{Verdict: VerdictDone, Version: id.Version(index)}
}

func (register *Register) applyContract(index id.Index, command Command, apply ApplyContract) Result {
	if err := apply.Contract.Validate(); err != nil {
		return refused("%v", err)
	}
	clientAccount := apply.Contract.ClientAccount
	old := register.state.Contracts[clientAccount]
	if old != nil && !old.Retired && reflect.DeepEqual(old.Contract, apply.Contract) {
		return Result{Verdict: VerdictUnchanged, Revision: old.Revision, Version: old.Version}
	}
	if conflict, ok := revisionConflict(old, apply.Base); ok {
		return conflict
	}
	if owner, ok := register.tokenOwner(apply); ok {
		return refused("field token_sha256: a token of %s is already that of %s", clientAccount, owner)
	}
	updated := &ContractRecord{Contract: apply.Contract, Revision: apply.Base + 1, Version: id.Version(index)}
	register.state.Contracts[clientAccount] = updated
	result := register.recordChange(index, command, "contract_apply", string(clientAccount), jsonText(old), jsonText(updated))
	result.Revision = updated.Revision
	return result
}

// declare puts a declaration in force when its revision is higher than that of the
// current one. Otherwise it returns VerdictUnchanged, so that neither a resend nor
// a change that a later one has overtaken is tried again.
func (register *Register) declare(index id.Index, command Command, declaration *routing.Declaration) Result {
	if err := declaration.Validate(); err != nil {
		return refused("%v", err)
	}
	old := register.state.Declared
	if old != nil && declaration.Revision <= old.Declaration.Revision {
		return Result{Verdict: VerdictUnchanged, Revision: old.Declaration.Revision, Version: old.Version}
	}
	from := ""
	if old != nil {
		from = jsonText(old.Declaration.Revision)
	}
	register.state.Declared = &DeclarationRecord{Declaration: *declaration, Version: id.Version(index)}
	result := register.recordChange(index, command, "declare", "routes", from, jsonText(declaration.Revision))
	result.Revision = declaration.Revision
	return result
}

// tokenOwner returns another client account whose contract holds one of the same
// tokens.
func (register *Register) tokenOwner(apply ApplyContract) (id.ClientAccount, bool) {
	// Sorted, since the result is part of the replicated state and must not depend
	// on the order of a map.
	for _, name := range slices.Sorted(maps.Keys(register.state.Contracts)) {
		record := register.state.Contracts[name]
		if name == apply.Contract.ClientAccount || record.Retired {
			continue
		}
		for _, hash := range apply.Contract.TokenSHA256 {
			if slices.Contains(record.Contract.TokenSHA256, hash) {
				return name, true
			}
		}
	}
	return "", false
}

// revisionConflict returns a conflict unless base is the current revision, which is
// 0 while there is no contract.
func revisionConflict(old *ContractRecord, base id.Revision) (Result, bool) {
	current := id.Revision(0)
	if old != nil {
		current = old.Revision
	}
	if base == current {
		return Result{}, false
	}
	result := Result{Verdict: VerdictConflict, Revision: current, Reason: fmt.Sprintf("revision %d stands, the change was made from %d", current, base)}
	if old != nil {
		winner := *old
		result.Winner = &winner
	}
	return result, true
}

func (register *Register) retireContract(index id.Index, command Command, retire RetireContract) Result {
	old := register.state.Contracts[retire.ClientAccount]
	if old == nil {
		return refused("customer %s has no contract", retire.ClientAccount)
	}
	if old.Retired {
		return Result{Verdict: VerdictUnchanged, Revision: old.Revision, Version: old.Version}
	}
	if conflict, ok := revisionConflict(old, retire.Base); ok {
		return conflict
	}
	updated := *old
	updated.Retired = true
	updated.Revision++
	updated.Version = id.Version(index)
	register.state.Contracts[retire.ClientAccount] = &updated
	result := register.recordChange(index, command, "contract_retire", string(retire.ClientAccount), jsonText(old), jsonText(&updated))
	result.Revision = updated.Revision
	return result
}

func (register *Register) createStop(index id.Index, command Command, create CreateStop) Result {
	if create.Stop == "" || create.Target == "" {
		return refused("a stop needs a name and a target")
	}
	if _, ok := register.state.Stops[create.Stop]; ok {
		return refused("stop %s exists", create.Stop)
	}
	register.state.Stops[create.Stop] = &StopRecord{CreateStop: create, Actor: command.Actor, CreatedAt: command.At, Version: id.Version(index)}
	return register.recordChange(index, command, "stop_create", string(create.Stop), "", jsonText(create))
}

func (register *Register) finishStop(index id.Index, command Command, finish FinishStop) Result {
	old := register.state.Stops[finish.Stop]
	if old == nil {
		return refused("stop %s is not known", finish.Stop)
	}
	if old.Done {
		return Result{Verdict: VerdictUnchanged, Version: old.Version}
	}
	updated := *old
	updated.Done, updated.FinishedAt, updated.Version = true, command.At, id.Version(index)
	register.state.Stops[finish.Stop] = &updated
	register.pruneStops()
	return register.recordChange(index, command, "stop_finish", string(finish.Stop), "running", "done")
}

// pruneStops drops the oldest finished stop once more than maxFinishedStops are
// kept. Nodes whose version is older than that stop's last change get a full delta
// from then on.
func (register *Register) pruneStops() {
	var finished []*StopRecord
	for _, stop := range register.state.Stops {
		if stop.Done {
			finished = append(finished, stop)
		}
	}
	if len(finished) <= maxFinishedStops {
		return
	}
	oldest := slices.MinFunc(finished, func(a, b *StopRecord) int { return cmp.Compare(a.Version, b.Version) })
	register.state.MinDeltaVersion = max(register.state.MinDeltaVersion, oldest.Version)
	delete(register.state.Stops, oldest.Stop)
}

// jsonText returns a value as JSON for the audit trail, and "" for none.
func jsonText(value any) string {
	switch record := value.(type) {
	case *ContractRecord:
		if record == nil {
			return ""
		}
	case nil:
		return ""
	}
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
