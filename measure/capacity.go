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
	slopesPath = "docs/capacity/slopes.json"
	pagePath   = "docs/CAPACITY.md"
	docPerm    = 0o644
)

// capacityFigures prints each point, line and residual.
func capacityFigures(_ uint64, lines *report.Report) error {
	showSlopes(capacity.Fit(capacity.Measure()), lines)
	return nil
}

func showSlopes(slopes []capacity.Slope, lines *report.Report) {
	for _, slope := range slopes {
		for _, point := range slope.Points {
			lines.Figure(fmt.Sprintf("%s.%g", slope.Figure, point.Size), point.Value*1e6, "millionths")
		}
		lines.Figure(slope.Figure+".base", slope.Base*1e6, "millionths")
		lines.Figure(slope.Figure+".slope", slope.Slope*1e6, "millionths")
		lines.Figure(slope.Figure+".residual", slope.Residual, "of largest")
	}
}

// capacityPage measures, and writes the slopes and the page's table.
func capacityPage(_ uint64, lines *report.Report) error {
	slopes := capacity.Fit(capacity.Measure())
	showSlopes(slopes, lines)
	data, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	if err := os.WriteFile(slopesPath, append(data, '\n'), docPerm); err != nil {
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
		return errors.Wrap(err, "read slopes")
	}
	return writeTable(slopes)
}

func writeTable(slopes []capacity.Slope) error {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	written, ok := capacity.Replace(string(page), capacity.Table(slopes))
	if !ok {
		return errors.Errorf("%s has no marks for the table", pagePath)
	}
	if err := os.WriteFile(pagePath, []byte(written), docPerm); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}
