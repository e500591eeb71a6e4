package member

// AcceptedCrashes returns how many crashes are kept that the leader has accepted.
func (member *Member) AcceptedCrashes() int { return len(member.crashQueue.accepted) }
