package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const lease = 4 * time.Second

func newAnnouncement(incarnation id.Incarnation, sequence uint64, leaving bool) roster.Announcement {
	return roster.Announcement{Host: "h", Incarnation: incarnation, Sequence: sequence, Leaving: leaving, Models: []id.Model{"m"}}
}

// receipt is an announcement and when it is received, counted from the start.
type receipt struct {
	after        time.Duration
	announcement roster.Announcement
}

// Delayed, repeated and relayed announcements neither start nor extend a lease.
func TestOldAnnouncementsStartNoLease(t *testing.T) {
	tests := []struct {
		name     string
		receipts []receipt
		at       time.Duration
		live     bool
	}{
		{"a new announcement starts a lease", []receipt{{0, newAnnouncement(1, 1, false)}}, lease - 1, true},
		{"the lease ends", []receipt{{0, newAnnouncement(1, 1, false)}}, lease, false},
		{"a duplicate doesn't extend the lease", []receipt{{0, newAnnouncement(1, 1, false)}, {lease / 2, newAnnouncement(1, 1, false)}}, lease, false},
		{"a delayed older announcement doesn't extend the lease", []receipt{{0, newAnnouncement(1, 2, false)}, {lease / 2, newAnnouncement(1, 1, false)}}, lease, false},
		{"a newer announcement extends the lease", []receipt{{0, newAnnouncement(1, 1, false)}, {lease / 2, newAnnouncement(1, 2, false)}}, lease, true},
		{"leaving ends the lease", []receipt{{0, newAnnouncement(1, 1, false)}, {1, newAnnouncement(1, 2, true)}}, 2, false},
		{"a departure counts although a later announcement has been heard", []receipt{{0, newAnnouncement(1, 5, false)}, {1, newAnnouncement(1, 3, true)}}, 2, false},
		{"a departure of an earlier incarnation doesn't count", []receipt{{0, newAnnouncement(2, 1, false)}, {1, newAnnouncement(1, 3, true)}}, 2, true},
		{"an incarnation that is leaving stays so", []receipt{{0, newAnnouncement(1, 1, true)}, {1, newAnnouncement(1, 2, false)}}, 2, false},
		{"the next incarnation is live again", []receipt{{0, newAnnouncement(1, 1, true)}, {1, newAnnouncement(2, 1, false)}}, 2, true},
		{"an earlier incarnation starts no lease", []receipt{{0, newAnnouncement(2, 1, false)}, {lease, newAnnouncement(1, 99, false)}}, lease + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			hosts := roster.New()
			for _, receipt := range test.receipts {
				now := start.Add(receipt.after)
				hosts.Merge(now, receipt.announcement, now.Add(lease))
			}
			if got := hosts.Live(start.Add(test.at), "h"); got != test.live {
				t.Errorf("live %v, want %v", got, test.live)
			}
		})
	}
}

// A node that knows a host's facts is sent a renewal, any other node the whole
// announcement. A renewal of another incarnation or an unknown host has no effect.
func TestRenewals(t *testing.T) {
	hosts := roster.New()
	hosts.Merge(start, newAnnouncement(1, 1, false), start.Add(lease))
	known := hosts.Cursor()
	hosts.Merge(start, newAnnouncement(1, 2, false), start.Add(lease))
	if whole, renewals := hosts.Since(start, known); len(whole) != 0 || len(renewals) != 1 {
		t.Errorf("%d whole announcements and %d renewals for a node that knows the facts, want one renewal", len(whole), len(renewals))
	}
	if whole, renewals := hosts.Since(start, 0); len(whole) != 1 || len(renewals) != 0 {
		t.Errorf("%d whole announcements and %d renewals for a node that knows nothing, want one announcement", len(whole), len(renewals))
	}
	hosts.Renew(start, roster.Renewal{Host: "h", Incarnation: 2, Sequence: 9}, start.Add(2*lease))
	hosts.Renew(start, roster.Renewal{Host: "other", Incarnation: 1, Sequence: 9}, start.Add(2*lease))
	if hosts.Live(start.Add(lease), "h") || hosts.Live(start, "other") {
		t.Error("a renewal of another incarnation or an unknown host made a host live")
	}
	hosts.Renew(start, roster.Renewal{Host: "h", Incarnation: 1, Sequence: 3, Running: 5}, start.Add(2*lease))
	if member, _ := hosts.Member("h"); !member.Live(start.Add(lease)) || member.Announcement.Load.Running != 5 {
		t.Errorf("the renewal was not merged: %+v", member)
	}
}

// An engine that has left its group no longer reports a loaded model, but keeps the
// last one in memory until its incarnation ends.
func TestLoadedModelIsKeptForTheIncarnation(t *testing.T) {
	hosts := roster.New()
	merge := func(announcement roster.Announcement, loaded ...id.Model) bool {
		announcement.Loaded = loaded
		hosts.Merge(start, announcement, start.Add(lease))
		member, _ := hosts.Member("h")
		return member.Announcement.HasWeights("m")
	}
	if !merge(newAnnouncement(1, 1, false), "m") || !merge(newAnnouncement(1, 2, false)) {
		t.Error("the loaded model was dropped when the engine reported none")
	}
	if merge(newAnnouncement(1, 3, false), "other") {
		t.Error("another loaded model didn't replace the last one")
	}
	merge(newAnnouncement(1, 4, false), "m")
	if merge(newAnnouncement(2, 1, false)) {
		t.Error("a new incarnation kept the loaded model of the last one")
	}
}

// Whatever two rosters have heard, one that merges what the other finds missing by its
// digest ends with all of the other's facts that are newer.
func TestMissingBringsAllNewerFacts(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 4))
		leader, node := roster.New(), roster.New()
		for range 300 {
			announcement := newAnnouncement(id.Incarnation(1+random.IntN(2)), uint64(random.IntN(6)), random.IntN(8) == 0)
			announcement.Host = id.Host(fmt.Sprintf("h%d", random.IntN(150)))
			announcement.Address = fmt.Sprint(announcement.Sequence)
			for _, hosts := range []*roster.Roster{leader, node} {
				if random.IntN(10) > 0 {
					hosts.Merge(start, announcement, start.Add(lease))
				}
			}
		}
		missing := leader.Missing(start, node.Digest(start))
		for _, relayed := range missing {
			node.Merge(start, relayed.Announcement, start.Add(lease))
		}
		for _, want := range leader.Members() {
			got, _ := node.Member(want.Announcement.Host)
			older := got.Announcement.Incarnation < want.Announcement.Incarnation || (got.Announcement.Incarnation == want.Announcement.Incarnation && got.Announcement.Sequence < want.Announcement.Sequence)
			if older || (got.Announcement.Incarnation == want.Announcement.Incarnation && want.Announcement.Leaving && !got.Announcement.Leaving) {
				t.Fatalf("seed %d: the node knows %+v, the leader %+v", seed, got.Announcement, want.Announcement)
			}
		}
		if all := leader.Missing(start, nil); len(all) != len(leader.Members()) {
			t.Fatalf("seed %d: without a digest %d of %d hosts are sent", seed, len(all), len(leader.Members()))
		}
		node = roster.New()
		for _, relayed := range leader.Missing(start, nil) {
			node.Merge(start, relayed.Announcement, start.Add(lease))
		}
		if again := leader.Missing(start, node.Digest(start)); len(again) != 0 {
			t.Fatalf("seed %d: %d hosts are sent to a node that has them", seed, len(again))
		}
	}
}
