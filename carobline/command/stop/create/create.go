// Package create is carobline stop create.
//
// # Usage
//
//	err := create.Command(ctx, shared, []string{"--kind", "node", "--target", "n2"})
package create

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"carobline.dev/carobline/command/contract/apply"
	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
)

// Options are what the command line says.
type Options struct {
	Request operator.StopRequest
	Client  interface {
		Stop(ctx context.Context, request operator.StopRequest) (controller.Outcome, error)
	}
	Printer *printer.Printer
}

var kinds = []string{
	string(register.TargetEndpoint), string(register.TargetGroup), string(register.TargetNode),
	string(register.TargetDomain), string(register.TargetDataCentre),
}

// New returns the options that arguments give.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	change := shared.NewChange()
	options := &Options{Request: operator.StopRequest{Change: change}}
	flags := shared.Flags("carobline stop create")
	flags.StringVar((*string)(&options.Request.Kind), "kind", "", "what to stop: "+strings.Join(kinds, ", "))
	flags.StringVar(&options.Request.Target, "target", "", "the `NAME` of what to stop; carobline status lists names")
	flags.StringVar((*string)(&options.Request.Stop), "name", "stop-"+string(change), "a `NAME` for the stop")
	flags.BoolVar(&options.Request.AcceptLoss, "accept-loss", false, "stop even if a promise can't be kept meanwhile")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	if !slices.Contains(kinds, string(options.Request.Kind)) {
		return nil, factory.Usage("--kind: want one of %s", strings.Join(kinds, ", "))
	}
	if options.Request.Target == "" {
		return nil, factory.Usage("--target: name what to stop; carobline status lists names")
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

// Run asks for the stop; carobline stop show follows it.
func Run(ctx context.Context, options *Options) error {
	outcome, err := options.Client.Stop(ctx, options.Request)
	if err != nil {
		return err
	}
	if err := apply.Verdict(*outcome.Result, string(options.Request.Stop)); err != nil {
		return err
	}
	rows := [][]string{{string(options.Request.Stop), string(options.Request.Kind), options.Request.Target, fmt.Sprint(outcome.InForce)}}
	return options.Printer.Show(outcome, []string{"STOP", "KIND", "TARGET", "IN FORCE"}, rows)
}
