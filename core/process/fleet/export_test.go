package fleet

// StateSize returns how many entries by host, and by group that was reported as stalled,
// are kept beside the replicated state.
func (fleet *Fleet) StateSize() int {
	return len(fleet.lastOrderByHost) + len(fleet.undeliveredByHost) + len(fleet.probedAtByHost) + len(fleet.retiredAtByHost) + len(fleet.stallReportedAtByGroup)
}
