// Package show is carobline stop show.
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

// followEvery is how often a followed stop is looked at.
const followEvery = 500 * time.Millisecond

// Options are what the command line says.
type Options struct {
	Stop   id.Stop
	Follow bool
	Client interface {
		Stops(ctx context.Context) (operator.StopList, error)
	}
	// Wait passes the time between two looks; it is false when ctx is done.
	Wait    func(ctx context.Context, pause time.Duration) bool
	Printer *printer.Printer
}

// New returns the options that arguments give.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{Wait: wait}
	flags := shared.Flags("carobline stop show STOP")
	flags.BoolVar(&options.Follow, "follow", false, "wait until the stop is done")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	if flags.NArg() != 1 {
		return nil, factory.Usage("name one stop; carobline stop list lists them")
	}
	options.Stop = id.Stop(flags.Arg(0))
	client, err := shared.Client()
	if err != nil {
		return nil, err
	}
	options.Client, options.Printer = client, printer.New(shared.Out, flags.JSON)
	return options, nil
}

func wait(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// Command parses, then runs.
var Command = factory.Verb(New, Run)

// Run prints one stop, once it is done when it is followed.
func Run(ctx context.Context, options *Options) error {
	for {
		stop, err := options.find(ctx)
		if err != nil {
			return err
		}
		if stop.Done || !options.Follow {
			return options.Printer.Show(stop, list.Head, list.Rows([]register.StopRecord{stop}))
		}
		if !options.Wait(ctx, followEvery) {
			return errors.New("interrupted; the stop goes on, and carobline stop show follows it again")
		}
	}
}

func (options *Options) find(ctx context.Context) (register.StopRecord, error) {
	known, err := options.Client.Stops(ctx)
	if err != nil {
		return register.StopRecord{}, err
	}
	for _, stop := range known.Stops {
		if stop.Stop == options.Stop {
			return stop, nil
		}
	}
	return register.StopRecord{}, errors.Errorf("there is no stop %s; carobline stop list lists them", options.Stop)
}
