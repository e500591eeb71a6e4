package controlload_test

import (
	"strings"
	"testing"

	"carobline.dev/measure/process/controlload"
	"carobline.dev/measure/process/engines"
	"carobline.dev/measure/process/report"
)

// second returns a second in which the first of two control hosts leads.
func second(leaderCores float64, openGroups int) controlload.Second {
	return controlload.Second{
		Hosts:   []controlload.Host{{Cores: leaderCores, Running: true}, {Cores: 0.1, Running: true}},
		Engines: engines.Sample{OpenGroups: openGroups},
	}
}

// TestReportTellsOpeningFromCalm guards against a report that counts seconds in which groups
// open as calm ones, or those after the loss of engines as part of the opening.
func TestReportTellsOpeningFromCalm(t *testing.T) {
	leaderless, profiled, disturbed := second(9, 0), second(0.4, 10), second(0.2, 20)
	leaderless.Leader, profiled.Events, disturbed.Disturbed = controlload.NoLeader, []string{"profiled"}, true
	result := controlload.Result{Seconds: []controlload.Second{
		leaderless, leaderless, profiled, second(0.6, 20), disturbed, second(0.9, 19), second(0.3, 19), second(0.9, 21),
	}}
	var text strings.Builder
	result.Report(report.New(&text))
	got := strings.Join(strings.Fields(text.String()), " ")
	for _, want := range []string{
		"control_groups_open_seconds 2 s", "control_groups_open_leader_mean 0.5 cores", "control_groups_open_leader_most 0.6 cores",
		"control_calm_seconds 2 s", "control_calm_leader_mean 0.25 cores", "control_calm_follower_mean 0.1 cores",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q isn't in %q", want, got)
		}
	}
}
