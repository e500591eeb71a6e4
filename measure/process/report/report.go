// Package report prints figures, one on a line: name, value, unit, target.
//
// # Usage
//
//	lines := report.New(os.Stdout)
//	lines.AtMost("short_first_token_p99", 0.12, "s", 0.32)
package report

import (
	"fmt"
	"io"
	"strings"
)

// Report writes figures to one stream.
type Report struct {
	out    io.Writer
	missed int
}

// New returns a report.
func New(out io.Writer) *Report { return &Report{out: out} }

// Figure prints a figure that has no target.
func (report *Report) Figure(name string, value float64, unit string) {
	fmt.Fprintf(report.out, "%-52s %14s %-16s\n", name, number(value), unit)
}

// AtMost prints a figure whose target is an upper bound.
func (report *Report) AtMost(name string, value float64, unit string, bound float64) {
	report.target(name, value, unit, "at most "+number(bound), value <= bound)
}

// AtLeast prints a figure whose target is a lower bound.
func (report *Report) AtLeast(name string, value float64, unit string, bound float64) {
	report.target(name, value, unit, "at least "+number(bound), value >= bound)
}

func (report *Report) target(name string, value float64, unit, target string, met bool) {
	verdict := "met"
	if !met {
		verdict = "MISSED"
		report.missed++
	}
	fmt.Fprintf(report.out, "%-52s %14s %-16s %-18s %s\n", name, number(value), unit, target, verdict)
}

// Missed counts the targets that were missed.
func (report *Report) Missed() int { return report.missed }

func number(value float64) string {
	text := fmt.Sprintf("%.4f", value)
	if value >= 1000 || value <= -1000 {
		text = fmt.Sprintf("%.1f", value)
	}
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}
