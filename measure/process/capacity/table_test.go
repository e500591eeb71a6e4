package capacity_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/measure/process/capacity"
)

const docsFolder = "../../../docs/"

// TestPageAgreesWithGenerator checks that the table in the committed page is what the
// committed slopes give, and that each slope is the one that its points give.
func TestPageAgreesWithGenerator(t *testing.T) {
	data, err := os.ReadFile(docsFolder + "capacity/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	var slopes []capacity.Slope
	if err := json.Unmarshal(data, &slopes); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(docsFolder + "CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, ok := capacity.ReplaceTable(string(page), capacity.Table(slopes))
	if !ok {
		t.Fatal("the page lacks the two markers between which the table is written")
	}
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("the page is not what script/measure capacity-page writes (-want +got):\n%s", diff)
	}
	for _, slope := range slopes {
		if len(slope.Points) < 3 {
			t.Errorf("%s has %d points, want three or more", slope.Figure, len(slope.Points))
		}
		refitted := capacity.Fit(slope.Points)[0]
		if math.Abs(refitted.Slope-slope.Slope) > 1e-9*math.Abs(slope.Slope) {
			t.Errorf("%s: slope %v, the points give %v", slope.Figure, slope.Slope, refitted.Slope)
		}
	}
}

// TestFit fits a line to points that lie on 3 + 2x.
func TestFit(t *testing.T) {
	points := []capacity.Point{{Figure: "f", Size: 1, Value: 5}, {Figure: "f", Size: 2, Value: 7}, {Figure: "f", Size: 4, Value: 11}}
	got := capacity.Fit(points)[0]
	if math.Abs(got.Base-3) > 1e-9 || math.Abs(got.Slope-2) > 1e-9 || got.Residual > 1e-9 {
		t.Errorf("fit = %+v, want 3 + 2x", got)
	}
}
