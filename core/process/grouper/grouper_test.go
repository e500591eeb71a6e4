package grouper_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
)

var specs = []grouper.Spec{{Model: "pair", HostsPerGroup: 2, Share: 0.5}, {Model: "four", HostsPerGroup: 4, Share: 0.5}}

func hosts(domain string, staged ...id.Model) []grouper.Host {
	var list []grouper.Host
	for index, model := range staged {
		host := grouper.Host{Host: id.Host(fmt.Sprintf("%s-%d", domain, index)), Domain: id.Domain(domain)}
		if model != "" {
			host.Staged = []id.Model{model}
		}
		list = append(list, host)
	}
	return list
}

// The first plan uses all engines, and both models are served alike.
func TestFirstPlanFollowsShares(t *testing.T) {
	var free []grouper.Host
	for domain := range 6 {
		free = append(free, hosts(fmt.Sprintf("d%d", domain), "", "", "", "", "", "", "", "", "", "")...)
	}
	plan := grouper.New(free, nil, specs, grouper.Constraints{BeforeTraffic: true}).Plan()
	counts := map[id.Model]int{}
	for _, assignment := range plan.Form {
		counts[assignment.Model]++
	}
	if want := (map[id.Model]int{"four": 7, "pair": 16}); !cmp.Equal(counts, want) {
		t.Fatalf("groups %v, want %v", counts, want)
	}
}

// pairs are groups of the model of two, whose hosts keep some other weights.
func pairs(domains []string, staged id.Model) []grouper.Group {
	var groups []grouper.Group
	for index, domain := range domains {
		members := hosts(domain, staged, staged)
		for place := range members {
			members[place].Host += id.Host(fmt.Sprintf("-p%d", index))
			members[place].Loaded = []id.Model{"pair"}
		}
		groups = append(groups, grouper.Group{Group: id.Group(fmt.Sprintf("p%d", index)), Model: "pair", Domain: id.Domain(domain), Hosts: members})
	}
	return groups
}

// A lost engine of a group of four leaves three that hold its weights. The
// spare of the domain that holds them too completes the group without a load.
func TestSpareCompletesLostGroup(t *testing.T) {
	plan := grouper.New(hosts("d", "four", "four", "four", "four"), pairs([]string{"d", "d"}, "pair"), specs, grouper.Constraints{}).Plan()
	want := []grouper.Assignment{{Model: "four", Hosts: []id.Host{"d-0", "d-1", "d-2", "d-3"}}}
	if !cmp.Equal(plan.Form, want) {
		t.Fatalf("plan %+v", plan)
	}
}

// What an engine had in its memory counts like weights on its host, and goes
// first.
func TestMemoryCountsLikeStagedWeights(t *testing.T) {
	free := hosts("d", "pair", "four", "pair")
	free[2].Loaded, free[2].Staged = []id.Model{"pair"}, []id.Model{"four"}
	plan := grouper.New(free, nil, specs, grouper.Constraints{}).Plan()
	want := []grouper.Assignment{{Model: "pair", Hosts: []id.Host{"d-2", "d-0"}}}
	if !cmp.Equal(plan.Form, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// A release replaces engines faster than the store loads weights. One load goes
// to the engine that completes a group of four, not to half a pair, and no group
// is formed that would wait for the store.
func TestLoadsGoWhereTheyBringMost(t *testing.T) {
	free := append(hosts("a", "four", "four", "four", ""), hosts("b", "", "")...)
	plan := grouper.New(free, nil, specs, grouper.Constraints{MaxLoads: 1}).Plan()
	want := []grouper.Staging{{Host: "a-3", Model: "four"}}
	if !cmp.Equal(plan.Stage, want) || len(plan.Form) != 0 {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// A load that is under way isn't begun again, and what it will complete counts
// as a group when the next loads are chosen.
func TestLoadsUnderWayCount(t *testing.T) {
	free := append(hosts("a", "four", "four", "four", ""), hosts("b", "", "")...)
	free[3].StagingModel = "four"
	plan := grouper.New(free, nil, specs, grouper.Constraints{MaxLoads: 2}).Plan()
	want := []grouper.Staging{{Host: "b-0", Model: "pair"}, {Host: "b-1", Model: "pair"}}
	if !cmp.Equal(plan.Stage, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// An engine without any weights that completes no group yet gets those of the
// model that most engines of its domain serve, once the store has nothing better
// to do.
func TestLoneEnginesGetWeightsOfTheirNeighbours(t *testing.T) {
	groups := append(pairs([]string{"a"}, "pair"), grouper.Group{Group: "f", Model: "four", Domain: "a", Hosts: hosts("a", "four", "four", "four", "four")})
	plan := grouper.New(hosts("a", ""), groups, specs, grouper.Constraints{MaxLoads: 2}).Plan()
	if want := []grouper.Staging{{Host: "a-0", Model: "four"}}; !cmp.Equal(plan.Stage, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// While groups of four lack most, the few loads that the store takes go to them
// and not to pairs.
func TestStoreIsKeptForTheModelThatLacksMost(t *testing.T) {
	free := append(hosts("a", "", "", "", ""), hosts("b", "pair", "")...)
	plan := grouper.New(free, pairs([]string{"c", "c", "c", "c", "c"}, "pair"), specs, grouper.Constraints{MaxLoads: 1}).Plan()
	if want := []grouper.Staging{{Host: "a-0", Model: "four"}}; !cmp.Equal(plan.Stage, want) || len(plan.Form) != 0 {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// Three engines that hold the weights of a lost group of four and no spare: a
// pair of the domain whose hosts keep those weights makes room, since four
// engines then work again; but not where its hosts don't, nor where hosts that
// are about to be free complete the group anyway. Meanwhile the three aren't
// used up for a model that is better served.
func TestPairMakesRoom(t *testing.T) {
	var places []string
	for index := range 12 {
		places = append(places, fmt.Sprintf("d%d", index%2))
	}
	free := hosts("d1", "four", "four", "four")
	for index := range free {
		free[index].Loaded, free[index].Staged = []id.Model{"four"}, []id.Model{"pair"}
	}
	plan := grouper.New(free, pairs(places, "four"), specs, grouper.Constraints{}).Plan()
	if plan.Dissolve != "p1" || plan.DissolveFor != "four" || len(plan.Form) != 0 {
		t.Errorf("plan %+v, want p1 to make room and the three to wait", plan)
	}
	if plan := grouper.New(free, pairs(places, "pair"), specs, grouper.Constraints{}).Plan(); plan.Dissolve != "" || len(plan.Form) != 1 {
		t.Errorf("plan %+v, want a pair of those that can't be completed", plan)
	}
	soon := grouper.Constraints{DrainingHosts: hosts("d1", "four")}
	if plan := grouper.New(free, pairs(places, "four"), specs, soon).Plan(); plan.Dissolve != "" || len(plan.Form) != 0 {
		t.Errorf("plan %+v, want to wait for the host that will be free", plan)
	}
}

// A pair doesn't make room where its own model would then lack more.
func TestNoRoomIsMadeByTheModelThatLacksMore(t *testing.T) {
	groups := append(pairs([]string{"d"}, "four"), grouper.Group{Group: "f", Model: "four", Domain: "e", Hosts: hosts("e", "four", "four", "four", "four")})
	if plan := grouper.New(hosts("d", "four", "four", "four"), groups, specs, grouper.Constraints{}).Plan(); plan.Dissolve != "" {
		t.Errorf("plan %+v", plan)
	}
}

// No host stands in two groups, and no group spans two domains.
func TestPlansAreSound(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // a seeded test
		var free []grouper.Host
		domains := map[id.Host]id.Domain{}
		for domain := range 4 {
			staged := make([]id.Model, random.IntN(11))
			for index := range staged {
				staged[index] = []id.Model{"", "pair", "four"}[random.IntN(3)]
			}
			free = append(free, hosts(fmt.Sprintf("d%d", domain), staged...)...)
		}
		for _, host := range free {
			domains[host.Host] = host.Domain
		}
		sizes := map[id.Model]int{"pair": 2, "four": 4}
		used := map[id.Host]bool{}
		held := map[id.Host][]id.Model{}
		for _, host := range free {
			held[host.Host] = host.Staged
		}
		room := grouper.Constraints{MaxLoads: random.IntN(20), BeforeTraffic: random.IntN(4) == 0}
		plan := grouper.New(free, nil, specs, room).Plan()
		if len(plan.Stage) > room.MaxLoads {
			t.Fatalf("seed %d: %d loads, %d are allowed", seed, len(plan.Stage), room.MaxLoads)
		}
		for _, assignment := range plan.Form {
			if len(assignment.Hosts) != sizes[assignment.Model] {
				t.Fatalf("seed %d: %+v has the wrong size", seed, assignment)
			}
			for _, host := range assignment.Hosts {
				if !room.BeforeTraffic && !slices.Contains(held[host], assignment.Model) {
					t.Fatalf("seed %d: %s has no weights of %s", seed, host, assignment.Model)
				}
				if used[host] || domains[host] != domains[assignment.Hosts[0]] {
					t.Fatalf("seed %d: host %s is in two groups or far from its head", seed, host)
				}
				used[host] = true
			}
		}
		for _, staging := range plan.Stage {
			if used[staging.Host] {
				t.Fatalf("seed %d: %s is staged and in a group", seed, staging.Host)
			}
		}
	}
}
