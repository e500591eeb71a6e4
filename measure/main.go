// Command measure runs the measurements that docs/ quotes.
//
//	measure traffic     policies on a model of the engines; SEED=n changes arrivals
//	measure formation   groups of engines that are lost, added and replaced
//	measure capacity    cost of control at several sizes, with fitted lines
//	measure capacity-page   the same, written into docs/CAPACITY.md
//	measure capacity-table  docs/CAPACITY.md again from the committed slopes
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"carobline.dev/measure/process/formation"
	"carobline.dev/measure/process/report"
	"carobline.dev/measure/process/traffic"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitMissed = 1
	exitUsage  = 2
)

// measurement prints some figures.
type measurement func(seed uint64, lines *report.Report) error

var measurements = map[string][]measurement{
	"capacity":       {capacityFigures},
	"capacity-page":  {capacityPage},
	"capacity-table": {capacityTable},
	"formation":      {always(formation.Measure)},
	"traffic": {
		always(traffic.HeadOfLine), always(traffic.Crest), always(traffic.SlowEngines),
		always(traffic.Prefixes), always(traffic.DecisionCost),
	},
}

// always makes a measurement of one that can't fail.
func always(measure func(seed uint64, lines *report.Report)) measurement {
	return func(seed uint64, lines *report.Report) error {
		measure(seed, lines)
		return nil
	}
}

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

func run(arguments []string, environment func(string) string, out, diagnostics io.Writer) int {
	seed := uint64(1)
	if text := environment("SEED"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			fmt.Fprintf(diagnostics, "measure: SEED: %q is not a number\n", text)
			return exitUsage
		}
		seed = number
	}
	if len(arguments) != 1 || measurements[arguments[0]] == nil {
		fmt.Fprintln(diagnostics, "measure: usage: measure traffic|formation|capacity|capacity-page|capacity-table")
		return exitUsage
	}
	lines := report.New(out)
	for _, one := range measurements[arguments[0]] {
		if err := one(seed, lines); err != nil {
			fmt.Fprintf(diagnostics, "measure: %v\n", err)
			return exitFailed
		}
	}
	if lines.Missed() > 0 {
		fmt.Fprintf(diagnostics, "measure: %d targets were missed\n", lines.Missed())
		return exitMissed
	}
	return exitDone
}
