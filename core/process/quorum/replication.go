package quorum

import (
	"slices"
	"time"

	"carobline.dev/core/id"
)

func (quorum *Quorum) firstIndex() id.Index {
	if quorum.snapshot == nil {
		return 1
	}
	return quorum.snapshot.Index + 1
}

func (quorum *Quorum) lastIndex() id.Index {
	return quorum.firstIndex() + id.Index(len(quorum.entries)) - 1
}

func (quorum *Quorum) lastTerm() id.Term {
	return quorum.termAt(quorum.lastIndex())
}

// termAt is the term of an entry in the log or at its snapshot, else zero.
func (quorum *Quorum) termAt(index id.Index) id.Term {
	if quorum.snapshot != nil && index == quorum.snapshot.Index {
		return quorum.snapshot.Term
	}
	first := quorum.firstIndex()
	if index < first || index > quorum.lastIndex() {
		return 0
	}
	return quorum.entries[index-first].Term
}

// slice copies the entries from an index on, up to a message's size.
func (quorum *Quorum) slice(from id.Index) []Entry {
	first := quorum.firstIndex()
	if from > quorum.lastIndex() {
		return nil
	}
	tail := quorum.entries[from-first:]
	if len(tail) > maxAppendEntries {
		tail = tail[:maxAppendEntries]
	}
	bytes := 0
	for count := range tail {
		bytes += len(tail[count].Data)
		if bytes > maxAppendBytes && count > 0 {
			tail = tail[:count]
			break
		}
	}
	return slices.Clone(tail)
}

func (quorum *Quorum) propose(now time.Time, entry Entry) {
	if quorum.role != RoleLeader || quorum.handingTo != "" {
		return
	}
	quorum.appendEntry(now, entry)
}

func (quorum *Quorum) appendEntry(now time.Time, entry Entry) {
	entry.Index = quorum.lastIndex() + 1
	entry.Term = quorum.hard.Term
	quorum.entries = append(quorum.entries, entry)
	quorum.actions.DiskWrite.Entries = append(quorum.actions.DiskWrite.Entries, entry)
	quorum.findMembership()
	if entry.Membership != nil {
		quorum.trackFollowers(now)
	}
	quorum.advanceCommit()
	quorum.broadcast(now)
}

// reconfigure appends a membership when the last one is committed and the new
// one changes one voter at most.
func (quorum *Quorum) reconfigure(now time.Time, membership Membership) {
	if quorum.role != RoleLeader || quorum.membershipIndex > quorum.commit || quorum.commit < quorum.termStart {
		return
	}
	if voterChanges(quorum.membership.Voters, membership.Voters) > 1 || len(membership.Voters) == 0 {
		return
	}
	quorum.propose(now, Entry{Membership: &membership})
}

func voterChanges(old, fresh []id.Node) int {
	changes := 0
	for _, voter := range old {
		if !slices.Contains(fresh, voter) {
			changes++
		}
	}
	for _, voter := range fresh {
		if !slices.Contains(old, voter) {
			changes++
		}
	}
	return changes
}

// findMembership takes the latest membership of the log into force.
func (quorum *Quorum) findMembership() {
	for index := len(quorum.entries) - 1; index >= 0; index-- {
		if membership := quorum.entries[index].Membership; membership != nil {
			quorum.membership = *membership
			quorum.membershipIndex = quorum.entries[index].Index
			return
		}
	}
	if quorum.snapshot != nil {
		quorum.membership = quorum.snapshot.Membership
		quorum.membershipIndex = quorum.snapshot.Index
		return
	}
	quorum.membership = Membership{Voters: slices.Clone(quorum.config.Voters)}
	quorum.membershipIndex = 0
}

func (quorum *Quorum) broadcast(now time.Time) {
	quorum.heartbeat = now.Add(quorum.config.Timing.Heartbeat)
	members := slices.Concat(quorum.membership.Voters, quorum.membership.Learners)
	for _, node := range members {
		if follower := quorum.followers[node]; follower != nil {
			quorum.sendAppend(now, node, follower)
		}
	}
}

func (quorum *Quorum) sendAppend(now time.Time, node id.Node, follower *progress) {
	sent := int64(now.Sub(quorum.epoch))
	if follower.next < quorum.firstIndex() {
		if now.Sub(follower.snapshotSent) < snapshotRetry && !follower.snapshotSent.IsZero() {
			return
		}
		follower.snapshotSent = now
		quorum.send(Message{Kind: KindSnapshot, To: node, Snapshot: quorum.snapshot, Commit: quorum.commit, Sent: sent})
		return
	}
	entries := quorum.slice(follower.next)
	quorum.send(Message{
		Kind: KindAppend, To: node, Entries: entries, Commit: quorum.commit, Sent: sent,
		LogIndex: follower.next - 1, LogTerm: quorum.termAt(follower.next - 1),
	})
	follower.next += id.Index(len(entries))
}

func (quorum *Quorum) hearLeader(now time.Time, leader id.Node) {
	if quorum.role != RoleFollower {
		quorum.follow(now, quorum.hard.Term, leader)
	}
	quorum.leader = leader
	quorum.heard = now
	quorum.resetDeadline(now)
}

func (quorum *Quorum) receiveAppend(now time.Time, message Message) {
	quorum.hearLeader(now, message.From)
	reply := Message{Kind: KindAppendReply, To: message.From, Sent: message.Sent}
	before := message.LogIndex
	if before < quorum.commit {
		// All up to the commit index is equal by definition; skip it.
		skip := min(int(quorum.commit-before), len(message.Entries))
		message.Entries = message.Entries[skip:]
		before += id.Index(skip)
		if before < quorum.commit {
			reply.Granted, reply.Match = true, before
			quorum.send(reply)
			return
		}
		message.LogTerm = quorum.termAt(before)
	}
	if before > quorum.lastIndex() || quorum.termAt(before) != message.LogTerm {
		reply.Match = min(before-1, quorum.lastIndex())
		quorum.send(reply)
		return
	}
	quorum.storeEntries(message.Entries)
	reply.Granted = true
	reply.Match = before + id.Index(len(message.Entries))
	quorum.commitTo(min(message.Commit, reply.Match))
	quorum.send(reply)
}

// storeEntries appends what is new, cutting off what contradicts it.
func (quorum *Quorum) storeEntries(entries []Entry) {
	for position, entry := range entries {
		if entry.Index <= quorum.lastIndex() && quorum.termAt(entry.Index) == entry.Term {
			continue
		}
		quorum.entries = quorum.entries[:entry.Index-quorum.firstIndex()]
		fresh := entries[position:]
		quorum.entries = append(quorum.entries, fresh...)
		quorum.actions.DiskWrite.Entries = append(quorum.actions.DiskWrite.Entries, fresh...)
		quorum.findMembership()
		return
	}
}

func (quorum *Quorum) receiveSnapshot(now time.Time, message Message) {
	quorum.hearLeader(now, message.From)
	reply := Message{Kind: KindSnapshotReply, To: message.From, Sent: message.Sent, Granted: true}
	snapshot := message.Snapshot
	if snapshot == nil || snapshot.Index <= quorum.commit {
		reply.Match = quorum.commit
		quorum.send(reply)
		return
	}
	if quorum.termAt(snapshot.Index) == snapshot.Term {
		quorum.entries = slices.Clone(quorum.entries[snapshot.Index-quorum.firstIndex()+1:])
	} else {
		quorum.entries = nil
	}
	quorum.snapshot = snapshot
	quorum.commit = snapshot.Index
	quorum.findMembership()
	quorum.actions.DiskWrite.Snapshot = snapshot
	quorum.actions.Restore = snapshot
	quorum.actions.Committed = nil
	reply.Match = snapshot.Index
	quorum.send(reply)
}

func (quorum *Quorum) receiveAppendReply(now time.Time, message Message) {
	follower := quorum.followers[message.From]
	if quorum.role != RoleLeader || follower == nil {
		return
	}
	if sent := quorum.epoch.Add(time.Duration(message.Sent)); sent.After(follower.acked) && !sent.After(now) {
		follower.acked = sent
	}
	if !message.Granted {
		follower.next = max(min(message.Match+1, follower.next-1), follower.match+1)
		quorum.sendAppend(now, message.From, follower)
		return
	}
	follower.snapshotSent = time.Time{}
	follower.match = max(follower.match, min(message.Match, quorum.lastIndex()))
	follower.next = max(follower.next, follower.match+1)
	if quorum.advanceCommit() {
		quorum.broadcast(now)
		return
	}
	if follower.next <= quorum.lastIndex() {
		quorum.sendAppend(now, message.From, follower)
	}
}

// advanceCommit commits what a majority holds; it tells whether anything was.
func (quorum *Quorum) advanceCommit() bool {
	matches := make([]id.Index, 0, len(quorum.membership.Voters))
	for _, voter := range quorum.membership.Voters {
		switch follower := quorum.followers[voter]; {
		case voter == quorum.config.Self:
			matches = append(matches, quorum.lastIndex())
		case follower != nil:
			matches = append(matches, follower.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	// Only an entry of the leader's own term commits those before it.
	if index <= quorum.commit || quorum.termAt(index) != quorum.hard.Term {
		return false
	}
	quorum.commitTo(index)
	return true
}

func (quorum *Quorum) commitTo(index id.Index) {
	if index <= quorum.commit {
		return
	}
	first := quorum.firstIndex()
	quorum.actions.Committed = append(quorum.actions.Committed, quorum.entries[quorum.commit+1-first:index+1-first]...)
	quorum.commit = index
}

// compact drops the entries that a snapshot of the state machine covers.
func (quorum *Quorum) compact(event Compact) {
	if event.Index > quorum.commit || event.Index < quorum.firstIndex() {
		return
	}
	membership := Membership{Voters: quorum.config.Voters}
	if quorum.snapshot != nil {
		membership = quorum.snapshot.Membership
	}
	first := quorum.firstIndex()
	for _, entry := range quorum.entries[:event.Index-first+1] {
		if entry.Membership != nil {
			membership = *entry.Membership
		}
	}
	snapshot := &Snapshot{Index: event.Index, Term: quorum.termAt(event.Index), Membership: membership, Data: event.Data}
	quorum.entries = slices.Clone(quorum.entries[event.Index-first+1:])
	quorum.snapshot = snapshot
	quorum.actions.DiskWrite.Snapshot = snapshot
}
