// Package end implements carobline block end, which ends a block of parts of prompts.
//
// # Usage
//
//	err := end.Command(ctx, shared, []string{"parts-120"})
package end

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
	Block  id.PartsBlock
	Client interface {
		EndBlock(ctx context.Context, request operator.EndBlockRequest) (controller.Outcome, error)
	}
	NewChange func() id.Change
	Printer   *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{NewChange: shared.NewChange}
	flags := shared.Flags("carobline block end BLOCK")
	name, err := flags.ParseName(arguments, "give the name of one block; carobline block list lists them")
	if err != nil {
		return nil, err
	}
	options.Block = id.PartsBlock(name)
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run ends one block. Requests with its parts are sent again; if they still end engines, they
// are blocked again.
func Run(ctx context.Context, options *Options) error {
	outcome, err := options.Client.EndBlock(ctx, operator.EndBlockRequest{Change: options.NewChange(), Block: options.Block})
	if err != nil {
		return err
	}
	return factory.ShowOutcome(options.Printer, outcome, string(options.Block), []string{"BLOCK", "STATE"}, []string{string(options.Block), "ended"})
}
