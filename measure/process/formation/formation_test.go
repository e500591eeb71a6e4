package formation_test

import (
	"testing"

	"carobline.dev/measure/process/formation"
)

// seedCount is the number of seeds over which results are averaged.
const seedCount = 20

func average(day formation.Day, policy formation.Policy) formation.Result {
	var sum formation.Result
	for seed := range uint64(seedCount) {
		result := formation.Simulate(day, policy, seed)
		sum.MeanServed += result.MeanServed / seedCount
		sum.WorstModelServed += result.WorstModelServed / seedCount
		sum.IdleFraction += result.IdleFraction / seedCount
	}
	return sum
}

// TestSecondWeightsServeMoreOfTheWork guards against a planner under which staging
// the weights of a second model on hosts doesn't help: while engines crash, while a
// domain fails besides, and while engines are replaced, with a store that serves half
// a load a second, it must raise the served fraction of the work, and that of the
// worst served model.
func TestSecondWeightsServeMoreOfTheWork(t *testing.T) {
	for name, day := range map[string]formation.Day{
		"crashes": formation.Crashes(), "domain": formation.DomainOutage(), "release": formation.Release(),
	} {
		without, with := average(day, formation.Policy{}), average(day, formation.Product)
		t.Logf("%s: without %+v, with %+v", name, without, with)
		if with.WorstModelServed <= without.WorstModelServed || with.MeanServed <= without.MeanServed {
			t.Errorf("%s: %+v with second weights, %+v without", name, with, without)
		}
	}
}

// TestPlansRepeat checks that the same seed gives the same result.
func TestPlansRepeat(t *testing.T) {
	for seed := range uint64(5) {
		if first, second := formation.Simulate(formation.Crashes(), formation.Product, seed), formation.Simulate(formation.Crashes(), formation.Product, seed); first != second {
			t.Errorf("seed %d: %+v, then %+v", seed, first, second)
		}
	}
}
