// Package root finds the command that the arguments name and turns its error
// into an exit code.
//
// # Usage
//
//	code := root.New(shared).Run(ctx, os.Args[1:])
package root

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	auditlist "carobline.dev/carobline/command/audit/list"
	"carobline.dev/carobline/command/contract/apply"
	contractlist "carobline.dev/carobline/command/contract/list"
	"carobline.dev/carobline/command/contract/retire"
	contractshow "carobline.dev/carobline/command/contract/show"
	"carobline.dev/carobline/command/status"
	"carobline.dev/carobline/command/stop/create"
	stoplist "carobline.dev/carobline/command/stop/list"
	stopshow "carobline.dev/carobline/command/stop/show"
	voterset "carobline.dev/carobline/command/voter/set"
	"carobline.dev/carobline/process/factory"
)

const usage = `Drive a carobline system: write contracts and ask for planned stops.

USAGE
  carobline <noun> <verb> [flags]

COMMANDS
  contract apply    create or change contracts from a file or a folder
  contract list     list contracts
  contract show     show one contract
  contract retire   end a contract
  stop create       ask for a planned stop
  stop list         list planned stops
  stop show         show, or follow, one planned stop
  voter set         change which nodes vote, one at a time
  status            show groups, hosts, entry hosts and customers
  audit list        list who changed what, when, from what and to what

EXAMPLES
  $ carobline contract apply -f contracts/ --dry-run
  $ carobline contract apply -f contracts/
  $ carobline stop create --kind endpoint --target h-17
  $ carobline status --json

Each command explains itself with --help. Exit codes: 0 done, 1 refused or
failed, 2 usage, 4 conflict.
`

// Command runs one command's own arguments.
type command func(ctx context.Context, shared *factory.Factory, arguments []string) error

var commands = map[string]command{
	"contract apply":  apply.Command,
	"contract list":   contractlist.Command,
	"contract show":   contractshow.Command,
	"contract retire": retire.Command,
	"stop create":     create.Command,
	"stop list":       stoplist.Command,
	"stop show":       stopshow.Command,
	"status":          status.Command,
	"voter set":       voterset.Command,
	"audit list":      auditlist.Command,
}

// Root is the whole command line.
type Root struct {
	shared *factory.Factory
}

// New returns the command line over shared dependencies.
func New(shared *factory.Factory) *Root { return &Root{shared: shared} }

// Run runs the command that the arguments name.
func (root *Root) Run(ctx context.Context, arguments []string) factory.ExitCode {
	if len(arguments) == 0 || arguments[0] == "help" || arguments[0] == "--help" || arguments[0] == "-h" {
		fmt.Fprint(root.shared.Out, usage)
		return factory.ExitDone
	}
	for words := min(2, len(arguments)); words > 0; words-- {
		if found, ok := commands[strings.Join(arguments[:words], " ")]; ok {
			return root.exit(found(ctx, root.shared, arguments[words:]))
		}
	}
	fmt.Fprintf(root.shared.Err, "carobline: there is no command %q; carobline help lists them\n", strings.Join(arguments[:min(2, len(arguments))], " "))
	return factory.ExitUsage
}

func (root *Root) exit(err error) factory.ExitCode {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return factory.ExitDone
	}
	fmt.Fprintf(root.shared.Err, "carobline: %v\n", err)
	var known *factory.Error
	if errors.As(err, &known) {
		return known.Code
	}
	return factory.ExitRefused
}
