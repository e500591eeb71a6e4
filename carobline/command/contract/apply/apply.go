// Package apply is carobline contract apply: it brings the contracts in force
// in line with files that are kept under version control.
//
// # Usage
//
//	err := apply.Command(ctx, shared, []string{"-f", "contracts/"})
package apply

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/contract"
)

// Options are what the command line says.
type Options struct {
	Path   string
	DryRun bool
	// Client reads and changes contracts.
	Client interface {
		Contracts(ctx context.Context) (operator.ContractList, error)
		Apply(ctx context.Context, request operator.ApplyRequest) (controller.Outcome, error)
	}
	NewChange func() id.Change
	Printer   *printer.Printer
}

// New returns the options that arguments give.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{NewChange: shared.NewChange}
	flags := shared.Flags("carobline contract apply")
	flags.StringVar(&options.Path, "f", "", "a contract's `FILE`, or a folder of .json files")
	flags.BoolVar(&options.DryRun, "dry-run", false, "show what would change and change nothing")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	if options.Path == "" || flags.NArg() > 0 {
		return nil, factory.Usage("name the contracts with -f FILE or -f FOLDER")
	}
	client, err := shared.Client()
	if err != nil {
		return nil, err
	}
	options.Client = client
	options.Printer = printer.New(shared.Out, flags.JSON)
	return options, nil
}

// Command parses, then runs.
var Command = factory.Verb(New, Run)

// change is what became, or would become, of one contract.
type change struct {
	ClientAccount id.ClientAccount   `json:"customer"`
	Action        string             `json:"action"`
	Revision      id.Revision        `json:"revision"`
	InForce       bool               `json:"in_force"`
	Lagging       []id.Node          `json:"lagging,omitempty"`
	From          *contract.Contract `json:"from,omitempty"`
	To            *contract.Contract `json:"to,omitempty"`
}

// Run reads all files first, so that a bad one changes nothing.
func Run(ctx context.Context, options *Options) error {
	wanted, err := read(options.Path)
	if err != nil {
		return &factory.Error{Code: factory.ExitUsage, Err: err}
	}
	list, err := options.Client.Contracts(ctx)
	if err != nil {
		return err
	}
	present := map[id.ClientAccount]register.ContractRecord{}
	for _, record := range list.Contracts {
		present[record.Contract.ClientAccount] = record
	}
	changes := []change{}
	var failure error
	for index := range wanted {
		made, err := options.bring(ctx, &wanted[index], present[wanted[index].ClientAccount])
		if err != nil {
			failure = err
			break
		}
		changes = append(changes, made)
	}
	if err := options.show(changes); err != nil {
		return err
	}
	return failure
}

// read reads one contract, or all .json files of a folder in order.
func read(path string) ([]contract.Contract, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read contracts")
	}
	paths := []string{path}
	if info.IsDir() {
		paths, err = filepath.Glob(filepath.Join(path, "*.json"))
		if err != nil {
			return nil, errors.Wrap(err, "read contracts")
		}
	}
	if len(paths) == 0 {
		return nil, errors.Errorf("folder %s holds no .json files", path)
	}
	slices.Sort(paths)
	seen := map[id.ClientAccount]string{}
	var list []contract.Contract
	for _, name := range paths {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "read contracts")
		}
		one, err := contract.Decode(data)
		if err != nil {
			return nil, errors.Wrapf(err, "file %s", name)
		}
		if other, ok := seen[one.ClientAccount]; ok {
			return nil, errors.Errorf("files %s and %s are both for customer %s", other, name, one.ClientAccount)
		}
		seen[one.ClientAccount] = name
		list = append(list, one)
	}
	return list, nil
}

func (options *Options) bring(ctx context.Context, wanted *contract.Contract, present register.ContractRecord) (change, error) {
	made := change{ClientAccount: wanted.ClientAccount, Action: "create", To: wanted}
	if present.Revision > 0 {
		old := present.Contract
		made.From, made.Action, made.Revision = &old, "change", present.Revision
		if present.Retired {
			made.Action = "revive"
		}
	}
	if !present.Retired && present.Revision > 0 && normal(present.Contract) == normal(*wanted) {
		made.Action, made.InForce, made.From, made.To = "unchanged", true, nil, nil
		return made, nil
	}
	if options.DryRun {
		made.Action = "would " + made.Action
		return made, nil
	}
	outcome, err := options.Client.Apply(ctx, operator.ApplyRequest{Change: options.NewChange(), Base: present.Revision, Contract: *wanted})
	if err != nil {
		return made, errors.Wrapf(err, "contract %s", wanted.ClientAccount)
	}
	made.InForce, made.Lagging, made.Revision = outcome.InForce, outcome.Lagging, outcome.Result.Revision
	return made, Verdict(*outcome.Result, string(wanted.ClientAccount))
}

// normal makes absent and empty lists alike.
func normal(agreed contract.Contract) string {
	data, err := json.Marshal(agreed)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Verdict turns a refused change into an error with its exit code.
func Verdict(result register.Result, subject string) error {
	switch result.Verdict {
	case register.VerdictConflict:
		winner := ""
		if result.Winner != nil {
			winner = "\nthe contract that stands: " + normal(result.Winner.Contract)
		}
		return &factory.Error{Code: factory.ExitConflict, Err: errors.Errorf(
			"%s: someone else changed it meanwhile: %s; look at it, then apply again%s", subject, result.Reason, winner,
		)}
	case register.VerdictRefused:
		return &factory.Error{Code: factory.ExitRefused, Err: errors.Errorf("%s: refused: %s", subject, result.Reason)}
	default:
		return nil
	}
}

func (options *Options) show(changes []change) error {
	var rows [][]string
	for _, made := range changes {
		rows = append(rows, []string{string(made.ClientAccount), made.Action, fmt.Sprint(made.Revision), force(made), strings.Join(differences(made), ", ")})
	}
	return options.Printer.Show(changes, []string{"CUSTOMER", "ACTION", "REVISION", "IN FORCE", "FIELDS"}, rows)
}

func force(made change) string {
	switch {
	case strings.HasPrefix(made.Action, "would"):
		return "-"
	case made.InForce:
		return "yes"
	default:
		return fmt.Sprintf("not yet at %v", made.Lagging)
	}
}

// differences lists the fields that a change touches, with both values.
func differences(made change) []string {
	if made.To == nil || made.From == nil {
		return nil
	}
	from, to := fields(made.From), fields(made.To)
	var names []string
	for name := range to {
		names = append(names, name)
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var list []string
	for _, name := range names {
		if string(from[name]) != string(to[name]) {
			list = append(list, fmt.Sprintf("%s %s -> %s", name, orNone(from[name]), orNone(to[name])))
		}
	}
	return list
}

func fields(agreed *contract.Contract) map[string]json.RawMessage {
	found := map[string]json.RawMessage{}
	// A contract always encodes to an object.
	_ = json.Unmarshal([]byte(normal(*agreed)), &found)
	return found
}

func orNone(value json.RawMessage) string {
	if value == nil {
		return "none"
	}
	return string(value)
}
