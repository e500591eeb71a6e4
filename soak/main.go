// Command soak runs the real programs as separate processes on loopback addresses, disturbs
// them from outside and checks from outside what callers are promised.
//
//	soak -programs bin -seed 7 -minutes 1
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"carobline.dev/soak/process/run"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
