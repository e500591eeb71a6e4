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

func agreed(clientAccount id.ClientAccount, share int) contract.Contract {
	return contract.Contract{
		ClientAccount: clientAccount, TokenSHA256: []string{fmt.Sprintf("%064x", []byte(clientAccount))}, Share: share, Priority: contract.PriorityBatch,
		RequestsPerSecond: 1, TokensPerSecond: 1, Concurrency: 1, DeadlineMS: 1, MaxTokens: 1, Models: []id.Model{"m"},
	}
}

// naive is the plain meaning of contract changes.
type naive struct {
	revision map[id.ClientAccount]id.Revision
	share    map[id.ClientAccount]int
	answers  map[id.Change]register.Verdict
}

func (naive *naive) apply(change id.Change, base id.Revision, agreed contract.Contract) register.Verdict {
	if verdict, ok := naive.answers[change]; ok {
		return verdict
	}
	verdict := register.VerdictDone
	switch {
	case naive.revision[agreed.ClientAccount] > 0 && naive.share[agreed.ClientAccount] == agreed.Share:
		verdict = register.VerdictUnchanged
	case naive.revision[agreed.ClientAccount] != base:
		verdict = register.VerdictConflict
	default:
		naive.revision[agreed.ClientAccount]++
		naive.share[agreed.ClientAccount] = agreed.Share
	}
	naive.answers[change] = verdict
	return verdict
}

// TestContractsLikeNaive races changes with equal and old revisions and resends,
// over snapshots, and compares with the plain meaning. A node that follows by
// deltas from any earlier version ends with the same contracts.
func TestContractsLikeNaive(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 2))
		state := register.New()
		want := naive{map[id.ClientAccount]id.Revision{}, map[id.ClientAccount]int{}, map[id.Change]register.Verdict{}}
		behind := map[id.ClientAccount]register.ContractRecord{}
		behindAt := id.Version(0)
		for index := range id.Index(300) {
			clientAccount := id.ClientAccount(fmt.Sprintf("c%d", random.IntN(4)))
			base := want.revision[clientAccount]
			if random.IntN(3) == 0 {
				base = id.Revision(random.IntN(int(base) + 2))
			}
			change := id.Change(fmt.Sprint(random.IntN(200)))
			command := register.Command{Change: change, Term: 1, Clock: time.Duration(index) * time.Second}
			command.ApplyContract = &register.ApplyContract{Base: base, Contract: agreed(clientAccount, 1+random.IntN(5))}
			got := state.Apply(index+1, command)
			if verdict := want.apply(change, base, command.ApplyContract.Contract); got.Verdict != verdict {
				t.Fatalf("seed %d, change %s: verdict %s, want %s", seed, change, got.Verdict, verdict)
			}
			if got.Verdict == register.VerdictConflict && got.Revision > 0 && got.Winner == nil {
				t.Fatalf("seed %d: a conflict shows no winner", seed)
			}
			if random.IntN(40) == 0 {
				state = restored(t, state)
			}
			if random.IntN(20) == 0 {
				delta := state.Since(behindAt)
				for _, record := range delta.Contracts {
					behind[record.Contract.ClientAccount] = record
				}
				behindAt = delta.To
			}
		}
		for _, record := range state.Since(behindAt).Contracts {
			behind[record.Contract.ClientAccount] = record
		}
		for _, record := range state.Contracts() {
			clientAccount := record.Contract.ClientAccount
			if record.Revision != want.revision[clientAccount] || record.Contract.Share != want.share[clientAccount] {
				t.Errorf("seed %d: %s is at %d, want %d", seed, clientAccount, record.Revision, want.revision[clientAccount])
			}
			if diff := cmp.Diff(record, behind[clientAccount]); diff != "" {
				t.Errorf("seed %d: the follower differs:\n%s", seed, diff)
			}
		}
	}
}

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

// TestHostsAreAssignedOnce is a table of assignments that are refused.
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
		{"a repair from an older number", []register.Command{commit("g", "a", "b"), repair(1, "a", "c"), repair(1, "a", "d")}, register.VerdictConflict},
		{"a free from an older number", []register.Command{commit("g", "a", "b"), repair(1, "a", "c"), {FreeHost: &register.FreeHost{Host: "b", Base: 1}}}, register.VerdictConflict},
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

// TestLedger is a table of what becomes of a key.
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
	lose := register.Command{MarkOwnerLost: &register.MarkOwnerLost{Owner: register.Owner{Node: "n"}}}
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
		{"after its owner was lost", []register.Command{begin("1"), lose, begin("2")}, register.VerdictKnown, register.CallUnknown},
		{"an answer after the owner was given up", []register.Command{begin("1"), lose, end("1", answered), begin("2")}, register.VerdictKnown, register.CallDone},
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

// TestRefusalsAreTheSameAtEachVoter applies one command to many equal states; the
// answer is part of the state, so it may not depend on the order of a map.
func TestRefusalsAreTheSameAtEachVoter(t *testing.T) {
	answers := map[string]bool{}
	for range 50 {
		state := register.New()
		clash := agreed("z", 1)
		clash.TokenSHA256 = nil
		for index, clientAccount := range []id.ClientAccount{"a", "b", "c", "d"} {
			one := agreed(clientAccount, 1)
			clash.TokenSHA256 = append(clash.TokenSHA256, one.TokenSHA256...)
			state.Apply(id.Index(index+1), register.Command{ApplyContract: &register.ApplyContract{Contract: one}})
		}
		got := state.Apply(9, register.Command{ApplyContract: &register.ApplyContract{Contract: clash}})
		answers[string(got.Verdict)+got.Reason] = true
	}
	if len(answers) != 1 {
		t.Errorf("voters would answer differently: %v", answers)
	}
}
