package quorum

import (
	"slices"
	"time"

	"carobline.dev/core/id"
)

// stand starts a round of pre-votes or votes.
func (quorum *Quorum) stand(now time.Time, role Role, forced bool) {
	quorum.role = role
	quorum.leader = ""
	quorum.resetDeadline(now)
	quorum.votes = map[id.Node]bool{quorum.config.Self: true}
	kind, term := KindPreVote, quorum.hard.Term+1
	if role == RoleCandidate {
		quorum.hard = HardState{Term: term, Vote: quorum.config.Self}
		quorum.saveHard()
		kind = KindVote
	}
	if quorum.countVotes(now) {
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

// countVotes moves on once a majority has granted; it tells whether it did.
func (quorum *Quorum) countVotes(now time.Time) bool {
	granted := 0
	for _, voter := range quorum.membership.Voters {
		if quorum.votes[voter] {
			granted++
		}
	}
	if granted <= len(quorum.membership.Voters)/2 {
		return false
	}
	if quorum.role == RolePreCandidate {
		quorum.stand(now, RoleCandidate, false)
		return true
	}
	quorum.lead(now)
	return true
}

func (quorum *Quorum) lead(now time.Time) {
	quorum.role = RoleLeader
	quorum.leader = quorum.config.Self
	quorum.heard = now
	quorum.handingTo = ""
	quorum.votes = nil
	quorum.followers = map[id.Node]*progress{}
	quorum.trackFollowers(now)
	quorum.appendEntry(now, Entry{})
	quorum.termStart = quorum.lastIndex()
}

// trackFollowers makes the followers match the membership.
func (quorum *Quorum) trackFollowers(now time.Time) {
	members := slices.Concat(quorum.membership.Voters, quorum.membership.Learners)
	for _, member := range members {
		if member == quorum.config.Self || quorum.followers[member] != nil {
			continue
		}
		quorum.followers[member] = &progress{next: quorum.lastIndex() + 1, acked: now.Add(-quorum.config.Timing.Election)}
	}
	for node := range quorum.followers {
		if !slices.Contains(members, node) {
			delete(quorum.followers, node)
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
	if message.Term < quorum.hard.Term {
		quorum.refuseStale(message)
		return
	}
	if message.Term > quorum.hard.Term {
		quorum.follow(now, message.Term, "")
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
			quorum.stand(now, RoleCandidate, true)
		}
	}
}

// refuseStale tells a deposed leader of the newer term.
func (quorum *Quorum) refuseStale(message Message) {
	switch message.Kind {
	case KindAppend:
		quorum.send(Message{Kind: KindAppendReply, To: message.From})
	case KindSnapshot:
		quorum.send(Message{Kind: KindSnapshotReply, To: message.From})
	}
}

// leaderIsLive tells whether this voter still owes silence to a leader it heard.
func (quorum *Quorum) leaderIsLive(now time.Time) bool {
	if quorum.role == RoleLeader {
		return now.Before(quorum.quorumAcked(now).Add(quorum.config.Timing.Election))
	}
	return now.Before(quorum.heard.Add(quorum.config.Timing.Election))
}

func (quorum *Quorum) receiveVoteRequest(now time.Time, message Message) {
	// A live leader isn't deposed, and its lease isn't broken, by a voter that
	// has merely lost sight of it.
	if !message.Forced && quorum.leaderIsLive(now) {
		return
	}
	upToDate := message.LogTerm > quorum.lastTerm() ||
		(message.LogTerm == quorum.lastTerm() && message.LogIndex >= quorum.lastIndex())
	if message.Kind == KindPreVote {
		granted := upToDate && message.Term > quorum.hard.Term
		term := message.Term
		if !granted {
			term = quorum.hard.Term
		}
		quorum.send(Message{Kind: KindPreVoteReply, To: message.From, Term: term, Granted: granted})
		return
	}
	if message.Term > quorum.hard.Term {
		quorum.follow(now, message.Term, "")
	}
	free := quorum.hard.Vote == "" || quorum.hard.Vote == message.From
	granted := message.Term == quorum.hard.Term && free && upToDate && quorum.role == RoleFollower
	if granted {
		quorum.hard.Vote = message.From
		quorum.saveHard()
		quorum.resetDeadline(now)
	}
	quorum.send(Message{Kind: KindVoteReply, To: message.From, Granted: granted})
}

func (quorum *Quorum) receivePreVoteReply(now time.Time, message Message) {
	if message.Granted {
		if quorum.role == RolePreCandidate && message.Term == quorum.hard.Term+1 {
			quorum.votes[message.From] = true
			quorum.countVotes(now)
		}
		return
	}
	if message.Term > quorum.hard.Term {
		quorum.follow(now, message.Term, "")
	}
}

func (quorum *Quorum) receiveVoteReply(now time.Time, message Message) {
	if quorum.role != RoleCandidate || !message.Granted {
		return
	}
	quorum.votes[message.From] = true
	quorum.countVotes(now)
}

// tickLeader sends heartbeats, and steps down when a majority has been silent
// for an election timeout.
func (quorum *Quorum) tickLeader(now time.Time) {
	if quorum.handingTo != "" && !now.Before(quorum.handingUntil) {
		// The order to stand may still arrive, so this term's lease never returns.
		quorum.follow(now, quorum.hard.Term, "")
		return
	}
	if !quorum.isVoter(quorum.config.Self) && quorum.membershipIndex <= quorum.commit {
		quorum.follow(now, quorum.hard.Term, "")
		return
	}
	silentSince := quorum.quorumAcked(now)
	if quorum.heard.After(silentSince) {
		silentSince = quorum.heard // the start of the reign counts as contact
	}
	if !now.Before(silentSince.Add(quorum.config.Timing.Election)) {
		quorum.follow(now, quorum.hard.Term, "")
		return
	}
	if !now.Before(quorum.heartbeat) {
		quorum.broadcast(now)
	}
}

// quorumAcked is the latest time such that a majority answered a message sent
// at that time or later.
func (quorum *Quorum) quorumAcked(now time.Time) time.Time {
	times := make([]time.Time, 0, len(quorum.membership.Voters))
	for _, voter := range quorum.membership.Voters {
		switch follower := quorum.followers[voter]; {
		case voter == quorum.config.Self:
			times = append(times, now)
		case follower != nil:
			times = append(times, follower.acked)
		default:
			times = append(times, time.Time{})
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

// handOver tells the follower with the longest log to stand at once.
func (quorum *Quorum) handOver(now time.Time) {
	if quorum.role != RoleLeader || quorum.handingTo != "" {
		return
	}
	var best id.Node
	for _, voter := range quorum.membership.Voters {
		follower := quorum.followers[voter]
		if follower == nil || now.Sub(follower.acked) >= quorum.config.Timing.Election {
			continue
		}
		if follower.match == quorum.lastIndex() {
			best = voter
			break
		}
	}
	if best == "" {
		quorum.broadcast(now)
		return
	}
	// The lease ends here: LeaseUntil is zero while handingTo is set.
	quorum.handingTo = best
	quorum.handingUntil = now.Add(quorum.config.Timing.Election)
	quorum.send(Message{Kind: KindTimeoutNow, To: best})
}
