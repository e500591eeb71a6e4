// Command fakeengine is a stand-in for one host of a model engine or of a plain
// service.
//
//	fakeengine -host h1 -listen 127.0.0.1:9001 -announce http://127.0.0.1:8102 \
//	    -token-file announcer.token -data-centre dc1 -domain fabric-a -models pulp-7b
package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/fakeengine/process/announcer"
	"carobline.dev/fakeengine/process/engine"
)

// Exit codes of the process.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// runsFileMode is the mode of the file of accepted requests.
const runsFileMode = 0o600

// options are the values of the command line's flags.
type options struct {
	engine           engine.Config
	listen           string
	advertise        string
	runsFile         string
	entryURLs        string
	models           string
	tokenFile        string
	announceInterval time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

func parseOptions(arguments []string, diagnostics io.Writer) (options, error) {
	var options options
	flags := flag.NewFlagSet("fakeengine", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	flags.StringVar((*string)(&options.engine.Host), "host", "", "the host's `NAME`")
	flags.StringVar(&options.listen, "listen", "", "the `ADDRESS` to listen on, as IP:PORT")
	flags.StringVar(&options.advertise, "advertise", "", "the `ADDRESS` to announce, if it isn't that of -listen")
	flags.StringVar(&options.runsFile, "runs-file", "", "the `FILE` to which the request id of each accepted completion is appended")
	flags.StringVar(&options.entryURLs, "announce", "", "base `URLS` of the entry hosts' host interfaces, separated by commas")
	flags.StringVar(&options.tokenFile, "token-file", "", "the `FILE` that holds the announcer's token")
	flags.StringVar((*string)(&options.engine.DataCentre), "data-centre", "", "the data centre's `NAME`")
	flags.StringVar((*string)(&options.engine.Domain), "domain", "", "the fabric domain's `NAME`")
	flags.IntVar(&options.engine.Accelerators, "accelerators", 2, "how many accelerators the host has")
	flags.StringVar(&options.models, "models", "", "`MODELS` that the host can serve, separated by commas")
	flags.StringVar((*string)(&options.engine.Service), "service", "", "the plain service's `NAME`, in place of models")
	flags.BoolVar(&options.engine.ChecksFencing, "checks-fencing", true, "refuse orders with older fencing tokens and requests with different ones")
	flags.BoolVar(&options.engine.Resumes, "resumes", true, "announce that the host resumes streams")
	flags.IntVar(&options.engine.Slots, "slots", 8, "how many streams run at a time")
	flags.DurationVar(&options.engine.Pace, "pace", 10*time.Millisecond, "the time between two tokens")
	flags.DurationVar(&options.engine.LoadTime, "load-time", 300*time.Millisecond, "how long loading a model's weights takes")
	flags.DurationVar(&options.engine.ReportLag, "report-lag", 200*time.Millisecond, "the age that a load report has when it is announced")
	flags.DurationVar(&options.engine.Lease, "lease", 4*time.Second, "how long an announcement is valid")
	flags.DurationVar(&options.announceInterval, "renew", 500*time.Millisecond, "the time between two announcements")
	if err := flags.Parse(arguments); err != nil {
		return options, err
	}
	if options.engine.Host == "" || options.listen == "" || options.entryURLs == "" || options.tokenFile == "" {
		return options, fmt.Errorf("-host, -listen, -announce and -token-file are required")
	}
	for _, model := range strings.Split(options.models, ",") {
		if model != "" {
			options.engine.Models = append(options.engine.Models, id.Model(model))
		}
	}
	return options, nil
}

func run(ctx context.Context, arguments []string, diagnostics io.Writer) int {
	options, err := parseOptions(arguments, diagnostics)
	if err != nil {
		fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		return exitUsage
	}
	token, err := os.ReadFile(options.tokenFile)
	if err != nil {
		fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		return exitUsage
	}
	socket, err := net.Listen("tcp", options.listen)
	if err != nil {
		fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		return exitFailed
	}
	options.engine.Address = cmp.Or(options.advertise, socket.Addr().String())
	if options.runsFile != "" {
		runs, err := os.OpenFile(options.runsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, runsFileMode)
		if err != nil {
			fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
			return exitUsage
		}
		options.engine.Accepted = func(requestID string) { fmt.Fprintln(runs, requestID) }
	}
	host := engine.New(options.engine, time.Now)
	server := &http.Server{Handler: host.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(socket) }()
	client := rest.NewClient(&http.Client{Timeout: time.Second}, strings.TrimSpace(string(token)))
	announcer := announcer.New(announcer.Config{EntryURLs: strings.Split(options.entryURLs, ","), Client: client, NextAnnouncement: host.Announcement, Now: time.Now})
	announceUntilDrained(ctx, announcer, host, options.announceInterval, diagnostics)
	_ = server.Close()
	return exitDone
}

// announceUntilDrained announces until ctx is cancelled, and then as a leaving host
// until an announcement has succeeded and no stream is left.
func announceUntilDrained(ctx context.Context, announcer *announcer.Announcer, host *engine.Engine, announceInterval time.Duration, diagnostics io.Writer) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if err := announcer.AnnounceOnce(context.WithoutCancel(ctx)); err != nil {
			fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		}
		select {
		case <-ctx.Done():
			host.Leave()
			if err := announcer.AnnounceOnce(context.WithoutCancel(ctx)); err == nil && !host.Busy() {
				return
			}
			<-ticker.C
		case <-ticker.C:
		}
	}
}
