// Package list implements carobline block list, which lists the blocks of parts of prompts.
//
// # Usage
//
//	err := list.Command(ctx, shared, nil)
package list

import (
	"context"
	"fmt"
	"strings"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Client interface {
		Blocks(ctx context.Context) (operator.BlockList, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	client, printer, err := shared.Flags("carobline block list").Open(arguments)
	return &Options{Client: client, Printer: printer}, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints all blocks that hold.
func Run(ctx context.Context, options *Options) error {
	list, err := options.Client.Blocks(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for index := range list.Blocks {
		block := &list.Blocks[index]
		var parts, customers []string
		for _, part := range block.Parts {
			parts = append(parts, string(part))
		}
		for _, customer := range block.ClientAccounts {
			customers = append(customers, string(customer))
		}
		rows = append(rows, []string{string(block.Block), strings.Join(parts, " "), strings.Join(customers, " "), fmt.Sprint(block.Trial.Number)})
	}
	return options.Printer.Show(list.Blocks, []string{"BLOCK", "PARTS", "SEEN FOR", "TRIALS"}, rows)
}
