package controller

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

// Ticket correlates an answer with the request that waits for it. The caller
// chooses it; zero stands for a request that nobody waits for.
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

// ChangeProposed is a change that an operator or a node asks for. It is answered
// by an Outcome with the same ticket.
type ChangeProposed struct {
	Ticket  Ticket
	Command register.Command
	// AcceptLoss lets a planned stop begin although it leaves too few voters or
	// a contract's model without a group.
	AcceptLoss bool
}

// VotersChangeRequested asks for a new set of voters, which must differ from the
// present one by one voter. It is answered by an Outcome with the same ticket.
type VotersChangeRequested struct {
	Ticket     Ticket
	Actor      string
	Membership quorum.Membership
}

// OrderUndelivered reports an order that found no host at its address.
type OrderUndelivered struct{ Host id.Host }

// LeadershipTransferRequested asks a leader to transfer its leadership.
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

// OrderKind is the operation that an order asks a host for.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad makes a host load a group's model and join the group.
	OrderLoad OrderKind = "load"
	// OrderUnload makes a host leave its group.
	OrderUnload OrderKind = "unload"
	// OrderOpen makes the head of a group whose hosts are all ready take requests.
	OrderOpen OrderKind = "open"
	// OrderClose makes the head of a group finish its requests and take no more.
	OrderClose OrderKind = "close"
	// OrderStage makes an engine's host fetch a model's weights without loading
	// them.
	OrderStage OrderKind = "stage"
)

// Order is an instruction to a host: which group to serve in or leave, or which
// weights to stage. A host that checks fencing tokens refuses an order with a
// smaller token than it has seen.
type Order struct {
	Host    id.Host         `json:"host"`
	Address string          `json:"-"`
	Kind    OrderKind       `json:"kind"`
	Group   id.Group        `json:"group,omitempty"`
	Model   id.Model        `json:"model,omitempty"`
	Fencing id.FencingToken `json:"fencing"`
	// Rank is the host's position in the group; rank 0 takes requests.
	Rank int `json:"rank"`
	// Peers are the addresses of the group's hosts by rank.
	Peers []string `json:"peers,omitempty"`
	// Members are the group's hosts by rank, for engines.
	Members []id.Host `json:"members,omitempty"`
	// Term is the leader's term in which an order to an engine was made.
	Term id.Term `json:"term,omitempty"`
	// LifetimeMS is how many milliseconds after receipt the order may be carried
	// out.
	LifetimeMS int64 `json:"lifetime_ms"`
}

// Actions are what the caller must do. It must first write and fsync DiskWrite,
// and when that fails stop and do nothing else. It must drop Replies, Outcomes and
// Orders when the lease of the leader that made them has expired meanwhile.
type Actions struct {
	DiskWrite quorum.DiskWrite
	Messages  []quorum.Message
	Replies   []Reply
	Outcomes  []Outcome
	Orders    []Order
	// Decisions are what the leader decided by itself, for the process's log.
	Decisions []Decision
}

// Decision is a log record of one decision of the leader and its basis.
type Decision struct {
	// Step names the kind of decision and is logged as it is.
	Step   string
	Group  id.Group
	Model  id.Model
	Host   id.Host
	Reason string
	// Hosts are the hosts of the group.
	Hosts []id.Host
	// Age is the age of the last announcement of Host, on which the decision
	// rests. It has no meaning where Host is empty or unknown.
	Age time.Duration
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
}
