// Package show implements carobline stop show, which shows one planned stop or
// waits until it is done.
//
// # Usage
//
//	err := show.Command(ctx, shared, []string{"--follow", "stop-1"})
package show

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/command/stop/list"
	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
)

// followInterval is the time between two requests while a stop is followed.
const followInterval = 500 * time.Millisecond

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Stop   id.Stop
	Follow bool
	Client interface {
		Stops(ctx context.Context) (operator.StopList, error)
	}
	// Wait sleeps between two requests. It returns false if ctx is done first.
	Wait    func(ctx context.Context, interval time.Duration) bool
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{Wait: wait}
	flags := shared.Flags("carobline stop show STOP")
	flags.BoolVar(&options.Follow, "follow", false, "wait until the stop is done")
	name, err := flags.ParseName(arguments, "give the name of one stop; carobline stop list lists them")
	if err != nil {
		return nil, err
	}
	options.Stop = id.Stop(name)
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

func wait(ctx context.Context, interval time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(interval):
		return true
	}
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints one stop. With Follow it first waits until the stop is done.
func Run(ctx context.Context, options *Options) error {
	for {
		stop, err := options.find(ctx)
		if err != nil {
			return err
		}
		if stop.Done || !options.Follow {
			return options.Printer.Show(stop, list.Head, list.Rows([]register.StopRecord{stop}))
		}
		if !options.Wait(ctx, followInterval) {
			return errors.New("interrupted while waiting; the stop continues: run carobline stop show --follow again to wait for it")
		}
	}
}

func (options *Options) find(ctx context.Context) (register.StopRecord, error) {
	stops, err := options.Client.Stops(ctx)
	if err != nil {
		return register.StopRecord{}, err
	}
	for _, stop := range stops.Stops {
		if stop.Stop == options.Stop {
			return stop, nil
		}
	}
	return register.StopRecord{}, errors.Errorf("stop %s not found; carobline stop list lists all stops", options.Stop)
}
