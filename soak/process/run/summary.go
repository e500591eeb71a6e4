package run

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"carobline.dev/core/connection/rest"
	"carobline.dev/soak/process/judge"
)

// counts are what callers of one kind got.
type counts struct {
	calls, answered, notRun int
}

func countByKind(calls []judge.Call) map[judge.Kind]counts {
	byKind := map[judge.Kind]counts{}
	for _, call := range calls {
		counts := byKind[call.Kind]
		counts.calls++
		if call.Status == 200 && call.Ended {
			counts.answered++
		}
		if call.Outcome == rest.OutcomeNotRun {
			counts.notRun++
		}
		byKind[call.Kind] = counts
	}
	return byKind
}

// summarise prints what was seen.
func (soak *soak) summarise(records judge.Records) {
	byKind := countByKind(records.Calls)
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		counts := byKind[kind]
		fmt.Fprintf(soak.out, "soak: seed %d: %-7s %6d sent, %6d answered, %5d not run, %5d else\n",
			soak.seed, kind, counts.calls, counts.answered, counts.notRun, counts.calls-counts.answered-counts.notRun)
	}
	acknowledged, inForce := 0, 0
	for _, change := range records.Changes {
		if !change.AckedAt.IsZero() {
			acknowledged++
		}
		if change.InForce {
			inForce++
		}
	}
	fmt.Fprintf(soak.out, "soak: seed %d: %d runs; %d token changes, %d acknowledged, %d in force; %d stops; %d reads\n",
		soak.seed, len(records.Runs), len(records.Changes), acknowledged, inForce, len(records.Stops), len(records.Reads))
}

// keep writes all records beside the logs.
func (soak *soak) keep(records judge.Records) {
	data, err := json.Marshal(records)
	if err == nil {
		err = os.WriteFile(filepath.Join(soak.folder, "records.json"), data, logFileMode)
	}
	if err != nil {
		soak.log.Error().Err(err).Msg("the records can't be kept")
	}
}
