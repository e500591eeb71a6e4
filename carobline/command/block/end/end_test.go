package end_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"carobline.dev/carobline/command/block/end"
	"carobline.dev/carobline/connection/printer"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
)

// fakeClient has one block.
type fakeClient struct{}

func (fakeClient) EndBlock(_ context.Context, request operator.EndBlockRequest) (controller.Outcome, error) {
	if request.Block != "parts-7" || request.Change != "change" {
		return controller.Outcome{Result: &register.Result{Verdict: register.VerdictRefused, Reason: "block " + string(request.Block) + " is not known"}}, nil
	}
	return controller.Outcome{Result: &register.Result{Verdict: register.VerdictDone}}, nil
}

// Guards against an end that is reported though there is no such block.
func TestRun(t *testing.T) {
	for block, want := range map[id.PartsBlock]string{"parts-7": "ended", "parts-8": "is not known"} {
		var out bytes.Buffer
		err := end.Run(context.Background(), &end.Options{Block: block, Client: fakeClient{}, Printer: printer.New(&out, false), NewChange: func() id.Change { return "change" }})
		output := out.String()
		if err != nil {
			output += err.Error()
		}
		if !strings.Contains(output, want) || (err == nil) != (want == "ended") {
			t.Errorf("%s: output %q, error %v; want %q", block, output, err, want)
		}
	}
}
