package fairqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"carobline.dev/core/id"
	"carobline.dev/core/request/fairqueue"
)

// any lets each item go.
func anyItem(*fairqueue.Item[int]) bool { return true }

// TestWorkFollowsWeights compares the work that each customer gets, while all
// have work waiting, with the fluid ideal: its weight's part of all work. Start-
// time fair queueing strays from it by no more than one item of each customer.
func TestWorkFollowsWeights(t *testing.T) {
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 8))
		queue := fairqueue.New[int](1 << 20)
		weights := map[id.Customer]float64{"a": 1, "b": 2, "c": float64(1 + random.IntN(6))}
		longest, all := 0.0, 0.0
		for _, customer := range []id.Customer{"a", "b", "c"} {
			for range 400 {
				cost := 1 + 100*random.Float64()*random.Float64()
				longest = max(longest, cost)
				if _, ok := queue.Push(customer, weights[customer], 0, cost, 0); !ok {
					t.Fatal("no place")
				}
			}
			all += weights[customer]
		}
		served, total := map[id.Customer]float64{}, 0.0
		for range 300 {
			item, _ := queue.Pop(anyItem)
			served[item.Customer] += item.Cost
			total += item.Cost
			for customer, weight := range weights {
				stray := served[customer] - total*weight/all
				if bound := longest * float64(1+len(weights)) * max(1, weight); stray > bound || -stray > bound {
					t.Fatalf("seed %d: %s strays by %v from its part, bound %v", seed, customer, stray, bound)
				}
			}
		}
	}
}

// TestOrder is a table of who goes first.
func TestOrder(t *testing.T) {
	type push struct {
		customer id.Customer
		weight   float64
		priority int
		cost     float64
	}
	tests := []struct {
		name   string
		pushes []push
		want   []id.Customer
	}{
		{"one after the other", []push{{"a", 1, 0, 1}, {"a", 1, 0, 1}}, []id.Customer{"a", "a"}},
		{"a flood doesn't delay another customer", []push{{"a", 1, 0, 9}, {"a", 1, 0, 9}, {"a", 1, 0, 9}, {"b", 1, 0, 9}}, []id.Customer{"a", "b", "a", "a"}},
		{"priority goes before fairness", []push{{"a", 1, 1, 1}, {"b", 1, 0, 100}, {"b", 1, 0, 100}}, []id.Customer{"b", "b", "a"}},
		{"long work counts for more", []push{{"a", 1, 0, 100}, {"a", 1, 0, 100}, {"b", 1, 0, 1}, {"b", 1, 0, 1}}, []id.Customer{"a", "b", "b", "a"}},
		{"weight counts", []push{{"a", 1, 0, 10}, {"a", 1, 0, 10}, {"b", 10, 0, 10}, {"b", 10, 0, 10}, {"b", 10, 0, 10}}, []id.Customer{"a", "b", "b", "b", "a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := fairqueue.New[int](100)
			for _, push := range test.pushes {
				queue.Push(push.customer, push.weight, push.priority, push.cost, 0)
			}
			var got []id.Customer
			for item, ok := queue.Pop(anyItem); ok; item, ok = queue.Pop(anyItem) {
				got = append(got, item.Customer)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("order %v, want %v", got, test.want)
			}
		})
	}
}

// TestUnfitCustomersKeepTheirTurn passes a customer over while it may not go.
func TestUnfitCustomersKeepTheirTurn(t *testing.T) {
	queue := fairqueue.New[int](10)
	queue.Push("a", 1, 0, 5, 1)
	queue.Push("b", 1, 0, 5, 2)
	item, ok := queue.Pop(func(item *fairqueue.Item[int]) bool { return item.Customer != "a" })
	if !ok || item.Customer != "b" {
		t.Fatalf("got %+v", item)
	}
	if item, ok = queue.Pop(anyItem); !ok || item.Customer != "a" {
		t.Fatalf("got %+v", item)
	}
}

// TestRemovedWorkIsNotCharged gives a customer back the turn of work whose
// caller has gone.
func TestRemovedWorkIsNotCharged(t *testing.T) {
	queue := fairqueue.New[int](10)
	gone, _ := queue.Push("a", 1, 0, 1000, 0)
	queue.Push("a", 1, 0, 1, 0)
	queue.Push("b", 1, 0, 10, 0)
	queue.Push("b", 1, 0, 10, 0)
	if !queue.Remove(gone) || queue.Remove(gone) {
		t.Error("an item goes once")
	}
	item, _ := queue.Pop(anyItem)
	if item.Customer != "a" || queue.Len() != 2 {
		t.Errorf("first %s, %d left", item.Customer, queue.Len())
	}
}
