package formation

import "carobline.dev/measure/process/report"

// seedCount is the number of seeds over which figures are averaged.
const seedCount = 100

// Measure reports the fraction of the work that could be served on each day, with the
// product's policy and without the weights of second models.
func Measure(seed uint64, report *report.Report) {
	days := []struct {
		name string
		day  Day
	}{{"crashes", Crashes()}, {"domain", DomainOutage()}, {"release", Release()}}
	policies := []struct {
		name   string
		policy Policy
	}{{"one_model_a_host", Policy{}}, {"product", Product}}
	for _, day := range days {
		for _, policy := range policies {
			var sum Result
			for offset := range uint64(seedCount) {
				result := Simulate(day.day, policy.policy, seed+offset)
				sum.MeanServed += result.MeanServed / seedCount
				sum.WorstModelServed += result.WorstModelServed / seedCount
				sum.IdleFraction += result.IdleFraction / seedCount
			}
			name := "formation_" + day.name + "_" + policy.name
			report.Figure(name+"_served", sum.MeanServed, "part of the work")
			report.Figure(name+"_worst_model", sum.WorstModelServed, "part of the work")
			report.Figure(name+"_idle", sum.IdleFraction, "part of engines")
		}
	}
}
