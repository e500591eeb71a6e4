// Command caroblined is the daemon of an entry host.
//
//	caroblined -settings FILE          run until SIGTERM, then drain and exit
//	caroblined -settings FILE -check   check the settings and exit
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

	"carobline.dev/caroblined/process/daemon"
	"carobline.dev/caroblined/process/settings"
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
	path := flags.String("settings", "", "the settings `FILE`, in JSON; docs/OPERATIONS.md lists its fields")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(arguments); err != nil {
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		fmt.Fprintln(diagnostics, "caroblined: usage: caroblined -settings FILE [-check]")
		return exitUsage
	}
	known, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintf(diagnostics, "caroblined: %v\n", err)
		return exitUsage
	}
	if *check {
		fmt.Fprintf(out, "settings %s: good\n", *path)
		return exitDone
	}
	return serve(ctx, known, diagnostics)
}

func serve(ctx context.Context, known settings.Settings, diagnostics io.Writer) int {
	level, err := zerolog.ParseLevel(known.LogLevel)
	if err != nil {
		fmt.Fprintf(diagnostics, "caroblined: field log_level: %v\n", err)
		return exitUsage
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(diagnostics).Level(level).With().Timestamp().Logger()
	node, err := daemon.New(known, log, daemon.TCP())
	if err != nil {
		log.Error().Err(err).Str("step", "start").Msg("can't start")
		return exitFailed
	}
	if err := node.Run(ctx); err != nil {
		log.Error().Err(err).Str("step", "stop").Msg("stopped with an error")
		return exitFailed
	}
	return exitDone
}
