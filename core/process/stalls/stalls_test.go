package stalls_test

import (
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/stalls"
)

func TestAReportIsNewOnceAndLapses(t *testing.T) {
	start, reports := time.Now(), stalls.New()
	for _, step := range []struct {
		afterMS    int
		group      id.Group
		newReports uint64
		stalled    string
	}{
		{0, "b", 1, "[{b }]"},
		{499, "b", 1, "[{b }]"},
		{500, "a", 2, "[{a } {b }]"},
		{999, "a", 2, "[{a }]"},
		{1499, "a", 3, "[{a }]"},
	} {
		now := start.Add(time.Duration(step.afterMS) * time.Millisecond)
		reports.Report(now, feed.Endpoint{Group: step.group})
		if stalled := fmt.Sprint(reports.At(now)); reports.NewReports() != step.newReports || stalled != step.stalled {
			t.Errorf("after %d ms %d new reports and %s stalled, want %d and %s", step.afterMS, reports.NewReports(), stalled, step.newReports, step.stalled)
		}
	}
}
