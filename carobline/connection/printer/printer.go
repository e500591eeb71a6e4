// Package printer writes the output of commands: tables for people, JSON for
// scripts.
//
// # Usage
//
//	print := printer.New(out, asJSON)
//	err := print.Show(value, []string{"NAME", "STATE"}, rows)
package printer

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"carobline.dev/core/step"
)

// Printer writes output to one stream.
type Printer struct {
	out    io.Writer
	asJSON bool
}

// New returns a printer that writes JSON if asJSON is set, else tables.
func New(out io.Writer, asJSON bool) *Printer { return &Printer{out: out, asJSON: asJSON} }

// Show writes value as indented JSON, or a table of the head and the rows.
func (printer *Printer) Show(value any, head []string, rows [][]string) error {
	if printer.asJSON {
		encoder := json.NewEncoder(printer.out)
		encoder.SetIndent("", "  ")
		return step.Wrap(encoder.Encode(value), "write JSON")
	}
	table := tabwriter.NewWriter(printer.out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{head}, rows...) {
		if _, err := io.WriteString(table, strings.Join(row, "\t")+"\n"); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return step.Wrap(table.Flush(), "write table")
}
