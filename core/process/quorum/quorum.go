// Package quorum decides for one voter of a replicated log: who leads, what is
// appended and what is committed. It follows Raft (Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014) with pre-vote,
// check-quorum, a leader lease, snapshots, learners, hand-over of leadership
// and membership changes of one voter at a time (Ongaro's dissertation, 2014,
// chapters 4, 6 and 9).
//
// The package starts no goroutine, reads no clock and opens no socket.
//
// # Usage
//
//	voter := quorum.New(now, quorum.Config{Self: "n1", Voters: voters}, stored)
//	actions := voter.Step(now, quorum.Receive{Message: message})
//	// write and sync actions.Save, then apply, then send
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
	// maxAppendBytes bounds the data of one message; one entry always fits.
	maxAppendBytes = 1 << 20
	// snapshotRetry is how long a leader waits for the answer to a snapshot.
	snapshotRetry = 2 * time.Second
)

// Role is what a voter is at present.
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
	// Voters is the membership of a log that has none stored.
	Voters []id.Node
	Timing Timing
	Rand   *rand.Rand
}

// progress is what a leader knows of one follower.
type progress struct {
	match        id.Index
	next         id.Index
	acked        time.Time
	snapshotSent time.Time
}

// Quorum is the decider of one voter. It isn't safe for concurrent use.
type Quorum struct {
	config Config
	epoch  time.Time

	hard       HardState
	snapshot   *Snapshot
	entries    []Entry
	membership Membership
	// membershipIndex is where the present membership stands in the log.
	membershipIndex id.Index
	commit          id.Index

	role      Role
	leader    id.Node
	heard     time.Time
	deadline  time.Time
	heartbeat time.Time
	votes     map[id.Node]bool
	followers map[id.Node]*progress
	// handingTo names the voter that was told to stand at once.
	handingTo    id.Node
	handingUntil time.Time
	termStart    id.Index

	actions Actions
}

// New starts a voter from what its disk holds. It stands for election no
// sooner than one election timeout from now, so that a promise made before a
// restart isn't broken.
func New(now time.Time, config Config, stored Stored) *Quorum {
	quorum := &Quorum{
		config:     config,
		epoch:      now,
		hard:       stored.HardState,
		snapshot:   stored.Snapshot,
		entries:    slices.Clone(stored.Entries),
		membership: Membership{Voters: slices.Clone(config.Voters)},
		role:       RoleFollower,
		heard:      now,
	}
	if stored.Snapshot != nil {
		quorum.membership = stored.Snapshot.Membership
		quorum.membershipIndex = stored.Snapshot.Index
		quorum.commit = stored.Snapshot.Index
	}
	quorum.findMembership()
	quorum.resetDeadline(now)
	return quorum
}

// Step takes one event.
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
		quorum.handOver(now)
	}
	return quorum.take()
}

// Tick takes the passing of time.
func (quorum *Quorum) Tick(now time.Time) Actions {
	switch {
	case quorum.role == RoleLeader:
		quorum.tickLeader(now)
	case !now.Before(quorum.deadline) && quorum.isVoter(quorum.config.Self):
		quorum.stand(now, RolePreCandidate, false)
	}
	return quorum.take()
}

// Status is a copy of what others may want to know of a voter.
type Status struct {
	Role       Role       `json:"role"`
	Term       id.Term    `json:"term"`
	Leader     id.Node    `json:"leader"`
	Commit     id.Index   `json:"commit"`
	LastIndex  id.Index   `json:"last"`
	Membership Membership `json:"membership"`
}

// Status tells what the voter is at present.
func (quorum *Quorum) Status() Status {
	return Status{
		Role:       quorum.role,
		Term:       quorum.hard.Term,
		Leader:     quorum.leader,
		Commit:     quorum.commit,
		LastIndex:  quorum.lastIndex(),
		Membership: quorum.membership,
	}
}

// LeaseUntil tells until when no other voter can have become leader; it is the
// zero time for a voter that doesn't lead, that hands over, or that hasn't yet
// committed an entry of its own term.
func (quorum *Quorum) LeaseUntil(now time.Time) time.Time {
	if quorum.role != RoleLeader || quorum.handingTo != "" || quorum.commit < quorum.termStart {
		return time.Time{}
	}
	base := quorum.quorumAcked(now)
	timing := quorum.config.Timing
	drift := timing.Election * time.Duration(timing.DriftPerMille) / 1000
	return base.Add(timing.Election - drift)
}

// LogBytes tells how many bytes of data the uncompacted entries hold.
func (quorum *Quorum) LogBytes() int {
	total := 0
	for index := range quorum.entries {
		total += len(quorum.entries[index].Data)
	}
	return total
}

func (quorum *Quorum) take() Actions {
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

func (quorum *Quorum) resetDeadline(now time.Time) {
	spread := quorum.config.Rand.Int64N(int64(quorum.config.Timing.Election))
	quorum.deadline = now.Add(quorum.config.Timing.Election + time.Duration(spread))
}

func (quorum *Quorum) saveHard() {
	hard := quorum.hard
	quorum.actions.DiskWrite.HardState = &hard
}

func (quorum *Quorum) send(message Message) {
	message.From = quorum.config.Self
	if message.Term == 0 {
		message.Term = quorum.hard.Term
	}
	quorum.actions.Messages = append(quorum.actions.Messages, message)
}

func (quorum *Quorum) follow(now time.Time, term id.Term, leader id.Node) {
	if term > quorum.hard.Term {
		quorum.hard = HardState{Term: term}
		quorum.saveHard()
	}
	quorum.role = RoleFollower
	quorum.leader = leader
	quorum.followers = nil
	quorum.votes = nil
	quorum.handingTo = ""
	quorum.resetDeadline(now)
}

// LogEntries counts the uncompacted entries.
func (quorum *Quorum) LogEntries() int { return len(quorum.entries) }

// Progress is what a leader knows of one other member.
type Progress struct {
	// Behind counts the entries that it isn't known to hold.
	Behind id.Index
	// Acked is when the last message was sent that it has answered.
	Acked time.Time
}

// Progress tells how far a member has come; it is false on a voter that
// doesn't lead and for a node that isn't a member.
func (quorum *Quorum) Progress(node id.Node) (Progress, bool) {
	follower, ok := quorum.followers[node]
	if quorum.role != RoleLeader || !ok {
		return Progress{}, false
	}
	return Progress{Behind: quorum.lastIndex() - follower.match, Acked: follower.acked}, true
}
