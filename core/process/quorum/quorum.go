// Package quorum implements the consensus of one voter of a replicated log: it
// elects a leader, and decides what is appended and committed. It follows Raft
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm",
// 2014) with pre-vote, check-quorum, a leader lease, snapshots, learners,
// leadership transfer and membership changes of one voter at a time (Ongaro's
// dissertation, 2014, chapters 4, 6 and 9).
//
// The package starts no goroutine, reads no clock and opens no socket.
//
// # Usage
//
//	voter := quorum.New(now, quorum.Config{Self: "n1", Voters: voters}, stored)
//	actions := voter.Step(now, quorum.Receive{Message: message})
//	// write and sync actions.DiskWrite, then apply, then send
//	actions = voter.Tick(now)
package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobline.dev/core/id"
)

const (
	// maxAppendEntries bounds the entries of one message.
	maxAppendEntries = 256
	// maxAppendBytes bounds the data of one message, except that a message always
	// takes at least one entry.
	maxAppendBytes = 1 << 20
	// snapshotRetry is how long a leader waits for the reply to a snapshot before
	// it sends the snapshot again.
	snapshotRetry = 2 * time.Second
)

// Role is the current role of a voter.
type Role string

// The roles of a voter.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Config is fixed for the life of a process.
type Config struct {
	Self id.Node
	// Voters are the initial voters, used while the stored log and snapshot hold no
	// membership.
	Voters []id.Node
	Timing Timing
	Rand   *rand.Rand
}

// progress is a leader's replication state of one follower.
type progress struct {
	matchIndex id.Index
	nextIndex  id.Index
	// ackedSendTime is when the leader sent the latest message that the follower
	// has answered.
	ackedSendTime  time.Time
	snapshotSentAt time.Time
}

// Quorum is the consensus state machine of one voter. It isn't safe for concurrent
// use.
type Quorum struct {
	config    Config
	startedAt time.Time

	hardState  HardState
	snapshot   *Snapshot
	entries    []Entry
	membership Membership
	// membershipIndex is the log index of the current membership, or that of the
	// snapshot that holds it; it is zero for the configured voters.
	membershipIndex id.Index
	commitIndex     id.Index

	role   Role
	leader id.Node
	// lastLeaderContact is when this voter started, last got a message from a
	// leader, or became leader.
	lastLeaderContact time.Time
	electionDeadline  time.Time
	nextHeartbeat     time.Time
	voteGrantedBy     map[id.Node]bool
	progressByNode    map[id.Node]*progress
	// transferTarget is the voter that was requested to start an election at once.
	transferTarget   id.Node
	transferDeadline time.Time
	termStartIndex   id.Index

	actions Actions
}

// New starts a voter from what its disk holds. For one election timeout from now
// it neither starts an election nor answers a vote request, unless a leader
// transfers its leadership: before a restart it may have acknowledged a leader,
// whose lease must not be broken.
func New(now time.Time, config Config, stored Stored) *Quorum {
	quorum := &Quorum{
		config:            config,
		startedAt:         now,
		hardState:         stored.HardState,
		snapshot:          stored.Snapshot,
		entries:           slices.Clone(stored.Entries),
		membership:        Membership{Voters: slices.Clone(config.Voters)},
		role:              RoleFollower,
		lastLeaderContact: now,
	}
	if stored.Snapshot != nil {
		quorum.membership = stored.Snapshot.Membership
		quorum.membershipIndex = stored.Snapshot.Index
		quorum.commitIndex = stored.Snapshot.Index
	}
	quorum.reloadMembership()
	quorum.resetElectionDeadline(now)
	return quorum
}

// Step processes one event.
func (quorum *Quorum) Step(now time.Time, event Event) Actions {
	switch event := event.(type) {
	case Receive:
		quorum.receive(now, event.Message)
	case Propose:
		quorum.propose(now, Entry{Data: event.Data})
	case Reconfigure:
		quorum.reconfigure(now, event.Membership)
	case Compact:
		quorum.compact(event)
	case TransferLeadership:
		quorum.transferLeadership(now)
	}
	return quorum.takeActions()
}

// Tick processes the passage of time: heartbeats and election timeouts.
func (quorum *Quorum) Tick(now time.Time) Actions {
	switch {
	case quorum.role == RoleLeader:
		quorum.tickLeader(now)
	case !now.Before(quorum.electionDeadline) && quorum.isVoter(quorum.config.Self):
		quorum.startElection(now, RolePreCandidate, false)
	}
	return quorum.takeActions()
}

// Status is a summary of a voter's state. Leader is empty when unknown.
type Status struct {
	Role        Role       `json:"role"`
	Term        id.Term    `json:"term"`
	Leader      id.Node    `json:"leader"`
	CommitIndex id.Index   `json:"commit"`
	LastIndex   id.Index   `json:"last"`
	Membership  Membership `json:"membership"`
}

// Status returns the voter's current state.
func (quorum *Quorum) Status() Status {
	return Status{
		Role:        quorum.role,
		Term:        quorum.hardState.Term,
		Leader:      quorum.leader,
		CommitIndex: quorum.commitIndex,
		LastIndex:   quorum.lastIndex(),
		Membership:  quorum.membership,
	}
}

// LeaseUntil returns the time until which no other voter can have become leader. It
// is the zero time for a voter that doesn't lead, that is transferring leadership,
// or that hasn't yet committed an entry of its own term. The lease is one election
// timeout, less the clock drift, from the last contact with a majority.
func (quorum *Quorum) LeaseUntil(now time.Time) time.Time {
	if quorum.role != RoleLeader || quorum.transferTarget != "" || quorum.commitIndex < quorum.termStartIndex {
		return time.Time{}
	}
	base := quorum.lastQuorumContact(now)
	timing := quorum.config.Timing
	drift := timing.Election * time.Duration(timing.DriftPerMille) / 1000
	return base.Add(timing.Election - drift)
}

// LogBytes returns the size of the uncompacted entries' data, in bytes.
func (quorum *Quorum) LogBytes() int {
	total := 0
	for index := range quorum.entries {
		total += len(quorum.entries[index].Data)
	}
	return total
}

// takeActions returns the actions collected so far and clears them. Beside a
// snapshot the whole log after it has to be written.
func (quorum *Quorum) takeActions() Actions {
	actions := quorum.actions
	quorum.actions = Actions{}
	if actions.DiskWrite.Snapshot != nil {
		actions.DiskWrite.Entries = slices.Clone(quorum.entries)
	}
	return actions
}

func (quorum *Quorum) isVoter(node id.Node) bool {
	return slices.Contains(quorum.membership.Voters, node)
}

// resetElectionDeadline sets a random deadline between one and two election
// timeouts from now.
func (quorum *Quorum) resetElectionDeadline(now time.Time) {
	spread := quorum.config.Rand.Int64N(int64(quorum.config.Timing.Election))
	quorum.electionDeadline = now.Add(quorum.config.Timing.Election + time.Duration(spread))
}

func (quorum *Quorum) saveHardState() {
	hard := quorum.hardState
	quorum.actions.DiskWrite.HardState = &hard
}

func (quorum *Quorum) send(message Message) {
	message.From = quorum.config.Self
	if message.Term == 0 {
		message.Term = quorum.hardState.Term
	}
	quorum.actions.Messages = append(quorum.actions.Messages, message)
}

func (quorum *Quorum) becomeFollower(now time.Time, term id.Term, leader id.Node) {
	if term > quorum.hardState.Term {
		quorum.hardState = HardState{Term: term}
		quorum.saveHardState()
	}
	quorum.role = RoleFollower
	quorum.leader = leader
	quorum.progressByNode = nil
	quorum.voteGrantedBy = nil
	quorum.transferTarget = ""
	quorum.resetElectionDeadline(now)
}

// LogEntries returns the number of uncompacted entries.
func (quorum *Quorum) LogEntries() int { return len(quorum.entries) }

// Progress is a leader's view of one other member.
type Progress struct {
	// Behind is the number of entries that the member isn't known to hold.
	Behind id.Index
	// AckedSendTime is when the leader sent the latest message that the member has
	// answered.
	AckedSendTime time.Time
}

// Progress returns the replication progress of a member. It is false on a voter
// that doesn't lead and for a node that isn't another member.
func (quorum *Quorum) Progress(node id.Node) (Progress, bool) {
	follower, ok := quorum.progressByNode[node]
	if quorum.role != RoleLeader || !ok {
		return Progress{}, false
	}
	return Progress{Behind: quorum.lastIndex() - follower.matchIndex, AckedSendTime: follower.ackedSendTime}, true
}
