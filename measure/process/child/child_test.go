package child_test

import (
	"path/filepath"
	"testing"

	"carobline.dev/measure/process/child"
)

func start(t *testing.T, command ...string) *child.Process {
	t.Helper()
	process, err := child.Start(child.Config{Command: command, LogPath: filepath.Join(t.TempDir(), "log")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.Kill)
	return process
}

// TestKilledChildIsWaitedFor guards against children that are left as zombies, whose
// processor time can still be read.
func TestKilledChildIsWaitedFor(t *testing.T) {
	process := start(t, "cat")
	if spent, err := process.ProcessorTime(); err != nil || process.Err() != nil {
		t.Errorf("the running child has spent %v, %v, and ended by %v", spent, err, process.Err())
	}
	process.Kill()
	if _, err := process.ProcessorTime(); err == nil || process.Err() == nil {
		t.Errorf("the killed child is still there; it ended by %v", process.Err())
	}
}

// TestChildReportsItsProcessorTime guards against fields of the kernel's line that are read
// from the wrong place.
func TestChildReportsItsProcessorTime(t *testing.T) {
	process := start(t, "sh", "-c", "i=0; while [ $i -lt 200000 ]; do i=$((i+1)); done; cat")
	for process.Err() == nil {
		spent, err := process.ProcessorTime()
		if err != nil {
			t.Fatal(err)
		}
		if spent > 0 {
			return
		}
	}
	t.Errorf("the child ended without having spent time: %v", process.Err())
}
