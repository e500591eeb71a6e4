package roster

import (
	"fmt"
	"hash/fnv"

	"carobline.dev/core/id"
)

// Scope is the part of the roster that a node needs.
type Scope string

// The scopes.
const (
	// ScopeControl is everything, for nodes that may lead.
	ScopeControl Scope = "control"
	// ScopeEntry is what a node reads that only forwards calls. Of engines, whose groups
	// the leader opens and retires, that is the heads of open groups and the departures,
	// without leases: however many engines there are, only the opening, the end and the
	// leaving of a group is news.
	ScopeEntry Scope = "entry"
)

// ScopeOf returns the scope of a node, by whether it has a disk and so may lead.
func ScopeOf(hasDisk bool) Scope {
	if hasDisk {
		return ScopeControl
	}
	return ScopeEntry
}

// renews reports whether the scope holds the lease of a host.
func (scope Scope) renews(member *Member) bool {
	return scope != ScopeEntry || !member.Announcement.Engine
}

// cursorIn returns the cursor of the last change of what a scope holds of the host, or 0
// if it holds nothing.
func (member *Member) cursorIn(scope Scope) uint64 {
	if scope == ScopeEntry {
		return member.EntryCursor
	}
	return member.FactsCursor
}

func (member *Member) hashIn(scope Scope) uint64 {
	if scope == ScopeEntry {
		return member.entryHash
	}
	return member.factsHash
}

// setEntryFacts sets what ScopeEntry holds of an updated entry, and when that changed.
// coldChanged reports whether it has turned cold or warm, or stays cold for longer.
func (roster *Roster) setEntryFacts(updated, old *Member, change Change, coldChanged bool) {
	if !updated.Announcement.Engine {
		updated.entryHash, updated.EntryCursor = updated.factsHash, updated.FactsCursor
		if change == ChangeUrgent {
			roster.entryUrgentCursor = roster.cursor
		}
		return
	}
	updated.entryHash = hashEntryFacts(&updated.Announcement)
	known := uint64(0)
	if old != nil {
		known, updated.EntryCursor = old.entryHash, old.EntryCursor
	}
	if updated.entryHash != known || (coldChanged && updated.Announcement.Serving.Open) {
		updated.EntryCursor, roster.entryUrgentCursor = roster.cursor, roster.cursor
	}
}

// entryFacts is what ScopeEntry holds of an engine.
type entryFacts struct {
	incarnation id.Incarnation
	address     string
	dataCentre  id.DataCentre
	service     id.Service
	serving     Serving
	leaving     bool
	cold        bool
}

// hashEntryFacts returns a hash of what ScopeEntry holds of an engine, or 0 for an engine
// that is no head of an open group and doesn't leave.
func hashEntryFacts(announcement *Announcement) uint64 {
	if !announcement.Serving.Open && !announcement.Leaving {
		return 0
	}
	facts := entryFacts{
		incarnation: announcement.Incarnation, address: announcement.Address, dataCentre: announcement.DataCentre,
		service: announcement.Service, leaving: announcement.Leaving,
	}
	if announcement.Serving.Open {
		facts.serving, facts.cold = announcement.Serving, announcement.cold()
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%+v", facts)
	return hash.Sum64()
}
