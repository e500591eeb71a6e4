package member

import (
	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/roster"
)

// Event is an input of the state machine: Announced, AnnouncedWithoutEcho,
// Departed, NodesDiscovered, Responded, Redirected, Failed or UsageReported.
type Event interface{ event() }

// Announced is an announcement that a host sent to this node, with this node's
// stamp as the host returned it.
type Announced struct {
	Announcement roster.Announcement
	Echo         clock.Stamp
}

// AnnouncedWithoutEcho is an announcement without a stamp. Its age is unknown, so
// its lease counts from its receipt.
type AnnouncedWithoutEcho struct{ Announcement roster.Announcement }

// Departed reports that an incarnation of a host accepts no more work. Incarnation
// 0 stands for the one that is known.
type Departed struct {
	Host        id.Host
	Incarnation id.Incarnation
}

// NodesDiscovered names nodes that may know the leader.
type NodesDiscovered struct{ Nodes []id.Node }

// Responded is the leader's response to a request.
type Responded struct{ Response feed.Response }

// Redirected is the response of a node that doesn't lead, or of a leader that has
// received a later request of this node.
type Redirected struct {
	Number   uint64
	Redirect feed.Redirect
}

// Failed reports that the request of this number got no response.
type Failed struct{ Number uint64 }

// UsageReported is the current demand and usage of the request path: demand by
// client account, calls in progress by endpoint and in total.
type UsageReported struct {
	DemandByClientAccount map[id.ClientAccount]granter.Quota
	RunningByEndpoint     map[feed.Endpoint]int
	ActiveCalls           int
	// Drained is true if the request path has stopped accepting calls and has none
	// left.
	Drained bool
	// StalledEndpoints are those whose calls make no progress.
	StalledEndpoints []feed.Endpoint
	// Crashes are the endpoints that have ended lately under calls without an answer.
	Crashes []feed.ObservedCrash
	// SoundParts and WantedTrials are those of feed.Request.
	SoundParts   []id.PromptPart
	WantedTrials []feed.WantedTrial
	// Run is the state of the node's run, and nil where it isn't known.
	Run *feed.RunState
	// OfferedWork is that of feed.Request.
	OfferedWork []feed.OfferedWork
}

// stopping reports whether the node's run drains or stops.
func (report *UsageReported) stopping() bool { return report.Run != nil && report.Run.Stopping }

func (Announced) event()            {}
func (AnnouncedWithoutEcho) event() {}
func (Departed) event()             {}
func (NodesDiscovered) event()      {}
func (Responded) event()            {}
func (Redirected) event()           {}
func (Failed) event()               {}
func (UsageReported) event()        {}

// Send is a request to send to a voter.
type Send struct {
	To      id.Node
	Request feed.Request
}

// Actions are what the caller must do after an event or a tick.
type Actions struct {
	// Send is the request to send; it is nil if there is none.
	Send *Send
	// Changed is true if the view must be rebuilt.
	Changed bool
	// AnnouncementReply is the reply to an Announced event; it is nil after any
	// other event.
	AnnouncementReply *AnnouncementReply
}

// AnnouncementReply is the reply to a host's announcement.
type AnnouncementReply struct {
	Stamp clock.Stamp `json:"stamp"`
	// Resend is true if the age of the announcement wasn't known, so that it
	// started no lease: the host must send it again with this stamp.
	Resend bool `json:"again"`
}
