package roster

import (
	"cmp"
	"slices"
	"time"

	"carobline.dev/core/id"
)

const (
	// MaxColdMS bounds Announcement.ColdRemainingMS. A host that is cold for longer
	// announces the rest later.
	MaxColdMS = 10 * 60 * 1000
	// coldDriftDivisor is the part of the cold time that is added to it, since the reader's clock
	// may run faster than that of the host by a hundredth.
	coldDriftDivisor = 100
	// coldTolerance is by how much the end of the cold time may seem to move while it stays the
	// same, by delays of announcements.
	coldTolerance = 100 * time.Millisecond
	// coldExtensionIntervals is how many announcement intervals before its known end a later
	// end of the cold time is relayed. A host that always announces the same remaining time then
	// causes few relayed changes.
	coldExtensionIntervals = 2
)

// cold reports whether the host announced that it is cold.
func (announcement *Announcement) cold() bool { return announcement.ColdRemainingMS > 0 }

// takesCalls reports whether the host is the head of an open group or a host of a plain service.
func (announcement *Announcement) takesCalls() bool {
	return !announcement.Engine || announcement.Serving.Open
}

// coldEnd returns the end of the cold time of an announcement that is received now, or zero.
func coldEnd(now time.Time, announcement *Announcement) time.Time {
	if !announcement.cold() {
		return time.Time{}
	}
	remaining := time.Duration(min(announcement.ColdRemainingMS, MaxColdMS)) * time.Millisecond
	return now.Add(remaining + remaining/coldDriftDivisor)
}

// mergeCold returns the end of a host's cold time after an announcement that gives coldUntil,
// and whether it is relayed to other nodes: it has turned cold or warm, or stays cold for longer.
// A change of the remaining time alone is not relayed, since readers count it down themselves. old is the
// entry before, or nil.
func mergeCold(now time.Time, announcement *Announcement, old *Member, coldUntil time.Time) (until time.Time, changed bool) {
	if old == nil || old.Announcement.Incarnation != announcement.Incarnation || announcement.cold() != old.Announcement.cold() {
		return coldUntil, true
	}
	extended := coldUntil.Sub(old.ColdUntil) > coldTolerance
	if extended && old.ColdUntil.Sub(now) <= coldExtensionIntervals*announcement.Interval() {
		return coldUntil, true
	}
	return old.ColdUntil, false
}

// Cold reports whether the host is cold now, by its last announcement.
func (member *Member) Cold(now time.Time) bool { return now.Before(member.ColdUntil) }

// Aged returns the announcement with what remains of the cold time now.
func (member *Member) Aged(now time.Time) Announcement {
	announcement := member.Announcement
	if announcement.cold() {
		const roundUp = time.Millisecond - 1
		announcement.ColdRemainingMS = max(1, (member.ColdUntil.Sub(now) + roundUp).Milliseconds())
	}
	return announcement
}

// ColdMembers returns the hosts that take calls and are cold now, sorted by host. Its time grows
// with their number only. They are read-only.
func (roster *Roster) ColdMembers(now time.Time) []*Member {
	if len(roster.coldByHost) == 0 {
		return nil
	}
	var cold []*Member
	for host, member := range roster.coldByHost {
		if !member.Cold(now) {
			delete(roster.coldByHost, host)
			continue
		}
		cold = append(cold, member)
	}
	slices.SortFunc(cold, func(a, b *Member) int { return cmp.Compare(a.Announcement.Host, b.Announcement.Host) })
	return cold
}

// indexCold keeps coldByHost up to date with a new entry.
func (roster *Roster) indexCold(member *Member) {
	if member.Announcement.cold() && member.Announcement.takesCalls() {
		roster.coldByHost[member.Announcement.Host] = member
		return
	}
	delete(roster.coldByHost, member.Announcement.Host)
}

// forgetCold drops a host from coldByHost.
func (roster *Roster) forgetCold(host id.Host) { delete(roster.coldByHost, host) }
