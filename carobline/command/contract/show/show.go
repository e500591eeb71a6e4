// Package show implements carobline contract show, which prints one contract as
// JSON.
//
// # Usage
//
//	err := show.Command(ctx, shared, []string{"acme"})
package show

import (
	"context"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	ClientAccount id.ClientAccount
	Client        interface {
		Contracts(ctx context.Context) (operator.ContractList, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline contract show CUSTOMER")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	if flags.NArg() != 1 {
		return nil, factory.UsageErrorf("give the name of one customer; carobline contract list lists them")
	}
	options.ClientAccount = id.ClientAccount(flags.Arg(0))
	client, err := shared.NewClient()
	if err != nil {
		return nil, err
	}
	options.Client, options.Printer = client, printer.New(shared.Out, true)
	return options, nil
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints the record of one contract as JSON; its contract field has the form
// of a contract file.
func Run(ctx context.Context, options *Options) error {
	list, err := options.Client.Contracts(ctx)
	if err != nil {
		return err
	}
	for _, record := range list.Contracts {
		if record.Contract.ClientAccount == options.ClientAccount {
			return options.Printer.Show(record, nil, nil)
		}
	}
	return errors.Errorf("customer %s has no contract; carobline contract list lists all contracts", options.ClientAccount)
}
