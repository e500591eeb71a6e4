package member

import "time"

// ExchangeStats counts a node's feed requests since the last call of TakeStats.
type ExchangeStats struct {
	Sent int
	// Answered counts the responses that were applied, Dropped those that came after
	// their request had been given up or overtaken.
	Answered int
	Dropped  int
	// Overdue counts the requests whose response was late, Failed those that got none.
	Overdue int
	Failed  int
	// LongestRoundTrip is the longest time from a request to its response, among
	// the responses that were applied.
	LongestRoundTrip time.Duration
	// LongestLeave is the longest time from the receipt of a host's departure by any
	// node to its use by this one.
	LongestLeave time.Duration
}

// TakeStats returns the statistics since its last call, and starts new ones.
func (member *Member) TakeStats() ExchangeStats {
	taken := member.exchanges
	member.exchanges = ExchangeStats{}
	return taken
}
