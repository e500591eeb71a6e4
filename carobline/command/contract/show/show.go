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
	"carobline.dev/core/process/register"
)

// Client reads all contracts.
type Client interface {
	Contracts(ctx context.Context) (operator.ContractList, error)
}

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	ClientAccount id.ClientAccount
	Client        Client
	Printer       *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline contract show CUSTOMER")
	name, err := flags.ParseName(arguments, "give the name of one customer; carobline contract list lists them")
	if err != nil {
		return nil, err
	}
	options.ClientAccount = id.ClientAccount(name)
	flags.JSON = true // the form of a contract file
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints the record of one contract as JSON; its contract field has the form
// of a contract file.
func Run(ctx context.Context, options *Options) error {
	record, err := Find(ctx, options.Client, options.ClientAccount)
	if err != nil {
		return err
	}
	return options.Printer.Show(record, nil, nil)
}

// Find returns the record of the contract of a client account. It fails if there is none.
func Find(ctx context.Context, client Client, clientAccount id.ClientAccount) (register.ContractRecord, error) {
	list, err := client.Contracts(ctx)
	if err != nil {
		return register.ContractRecord{}, err
	}
	for _, record := range list.Contracts {
		if record.Contract.ClientAccount == clientAccount {
			return record, nil
		}
	}
	return register.ContractRecord{}, errors.Errorf("customer %s has no contract; carobline contract list lists all contracts", clientAccount)
}
