// Package action holds what the leader's deciders request of their caller beside
// changing the replicated state: orders to hosts, and decisions to log.
//
// # Usage
//
//	for _, order := range actions.Orders { send(order) }
//	for _, decision := range actions.Decisions { log(decision) }
package action

import (
	"time"

	"carobline.dev/core/id"
)

// OrderKind is the operation that an order requests of a host.
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
	// OrderProbe opens a new connection to an unresponsive host and sends nothing. It shows whether
	// the host is lost: at one that only pauses, the kernel still accepts connections.
	OrderProbe OrderKind = "probe"
)

// OrderRetryInterval is how long the effect of an order is awaited before the order is
// sent again.
const OrderRetryInterval = time.Second

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
	// Number is no smaller than that of any older order to this host, by this leader or one
	// before; an order to stage repeats the last. Only orders of package fleet have one.
	Number id.OrderNumber `json:"number,omitempty"`
	// LifetimeMS is how many milliseconds after receipt the order may be carried
	// out.
	LifetimeMS int64 `json:"lifetime_ms"`
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
	// Block, Parts and ClientAccounts are those of a decision on parts of prompts.
	Block          id.PartsBlock
	Parts          []id.PromptPart
	ClientAccounts []id.ClientAccount
}
