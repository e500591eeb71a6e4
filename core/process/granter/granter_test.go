package granter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/granter"
)

const (
	lease         = time.Second
	clientAccount = id.ClientAccount("c")
	mostCalls     = 10
	mostRate      = 100
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limits = map[id.ClientAccount]granter.Quota{clientAccount: {RequestsPerSecond: mostRate, TokensPerSecond: 1000, Concurrency: mostCalls}}
)

// fakeHost holds what it was last offered, until its lease runs out.
type fakeHost struct {
	held   granter.Grant
	expiry time.Time
}

func (host *fakeHost) part(now time.Time) granter.Quota {
	if !now.Before(host.expiry) {
		return granter.Quota{}
	}
	return host.held.QuotaByClientAccount[clientAccount]
}

// TestPartsNeverPassTheContract plays lost answers, changing demand and new
// leaders from seeds, and adds up what hosts may use after each step.
func TestPartsNeverPassTheContract(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 4))
		now := start
		grants := granter.New(now.Add(-lease), lease)
		grants.SetLimits(limits)
		hosts := map[id.Node]*fakeHost{"a": {}, "b": {}, "c": {}, "d": {}}
		for range 400 {
			now = now.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			if random.IntN(60) == 0 {
				grants = granter.New(now, lease)
				grants.SetLimits(limits)
			}
			name := []id.Node{"a", "b", "c", "d"}[random.IntN(4)]
			host := hosts[name]
			held := host.held
			if !now.Before(host.expiry) {
				held.QuotaByClientAccount = nil
			}
			demand := granter.Quota{Concurrency: float64(random.IntN(14)), RequestsPerSecond: float64(random.IntN(150))}
			offer := grants.Allocate(now, granter.Request{Node: name, HeldGrant: held, Demand: map[id.ClientAccount]granter.Quota{clientAccount: demand}})
			if random.IntN(3) > 0 { // else the answer is lost
				host.held, host.expiry = offer, now.Add(lease)
			}
			checkSum(t, seed, now, hosts)
		}
	}
}

func checkSum(t *testing.T, seed uint64, now time.Time, hosts map[id.Node]*fakeHost) {
	t.Helper()
	var calls, rate float64
	for _, host := range hosts {
		calls += host.part(now).Concurrency
		rate += host.part(now).RequestsPerSecond
	}
	const rounding = 1e-6
	if calls > mostCalls+rounding || rate > mostRate+rounding {
		t.Fatalf("seed %d: hosts may use %v calls and %v a second", seed, calls, rate)
	}
}

// TestPartsFollowDemand shows that an idle host's part goes to the one that
// asks, within two exchanges each.
func TestPartsFollowDemand(t *testing.T) {
	grants := granter.New(start.Add(-lease), lease)
	grants.SetLimits(limits)
	now := start
	hosts := map[id.Node]*fakeHost{"a": {}, "b": {}}
	ask := func(name id.Node, calls float64) {
		now = now.Add(25 * time.Millisecond)
		demand := map[id.ClientAccount]granter.Quota{clientAccount: {Concurrency: calls}}
		hosts[name].held = grants.Allocate(now, granter.Request{Node: name, HeldGrant: hosts[name].held, Demand: demand})
	}
	for range 3 {
		ask("a", 0)
		ask("b", 0)
	}
	if got := hosts["a"].held.QuotaByClientAccount[clientAccount].Concurrency; got != mostCalls/2 {
		t.Errorf("an idle host holds %v, want an even part", got)
	}
	for range 3 {
		ask("b", 30)
		ask("a", 0)
	}
	ask("b", 30)
	if got := hosts["b"].held.QuotaByClientAccount[clientAccount].Concurrency; got != mostCalls {
		t.Errorf("the asking host holds %v, want all of %v", got, mostCalls)
	}
}
