package quorum

import (
	"slices"
	"time"

	"carobline.dev/core/id"
)

// startElection requests a pre-vote or a vote of all voters. As a candidate it first
// raises the term and saves a vote for itself. Forced marks a vote that the
// leader itself caused by transferring leadership.
func (quorum *Quorum) startElection(now time.Time, role Role, forced bool) {
	quorum.role = role
	quorum.leader = ""
	quorum.resetElectionDeadline(now)
	quorum.voteGrantedBy = map[id.Node]bool{quorum.config.Self: true}
	kind, term := KindPreVote, quorum.hardState.Term+1
	if role == RoleCandidate {
		quorum.hardState = HardState{Term: term, Vote: quorum.config.Self}
		quorum.saveHardState()
		kind = KindVote
	}
	if quorum.tallyVotes(now) {
		return
	}
	for _, voter := range quorum.membership.Voters {
		if voter == quorum.config.Self {
			continue
		}
		quorum.send(Message{
			Kind: kind, To: voter, Term: term, Forced: forced,
			LogIndex: quorum.lastIndex(), LogTerm: quorum.lastTerm(),
		})
	}
}

// tallyVotes advances a pre-candidate to candidate, or a candidate to leader, once
// a majority has granted its request. It reports whether the role advanced.
func (quorum *Quorum) tallyVotes(now time.Time) bool {
	granted := 0
	for _, voter := range quorum.membership.Voters {
		if quorum.voteGrantedBy[voter] {
			granted++
		}
	}
	if granted <= len(quorum.membership.Voters)/2 {
		return false
	}
	if quorum.role == RolePreCandidate {
		quorum.startElection(now, RoleCandidate, false)
		return true
	}
	quorum.becomeLeader(now)
	return true
}

// becomeLeader starts a term as leader with an empty entry: entries of earlier
// terms count as committed only with one of the leader's own term.
func (quorum *Quorum) becomeLeader(now time.Time) {
	quorum.role = RoleLeader
	quorum.leader = quorum.config.Self
	quorum.lastLeaderContact = now
	quorum.transferTarget = ""
	quorum.voteGrantedBy = nil
	quorum.progressByNode = map[id.Node]*progress{}
	quorum.trackFollowers(now)
	quorum.appendEntry(now, Entry{})
	quorum.termStartIndex = quorum.lastIndex()
}

// trackFollowers adds replication progress for new members and drops that of
// former ones.
func (quorum *Quorum) trackFollowers(now time.Time) {
	members := slices.Concat(quorum.membership.Voters, quorum.membership.Learners)
	for _, member := range members {
		if member == quorum.config.Self || quorum.progressByNode[member] != nil {
			continue
		}
		quorum.progressByNode[member] = &progress{nextIndex: quorum.lastIndex() + 1, ackedSendTime: now.Add(-quorum.config.Timing.Election)}
	}
	for node := range quorum.progressByNode {
		if !slices.Contains(members, node) {
			delete(quorum.progressByNode, node)
		}
	}
}

func (quorum *Quorum) receive(now time.Time, message Message) {
	if message.To != quorum.config.Self || !message.wellFormed() {
		return
	}
	switch message.Kind {
	case KindPreVote, KindVote:
		quorum.receiveVoteRequest(now, message)
		return
	case KindPreVoteReply:
		quorum.receivePreVoteReply(now, message)
		return
	case KindVoteReply, KindAppend, KindAppendReply, KindSnapshot, KindSnapshotReply, KindTimeoutNow:
	default:
		return
	}
	if message.Term < quorum.hardState.Term {
		quorum.rejectStaleTerm(message)
		return
	}
	if message.Term > quorum.hardState.Term {
		quorum.becomeFollower(now, message.Term, "")
	}
	switch message.Kind {
	case KindVoteReply:
		quorum.receiveVoteReply(now, message)
	case KindAppend:
		quorum.receiveAppend(now, message)
	case KindAppendReply, KindSnapshotReply:
		quorum.receiveAppendReply(now, message)
	case KindSnapshot:
		quorum.receiveSnapshot(now, message)
	case KindTimeoutNow:
		if quorum.isVoter(quorum.config.Self) && quorum.role != RoleLeader {
			quorum.startElection(now, RoleCandidate, true)
		}
	}
}

// rejectStaleTerm answers a deposed leader, so that it receives the newer term from
// the reply and steps down.
func (quorum *Quorum) rejectStaleTerm(message Message) {
	switch message.Kind {
	case KindAppend:
		quorum.send(Message{Kind: KindAppendReply, To: message.From})
	case KindSnapshot:
		quorum.send(Message{Kind: KindSnapshotReply, To: message.From})
	}
}

// leaderIsLive reports whether this voter must still ignore vote requests: a
// leader had contact with a majority, or a follower with its leader, within the
// last election timeout.
func (quorum *Quorum) leaderIsLive(now time.Time) bool {
	if quorum.role == RoleLeader {
		return now.Before(quorum.lastQuorumContact(now).Add(quorum.config.Timing.Election))
	}
	return now.Before(quorum.lastLeaderContact.Add(quorum.config.Timing.Election))
}

func (quorum *Quorum) receiveVoteRequest(now time.Time, message Message) {
	// A voter that merely lost its connection to a live leader must neither
	// depose it nor break its lease.
	if !message.Forced && quorum.leaderIsLive(now) {
		return
	}
	upToDate := message.LogTerm > quorum.lastTerm() ||
		(message.LogTerm == quorum.lastTerm() && message.LogIndex >= quorum.lastIndex())
	if message.Kind == KindPreVote {
		granted := upToDate && message.Term > quorum.hardState.Term
		term := message.Term
		if !granted {
			term = quorum.hardState.Term
		}
		quorum.send(Message{Kind: KindPreVoteReply, To: message.From, Term: term, Granted: granted})
		return
	}
	if message.Term > quorum.hardState.Term {
		quorum.becomeFollower(now, message.Term, "")
	}
	voteAvailable := quorum.hardState.Vote == "" || quorum.hardState.Vote == message.From
	granted := message.Term == quorum.hardState.Term && voteAvailable && upToDate && quorum.role == RoleFollower
	if granted {
		quorum.hardState.Vote = message.From
		quorum.saveHardState()
		quorum.resetElectionDeadline(now)
	}
	quorum.send(Message{Kind: KindVoteReply, To: message.From, Granted: granted})
}

func (quorum *Quorum) receivePreVoteReply(now time.Time, message Message) {
	if message.Granted {
		if quorum.role == RolePreCandidate && message.Term == quorum.hardState.Term+1 {
			quorum.voteGrantedBy[message.From] = true
			quorum.tallyVotes(now)
		}
		return
	}
	if message.Term > quorum.hardState.Term {
		quorum.becomeFollower(now, message.Term, "")
	}
}

func (quorum *Quorum) receiveVoteReply(now time.Time, message Message) {
	if quorum.role != RoleCandidate || !message.Granted {
		return
	}
	quorum.voteGrantedBy[message.From] = true
	quorum.tallyVotes(now)
}

// tickLeader sends heartbeats. The leader steps down when a leadership transfer
// timed out, when a committed membership no longer holds it as a voter, or when
// no majority has acknowledged it for an election timeout.
func (quorum *Quorum) tickLeader(now time.Time) {
	if quorum.transferTarget != "" && !now.Before(quorum.transferDeadline) {
		// The target may still receive the request and start an election, so the
		// lease of this term must not be used again.
		quorum.becomeFollower(now, quorum.hardState.Term, "")
		return
	}
	if !quorum.isVoter(quorum.config.Self) && quorum.membershipIndex <= quorum.commitIndex {
		quorum.becomeFollower(now, quorum.hardState.Term, "")
		return
	}
	contactAt := quorum.lastQuorumContact(now)
	if quorum.lastLeaderContact.After(contactAt) {
		contactAt = quorum.lastLeaderContact // the election itself counts as contact
	}
	if !now.Before(contactAt.Add(quorum.config.Timing.Election)) {
		quorum.becomeFollower(now, quorum.hardState.Term, "")
		return
	}
	if !now.Before(quorum.nextHeartbeat) {
		quorum.broadcast(now)
	}
}

// lastQuorumContact returns the latest time such that a majority, this voter
// included, has acknowledged a message that the leader sent then or later.
func (quorum *Quorum) lastQuorumContact(now time.Time) time.Time {
	contactTimes := make([]time.Time, 0, len(quorum.membership.Voters))
	for _, voter := range quorum.membership.Voters {
		switch follower := quorum.progressByNode[voter]; {
		case voter == quorum.config.Self:
			contactTimes = append(contactTimes, now)
		case follower != nil:
			contactTimes = append(contactTimes, follower.ackedSendTime)
		default:
			contactTimes = append(contactTimes, time.Time{})
		}
	}
	if len(contactTimes) == 0 {
		return time.Time{}
	}
	slices.SortFunc(contactTimes, func(a, b time.Time) int { return b.Compare(a) })
	return contactTimes[len(contactTimes)/2]
}

// transferLeadership requests a reachable voter that holds the whole log to start an
// election at once. When there is none it replicates, and the caller has to ask
// again.
func (quorum *Quorum) transferLeadership(now time.Time) {
	if quorum.role != RoleLeader || quorum.transferTarget != "" {
		return
	}
	var target id.Node
	for _, voter := range quorum.membership.Voters {
		follower := quorum.progressByNode[voter]
		if follower == nil || now.Sub(follower.ackedSendTime) >= quorum.config.Timing.Election {
			continue
		}
		if follower.matchIndex == quorum.lastIndex() {
			target = voter
			break
		}
	}
	if target == "" {
		quorum.broadcast(now)
		return
	}
	// The lease ends here: LeaseUntil is zero while transferTarget is set.
	quorum.transferTarget = target
	quorum.transferDeadline = now.Add(quorum.config.Timing.Election)
	quorum.send(Message{Kind: KindTimeoutNow, To: target})
}
