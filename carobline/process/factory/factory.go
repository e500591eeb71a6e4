// Package factory makes what commands share: streams, the clock, ids and the
// client of the entry hosts. Tests replace its fields.
//
// # Usage
//
//	shared := factory.New(os.Stdin, os.Stdout, os.Stderr, os.Getenv)
//	client, err := shared.Client()
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

	"carobline.dev/core/connection/operator"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
)

// ExitCode is what the process ends with.
type ExitCode int

// The exit codes.
const (
	ExitDone     ExitCode = 0
	ExitRefused  ExitCode = 1
	ExitUsage    ExitCode = 2
	ExitConflict ExitCode = 4
)

// Error is an error with its exit code.
type Error struct {
	Code ExitCode
	Err  error
}

// Error implements error.
func (codeError *Error) Error() string { return codeError.Err.Error() }

// Unwrap gives the cause.
func (codeError *Error) Unwrap() error { return codeError.Err }

// Usage returns an error of the command line itself.
func Usage(format string, arguments ...any) error {
	return &Error{ExitUsage, fmt.Errorf(format, arguments...)}
}

// requestTimeout is longer than an entry host takes to see a change in force.
const requestTimeout = 30 * time.Second

// Factory makes shared dependencies.
type Factory struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	Now func() time.Time
	// NewChange returns a fresh change id.
	NewChange func() id.Change
	// Client returns the client of the entry hosts.
	Client func() (*operator.Client, error)

	entries   string
	tokenFile string
}

// New returns a factory for a process.
func New(in io.Reader, out, diagnostics io.Writer, environment func(string) string) *Factory {
	factory := &Factory{
		In: in, Out: out, Err: diagnostics, Now: time.Now, NewChange: newChange,
		entries: environment("CAROBLINE_ENTRIES"), tokenFile: environment("CAROBLINE_TOKEN_FILE"),
	}
	factory.Client = factory.client
	return factory
}

// Flags are the flags of one command.
type Flags struct {
	*flag.FlagSet
	// JSON asks for JSON in place of tables.
	JSON bool
}

// Parse reads the command line; a bad one is an error of usage.
func (flags *Flags) Parse(arguments []string) error {
	if err := flags.FlagSet.Parse(arguments); err != nil {
		return &Error{ExitUsage, err}
	}
	return nil
}

// Verb makes a command of the function that parses its options and the one that
// runs them.
func Verb[Options any](parse func(*Factory, []string) (*Options, error), run func(context.Context, *Options) error) func(context.Context, *Factory, []string) error {
	return func(ctx context.Context, shared *Factory, arguments []string) error {
		options, err := parse(shared, arguments)
		if err != nil {
			return err
		}
		return run(ctx, options)
	}
}

// Flags returns a flag set with the flags that all commands share.
func (factory *Factory) Flags(name string) *Flags {
	flags := &Flags{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError)}
	flags.SetOutput(factory.Err)
	flags.BoolVar(&flags.JSON, "json", false, "print JSON")
	flags.StringVar(&factory.entries, "entries", factory.entries, "base `URLS` of entry hosts' operator interfaces, separated by commas (or CAROBLINE_ENTRIES)")
	flags.StringVar(&factory.tokenFile, "token-file", factory.tokenFile, "the `FILE` that holds the operator's token (or CAROBLINE_TOKEN_FILE)")
	return flags
}

func (factory *Factory) client() (*operator.Client, error) {
	if factory.entries == "" || factory.tokenFile == "" {
		return nil, Usage("say where to go: set -entries and -token-file, or CAROBLINE_ENTRIES and CAROBLINE_TOKEN_FILE")
	}
	token, err := os.ReadFile(factory.tokenFile)
	if err != nil {
		return nil, &Error{ExitUsage, errors.Wrap(err, "read token")}
	}
	client := rest.NewClient(&http.Client{Timeout: requestTimeout}, strings.TrimSpace(string(token)))
	return operator.New(strings.Split(factory.entries, ","), client), nil
}

func newChange() id.Change {
	var raw [12]byte
	// The system's source of randomness doesn't fail on supported systems.
	_, _ = rand.Read(raw[:])
	return id.Change("op-" + hex.EncodeToString(raw[:]))
}
