package roster

import (
	"slices"
	"time"

	"carobline.dev/core/id"
)

// Announcement is a host's report of itself and the lease that it requests.
type Announcement struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Sequence increases with each announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	// Address is the IP address and port for requests and orders.
	Address    string        `json:"address"`
	DataCentre id.DataCentre `json:"data_centre"`
	Domain     id.Domain     `json:"domain"`
	// Accelerators is how many accelerators the host has; a host of a plain
	// service has none.
	Accelerators int        `json:"accelerators"`
	Models       []id.Model `json:"models,omitempty"`
	// Service is set by a host of a plain service, which has no Models.
	Service id.Service `json:"service,omitempty"`
	// Engine is true for a host of a model engine, whose groups are opened and
	// closed by orders. Its Service names the service that declares the models.
	Engine bool `json:"engine,omitempty"`
	// Staged are the models whose weights are on the engine's host, and Loaded
	// those that were last in the engine's memory.
	Staged []id.Model `json:"staged,omitempty"`
	Loaded []id.Model `json:"loaded,omitempty"`
	// ChecksFencing is true if the host refuses orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing"`
	// Resumes is true if a stream can be resumed after its first tokens.
	Resumes bool  `json:"resumes"`
	LeaseMS int64 `json:"lease_ms"`
	Load    Load  `json:"load"`
	// Prefixes are the hashes of the prompt prefixes that requests named and that
	// are in the engine's cache, the most recently used last. Engines report them
	// late and incompletely.
	Prefixes []uint32 `json:"prefixes,omitempty"`
	Serving  Serving  `json:"serving"`
	Leaving  bool     `json:"leaving"`
	// ColdRemainingMS is for how long the host still takes few requests per second after a
	// start, in milliseconds. It is 0 for a warm host.
	ColdRemainingMS int64 `json:"cold_left_ms,omitempty"`
}

// Load is an engine's load as it last reported it.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// HighestPriorityRequests is how many of the running and queued requests have
	// the highest priority.
	HighestPriorityRequests int `json:"urgent"`
}

// Serving is the group that a host belongs to, by the last order that it carried
// out.
type Serving struct {
	Group   id.Group        `json:"group,omitempty"`
	Model   id.Model        `json:"model,omitempty"`
	Fencing id.FencingToken `json:"fencing"`
	// Ready is true if the weights are loaded.
	Ready bool `json:"ready"`
	// Open is true for the head of a group that accepts requests or still has some
	// to finish.
	Open bool `json:"open,omitempty"`
	// Closing is true if the group finishes its requests and accepts no more.
	Closing bool `json:"closing,omitempty"`
	// Broken is true if the engine itself has given up the group.
	Broken bool `json:"broken,omitempty"`
}

// Lease returns how long the announcement is valid from when it was sent.
func (announcement *Announcement) Lease() time.Duration {
	return time.Duration(announcement.LeaseMS) * time.Millisecond
}

// HasWeights reports whether an engine can serve a model without a load from the
// weight store.
func (announcement *Announcement) HasWeights(model id.Model) bool {
	return slices.Contains(announcement.Loaded, model) || slices.Contains(announcement.Staged, model)
}

// announcementsPerLease is how many announcements a host sends in one lease.
const announcementsPerLease = 4

// Interval returns the time between two announcements of the host.
func (announcement *Announcement) Interval() time.Duration {
	return announcement.Lease() / announcementsPerLease
}

// newerThan reports whether an announcement is newer than another one of the same
// host, by incarnation and then by sequence.
func (announcement *Announcement) newerThan(other *Announcement) bool {
	if announcement.Incarnation != other.Incarnation {
		return announcement.Incarnation > other.Incarnation
	}
	return announcement.Sequence > other.Sequence
}

// lateDeparture reports whether an announcement reports first that the incarnation of the
// latest one leaves, though its sequence isn't higher. A node that receives a
// departure may have missed the announcements that other nodes have received before.
func (announcement *Announcement) lateDeparture(latest *Announcement) bool {
	return announcement.Leaving && !latest.Leaving && announcement.Incarnation == latest.Incarnation && announcement.Sequence <= latest.Sequence
}

// RelayedAnnouncement is an announcement that one node sends to another.
type RelayedAnnouncement struct {
	Announcement Announcement `json:"announcement"`
	// RemainingMS is what remained of the lease at sending, in milliseconds.
	RemainingMS int64 `json:"remaining_ms"`
}

// Renewal replaces a relayed announcement if the receiver already has everything
// of it but the lease and the load.
type Renewal struct {
	Host                    id.Host        `json:"h"`
	Incarnation             id.Incarnation `json:"i"`
	Sequence                uint64         `json:"s"`
	RemainingMS             int64          `json:"r"`
	Running                 int            `json:"n,omitempty"`
	Queued                  int            `json:"q,omitempty"`
	HighestPriorityRequests int            `json:"u,omitempty"`
}
