package run

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"carobline.dev/core/step"
	"carobline.dev/soak/process/callers"
	"carobline.dev/soak/process/cluster"
	"carobline.dev/soak/process/falsehost"
	"carobline.dev/soak/process/judge"
	"carobline.dev/soak/process/operators"
	"carobline.dev/soak/process/plan"
)

const (
	// readyTimeout bounds how long the system may take until it serves at first, and again
	// after the last fault. It is far above what a busy machine needs.
	readyTimeout = 2 * time.Minute
	// changeWait is how long an operator waits for answers after the last event.
	changeWait = 20 * time.Second
	// lateWait is how long the processes go on after the last call, so that what runs late shows.
	lateWait = 2 * time.Second
	// maxResends is how many bookings without an answer are sent once more at the end.
	maxResends  = 40
	logFileMode = 0o600
)

// soak is one run.
type soak struct {
	seed     uint64
	length   time.Duration
	programs string
	folder   string
	out      io.Writer

	log       zerolog.Logger
	cluster   *cluster.Cluster
	operators *operators.Operators
	callers   *callers.Callers
}

// run returns the broken promises, and an error if the run couldn't show anything.
func (soak *soak) run(ctx context.Context) (broken []judge.Broken, err error) {
	file, err := os.OpenFile(filepath.Join(soak.folder, "soak.log"), os.O_CREATE|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	soak.log = zerolog.New(file).With().Timestamp().Logger()
	soak.cluster, err = cluster.New(cluster.Config{Programs: soak.programs, Folder: soak.folder, Seed: soak.seed})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, soak.cluster.Close()) }()
	if err := soak.start(ctx); err != nil {
		return nil, err
	}
	soak.disturb(ctx)
	if err := soak.awaitService(ctx); err != nil {
		return nil, errors.Wrap(err, "after the last fault")
	}
	soak.callers.Resend(maxResends)
	time.Sleep(lateWait)
	records, err := soak.records()
	if err != nil {
		return nil, err
	}
	soak.keep(records)
	soak.summarise(records)
	return judge.Judge(records), ctx.Err()
}

// start starts all processes and waits until they serve.
func (soak *soak) start(ctx context.Context) error {
	if err := soak.cluster.Start(); err != nil {
		return err
	}
	soak.operators = operators.New(operators.Config{URLs: soak.cluster.OperatorURLs(), Token: cluster.OperatorToken, Now: time.Now})
	soak.callers = callers.New(callers.Config{Seed: soak.seed, Entries: soak.cluster.CallerURLs(), Token: operators.SteadyToken, Rotating: soak.operators.Token, Now: time.Now})
	founding, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := soak.operators.Found(founding); err != nil {
		return err
	}
	return soak.awaitService(ctx)
}

// awaitService waits until a call of each kind is answered and operators can read.
func (soak *soak) awaitService(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, kind := range []judge.Kind{judge.Booking, judge.Quote, judge.Stock, judge.Stream, judge.Whole} {
		for !soak.callers.Try(kind) {
			if ctx.Err() != nil {
				return errors.Errorf("no %s was answered within %v", kind, readyTimeout)
			}
		}
	}
	for soak.operators.Read(ctx) != nil {
		if ctx.Err() != nil {
			return errors.Errorf("operators could read nothing within %v", readyTimeout)
		}
	}
	return nil
}

// disturb carries out the plan while callers call and operators read, and returns once
// all faults are over.
func (soak *soak) disturb(ctx context.Context) {
	shape := soak.cluster.Shape()
	shape.EngineWays = engineWays()
	plan := plan.New(soak.seed, soak.length, shape)
	fmt.Fprintf(soak.out, "soak: seed %d: %d events\n", soak.seed, len(plan.Events))
	calling, stop := context.WithCancel(ctx)
	defer stop()
	changing, giveUp := context.WithTimeout(ctx, soak.length+changeWait)
	defer giveUp()
	var running, events sync.WaitGroup
	running.Go(func() { soak.callers.Run(calling) })
	running.Go(func() { soak.operators.ReadUntil(calling) })
	startedAt := time.Now()
	for _, event := range plan.Events {
		sleep(ctx, event.At-time.Since(startedAt))
		if ctx.Err() != nil {
			break
		}
		events.Go(func() { soak.do(changing, event) })
	}
	sleep(ctx, soak.length-time.Since(startedAt))
	events.Wait()
	stop()
	running.Wait()
}

// sleep waits for a time or until ctx is cancelled.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// records collects what was seen.
func (soak *soak) records() (judge.Records, error) {
	records := judge.Records{Calls: soak.callers.Calls(), Ended: soak.cluster.Ended()}
	soak.operators.Fill(&records)
	shape := soak.cluster.Shape()
	for _, host := range shape.Engines {
		lines, err := readLines(soak.cluster.RunsPath(host))
		if err != nil {
			return records, err
		}
		for _, line := range lines {
			records.Runs = append(records.Runs, judge.Run{Host: host, RequestID: line})
		}
	}
	for _, host := range shape.Services {
		lines, err := readLines(soak.cluster.RunsPath(host))
		if err != nil {
			return records, err
		}
		for _, line := range lines {
			var run falsehost.Run
			if err := json.Unmarshal([]byte(line), &run); err != nil {
				return records, errors.Wrapf(err, "read the runs of %s", host)
			}
			records.Runs = append(records.Runs, judge.Run(run))
		}
	}
	return records, nil
}

func readLines(path string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read runs")
	}
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, step.Wrap(scanner.Err(), "read the runs at %s", path)
}
