package admission

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/view"
)

// reportToLeader exchanges counts between the leader and the entry hosts whose turn it is.
func (simulation *simulation) reportToLeader() {
	interval := simulation.knowledge.ReportInterval
	for _, host := range simulation.hosts {
		phase := interval * time.Duration(host.index) / time.Duration(len(simulation.hosts))
		if (simulation.now+phase)%interval >= tick {
			continue
		}
		reported := simulation.reported[host.index]
		for group, running := range reported {
			simulation.total[group] -= running
		}
		clear(reported)
		for name, running := range host.balancer.Running() {
			index := groupByName[name]
			reported[index] = running
			simulation.total[index] += running
		}
		simulation.stalled[host.index] = host.balancer.StalledEndpoints(simulation.clock())
		simulation.update(host, simulation.total, reported)
	}
}

// report gives each entry host a new view, with the calls of the others as they were
// before the lag.
func (simulation *simulation) report() {
	counts := make([][]int, len(simulation.hosts))
	for _, host := range simulation.hosts {
		counts[host.index] = make([]int, len(simulation.groups))
		for name, running := range host.balancer.Running() {
			counts[host.index][groupByName[name]] = running
		}
	}
	simulation.counts = append(simulation.counts, counts)
	old := simulation.counts[max(0, len(simulation.counts)-1-int(simulation.knowledge.ReportLag/simulation.knowledge.ReportInterval))]
	total := make([]int, len(simulation.groups))
	for _, running := range old {
		for index, count := range running {
			total[index] += count
		}
	}
	for _, host := range simulation.hosts {
		simulation.update(host, total, old[host.index])
	}
}

// update gives an entry host a view of all calls in progress, of which some are its own.
func (simulation *simulation) update(host *entryHost, total, own []int) {
	for _, decision := range host.balancer.Update(simulation.clock(), simulation.view(total, own)) {
		if waiting := host.waiting[decision.Call]; waiting != nil {
			simulation.decide(waiting, decision)
		}
	}
}

func (simulation *simulation) view(total, ownCounts []int) *view.View {
	built := &view.View{Models: map[id.Model]*view.Set{}, Endpoints: map[feed.Endpoint]*view.Endpoint{}}
	var endpoints []*view.Endpoint
	own, all := 1, len(simulation.hosts)
	stalled := simulation.stalledGroups()
	for index, group := range simulation.groups {
		if !simulation.listed(group) {
			continue
		}
		endpoint := &view.Endpoint{
			Name: groupNames[index], Model: model, EngineService: pool.Service, Load: roster.Load{Slots: simulation.scenario.Engine.Slots}, Accepting: true,
			DataCentre: simulation.scenario.Sites.ofGroup(index), RunningElsewhere: total[index] - ownCounts[index], Stalled: stalled[index],
		}
		own += ownCounts[index]
		all += total[index]
		endpoints = append(endpoints, endpoint)
		built.Endpoints[endpoint.Name] = endpoint
	}
	built.Models[model] = view.NewSet(endpoints)
	built.Routing = simulation.scenario.Sites.table()
	built.Share = float64(own) / float64(all)
	return built
}

// stalledGroups returns the groups that some entry host reports as stalled.
func (simulation *simulation) stalledGroups() map[int]bool {
	stalled := map[int]bool{}
	for _, endpoints := range simulation.stalled {
		for _, endpoint := range endpoints {
			stalled[groupByName[endpoint]] = true
		}
	}
	return stalled
}
