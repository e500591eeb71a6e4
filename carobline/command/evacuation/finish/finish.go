// Package finish implements carobline evacuation finish, which lets the endpoints of an
// evacuated data centre get calls again.
//
// # Usage
//
//	err := finish.Command(ctx, shared, []string{"dc1"})
package finish

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
		FinishEvacuation(ctx context.Context, request operator.EvacuationRequest) (controller.Outcome, error)
	}
	NewChange func() id.Change
	Printer   *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{NewChange: shared.NewChange}
	flags := shared.Flags("carobline evacuation finish DATA_CENTRE")
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

// Run finishes the evacuation. Groups that are open there take calls as soon as nodes receive the change.
func Run(ctx context.Context, options *Options) error {
	outcome, err := options.Client.FinishEvacuation(ctx, operator.EvacuationRequest{Change: options.NewChange(), DataCentre: options.DataCentre})
	if err != nil {
		return err
	}
	name := string(options.DataCentre)
	return factory.ShowOutcome(options.Printer, outcome, name, []string{"DATA CENTRE", "STATE"}, []string{name, "in use"})
}
