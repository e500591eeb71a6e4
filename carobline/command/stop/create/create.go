// Package create implements carobline stop create, which requests a planned stop.
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

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Request operator.StopRequest
	Client  interface {
		Stop(ctx context.Context, request operator.StopRequest) (controller.Outcome, error)
	}
	Printer *printer.Printer
}

var targetKinds = []string{
	string(register.TargetEndpoint), string(register.TargetGroup), string(register.TargetNode),
	string(register.TargetDomain), string(register.TargetDataCentre),
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	change := shared.NewChange()
	options := &Options{Request: operator.StopRequest{Change: change}}
	flags := shared.Flags("carobline stop create")
	flags.StringVar((*string)(&options.Request.Kind), "kind", "", "`KIND` of the target: "+strings.Join(targetKinds, ", "))
	flags.StringVar(&options.Request.Target, "target", "", "`NAME` of the target; carobline status lists the names")
	flags.StringVar((*string)(&options.Request.Stop), "name", "stop-"+string(change), "`NAME` of the new stop")
	flags.BoolVar(&options.Request.AcceptLoss, "accept-loss", false, "stop even if this loses the quorum or all serving groups of a model")
	err := flags.Parse(arguments)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(targetKinds, string(options.Request.Kind)) {
		return nil, factory.UsageErrorf("--kind must be one of %s", strings.Join(targetKinds, ", "))
	}
	if options.Request.Target == "" {
		return nil, factory.UsageErrorf("--target is required; carobline status lists the names")
	}
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run requests the stop and prints the outcome. It doesn't wait until the stop
// is done; carobline stop show --follow does.
func Run(ctx context.Context, options *Options) error {
	outcome, err := options.Client.Stop(ctx, options.Request)
	if err != nil {
		return err
	}
	name := string(options.Request.Stop)
	row := []string{name, string(options.Request.Kind), options.Request.Target, fmt.Sprint(outcome.InForce)}
	return factory.ShowOutcome(options.Printer, outcome, name, []string{"STOP", "KIND", "TARGET", "IN FORCE"}, row)
}
