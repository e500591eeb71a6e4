package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"carobline.dev/measure/process/capacity"
	"carobline.dev/measure/process/report"
)

const (
	slopesPath  = "docs/capacity/slopes.json"
	pagePath    = "docs/CAPACITY.md"
	docFileMode = 0o644
)

// capacityFigures measures, and prints each point, fitted line and residual.
func capacityFigures(_ uint64, report *report.Report) error {
	printSlopes(capacity.Fit(capacity.Measure()), report)
	return nil
}

func printSlopes(slopes []capacity.Slope, report *report.Report) {
	for _, slope := range slopes {
		for _, point := range slope.Points {
			report.Figure(fmt.Sprintf("%s.%g", slope.Figure, point.Size), point.Value*1e6, "millionths")
		}
		report.Figure(slope.Figure+".base", slope.Base*1e6, "millionths")
		report.Figure(slope.Figure+".slope", slope.Slope*1e6, "millionths")
		report.Figure(slope.Figure+".residual", slope.Residual, "of largest")
	}
}

// capacityPage measures, prints the figures, and writes the slopes and the page's
// table.
func capacityPage(_ uint64, report *report.Report) error {
	slopes := capacity.Fit(capacity.Measure())
	printSlopes(slopes, report)
	data, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	if err := os.WriteFile(slopesPath, append(data, '\n'), docFileMode); err != nil {
		return errors.Wrap(err, "write slopes")
	}
	return writeTable(slopes)
}

// capacityTable writes the page's table from the committed slopes.
func capacityTable(uint64, *report.Report) error {
	data, err := os.ReadFile(slopesPath)
	if err != nil {
		return errors.Wrap(err, "read slopes")
	}
	var slopes []capacity.Slope
	if err := json.Unmarshal(data, &slopes); err != nil {
		return errors.Wrap(err, "decode slopes")
	}
	return writeTable(slopes)
}

func writeTable(slopes []capacity.Slope) error {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	updatedPage, ok := capacity.ReplaceTable(string(page), capacity.Table(slopes))
	if !ok {
		return errors.Errorf("%s lacks the two markers between which the table is written", pagePath)
	}
	if err := os.WriteFile(pagePath, []byte(updatedPage), docFileMode); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}
