package member

import (
	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/roster"
)

// Event is one thing that happened to a node: Announced, Renewed, Departed,
// Introduced, Responded, Redirected, Failed or Reported.
type Event interface{ event() }

// Announced is a host's announcement to this node, with the stamp it echoes.
type Announced struct {
	Announcement roster.Announcement
	Echo         clock.Stamp
}

// AnnouncedWithoutEcho is the announcement of a host that echoes no stamp, so that its age
// isn't known: its lease counts from the receipt.
type AnnouncedWithoutEcho struct{ Announcement roster.Announcement }

// Departed says that a host's incarnation takes no more work. An incarnation
// of zero means the one that is known.
type Departed struct {
	Host        id.Host
	Incarnation id.Incarnation
}

// NodesDiscovered names nodes that may know who leads.
type NodesDiscovered struct{ Nodes []id.Node }

// Responded is the leader's answer to one request.
type Responded struct{ Response feed.Response }

// Redirected is the answer of a voter that doesn't lead.
type Redirected struct {
	Number   uint64
	Redirect feed.Redirect
}

// Failed says that a request got no answer.
type Failed struct{ Number uint64 }

// UsageReported is what the request path wants and does at present.
type UsageReported struct {
	Demand            map[id.ClientAccount]granter.Quota
	RunningByEndpoint map[feed.Endpoint]int
	ActiveCalls       int
	Drained           bool
	// Stalled are the endpoints whose calls stand still.
	Stalled []feed.Endpoint
}

func (Announced) event()            {}
func (AnnouncedWithoutEcho) event() {}
func (Departed) event()             {}
func (NodesDiscovered) event()      {}
func (Responded) event()            {}
func (Redirected) event()           {}
func (Failed) event()               {}
func (UsageReported) event()        {}

// Send is a request on its way to a voter.
type Send struct {
	To      id.Node
	Request feed.Request
}

// Actions are what the caller must do.
type Actions struct {
	Send *Send
	// Changed says that the view should be drawn up anew.
	Changed bool
	// AnnouncementReply answers an Announced event.
	AnnouncementReply *AnnouncementReply
}

// AnnouncementReply is the answer to an announcement.
type AnnouncementReply struct {
	Stamp clock.Stamp `json:"stamp"`
	// Resend asks for the announcement once more with this stamp, because its
	// age wasn't known; it has started no lease.
	Resend bool `json:"again"`
}
