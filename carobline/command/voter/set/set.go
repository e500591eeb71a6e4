// Package set is carobline voter set.
//
// # Usage
//
//	err := set.Command(ctx, shared, []string{"n1", "n3"})
package set

import (
	"context"
	"strings"

	"carobline.dev/carobline/command/contract/apply"
	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
)

// Options are what the command line says.
type Options struct {
	Voters []id.Node
	Client interface {
		SetVoters(ctx context.Context, request operator.VotersRequest) (controller.Outcome, error)
	}
	Printer *printer.Printer
}

// New returns the options that arguments give.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline voter set NODE...")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	for _, name := range flags.Args() {
		options.Voters = append(options.Voters, id.Node(name))
	}
	if len(options.Voters) == 0 {
		return nil, factory.Usage("name all nodes that shall vote; carobline status --json lists those that do")
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

// Run asks for the voters and waits until a majority of the new ones has them.
func Run(ctx context.Context, options *Options) error {
	outcome, err := options.Client.SetVoters(ctx, operator.VotersRequest{Voters: options.Voters})
	if err != nil {
		return err
	}
	if err := apply.Verdict(*outcome.Result, "voters"); err != nil {
		return err
	}
	names := make([]string, len(options.Voters))
	for index, voter := range options.Voters {
		names[index] = string(voter)
	}
	return options.Printer.Show(outcome, []string{"VOTERS", "STATE"}, [][]string{{strings.Join(names, " "), string(outcome.Result.Verdict)}})
}
