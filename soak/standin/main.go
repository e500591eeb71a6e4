// Command standin is one host of a plain service that answers falsely on its connections.
//
//	standin -host s1 -listen 127.16.1.5:7391 -advertise 127.16.1.9:7391 \
//	    -announce http://127.16.1.1:7392 -token-file announcer.token -runs-file s1.runs -seed 7
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"carobline.dev/soak/process/falsehost"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := falsehost.Main(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}
