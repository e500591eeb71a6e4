// Command standins-3 starts the system's own programs as separate processes on loopback addresses, with engines,
// clients and an operator of its own, and plays one case of the review.
//
// # Usage
//
//	standins-3 -case invalid-configuration -node target/carobline-node -record record.txt
//	TROUBLE=0 standins-3 -case invalid-configuration ...   the same without the disruption
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
	longestRun    = 110 * time.Second
)

// trial is what a case has to work with.
type trial struct {
	cluster *cluster
	fabric  *fabric
	record  *record
	trouble bool
}

// cases are the cases by name. A case returns an error if it couldn't run.
var cases = map[string]func(context.Context, *trial) error{
	"invalid-configuration": invalidConfiguration,
	"odd-heartbeat":         oddHeartbeat,
	"options-all":           optionsAll,
	"restarted-departure":   restartedDeparture,
}

func main() {
	name := flag.String("case", "", "the case")
	binary := flag.String("node", "target/carobline-node", "the node's program")
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	// The system ends a node when the thread that started it ends.
	runtime.LockOSThread()
	os.Exit(run(*name, *binary, *recordPath))
}

func run(name, binary, recordPath string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitCannotRun
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	names, err := loadNames()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Fprintln(os.Stderr, folder)
	}
	cluster, err := newCluster(names, record, binary, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	interrupted, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, longestRun)
	defer cancel()
	trial := &trial{cluster: cluster, record: record, fabric: newFabric(ctx, cluster), trouble: os.Getenv("TROUBLE") != "0"}
	defer cluster.close()
	defer trial.fabric.close()
	err = play(ctx, trial)
	cancel()
	broken := trial.fabric.seen()
	for _, line := range broken {
		fmt.Println("broken:", line)
	}
	switch {
	case len(broken) > 0:
		record.add("verdict", "broken", broken)
		return exitBroken
	case err != nil:
		record.add("verdict", "error", err.Error())
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	default:
		record.add("verdict", "broken", nil)
		fmt.Println("held")
		return exitHeld
	}
}

// breaks records that a rule is broken.
func (trial *trial) breaks(rule, what string) {
	trial.fabric.mutex.Lock()
	defer trial.fabric.mutex.Unlock()
	trial.fabric.breaks(rule, what)
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// start starts control hosts and fronts, as many engines, and a server of the plain service, and waits until
// groups are open and a front serves.
func (trial *trial) start(ctx context.Context, controls, fronts, engines, groups int) error {
	if err := trial.cluster.start(controls, fronts); err != nil {
		return err
	}
	for index := range engines {
		if _, err := trial.fabric.add(101+index, fmt.Sprintf("i-%08x", 0xa0000000+index), "pool", "d1"); err != nil {
			return err
		}
	}
	if _, err := trial.fabric.add(201, "i-d0000001", "desk", ""); err != nil {
		return err
	}
	founding, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if err := trial.cluster.configure(founding, 1, 1000); err != nil {
		return err
	}
	for founding.Err() == nil {
		if len(trial.fabric.openGroups()) >= groups && trial.cluster.ready(trial.cluster.fronts[0]) && trial.cluster.digest(founding, trial.cluster.fronts[0]).status == 200 {
			trial.record.add("serving")
			return nil
		}
		sleep(founding, 200*time.Millisecond)
	}
	return fmt.Errorf("the system didn't serve: %d groups are open", len(trial.fabric.openGroups()))
}
