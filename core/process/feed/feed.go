// Package feed holds the messages of the long poll between every node and the leader.
// In its Request a node reports its own state; in the Response it gets the changes of
// the replicated state and of the roster, and renews its lease. The leader holds a
// request back while nothing has changed for the node, for LongPollTimeout at most.
//
// # Usage
//
//	POST /peer/v2/feed with a Request; 200 with a Response, or 421 with a
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
	// Lease is how long a node may act on the state in a response, counted from when
	// it sent the request.
	Lease = 5 * time.Second
	// LongPollTimeout is how long a leader holds a request back while nothing has
	// changed for the node, counted from its previous response to that node. With
	// many nodes it is longer: see Response.HoldMS.
	LongPollTimeout = 200 * time.Millisecond
)

// Request is a node's report to the leader.
type Request struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Number increases with each request of one incarnation.
	Number uint64 `json:"number"`
	// Version is the version of the replicated state that the node holds.
	Version id.Version `json:"version"`
	// Epoch and Cursor are the position up to which the node has the leader's
	// roster.
	Epoch  Epoch  `json:"epoch"`
	Cursor uint64 `json:"cursor"`
	// RosterDigest sums up the roster that the node has, for a leader whose Epoch
	// it doesn't have yet.
	RosterDigest roster.Digest `json:"roster_digest,omitempty"`
	// AwaitedCursor is the cursor that a majority of the voters must have reached for
	// a departure that the node relayed to count as known; zero for none.
	AwaitedCursor uint64 `json:"awaited_cursor,omitempty"`
	// Echo is the leader's last stamp, advanced by the time the node held it. It
	// bounds the age of this request.
	Echo clock.Stamp `json:"echo"`
	// Announcements are those that hosts made to this node and the leader hasn't
	// accepted yet.
	Announcements []roster.RelayedAnnouncement `json:"heard,omitempty"`
	// HeldGrant is the grant that the node holds, without quotas once its lease has
	// ended. DemandByClientAccount holds the quotas that it wants.
	HeldGrant             granter.Grant                      `json:"held"`
	DemandByClientAccount map[id.ClientAccount]granter.Quota `json:"demand,omitempty"`
	// RunningByEndpoint is the number of this node's calls in progress at each
	// endpoint.
	RunningByEndpoint map[Endpoint]int `json:"running,omitempty"`
	// ActiveCalls is the number of all of this node's calls in progress.
	ActiveCalls int `json:"calls"`
	// Drained is set when the node accepts no new calls and has none in progress.
	Drained bool `json:"drained,omitempty"`
	// StalledEndpoints are those at which calls from this node make no progress.
	StalledEndpoints []Endpoint `json:"stalled,omitempty"`
	// HasDisk is set when the node has a data folder and so could become a voter.
	HasDisk bool `json:"disk,omitempty"`
	// Crashes are the endpoints that ended under calls of this node, and that the leader
	// of the present term hasn't got yet.
	Crashes []CrashReport `json:"crashes,omitempty"`
	// SoundParts are those of the leader's suspect and blocked parts on which an answer
	// has begun at this node lately.
	SoundParts []id.PromptPart `json:"sound_parts,omitempty"`
	// WantedTrials are the blocks under which this node has lately refused requests.
	WantedTrials []WantedTrial `json:"wanted_trials,omitempty"`
	// Run is the state of the node's run, without its calls. Nodes of an older release
	// send none.
	Run *RunState `json:"run,omitempty"`
	// LimitsCold is set by a node that forwards calls, keeps to Response.Cold and isn't
	// drained. Nodes of an older release never set it.
	LimitsCold bool `json:"limits_cold,omitempty"`
	// OfferedWork is the work that callers have offered to this incarnation of the node
	// since its start. Nodes of an older release send none.
	OfferedWork []OfferedWork `json:"offered_work,omitempty"`
}

// OfferedWork sums up the calls of one priority for one model, with those that were refused.
// The sums only rise, so that a lost report is made up for by the next one, and one that
// comes twice adds nothing.
type OfferedWork struct {
	Service  id.Service `json:"service"`
	Model    id.Model   `json:"model"`
	Priority int        `json:"priority"`
	Calls    uint64     `json:"calls"`
	// WorkMS is the time that the calls take of a group, in milliseconds.
	WorkMS float64 `json:"work_ms"`
}

// CrashReport is what one node has of the end of an endpoint's process.
type CrashReport struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	// AgeMS is how long ago the node saw it, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Unproven is set while the node has no proof that the process has ended: its address accepts
	// connections, as after a quick restart or behind a proxy. A later process proves it.
	Unproven bool `json:"unproven,omitempty"`
	// Address is the endpoint's; nodes of an older release send none.
	Address string `json:"address,omitempty"`
	// Calls are the node's calls there whose answers hadn't begun.
	Calls []CrashedCall `json:"calls"`
}

// ObservedCrash is a crash as the node that saw it keeps it. Revision rises when its report
// states more.
type ObservedCrash struct {
	SeenAt   time.Time
	Revision uint64
	// Report is without its age.
	Report CrashReport
}

// CrashedCall is a call whose endpoint ended before the answer had begun.
type CrashedCall struct {
	ClientAccount id.ClientAccount `json:"customer"`
	// Parts are those of its prompt that other calls may share, without those on which
	// an answer had begun lately.
	Parts []id.PromptPart `json:"parts"`
}

// WantedTrial is a block under which a node has refused requests.
type WantedTrial struct {
	Block id.PartsBlock `json:"block"`
	// OtherAccount is set if one was of a client account that the block doesn't name.
	OtherAccount bool `json:"other_customer,omitempty"`
}

// Endpoint is where a call runs: a group, or a single host of a service without
// groups. Only one of its fields is set.
type Endpoint struct {
	Group id.Group `json:"group,omitempty"`
	Host  id.Host  `json:"host,omitempty"`
}

// Compare orders endpoints by group and host.
func (endpoint Endpoint) Compare(other Endpoint) int {
	return cmp.Or(cmp.Compare(endpoint.Group, other.Group), cmp.Compare(endpoint.Host, other.Host))
}

// BareName returns the name of the group or of the host.
func (endpoint Endpoint) BareName() string {
	if endpoint.Group != "" {
		return string(endpoint.Group)
	}
	return string(endpoint.Host)
}

// MarshalText encodes an Endpoint as "group:NAME" or "host:NAME", so that it can be a
// key in JSON.
func (endpoint Endpoint) MarshalText() ([]byte, error) {
	if endpoint.Group != "" {
		return []byte("group:" + string(endpoint.Group)), nil
	}
	return []byte("host:" + string(endpoint.Host)), nil
}

// UnmarshalText decodes what MarshalText returned. Any other text gives the zero
// Endpoint, without an error.
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

// Epoch identifies the leader process to whose roster a Cursor belongs: one incarnation
// of a node.
type Epoch struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// Response is the leader's answer to the Request with the same Number.
type Response struct {
	Number uint64      `json:"number"`
	Leader id.Node     `json:"leader"`
	Term   id.Term     `json:"term"`
	Stamp  clock.Stamp `json:"stamp"`
	// AnnouncementsAccepted is set when the leader has merged the request's
	// announcements. It merges none when the request's echo doesn't bound their
	// age.
	AnnouncementsAccepted bool `json:"took"`
	// LeaseMS is the node's lease in milliseconds, counted from when it sent the
	// request.
	LeaseMS int64          `json:"lease_ms"`
	Delta   register.Delta `json:"delta"`
	// DeclaredAgeMS is how long ago the leader applied the declaration of Delta, in
	// milliseconds.
	DeclaredAgeMS int64  `json:"declared_age_ms,omitempty"`
	Epoch         Epoch  `json:"epoch"`
	Cursor        uint64 `json:"cursor"`
	// MajorityCursor is the cursor that a majority of the voters has reached. What
	// the roster holds up to it survives the loss of the leader.
	MajorityCursor uint64 `json:"majority_cursor"`
	// Roster holds the announcements that changed after the request's cursor in more
	// than their lease and load.
	Roster []roster.RelayedAnnouncement `json:"roster,omitempty"`
	// Renewals are for announcements of which only the lease and the load changed after
	// the request's cursor.
	Renewals []roster.Renewal `json:"renewals,omitempty"`
	// Grant is the quota that the node may use until its lease ends.
	Grant granter.Grant `json:"offer"`
	// Share is this node's fraction of the calls in progress at all nodes, above 0 and
	// at most 1.
	Share float64 `json:"share"`
	// HoldMS is how long the leader holds a request back while nothing has changed
	// for the node, in milliseconds.
	HoldMS int64 `json:"hold_ms"`
	// Voters are the current voters.
	Voters []id.Node `json:"voters,omitempty"`
	// StalledEndpoints are those at which any node has lately reported calls that make
	// no progress.
	StalledEndpoints []Endpoint `json:"stalled,omitempty"`
	// RunningByEndpoint is the number of calls in progress of all nodes at each endpoint.
	RunningByEndpoint *CallCounts `json:"running,omitempty"`
	// SuspectParts are those of prompts under which endpoints have ended, and on which no
	// answer has begun since.
	SuspectParts []id.PromptPart `json:"suspect_parts,omitempty"`
	// TakesRuns is set by a leader that supports Request.Run, and Unproven and Address of a CrashReport. A leader
	// of an older release refuses requests with fields that it doesn't support.
	TakesRuns bool `json:"takes_runs,omitempty"`
	// TakesCold is set by a leader that accepts Request.LimitsCold and the cold time of
	// announcements, which leaders of an older release refuse.
	TakesCold bool `json:"takes_cold,omitempty"`
	// Cold is how many requests the node may send to each cold endpoint in any second, until
	// the lease ends. It may send none to those that aren't in it.
	Cold map[Endpoint]int `json:"cold,omitempty"`
	// TakesOfferedWork is set by a leader that accepts Request.OfferedWork.
	TakesOfferedWork bool `json:"takes_offered_work,omitempty"`
	// FormerRun is set if the run before this one at the node's address has ended without
	// a stop. It is sent several times.
	FormerRun *EndedRun `json:"former_run,omitempty"`
}

// Redirect is the answer of a node that doesn't lead. Leader is empty when unknown.
type Redirect struct {
	Leader id.Node `json:"leader"`
	// Voters are the voters known to the node that answers.
	Voters []id.Node `json:"voters,omitempty"`
	// Superseded is set when a later request of the same node has replaced this one.
	// The leader itself then sends the Redirect.
	Superseded bool `json:"superseded,omitempty"`
	// AnnouncementsAccepted is set when the leader has merged the announcements of the
	// superseded request.
	AnnouncementsAccepted bool `json:"took,omitempty"`
}
