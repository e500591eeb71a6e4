package quorum

import (
	"time"

	"carobline.dev/core/id"
)

// maxIndex is an exclusive upper bound on the log indexes that a message may hold.
const maxIndex = id.Index(1) << 62

// Kind is the type of a Message.
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
	// KindTimeoutNow requests a voter to start an election at once, for a leadership
	// transfer.
	KindTimeoutNow Kind = "timeout_now"
)

// Message is sent from one voter or learner to another. Fields that a kind
// doesn't use are zero.
type Message struct {
	Kind Kind    `json:"kind"`
	From id.Node `json:"from"`
	To   id.Node `json:"to"`
	Term id.Term `json:"term"`

	// LogIndex and LogTerm identify the sender's last entry in a pre-vote or
	// vote, and the entry before Entries in an append.
	LogIndex    id.Index `json:"log_index,omitempty"`
	LogTerm     id.Term  `json:"log_term,omitempty"`
	Entries     []Entry  `json:"entries,omitempty"`
	CommitIndex id.Index `json:"commit,omitempty"`

	// Granted is the result of a pre-vote, vote, append or snapshot. MatchIndex is the
	// highest index up to which the two logs are known to be equal. When an append
	// was refused, it is the index of the entry after which to try next.
	Granted    bool     `json:"granted,omitempty"`
	MatchIndex id.Index `json:"match,omitempty"`

	// Forced marks a vote request that the leader caused by a leadership transfer.
	// Voters answer it even while their leader is live.
	Forced bool `json:"forced,omitempty"`

	// SentNanos is when the leader sent the message, by its own clock, in nanoseconds
	// since its voter started. A reply returns it unchanged.
	SentNanos int64 `json:"sent,omitempty"`

	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// wellFormed reports whether a voter could have sent this message. Its entries must
// follow LogIndex without a gap and have no term above the message's. A KindSnapshot
// message must hold a snapshot; in any other message LogIndex and MatchIndex must be
// below maxIndex.
func (message *Message) wellFormed() bool {
	for position := range message.Entries {
		if message.Entries[position].Index != message.LogIndex+id.Index(position)+1 || message.Entries[position].Term > message.Term {
			return false
		}
	}
	if message.Kind == KindSnapshot {
		return message.Snapshot != nil && message.Snapshot.Index > 0
	}
	return message.LogIndex < maxIndex && message.MatchIndex < maxIndex
}

// Entry is one entry of the replicated log. An entry holds Data, a new
// Membership, or neither (the empty entry that opens a term).
type Entry struct {
	Index      id.Index    `json:"index"`
	Term       id.Term     `json:"term"`
	Data       []byte      `json:"data,omitempty"`
	Membership *Membership `json:"membership,omitempty"`
}

// Membership lists the voters, and the learners, which receive the log but don't
// vote.
type Membership struct {
	Voters   []id.Node `json:"voters"`
	Learners []id.Node `json:"learners,omitempty"`
}

// Snapshot replaces all entries up to Index, which has Term. Data is the state
// machine's state, Membership the membership in force there.
type Snapshot struct {
	Index      id.Index   `json:"index"`
	Term       id.Term    `json:"term"`
	Membership Membership `json:"membership"`
	Data       []byte     `json:"data"`
}

// HardState is the term and the vote in it. A voter must sync both to disk before
// it acts on them, and keep them over restarts.
type HardState struct {
	Term id.Term `json:"term"`
	Vote id.Node `json:"vote,omitempty"`
}

// Stored is what a voter reads from its disk at start.
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

// Empty reports whether there is nothing to write.
func (diskWrite DiskWrite) Empty() bool {
	return diskWrite.HardState == nil && len(diskWrite.Entries) == 0 && diskWrite.Snapshot == nil
}

// Actions are what the caller must do, in the order of the fields: write and
// sync DiskWrite, restore the state machine from Restore, apply Committed, send
// Messages. When the write or sync fails, the caller must do none of the rest, and
// must stop the voter.
type Actions struct {
	DiskWrite DiskWrite
	Restore   *Snapshot
	Committed []Entry
	Messages  []Message
}

// Add merges actions that must be carried out after these.
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

// Event is an input to a voter: Receive, Propose, Reconfigure, Compact or
// TransferLeadership.
type Event interface{ event() }

// Receive delivers a message from another voter or learner.
type Receive struct{ Message Message }

// Propose requests the leader to append Data.
type Propose struct{ Data []byte }

// Reconfigure requests the leader to append a membership that differs from the current
// one by at most one voter.
type Reconfigure struct{ Membership Membership }

// Compact requests the voter to drop its entries up to Index. Data is the state
// machine's state at Index.
type Compact struct {
	Index id.Index
	Data  []byte
}

// TransferLeadership requests the leader to pass leadership to another voter.
type TransferLeadership struct{}

func (Receive) event()            {}
func (Propose) event()            {}
func (Reconfigure) event()        {}
func (Compact) event()            {}
func (TransferLeadership) event() {}

// Timing holds the durations that all voters must agree on.
type Timing struct {
	// Heartbeat is the time between two heartbeats of a leader to a follower. A
	// follower that a snapshot was sent to gets none until it replies or the
	// snapshot is sent again.
	Heartbeat time.Duration
	// Election is the shortest time without contact to a leader after which a
	// follower starts an election. The actual time is random, up to twice that.
	Election time.Duration
	// DriftPerMille is the largest difference between the rates of two clocks, in
	// thousandths.
	DriftPerMille int
}

// DefaultTiming is for voters with a network latency of up to a few milliseconds.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 75 * time.Millisecond, Election: 450 * time.Millisecond, DriftPerMille: 10}
}
