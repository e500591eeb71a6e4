// Package list implements carobline stop list, which lists planned stops.
//
// # Usage
//
//	err := list.Command(ctx, shared, nil)
package list

import (
	"context"
	"time"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/process/register"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Client interface {
		Stops(ctx context.Context) (operator.StopList, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	client, printer, err := shared.Flags("carobline stop list").Open(arguments)
	return &Options{Client: client, Printer: printer}, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints all planned stops.
func Run(ctx context.Context, options *Options) error {
	list, err := options.Client.Stops(ctx)
	if err != nil {
		return err
	}
	return options.Printer.Show(list.Stops, Head, Rows(list.Stops))
}

// Head is the header row of a table of stops.
var Head = []string{"STOP", "KIND", "TARGET", "STATE", "ASKED BY", "ASKED"}

// Rows returns one table row for each stop.
func Rows(stops []register.StopRecord) [][]string {
	var rows [][]string
	for _, stop := range stops {
		state := "running"
		if stop.Done {
			state = "done"
		}
		rows = append(rows, []string{
			string(stop.Stop), string(stop.Kind), stop.Target, state, stop.Actor, stop.CreatedAt.Format(time.RFC3339),
		})
	}
	return rows
}
