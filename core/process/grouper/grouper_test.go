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

// newHosts returns one host for each staged model; an empty model stands for a
// host without weights.
func newHosts(domain string, staged ...id.Model) []grouper.Host {
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

// The first plan uses all engines and forms groups by the models' shares.
func TestFirstPlanFollowsShares(t *testing.T) {
	var free []grouper.Host
	for domain := range 6 {
		free = append(free, newHosts(fmt.Sprintf("d%d", domain), "", "", "", "", "", "", "", "", "", "")...)
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

// pairGroups returns one group of two engines in each domain, which have "pair" in
// memory and the given model staged.
func pairGroups(domains []string, staged id.Model) []grouper.Group {
	var groups []grouper.Group
	for index, domain := range domains {
		members := newHosts(domain, staged, staged)
		for position := range members {
			members[position].Host += id.Host(fmt.Sprintf("-p%d", index))
			members[position].Loaded = []id.Model{"pair"}
		}
		groups = append(groups, grouper.Group{Group: id.Group(fmt.Sprintf("p%d", index)), Model: "pair", Domain: id.Domain(domain), Hosts: members})
	}
	return groups
}

// A group of four that lost an engine leaves three free engines that hold its
// weights. A spare of the domain that holds them too completes the group without a
// load.
func TestSpareCompletesLostGroup(t *testing.T) {
	plan := grouper.New(newHosts("d", "four", "four", "four", "four"), pairGroups([]string{"d", "d"}, "pair"), specs, grouper.Constraints{}).Plan()
	want := []grouper.Assignment{{Model: "four", Hosts: []id.Host{"d-0", "d-1", "d-2", "d-3"}}}
	if !cmp.Equal(plan.Form, want) {
		t.Fatalf("plan %+v, want it to form only the group of four with the spare", plan)
	}
}

// A model in an engine's memory counts like staged weights, and such a host is
// chosen first.
func TestMemoryCountsLikeStagedWeights(t *testing.T) {
	free := newHosts("d", "pair", "four", "pair")
	free[2].Loaded, free[2].Staged = []id.Model{"pair"}, []id.Model{"four"}
	plan := grouper.New(free, nil, specs, grouper.Constraints{}).Plan()
	want := []grouper.Assignment{{Model: "pair", Hosts: []id.Host{"d-2", "d-0"}}}
	if !cmp.Equal(plan.Form, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// During a release engines are replaced faster than the store loads weights. The
// only load goes to the engine that completes a group of four rather than to half
// a pair, and no group is formed that would have to wait for the store.
func TestLoadCompletesAGroupFirst(t *testing.T) {
	free := append(newHosts("a", "four", "four", "four", ""), newHosts("b", "", "")...)
	plan := grouper.New(free, nil, specs, grouper.Constraints{MaxLoads: 1}).Plan()
	want := []grouper.Staging{{Host: "a-3", Model: "four"}}
	if !cmp.Equal(plan.Stage, want) || len(plan.Form) != 0 {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// A load that is under way is not started again, and the group that it will
// complete is counted when the next loads are chosen.
func TestLoadsUnderWayCount(t *testing.T) {
	free := append(newHosts("a", "four", "four", "four", ""), newHosts("b", "", "")...)
	free[3].StagingModel = "four"
	plan := grouper.New(free, nil, specs, grouper.Constraints{MaxLoads: 2}).Plan()
	want := []grouper.Staging{{Host: "b-0", Model: "pair"}, {Host: "b-1", Model: "pair"}}
	if !cmp.Equal(plan.Stage, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// An engine without weights that completes no group is staged with the model that
// most engines of its domain serve, once no other load is useful.
func TestLoneEnginesGetWeightsOfTheirNeighbours(t *testing.T) {
	groups := append(pairGroups([]string{"a"}, "pair"), grouper.Group{Group: "f", Model: "four", Domain: "a", Hosts: newHosts("a", "four", "four", "four", "four")})
	plan := grouper.New(newHosts("a", ""), groups, specs, grouper.Constraints{MaxLoads: 2}).Plan()
	if want := []grouper.Staging{{Host: "a-0", Model: "four"}}; !cmp.Equal(plan.Stage, want) {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// While groups of four are the most underserved, the few loads that the store
// accepts go to them rather than to pairs.
func TestLoadsAreKeptForTheMostUnderservedModel(t *testing.T) {
	free := append(newHosts("a", "", "", "", ""), newHosts("b", "pair", "")...)
	plan := grouper.New(free, pairGroups([]string{"c", "c", "c", "c", "c"}, "pair"), specs, grouper.Constraints{MaxLoads: 1}).Plan()
	if want := []grouper.Staging{{Host: "a-0", Model: "four"}}; !cmp.Equal(plan.Stage, want) || len(plan.Form) != 0 {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// Three free engines hold the weights of a group of four that lost its fourth, and
// there is no spare. A pair of the domain whose hosts hold these weights too is
// dissolved, since four engines then serve again. It is kept if its hosts don't
// hold them, or if draining hosts complete the group anyway. Meanwhile the three
// are not used for a model that is better served.
func TestPairIsDissolvedForALargerGroup(t *testing.T) {
	var domains []string
	for index := range 12 {
		domains = append(domains, fmt.Sprintf("d%d", index%2))
	}
	free := newHosts("d1", "four", "four", "four")
	for index := range free {
		free[index].Loaded, free[index].Staged = []id.Model{"four"}, []id.Model{"pair"}
	}
	plan := grouper.New(free, pairGroups(domains, "four"), specs, grouper.Constraints{}).Plan()
	if !cmp.Equal(plan.Dissolve, []grouper.Dissolution{{Group: "p1", Domain: "d1", For: "four"}}) || len(plan.Form) != 0 {
		t.Errorf("plan %+v, want p1 dissolved and the three hosts reserved", plan)
	}
	if plan := grouper.New(free, pairGroups(domains, "pair"), specs, grouper.Constraints{}).Plan(); len(plan.Dissolve) != 0 || len(plan.Form) != 1 {
		t.Errorf("plan %+v, want a pair formed of hosts whose group of four can't be completed", plan)
	}
	withDrainingHost := grouper.Constraints{DrainingHosts: newHosts("d1", "four")}
	if plan := grouper.New(free, pairGroups(domains, "four"), specs, withDrainingHost).Plan(); len(plan.Dissolve) != 0 || len(plan.Form) != 0 {
		t.Errorf("plan %+v, want the three hosts reserved until the draining host is free", plan)
	}
}

// Guards against groups that are dissolved in turns: the hosts of a lost large group
// became small ones, these gave way to a large group seconds later, and both models were
// without them meanwhile. Four groups of four aren't given up for a group of sixteen
// when the worse served model hardly gains.
func TestGroupsAreNotDissolvedForASmallGain(t *testing.T) {
	var groups []grouper.Group
	for domain := range 6 {
		name := fmt.Sprintf("d%d", domain)
		groups = append(groups, fourGroups(name, 4)...)
		if domain > 0 {
			groups = append(groups, grouper.Group{Group: id.Group("s-" + name), Model: "sixteen", Domain: id.Domain(name), Hosts: newHosts(name, make([]id.Model, 16)...)})
		}
	}
	groups = append(groups, fourGroups("d6", 1)...)
	// The large model has 0.87 of its share. The small one has 1.09, and 0.92 without
	// four groups.
	free := newHosts("d0", "sixteen", "sixteen", "sixteen")
	if plan := grouper.New(free, groups, largeSpecs, grouper.Constraints{}).Plan(); len(plan.Dissolve) != 0 {
		t.Errorf("plan %+v, want no group dissolved", plan)
	}
	free = newHosts("d0", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen")
	if plan := grouper.New(free, groups, largeSpecs, grouper.Constraints{}).Plan(); len(plan.Dissolve) != 1 {
		t.Errorf("plan %+v, want one group dissolved", plan)
	}
}

// A pair is not dissolved if its own model would then be the more underserved.
func TestNoGroupOfAMoreUnderservedModelIsDissolved(t *testing.T) {
	groups := append(pairGroups([]string{"d"}, "four"), grouper.Group{Group: "f", Model: "four", Domain: "e", Hosts: newHosts("e", "four", "four", "four", "four")})
	if plan := grouper.New(newHosts("d", "four", "four", "four"), groups, specs, grouper.Constraints{}).Plan(); len(plan.Dissolve) != 0 {
		t.Errorf("plan %+v, want no group dissolved", plan)
	}
}

// largeSpecs are a model with groups of sixteen engines and one with groups of four,
// whose shares of the work are equal.
var largeSpecs = []grouper.Spec{{Model: "sixteen", HostsPerGroup: 16, Share: 0.5}, {Model: "four", HostsPerGroup: 4, Share: 0.5}}

// Guards against a first plan in which small groups take so many hosts of each fabric
// domain that the large model gets fewer groups than its share, though there are
// hosts for them.
func TestSmallGroupsDontFragmentTheDomainsOfLargeOnes(t *testing.T) {
	var free []grouper.Host
	for domain := range 6 {
		free = append(free, newHosts(fmt.Sprintf("d%d", domain), make([]id.Model, 37)...)...)
	}
	plan := grouper.New(free, nil, largeSpecs, grouper.Constraints{BeforeTraffic: true}).Plan()
	counts := map[id.Model]int{}
	for _, assignment := range plan.Form {
		counts[assignment.Model]++
	}
	if want := (map[id.Model]int{"sixteen": 7, "four": 26}); !cmp.Equal(counts, want) {
		t.Errorf("groups %v, want %v", counts, want)
	}
}

// Guards against a first plan that leaves more hosts out of groups than the sizes of
// the groups require: nine hosts of a domain are three groups of three, or two of four.
func TestFirstPlanStrandsFewHosts(t *testing.T) {
	specs := []grouper.Spec{{Model: "four", HostsPerGroup: 4, Share: 0.5}, {Model: "three", HostsPerGroup: 3, Share: 0.5}}
	var free []grouper.Host
	for domain := range 6 {
		free = append(free, newHosts(fmt.Sprintf("d%d", domain), make([]id.Model, 9)...)...)
	}
	plan := grouper.New(free, nil, specs, grouper.Constraints{BeforeTraffic: true}).Plan()
	counts := map[id.Model]int{}
	for _, assignment := range plan.Form {
		counts[assignment.Model]++
	}
	if want := (map[id.Model]int{"four": 6, "three": 9}); !cmp.Equal(counts, want) {
		t.Errorf("groups %v, want %v", counts, want)
	}
}

// fourGroups returns groups of four engines in a domain, which have "four" in memory
// and "sixteen" staged.
func fourGroups(domain string, count int) []grouper.Group {
	var groups []grouper.Group
	for index := range count {
		members := newHosts(domain, "sixteen", "sixteen", "sixteen", "sixteen")
		for position := range members {
			members[position].Host += id.Host(fmt.Sprintf("-f%d", index))
			members[position].Loaded = []id.Model{"four"}
		}
		groups = append(groups, grouper.Group{Group: id.Group(fmt.Sprintf("f%d", index)), Model: "four", Domain: id.Domain(domain), Hosts: members})
	}
	return groups
}

// Guards against a large group that stays unformed since it lacks more hosts than any
// one small group has: as many small groups give way as complete it, and no more, in
// each domain at once.
func TestSeveralSmallGroupsGiveWayToALargeOneInOneStep(t *testing.T) {
	groups := append(fourGroups("a", 5), fourGroups("b", 5)...)
	for index := range groups[5:] {
		groups[5+index].Group = id.Group(fmt.Sprintf("g%d", index))
	}
	free := append(newHosts("a", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen"),
		newHosts("b", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen", "sixteen")...)
	plan := grouper.New(free, groups, largeSpecs, grouper.Constraints{}).Plan()
	want := []grouper.Dissolution{
		{Group: "f0", Domain: "a", For: "sixteen"},
		{Group: "f1", Domain: "a", For: "sixteen"},
		{Group: "g0", Domain: "b", For: "sixteen"},
	}
	if !cmp.Equal(plan.Dissolve, want) || len(plan.Form) != 0 {
		t.Errorf("plan %+v, want %+v", plan, want)
	}
}

// No host is in two groups, and no group spans two domains.
func TestPlansAreSound(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // a seeded test
		var free []grouper.Host
		domainByHost := map[id.Host]id.Domain{}
		for domain := range 4 {
			staged := make([]id.Model, random.IntN(11))
			for index := range staged {
				staged[index] = []id.Model{"", "pair", "four"}[random.IntN(3)]
			}
			free = append(free, newHosts(fmt.Sprintf("d%d", domain), staged...)...)
		}
		for _, host := range free {
			domainByHost[host.Host] = host.Domain
		}
		sizeByModel := map[id.Model]int{"pair": 2, "four": 4}
		inGroup := map[id.Host]bool{}
		stagedByHost := map[id.Host][]id.Model{}
		for _, host := range free {
			stagedByHost[host.Host] = host.Staged
		}
		constraints := grouper.Constraints{MaxLoads: random.IntN(20), BeforeTraffic: random.IntN(4) == 0}
		plan := grouper.New(free, nil, specs, constraints).Plan()
		if len(plan.Stage) > constraints.MaxLoads {
			t.Fatalf("seed %d: %d loads planned, at most %d allowed", seed, len(plan.Stage), constraints.MaxLoads)
		}
		for _, assignment := range plan.Form {
			if len(assignment.Hosts) != sizeByModel[assignment.Model] {
				t.Fatalf("seed %d: %+v has the wrong size", seed, assignment)
			}
			for _, host := range assignment.Hosts {
				if !constraints.BeforeTraffic && !slices.Contains(stagedByHost[host], assignment.Model) {
					t.Fatalf("seed %d: %s has no weights of %s", seed, host, assignment.Model)
				}
				if inGroup[host] || domainByHost[host] != domainByHost[assignment.Hosts[0]] {
					t.Fatalf("seed %d: host %s is in two groups or in another domain than the group's head", seed, host)
				}
				inGroup[host] = true
			}
		}
		for _, staging := range plan.Stage {
			if inGroup[staging.Host] {
				t.Fatalf("seed %d: host %s is staged and in a group", seed, staging.Host)
			}
		}
	}
}
