// Command measure runs the measurements whose figures docs/ quotes. Run it from the
// root of the repository. It exits with 1 if a target is missed.
//
//	measure traffic         dispatch policies on simulated engines; SEED=n changes the arrivals
//	measure admission       calls of a model with few large groups, at the peak of the load
//	measure formation       forming groups while engines are lost, added and replaced
//	measure control         cores of real control hosts, with engines that fail and a leader that is killed; see measure control -h
//	measure capacity        cost of the control plane at several sizes, with fitted lines
//	measure capacity-page   the same, and writes docs/capacity/slopes.json and the table in docs/CAPACITY.md
//	measure capacity-table  writes the table in docs/CAPACITY.md from the committed slopes
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"carobline.dev/measure/process/admission"
	"carobline.dev/measure/process/controlhost"
	"carobline.dev/measure/process/formation"
	"carobline.dev/measure/process/report"
	"carobline.dev/measure/process/traffic"
)

// Exit codes of the process.
const (
	exitDone   = 0
	exitFailed = 1
	exitMissed = 1
	exitUsage  = 2
)

// measurement writes figures to a report.
type measurement func(seed uint64, report *report.Report) error

var measurementsByName = map[string][]measurement{
	"capacity":       {capacityFigures},
	"capacity-page":  {capacityPage},
	"capacity-table": {capacityTable},
	"admission":      {infallible(admission.Measure)},
	"formation":      {infallible(formation.Measure)},
	"traffic": {
		infallible(traffic.HeadOfLine), infallible(traffic.OverloadBurst), infallible(traffic.SlowEngines),
		infallible(traffic.PrefixCacheHits), infallible(traffic.DecisionCost),
	},
}

// infallible wraps a function that can't fail as a measurement.
func infallible(measure func(seed uint64, report *report.Report)) measurement {
	return func(seed uint64, report *report.Report) error {
		measure(seed, report)
		return nil
	}
}

func main() { os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr)) }

func run(arguments []string, environment func(string) string, out, diagnostics io.Writer) int {
	seed := uint64(1)
	if text := environment("SEED"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			fmt.Fprintf(diagnostics, "measure: the environment variable SEED is %q, want a whole number from 0\n", text)
			return exitUsage
		}
		seed = number
	}
	if len(arguments) > 0 && arguments[0] == controlCommand {
		return runControl(arguments[1:], out, diagnostics)
	}
	if len(arguments) > 0 && arguments[0] == controlhost.Command {
		return runControlHost(arguments[1:], os.Stdin, out, diagnostics)
	}
	if len(arguments) != 1 || measurementsByName[arguments[0]] == nil {
		fmt.Fprintln(diagnostics, "measure: usage: measure traffic|admission|formation|control|capacity|capacity-page|capacity-table")
		return exitUsage
	}
	report := report.New(out)
	for _, measure := range measurementsByName[arguments[0]] {
		if err := measure(seed, report); err != nil {
			fmt.Fprintf(diagnostics, "measure: %v\n", err)
			return exitFailed
		}
	}
	if report.MissedTargets() > 0 {
		fmt.Fprintf(diagnostics, "measure: %d targets were missed\n", report.MissedTargets())
		return exitMissed
	}
	return exitDone
}
