// Package show is carobline contract show.
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

// Options are what the command line says.
type Options struct {
	ClientAccount id.ClientAccount
	Client        interface {
		Contracts(ctx context.Context) (operator.ContractList, error)
	}
	Printer *printer.Printer
}

// New returns the options that arguments give.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline contract show CUSTOMER")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	if flags.NArg() != 1 {
		return nil, factory.Usage("name one customer; carobline contract list lists them")
	}
	options.ClientAccount = id.ClientAccount(flags.Arg(0))
	client, err := shared.Client()
	if err != nil {
		return nil, err
	}
	options.Client, options.Printer = client, printer.New(shared.Out, true)
	return options, nil
}

// Command parses, then runs.
var Command = factory.Verb(New, Run)

// Run prints one contract in the form in which it is kept in files.
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
	return errors.Errorf("customer %s has no contract; carobline contract list lists them", options.ClientAccount)
}
