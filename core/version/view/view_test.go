package view_test

import (
	"testing"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/version/view"
)

// A node that hears nothing of control turns callers away before its lease
// ends: the pattern is an entry host that is cut off.
func TestLosesTouchBeforeItsLeaseEnds(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	current := &view.View{LeaseRenewedAt: start, LeaseUntil: start.Add(feed.Lease)}
	for after, want := range map[time.Duration][2]bool{
		0:                {true, true},
		time.Second:      {true, true},
		3 * time.Second:  {false, true},
		feed.Lease:       {false, false},
		time.Minute:      {false, false},
		-1 * time.Second: {true, true},
	} {
		now := start.Add(after)
		if got := [2]bool{current.LeaseIsFresh(now), current.AcceptsNewWork(now)}; got != want {
			t.Errorf("after %v: in touch and in force %v, want %v", after, got, want)
		}
	}
}
