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

// hostsPerGroup is how many engines one replica spans at the target size.
const hostsPerGroup = 4

// DecisionCost measures the time and the allocations of one choice of endpoint at
// several numbers of engines, with and without a prompt prefix.
func DecisionCost(_ uint64, report *report.Report) {
	for _, hosts := range []int{60, 700, 12_000} {
		endpoints := newEndpointSet(hosts / hostsPerGroup)
		for _, withPrefix := range []bool{false, true} {
			result := testing.Benchmark(func(b *testing.B) { benchmarkChoice(b, endpoints, withPrefix) })
			name := fmt.Sprintf("decision_%d_engines", hosts)
			if withPrefix {
				name += "_by_prefix"
			}
			report.AtMost(name, float64(result.NsPerOp())/1000, "us", 2)
			report.AtMost(name+"_allocations", float64(result.AllocsPerOp()), "each", 0)
		}
	}
}

func newEndpointSet(groups int) *view.Set {
	var endpoints []*view.Endpoint
	for index := range groups {
		endpoints = append(endpoints, &view.Endpoint{
			Name:       feed.Endpoint{Group: id.Group(fmt.Sprintf("g%05d", index))},
			DataCentre: id.DataCentre(fmt.Sprintf("dc%d", index%17)), Accepting: true,
			ValidUntil: startTime.Add(time.Hour), Load: roster.Load{Slots: 64},
		})
	}
	return view.NewSet(endpoints)
}

func benchmarkChoice(b *testing.B, endpoints *view.Set, withPrefix bool) {
	random := rand.New(rand.NewPCG(1, 2))
	endpointChooser := chooser.New(chooser.Config{Node: "n1", DataCentre: "dc3", Rand: random})
	endpointChooser.Choose(startTime, endpoints, chooser.Criteria{})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		criteria := chooser.Criteria{}
		if withPrefix {
			criteria.Prefix = random.Uint64()
		}
		endpoint, ok := endpointChooser.Choose(startTime, endpoints, criteria)
		if !ok {
			b.Fatal("no endpoint")
		}
		endpointChooser.Started(endpoint.Name, 0)
		endpointChooser.Finished(startTime, endpoint.Name, 0, false)
	}
}
