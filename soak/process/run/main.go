// Package run is the soak: it starts a system, disturbs it by a plan while callers call
// and operators change it, and judges what was seen.
//
// # Usage
//
//	code := run.Main(ctx, []string{"-programs", "bin", "-seed", "7", "-minutes", "1"}, os.Stdout, os.Stderr)
package run

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"
)

// ExitCode is the exit status of the process.
type ExitCode int

// The exit codes.
const (
	ExitClean ExitCode = 0
	// ExitBroken means that a promise was broken, or that the run couldn't show anything.
	ExitBroken ExitCode = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage ExitCode = 2
)

// options are the values of the command line's flags.
type options struct {
	programs string
	seed     uint64
	minutes  float64
	keep     bool
}

// minMinutes is the shortest run, and maxMinutes the longest, whose calls are all kept in memory.
const (
	minMinutes = 0.1
	maxMinutes = 30
)

func parse(arguments []string, diagnostics io.Writer) (options, error) {
	var options options
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	flags.StringVar(&options.programs, "programs", "bin", "the `FOLDER` of caroblined, fakeengine and standin")
	flags.Uint64Var(&options.seed, "seed", uint64(time.Now().UnixNano()), "the `SEED` of all draws; by default another one each time")
	flags.Float64Var(&options.minutes, "minutes", 1, "how long faults go on")
	flags.BoolVar(&options.keep, "keep", false, "keep the logs of a clean run too")
	if err := flags.Parse(arguments); err != nil {
		return options, err // flags has told it
	}
	var err error
	switch {
	case flags.NArg() > 0:
		err = fmt.Errorf("unknown argument %q", flags.Arg(0))
	case !(options.minutes >= minMinutes && options.minutes <= maxMinutes): // also for no number
		err = fmt.Errorf("-minutes %v: want %v to %v", options.minutes, minMinutes, maxMinutes)
	}
	if err != nil {
		fmt.Fprintf(diagnostics, "soak: %v\n", err)
	}
	return options, err
}

// Main runs the soak with the arguments of a command line.
func Main(ctx context.Context, arguments []string, out, diagnostics io.Writer) ExitCode {
	options, err := parse(arguments, diagnostics)
	if err != nil {
		return ExitUsage
	}
	fmt.Fprintf(out, "soak: seed %d, %v minutes\n", options.seed, options.minutes)
	folder, err := os.MkdirTemp("", "soak-")
	if err != nil {
		fmt.Fprintf(diagnostics, "soak: %v\n", err)
		return ExitBroken
	}
	soak := &soak{seed: options.seed, length: time.Duration(options.minutes * float64(time.Minute)), programs: options.programs, folder: folder, out: out}
	broken, err := soak.run(ctx)
	for _, promise := range broken {
		fmt.Fprintf(out, "soak: seed %d: broken: %s\n", options.seed, promise)
	}
	if err != nil {
		fmt.Fprintf(out, "soak: seed %d: %v\n", options.seed, err)
	}
	if err != nil || len(broken) > 0 {
		fmt.Fprintf(out, "soak: seed %d: %d broken; settings, logs and records of runs are in %s\n", options.seed, len(broken), folder)
		return ExitBroken
	}
	fmt.Fprintf(out, "soak: seed %d: clean\n", options.seed)
	if options.keep {
		fmt.Fprintf(out, "soak: seed %d: settings, logs and records of runs are in %s\n", options.seed, folder)
		return ExitClean
	}
	_ = os.RemoveAll(folder) // what stays does no harm
	return ExitClean
}
