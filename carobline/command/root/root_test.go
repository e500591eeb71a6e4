package root_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"carobline.dev/carobline/command/root"
	"carobline.dev/carobline/process/factory"
)

// TestExitCodes is a table of command lines that never reach an entry host.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		line string
		code factory.ExitCode
		says string
	}{
		{"", 0, "USAGE"},
		{"help", 0, "EXAMPLES"},
		{"contract frob", 2, "there is no command"},
		{"contract apply", 2, "-f FILE"},
		{"contract apply --frob", 2, "frob"},
		{"contract apply --help", 0, "dry-run"},
		{"contract list", 2, "CAROBLINE_ENTRIES"},
		{"contract show", 2, "name one customer"},
		{"stop create --kind moon --target x", 2, "--kind"},
		{"stop create --kind node", 2, "--target"},
		{"voter set", 2, "name all nodes"},
		{"status --json", 2, "CAROBLINE_TOKEN_FILE"},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			var out, diagnostics bytes.Buffer
			shared := factory.New(strings.NewReader(""), &out, &diagnostics, func(string) string { return "" })
			if code := root.New(shared).Run(context.Background(), strings.Fields(test.line)); code != test.code {
				t.Errorf("exit code %d, want %d; %s", code, test.code, diagnostics.String())
			}
			if shown := out.String() + diagnostics.String(); !strings.Contains(shown, test.says) {
				t.Errorf("shown %q, want %q in it", shown, test.says)
			}
		})
	}
}
