package falsehost

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/roster"
	"carobline.dev/fakeengine/process/announcer"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

const (
	announceInterval = 500 * time.Millisecond
	announceTimeout  = time.Second
	announceLease    = 4 * time.Second
	runsFileMode     = 0o600
	serviceSlots     = 32
)

// options are the values of the command line's flags.
type options struct {
	host, listen, advertise, announce, tokenFile, runsFile string
	seed                                                   uint64
}

func parse(arguments []string, diagnostics io.Writer) (options, error) {
	var options options
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	flags.StringVar(&options.host, "host", "", "the host's `NAME`")
	flags.StringVar(&options.listen, "listen", "", "the `ADDRESS` to listen on")
	flags.StringVar(&options.advertise, "advertise", "", "the `ADDRESS` to announce")
	flags.StringVar(&options.announce, "announce", "", "base `URLS` of host interfaces, separated by commas")
	flags.StringVar(&options.tokenFile, "token-file", "", "the `FILE` that holds the announcer's token")
	flags.StringVar(&options.runsFile, "runs-file", "", "the `FILE` to which each run is appended")
	flags.Uint64Var(&options.seed, "seed", 0, "the `SEED` of what is answered falsely")
	if err := flags.Parse(arguments); err != nil {
		return options, err
	}
	for _, value := range []string{options.host, options.listen, options.advertise, options.announce, options.tokenFile, options.runsFile} {
		if value == "" {
			return options, fmt.Errorf("all flags but -seed are required")
		}
	}
	return options, nil
}

// Main runs the program until ctx is cancelled and its calls have ended, and returns its
// exit code.
func Main(ctx context.Context, arguments []string, diagnostics io.Writer) int {
	options, err := parse(arguments, diagnostics)
	if err != nil {
		fmt.Fprintf(diagnostics, "standin: %v\n", err)
		return exitUsage
	}
	if err := serve(ctx, options, diagnostics); err != nil {
		fmt.Fprintf(diagnostics, "standin: %v\n", err)
		return exitFailed
	}
	return exitDone
}

func serve(ctx context.Context, options options, diagnostics io.Writer) error {
	token, err := os.ReadFile(options.tokenFile)
	if err != nil {
		return err
	}
	runs, err := os.OpenFile(options.runsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, runsFileMode)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", options.listen)
	if err != nil {
		return err
	}
	host := New(Config{Host: options.host, Incarnation: uint64(time.Now().UnixNano()), Seed: options.seed, Runs: runs})
	go host.Serve(listener)
	client := rest.NewClient(&http.Client{Timeout: announceTimeout}, strings.TrimSpace(string(token)))
	sequence := uint64(0)
	announcer := announcer.New(announcer.Config{EntryURLs: strings.Split(options.announce, ","), Client: client, Now: time.Now, NextAnnouncement: func() (roster.Announcement, bool) {
		sequence++
		return roster.Announcement{
			Host: id.Host(options.host), Incarnation: id.Incarnation(host.config.Incarnation), Sequence: sequence, Address: options.advertise, DataCentre: "dc1",
			Service: "orders", LeaseMS: announceLease.Milliseconds(), Load: roster.Load{Slots: serviceSlots, Running: host.Busy()}, Leaving: ctx.Err() != nil,
		}, true
	}})
	announce(ctx, announcer, host, diagnostics)
	return nil
}

// announce announces until ctx is cancelled, and then until an announcement has said so and
// no call runs.
func announce(ctx context.Context, announcer *announcer.Announcer, host *Host, diagnostics io.Writer) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		leaving := ctx.Err() != nil
		err := announcer.AnnounceOnce(context.WithoutCancel(ctx))
		if err != nil {
			fmt.Fprintf(diagnostics, "standin: %v\n", err)
		}
		if leaving && err == nil && host.Busy() == 0 {
			return
		}
		if leaving {
			<-ticker.C
			continue
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
