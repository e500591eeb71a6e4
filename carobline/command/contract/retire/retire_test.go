package retire_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"carobline.dev/carobline/command/contract/retire"
	"carobline.dev/carobline/connection/printer"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/contract"
)

// fakeClient has one contract and records the requests to end it.
type fakeClient struct {
	requests []operator.RetireRequest
}

func (client *fakeClient) Contracts(context.Context) (operator.ContractList, error) {
	return operator.ContractList{Contracts: []register.ContractRecord{
		{Contract: contract.Contract{ClientAccount: "acme"}, Revision: 7},
	}}, nil
}

func (client *fakeClient) Retire(_ context.Context, request operator.RetireRequest) (controller.Outcome, error) {
	client.requests = append(client.requests, request)
	return controller.Outcome{Result: &register.Result{Verdict: register.VerdictDone}}, nil
}

// TestRun guards against a contract that is ended though it was changed meanwhile, and
// against a request for a customer that has none.
func TestRun(t *testing.T) {
	for _, test := range []struct {
		account id.ClientAccount
		bases   []id.Revision
		want    string
	}{
		{"acme", []id.Revision{7}, "retired"},
		{"other", nil, "customer other has no contract"},
	} {
		var out bytes.Buffer
		client := &fakeClient{}
		err := retire.Run(context.Background(), &retire.Options{
			ClientAccount: test.account, Client: client, Printer: printer.New(&out, false), NewChange: func() id.Change { return "change" },
		})
		output := out.String()
		if err != nil {
			output += err.Error()
		}
		if !strings.Contains(output, test.want) || len(client.requests) != len(test.bases) {
			t.Errorf("%s: output %q, want %q; %d requests, want %d", test.account, output, test.want, len(client.requests), len(test.bases))
		}
		for index, request := range client.requests {
			if request.Base != test.bases[index] {
				t.Errorf("%s: base revision %d, want %d", test.account, request.Base, test.bases[index])
			}
		}
	}
}
