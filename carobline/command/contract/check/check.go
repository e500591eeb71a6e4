// Package check implements carobline contract check, which checks contract files
// before they are applied and changes nothing.
//
// # Usage
//
//	err := check.Command(ctx, shared, []string{"contracts/"})
package check

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/carobline/process/factory"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/contractcheck"
)

const notChecked = "not checked"

// Options are the parsed arguments and the dependencies of the command.
type Options struct {
	Path string
	// ConnectErr is why there is no Client, or nil.
	ConnectErr error
	// Client reads the system's state.
	Client interface {
		Status(ctx context.Context) (controller.Overview, error)
	}
	Printer *printer.Printer
}

// New parses the arguments into options.
func New(shared *factory.Factory, arguments []string) (*Options, error) {
	options := &Options{}
	flags := shared.Flags("carobline contract check FILE|FOLDER")
	flags.StringVar(&options.Path, "f", "", "`FILE` of one contract, or folder of .json files; may be given without -f")
	if err := flags.Parse(arguments); err != nil {
		return nil, err
	}
	switch {
	case options.Path == "" && flags.NArg() == 1:
		options.Path = flags.Arg(0)
	case options.Path == "" || flags.NArg() > 0:
		return nil, factory.UsageErrorf("give the contracts as one FILE or FOLDER, with or without -f, and no other arguments")
	}
	// Files can be checked without a system, so missing settings aren't an error.
	options.Client, options.Printer, options.ConnectErr = flags.Connect()
	return options, nil
}

// Command parses its arguments with New and runs them with Run.
var Command = factory.NewCommand(New, Run)

// line is one result: an error, or a difference from the contract in force.
type line struct {
	File          string           `json:"file"`
	ClientAccount id.ClientAccount `json:"customer"`
	Kind          string           `json:"kind"`
	Field         string           `json:"field,omitempty"`
	Text          string           `json:"text"`
}

// report is the JSON output.
type report struct {
	// System is "checked", or "not checked" if the system didn't answer.
	System string `json:"system"`
	Reason string `json:"reason,omitempty"`
	Lines  []line `json:"lines"`
}

// Run checks the files and prints what is wrong and what differs from the contracts in
// force. It returns an error with ExitFailed if something is wrong.
func Run(ctx context.Context, options *Options) error {
	paths, err := contractPaths(options.Path)
	if err != nil {
		return &factory.Error{Code: factory.ExitUsage, Err: err}
	}
	result := report{System: "checked", Lines: []line{}}
	var wanted []contract.Contract
	var files []string
	// undecoded are the files with a field that has no value to compare.
	undecoded := map[string]bool{}
	for _, file := range paths {
		data, err := os.ReadFile(file)
		if err != nil {
			return &factory.Error{Code: factory.ExitUsage, Err: errors.Wrap(err, "read contracts")}
		}
		decoded, lines, ok, complete := decode(file, data)
		result.Lines = append(result.Lines, lines...)
		if ok {
			wanted, files = append(wanted, decoded), append(files, file)
		}
		undecoded[file] = !complete
	}
	overview, err := options.status(ctx)
	var known *contractcheck.Known
	var inForce []contract.Contract
	if err != nil {
		result.System, result.Reason = notChecked, err.Error()
	} else {
		known = knownOf(overview)
		for _, record := range overview.Contracts {
			if !record.Retired {
				inForce = append(inForce, record.Contract)
			}
		}
	}
	for _, finding := range contractcheck.Check(wanted, inForce, known) {
		result.Lines = append(result.Lines, line{files[finding.Index], finding.ClientAccount, "error", finding.Field, finding.Problem})
	}
	wrong := len(result.Lines)
	if err == nil {
		for index, file := range files {
			if !undecoded[file] {
				result.Lines = append(result.Lines, differences(file, wanted[index], inForce)...)
			}
		}
	}
	if err := options.show(result); err != nil {
		return err
	}
	if wrong > 0 {
		return &factory.Error{Code: factory.ExitFailed, Err: errors.Errorf("%d errors in the contracts", wrong)}
	}
	return nil
}

func (options *Options) status(ctx context.Context) (controller.Overview, error) {
	if options.ConnectErr != nil {
		return controller.Overview{}, options.ConnectErr
	}
	return options.Client.Status(ctx)
}

func (options *Options) show(result report) error {
	var rows [][]string
	for _, one := range result.Lines {
		rows = append(rows, []string{one.File, string(one.ClientAccount), one.Kind, one.Field, one.Text})
	}
	if result.System == notChecked {
		rows = append(rows, []string{"-", "-", notChecked, "-", "hosts and contracts in force: " + result.Reason})
	}
	return options.Printer.Show(result, []string{"FILE", "CUSTOMER", "KIND", "FIELD", "TEXT"}, rows)
}

func contractPaths(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read contracts")
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	paths, err := filepath.Glob(filepath.Join(path, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "read contracts")
	}
	if len(paths) == 0 {
		return nil, errors.Errorf("folder %s contains no .json files", path)
	}
	slices.Sort(paths)
	return paths, nil
}

// decode reads a contract field by field, so that it reports each field that
// contract.Decode would reject and not only the first. ok is false if the data
// aren't one JSON object, and complete is false if a field couldn't be
// decoded.
func decode(file string, data []byte) (decoded contract.Contract, lines []line, ok, complete bool) {
	var rawByName map[string]json.RawMessage
	if err := json.Unmarshal(data, &rawByName); err != nil {
		return decoded, []line{{File: file, Kind: "error", Text: "decode contract: " + err.Error()}}, false, false
	}
	rejected := map[string]bool{}
	add := func(field, text string) {
		lines = append(lines, line{File: file, Kind: "error", Field: field, Text: text})
	}
	for _, name := range slices.Sorted(maps.Keys(rawByName)) {
		single, err := json.Marshal(map[string]json.RawMessage{name: rawByName[name]})
		if err == nil {
			decoder := json.NewDecoder(bytes.NewReader(single))
			decoder.DisallowUnknownFields()
			err = decoder.Decode(&decoded)
		}
		if err != nil {
			rejected[name] = true
			add(name, err.Error())
		}
	}
	for _, fault := range decoded.Faults() {
		name, _, _ := strings.Cut(fault.Name, ".")
		if !rejected[name] {
			add(fault.Name, fault.Error())
		}
	}
	for index := range lines {
		lines[index].ClientAccount = decoded.ClientAccount
	}
	return decoded, lines, true, len(rejected) == 0
}

// knownOf returns what live hosts serve. The models of engines are also those of their
// groups and those whose weights they hold.
func knownOf(overview controller.Overview) *contractcheck.Known {
	known := &contractcheck.Known{}
	for _, host := range overview.Hosts {
		if !host.Live {
			continue
		}
		facts := host.Announcement
		known.Models = slices.Concat(known.Models, facts.Models, facts.Staged, facts.Loaded)
		if facts.Service != "" {
			known.Services = append(known.Services, facts.Service)
		}
		known.DataCentres = append(known.DataCentres, facts.DataCentre)
	}
	for _, group := range overview.Groups {
		known.Models = append(known.Models, group.Model)
	}
	return known
}

// differences lists the fields in which a contract differs from the one in force.
func differences(file string, wanted contract.Contract, inForce []contract.Contract) []line {
	index := slices.IndexFunc(inForce, func(one contract.Contract) bool { return one.ClientAccount == wanted.ClientAccount })
	if index < 0 {
		return []line{{File: file, ClientAccount: wanted.ClientAccount, Kind: "new", Text: "no contract in force"}}
	}
	from, to := rawFieldsByName(inForce[index]), rawFieldsByName(wanted)
	names := slices.Concat(slices.Collect(maps.Keys(from)), slices.Collect(maps.Keys(to)))
	slices.Sort(names)
	var lines []line
	for _, name := range slices.Compact(names) {
		if string(from[name]) != string(to[name]) {
			lines = append(lines, line{file, wanted.ClientAccount, "change", name, fmt.Sprintf("%s -> %s", valueOrNone(from[name]), valueOrNone(to[name]))})
		}
	}
	return lines
}

func rawFieldsByName(one contract.Contract) map[string]json.RawMessage {
	rawByName := map[string]json.RawMessage{}
	// A contract always encodes to a JSON object.
	data, _ := json.Marshal(one)
	_ = json.Unmarshal(data, &rawByName)
	return rawByName
}

func valueOrNone(value json.RawMessage) string {
	if value == nil {
		return "none"
	}
	return string(value)
}
