// Package root dispatches the arguments to a command and maps its error to an
// exit code.
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
	blockend "carobline.dev/carobline/command/block/end"
	blocklist "carobline.dev/carobline/command/block/list"
	"carobline.dev/carobline/command/contract/apply"
	"carobline.dev/carobline/command/contract/check"
	contractlist "carobline.dev/carobline/command/contract/list"
	"carobline.dev/carobline/command/contract/retire"
	contractshow "carobline.dev/carobline/command/contract/show"
	evacuationfinish "carobline.dev/carobline/command/evacuation/finish"
	evacuationlist "carobline.dev/carobline/command/evacuation/list"
	evacuationstart "carobline.dev/carobline/command/evacuation/start"
	"carobline.dev/carobline/command/status"
	"carobline.dev/carobline/command/stop/create"
	stoplist "carobline.dev/carobline/command/stop/list"
	stopshow "carobline.dev/carobline/command/stop/show"
	voterset "carobline.dev/carobline/command/voter/set"
	"carobline.dev/carobline/process/factory"
)

const usage = `Operate a carobline system: manage contracts and request planned stops.

USAGE
  carobline <noun> <verb> [flags]

COMMANDS
  contract apply    create or change contracts from a file or folder
  contract check    check the contracts of a file or folder, and change nothing
  contract list     list contracts
  contract show     show one contract
  contract retire   end a contract
  stop create       request a planned stop
  stop list         list planned stops
  stop show         show one planned stop, or wait until it is done
  evacuation start  send nothing more to the endpoints of a data centre
  evacuation finish use the endpoints of an evacuated data centre again
  evacuation list   list the evacuated data centres
  block list        list the blocks of parts of prompts that end engines
  block end         end one of them
  voter set         set the voters; each change adds or removes one node
  status            show groups, hosts, entry hosts and customers
  audit list        list changes with time, actor, old and new value

EXAMPLES
  $ carobline contract check -f contracts/
  $ carobline contract apply -f contracts/ --dry-run
  $ carobline contract apply -f contracts/
  $ carobline stop create --kind endpoint --target h-17
  $ carobline status --json

Use --help with a command to list its flags. Exit codes: 0 done, 1 refused or
failed, 2 usage, 4 conflict.
`

// command runs one command with the arguments that follow its name.
type command func(ctx context.Context, shared *factory.Factory, arguments []string) error

var commands = map[string]command{
	"contract apply":    apply.Command,
	"contract check":    check.Command,
	"contract list":     contractlist.Command,
	"contract show":     contractshow.Command,
	"contract retire":   retire.Command,
	"stop create":       create.Command,
	"stop list":         stoplist.Command,
	"stop show":         stopshow.Command,
	"status":            status.Command,
	"evacuation start":  evacuationstart.Command,
	"evacuation finish": evacuationfinish.Command,
	"evacuation list":   evacuationlist.Command,
	"block list":        blocklist.Command,
	"block end":         blockend.Command,
	"voter set":         voterset.Command,
	"audit list":        auditlist.Command,
}

// Root is the root command.
type Root struct {
	shared *factory.Factory
}

// New returns the root command. All commands get the shared dependencies.
func New(shared *factory.Factory) *Root { return &Root{shared: shared} }

// Run runs the command that the first one or two arguments name. Without
// arguments, or when help is requested, it prints the usage text.
func (root *Root) Run(ctx context.Context, arguments []string) factory.ExitCode {
	if len(arguments) == 0 || arguments[0] == "help" || arguments[0] == "--help" || arguments[0] == "-h" {
		fmt.Fprint(root.shared.Out, usage)
		return factory.ExitSuccess
	}
	for words := min(2, len(arguments)); words > 0; words-- {
		if run, ok := commands[strings.Join(arguments[:words], " ")]; ok {
			return root.exit(run(ctx, root.shared, arguments[words:]))
		}
	}
	fmt.Fprintf(root.shared.Err, "carobline: there is no command %q; carobline help lists all commands\n", strings.Join(arguments[:min(2, len(arguments))], " "))
	return factory.ExitUsage
}

func (root *Root) exit(err error) factory.ExitCode {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return factory.ExitSuccess
	}
	fmt.Fprintf(root.shared.Err, "carobline: %v\n", err)
	var exitError *factory.Error
	if errors.As(err, &exitError) {
		return exitError.Code
	}
	return factory.ExitFailed
}
