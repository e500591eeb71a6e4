// Package list is carobline contract list.
//
// # Usage
//
//	err := list.Command(ctx, shared, nil)
package list

import (
	"context"
	"fmt"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
)

// Options are what the command line says.
type Options struct {
	Client interface {
		Contracts(ctx context.Context) (operator.ContractList, error)
	}
	Printer *printer.Printer
}

// New returns the options that arguments give.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline contract list")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	client, err := shared.Client()
	if err != nil {
		return nil, err
	}
	options.Client, options.Printer = client, printer.New(shared.Out, flags.JSON)
	return options, nil
}

// Command parses, then runs.
var Command = factory.Verb(New, Run)

// Run prints all contracts.
func Run(ctx context.Context, options *Options) error {
	list, err := options.Client.Contracts(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, record := range list.Contracts {
		state := "in force"
		if record.Retired {
			state = "retired"
		}
		agreed := record.Contract
		rows = append(rows, []string{
			string(agreed.ClientAccount), state, fmt.Sprint(record.Revision), string(agreed.Priority), fmt.Sprint(agreed.Share),
			fmt.Sprint(agreed.RequestsPerSecond), fmt.Sprint(agreed.TokensPerSecond), fmt.Sprint(agreed.Concurrency),
		})
	}
	return options.Printer.Show(list.Contracts, []string{"CUSTOMER", "STATE", "REVISION", "PRIORITY", "SHARE", "REQUESTS/S", "TOKENS/S", "CONCURRENCY"}, rows)
}
