package run_test

import (
	"bytes"
	"context"
	"os/exec"
	"strings"
	"testing"

	"carobline.dev/soak/process/run"
)

// TestBadUsageIsNamed guards against a run with another seed or length than was meant.
func TestBadUsageIsNamed(t *testing.T) {
	for _, test := range []struct {
		arguments []string
		named     string
	}{
		{[]string{"-sead", "7"}, "-sead"},
		{[]string{"-seed", "seven"}, "seven"},
		{[]string{"-seed", "-1"}, "-1"},
		{[]string{"-minutes", "long"}, "long"},
		{[]string{"-minutes", "0"}, "-minutes 0"},
		{[]string{"-minutes", "NaN"}, "-minutes NaN"},
		{[]string{"-seed", "7", "clean"}, "clean"},
	} {
		var out, diagnostics bytes.Buffer
		code := run.Main(context.Background(), test.arguments, &out, &diagnostics)
		line, _, _ := strings.Cut(diagnostics.String(), "\n")
		if code != run.ExitUsage || !strings.Contains(line, test.named) || out.Len() > 0 {
			t.Errorf("%v: exit code %d, %q, %q", test.arguments, code, line, out.String())
		}
	}
}

// TestSeedKeepsAllPromises guards against promises that real processes break under faults. It
// runs one seed for half a minute; script/soak runs others.
func TestSeedKeepsAllPromises(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "carobline.dev/caroblined", "carobline.dev/fakeengine", "carobline.dev/soak/standin")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	var out, diagnostics bytes.Buffer
	code := run.Main(t.Context(), []string{"-programs", programs, "-seed", "1", "-minutes", "0.5"}, &out, &diagnostics)
	t.Logf("%s%s", out.String(), diagnostics.String())
	if code != run.ExitClean {
		t.Errorf("exit code %d", code)
	}
}
