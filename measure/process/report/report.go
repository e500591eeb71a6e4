// Package report prints measured figures, one a line: name, value, unit, target and
// whether it was met.
//
// # Usage
//
//	report := report.New(os.Stdout)
//	report.AtMost("short_first_token_p99", 0.12, "s", 0.32)
package report

import (
	"fmt"
	"io"
	"strings"
)

// Report writes figures to one stream and counts the missed targets.
type Report struct {
	out           io.Writer
	missedTargets int
}

// New returns a report that writes to out.
func New(out io.Writer) *Report { return &Report{out: out} }

// Figure prints a figure that has no target.
func (report *Report) Figure(name string, value float64, unit string) {
	fmt.Fprintf(report.out, "%-52s %14s %-16s\n", name, format(value), unit)
}

// AtMost prints a figure whose target is an upper bound.
func (report *Report) AtMost(name string, value float64, unit string, bound float64) {
	report.figureWithTarget(name, value, unit, "at most "+format(bound), value <= bound)
}

// AtLeast prints a figure whose target is a lower bound.
func (report *Report) AtLeast(name string, value float64, unit string, bound float64) {
	report.figureWithTarget(name, value, unit, "at least "+format(bound), value >= bound)
}

func (report *Report) figureWithTarget(name string, value float64, unit, target string, met bool) {
	verdict := "met"
	if !met {
		verdict = "MISSED"
		report.missedTargets++
	}
	fmt.Fprintf(report.out, "%-52s %14s %-16s %-18s %s\n", name, format(value), unit, target, verdict)
}

// MissedTargets returns how many targets were missed so far.
func (report *Report) MissedTargets() int { return report.missedTargets }

// format rounds to four decimals, and to one from 1000 on.
func format(value float64) string {
	text := fmt.Sprintf("%.4f", value)
	if value >= 1000 || value <= -1000 {
		text = fmt.Sprintf("%.1f", value)
	}
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}
