package capacity_test

import (
	"encoding/json"
	"math"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/measure/process/capacity"
)

const docs = "../../../docs/"

// TestPageAgreesWithGenerator works the committed page out again from the
// committed slopes.
func TestPageAgreesWithGenerator(t *testing.T) {
	data, err := os.ReadFile(docs + "capacity/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	var slopes []capacity.Slope
	if err := json.Unmarshal(data, &slopes); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(docs + "CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, ok := capacity.Replace(string(page), capacity.Table(slopes))
	if !ok {
		t.Fatal("the page has no marks for the table")
	}
	if diff := cmp.Diff(want, string(page)); diff != "" {
		t.Errorf("the page is not what script/measure capacity-page writes (-want +got):\n%s", diff)
	}
	for _, slope := range slopes {
		if len(slope.Points) < 3 {
			t.Errorf("%s has %d points, want three or more", slope.Figure, len(slope.Points))
		}
		again := capacity.Fit(slope.Points)[0]
		if math.Abs(again.Slope-slope.Slope) > 1e-9*math.Abs(slope.Slope) {
			t.Errorf("%s: slope %v, the points give %v", slope.Figure, slope.Slope, again.Slope)
		}
	}
}

// TestFit fits a line that is known.
func TestFit(t *testing.T) {
	points := []capacity.Point{{Figure: "f", Size: 1, Value: 5}, {Figure: "f", Size: 2, Value: 7}, {Figure: "f", Size: 4, Value: 11}}
	got := capacity.Fit(points)[0]
	if math.Abs(got.Base-3) > 1e-9 || math.Abs(got.Slope-2) > 1e-9 || got.Residual > 1e-9 {
		t.Errorf("fit = %+v, want 3 + 2x", got)
	}
}
