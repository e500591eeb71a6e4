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

// Renewed is the announcement of a host that echoes no stamp, so that its age
// isn't known: its lease counts from the receipt.
type Renewed struct{ Announcement roster.Announcement }

// Departed says that a host's incarnation takes no more work. An incarnation
// of zero means the one that is known.
type Departed struct {
	Host        id.Host
	Incarnation id.Incarnation
}

// Introduced names nodes that may know who leads.
type Introduced struct{ Nodes []id.Node }

// Responded is the leader's answer to one request.
type Responded struct{ Response feed.Response }

// Redirected is the answer of a voter that doesn't lead.
type Redirected struct {
	Number   uint64
	Redirect feed.Redirect
}

// Failed says that a request got no answer.
type Failed struct{ Number uint64 }

// Reported is what the request path wants and does at present.
type Reported struct {
	Demand  map[id.ClientAccount]granter.Part
	Running map[feed.Endpoint]int
	Calls   int
	Drained bool
	// Stalled are the endpoints whose calls stand still.
	Stalled []feed.Endpoint
}

func (Announced) event()  {}
func (Renewed) event()    {}
func (Departed) event()   {}
func (Introduced) event() {}
func (Responded) event()  {}
func (Redirected) event() {}
func (Failed) event()     {}
func (Reported) event()   {}

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
	// Welcome answers an Announced event.
	Welcome *Welcome
}

// Welcome is the answer to an announcement.
type Welcome struct {
	Stamp clock.Stamp `json:"stamp"`
	// Again asks for the announcement once more with this stamp, because its
	// age wasn't known; it has started no lease.
	Again bool `json:"again"`
}
