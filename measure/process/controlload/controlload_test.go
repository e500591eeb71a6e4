package controlload_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"carobline.dev/measure/process/controlhost"
	"carobline.dev/measure/process/controlload"
)

// TestMain runs a control host in place of the tests where the run has started this
// program as one.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == controlhost.Command {
		if err := controlhost.Run(context.Background(), os.Args[2], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// domains is how many fabric domains the small load has; each has room for a group of
// either model.
const domains = 5

// smallLoad is a load for seconds of a busy machine. Its length is a bound: tests end it
// by OnSecond.
func smallLoad(t *testing.T) controlload.Config {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return controlload.Config{
		Command: []string{executable, controlhost.Command},
		Nodes:   40, Engines: 95, EnginesInDomain: 95 / domains, Length: time.Minute, DeclareAt: time.Second,
		Waves: 2, WaveEngines: 2, FirstWaveAt: 7 * time.Second, WaveInterval: 2 * time.Second, KillLeaderAt: 8 * time.Second,
	}
}

// checkNothingIsLeft fails if a control host of any second still runs, or if the folder
// for temporary files isn't empty.
func checkNothingIsLeft(t *testing.T, seconds []controlload.Second) {
	t.Helper()
	for _, second := range seconds {
		for index, host := range second.Hosts {
			if host.Running && !errors.Is(syscall.Kill(host.PID, 0), syscall.ESRCH) {
				t.Errorf("control host %d of second %d is left as process %d", index, second.Number, host.PID)
			}
		}
	}
	left, err := os.ReadDir(os.TempDir())
	if err != nil || len(left) > 0 {
		t.Errorf("the folder for temporary files holds %v, %v", left, err)
	}
}

// served reports whether all nodes have a lease and see the open groups, one at least for
// each domain.
func served(second *controlload.Second) bool {
	return second.Nodes.WithoutLease == 0 && second.Nodes.LeastEndpoints >= domains && second.Engines.OpenGroups >= domains
}

// TestRunGoesOnAfterTheLossOfTheLeader guards against a load that doesn't start or doesn't
// end: groups open and all nodes see them, the same is so under another leader once the
// first is killed, the killed host comes back, and nothing is left at the end.
func TestRunGoesOnAfterTheLossOfTheLeader(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config := smallLoad(t)
	servedBefore, servedAfter, killed := false, false, controlload.NoLeader
	config.OnSecond = func(second controlload.Second) bool {
		allRun := true
		for index, host := range second.Hosts {
			allRun = allRun && host.Running
			if !host.Running {
				killed = index
			}
		}
		servedBefore = servedBefore || (killed == controlload.NoLeader && served(&second))
		servedAfter = killed != controlload.NoLeader && allRun && second.Leader != killed && second.Engines.Refused == 0 && served(&second)
		return !servedAfter
	}
	result, err := controlload.Run(t.Context(), config, t.Output())
	if err != nil {
		t.Fatal(err)
	}
	if !servedBefore || !servedAfter || result.KilledLeader != killed {
		t.Errorf("served before the loss: %v, after it: %v; control host %d was killed, %d ended", servedBefore, servedAfter, result.KilledLeader, killed)
	}
	checkNothingIsLeft(t, result.Seconds)
}

// TestBrokenOffRunLeavesNothing guards against control hosts that outlive a run which is
// broken off, as by a signal.
func TestBrokenOffRunLeavesNothing(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config := smallLoad(t)
	ctx, stop := context.WithCancel(t.Context())
	config.OnSecond = func(controlload.Second) bool {
		stop()
		return true
	}
	result, err := controlload.Run(ctx, config, t.Output())
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the run ended with %v", err)
	}
	checkNothingIsLeft(t, result.Seconds)
}

// TestFailedControlHostEndsTheRun guards against a run that goes on without one of its
// control hosts, and against children that are left when it fails.
func TestFailedControlHostEndsTheRun(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config := smallLoad(t)
	config.OnSecond = func(second controlload.Second) bool {
		if err := syscall.Kill(second.Hosts[0].PID, syscall.SIGKILL); err != nil {
			t.Error(err)
		}
		return second.Number < 10
	}
	result, err := controlload.Run(t.Context(), config, t.Output())
	if err == nil {
		t.Error("the run ended without an error")
	}
	checkNothingIsLeft(t, result.Seconds)
}

// TestLeaderIsProfiled guards against a profile that is asked of no host or that isn't
// written.
func TestLeaderIsProfiled(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	config := smallLoad(t)
	config.Nodes, config.Engines, config.Waves, config.KillLeaderAt = 5, 19, 0, 0
	config.ProfilePath, config.ProfileAt = filepath.Join(t.TempDir(), "profile"), time.Second
	written := func() bool {
		file, err := os.Stat(config.ProfilePath)
		return err == nil && file.Size() > 0
	}
	config.OnSecond = func(controlload.Second) bool { return !written() }
	if _, err := controlload.Run(t.Context(), config, t.Output()); err != nil || !written() {
		t.Errorf("the run ended with %v; the profile was written: %v", err, written())
	}
}
