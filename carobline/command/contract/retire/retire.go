// Package retire implements carobline contract retire, which ends one contract.
//
// # Usage
//
//	err := retire.Command(ctx, shared, []string{"acme"})
package retire

import (
	"context"
	"fmt"

	"carobline.dev/carobline/command/contract/show"
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
		show.Client
		Retire(ctx context.Context, request operator.RetireRequest) (controller.Outcome, error)
	}
	NewChange func() id.Change
	Printer   *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{NewChange: shared.NewChange}
	flags := shared.Flags("carobline contract retire CUSTOMER")
	name, err := flags.ParseName(arguments, "give the name of one customer; carobline contract list lists them")
	if err != nil {
		return nil, err
	}
	options.ClientAccount = id.ClientAccount(name)
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run ends one contract. The request carries the revision that the contract has
// now, so that a change made meanwhile is a conflict.
func Run(ctx context.Context, options *Options) error {
	record, err := show.Find(ctx, options.Client, options.ClientAccount)
	if err != nil {
		return err
	}
	outcome, err := options.Client.Retire(ctx, operator.RetireRequest{Change: options.NewChange(), Base: record.Revision, ClientAccount: options.ClientAccount})
	if err != nil {
		return err
	}
	name := string(options.ClientAccount)
	return factory.ShowOutcome(options.Printer, outcome, name, []string{"CUSTOMER", "STATE", "IN FORCE"}, []string{name, "retired", fmt.Sprint(outcome.InForce)})
}
