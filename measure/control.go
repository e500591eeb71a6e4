package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/measure/process/controlhost"
	"carobline.dev/measure/process/controlload"
	"carobline.dev/measure/process/report"
)

// controlCommand measures whole control hosts under load.
const controlCommand = "control"

// runControl runs the load that the flags describe. It is broken off by SIGTERM or an
// interrupt.
func runControl(arguments []string, out, diagnostics io.Writer) int {
	config, err := parseControlFlags(arguments, diagnostics)
	if err != nil {
		return exitUsage
	}
	executable, err := os.Executable()
	if err != nil {
		fmt.Fprintf(diagnostics, "measure: %v\n", err)
		return exitFailed
	}
	config.Command = []string{executable, controlhost.Command}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	result, err := controlload.Run(ctx, config, out)
	result.Report(report.New(out))
	if err != nil {
		fmt.Fprintf(diagnostics, "measure: %v\n", err)
		return exitFailed
	}
	return exitDone
}

// parseControlFlags parses the flags of the control command. It has written the problem if
// it returns an error.
func parseControlFlags(arguments []string, diagnostics io.Writer) (controlload.Config, error) {
	config := controlload.Config{WaveInterval: 3 * time.Second}
	seconds, declareAt, firstWaveAt, killLeaderAt, profileAt := 0, 0, 0, 0, 0
	flags := flag.NewFlagSet("measure "+controlCommand, flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	flags.IntVar(&config.Nodes, "nodes", 295, "how many nodes without a disk there are")
	flags.IntVar(&config.Engines, "engines", 760, "how many engines there are")
	flags.IntVar(&config.EnginesInDomain, "domain-engines", 19, "how many engines a fabric domain has")
	flags.IntVar(&seconds, "seconds", 34, "how many seconds the run lasts")
	flags.IntVar(&declareAt, "declare-at", 5, "the second in which the configuration is declared")
	flags.IntVar(&config.Waves, "waves", 6, "how often engines fail, every 3 s")
	flags.IntVar(&config.WaveEngines, "wave-engines", 11, "how many engines fail at a time")
	flags.IntVar(&firstWaveAt, "first-wave-at", 14, "the second in which engines first fail")
	flags.IntVar(&killLeaderAt, "kill-leader-at", 21, "the second in which the leader is killed, 0 for never")
	flags.StringVar(&config.ProfilePath, "profile", "", "the `FILE` for a processor profile of the leader, none if empty")
	flags.IntVar(&profileAt, "profile-at", 16, "the second in which the profile begins")
	if err := flags.Parse(arguments); err != nil {
		return config, err
	}
	if flags.NArg() > 0 {
		err := errors.Errorf("control takes flags only, not %q", flags.Arg(0))
		fmt.Fprintf(diagnostics, "measure: %v\n", err)
		return config, err
	}
	config.Length, config.DeclareAt = wholeSeconds(seconds), wholeSeconds(declareAt)
	config.FirstWaveAt, config.KillLeaderAt = wholeSeconds(firstWaveAt), wholeSeconds(killLeaderAt)
	config.ProfileAt = wholeSeconds(profileAt)
	return config, nil
}

func wholeSeconds(count int) time.Duration { return time.Duration(count) * time.Second }

// runControlHost runs one control host, as a child process of the control command.
func runControlHost(arguments []string, in io.Reader, out, diagnostics io.Writer) int {
	if len(arguments) != 1 {
		fmt.Fprintf(diagnostics, "measure: usage: measure %s SETTINGS\n", controlhost.Command)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := controlhost.Run(ctx, arguments[0], in, out); err != nil {
		fmt.Fprintf(diagnostics, "measure: %v\n", err)
		return exitFailed
	}
	return exitDone
}
