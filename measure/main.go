// Command measure runs the measurements that docs/ quotes.
//
//	measure traffic     policies on a model of the engines; SEED=n changes arrivals
//	measure capacity    cost of control at several sizes, with fitted lines
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"carobline.dev/measure/process/capacity"
	"carobline.dev/measure/process/report"
	"carobline.dev/measure/process/traffic"
)

// The exit codes.
const (
	exitDone   = 0
	exitMissed = 1
	exitUsage  = 2
)

// measurement prints some figures.
type measurement func(seed uint64, lines *report.Report)

var measurements = map[string][]measurement{
	"capacity": {capacityFigures},
	"traffic":  {traffic.HeadOfLine, traffic.Crest, traffic.SlowEngines, traffic.Prefixes, traffic.DecisionCost},
}

// capacityFigures prints each point, line and residual.
func capacityFigures(_ uint64, lines *report.Report) {
	for _, slope := range capacity.Fit(capacity.Measure()) {
		for _, point := range slope.Points {
			lines.Figure(fmt.Sprintf("%s.%g", slope.Figure, point.Size), point.Value*1e6, "millionths")
		}
		lines.Figure(slope.Figure+".base", slope.Base*1e6, "millionths")
		lines.Figure(slope.Figure+".slope", slope.Slope*1e6, "millionths")
		lines.Figure(slope.Figure+".residual", slope.Residual, "of largest")
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
		fmt.Fprintln(diagnostics, "measure: usage: measure traffic|capacity")
		return exitUsage
	}
	lines := report.New(out)
	for _, one := range measurements[arguments[0]] {
		one(seed, lines)
	}
	if lines.Missed() > 0 {
		fmt.Fprintf(diagnostics, "measure: %d targets were missed\n", lines.Missed())
		return exitMissed
	}
	return exitDone
}
