// Command carobline is the command line interface for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"carobline.dev/carobline/command/root"
	"carobline.dev/carobline/process/factory"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := root.New(factory.New(os.Stdin, os.Stdout, os.Stderr, os.Getenv)).Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(code))
}
