// Package list implements carobline evacuation list, which lists the evacuated data centres.
//
// # Usage
//
//	err := list.Command(ctx, shared, nil)
package list

import (
	"context"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Client interface {
		Evacuations(ctx context.Context) (operator.EvacuationList, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	client, printer, err := shared.Flags("carobline evacuation list").Open(arguments)
	return &Options{Client: client, Printer: printer}, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints the evacuated data centres.
func Run(ctx context.Context, options *Options) error {
	list, err := options.Client.Evacuations(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, dataCentre := range list.DataCentres {
		rows = append(rows, []string{string(dataCentre)})
	}
	return options.Printer.Show(list, []string{"DATA CENTRE"}, rows)
}
