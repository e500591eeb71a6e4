// Package roster decides which hosts are alive, from their announcements. An
// announcement starts a lease only if it is newer than all before it, by
// incarnation and sequence, so that delayed, repeated or relayed old announcements
// make no host live again. A host that has announced that it is leaving stays so for the
// rest of that incarnation.
//
// # Usage
//
//	hosts := roster.New()
//	changed := hosts.Merge(now, announcement, expiry)
//	relayed, renewals := hosts.Since(now, cursor)
package roster

import (
	"cmp"
	"slices"
	"time"

	"carobline.dev/core/id"
)

// deadHostRetention is how long a dead host is kept in the roster, so that its old
// announcements are still recognised as old. It exceeds the lifetime of any
// message.
const deadHostRetention = 24 * time.Hour

// departureRelayTime is how long after the end of its lease a host that has left is
// still relayed, so that nodes which missed its departure receive it.
const departureRelayTime = time.Minute

// maxChangesPerHost times the number of hosts bounds Roster.changes, replaced entries
// included. They are dropped together when it is exceeded, so that each change pays little.
const maxChangesPerHost = 4

// prefixUpdateInterval is the shortest time between two updates of a host's cached
// prefixes, if nothing else about it has changed.
const prefixUpdateInterval = 5 * time.Second

// Roster holds the known hosts. It isn't safe for concurrent use.
type Roster struct {
	memberByHost map[id.Host]*Member
	// sorted holds the entries by host, and changes all entries by cursor, with some that
	// have been replaced.
	sorted, changes []*Member
	cursor          uint64
	// urgentCursor is the cursor of the last ChangeUrgent, and entryUrgentCursor that
	// of the last one that ScopeEntry holds.
	urgentCursor, entryUrgentCursor uint64
	// coldByHost holds the entries of hosts that take calls and announced themselves cold, if
	// that time may not be over.
	coldByHost map[id.Host]*Member
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{memberByHost: map[id.Host]*Member{}, coldByHost: map[id.Host]*Member{}}
}

// Change is the effect that an announcement had on the roster.
type Change string

// The changes.
const (
	// ChangeNone is an announcement that was dropped: it is old, or names another service
	// than that of the host, whose lease holds.
	ChangeNone Change = "none"
	// ChangeRenewed is an announcement that changed only the lease, the load, the
	// cached prefixes, or whether a host is cold that takes no calls.
	ChangeRenewed Change = "renewed"
	// ChangeUrgent is a change that must be relayed at once: of any other fact, or
	// of a host that wasn't live.
	ChangeUrgent Change = "material"
)

// Merge merges an announcement whose lease ends at expiry and returns its effect.
func (roster *Roster) Merge(now time.Time, announcement Announcement, expiry time.Time) Change {
	return roster.merge(now, announcement, expiry, coldEnd(now, &announcement))
}

// merge merges an announcement whose lease ends at expiry and whose cold time ends at
// coldUntil.
func (roster *Roster) merge(now time.Time, announcement Announcement, expiry, coldUntil time.Time) Change {
	old := roster.memberByHost[announcement.Host]
	if old != nil && old.Live(now) && announcement.Service != old.Announcement.Service {
		// No host changes its service while it has a lease: another writer has taken its name.
		return ChangeNone
	}
	if old != nil && announcement.lateDeparture(&old.Announcement) {
		// The last announcement stays as it is, but for the departure.
		announcement, expiry, coldUntil = old.Announcement, old.Expiry, old.ColdUntil
		announcement.Leaving = true
	} else if old != nil && !announcement.newerThan(&old.Announcement) {
		return ChangeNone
	}
	if old != nil && old.Announcement.Leaving && old.Announcement.Incarnation == announcement.Incarnation {
		announcement.Leaving = true
	}
	if old != nil && old.Announcement.Incarnation == announcement.Incarnation && len(announcement.Loaded) == 0 {
		// An engine in no group reports no loaded model, but keeps the last one in
		// memory.
		announcement.Loaded = old.Announcement.Loaded
	}
	change := ChangeUrgent
	coldUntil, coldChanged := mergeCold(now, &announcement, old, coldUntil)
	if old != nil && old.Live(now) && sameFacts(old.Announcement, announcement) && (!coldChanged || !announcement.takesCalls()) {
		change = ChangeRenewed
	}
	roster.cursor++
	updated := &Member{Announcement: announcement, Expiry: expiry, ColdUntil: coldUntil, formerAt: formerAt(announcement, old), Cursor: roster.cursor, FactsCursor: roster.cursor, prefixesUpdatedAt: now}
	switch {
	case change == ChangeUrgent:
		roster.urgentCursor = roster.cursor
		updated.factsHash = hashFacts(announcement)
	case coldChanged:
		updated.factsHash = hashFacts(announcement)
	case slices.Equal(old.Announcement.Prefixes, announcement.Prefixes):
		updated.FactsCursor, updated.prefixesUpdatedAt = old.FactsCursor, old.prefixesUpdatedAt
	case now.Sub(old.prefixesUpdatedAt) < prefixUpdateInterval:
		updated.Announcement.Prefixes = old.Announcement.Prefixes
		updated.FactsCursor, updated.prefixesUpdatedAt = old.FactsCursor, old.prefixesUpdatedAt
	}
	if change == ChangeRenewed && !coldChanged {
		updated.factsHash = old.factsHash
	}
	roster.setEntryFacts(updated, old, change, coldChanged)
	roster.indexCold(updated)
	roster.put(updated, old)
	return change
}

// put stores the entry of a host in place of its former one, or nil.
func (roster *Roster) put(updated, old *Member) {
	host := updated.Announcement.Host
	roster.memberByHost[host] = updated
	position, _ := roster.position(host)
	if old == nil {
		roster.sorted = slices.Insert(roster.sorted, position, updated)
	} else {
		old.replaced, roster.sorted[position] = true, updated
	}
	roster.changes = append(roster.changes, updated)
	if len(roster.changes) > maxChangesPerHost*len(roster.memberByHost) {
		roster.changes = slices.DeleteFunc(roster.changes, func(member *Member) bool { return member.replaced })
	}
}

// position returns the index of a host in sorted, or where it would be.
func (roster *Roster) position(host id.Host) (int, bool) {
	return slices.BinarySearchFunc(roster.sorted, host, func(member *Member, host id.Host) int { return cmp.Compare(member.Announcement.Host, host) })
}

// Renew merges a renewal whose lease ends at expiry. It drops a renewal of an
// unknown host or of another incarnation than the known one.
func (roster *Roster) Renew(now time.Time, renewal Renewal, expiry time.Time) {
	old := roster.memberByHost[renewal.Host]
	if old == nil || old.Announcement.Incarnation != renewal.Incarnation {
		return
	}
	announcement := old.Announcement
	announcement.Sequence = renewal.Sequence
	announcement.Load.Running, announcement.Load.Queued, announcement.Load.HighestPriorityRequests = renewal.Running, renewal.Queued, renewal.HighestPriorityRequests
	// A renewal has no cold time, so that the former one holds.
	roster.merge(now, announcement, expiry, old.ColdUntil)
}

// sameFacts compares two announcements, without the lease, the sequence, the load
// and the cached prefixes.
func sameFacts(a, b Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Domain == b.Domain && a.Accelerators == b.Accelerators && a.Service == b.Service &&
		a.ChecksFencing == b.ChecksFencing && a.Resumes == b.Resumes && a.Serving == b.Serving &&
		a.Leaving == b.Leaving && a.Engine == b.Engine &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Staged, b.Staged) && slices.Equal(a.Loaded, b.Loaded)
}

// Member returns the entry of a host, live or not, and an empty one if it isn't known.
// The entry is read-only. A change of the host stores a new entry, so that the returned one
// goes on showing the state before; only its mark replaced is set.
func (roster *Roster) Member(host id.Host) (*Member, bool) {
	member, ok := roster.memberByHost[host]
	if !ok {
		return &Member{}, false
	}
	return member, true
}

// Live reports whether a host may be used now.
func (roster *Roster) Live(now time.Time, host id.Host) bool {
	member, ok := roster.memberByHost[host]
	return ok && member.Live(now)
}

// Any reports whether a known host's latest announcement matches.
func (roster *Roster) Any(matches func(*Announcement) bool) bool {
	return slices.ContainsFunc(roster.sorted, func(member *Member) bool { return matches(&member.Announcement) })
}

// Members returns the entries of all known hosts, sorted by host. They are
// read-only.
func (roster *Roster) Members() []*Member { return slices.Clone(roster.sorted) }

// Cursor returns the number of changes so far.
func (roster *Roster) Cursor() uint64 { return roster.cursor }

// UrgentCursor returns the cursor of the last change within a scope that must be relayed
// at once.
func (roster *Roster) UrgentCursor(scope Scope) uint64 {
	if scope == ScopeEntry {
		return roster.entryUrgentCursor
	}
	return roster.urgentCursor
}

// Since returns the hosts of which a scope holds something that changed after a cursor,
// and that still have a lease or have left not long ago, the earliest change first:
// whole announcements where more than the lease and the load changed, otherwise renewals.
func (roster *Roster) Since(now time.Time, cursor uint64, scope Scope) ([]RelayedAnnouncement, []Renewal) {
	if cursor >= roster.cursor {
		return nil, nil
	}
	first, _ := slices.BinarySearchFunc(roster.changes, cursor+1, func(member *Member, cursor uint64) int { return cmp.Compare(member.Cursor, cursor) })
	var relayed []RelayedAnnouncement
	var renewals []Renewal
	for _, member := range roster.changes[first:] {
		switch {
		case member.replaced || !member.relayable(now):
		case member.cursorIn(scope) > cursor:
			relayed = append(relayed, member.relayed(now))
		case scope.renews(member):
			renewals = append(renewals, member.renewal(now))
		}
	}
	return relayed, renewals
}

// relay returns the announcements of the relayable hosts that match, the earliest change
// first.
func (roster *Roster) relay(now time.Time, matches func(*Member) bool) []RelayedAnnouncement {
	var relayed []RelayedAnnouncement
	for _, member := range roster.changes {
		if !member.replaced && matches(member) && member.relayable(now) {
			relayed = append(relayed, member.relayed(now))
		}
	}
	return relayed
}

// Tick drops hosts whose lease ended more than deadHostRetention ago.
func (roster *Roster) Tick(now time.Time) {
	dead := func(member *Member) bool { return now.Sub(member.Expiry) > deadHostRetention }
	for host, member := range roster.memberByHost {
		if dead(member) {
			member.replaced = true
			delete(roster.memberByHost, host)
			roster.forgetCold(host)
		}
	}
	roster.sorted = slices.DeleteFunc(roster.sorted, dead)
}
