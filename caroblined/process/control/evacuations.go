package control

import (
	"context"
	"fmt"
	"slices"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/view"
)

// maxEvacuationProposals bounds how often an evacuation is proposed that conflicts with others.
const maxEvacuationProposals = 4

// Evacuation is a call that starts or finishes the evacuation of a data centre. Change differs
// for each call that arrives, since a start after a finish has the same content as the start before.
type Evacuation struct {
	Change     id.Change
	Actor      string
	DataCentre id.DataCentre
	// Finish is set to finish the evacuation.
	Finish bool
}

// Evacuate proposes an evacuation, or its end, as Propose does. The version by which the call
// was decided goes with it, so that a proposal which is held up until after a later call
// changes nothing. This node may lag behind that version: it then proposes again, for as long
// as ctx lasts.
func (control *Control) Evacuate(ctx context.Context, evacuation Evacuation) (controller.Outcome, error) {
	base := control.View().Version
	for attempt := 1; ; attempt++ {
		command := register.Command{Change: evacuation.Change, Actor: evacuation.Actor}
		if attempt > 1 {
			command.Change = id.Change(fmt.Sprintf("%s-%d", evacuation.Change, attempt))
		}
		if evacuation.Finish {
			command.FinishEvacuation = &register.FinishEvacuation{DataCentre: evacuation.DataCentre, Base: base}
		} else {
			command.StartEvacuation = &register.StartEvacuation{DataCentre: evacuation.DataCentre, Base: base}
		}
		outcome, err := control.Propose(ctx, peers.Proposal{Command: command, KnownDataCentre: slices.Contains(control.config.DataCentres, evacuation.DataCentre)})
		if err != nil || outcome.Result == nil || outcome.Result.Verdict != register.VerdictConflict || attempt == maxEvacuationProposals {
			return outcome, err
		}
		base = outcome.Result.Version
	}
}

// logEvacuations logs the evacuated data centres when they have changed.
func (control *Control) logEvacuations(before, current *view.View) {
	if slices.Equal(before.EvacuatedDataCentres, current.EvacuatedDataCentres) {
		return
	}
	control.config.Log.Info().Str("step", "evacuated").Interface("data_centres", current.EvacuatedDataCentres).Uint64("version", uint64(current.Version)).
		Msg("the evacuated data centres have changed")
}
