package controller

import (
	"fmt"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// refuseUnknownDataCentre refuses, without an entry in the log, an evacuation of a data centre
// that is unknown: it is neither evacuated, nor in the settings of the node that proposes
// it, nor has a host announced itself there. A new leader without the announcements of all hosts
// answers without a result, so that the change is proposed again.
func (controller *Controller) refuseUnknownDataCentre(now time.Time, event ChangeProposed) (Outcome, bool) {
	var dataCentre id.DataCentre
	switch {
	case event.Command.StartEvacuation != nil:
		dataCentre = event.Command.StartEvacuation.DataCentre
	case event.Command.FinishEvacuation != nil:
		dataCentre = event.Command.FinishEvacuation.DataCentre
	default:
		return Outcome{}, false
	}
	evacuations := controller.register.Evacuations()
	if event.KnownDataCentre || evacuations.Covers(dataCentre) || controller.announced(dataCentre) {
		return Outcome{}, false
	}
	if now.Before(controller.leadership.startedAt.Add(groupChangeDelay)) {
		return Outcome{Ticket: event.Ticket, Leader: controller.config.Self}, true
	}
	refused := register.Result{Verdict: register.VerdictRefused, Reason: fmt.Sprintf("data centre %q is not known", dataCentre)}
	return Outcome{Ticket: event.Ticket, Result: &refused}, true
}

// announced reports whether any host of the roster is in a data centre.
func (controller *Controller) announced(dataCentre id.DataCentre) bool {
	return controller.roster.Any(func(announcement *roster.Announcement) bool { return announcement.DataCentre == dataCentre })
}
