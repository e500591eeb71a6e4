package roster_test

import (
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const lease = 4 * time.Second

func announced(incarnation id.Incarnation, sequence uint64, leaving bool) roster.Announcement {
	return roster.Announcement{Host: "h", Incarnation: incarnation, Sequence: sequence, Leaving: leaving, Models: []id.Model{"m"}}
}

// heard is one announcement, after some time since the start.
type heard struct {
	after        time.Duration
	announcement roster.Announcement
}

// TestOldAnnouncementsReviveNothing is a table of late, doubled and relayed
// announcements.
func TestOldAnnouncementsReviveNothing(t *testing.T) {
	tests := []struct {
		name  string
		heard []heard
		at    time.Duration
		live  bool
	}{
		{"a fresh one", []heard{{0, announced(1, 1, false)}}, lease - 1, true},
		{"its lease is over", []heard{{0, announced(1, 1, false)}}, lease, false},
		{"a double doesn't lengthen it", []heard{{0, announced(1, 1, false)}, {lease / 2, announced(1, 1, false)}}, lease, false},
		{"a late older one doesn't", []heard{{0, announced(1, 2, false)}, {lease / 2, announced(1, 1, false)}}, lease, false},
		{"a renewal does", []heard{{0, announced(1, 1, false)}, {lease / 2, announced(1, 2, false)}}, lease, true},
		{"leaving ends it", []heard{{0, announced(1, 1, false)}, {1, announced(1, 2, true)}}, 2, false},
		{"leaving is for good", []heard{{0, announced(1, 1, true)}, {1, announced(1, 2, false)}}, 2, false},
		{"until the next life", []heard{{0, announced(1, 1, true)}, {1, announced(2, 1, false)}}, 2, true},
		{"an earlier life doesn't come back", []heard{{0, announced(2, 1, false)}, {lease, announced(1, 99, false)}}, lease + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := roster.New()
			for _, heard := range test.heard {
				now := start.Add(heard.after)
				hosts.Merge(now, heard.announcement, now.Add(lease))
			}
			if got := hosts.Live(start.Add(test.at), "h"); got != test.live {
				t.Errorf("live %v, want %v", got, test.live)
			}
		})
	}
}

// TestRenewals is a table of what is relayed to a node that knows an earlier
// state, and shows that a renewal of another life does nothing.
func TestRenewals(t *testing.T) {
	hosts := roster.New()
	hosts.Merge(start, announced(1, 1, false), start.Add(lease))
	known := hosts.Cursor()
	hosts.Merge(start, announced(1, 2, false), start.Add(lease))
	if whole, renewals := hosts.Since(start, known); len(whole) != 0 || len(renewals) != 1 {
		t.Errorf("%d whole and %d renewals for a node that knows the facts", len(whole), len(renewals))
	}
	if whole, renewals := hosts.Since(start, 0); len(whole) != 1 || len(renewals) != 0 {
		t.Errorf("%d whole and %d renewals for a node that knows nothing", len(whole), len(renewals))
	}
	hosts.Renew(start, roster.Renewal{Host: "h", Incarnation: 2, Sequence: 9}, start.Add(2*lease))
	hosts.Renew(start, roster.Renewal{Host: "other", Incarnation: 1, Sequence: 9}, start.Add(2*lease))
	if hosts.Live(start.Add(lease), "h") || hosts.Live(start, "other") {
		t.Error("a renewal of another life or an unknown host made it live")
	}
	hosts.Renew(start, roster.Renewal{Host: "h", Incarnation: 1, Sequence: 3, Running: 5}, start.Add(2*lease))
	if member, _ := hosts.Member("h"); !member.Live(start.Add(lease)) || member.Announcement.Load.Running != 5 {
		t.Errorf("a renewal was not taken: %+v", member)
	}
}

// TestEnginesKeepWhatTheyHadInMemory: an engine that has left its group names no
// model any more, but holds the last one until its life ends.
func TestEnginesKeepWhatTheyHadInMemory(t *testing.T) {
	hosts := roster.New()
	hear := func(announcement roster.Announcement, loaded ...id.Model) bool {
		announcement.Loaded = loaded
		hosts.Merge(start, announcement, start.Add(lease))
		member, _ := hosts.Member("h")
		return member.Announcement.HasWeights("m")
	}
	if !hear(announced(1, 1, false), "m") || !hear(announced(1, 2, false)) {
		t.Error("the model in memory was forgotten")
	}
	if hear(announced(1, 3, false), "other") {
		t.Error("another model doesn't take its place")
	}
	hear(announced(1, 4, false), "m")
	if hear(announced(2, 1, false)) {
		t.Error("a new life holds what the old one had")
	}
}
