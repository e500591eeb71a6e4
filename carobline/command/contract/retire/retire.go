// Package retire implements carobline contract retire, which ends one contract.
//
// # Usage
//
//	err := retire.Command(ctx, shared, []string{"acme"})
package retire

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/command/contract/apply"
	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	ClientAccount id.ClientAccount
	Client        interface {
		Contracts(ctx context.Context) (operator.ContractList, error)
		Retire(ctx context.Context, request operator.RetireRequest) (controller.Outcome, error)
	}
	NewChange func() id.Change
	Printer   *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{NewChange: shared.NewChange}
	flags := shared.Flags("carobline contract retire CUSTOMER")
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
	options.Client, options.Printer = client, printer.New(shared.Out, flags.JSON)
	return options, nil
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run ends one contract. The request carries the revision that the contract has
// now, so that a change made meanwhile is a conflict.
func Run(ctx context.Context, options *Options) error {
	list, err := options.Client.Contracts(ctx)
	if err != nil {
		return err
	}
	base := id.Revision(0)
	for _, record := range list.Contracts {
		if record.Contract.ClientAccount == options.ClientAccount {
			base = record.Revision
		}
	}
	if base == 0 {
		return errors.Errorf("customer %s has no contract; carobline contract list lists all contracts", options.ClientAccount)
	}
	outcome, err := options.Client.Retire(ctx, operator.RetireRequest{Change: options.NewChange(), Base: base, ClientAccount: options.ClientAccount})
	if err != nil {
		return err
	}
	if err := apply.VerdictError(*outcome.Result, string(options.ClientAccount)); err != nil {
		return err
	}
	return options.Printer.Show(outcome, []string{"CUSTOMER", "STATE", "IN FORCE"}, [][]string{{string(options.ClientAccount), "retired", fmt.Sprint(outcome.InForce)}})
}
