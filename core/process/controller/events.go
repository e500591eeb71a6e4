package controller

import (
	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

// Ticket correlates an answer with the request that waits for it. The caller
// chooses it; zero stands for a request that no caller waits for.
type Ticket uint64

// Event is an input of a controller: MessageReceived, FeedRequested,
// ChangeProposed, VotersChangeRequested, OrderUndelivered or
// LeadershipTransferRequested.
type Event interface{ event() }

// MessageReceived is a message from another voter.
type MessageReceived struct{ Message quorum.Message }

// FeedRequested is a node's feed request, which is answered by a Reply with the
// same ticket.
type FeedRequested struct {
	Ticket  Ticket
	Request feed.Request
}

// ChangeProposed is a change that an operator or a node requests. It is answered
// by an Outcome with the same ticket.
type ChangeProposed struct {
	Ticket  Ticket
	Command register.Command
	// AcceptLoss lets a planned stop begin although it leaves too few voters or
	// a contract's model without a group.
	AcceptLoss bool
	// KnownDataCentre is set if the data centre of an evacuation is in the settings of the node
	// that proposes it.
	KnownDataCentre bool
}

// VotersChangeRequested requests a new set of voters, which must differ from the
// present one by one voter. It is answered by an Outcome with the same ticket.
type VotersChangeRequested struct {
	Ticket     Ticket
	Actor      string
	Membership quorum.Membership
}

// OrderUndelivered reports an order that didn't reach its host: the host's address refused
// the connection, or else it couldn't be opened in time.
type OrderUndelivered struct {
	Host    id.Host
	Refused bool
}

// LeadershipTransferRequested requests that the leader transfers its leadership.
type LeadershipTransferRequested struct{}

func (MessageReceived) event()             {}
func (FeedRequested) event()               {}
func (ChangeProposed) event()              {}
func (VotersChangeRequested) event()       {}
func (LeadershipTransferRequested) event() {}
func (OrderUndelivered) event()            {}

// Reply answers a FeedRequested event: with a Response, or with a Redirect when
// this voter doesn't lead or a newer request of the node has superseded this one.
type Reply struct {
	Ticket   Ticket
	Response *feed.Response
	Redirect *feed.Redirect
}

// Outcome answers a ChangeProposed or VotersChangeRequested event.
type Outcome struct {
	Ticket Ticket `json:"-"`
	// Result is nil when this voter doesn't lead, stopped leading, or can't accept
	// a first declaration yet. The change may or may not have been accepted; the
	// caller finds out by resending it with the same change id.
	Result *register.Result `json:"result,omitempty"`
	Leader id.Node          `json:"leader,omitempty"`
	// InForce is set once each node has the change in force or takes no new
	// calls.
	InForce bool `json:"in_force"`
	// Lagging lists the nodes that didn't have the change in force in time.
	Lagging []id.Node `json:"lagging,omitempty"`
}

// Actions are what the caller must do. It must first write and fsync DiskWrite,
// and when that fails stop and do nothing else. It must drop Replies, Outcomes and
// Orders when the lease of the leader that made them has expired meanwhile.
type Actions struct {
	DiskWrite quorum.DiskWrite
	Messages  []quorum.Message
	Replies   []Reply
	Outcomes  []Outcome
	Orders    []action.Order
	// Decisions are what the leader decided by itself, for the process's log.
	Decisions []action.Decision
	// Contacts are nodes that may know the leader: they have sent messages to the name
	// that this node had before it lost its disk.
	Contacts []id.Node
}

func (actions *Actions) add(later Actions) {
	merged := quorum.Actions{DiskWrite: actions.DiskWrite}
	merged.Add(quorum.Actions{DiskWrite: later.DiskWrite})
	actions.DiskWrite = merged.DiskWrite
	actions.Messages = append(actions.Messages, later.Messages...)
	actions.Replies = append(actions.Replies, later.Replies...)
	actions.Outcomes = append(actions.Outcomes, later.Outcomes...)
	actions.Orders = append(actions.Orders, later.Orders...)
	actions.Decisions = append(actions.Decisions, later.Decisions...)
	actions.Contacts = append(actions.Contacts, later.Contacts...)
}
