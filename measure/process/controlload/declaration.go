package controlload

import (
	"fmt"

	"carobline.dev/core/id"
	"carobline.dev/core/version/routing"
)

const (
	service    = id.Service("pool")
	routeCount = 240
)

// declaration returns the configuration: many routes to one service of engines, with two
// models whose groups have eight and four engines.
func declaration() routing.Declaration {
	declared := routing.Declaration{
		Revision: 1,
		Services: []routing.Service{{Name: service, Engine: &routing.Engine{
			Slots: 14, StepMS: 8, StepPerRequestMS: 0.1, PrefillTokensPerSecond: 45_000, StepsPerEvent: 8,
			LoadsAtOnce: 95, LoadsPerSecond: 60, StagedModels: 1,
			Models: []routing.Model{
				{Name: "eight", Hosts: 8, Pace: 1, Share: 0.5, LoadMS: 16_000},
				{Name: "four", Hosts: 4, Pace: 0.6, Share: 0.5, LoadMS: 12_000},
			},
		}}},
	}
	for number := range routeCount {
		declared.Routes = append(declared.Routes, routing.Route{
			Name: fmt.Sprintf("route-%d", number), Host: "calls.example", PathPrefix: fmt.Sprintf("/%d/", number),
			Repeat: routing.RepeatStream, Resumable: true, TimeoutMS: 8000, TargetMS: 500, PauseMS: 300, Priority: 1, Attempts: 2,
			Backends: []routing.Backend{{Service: service, Weight: 1}},
		})
	}
	return declared
}
