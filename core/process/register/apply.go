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

// Apply carries out one committed command.
func (register *Register) Apply(index id.Index, command Command) Result {
	register.state.Clock.advance(command.Term, command.Clock)
	memory, keep := &register.state.Changes, changeMemory
	if command.BeginCall != nil || command.FinishCall != nil {
		memory, keep = &register.state.Attempts, attemptMemory
	}
	if result, ok := memory.find(command.Change); ok {
		return result
	}
	result := register.apply(index, command)
	memory.add(command.Change, register.state.Clock.Elapsed, result, keep)
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
	case command.BeginCall != nil:
		return register.beginCall(command, *command.BeginCall)
	case command.FinishCall != nil:
		return register.finishCall(*command.FinishCall)
	case command.MarkOwnerLost != nil:
		return register.loseOwner(*command.MarkOwnerLost)
	case command.RecordVoters != nil:
		return register.done(index, command, "voters_change", "voters", text(command.RecordVoters.From), text(command.RecordVoters.To))
	case command.ExpireCalls != nil:
		return register.expireCalls()
	case command.Declare != nil:
		return register.declare(index, command, &command.Declare.Declaration)
	default:
		return refused("unknown command")
	}
}

func refused(format string, arguments ...any) Result {
	return Result{Verdict: VerdictRefused, Reason: fmt.Sprintf(format, arguments...)}
}

// done marks the state changed for nodes and writes the audit trail.
func (register *Register) done(index id.Index, command Command, action, subject, from, to string) Result {
	register.state.Version = id.Version(index)
	register.state.Audit = append(register.state.Audit, AuditEntry{
		Index: index, At: command.At, Actor: command.Actor, Change: command.Change,
		Action: action, Subject: subject, From: from, To: to,
	})
	if excess := len(register.state.Audit) - auditEntries; excess > 0 {
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
	if conflict, ok := conflicts(old, apply.Base); ok {
		return conflict
	}
	if owner, ok := register.tokenOwner(apply); ok {
		return refused("field token_sha256: a token of %s is already that of %s", clientAccount, owner)
	}
	fresh := &ContractRecord{Contract: apply.Contract, Revision: apply.Base + 1, Version: id.Version(index)}
	register.state.Contracts[clientAccount] = fresh
	result := register.done(index, command, "contract_apply", string(clientAccount), text(old), text(fresh))
	result.Revision = fresh.Revision
	return result
}

// declare takes a declaration of a higher revision. One that isn't higher is
// answered as unchanged, so that a resend and an overtaken change both end.
func (register *Register) declare(index id.Index, command Command, fresh *routing.Declaration) Result {
	if err := fresh.Validate(); err != nil {
		return refused("%v", err)
	}
	old := register.state.Declared
	if old != nil && fresh.Revision <= old.Declaration.Revision {
		return Result{Verdict: VerdictUnchanged, Revision: old.Declaration.Revision, Version: old.Version}
	}
	from := ""
	if old != nil {
		from = text(old.Declaration.Revision)
	}
	register.state.Declared = &DeclarationRecord{Declaration: *fresh, Version: id.Version(index)}
	result := register.done(index, command, "declare", "routes", from, text(fresh.Revision))
	result.Revision = fresh.Revision
	return result
}

// tokenOwner finds another customer that holds one of the same tokens.
func (register *Register) tokenOwner(apply ApplyContract) (id.ClientAccount, bool) {
	// In order, since the answer is part of the state.
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

func conflicts(old *ContractRecord, base id.Revision) (Result, bool) {
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
	if conflict, ok := conflicts(old, retire.Base); ok {
		return conflict
	}
	fresh := *old
	fresh.Retired = true
	fresh.Revision++
	fresh.Version = id.Version(index)
	register.state.Contracts[retire.ClientAccount] = &fresh
	result := register.done(index, command, "contract_retire", string(retire.ClientAccount), text(old), text(&fresh))
	result.Revision = fresh.Revision
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
	return register.done(index, command, "stop_create", string(create.Stop), "", text(create))
}

func (register *Register) finishStop(index id.Index, command Command, finish FinishStop) Result {
	old := register.state.Stops[finish.Stop]
	if old == nil {
		return refused("stop %s is not known", finish.Stop)
	}
	if old.Done {
		return Result{Verdict: VerdictUnchanged, Version: old.Version}
	}
	fresh := *old
	fresh.Done, fresh.Finished, fresh.Version = true, command.At, id.Version(index)
	register.state.Stops[finish.Stop] = &fresh
	register.pruneStops()
	return register.done(index, command, "stop_finish", string(finish.Stop), "running", "done")
}

func (register *Register) pruneStops() {
	var finished []*StopRecord
	for _, stop := range register.state.Stops {
		if stop.Done {
			finished = append(finished, stop)
		}
	}
	if len(finished) <= finishedStops {
		return
	}
	oldest := slices.MinFunc(finished, func(a, b *StopRecord) int { return cmp.Compare(a.Version, b.Version) })
	register.state.Horizon = max(register.state.Horizon, oldest.Version)
	delete(register.state.Stops, oldest.Stop)
}

func text(value any) string {
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
