// Package feed holds the messages by which every node learns of the state in
// force and reports its own: one exchange, a Request from a node and a Response
// from the leader, repeated without end. The leader holds a request back while
// it has no news, up to the request's wait.
//
// # Usage
//
//	POST /peer/v1/feed with a Request; 200 with a Response, or 421 with a
//	Redirect from a node that doesn't lead.
package feed

import (
	"cmp"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// Lease is how long a node may act on the state that a response brought,
	// from when it sent the request.
	Lease = 5 * time.Second
	// LongPollTimeout is how long a leader holds back a request when it has no news.
	LongPollTimeout = 200 * time.Millisecond
)

// Request is a node's report.
type Request struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Number rises with each request of one incarnation.
	Number uint64 `json:"number"`
	// Version is the state that the node has in force.
	Version id.Version `json:"version"`
	// Epoch and Cursor say up to where the node knows the leader's roster.
	Epoch  Epoch  `json:"epoch"`
	Cursor uint64 `json:"cursor"`
	// Echo returns the leader's last stamp.
	Echo clock.Stamp `json:"echo"`
	// Announcements are announcements that hosts made to this node.
	Announcements []roster.RelayedAnnouncement       `json:"heard,omitempty"`
	HeldGrant     granter.Grant                      `json:"held"`
	Demand        map[id.ClientAccount]granter.Quota `json:"demand,omitempty"`
	// RunningByEndpoint counts this node's calls in progress by endpoint.
	RunningByEndpoint map[Endpoint]int `json:"running,omitempty"`
	// ActiveCalls counts all calls in progress.
	ActiveCalls int `json:"calls"`
	// Drained says that the node has stopped taking calls and has none left.
	Drained bool `json:"drained,omitempty"`
	// Stalled are the endpoints whose calls from this node stand still.
	Stalled []Endpoint `json:"stalled,omitempty"`
	// HasDisk says that the node could vote.
	HasDisk bool `json:"disk,omitempty"`
}

// Endpoint is what a call runs on: a group, or a host of a plain service.
type Endpoint struct {
	Group id.Group `json:"group,omitempty"`
	Host  id.Host  `json:"host,omitempty"`
}

// Compare orders endpoints by group and host.
func (endpoint Endpoint) Compare(other Endpoint) int {
	return cmp.Or(cmp.Compare(endpoint.Group, other.Group), cmp.Compare(endpoint.Host, other.Host))
}

// MarshalText makes an Endpoint usable as a key in JSON.
func (endpoint Endpoint) MarshalText() ([]byte, error) {
	if endpoint.Group != "" {
		return []byte("group:" + string(endpoint.Group)), nil
	}
	return []byte("host:" + string(endpoint.Host)), nil
}

// UnmarshalText reads what MarshalText wrote.
func (endpoint *Endpoint) UnmarshalText(data []byte) error {
	*endpoint = Endpoint{}
	text := string(data)
	const group, host = "group:", "host:"
	switch {
	case len(text) > len(group) && text[:len(group)] == group:
		endpoint.Group = id.Group(text[len(group):])
	case len(text) > len(host) && text[:len(host)] == host:
		endpoint.Host = id.Host(text[len(host):])
	}
	return nil
}

// Epoch names one life of the process whose roster a cursor counts in.
type Epoch struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// Response is the leader's answer.
type Response struct {
	Number uint64      `json:"number"`
	Leader id.Node     `json:"leader"`
	Term   id.Term     `json:"term"`
	Stamp  clock.Stamp `json:"stamp"`
	// AnnouncementsAccepted says that the leader has heard the request's announcements.
	AnnouncementsAccepted bool                         `json:"took"`
	LeaseMS               int64                        `json:"lease_ms"`
	Delta                 register.Delta               `json:"delta"`
	Epoch                 Epoch                        `json:"epoch"`
	Cursor                uint64                       `json:"cursor"`
	Roster                []roster.RelayedAnnouncement `json:"roster,omitempty"`
	// Renewals are of hosts whose announcements the node has.
	Renewals []roster.Renewal `json:"renewals,omitempty"`
	Grant    granter.Grant    `json:"offer"`
	// Share is the node's part of the calls of all nodes.
	Share float64 `json:"share"`
	// Voters are the nodes that vote at present.
	Voters []id.Node `json:"voters,omitempty"`
	// Stalled are the endpoints that any node says stand still.
	Stalled []Endpoint `json:"stalled,omitempty"`
	// RunningElsewhere counts the calls in progress by endpoint at all other nodes.
	RunningElsewhere map[Endpoint]int `json:"elsewhere,omitempty"`
}

// Redirect names the leader, when it is known.
type Redirect struct {
	Leader id.Node `json:"leader"`
	// Voters are the nodes that vote, as far as the answering one knows.
	Voters []id.Node `json:"voters,omitempty"`
	// Superseded says that the node's own later request took this one's place.
	Superseded bool `json:"superseded,omitempty"`
}
