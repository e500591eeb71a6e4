package controller

import "carobline.dev/core/process/feed"

// ResponseStats counts what the leader has sent to nodes since the last call of
// TakeStats.
type ResponseStats struct {
	// Responses counts the answered polls, Superseded those that the same node had
	// replaced before they were answered.
	Responses  int
	Superseded int
	// Declarations, Announcements and Renewals count the records in the responses.
	Declarations  int
	Announcements int
	Renewals      int
	// WholeRosters counts the responses to nodes that didn't have this leader's
	// roster.
	WholeRosters int
}

func (stats *ResponseStats) count(request feed.Request, response *feed.Response) {
	stats.Responses++
	stats.Announcements += len(response.Roster)
	stats.Renewals += len(response.Renewals)
	if response.Delta.Declared != nil {
		stats.Declarations++
	}
	if request.Epoch != response.Epoch {
		stats.WholeRosters++
	}
}

// TakeStats returns the statistics since its last call, and starts new ones.
func (controller *Controller) TakeStats() ResponseStats {
	taken := controller.responses
	controller.responses = ResponseStats{}
	return taken
}
