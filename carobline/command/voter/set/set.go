// Package set implements carobline voter set, which changes the set of voters.
//
// # Usage
//
//	err := set.Command(ctx, shared, []string{"n1", "n3"})
package set

import (
	"context"
	"strings"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Voters []id.Node
	Client interface {
		SetVoters(ctx context.Context, request operator.VotersRequest) (controller.Outcome, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline voter set NODE...")
	err := flags.Parse(arguments)
	if err != nil {
		return nil, err
	}
	for _, name := range flags.Args() {
		options.Voters = append(options.Voters, id.Node(name))
	}
	if len(options.Voters) == 0 {
		return nil, factory.UsageErrorf("give the names of all voters of the new set; carobline status --json lists the current ones")
	}
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run requests the new set of voters and waits until a majority of it has
// accepted the change.
func Run(ctx context.Context, options *Options) error {
	outcome, err := options.Client.SetVoters(ctx, operator.VotersRequest{Voters: options.Voters})
	if err != nil {
		return err
	}
	names := make([]string, len(options.Voters))
	for index, voter := range options.Voters {
		names[index] = string(voter)
	}
	return factory.ShowOutcome(options.Printer, outcome, "voters", []string{"VOTERS", "STATE"}, []string{strings.Join(names, " "), string(outcome.Result.Verdict)})
}
