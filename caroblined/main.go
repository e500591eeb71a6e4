// Command caroblined is the daemon of an entry host.
//
//	caroblined -settings FILE          run until SIGTERM or SIGINT, then drain and exit
//	caroblined -settings FILE -check   validate the settings and exit
//
// It also exits when a planned stop of its node has finished.
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

	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/accountant"
	"carobline.dev/caroblined/process/daemon"
	"carobline.dev/caroblined/process/settings"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/step"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, arguments []string, out, diagnostics io.Writer) int {
	flags := flag.NewFlagSet("caroblined", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	settingsPath := flags.String("settings", "", "the settings `FILE`, in JSON; docs/OPERATIONS.md lists its fields")
	checkOnly := flags.Bool("check", false, "validate the settings and exit")
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	if *settingsPath == "" || flags.NArg() > 0 {
		fmt.Fprintln(diagnostics, "caroblined: usage: caroblined -settings FILE [-check]")
		return exitUsage
	}
	nodeSettings, err := settings.Load(*settingsPath)
	if err != nil {
		fmt.Fprintf(diagnostics, "caroblined: %v\n", err)
		return exitUsage
	}
	if *checkOnly {
		fmt.Fprintf(out, "settings %s: good\n", *settingsPath)
		return exitDone
	}
	return serve(ctx, nodeSettings, diagnostics)
}

func serve(ctx context.Context, nodeSettings settings.Settings, diagnostics io.Writer) int {
	level, err := zerolog.ParseLevel(nodeSettings.LogLevel)
	if err != nil {
		fmt.Fprintf(diagnostics, "caroblined: field log_level: %v\n", err)
		return exitUsage
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(diagnostics).Level(level).With().Timestamp().Logger()
	processMemory := memory.Bytes(nodeSettings.Limits.MemoryMB) << 20
	log.Info().Str("step", "start").Str("node", string(nodeSettings.Node)).Int64("memory_limit_bytes", int64(processMemory)).
		Int64("account_limit_bytes", int64(accountant.Limit(processMemory))).Msg("node is starting")
	node, err := daemon.New(nodeSettings, log, daemon.TCP())
	if err != nil {
		log.Error().Err(err).Str("step", "start").Msg("starting the node failed")
		return exitFailed
	}
	if err := step.Recover(func() error { return node.Run(ctx) }); err != nil {
		log.Error().Err(err).Str("step", "stop").Msg("the node stopped with an error")
		return exitFailed
	}
	return exitDone
}
