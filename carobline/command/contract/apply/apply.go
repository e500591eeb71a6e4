// Package apply implements carobline contract apply, which creates and changes
// contracts until they match files that are kept under version control.
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

// Options are the parsed arguments and the dependencies of the command.
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

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{NewChange: shared.NewChange}
	flags := shared.Flags("carobline contract apply")
	flags.StringVar(&options.Path, "f", "", "`FILE` of one contract, or folder of .json files")
	flags.BoolVar(&options.DryRun, "dry-run", false, "print the changes without making them")
	err := flags.Parse(arguments)
	if err != nil {
		return nil, err
	}
	if options.Path == "" || flags.NArg() > 0 {
		return nil, factory.UsageErrorf("give the contracts with -f FILE or -f FOLDER, and no other arguments")
	}
	options.Client, options.Printer, err = flags.Connect()
	return options, err
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// contractChange is the result for one contract. In a dry run it is what the
// command would change.
type contractChange struct {
	ClientAccount id.ClientAccount   `json:"customer"`
	Action        string             `json:"action"`
	Revision      id.Revision        `json:"revision"`
	InForce       bool               `json:"in_force"`
	Lagging       []id.Node          `json:"lagging,omitempty"`
	From          *contract.Contract `json:"from,omitempty"`
	To            *contract.Contract `json:"to,omitempty"`
}

// Run creates or changes the contracts and prints the results. It reads all
// files before the first change, so that one invalid file changes nothing, and
// it stops at the first change that fails.
func Run(ctx context.Context, options *Options) error {
	wanted, err := readContracts(options.Path)
	if err != nil {
		return &factory.Error{Code: factory.ExitUsage, Err: err}
	}
	list, err := options.Client.Contracts(ctx)
	if err != nil {
		return err
	}
	recordByClientAccount := map[id.ClientAccount]register.ContractRecord{}
	for _, record := range list.Contracts {
		recordByClientAccount[record.Contract.ClientAccount] = record
	}
	changes := []contractChange{}
	var failure error
	for index := range wanted {
		change, err := options.applyContract(ctx, &wanted[index], recordByClientAccount[wanted[index].ClientAccount])
		if err != nil {
			failure = err
			break
		}
		changes = append(changes, change)
	}
	if err := options.show(changes); err != nil {
		return err
	}
	return failure
}

// readContracts reads one file, or all .json files of a folder in the order of
// their names. Two files for one client account are an error.
func readContracts(path string) ([]contract.Contract, error) {
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
		return nil, errors.Errorf("folder %s contains no .json files", path)
	}
	slices.Sort(paths)
	fileByClientAccount := map[id.ClientAccount]string{}
	var list []contract.Contract
	for _, file := range paths {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read contracts")
		}
		decoded, err := contract.Decode(data)
		if err != nil {
			return nil, errors.Wrapf(err, "file %s", file)
		}
		if other, ok := fileByClientAccount[decoded.ClientAccount]; ok {
			return nil, errors.Errorf("files %s and %s are both for customer %s", other, file, decoded.ClientAccount)
		}
		fileByClientAccount[decoded.ClientAccount] = file
		list = append(list, decoded)
	}
	return list, nil
}

// applyContract makes one contract equal to wanted; current is its record, or
// the zero record if there is none. A dry run sends nothing.
func (options *Options) applyContract(ctx context.Context, wanted *contract.Contract, current register.ContractRecord) (contractChange, error) {
	change := contractChange{ClientAccount: wanted.ClientAccount, Action: "create", To: wanted}
	if current.Revision > 0 {
		old := current.Contract
		change.From, change.Action, change.Revision = &old, "change", current.Revision
		if current.Retired {
			change.Action = "revive"
		}
	}
	if !current.Retired && current.Revision > 0 && canonicalJSON(current.Contract) == canonicalJSON(*wanted) {
		change.Action, change.InForce, change.From, change.To = "unchanged", true, nil, nil
		return change, nil
	}
	if options.DryRun {
		change.Action = "would " + change.Action
		return change, nil
	}
	outcome, err := options.Client.Apply(ctx, operator.ApplyRequest{Change: options.NewChange(), Base: current.Revision, Contract: *wanted})
	if err != nil {
		return change, errors.Wrapf(err, "contract %s", wanted.ClientAccount)
	}
	change.InForce, change.Lagging, change.Revision = outcome.InForce, outcome.Lagging, outcome.Result.Revision
	return change, factory.VerdictError(*outcome.Result, string(wanted.ClientAccount))
}

// canonicalJSON encodes a contract so that an absent and an empty list are equal.
func canonicalJSON(contract contract.Contract) string {
	data, err := json.Marshal(contract)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (options *Options) show(changes []contractChange) error {
	var rows [][]string
	for _, change := range changes {
		rows = append(rows, []string{string(change.ClientAccount), change.Action, fmt.Sprint(change.Revision), inForceCell(change), strings.Join(changedFields(change), ", ")})
	}
	return options.Printer.Show(changes, []string{"CUSTOMER", "ACTION", "REVISION", "IN FORCE", "FIELDS"}, rows)
}

func inForceCell(change contractChange) string {
	switch {
	case strings.HasPrefix(change.Action, "would"):
		return "-"
	case change.InForce:
		return "yes"
	default:
		return fmt.Sprintf("not yet at %v", change.Lagging)
	}
}

// changedFields lists the fields that differ, sorted by name, each with its old
// and its new value.
func changedFields(change contractChange) []string {
	if change.To == nil || change.From == nil {
		return nil
	}
	from, to := rawFieldsByName(change.From), rawFieldsByName(change.To)
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
			list = append(list, fmt.Sprintf("%s %s -> %s", name, valueOrNone(from[name]), valueOrNone(to[name])))
		}
	}
	return list
}

func rawFieldsByName(contract *contract.Contract) map[string]json.RawMessage {
	rawByName := map[string]json.RawMessage{}
	// A contract always encodes to a JSON object.
	_ = json.Unmarshal([]byte(canonicalJSON(*contract)), &rawByName)
	return rawByName
}

func valueOrNone(value json.RawMessage) string {
	if value == nil {
		return "none"
	}
	return string(value)
}
