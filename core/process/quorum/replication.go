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

// termAt returns the term of the entry at an index, or of the snapshot that ends
// there. It is zero when neither is known.
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

// entriesFrom copies the entries from an index on, up to the limits of one message.
func (quorum *Quorum) entriesFrom(from id.Index) []Entry {
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
	if quorum.role != RoleLeader || quorum.transferTarget != "" {
		return
	}
	quorum.appendEntry(now, entry)
}

func (quorum *Quorum) appendEntry(now time.Time, entry Entry) {
	entry.Index = quorum.lastIndex() + 1
	entry.Term = quorum.hardState.Term
	quorum.entries = append(quorum.entries, entry)
	quorum.actions.DiskWrite.Entries = append(quorum.actions.DiskWrite.Entries, entry)
	quorum.reloadMembership()
	if entry.Membership != nil {
		quorum.trackFollowers(now)
	}
	quorum.advanceCommit()
	quorum.broadcast(now)
}

// reconfigure appends a membership. It does nothing unless the previous one and an
// entry of the leader's own term are committed, and the new one differs by at most
// one voter and isn't empty.
func (quorum *Quorum) reconfigure(now time.Time, membership Membership) {
	if quorum.role != RoleLeader || quorum.membershipIndex > quorum.commitIndex || quorum.commitIndex < quorum.termStartIndex {
		return
	}
	if countVoterChanges(quorum.membership.Voters, membership.Voters) > 1 || len(membership.Voters) == 0 {
		return
	}
	quorum.propose(now, Entry{Membership: &membership})
}

// countVoterChanges counts the voters that are in only one of two sets.
func countVoterChanges(old, updated []id.Node) int {
	changes := 0
	for _, voter := range old {
		if !slices.Contains(updated, voter) {
			changes++
		}
	}
	for _, voter := range updated {
		if !slices.Contains(old, voter) {
			changes++
		}
	}
	return changes
}

// reloadMembership puts the latest membership of the log in force, whether it is
// committed or not.
func (quorum *Quorum) reloadMembership() {
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
	quorum.nextHeartbeat = now.Add(quorum.config.Timing.Heartbeat)
	members := slices.Concat(quorum.membership.Voters, quorum.membership.Learners)
	for _, node := range members {
		if follower := quorum.progressByNode[node]; follower != nil {
			quorum.sendAppend(now, node, follower)
		}
	}
}

func (quorum *Quorum) sendAppend(now time.Time, node id.Node, follower *progress) {
	sent := int64(now.Sub(quorum.startedAt))
	if follower.nextIndex < quorum.firstIndex() {
		if now.Sub(follower.snapshotSentAt) < snapshotRetry && !follower.snapshotSentAt.IsZero() {
			return
		}
		follower.snapshotSentAt = now
		quorum.send(Message{Kind: KindSnapshot, To: node, Snapshot: quorum.snapshot, CommitIndex: quorum.commitIndex, SentNanos: sent})
		return
	}
	entries := quorum.entriesFrom(follower.nextIndex)
	quorum.send(Message{
		Kind: KindAppend, To: node, Entries: entries, CommitIndex: quorum.commitIndex, SentNanos: sent,
		LogIndex: follower.nextIndex - 1, LogTerm: quorum.termAt(follower.nextIndex - 1),
	})
	follower.nextIndex += id.Index(len(entries))
}

// recordLeaderContact follows the leader of the current term and puts off the next
// election.
func (quorum *Quorum) recordLeaderContact(now time.Time, leader id.Node) {
	if quorum.role != RoleFollower {
		quorum.becomeFollower(now, quorum.hardState.Term, leader)
	}
	quorum.leader = leader
	quorum.lastLeaderContact = now
	quorum.resetElectionDeadline(now)
}

func (quorum *Quorum) receiveAppend(now time.Time, message Message) {
	quorum.recordLeaderContact(now, message.From)
	reply := Message{Kind: KindAppendReply, To: message.From, SentNanos: message.SentNanos}
	prevIndex := message.LogIndex
	if prevIndex < quorum.commitIndex {
		// Committed entries are equal in all logs, so they are skipped.
		skip := min(int(quorum.commitIndex-prevIndex), len(message.Entries))
		message.Entries = message.Entries[skip:]
		prevIndex += id.Index(skip)
		if prevIndex < quorum.commitIndex {
			reply.Granted, reply.MatchIndex = true, prevIndex
			quorum.send(reply)
			return
		}
		message.LogTerm = quorum.termAt(prevIndex)
	}
	if prevIndex > quorum.lastIndex() || quorum.termAt(prevIndex) != message.LogTerm {
		reply.MatchIndex = min(prevIndex-1, quorum.lastIndex())
		quorum.send(reply)
		return
	}
	quorum.storeEntries(message.Entries)
	reply.Granted = true
	reply.MatchIndex = prevIndex + id.Index(len(message.Entries))
	quorum.commitTo(min(message.CommitIndex, reply.MatchIndex))
	quorum.send(reply)
}

// storeEntries appends the entries that the log lacks. From the first index at
// which the terms differ it replaces the log's own entries.
func (quorum *Quorum) storeEntries(entries []Entry) {
	for position, entry := range entries {
		if entry.Index <= quorum.lastIndex() && quorum.termAt(entry.Index) == entry.Term {
			continue
		}
		quorum.entries = quorum.entries[:entry.Index-quorum.firstIndex()]
		appended := entries[position:]
		quorum.entries = append(quorum.entries, appended...)
		quorum.actions.DiskWrite.Entries = append(quorum.actions.DiskWrite.Entries, appended...)
		quorum.reloadMembership()
		return
	}
}

func (quorum *Quorum) receiveSnapshot(now time.Time, message Message) {
	quorum.recordLeaderContact(now, message.From)
	reply := Message{Kind: KindSnapshotReply, To: message.From, SentNanos: message.SentNanos, Granted: true}
	snapshot := message.Snapshot
	if snapshot == nil || snapshot.Index <= quorum.commitIndex {
		reply.MatchIndex = quorum.commitIndex
		quorum.send(reply)
		return
	}
	if quorum.termAt(snapshot.Index) == snapshot.Term {
		quorum.entries = slices.Clone(quorum.entries[snapshot.Index-quorum.firstIndex()+1:])
	} else {
		quorum.entries = nil
	}
	quorum.snapshot = snapshot
	quorum.commitIndex = snapshot.Index
	quorum.reloadMembership()
	quorum.actions.DiskWrite.Snapshot = snapshot
	quorum.actions.Restore = snapshot
	quorum.actions.Committed = nil
	reply.MatchIndex = snapshot.Index
	quorum.send(reply)
}

func (quorum *Quorum) receiveAppendReply(now time.Time, message Message) {
	follower := quorum.progressByNode[message.From]
	if quorum.role != RoleLeader || follower == nil {
		return
	}
	if sent := quorum.startedAt.Add(time.Duration(message.SentNanos)); sent.After(follower.ackedSendTime) && !sent.After(now) {
		follower.ackedSendTime = sent
	}
	if !message.Granted {
		follower.nextIndex = max(min(message.MatchIndex+1, follower.nextIndex-1), follower.matchIndex+1)
		quorum.sendAppend(now, message.From, follower)
		return
	}
	follower.snapshotSentAt = time.Time{}
	follower.matchIndex = max(follower.matchIndex, min(message.MatchIndex, quorum.lastIndex()))
	follower.nextIndex = max(follower.nextIndex, follower.matchIndex+1)
	if quorum.advanceCommit() {
		quorum.broadcast(now)
		return
	}
	if follower.nextIndex <= quorum.lastIndex() {
		quorum.sendAppend(now, message.From, follower)
	}
}

// advanceCommit commits the entries that a majority of voters holds. It reports
// whether the commit index advanced.
func (quorum *Quorum) advanceCommit() bool {
	matches := make([]id.Index, 0, len(quorum.membership.Voters))
	for _, voter := range quorum.membership.Voters {
		switch follower := quorum.progressByNode[voter]; {
		case voter == quorum.config.Self:
			matches = append(matches, quorum.lastIndex())
		case follower != nil:
			matches = append(matches, follower.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	// Only an entry of the leader's own term may be committed by counting, which
	// commits those before it too.
	if index <= quorum.commitIndex || quorum.termAt(index) != quorum.hardState.Term {
		return false
	}
	quorum.commitTo(index)
	return true
}

func (quorum *Quorum) commitTo(index id.Index) {
	if index <= quorum.commitIndex {
		return
	}
	first := quorum.firstIndex()
	quorum.actions.Committed = append(quorum.actions.Committed, quorum.entries[quorum.commitIndex+1-first:index+1-first]...)
	quorum.commitIndex = index
}

// compact replaces the entries up to an index by a snapshot of the state machine.
// It ignores an index that isn't committed or is covered by a snapshot already.
func (quorum *Quorum) compact(event Compact) {
	if event.Index > quorum.commitIndex || event.Index < quorum.firstIndex() {
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
