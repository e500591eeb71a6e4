package register

import (
	"fmt"
	"slices"
	"strings"

	"carobline.dev/core/id"
)

// Evacuations are the data centres whose endpoints get no new calls, sorted by name. Version
// is the log index of the last change. The list of a version doesn't change.
type Evacuations struct {
	Version     id.Version      `json:"version"`
	DataCentres []id.DataCentre `json:"data_centres,omitempty"`
}

// Covers reports whether a data centre is evacuated.
func (evacuations *Evacuations) Covers(dataCentre id.DataCentre) bool {
	return slices.Contains(evacuations.DataCentres, dataCentre)
}

// StartEvacuation evacuates a data centre. A node that is slow, or a link, may hold it back
// until a later FinishEvacuation is in force, so it is a conflict if the evacuations have
// changed after version Base.
type StartEvacuation struct {
	DataCentre id.DataCentre `json:"data_centre"`
	Base       id.Version    `json:"base"`
}

// FinishEvacuation ends the evacuation of a data centre. Base is as in StartEvacuation.
type FinishEvacuation struct {
	DataCentre id.DataCentre `json:"data_centre"`
	Base       id.Version    `json:"base"`
}

// Evacuations returns the evacuated data centres. They are read-only.
func (register *Register) Evacuations() Evacuations { return register.state.Evacuations }

func (register *Register) startEvacuation(index id.Index, command Command, start *StartEvacuation) Result {
	if start.DataCentre == "" {
		return refused("an evacuation needs a data centre")
	}
	known := register.state.Evacuations
	if known.Covers(start.DataCentre) {
		return Result{Verdict: VerdictUnchanged, Version: known.Version}
	}
	if start.Base < known.Version {
		return evacuationConflict(known)
	}
	evacuated := append(slices.Clone(known.DataCentres), start.DataCentre)
	slices.Sort(evacuated)
	return register.setEvacuations(index, command, "evacuation_start", start.DataCentre, evacuated)
}

func (register *Register) finishEvacuation(index id.Index, command Command, finish *FinishEvacuation) Result {
	known := register.state.Evacuations
	if !known.Covers(finish.DataCentre) {
		return Result{Verdict: VerdictUnchanged, Version: known.Version}
	}
	if finish.Base < known.Version {
		return evacuationConflict(known)
	}
	evacuated := slices.DeleteFunc(slices.Clone(known.DataCentres), func(dataCentre id.DataCentre) bool { return dataCentre == finish.DataCentre })
	return register.setEvacuations(index, command, "evacuation_finish", finish.DataCentre, evacuated)
}

func evacuationConflict(known Evacuations) Result {
	return Result{Verdict: VerdictConflict, Version: known.Version, Reason: fmt.Sprintf("the evacuations have changed in version %d", known.Version)}
}

func (register *Register) setEvacuations(index id.Index, command Command, action string, dataCentre id.DataCentre, evacuated []id.DataCentre) Result {
	from := register.state.Evacuations.names()
	register.state.Evacuations = Evacuations{Version: id.Version(index), DataCentres: evacuated}
	return register.recordChange(index, command, action, string(dataCentre), from, register.state.Evacuations.names())
}

// names returns the evacuated data centres for the audit trail.
func (evacuations *Evacuations) names() string {
	names := make([]string, len(evacuations.DataCentres))
	for index, dataCentre := range evacuations.DataCentres {
		names[index] = string(dataCentre)
	}
	return strings.Join(names, " ")
}
