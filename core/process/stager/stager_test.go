package stager_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/stager"
)

var specs = []grouper.Spec{{Model: "four", HostsPerGroup: 4}, {Model: "pair", HostsPerGroup: 2}}

// servingHost returns a host whose engine has a model in memory and the same model
// staged. Weights that are held twice are of no further use and may be evicted.
func servingHost(domain id.Domain, name string, model id.Model) grouper.Host {
	return grouper.Host{Host: id.Host(name), Domain: domain, Loaded: []id.Model{model}, Staged: []id.Model{model}}
}

// After the first groups are formed each host is staged with the other model, so
// that the loss of an engine needs no load.
func TestEachHostIsStagedWithTheModelItLacks(t *testing.T) {
	var hosts []grouper.Host
	for index := range 10 {
		model := id.Model("pair")
		if index < 4 {
			model = "four"
		}
		hosts = append(hosts, servingHost("d", fmt.Sprint(index), model))
	}
	stagedByHost := map[id.Host]id.Model{}
	for _, staging := range stager.Plan(hosts, specs, 1, 100) {
		stagedByHost[staging.Host] = staging.Model
	}
	if len(stagedByHost) != len(hosts) {
		t.Fatalf("%d of %d hosts are staged with another model", len(stagedByHost), len(hosts))
	}
	for _, host := range hosts {
		if stagedByHost[host.Host] == host.Loaded[0] {
			t.Errorf("host %s is staged with the model that it already holds", host.Host)
		}
	}
}

// With few loads, the model and the domain with the fewest possible groups come
// first.
func TestLoadsGoWhereFewestGroupsArePossible(t *testing.T) {
	hosts := []grouper.Host{
		servingHost("a", "a1", "pair"), servingHost("a", "a2", "pair"), servingHost("a", "a3", "four"),
		servingHost("b", "b1", "pair"), servingHost("b", "b2", "pair"),
	}
	plan := stager.Plan(hosts, specs, 1, 1)
	if want := []grouper.Staging{{Host: "a3", Model: "pair"}}; cmp.Equal(plan, want) {
		t.Fatalf("plan %+v: two engines of domain a hold the weights of pair already", plan)
	}
	if want := []grouper.Staging{{Host: "b1", Model: "four"}}; !cmp.Equal(plan, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// Weights that are only staged, and not in the engine's memory, are not evicted.
func TestUsefulWeightsAreNotEvicted(t *testing.T) {
	hosts := []grouper.Host{
		{Host: "spare", Domain: "d", Staged: []id.Model{"pair"}},
		{Host: "both", Domain: "d", Loaded: []id.Model{"four"}, Staged: []id.Model{"pair"}},
	}
	if plan := stager.Plan(hosts, specs, 1, 10); len(plan) != 0 {
		t.Errorf("plan %+v, want none", plan)
	}
	if plan := stager.Plan(hosts[:1], specs, 2, 10); len(plan) != 1 || plan[0].Model != "four" {
		t.Errorf("plan %+v for a host that keeps two models, want one load of four", plan)
	}
	if plan := stager.Plan([]grouper.Host{servingHost("d", "x", "four")}, specs, 1, 0); len(plan) != 0 {
		t.Errorf("plan %+v with no load allowed, want none", plan)
	}
}
