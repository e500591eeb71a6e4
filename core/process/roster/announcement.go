package roster

import (
	"slices"
	"time"

	"carobline.dev/core/id"
)

// Announcement is what a host of a model engine or a service says of itself.
type Announcement struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Sequence rises with each announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	// Address is the IP number and port for requests and orders.
	Address    string        `json:"address"`
	DataCentre id.DataCentre `json:"data_centre"`
	Domain     id.Domain     `json:"domain"`
	// Accelerators is how many the host has; a plain service has none.
	Accelerators int        `json:"accelerators"`
	Models       []id.Model `json:"models,omitempty"`
	// Service is set by a plain service and excludes Models.
	Service id.Service `json:"service,omitempty"`
	// Engine is set by a host whose groups are opened and closed by order. It
	// names its service, which declares the models.
	Engine bool `json:"engine,omitempty"`
	// Staged are the models whose weights lie on an engine's host, and Loaded
	// those that were in its memory last.
	Staged []id.Model `json:"staged,omitempty"`
	Loaded []id.Model `json:"loaded,omitempty"`
	// ChecksFencing says whether the host refuses orders with old numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// Resumes says whether a stream can start after its first tokens.
	Resumes bool  `json:"resumes"`
	LeaseMS int64 `json:"lease_ms"`
	Load    Load  `json:"load"`
	// Prefixes are the hashes of cached prompt prefixes that requests named,
	// as far as the engine tells, the latest used last; late and with gaps.
	Prefixes []uint32 `json:"prefixes,omitempty"`
	Serving  Serving  `json:"serving"`
	Leaving  bool     `json:"leaving"`
}

// Load is what an engine reports of itself, late.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// HighestPriority is how many of them, running or queued, have the first priority.
	HighestPriority int `json:"urgent"`
}

// Serving is the group that a host serves in, by the last order it obeyed.
type Serving struct {
	Group   id.Group        `json:"group,omitempty"`
	Model   id.Model        `json:"model,omitempty"`
	Fencing id.FencingToken `json:"fencing"`
	// Ready says that the weights are loaded.
	Ready bool `json:"ready"`
	// Open says of a group's head that it takes requests or finishes some.
	Open bool `json:"open,omitempty"`
	// Closing says that it finishes its work and takes no more.
	Closing bool `json:"closing,omitempty"`
	// Broken says that the engine has given the group up itself.
	Broken bool `json:"broken,omitempty"`
}

// Lease is how long the announcement holds from when it was sent.
func (announcement *Announcement) Lease() time.Duration {
	return time.Duration(announcement.LeaseMS) * time.Millisecond
}

// HasWeights tells whether an engine can serve a model without a load from the
// weight store.
func (announcement *Announcement) HasWeights(model id.Model) bool {
	return slices.Contains(announcement.Loaded, model) || slices.Contains(announcement.Staged, model)
}

// announcementsInLease is how many announcements a host makes in one lease.
const announcementsInLease = 4

// Interval is how often the host announces itself.
func (announcement *Announcement) Interval() time.Duration {
	return announcement.Lease() / announcementsInLease
}

// newerThan orders the announcements of one host.
func (announcement *Announcement) newerThan(other *Announcement) bool {
	if announcement.Incarnation != other.Incarnation {
		return announcement.Incarnation > other.Incarnation
	}
	return announcement.Sequence > other.Sequence
}

// RelayedAnnouncement is an announcement on its way between processes, with what remains
// of its lease at sending.
type RelayedAnnouncement struct {
	Announcement Announcement `json:"announcement"`
	RemainingMS  int64        `json:"remaining_ms"`
}

// Renewal stands for an announcement of which the other side knows all but the
// lease and the load.
type Renewal struct {
	Host        id.Host        `json:"h"`
	Incarnation id.Incarnation `json:"i"`
	Sequence    uint64         `json:"s"`
	RemainingMS int64          `json:"r"`
	Running     int            `json:"n,omitempty"`
	Queued      int            `json:"q,omitempty"`
	Urgent      int            `json:"u,omitempty"`
}
