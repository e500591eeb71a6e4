package grouper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/process/grouper"
)

var specs = []grouper.Spec{{Model: "pair", Hosts: 2, Share: 0.5}, {Model: "four", Hosts: 4, Share: 0.5}}

// many is more loads than any plan needs.
const many = 1000

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

func TestFirstPlanFollowsShares(t *testing.T) {
	var free []grouper.Host
	for domain := range 6 {
		free = append(free, hosts(fmt.Sprintf("d%d", domain), "", "", "", "", "", "", "", "", "", "")...)
	}
	plan := grouper.New(free, nil, specs, grouper.Room{Spares: grouper.Spares(len(free)), Loads: many}).Plan()
	counts := map[id.Model]int{}
	for _, assignment := range plan.Form {
		counts[assignment.Model]++
	}
	if want := (map[id.Model]int{"four": 7, "pair": 14}); !cmp.Equal(counts, want) {
		t.Fatalf("groups %v, want %v", counts, want)
	}
}

// A lost engine of a group of four leaves three that hold its weights. The
// spare of the domain that holds them too completes the group without a load.
func TestSpareCompletesLostGroup(t *testing.T) {
	groups := []grouper.Group{{Group: "p", Model: "pair", Domain: "d", Hosts: 2}, {Group: "q", Model: "pair", Domain: "d", Hosts: 2}}
	plan := grouper.New(hosts("d", "four", "four", "four", "four"), groups, specs, grouper.Room{}).Plan()
	want := []grouper.Assignment{{Model: "four", Hosts: []id.Host{"d-0", "d-1", "d-2", "d-3"}}}
	if !cmp.Equal(plan.Form, want) {
		t.Fatalf("plan %+v", plan)
	}
}

// A release replaces engines faster than the store loads weights. One load goes
// to the engine that completes a group of four, not to half a pair, and no group
// is formed that would wait for the store.
func TestLoadsGoWhereTheyBringMost(t *testing.T) {
	free := append(hosts("a", "four", "four", "four", ""), hosts("b", "", "")...)
	plan := grouper.New(free, nil, specs, grouper.Room{Loads: 1}).Plan()
	want := []grouper.Assignment{{Model: "four", Hosts: []id.Host{"a-0", "a-1", "a-2", "a-3"}}}
	if !cmp.Equal(plan.Form, want) || len(plan.Stage) != 0 {
		t.Fatalf("plan %+v, want %+v", plan, want)
	}
}

// While groups of four lack most, small loads for pairs don't keep the store
// from ever taking the loads of a whole group.
func TestStoreIsKeptForTheModelThatLacksMost(t *testing.T) {
	groups := make([]grouper.Group, 5)
	for index := range groups {
		groups[index] = grouper.Group{Group: id.Group(fmt.Sprintf("p%d", index)), Model: "pair", Domain: "c", Hosts: 2}
	}
	free := append(hosts("a", "", "", "", ""), hosts("b", "pair", "")...)
	plan := grouper.New(free, groups, specs, grouper.Room{Loads: 1}).Plan()
	if len(plan.Form) != 0 {
		t.Fatalf("plan %+v, want to wait for four loads", plan)
	}
	plan = grouper.New(free, groups, specs, grouper.Room{Loads: 2}).Plan()
	if len(plan.Form) == 0 || plan.Form[0].Model != "four" {
		t.Fatalf("plan %+v, want a group of four first", plan)
	}
}

// Three engines that hold the weights of a lost group of four and no spare: a
// pair of the domain makes room, since one load then brings four to work; but
// not while the store is full, or hosts there are about to be free anyway.
func TestPairMakesRoomForOneLoad(t *testing.T) {
	var groups []grouper.Group
	for index := range 12 {
		groups = append(groups, grouper.Group{Group: id.Group(fmt.Sprintf("p%d", index)), Model: "pair", Domain: id.Domain(fmt.Sprintf("d%d", index%2)), Hosts: 2})
	}
	free := hosts("d1", "four", "four", "four")
	if plan := grouper.New(free, groups, specs, grouper.Room{Loads: 1}).Plan(); plan.Dissolve != "p1" || plan.For != "four" {
		t.Errorf("plan %+v, want p1 to make room", plan)
	}
	if plan := grouper.New(free, groups, specs, grouper.Room{}).Plan(); plan.Dissolve != "" {
		t.Errorf("plan %+v, want nothing while the store is full", plan)
	}
	emptying := map[id.Domain]bool{"d1": true}
	if plan := grouper.New(free, groups, specs, grouper.Room{Loads: 1, Emptying: emptying}).Plan(); plan.Dissolve != "" {
		t.Errorf("plan %+v, want to wait for the hosts that will be free", plan)
	}
}

// Hosts that can't form a group wait with the weights of those beside them.
func TestLeftHostsAreStagedForTheirNeighbours(t *testing.T) {
	plan := grouper.New(hosts("a", "four", "four", ""), nil, specs[1:], grouper.Room{Loads: 2}).Plan()
	want := []grouper.Staging{{Host: "a-2", Model: "four"}}
	if !cmp.Equal(plan.Stage, want) {
		t.Fatalf("staged %+v, want %+v", plan.Stage, want)
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
		plan := grouper.New(free, nil, specs, grouper.Room{Spares: random.IntN(8), Loads: random.IntN(20)}).Plan()
		for _, assignment := range plan.Form {
			if len(assignment.Hosts) != sizes[assignment.Model] {
				t.Fatalf("seed %d: %+v has the wrong size", seed, assignment)
			}
			for _, host := range assignment.Hosts {
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
