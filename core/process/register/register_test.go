package register_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/contract"
)

func newContract(clientAccount id.ClientAccount, share int) contract.Contract {
	return contract.Contract{
		ClientAccount: clientAccount, TokenSHA256: []string{fmt.Sprintf("%064x", []byte(clientAccount))}, Share: share, Priority: contract.PriorityBatch,
		RequestsPerSecond: 1, TokensPerSecond: 1, Concurrency: 1, DeadlineMS: 1, MaxTokens: 1, Models: []id.Model{"m"},
	}
}

// contractModel is a reference implementation of contract changes.
type contractModel struct {
	revisionByClientAccount map[id.ClientAccount]id.Revision
	shareByClientAccount    map[id.ClientAccount]int
	verdictByChange         map[id.Change]register.Verdict
}

func (model *contractModel) apply(change id.Change, base id.Revision, changed contract.Contract) register.Verdict {
	if verdict, ok := model.verdictByChange[change]; ok {
		return verdict
	}
	verdict := register.VerdictDone
	switch {
	case model.revisionByClientAccount[changed.ClientAccount] > 0 && model.shareByClientAccount[changed.ClientAccount] == changed.Share:
		verdict = register.VerdictUnchanged
	case model.revisionByClientAccount[changed.ClientAccount] != base:
		verdict = register.VerdictConflict
	default:
		model.revisionByClientAccount[changed.ClientAccount]++
		model.shareByClientAccount[changed.ClientAccount] = changed.Share
	}
	model.verdictByChange[change] = verdict
	return verdict
}

// TestContractsMatchModel applies contract changes from current and outdated
// revisions and resends, with snapshots and restores between them, and compares the
// verdicts with the model. A node that follows by deltas must end with the same
// contracts.
func TestContractsMatchModel(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		state := register.New()
		model := contractModel{map[id.ClientAccount]id.Revision{}, map[id.ClientAccount]int{}, map[id.Change]register.Verdict{}}
		followerContractByClientAccount := map[id.ClientAccount]register.ContractRecord{}
		followerVersion := id.Version(0)
		for index := range id.Index(300) {
			clientAccount := id.ClientAccount(fmt.Sprintf("c%d", random.IntN(4)))
			base := model.revisionByClientAccount[clientAccount]
			if random.IntN(3) == 0 {
				base = id.Revision(random.IntN(int(base) + 2))
			}
			change := id.Change(fmt.Sprint(random.IntN(200)))
			command := register.Command{Change: change, Term: 1, Clock: time.Duration(index) * time.Second}
			command.ApplyContract = &register.ApplyContract{Base: base, Contract: newContract(clientAccount, 1+random.IntN(5))}
			got := state.Apply(index+1, command)
			if verdict := model.apply(change, base, command.ApplyContract.Contract); got.Verdict != verdict {
				t.Fatalf("seed %d, change %s: verdict %s, want %s", seed, change, got.Verdict, verdict)
			}
			if got.Verdict == register.VerdictConflict && got.Revision > 0 && got.Winner == nil {
				t.Fatalf("seed %d: the conflict has no winner", seed)
			}
			if random.IntN(40) == 0 {
				state = restored(t, state)
			}
			if random.IntN(20) == 0 {
				delta := state.Since(followerVersion)
				for _, record := range delta.Contracts {
					followerContractByClientAccount[record.Contract.ClientAccount] = record
				}
				followerVersion = delta.To
			}
		}
		for _, record := range state.Since(followerVersion).Contracts {
			followerContractByClientAccount[record.Contract.ClientAccount] = record
		}
		for _, record := range state.Contracts() {
			clientAccount := record.Contract.ClientAccount
			if record.Revision != model.revisionByClientAccount[clientAccount] || record.Contract.Share != model.shareByClientAccount[clientAccount] {
				t.Errorf("seed %d: contract of %s has revision %d, want %d and the share of that revision", seed, clientAccount, record.Revision, model.revisionByClientAccount[clientAccount])
			}
			if diff := cmp.Diff(record, followerContractByClientAccount[clientAccount]); diff != "" {
				t.Errorf("seed %d: the node that follows by deltas differs:\n%s", seed, diff)
			}
		}
	}
}

// restored returns the state after a snapshot and a restore.
func restored(t *testing.T, state *register.Register) *register.Register {
	t.Helper()
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := register.Restore(data)
	if err != nil {
		t.Fatal(err)
	}
	return again
}

// TestHostsAreAssignedOnce checks that a host can't be in two groups, nor in a new
// one before it was freed, and that changes with an outdated fencing token conflict.
func TestHostsAreAssignedOnce(t *testing.T) {
	commit := func(group id.Group, hosts ...id.Host) register.Command {
		return register.Command{CommitGroup: &register.CommitGroup{Group: group, Model: "m", Hosts: hosts}}
	}
	repair := func(base id.FencingToken, hosts ...id.Host) register.Command {
		return register.Command{RepairGroup: &register.RepairGroup{Group: "g", Base: base, Hosts: hosts}}
	}
	free := register.Command{FreeHost: &register.FreeHost{Host: "b", Base: 2}}
	tests := []struct {
		name     string
		commands []register.Command
		want     register.Verdict
	}{
		{"a host of another group", []register.Command{commit("g", "a", "b"), commit("h", "b", "c")}, register.VerdictRefused},
		{"a host twice", []register.Command{commit("g", "a", "a")}, register.VerdictRefused},
		{"a host that isn't freed", []register.Command{commit("g", "a", "b"), repair(1, "a", "c"), commit("h", "b", "d")}, register.VerdictRefused},
		{"a host that is freed", []register.Command{commit("g", "a", "b"), repair(1, "a", "c"), free, commit("h", "b", "d")}, register.VerdictDone},
		{"a repair with an older fencing token", []register.Command{commit("g", "a", "b"), repair(1, "a", "c"), repair(1, "a", "d")}, register.VerdictConflict},
		{"a free with an older fencing token", []register.Command{commit("g", "a", "b"), repair(1, "a", "c"), {FreeHost: &register.FreeHost{Host: "b", Base: 1}}}, register.VerdictConflict},
		{"a repair to a smaller group", []register.Command{commit("g", "a", "b"), repair(1, "a")}, register.VerdictRefused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := register.New()
			var got register.Result
			for index, command := range test.commands {
				got = state.Apply(id.Index(index+1), command)
			}
			if got.Verdict != test.want {
				t.Errorf("verdict %s (%s), want %s", got.Verdict, got.Reason, test.want)
			}
		})
	}
}

// TestLedger checks the result of the last command of a sequence on one key, with a
// snapshot and restore before each command.
func TestLedger(t *testing.T) {
	key := register.CallKey{ClientAccount: "c", Service: "s", Key: "k"}
	begin := func(attempt id.Change) register.Command {
		return register.Command{Change: attempt, Term: 1, BeginCall: &register.BeginCall{Key: key, BodyHash: "h", Retention: time.Hour, Owner: register.Owner{Node: "n"}}}
	}
	end := func(attempt id.Change, finish register.FinishCall) register.Command {
		finish.Key, finish.Attempt = key, attempt
		return register.Command{Change: attempt + "-end", Term: 1, FinishCall: &finish}
	}
	answered := register.FinishCall{Ran: true, Answer: &register.Answer{Status: 201}}
	expire := register.Command{Term: 1, Clock: 2 * time.Hour, ExpireCalls: &register.ExpireCalls{}}
	markLost := register.Command{MarkOwnerLost: &register.MarkOwnerLost{Owner: register.Owner{Node: "n"}}}
	tests := []struct {
		name     string
		commands []register.Command
		verdict  register.Verdict
		state    register.CallState
	}{
		{"the first attempt", []register.Command{begin("1")}, register.VerdictGranted, ""},
		{"its resend", []register.Command{begin("1"), begin("1")}, register.VerdictGranted, ""},
		{"another attempt meanwhile", []register.Command{begin("1"), begin("2")}, register.VerdictKnown, register.CallInFlight},
		{"after the answer", []register.Command{begin("1"), end("1", answered), begin("2")}, register.VerdictKnown, register.CallDone},
		{"after it provably didn't run", []register.Command{begin("1"), end("1", register.FinishCall{NotRun: true}), begin("2")}, register.VerdictGranted, ""},
		{"after its outcome was lost", []register.Command{begin("1"), end("1", register.FinishCall{}), begin("2")}, register.VerdictKnown, register.CallUnknown},
		{"after its owner was lost", []register.Command{begin("1"), markLost, begin("2")}, register.VerdictKnown, register.CallUnknown},
		{"an answer after the owner was marked as lost", []register.Command{begin("1"), markLost, end("1", answered), begin("2")}, register.VerdictKnown, register.CallDone},
		{"after the answer has expired", []register.Command{begin("1"), end("1", answered), expire, begin("2")}, register.VerdictKnown, register.CallExpired},
		{"an attempt that was given up before it was recorded", []register.Command{end("1", register.FinishCall{NotRun: true}), begin("1")}, register.VerdictRefused, ""},
		{"an attempt after one that was given up", []register.Command{end("1", register.FinishCall{NotRun: true}), begin("1"), begin("2")}, register.VerdictGranted, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := register.New()
			var got register.Result
			for index, command := range test.commands {
				state = restored(t, state)
				got = state.Apply(id.Index(index+1), command)
			}
			if got.Verdict != test.verdict {
				t.Fatalf("verdict %s (%s), want %s", got.Verdict, got.Reason, test.verdict)
			}
			if got.Call != nil && got.Call.State != test.state {
				t.Errorf("state %s, want %s", got.Call.State, test.state)
			}
		})
	}
}

// TestRefusalsAreTheSameAtEachVoter applies one command to many equal states. The
// result is part of the replicated state, so it must not depend on the order of a
// map.
func TestRefusalsAreTheSameAtEachVoter(t *testing.T) {
	results := map[string]bool{}
	for range 50 {
		state := register.New()
		clash := newContract("z", 1)
		clash.TokenSHA256 = nil
		for index, clientAccount := range []id.ClientAccount{"a", "b", "c", "d"} {
			one := newContract(clientAccount, 1)
			clash.TokenSHA256 = append(clash.TokenSHA256, one.TokenSHA256...)
			state.Apply(id.Index(index+1), register.Command{ApplyContract: &register.ApplyContract{Contract: one}})
		}
		got := state.Apply(9, register.Command{ApplyContract: &register.ApplyContract{Contract: clash}})
		results[string(got.Verdict)+got.Reason] = true
	}
	if len(results) != 1 {
		t.Errorf("the result depends on the order of a map: %v", results)
	}
}
