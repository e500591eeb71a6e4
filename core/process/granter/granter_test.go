package granter_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/threadtime"
)

const (
	lease         = time.Second
	clientAccount = id.ClientAccount("c")
	maxCalls      = 10
	maxRate       = 100
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	limits = map[id.ClientAccount]granter.Quota{clientAccount: {RequestsPerSecond: maxRate, TokensPerSecond: 1000, Concurrency: maxCalls}}
)

// fakeNode uses the last grant that it received, until its lease ends.
type fakeNode struct {
	heldGrant   granter.Grant
	leaseExpiry time.Time
}

func (node *fakeNode) quota(now time.Time) granter.Quota {
	if !now.Before(node.leaseExpiry) {
		return granter.Quota{}
	}
	return node.heldGrant.QuotaByClientAccount[clientAccount]
}

// TestQuotasNeverExceedTheContract loses responses and changes demand and leaders
// at random, from seeds, and adds up what all nodes may use after each step.
func TestQuotasNeverExceedTheContract(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 4))
		now := start
		allocator := granter.New(now.Add(-lease), lease)
		allocator.SetLimits(limits)
		nodes := map[id.Node]*fakeNode{"a": {}, "b": {}, "c": {}, "d": {}}
		for range 400 {
			now = now.Add(time.Duration(random.Int64N(int64(100 * time.Millisecond))))
			if random.IntN(60) == 0 {
				allocator = granter.New(now, lease)
				allocator.SetLimits(limits)
			}
			name := []id.Node{"a", "b", "c", "d"}[random.IntN(4)]
			node := nodes[name]
			heldGrant := node.heldGrant
			if !now.Before(node.leaseExpiry) {
				heldGrant.QuotaByClientAccount = nil
			}
			demand := granter.Quota{Concurrency: float64(random.IntN(14)), RequestsPerSecond: float64(random.IntN(150))}
			grant := allocator.Allocate(now, granter.Request{Node: name, HeldGrant: heldGrant, DemandByClientAccount: map[id.ClientAccount]granter.Quota{clientAccount: demand}})
			if random.IntN(3) > 0 { // otherwise the response is lost
				node.heldGrant, node.leaseExpiry = grant, now.Add(lease)
			}
			checkSum(t, seed, now, nodes)
		}
	}
}

func checkSum(t *testing.T, seed uint64, now time.Time, nodes map[id.Node]*fakeNode) {
	t.Helper()
	var calls, rate float64
	for _, node := range nodes {
		calls += node.quota(now).Concurrency
		rate += node.quota(now).RequestsPerSecond
	}
	const rounding = 1e-6
	if calls > maxCalls+rounding || rate > maxRate+rounding {
		t.Fatalf("seed %d: nodes may use %v calls at a time and %v requests a second, more than the contract", seed, calls, rate)
	}
}

// TestQuotasFollowDemand checks that the quota of an idle node moves to the node
// with demand within three exchanges of the idle node and four of the other.
func TestQuotasFollowDemand(t *testing.T) {
	allocator := granter.New(start.Add(-lease), lease)
	allocator.SetLimits(limits)
	now := start
	nodes := map[id.Node]*fakeNode{"a": {}, "b": {}}
	allocate := func(name id.Node, calls float64) {
		now = now.Add(25 * time.Millisecond)
		demand := map[id.ClientAccount]granter.Quota{clientAccount: {Concurrency: calls}}
		nodes[name].heldGrant = allocator.Allocate(now, granter.Request{Node: name, HeldGrant: nodes[name].heldGrant, DemandByClientAccount: demand})
	}
	for range 3 {
		allocate("a", 0)
		allocate("b", 0)
	}
	if got := nodes["a"].heldGrant.QuotaByClientAccount[clientAccount].Concurrency; got != maxCalls/2 {
		t.Errorf("an idle node holds %v calls, want an even share", got)
	}
	for range 3 {
		allocate("b", 30)
		allocate("a", 0)
	}
	allocate("b", 30)
	if got := nodes["b"].heldGrant.QuotaByClientAccount[clientAccount].Concurrency; got != maxCalls {
		t.Errorf("the node with demand holds %v calls, want all of %v", got, maxCalls)
	}
}

// exchangeCost returns the processor time that one exchange takes with a number of nodes and 24
// contracts, where demand moves all the time.
func exchangeCost(nodes int) time.Duration {
	const accounts, exchanges = 24, 1920
	rounds := exchanges / nodes
	limits, demand := map[id.ClientAccount]granter.Quota{}, map[id.ClientAccount]granter.Quota{}
	for index := range accounts {
		limits[id.ClientAccount(fmt.Sprint(index))] = granter.Quota{RequestsPerSecond: 1000, TokensPerSecond: 1e6, Concurrency: 5000}
	}
	allocator, now, held := granter.New(start.Add(-lease), lease), start, make([]granter.Grant, nodes)
	allocator.SetLimits(limits)
	return threadtime.Of(func() {
		for round := range rounds {
			for node := range nodes {
				now = now.Add(time.Millisecond)
				for account := range limits {
					demand[account] = granter.Quota{RequestsPerSecond: float64((node + round) % 17), Concurrency: float64((node + round) % 5)}
				}
				held[node] = allocator.Allocate(now, granter.Request{Node: id.Node(fmt.Sprint(node)), HeldGrant: held[node], DemandByClientAccount: maps.Clone(demand)})
				allocator.NodesToNotify(now)
			}
		}
	}) / exchanges
}

// Guards against a leader whose time for each exchange grows with the nodes, so that
// its time for all of them grows with their square.
func TestExchangeCostDoesNotGrowWithNodes(t *testing.T) {
	const few, many, most = 40, 640, 5
	cost := func(nodes int) time.Duration {
		return min(exchangeCost(nodes), exchangeCost(nodes), exchangeCost(nodes))
	}
	if small, large := cost(few), cost(many); large > most*small {
		t.Errorf("an exchange takes %v with %d nodes and %v with %d", small, few, large, many)
	}
}
