// Command fakeengine is a stand-in for one host of a model engine or of a plain
// service.
//
//	fakeengine -host h1 -listen 127.0.0.1:9001 -announce http://127.0.0.1:8102 \
//	    -token-file announcer.token -data-centre dc1 -domain fabric-a -models pulp-7b
package main

import (
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

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// options are the command line.
type options struct {
	engine    engine.Config
	listen    string
	entries   string
	models    string
	tokenFile string
	renew     time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

func parse(arguments []string, diagnostics io.Writer) (options, error) {
	var known options
	flags := flag.NewFlagSet("fakeengine", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	flags.StringVar((*string)(&known.engine.Host), "host", "", "the host's `NAME`")
	flags.StringVar(&known.listen, "listen", "", "the `ADDRESS` to listen on, an IP number and a port")
	flags.StringVar(&known.entries, "announce", "", "base `URLS` of entry hosts, separated by commas")
	flags.StringVar(&known.tokenFile, "token-file", "", "the `FILE` that holds the announcer's token")
	flags.StringVar((*string)(&known.engine.DataCentre), "data-centre", "", "the data centre's `NAME`")
	flags.StringVar((*string)(&known.engine.Domain), "domain", "", "the fabric domain's `NAME`")
	flags.IntVar(&known.engine.Accelerators, "accelerators", 2, "how many accelerators the host has")
	flags.StringVar(&known.models, "models", "", "`MODELS` that the host can serve, separated by commas")
	flags.StringVar((*string)(&known.engine.Service), "service", "", "the plain service's `NAME`, in place of models")
	flags.BoolVar(&known.engine.ChecksFencing, "checks-fencing", true, "refuse old fencing numbers")
	flags.BoolVar(&known.engine.Resumes, "resumes", true, "resume streams")
	flags.IntVar(&known.engine.Slots, "slots", 8, "how many streams run at a time")
	flags.DurationVar(&known.engine.Pace, "pace", 10*time.Millisecond, "the time between two tokens")
	flags.DurationVar(&known.engine.LoadTime, "load-time", 300*time.Millisecond, "how long weights take to load")
	flags.DurationVar(&known.engine.ReportLag, "report-lag", 200*time.Millisecond, "how old a load report is")
	flags.DurationVar(&known.engine.Lease, "lease", 4*time.Second, "how long an announcement holds")
	flags.DurationVar(&known.renew, "renew", 500*time.Millisecond, "the time between two announcements")
	if err := flags.Parse(arguments); err != nil {
		return known, err
	}
	if known.engine.Host == "" || known.listen == "" || known.entries == "" || known.tokenFile == "" {
		return known, fmt.Errorf("-host, -listen, -announce and -token-file are needed")
	}
	for _, model := range strings.Split(known.models, ",") {
		if model != "" {
			known.engine.Models = append(known.engine.Models, id.Model(model))
		}
	}
	return known, nil
}

func run(ctx context.Context, arguments []string, diagnostics io.Writer) int {
	known, err := parse(arguments, diagnostics)
	if err != nil {
		fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		return exitUsage
	}
	token, err := os.ReadFile(known.tokenFile)
	if err != nil {
		fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		return exitUsage
	}
	socket, err := net.Listen("tcp", known.listen)
	if err != nil {
		fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		return exitFailed
	}
	known.engine.Address = socket.Addr().String()
	host := engine.New(known.engine, time.Now)
	server := &http.Server{Handler: host.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(socket) }()
	client := rest.NewClient(&http.Client{Timeout: time.Second}, strings.TrimSpace(string(token)))
	loop := announcer.New(announcer.Config{Entries: strings.Split(known.entries, ","), Client: client, Next: host.Announcement, Now: time.Now})
	announceUntilLeft(ctx, loop, host, known.renew, diagnostics)
	_ = server.Close()
	return exitDone
}

// announceUntilLeft announces until the host is told to stop, and then as
// leaving until its streams are done.
func announceUntilLeft(ctx context.Context, loop *announcer.Announcer, host *engine.Engine, renew time.Duration, diagnostics io.Writer) {
	ticker := time.NewTicker(renew)
	defer ticker.Stop()
	for {
		if err := loop.Once(context.WithoutCancel(ctx)); err != nil {
			fmt.Fprintf(diagnostics, "fakeengine: %v\n", err)
		}
		select {
		case <-ctx.Done():
			host.Leave()
			if err := loop.Once(context.WithoutCancel(ctx)); err == nil && !host.Busy() {
				return
			}
			<-ticker.C
		case <-ticker.C:
		}
	}
}
