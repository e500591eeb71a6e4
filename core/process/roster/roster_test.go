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
	if whole, renewals := hosts.Since(start, known, roster.ScopeControl); len(whole) != 0 || len(renewals) != 1 {
		t.Errorf("%d whole announcements and %d renewals for a node that knows the facts, want one renewal", len(whole), len(renewals))
	}
	if whole, renewals := hosts.Since(start, 0, roster.ScopeControl); len(whole) != 1 || len(renewals) != 0 {
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
		missing := leader.Missing(start, node.Digest(start, roster.ScopeControl), roster.ScopeControl)
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
		if all := leader.Missing(start, nil, roster.ScopeControl); len(all) != len(leader.Members()) {
			t.Fatalf("seed %d: without a digest %d of %d hosts are sent", seed, len(all), len(leader.Members()))
		}
		node = roster.New()
		for _, relayed := range leader.Missing(start, nil, roster.ScopeControl) {
			node.Merge(start, relayed.Announcement, start.Add(lease))
		}
		if again := leader.Missing(start, node.Digest(start, roster.ScopeControl), roster.ScopeControl); len(again) != 0 {
			t.Fatalf("seed %d: %d hosts are sent to a node that has them", seed, len(again))
		}
	}
}

// Guards against entry hosts that miss the opening, the end or the leaving of a group's
// head, and against news for them of all else that engines do.
func TestEntryScopeHoldsOpenHeadsAndDepartures(t *testing.T) {
	const engines, changes = 20, 400
	random := rand.New(rand.NewPCG(7, 2))
	leader, node := roster.New(), roster.New()
	now, cursor, relayedCount := start, uint64(0), 0
	latest := map[id.Host]roster.Announcement{}
	for sequence := range uint64(changes) {
		now = now.Add(100 * time.Millisecond)
		host := id.Host(fmt.Sprintf("e%d", random.IntN(engines)))
		announcement := roster.Announcement{
			Host: host, Incarnation: 1, Sequence: sequence, Address: "10.0.0.1:1", Engine: true, Service: "pool", LeaseMS: 4000,
			Staged: []id.Model{id.Model(fmt.Sprint(random.IntN(3)))}, Leaving: latest[host].Leaving || random.IntN(100) == 0,
		}
		if state := random.IntN(10); state > 0 {
			announcement.Serving = roster.Serving{Group: "g", Fencing: id.FencingToken(random.IntN(2)), Ready: state > 2, Open: state == 3}
		}
		leader.Merge(now, announcement, now.Add(4*time.Second))
		latest[host] = announcement
		relayed, renewals := leader.Since(now, cursor, roster.ScopeEntry)
		cursor = leader.Cursor()
		if len(renewals) != 0 {
			t.Fatalf("renewals %+v of engines are sent to a node that doesn't read their leases", renewals)
		}
		for _, change := range relayed {
			node.Merge(now, change.Announcement, now.Add(time.Duration(change.RemainingMS)*time.Millisecond))
			relayedCount++
		}
		for host, want := range latest {
			got, known := node.Member(host)
			open, leaving := known && got.Announcement.Serving.Open, known && got.Announcement.Leaving
			if open != want.Serving.Open || leaving != want.Leaving || (open && got.Announcement.Serving != want.Serving) {
				t.Fatalf("change %d: the node has %+v of %s, the leader %+v", sequence, got.Announcement, host, want)
			}
		}
	}
	if relayedCount > changes/2 {
		t.Errorf("%d of %d changes were relayed", relayedCount, changes)
	}
	if missing := leader.Missing(now, node.Digest(now, roster.ScopeEntry), roster.ScopeEntry); len(missing) != 0 {
		t.Errorf("the digests differ in %d announcements, though the node has all", len(missing))
	}
}
