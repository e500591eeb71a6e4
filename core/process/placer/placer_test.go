package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"carobline.dev/core/id"
	"carobline.dev/core/process/placer"
)

const seeds = 10_000

// TestPlansUseAsManyAcceleratorsAsPossible compares each plan with an exhaustive
// search.
func TestPlansUseAsManyAcceleratorsAsPossible(t *testing.T) {
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 6))
		hosts, specs := randomCase(random)
		plan := placer.Plan(hosts, specs, nil)
		used := checkPlan(t, seed, hosts, specs, plan)
		if best := exhaustiveSearch(hosts, specs); used != best {
			t.Fatalf("seed %d: the plan uses %d accelerators, %d can be used\nhosts %+v\nspecs %+v\nplan %+v", seed, used, best, hosts, specs, plan)
		}
	}
}

func randomCase(random *rand.Rand) ([]placer.Host, []placer.Spec) {
	specs := []placer.Spec{{Model: "a", HostsPerGroup: 2, Weight: 1}}
	if random.IntN(2) == 0 {
		specs = append(specs, placer.Spec{Model: "b", HostsPerGroup: 1 + random.IntN(4), Weight: 2})
	}
	if random.IntN(4) == 0 {
		specs = append(specs, placer.Spec{Model: "c", HostsPerGroup: 3, Weight: 1})
	}
	varyAccelerators := random.IntN(2) == 0
	var hosts []placer.Host
	for index := range 1 + random.IntN(12) {
		host := placer.Host{Host: id.Host(fmt.Sprintf("h%02d", index)), DataCentre: "dc", Domain: id.Domain(fmt.Sprint(random.IntN(3))), Accelerators: 2}
		if varyAccelerators {
			host.Accelerators = 1 + random.IntN(4)
		}
		for _, spec := range specs {
			if random.IntN(3) > 0 {
				host.Models = append(host.Models, spec.Model)
			}
		}
		hosts = append(hosts, host)
	}
	return hosts, specs
}

// checkPlan fails the test if a plan breaks a rule, and returns the number of
// accelerators that it uses.
func checkPlan(t *testing.T, seed uint64, hosts []placer.Host, specs []placer.Spec, plan []placer.Assignment) int {
	t.Helper()
	freeHostByName := map[id.Host]placer.Host{}
	for _, host := range hosts {
		freeHostByName[host.Host] = host
	}
	used := 0
	for _, assignment := range plan {
		size := specs[slices.IndexFunc(specs, func(spec placer.Spec) bool { return spec.Model == assignment.Model })].HostsPerGroup
		domain := freeHostByName[assignment.Hosts[0]].Domain
		if len(assignment.Hosts) != size {
			t.Fatalf("seed %d: group of %d hosts for %s, which isn't the model's hosts per group", seed, len(assignment.Hosts), assignment.Model)
		}
		for _, name := range assignment.Hosts {
			host, free := freeHostByName[name]
			if !free || host.Domain != domain || !slices.Contains(host.Models, assignment.Model) {
				t.Fatalf("seed %d: host %s can't be in %+v", seed, name, assignment)
			}
			delete(freeHostByName, name)
			used += host.Accelerators
		}
	}
	return used
}

// exhaustiveSearch returns the most accelerators that any plan can use, one domain
// at a time.
func exhaustiveSearch(hosts []placer.Host, specs []placer.Spec) int {
	hostsByDomain := map[id.Domain][]placer.Host{}
	for _, host := range hosts {
		hostsByDomain[host.Domain] = append(hostsByDomain[host.Domain], host)
	}
	total := 0
	for _, pool := range hostsByDomain {
		total += maxAccelerators(pool, specs, make([]int, len(specs)), 0)
	}
	return total
}

// maxAccelerators tries each host with each model that it can serve and with none.
// Combinations that don't come out as whole groups count as 0.
func maxAccelerators(pool []placer.Host, specs []placer.Spec, counts []int, used int) int {
	if len(pool) == 0 {
		for index, count := range counts {
			if count%specs[index].HostsPerGroup != 0 {
				return 0
			}
		}
		return used
	}
	best := maxAccelerators(pool[1:], specs, counts, used)
	for index, spec := range specs {
		if slices.Contains(pool[0].Models, spec.Model) {
			counts[index]++
			best = max(best, maxAccelerators(pool[1:], specs, counts, used+pool[0].Accelerators))
			counts[index]--
		}
	}
	return best
}

// TestSpare checks which host repairs a group.
func TestSpare(t *testing.T) {
	host := func(name id.Host, domain id.Domain, models ...id.Model) placer.Host {
		return placer.Host{Host: name, DataCentre: "dc", Domain: domain, Models: models}
	}
	tests := []struct {
		name string
		free []placer.Host
		spec placer.Spec
		want id.Host
	}{
		{"no host in the domain", []placer.Host{host("x", "other", "m")}, placer.Spec{Model: "m"}, ""},
		{"another domain if that is allowed", []placer.Host{host("x", "other", "m")}, placer.Spec{Model: "m", AcrossDomains: true}, "x"},
		{"the group's domain before another", []placer.Host{host("x", "other", "m"), host("y", "f", "m")}, placer.Spec{Model: "m", AcrossDomains: true}, "y"},
		{"the host that can serve the fewest models", []placer.Host{host("x", "f", "m", "n"), host("y", "f", "m")}, placer.Spec{Model: "m"}, "y"},
		{"no host that can't serve the model", []placer.Host{host("x", "f", "n")}, placer.Spec{Model: "m"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got, _ := placer.Spare(test.free, test.spec, "dc", "f"); got != test.want {
				t.Errorf("spare %q, want %q", got, test.want)
			}
		})
	}
}

// BenchmarkPlan plans all hosts of a system of the target size at once.
func BenchmarkPlan(b *testing.B) {
	const hosts, perDomain = 12_000, 64
	free := make([]placer.Host, hosts)
	for index := range free {
		free[index] = placer.Host{
			Host: id.Host(fmt.Sprintf("h%05d", index)), DataCentre: "dc", Domain: id.Domain(fmt.Sprint(index / perDomain)),
			Accelerators: 2, Models: []id.Model{"a", "b"}[:1+index%2],
		}
	}
	specs := []placer.Spec{{Model: "a", HostsPerGroup: 4, Weight: 3}, {Model: "b", HostsPerGroup: 4, Weight: 1}}
	for b.Loop() {
		placer.Plan(free, specs, nil)
	}
}
