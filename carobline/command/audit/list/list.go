// Package list implements carobline audit list, which lists the audit trail.
//
// # Usage
//
//	err := list.Command(ctx, shared, []string{"--after", "120"})
package list

import (
	"context"
	"fmt"
	"time"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
)

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	After  uint64
	Client interface {
		Audit(ctx context.Context, after id.Index) (controller.Audit, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline audit list")
	flags.Uint64Var(&options.After, "after", 0, "list entries that follow this `INDEX`")
	var err error
	options.Client, options.Printer, err = flags.Open(arguments)
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// Run prints one page of the audit trail, oldest entries first. The index of the
// last entry, given as After, selects the next page.
func Run(ctx context.Context, options *Options) error {
	audit, err := options.Client.Audit(ctx, id.Index(options.After))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, entry := range audit.Entries {
		rows = append(rows, []string{
			fmt.Sprint(entry.Index), entry.At.Format(time.RFC3339), entry.Actor, entry.Action, entry.Subject, entry.From, entry.To,
		})
	}
	return options.Printer.Show(audit.Entries, []string{"INDEX", "WHEN", "WHO", "ACTION", "SUBJECT", "FROM", "TO"}, rows)
}
