package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestInvalidInvocations checks that invalid flags and settings end the process
// with exitUsage and name the problem on standard error.
func TestInvalidInvocations(t *testing.T) {
	folder := t.TempDir()
	bad := filepath.Join(folder, "bad.json")
	if err := os.WriteFile(bad, []byte(`{"node": "n1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name       string
		arguments  []string
		wantOutput string
	}{
		{"no settings", nil, "usage"},
		{"unknown flag", []string{"-frob"}, "frob"},
		{"no such file", []string{"-settings", filepath.Join(folder, "none")}, "none"},
		{"bad settings", []string{"-settings", bad, "-check"}, "field data_centre"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, diagnostics bytes.Buffer
			if code := run(context.Background(), test.arguments, &out, &diagnostics); code != exitUsage {
				t.Errorf("exit code %d, want %d", code, exitUsage)
			}
			if !strings.Contains(diagnostics.String(), test.wantOutput) {
				t.Errorf("standard error is %q, want %q in it", diagnostics.String(), test.wantOutput)
			}
		})
	}
}
