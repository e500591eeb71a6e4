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

// serving is a host whose engine has a model in its memory, and whose own
// weights are the same: all that lies on it twice is of no further use.
func serving(domain id.Domain, name string, model id.Model) grouper.Host {
	return grouper.Host{Host: id.Host(name), Domain: domain, Loaded: []id.Model{model}, Staged: []id.Model{model}}
}

// After the first groups are formed, each host gets the weights of the other
// model, so that no loss of an engine needs a load.
func TestEachHostGetsWhatItLacks(t *testing.T) {
	var hosts []grouper.Host
	for index := range 10 {
		model := id.Model("pair")
		if index < 4 {
			model = "four"
		}
		hosts = append(hosts, serving("d", fmt.Sprint(index), model))
	}
	lacking := map[id.Host]id.Model{}
	for _, staging := range stager.Plan(hosts, specs, 1, 100) {
		lacking[staging.Host] = staging.Model
	}
	if len(lacking) != len(hosts) {
		t.Fatalf("%d of %d hosts got weights", len(lacking), len(hosts))
	}
	for _, host := range hosts {
		if lacking[host.Host] == host.Loaded[0] {
			t.Errorf("host %s got the weights that it has", host.Host)
		}
	}
}

// Few loads go where the fewest groups of a model could be formed.
func TestLoadsGoToTheDomainThatLacksMost(t *testing.T) {
	hosts := []grouper.Host{
		serving("a", "a1", "pair"), serving("a", "a2", "pair"), serving("a", "a3", "four"),
		serving("b", "b1", "pair"), serving("b", "b2", "pair"),
	}
	plan := stager.Plan(hosts, specs, 1, 1)
	if want := []grouper.Staging{{Host: "a3", Model: "pair"}}; cmp.Equal(plan, want) {
		t.Fatalf("plan %+v: the pairs of a have two holders already", plan)
	}
	if want := []grouper.Staging{{Host: "b1", Model: "four"}}; !cmp.Equal(plan, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// Weights that only lie on the host aren't driven out by others.
func TestUsefulWeightsStay(t *testing.T) {
	hosts := []grouper.Host{
		{Host: "spare", Domain: "d", Staged: []id.Model{"pair"}},
		{Host: "both", Domain: "d", Loaded: []id.Model{"four"}, Staged: []id.Model{"pair"}},
	}
	if plan := stager.Plan(hosts, specs, 1, 10); len(plan) != 0 {
		t.Errorf("plan %+v, want none", plan)
	}
	if plan := stager.Plan(hosts[:1], specs, 2, 10); len(plan) != 1 || plan[0].Model != "four" {
		t.Errorf("plan %+v with room for two models, want four", plan)
	}
	if plan := stager.Plan([]grouper.Host{serving("d", "x", "four")}, specs, 1, 0); len(plan) != 0 {
		t.Errorf("plan %+v without any load", plan)
	}
}
