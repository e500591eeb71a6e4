// Package factory creates the dependencies that all commands share: the
// standard streams, the clock, change ids and the client of the entry hosts.
// Tests replace its fields.
//
// # Usage
//
//	shared := factory.New(os.Stdin, os.Stdout, os.Stderr, os.Getenv)
//	client, printer, err := shared.Flags("carobline status").Open(arguments)
package factory

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/carobline/connection/printer"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
)

// ExitCode is the exit status of the process. Scripts rely on the values.
type ExitCode int

// The exit codes.
const (
	ExitSuccess ExitCode = 0
	// ExitFailed means that the change was refused or that the command failed.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line, or a file that it names, is invalid.
	ExitUsage ExitCode = 2
	// ExitConflict means that the change conflicts with one made since the
	// command read the state.
	ExitConflict ExitCode = 4
)

// Error is an error with the exit code that the process ends with.
type Error struct {
	Code ExitCode
	Err  error
}

// Error returns the text of the cause.
func (codeError *Error) Error() string { return codeError.Err.Error() }

// Unwrap returns the cause.
func (codeError *Error) Unwrap() error { return codeError.Err }

// UsageErrorf returns an error with ExitUsage, for an invalid command line.
func UsageErrorf(format string, arguments ...any) error {
	return &Error{ExitUsage, fmt.Errorf(format, arguments...)}
}

// requestTimeout bounds one request. It is longer than the time for which an
// entry host waits until a change is in force on all nodes.
const requestTimeout = 30 * time.Second

// Factory creates the dependencies that commands share.
type Factory struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	Now func() time.Time
	// NewChange returns a new random change id.
	NewChange func() id.Change
	// NewClient returns a client of the entry hosts. It fails with ExitUsage if
	// the URLs or the token file aren't set, or if the file can't be read.
	NewClient func() (*operator.Client, error)

	entryURLs string
	tokenFile string
}

// New returns the factory of a process. The environment function looks up
// CAROBLINE_ENTRIES and CAROBLINE_TOKEN_FILE, which flags override.
func New(in io.Reader, out, diagnostics io.Writer, environment func(string) string) *Factory {
	factory := &Factory{
		In: in, Out: out, Err: diagnostics, Now: time.Now, NewChange: newChangeID,
		entryURLs: environment("CAROBLINE_ENTRIES"), tokenFile: environment("CAROBLINE_TOKEN_FILE"),
	}
	factory.NewClient = factory.newClient
	return factory
}

// Flags is the flag set of one command.
type Flags struct {
	*flag.FlagSet
	factory *Factory
	// JSON selects JSON output instead of a table.
	JSON bool
}

// Parse parses the arguments of the command. A parse error is an Error with
// ExitUsage; a request for help is one that wraps flag.ErrHelp.
func (flags *Flags) Parse(arguments []string) error {
	if err := flags.FlagSet.Parse(arguments); err != nil {
		return &Error{ExitUsage, err}
	}
	return nil
}

// ParseName parses the arguments of a command that takes one name besides its flags. An
// Error with ExitUsage and the given text is returned if there isn't exactly one.
func (flags *Flags) ParseName(arguments []string, usage string) (string, error) {
	if err := flags.Parse(arguments); err != nil {
		return "", err
	}
	if flags.NArg() != 1 {
		return "", &Error{ExitUsage, errors.New(usage)}
	}
	return flags.Arg(0), nil
}

// Connect returns the client and the printer that the parsed flags select. It fails as
// NewClient does.
func (flags *Flags) Connect() (*operator.Client, *printer.Printer, error) {
	client, err := flags.factory.NewClient()
	return client, printer.New(flags.factory.Out, flags.JSON), err
}

// Open parses the arguments of a command and connects, as Parse and Connect do.
func (flags *Flags) Open(arguments []string) (*operator.Client, *printer.Printer, error) {
	if err := flags.Parse(arguments); err != nil {
		return nil, nil, err
	}
	return flags.Connect()
}

// NewCommand returns a command that parses its arguments into options and then
// runs with them.
func NewCommand[Options any](parse func(*Factory, []string) (*Options, error), run func(context.Context, *Options) error) func(context.Context, *Factory, []string) error {
	return func(ctx context.Context, shared *Factory, arguments []string) error {
		options, err := parse(shared, arguments)
		if err != nil {
			return err
		}
		return run(ctx, options)
	}
}

// Flags returns a new flag set that holds the flags that all commands share.
func (factory *Factory) Flags(name string) *Flags {
	flags := &Flags{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError), factory: factory}
	flags.SetOutput(factory.Err)
	flags.BoolVar(&flags.JSON, "json", false, "print JSON")
	flags.StringVar(&factory.entryURLs, "entries", factory.entryURLs, "comma-separated base `URLS` of the operator interfaces of entry hosts (or CAROBLINE_ENTRIES)")
	flags.StringVar(&factory.tokenFile, "token-file", factory.tokenFile, "`FILE` that holds the operator's token (or CAROBLINE_TOKEN_FILE)")
	return flags
}

func (factory *Factory) newClient() (*operator.Client, error) {
	if factory.entryURLs == "" || factory.tokenFile == "" {
		return nil, UsageErrorf("entry hosts or token file not configured: set -entries and -token-file, or CAROBLINE_ENTRIES and CAROBLINE_TOKEN_FILE")
	}
	token, err := os.ReadFile(factory.tokenFile)
	if err != nil {
		return nil, &Error{ExitUsage, errors.Wrap(err, "read token file")}
	}
	client := rest.NewClient(&http.Client{Timeout: requestTimeout}, strings.TrimSpace(string(token)))
	return operator.New(strings.Split(factory.entryURLs, ","), client), nil
}

func newChangeID() id.Change {
	var randomBytes [12]byte
	// rand.Read doesn't fail on supported operating systems.
	_, _ = rand.Read(randomBytes[:])
	return id.Change("op-" + hex.EncodeToString(randomBytes[:]))
}
