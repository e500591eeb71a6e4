// Package roster decides which hosts are alive, from their announcements. An
// announcement is a lease: only one that is newer than all before it, by
// incarnation and sequence, starts a lease, so that late, doubled and relayed
// old ones revive nothing. Leaving ends an incarnation for good.
//
// # Usage
//
//	hosts := roster.New()
//	changed := hosts.Hear(now, announcement, expiry)
//	for _, relayed := range hosts.Since(now, cursor) { ... }
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
)

// forgetAfter is how long a dead host stays known, so that its old
// announcements stay recognisable. It exceeds the life of any message.
const forgetAfter = 24 * time.Hour

// prefixesEvery is how often news of cached prefixes is taken over.
const prefixesEvery = 5 * time.Second

// Member is one host as the roster knows it.
type Member struct {
	Announcement Announcement
	// Expiry is when the lease ends.
	Expiry time.Time
	// Cursor is the roster's count at the last change, and Facts that at the
	// last change of more than the lease and the load.
	Cursor      uint64
	FactsCursor uint64
	// prefixesAt is when the prefixes were last taken over.
	prefixesAt time.Time
}

// Live tells whether the host may be used now.
func (member *Member) Live(now time.Time) bool {
	return now.Before(member.Expiry) && !member.Announcement.Leaving
}

// SinceLastAnnouncement is how long ago the host's last announcement began its lease.
func (member *Member) SinceLastAnnouncement(now time.Time) time.Duration {
	return now.Sub(member.Expiry.Add(-member.Announcement.Lease()))
}

// Roster holds the known hosts. It isn't safe for concurrent use.
type Roster struct {
	members  map[id.Host]*Member
	cursor   uint64
	material uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{members: map[id.Host]*Member{}}
}

// Change says what an announcement meant.
type Change string

// The changes.
const (
	// ChangeNone is an old announcement, which is dropped.
	ChangeNone Change = "none"
	// ChangeRenewed only renews the lease and the load.
	ChangeRenewed Change = "renewed"
	// ChangeUrgent is news that others should hear at once.
	ChangeUrgent Change = "material"
)

// Merge takes an announcement whose lease ends at expiry.
func (roster *Roster) Merge(now time.Time, announcement Announcement, expiry time.Time) Change {
	old := roster.members[announcement.Host]
	if old != nil && !announcement.newerThan(&old.Announcement) {
		return ChangeNone
	}
	if old != nil && old.Announcement.Leaving && old.Announcement.Incarnation == announcement.Incarnation {
		announcement.Leaving = true
	}
	if old != nil && old.Announcement.Incarnation == announcement.Incarnation && len(announcement.Loaded) == 0 {
		// An engine outside any group names none, and keeps the last in memory.
		announcement.Loaded = old.Announcement.Loaded
	}
	change := ChangeUrgent
	if old != nil && old.Live(now) && sameFacts(old.Announcement, announcement) {
		change = ChangeRenewed
	}
	roster.cursor++
	fresh := &Member{Announcement: announcement, Expiry: expiry, Cursor: roster.cursor, FactsCursor: roster.cursor, prefixesAt: now}
	switch {
	case change == ChangeUrgent:
		roster.material = roster.cursor
	case slices.Equal(old.Announcement.Prefixes, announcement.Prefixes):
		fresh.FactsCursor, fresh.prefixesAt = old.FactsCursor, old.prefixesAt
	case now.Sub(old.prefixesAt) < prefixesEvery:
		fresh.Announcement.Prefixes = old.Announcement.Prefixes
		fresh.FactsCursor, fresh.prefixesAt = old.FactsCursor, old.prefixesAt
	}
	roster.members[announcement.Host] = fresh
	return change
}

// Renew takes a renewal whose lease ends at expiry. One of a host or a life of
// it that isn't known is dropped.
func (roster *Roster) Renew(now time.Time, renewal Renewal, expiry time.Time) {
	old := roster.members[renewal.Host]
	if old == nil || old.Announcement.Incarnation != renewal.Incarnation {
		return
	}
	announcement := old.Announcement
	announcement.Sequence = renewal.Sequence
	announcement.Load.Running, announcement.Load.Queued, announcement.Load.HighestPriority = renewal.Running, renewal.Queued, renewal.Urgent
	roster.Merge(now, announcement, expiry)
}

// sameFacts compares all but the lease, the sequence and the load.
func sameFacts(a, b Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Domain == b.Domain && a.Accelerators == b.Accelerators && a.Service == b.Service &&
		a.ChecksFencing == b.ChecksFencing && a.Resumes == b.Resumes && a.Serving == b.Serving &&
		a.Leaving == b.Leaving && a.Engine == b.Engine &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Staged, b.Staged) && slices.Equal(a.Loaded, b.Loaded)
}

// Member finds one host, live or not.
func (roster *Roster) Member(host id.Host) (Member, bool) {
	member, ok := roster.members[host]
	if !ok {
		return Member{}, false
	}
	return *member, true
}

// Live tells whether a host may be used now.
func (roster *Roster) Live(now time.Time, host id.Host) bool {
	member, ok := roster.members[host]
	return ok && member.Live(now)
}

// Members lists all known hosts by name.
func (roster *Roster) Members() []Member {
	members := make([]Member, 0, len(roster.members))
	for _, host := range slices.Sorted(maps.Keys(roster.members)) {
		members = append(members, *roster.members[host])
	}
	return members
}

// Cursor counts the changes so far.
func (roster *Roster) Cursor() uint64 { return roster.cursor }

// UrgentCursor is the cursor of the last change that others should hear at once.
func (roster *Roster) UrgentCursor() uint64 { return roster.material }

// Since lists, oldest first, what changed after a cursor and still has a lease
// or is leaving: whole announcements where more than the lease and the load
// changed, else renewals.
func (roster *Roster) Since(now time.Time, cursor uint64) ([]RelayedAnnouncement, []Renewal) {
	if cursor >= roster.cursor {
		return nil, nil
	}
	var changed []*Member
	for _, member := range roster.members {
		if member.Cursor > cursor && (now.Before(member.Expiry) || member.Announcement.Leaving) {
			changed = append(changed, member)
		}
	}
	slices.SortFunc(changed, func(a, b *Member) int { return cmp.Compare(a.Cursor, b.Cursor) })
	var relayed []RelayedAnnouncement
	var renewals []Renewal
	for _, member := range changed {
		announcement, remaining := member.Announcement, max(0, member.Expiry.Sub(now)).Milliseconds()
		if member.FactsCursor > cursor {
			relayed = append(relayed, RelayedAnnouncement{Announcement: announcement, RemainingMS: remaining})
			continue
		}
		renewals = append(renewals, Renewal{
			Host: announcement.Host, Incarnation: announcement.Incarnation, Sequence: announcement.Sequence, RemainingMS: remaining,
			Running: announcement.Load.Running, Queued: announcement.Load.Queued, Urgent: announcement.Load.HighestPriority,
		})
	}
	return relayed, renewals
}

// Tick forgets hosts that have been dead for a day.
func (roster *Roster) Tick(now time.Time) {
	for host, member := range roster.members {
		if now.Sub(member.Expiry) > forgetAfter {
			delete(roster.members, host)
		}
	}
}
