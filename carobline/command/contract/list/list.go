// Package list implements carobline contract list, which lists contracts.
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

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Client interface {
		Contracts(ctx context.Context) (operator.ContractList, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	client, printer, err := shared.Flags("carobline contract list").Open(arguments)
	return &Options{Client: client, Printer: printer}, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

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
		contract := record.Contract
		rows = append(rows, []string{
			string(contract.ClientAccount), state, fmt.Sprint(record.Revision), string(contract.Priority), fmt.Sprint(contract.Share),
			fmt.Sprint(contract.RequestsPerSecond), fmt.Sprint(contract.TokensPerSecond), fmt.Sprint(contract.Concurrency),
		})
	}
	return options.Printer.Show(list.Contracts, []string{"CUSTOMER", "STATE", "REVISION", "PRIORITY", "SHARE", "REQUESTS/S", "TOKENS/S", "CONCURRENCY"}, rows)
}
