package controller

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

// Ticket ties an answer to the request that waits for it. The caller chooses it.
type Ticket uint64

// Event is one thing that happened to a controller: Received, Synced, Proposed,
// Reconfigured, Undelivered or HandedOver.
type Event interface{ event() }

// MessageReceived is a message of another voter.
type MessageReceived struct{ Message quorum.Message }

// FeedRequested is a node's report, to be answered under its ticket.
type FeedRequested struct {
	Ticket  Ticket
	Request feed.Request
}

// ChangeProposed is a change that an operator or a node asks for.
type ChangeProposed struct {
	Ticket  Ticket
	Command register.Command
	// AcceptLoss lets a stop begin although it breaks a promise.
	AcceptLoss bool
}

// VotersChangeRequested asks for a new set of voters, which differs from the present one
// by one voter.
type VotersChangeRequested struct {
	Ticket     Ticket
	Actor      string
	Membership quorum.Membership
}

// OrderUndelivered reports an order that found no host at its address.
type OrderUndelivered struct{ Host id.Host }

// LeadershipTransferRequested asks a leader to pass leadership on.
type LeadershipTransferRequested struct{}

func (MessageReceived) event()             {}
func (FeedRequested) event()               {}
func (ChangeProposed) event()              {}
func (VotersChangeRequested) event()       {}
func (LeadershipTransferRequested) event() {}
func (OrderUndelivered) event()            {}

// Reply answers a Synced event: with a Response, or with a Redirect when this
// voter can't answer.
type Reply struct {
	Ticket   Ticket
	Response *feed.Response
	Redirect *feed.Redirect
}

// Outcome answers a Proposed event.
type Outcome struct {
	Ticket Ticket `json:"-"`
	// Result is nil when this voter doesn't lead or stopped leading; the change
	// may or may not be accepted, and a resend with its change id will tell.
	Result *register.Result `json:"result,omitempty"`
	Leader id.Node          `json:"leader,omitempty"`
	// InForce says that each node has the change in force or takes no new work.
	InForce bool `json:"in_force"`
	// Lagging lists the nodes that were waited for in vain.
	Lagging []id.Node `json:"lagging,omitempty"`
}

// OrderKind says what a host is told to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	// OrderOpen lets the head of a group whose hosts are all ready serve.
	OrderOpen OrderKind = "open"
	// OrderClose lets the head of a group finish its work and take no more.
	OrderClose OrderKind = "close"
	// OrderStage puts a model's weights on an engine's host.
	OrderStage OrderKind = "stage"
)

// Order tells a host which group it serves in. A host that checks fencing
// numbers refuses one with a smaller number than it has seen.
type Order struct {
	Host    id.Host         `json:"host"`
	Address string          `json:"-"`
	Kind    OrderKind       `json:"kind"`
	Group   id.Group        `json:"group,omitempty"`
	Model   id.Model        `json:"model,omitempty"`
	Fencing id.FencingToken `json:"fencing"`
	// Rank is the host's place in the group; rank 0 takes requests.
	Rank int `json:"rank"`
	// Peers are the addresses of the group's hosts by rank.
	Peers []string `json:"peers,omitempty"`
	// Members are the group's hosts by rank, for engines.
	Members []id.Host `json:"members,omitempty"`
	// Term is the reign in which an order to an engine was made.
	Term id.Term `json:"term,omitempty"`
	// LifetimeMS is how long after receipt the order may be carried out.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Actions are what the caller must do: sync Save first, and when that fails
// stop and do nothing else. Replies, Outcomes and Orders are dropped when the
// lease of the leader that made them has run out meanwhile.
type Actions struct {
	Save     quorum.DiskWrite
	Messages []quorum.Message
	Replies  []Reply
	Outcomes []Outcome
	Orders   []Order
	// Decisions say what the leader has decided by itself, for the log.
	Decisions []Decision
}

// Decision is one decision and what it rests on.
type Decision struct {
	Step   string
	Group  id.Group
	Model  id.Model
	Host   id.Host
	Reason string
	// Hosts are the hosts of the group.
	Hosts []id.Host
	// Age is how old the word is on which the decision rests.
	Age time.Duration
}

func (actions *Actions) add(later Actions) {
	merged := quorum.Actions{DiskWrite: actions.Save}
	merged.Add(quorum.Actions{DiskWrite: later.Save})
	actions.Save = merged.DiskWrite
	actions.Messages = append(actions.Messages, later.Messages...)
	actions.Replies = append(actions.Replies, later.Replies...)
	actions.Outcomes = append(actions.Outcomes, later.Outcomes...)
	actions.Orders = append(actions.Orders, later.Orders...)
	actions.Decisions = append(actions.Decisions, later.Decisions...)
}
