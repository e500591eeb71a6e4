// Package start implements carobline evacuation start, which asks that the endpoints of a
// data centre get no more calls.
//
// # Usage
//
//	err := start.Command(ctx, shared, []string{"dc1"})
package start

import (
	"context"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	DataCentre id.DataCentre
	Client     interface {
		StartEvacuation(ctx context.Context, request operator.EvacuationRequest) (controller.Outcome, error)
	}
	NewChange func() id.Change
	Printer   *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{NewChange: shared.NewChange}
	flags := shared.Flags("carobline evacuation start DATA_CENTRE")
	name, err := flags.ParseName(arguments, "give the name of one data centre; carobline status --json lists the hosts with theirs")
	if err != nil {
		return nil, err
	}
	options.DataCentre = id.DataCentre(name)
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run starts the evacuation. It doesn't wait until it is in force everywhere, which takes a node
// that lags at most its lease of 5 s. Calls that run there go on to their end.
func Run(ctx context.Context, options *Options) error {
	outcome, err := options.Client.StartEvacuation(ctx, operator.EvacuationRequest{Change: options.NewChange(), DataCentre: options.DataCentre})
	if err != nil {
		return err
	}
	name := string(options.DataCentre)
	return factory.ShowOutcome(options.Printer, outcome, name, []string{"DATA CENTRE", "STATE"}, []string{name, "evacuated"})
}
