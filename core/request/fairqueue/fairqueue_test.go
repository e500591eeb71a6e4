package fairqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"carobline.dev/core/id"
	"carobline.dev/core/request/fairqueue"
)

// anyItem accepts each item.
func anyItem(*fairqueue.Item[int]) bool { return true }

// TestWorkFollowsWeights compares the work that each client account gets, while
// all have work waiting, with the fluid ideal: its weight's share of all work.
// Start-time fair queueing deviates from it by no more than one item of each
// client account.
func TestWorkFollowsWeights(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 8))
		queue := fairqueue.New[int](1 << 20)
		weights := map[id.ClientAccount]float64{"a": 1, "b": 2, "c": float64(1 + random.IntN(6))}
		maxCost, weightSum := 0.0, 0.0
		for _, clientAccount := range []id.ClientAccount{"a", "b", "c"} {
			for range 400 {
				cost := 1 + 100*random.Float64()*random.Float64()
				maxCost = max(maxCost, cost)
				if _, ok := queue.Push(clientAccount, weights[clientAccount], 0, cost, 0); !ok {
					t.Fatal("queue is full")
				}
			}
			weightSum += weights[clientAccount]
		}
		served, total := map[id.ClientAccount]float64{}, 0.0
		for range 300 {
			item, _ := queue.Pop(anyItem)
			served[item.ClientAccount] += item.Cost
			total += item.Cost
			for clientAccount, weight := range weights {
				deviation := served[clientAccount] - total*weight/weightSum
				if bound := maxCost * float64(1+len(weights)) * max(1, weight); deviation > bound || -deviation > bound {
					t.Fatalf("seed %d: %s deviates by %v from its share, bound %v", seed, clientAccount, deviation, bound)
				}
			}
		}
	}
}

// TestOrder compares the order in which pushed items come out.
func TestOrder(t *testing.T) {
	type push struct {
		clientAccount id.ClientAccount
		weight        float64
		priority      int
		cost          float64
	}
	tests := []struct {
		name   string
		pushes []push
		want   []id.ClientAccount
	}{
		{"one after the other", []push{{"a", 1, 0, 1}, {"a", 1, 0, 1}}, []id.ClientAccount{"a", "a"}},
		{"a flood doesn't delay another customer", []push{{"a", 1, 0, 9}, {"a", 1, 0, 9}, {"a", 1, 0, 9}, {"b", 1, 0, 9}}, []id.ClientAccount{"a", "b", "a", "a"}},
		{"priority goes before fairness", []push{{"a", 1, 1, 1}, {"b", 1, 0, 100}, {"b", 1, 0, 100}}, []id.ClientAccount{"b", "b", "a"}},
		{"long work counts for more", []push{{"a", 1, 0, 100}, {"a", 1, 0, 100}, {"b", 1, 0, 1}, {"b", 1, 0, 1}}, []id.ClientAccount{"a", "b", "b", "a"}},
		{"weight counts", []push{{"a", 1, 0, 10}, {"a", 1, 0, 10}, {"b", 10, 0, 10}, {"b", 10, 0, 10}, {"b", 10, 0, 10}}, []id.ClientAccount{"a", "b", "b", "b", "a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := fairqueue.New[int](100)
			for _, push := range test.pushes {
				queue.Push(push.clientAccount, push.weight, push.priority, push.cost, 0)
			}
			var got []id.ClientAccount
			for item, ok := queue.Pop(anyItem); ok; item, ok = queue.Pop(anyItem) {
				got = append(got, item.ClientAccount)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("order %v, want %v", got, test.want)
			}
		})
	}
}

// TestUnfitClientAccountsKeepTheirTurn skips a client account once; its item must
// come out next.
func TestUnfitClientAccountsKeepTheirTurn(t *testing.T) {
	queue := fairqueue.New[int](10)
	queue.Push("a", 1, 0, 5, 1)
	queue.Push("b", 1, 0, 5, 2)
	item, ok := queue.Pop(func(item *fairqueue.Item[int]) bool { return item.ClientAccount != "a" })
	if !ok || item.ClientAccount != "b" {
		t.Fatalf("got %+v, want the item of b, since a is skipped", item)
	}
	if item, ok = queue.Pop(anyItem); !ok || item.ClientAccount != "a" {
		t.Fatalf("got %+v, want the item of a, which was skipped before", item)
	}
}

// TestRemovedWorkIsNotCharged checks that a client account isn't charged for
// removed work, whose caller has disconnected.
func TestRemovedWorkIsNotCharged(t *testing.T) {
	queue := fairqueue.New[int](10)
	removed, _ := queue.Push("a", 1, 0, 1000, 0)
	queue.Push("a", 1, 0, 1, 0)
	queue.Push("b", 1, 0, 10, 0)
	queue.Push("b", 1, 0, 10, 0)
	if !queue.Remove(removed) || queue.Remove(removed) {
		t.Error("Remove returned false for a waiting item or true for a removed one")
	}
	item, _ := queue.Pop(anyItem)
	if item.ClientAccount != "a" || queue.Len() != 2 {
		t.Errorf("first item is of %s, want a; %d items left, want 2", item.ClientAccount, queue.Len())
	}
}
