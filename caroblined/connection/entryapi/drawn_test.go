package entryapi_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run only this seed of the drawn endpoints")
	seedsFlag = flag.Int("seeds", 100, "how many seeds of the drawn endpoints to run")
)

// Guards against any way in which what endpoints write on their connections makes a call run
// twice, run though it was refused, or end with what isn't its answer.
func TestDrawnEndpoints(t *testing.T) {
	if *seedFlag != 0 {
		runDrawn(t, newDrawnPlan(*seedFlag, nil))
		return
	}
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runDrawn(t, newDrawnPlan(seed, nil)) })
	}
}

// keptSeeds are seeds that failed on code with one fault each, by the fault.
var keptSeeds = map[string]uint64{
	"a copied refusal is believed, and the call is sent to another endpoint":                     58,
	"a copied refusal is passed on for its status alone":                                         161,
	"the retry comes to the connection of the refusal under the address's other name":            376,
	"a copied answer is passed on to the caller who sends the same id again":                     40,
	"a copied refusal is passed on to the caller who sends the same id again":                    449,
	"a copied stream is passed on to the caller who sends the same id again":                     299,
	"a copied head makes the answer after it a body":                                             93,
	"an answer that names two requests is taken for that of the first":                           4,
	"a 101 is passed on as an answer":                                                            55,
	"a stream that ends after its head leaves its caller without an answer (unanswered-streams)": 67,
}

// Guards against the return of the faults that TestDrawnEndpoints has found.
func TestDrawnEndpointsThatFoundFaults(t *testing.T) {
	for fault, seed := range keptSeeds {
		t.Run(fault, func(t *testing.T) { runDrawn(t, newDrawnPlan(seed, nil)) })
	}
}

// FuzzDrawnEndpoints is TestDrawnEndpoints with the first choices from data.
func FuzzDrawnEndpoints(f *testing.F) {
	f.Add(uint64(1), []byte{})
	f.Add(uint64(2), []byte{0, 0, 0, 0, 0, 0, 0, 0, 100, 200, 0, 100, 200})
	f.Fuzz(func(t *testing.T, seed uint64, data []byte) { runDrawn(t, newDrawnPlan(seed, data)) })
}

// runDrawn plays a plan and checks that no promise was broken.
func runDrawn(t *testing.T, plan drawnPlan) {
	t.Helper()
	play := newDrawnPlay(t, plan)
	defer play.close()
	play.run()
	if broken := play.judge(); len(broken) > 0 {
		t.Errorf("seed %d:\n%s\n%s", plan.seed, strings.Join(broken, "\n"), play.trace())
	}
}
