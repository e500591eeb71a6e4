package traffic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/request/chooser"
	"carobline.dev/core/version/view"
	"carobline.dev/measure/process/report"
)

// hostsInGroup is how many engines one replica spans at the target size.
const hostsInGroup = 4

// DecisionCost measures one choice of endpoint at several sizes.
func DecisionCost(_ uint64, lines *report.Report) {
	for _, hosts := range []int{60, 700, 12_000} {
		set := endpointSet(hosts / hostsInGroup)
		for _, withPrefix := range []bool{false, true} {
			result := testing.Benchmark(func(b *testing.B) { benchmarkChoice(b, set, withPrefix) })
			name := fmt.Sprintf("decision_%d_engines", hosts)
			if withPrefix {
				name += "_by_prefix"
			}
			lines.AtMost(name, float64(result.NsPerOp())/1000, "us", 2)
			lines.AtMost(name+"_allocations", float64(result.AllocsPerOp()), "each", 0)
		}
	}
}

func endpointSet(count int) *view.Set {
	var list []*view.Endpoint
	for index := range count {
		list = append(list, &view.Endpoint{
			Name:       feed.Endpoint{Group: id.Group(fmt.Sprintf("g%05d", index))},
			DataCentre: id.DataCentre(fmt.Sprintf("dc%d", index%17)), Accepting: true,
			ValidUntil: start.Add(time.Hour), Load: roster.Load{Slots: 64},
		})
	}
	return view.NewSet(list)
}

func benchmarkChoice(b *testing.B, set *view.Set, withPrefix bool) {
	random := rand.New(rand.NewPCG(1, 2))
	choice := chooser.New(chooser.Config{Node: "n1", DataCentre: "dc3", Rand: random})
	choice.Choose(start, set, chooser.Criteria{})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		ask := chooser.Criteria{}
		if withPrefix {
			ask.Prefix = random.Uint64()
		}
		endpoint, ok := choice.Choose(start, set, ask)
		if !ok {
			b.Fatal("no endpoint")
		}
		choice.Started(endpoint.Name, 0)
		choice.Finished(start, endpoint.Name, 0, false)
	}
}
