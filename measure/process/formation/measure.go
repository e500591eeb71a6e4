package formation

import "carobline.dev/measure/process/report"

// measuredSeeds is over how many days figures are averaged.
const measuredSeeds = 100

// Measure prints how much of the work could be served on each day, with the
// product's policy and without second weights.
func Measure(seed uint64, lines *report.Report) {
	days := []struct {
		name string
		day  Day
	}{{"crashes", Crashes()}, {"domain", Domain()}, {"release", Release()}}
	policies := []struct {
		name   string
		policy Policy
	}{{"one_model_a_host", Policy{}}, {"product", Product}}
	for _, day := range days {
		for _, policy := range policies {
			var sum Result
			for offset := range uint64(measuredSeeds) {
				result := Play(day.day, policy.policy, seed+offset)
				sum.Mean += result.Mean / measuredSeeds
				sum.Worst += result.Worst / measuredSeeds
				sum.Idle += result.Idle / measuredSeeds
			}
			name := "formation_" + day.name + "_" + policy.name
			lines.Figure(name+"_served", sum.Mean, "part of the work")
			lines.Figure(name+"_worst_model", sum.Worst, "part of the work")
			lines.Figure(name+"_idle", sum.Idle, "part of engines")
		}
	}
}
