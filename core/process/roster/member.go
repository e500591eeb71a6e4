package roster

import "time"

// Member is the roster's entry for one host.
type Member struct {
	Announcement Announcement
	// Expiry is when the lease ends.
	Expiry time.Time
	// ColdUntil is the end of the host's cold time, or zero.
	ColdUntil time.Time
	// formerAt is when the lease of the announcement before began, of the same incarnation, or zero for none.
	formerAt time.Time
	// Cursor is the roster's cursor at the last change of this entry, FactsCursor
	// that at the last change of more than the lease and the load.
	Cursor      uint64
	FactsCursor uint64
	// EntryCursor is the roster's cursor at the last change of what ScopeEntry holds
	// of this entry, or 0 if that is nothing and always was.
	EntryCursor uint64
	// prefixesUpdatedAt is when the prefixes were last updated.
	prefixesUpdatedAt time.Time
	// factsHash is the hash of the announcement's facts, and entryHash that of what
	// ScopeEntry holds of it, or 0 for nothing.
	factsHash, entryHash uint64
	// replaced is set once the roster has a later entry for the host, or none.
	replaced bool
}

// relayable reports whether other nodes are sent the host: it has a lease, or has
// left not long ago.
func (member *Member) relayable(now time.Time) bool {
	return now.Before(member.Expiry) || (member.Announcement.Leaving && now.Before(member.Expiry.Add(departureRelayTime)))
}

// Live reports whether the host may be used now: its lease holds and it isn't
// leaving.
func (member *Member) Live(now time.Time) bool {
	return now.Before(member.Expiry) && !member.Announcement.Leaving
}

// SinceLastAnnouncement returns how long ago the lease of the host's last
// announcement began.
func (member *Member) SinceLastAnnouncement(now time.Time) time.Duration {
	return now.Sub(member.Expiry.Add(-member.Announcement.Lease()))
}

// SentAfter returns a time after which the host sent its last announcement, or zero if none is known. A lease without
// an echo begins with the receipt, however late that is; but a host sends its next announcement after the one
// before was received.
func (member *Member) SentAfter() time.Time { return member.formerAt }

// formerAt returns when the lease of the announcement before one began. old is the entry that it replaces, or nil.
func formerAt(announcement Announcement, old *Member) time.Time {
	switch {
	case old == nil || old.Announcement.Incarnation != announcement.Incarnation:
		return time.Time{}
	case old.Announcement.Sequence == announcement.Sequence:
		return old.formerAt
	default:
		return old.Expiry.Add(-old.Announcement.Lease())
	}
}

func (member *Member) relayed(now time.Time) RelayedAnnouncement {
	return RelayedAnnouncement{Announcement: member.Aged(now), RemainingMS: member.remainingMS(now)}
}

func (member *Member) renewal(now time.Time) Renewal {
	announcement := &member.Announcement
	return Renewal{
		Host: announcement.Host, Incarnation: announcement.Incarnation, Sequence: announcement.Sequence, RemainingMS: member.remainingMS(now),
		Running: announcement.Load.Running, Queued: announcement.Load.Queued, HighestPriorityRequests: announcement.Load.HighestPriorityRequests,
	}
}

func (member *Member) remainingMS(now time.Time) int64 {
	return max(0, member.Expiry.Sub(now)).Milliseconds()
}
