package register_test

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/routing"
)

func declare(state *register.Register, index id.Index, revision id.Revision) {
	state.Apply(index, register.Command{Change: id.Change(rune('a' + revision)), Declare: &register.Declare{Declaration: routing.Declaration{
		Revision: revision, Services: []routing.Service{{Name: "s"}}, Source: json.RawMessage(`{"as":"sent"}`),
		Routes: []routing.Route{{Name: "r", Host: "h", PathPrefix: "/", Repeat: routing.RepeatSafe, TimeoutMS: 1, Backends: []routing.Backend{{Service: "s", Weight: 1}}}},
	}}})
}

// Guards against a leader that packs each declaration again for each node.
func TestDeclarationIsPackedOnceForAllNodes(t *testing.T) {
	state := register.New()
	declare(state, 1, 1)
	first := state.Since(0).Declared
	if again := state.Since(0).Declared; again != first {
		t.Error("two nodes get different packed declarations of one version")
	}
	declare(state, 2, 2)
	second := state.Since(1).Declared
	if second == first || second.Record().Declaration.Revision != 2 {
		t.Errorf("after revision 2 nodes get revision %d", second.Record().Declaration.Revision)
	}
}

func TestPackedDeclarationRoundTrip(t *testing.T) {
	state := register.New()
	declare(state, 1, 1)
	data, err := json.Marshal(state.Since(0))
	if err != nil {
		t.Fatal(err)
	}
	var decoded register.Delta
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	want := *state.Declared()
	want.Declaration.Source = nil
	if diff := cmp.Diff(&want, decoded.Declared.Record()); diff != "" {
		t.Error(diff)
	}
	for _, damaged := range []string{`{"declared":{"version":1,"gzip":"AAAA"}}`, `{"declared":{"version":1}}`} {
		if err := json.Unmarshal([]byte(damaged), &decoded); err == nil {
			t.Errorf("%s was decoded", damaged)
		}
	}
}

// Guards against an empty list of client accounts that a node takes for none, after the log, a
// snapshot or the leader's feed: it would ask no caller for a token (review/5).
func TestEmptyClientAccountsStayAListOnEveryWay(t *testing.T) {
	for name, accounts := range map[string][]routing.ClientAccount{"none": nil, "empty": {}, "one": {{Name: "k", TokenSHA256: []string{}}}} {
		command := register.Command{Change: "c", Declare: &register.Declare{Declaration: routing.Declaration{Revision: 1, ClientAccounts: accounts}}}
		entry, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		logged, err := register.DecodeCommand(entry)
		if err != nil {
			t.Fatal(err)
		}
		state := register.New()
		state.Apply(1, logged)
		snapshot, err := state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := register.Restore(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(restored.Since(0))
		if err != nil {
			t.Fatal(err)
		}
		var fed register.Delta
		if err := json.Unmarshal(data, &fed); err != nil {
			t.Fatal(err)
		}
		for way, declared := range map[string]routing.Declaration{
			"log": state.Declared().Declaration, "snapshot": restored.Declared().Declaration, "feed": fed.Declared.Record().Declaration,
		} {
			if got, want := routing.NewTable(&declared).RequiresToken(), accounts != nil; got != want {
				t.Errorf("%s, after the %s: a token is required: %v, want %v", name, way, got, want)
			}
		}
	}
}
