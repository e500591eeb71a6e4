package apply_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/command/contract/apply"
	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/contract"
)

func testContract(clientAccount id.ClientAccount, share int) contract.Contract {
	return contract.Contract{
		ClientAccount: clientAccount, TokenSHA256: []string{strings.Repeat("a", 64)}, Share: share, Priority: contract.PriorityBatch,
		RequestsPerSecond: 1, TokensPerSecond: 1, Concurrency: 1, DeadlineMS: 1, MaxTokens: 1, Models: []id.Model{"m"},
	}
}

// fakeClient returns the given contracts and result, and records the changes.
type fakeClient struct {
	present []register.ContractRecord
	result  register.Result
	applied []operator.ApplyRequest
}

func (client *fakeClient) Contracts(context.Context) (operator.ContractList, error) {
	return operator.ContractList{Contracts: client.present}, nil
}

func (client *fakeClient) Apply(_ context.Context, request operator.ApplyRequest) (controller.Outcome, error) {
	client.applied = append(client.applied, request)
	return controller.Outcome{Result: &client.result, InForce: true}, nil
}

// TestRun checks how many changes Run sends for a folder of files, what it
// prints and its exit code.
func TestRun(t *testing.T) {
	current := []register.ContractRecord{{Contract: testContract("acme", 2), Revision: 7}}
	done := register.Result{Verdict: register.VerdictDone, Revision: 8}
	conflict := register.Result{Verdict: register.VerdictConflict, Reason: "revision 8 stands", Winner: &register.ContractRecord{Contract: testContract("acme", 9)}}
	tests := []struct {
		name    string
		files   map[string]any
		dryRun  bool
		present []register.ContractRecord
		result  register.Result
		changes int
		output  string
		code    factory.ExitCode
	}{
		{"a new one", map[string]any{"a.json": testContract("acme", 1)}, false, nil, done, 1, "create", 0},
		{"the same again", map[string]any{"a.json": testContract("acme", 2)}, false, current, done, 0, "unchanged", 0},
		{"a change", map[string]any{"a.json": testContract("acme", 3)}, false, current, done, 1, "share 2 -> 3", 0},
		{"a change, dry", map[string]any{"a.json": testContract("acme", 3)}, true, current, done, 0, "would change", 0},
		{"a conflict", map[string]any{"a.json": testContract("acme", 3)}, false, current, conflict, 1, `"share":9`, factory.ExitConflict},
		{"one bad file of two changes nothing", map[string]any{"a.json": testContract("acme", 1), "b.json": testContract("Bad Name", 1)}, false, nil, done, 0, "b.json", factory.ExitUsage},
		{"an unknown field", map[string]any{"a.json": map[string]int{"shares": 1}}, false, nil, done, 0, "shares", factory.ExitUsage},
		{"one customer twice", map[string]any{"a.json": testContract("acme", 1), "b.json": testContract("acme", 2)}, false, nil, done, 0, "both for customer acme", factory.ExitUsage},
		{"an empty folder", nil, false, nil, done, 0, "no .json files", factory.ExitUsage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			for name, content := range test.files {
				data, err := json.Marshal(content)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			client := &fakeClient{present: test.present, result: test.result}
			var out bytes.Buffer
			err := apply.Run(context.Background(), &apply.Options{
				Path: folder, DryRun: test.dryRun, Client: client, Printer: printer.New(&out, false),
				NewChange: func() id.Change { return "change" },
			})
			var exitError *factory.Error
			if test.code == 0 && err != nil {
				t.Fatal(err)
			}
			if test.code != 0 && (!errors.As(err, &exitError) || exitError.Code != test.code) {
				t.Fatalf("error %v, want exit code %d", err, test.code)
			}
			output := out.String()
			if err != nil {
				output += err.Error()
			}
			if !strings.Contains(output, test.output) {
				t.Errorf("output %q doesn't contain %q", output, test.output)
			}
			if len(client.applied) != test.changes {
				t.Errorf("%d changes sent, want %d", len(client.applied), test.changes)
			}
			if test.changes > 0 && len(test.present) > 0 && client.applied[0].Base != test.present[0].Revision {
				t.Errorf("first change has base revision %d, not that of the current contract", client.applied[0].Base)
			}
		})
	}
}
