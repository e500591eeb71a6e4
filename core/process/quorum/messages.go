package quorum

import (
	"time"

	"carobline.dev/core/id"
)

// maxIndex is beyond any log's length.
const maxIndex = id.Index(1) << 62

// Kind says what a Message asks or answers.
type Kind string

// The kinds of messages between voters.
const (
	KindPreVote       Kind = "pre_vote"
	KindPreVoteReply  Kind = "pre_vote_reply"
	KindVote          Kind = "vote"
	KindVoteReply     Kind = "vote_reply"
	KindAppend        Kind = "append"
	KindAppendReply   Kind = "append_reply"
	KindSnapshot      Kind = "snapshot"
	KindSnapshotReply Kind = "snapshot_reply"
	KindTimeoutNow    Kind = "timeout_now"
)

// Message travels from one voter or learner to another. Fields that a kind
// doesn't use stay zero.
type Message struct {
	Kind Kind    `json:"kind"`
	From id.Node `json:"from"`
	To   id.Node `json:"to"`
	Term id.Term `json:"term"`

	// LogIndex and LogTerm name the sender's last entry in a vote, and the
	// entry before Entries in an append.
	LogIndex id.Index `json:"log_index,omitempty"`
	LogTerm  id.Term  `json:"log_term,omitempty"`
	Entries  []Entry  `json:"entries,omitempty"`
	Commit   id.Index `json:"commit,omitempty"`

	// Granted answers votes and appends. Match is the highest index known to
	// be equal, or where to try next when an append was not granted.
	Granted bool     `json:"granted,omitempty"`
	Match   id.Index `json:"match,omitempty"`

	// Forced marks a vote that follows a hand-over by the leader itself.
	Forced bool `json:"forced,omitempty"`

	// Sent is the leader's own clock at sending, in nanoseconds since the
	// leader's start; a reply echoes it.
	Sent int64 `json:"sent,omitempty"`

	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// wellFormed tells whether a message can be what a voter sends: its entries
// follow each other and a snapshot comes with its kind.
func (message *Message) wellFormed() bool {
	for position := range message.Entries {
		if message.Entries[position].Index != message.LogIndex+id.Index(position)+1 || message.Entries[position].Term > message.Term {
			return false
		}
	}
	if message.Kind == KindSnapshot {
		return message.Snapshot != nil && message.Snapshot.Index > 0
	}
	return message.LogIndex < maxIndex && message.Match < maxIndex
}

// Entry is one place of the replicated log. An entry holds Data, a new
// Membership, or neither (the empty entry that opens a term).
type Entry struct {
	Index      id.Index    `json:"index"`
	Term       id.Term     `json:"term"`
	Data       []byte      `json:"data,omitempty"`
	Membership *Membership `json:"membership,omitempty"`
}

// Membership lists who votes and who only follows.
type Membership struct {
	Voters   []id.Node `json:"voters"`
	Learners []id.Node `json:"learners,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index      id.Index   `json:"index"`
	Term       id.Term    `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// HardState is what a voter must never forget.
type HardState struct {
	Term id.Term `json:"term"`
	Vote id.Node `json:"vote,omitempty"`
}

// Stored is what a voter finds on its disk when it starts.
type Stored struct {
	HardState HardState
	Snapshot  *Snapshot
	Entries   []Entry
}

// DiskWrite lists what must be synced to disk before anything else in the same
// Actions is carried out. Entries replace any stored entry of the same or a
// higher index; beside a Snapshot they are the whole log after it.
type DiskWrite struct {
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

// Empty tells whether there is nothing to write.
func (save DiskWrite) Empty() bool {
	return save.HardState == nil && len(save.Entries) == 0 && save.Snapshot == nil
}

// Actions are what the caller must do, in the order of the fields: write and
// sync Save, restore the state machine from Restore, apply Committed, send
// Messages. When Save fails, nothing else may be done, and the voter must stop.
type Actions struct {
	DiskWrite DiskWrite
	Restore   *Snapshot
	Committed []Entry
	Messages  []Message
}

// Add appends what must be done after these actions.
func (actions *Actions) Add(later Actions) {
	if later.DiskWrite.HardState != nil {
		actions.DiskWrite.HardState = later.DiskWrite.HardState
	}
	if later.DiskWrite.Snapshot != nil {
		actions.DiskWrite.Snapshot = later.DiskWrite.Snapshot
		actions.DiskWrite.Entries = nil
	}
	actions.DiskWrite.Entries = append(actions.DiskWrite.Entries, later.DiskWrite.Entries...)
	if later.Restore != nil {
		actions.Restore = later.Restore
		actions.Committed = nil
	}
	actions.Committed = append(actions.Committed, later.Committed...)
	actions.Messages = append(actions.Messages, later.Messages...)
}

// Event is one thing that happened to a voter: Receive, Propose, Reconfigure,
// Compact or HandOver.
type Event interface{ event() }

// Receive reports a message from another voter or learner.
type Receive struct{ Message Message }

// Propose asks the leader to append Data.
type Propose struct{ Data []byte }

// Reconfigure asks the leader to append a membership that differs from the
// present one by one voter at most.
type Reconfigure struct{ Membership Membership }

// Compact reports that Data holds the state machine as of Index.
type Compact struct {
	Index id.Index
	Data  []byte
}

// TransferLeadership asks the leader to pass leadership to another voter.
type TransferLeadership struct{}

func (Receive) event()            {}
func (Propose) event()            {}
func (Reconfigure) event()        {}
func (Compact) event()            {}
func (TransferLeadership) event() {}

// Timing holds the durations that all voters must agree on.
type Timing struct {
	// Heartbeat is how often a leader writes to its followers.
	Heartbeat time.Duration
	// Election is the shortest silence after which a follower stands; the
	// longest is twice that.
	Election time.Duration
	// DriftPerMille bounds how far two clocks' rates differ.
	DriftPerMille int
}

// DefaultTiming suits voters that are up to a few milliseconds apart.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 75 * time.Millisecond, Election: 450 * time.Millisecond, DriftPerMille: 10}
}
