// Package granter shares one contract's limits out over the entry hosts. Each
// host holds a leased part; parts follow demand, and their sum never passes the
// contract: a part that was given counts in full until its holder has
// acknowledged a smaller one or its lease has run out.
//
// # Usage
//
//	grants := granter.New(now, lease)
//	grants.SetLimits(limits)
//	offer := grants.Ask(now, granter.Request{Node: "n1", Held: held, Demand: demand})
package granter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"carobline.dev/core/id"
)

// Quota is an amount of each limit.
type Quota struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Concurrency       float64 `json:"concurrency"`
}

// Serial numbers the offers to one host.
type Serial uint64

// Request is a host's side of one exchange.
type Request struct {
	Node id.Node `json:"node"`
	// HeldGrant is the last offer that the host took, less what has run out.
	HeldGrant Grant                      `json:"held"`
	Demand    map[id.ClientAccount]Quota `json:"demand,omitempty"`
}

// Grant is what a host may use until its lease ends.
type Grant struct {
	Serial               Serial                     `json:"serial"`
	QuotaByClientAccount map[id.ClientAccount]Quota `json:"parts,omitempty"`
}

// holder is one host as the granter knows it.
type holder struct {
	expiry time.Time
	demand map[id.ClientAccount]Quota
	// offers are those that may still be in use: the last acknowledged one
	// and all later ones.
	offers []Grant
	next   Serial
}

// refreshEvery bounds how often all hosts' targets are worked out anew.
const refreshEvery = 20 * time.Millisecond

// Granter shares out limits. It isn't safe for concurrent use.
type Granter struct {
	lease   time.Duration
	started time.Time
	limits  map[id.ClientAccount]Quota
	holders map[id.Node]*holder

	refreshed time.Time
	stale     bool
	targets   map[id.ClientAccount]map[id.Node]Quota
}

// New starts a granter for one reign of a leader. Until one lease has passed
// since then it gives no host more than that host already held, since hosts
// that it hasn't heard may still hold parts of an earlier reign.
func New(now time.Time, lease time.Duration) *Granter {
	return &Granter{lease: lease, started: now, holders: map[id.Node]*holder{}, stale: true}
}

// SetLimits takes the limits of the contracts in force.
func (granter *Granter) SetLimits(limits map[id.ClientAccount]Quota) {
	if maps.Equal(granter.limits, limits) {
		return
	}
	granter.limits = maps.Clone(limits)
	granter.stale = true
}

// Allocate takes a host's holding and demand and offers it parts. The lease of the
// offer ends at the returned expiry at the latest.
func (granter *Granter) Allocate(now time.Time, request Request) Grant {
	granter.expire(now)
	asking := granter.holders[request.Node]
	if asking == nil {
		asking = &holder{next: request.HeldGrant.Serial + 1}
		asking.offers = []Grant{request.HeldGrant}
		granter.holders[request.Node] = asking
		granter.stale = true
	}
	asking.demand = request.Demand
	asking.acknowledge(request.HeldGrant)
	offer := granter.offer(now, request.Node, asking)
	asking.expiry = now.Add(granter.lease)
	return offer
}

// acknowledge drops the offers before the one that the host has taken.
func (holder *holder) acknowledge(held Grant) {
	if held.Serial >= holder.next {
		// The host holds an offer of another reign; it counts as it stands.
		holder.offers = append(holder.offers, held)
		holder.next = held.Serial + 1
	}
	holder.offers = slices.DeleteFunc(holder.offers, func(offer Grant) bool { return offer.Serial < held.Serial })
}

// bound is the most that a host may be using.
func (holder *holder) bound(clientAccount id.ClientAccount) Quota {
	var most Quota
	for _, offer := range holder.offers {
		most = larger(most, offer.QuotaByClientAccount[clientAccount])
	}
	return most
}

// expire drops hosts whose leases have run out.
func (granter *Granter) expire(now time.Time) {
	for node, holder := range granter.holders {
		if !now.Before(holder.expiry) {
			delete(granter.holders, node)
			granter.stale = true
		}
	}
}

func (granter *Granter) offer(now time.Time, node id.Node, asking *holder) Grant {
	granter.refresh(now)
	parts := map[id.ClientAccount]Quota{}
	settled := !now.Before(granter.started.Add(granter.lease))
	for clientAccount, limit := range granter.limits {
		part := granter.targets[clientAccount][node]
		part = smaller(part, granter.room(node, clientAccount, limit))
		if !settled {
			part = smaller(part, asking.bound(clientAccount))
		}
		if part != (Quota{}) {
			parts[clientAccount] = part
		}
	}
	last := asking.offers[len(asking.offers)-1]
	if maps.Equal(last.QuotaByClientAccount, parts) {
		return last
	}
	offer := Grant{Serial: asking.next, QuotaByClientAccount: parts}
	asking.next++
	asking.offers = append(asking.offers, offer)
	return offer
}

// room is what the other hosts leave of a limit.
func (granter *Granter) room(node id.Node, clientAccount id.ClientAccount, limit Quota) Quota {
	// In order, since sums of fractions depend on it.
	for _, other := range slices.Sorted(maps.Keys(granter.holders)) {
		if other == node {
			continue
		}
		used := granter.holders[other].bound(clientAccount)
		limit.RequestsPerSecond -= used.RequestsPerSecond
		limit.TokensPerSecond -= used.TokensPerSecond
		limit.Concurrency -= used.Concurrency
	}
	return larger(limit, Quota{})
}

// NodesToNotify lists hosts whose last offer no longer matches their target by much,
// so that they should be offered anew at once.
func (granter *Granter) NodesToNotify(now time.Time) []id.Node {
	granter.expire(now)
	granter.refresh(now)
	var pending []id.Node
	for node, holder := range granter.holders {
		last := holder.offers[len(holder.offers)-1]
		for clientAccount, limit := range granter.limits {
			target := smaller(granter.targets[clientAccount][node], granter.room(node, clientAccount, limit))
			if differsMuch(target, last.QuotaByClientAccount[clientAccount], limit) {
				pending = append(pending, node)
				break
			}
		}
	}
	slices.Sort(pending)
	return pending
}

func differsMuch(a, b, limit Quota) bool {
	const fraction = 0.05
	return math.Abs(a.RequestsPerSecond-b.RequestsPerSecond) > fraction*limit.RequestsPerSecond ||
		math.Abs(a.TokensPerSecond-b.TokensPerSecond) > fraction*limit.TokensPerSecond ||
		math.Abs(a.Concurrency-b.Concurrency) >= max(1, fraction*limit.Concurrency)
}

// refresh works out the targets of all hosts when they are old.
func (granter *Granter) refresh(now time.Time) {
	if !granter.stale && now.Sub(granter.refreshed) < refreshEvery {
		return
	}
	granter.refreshed, granter.stale = now, false
	granter.targets = map[id.ClientAccount]map[id.Node]Quota{}
	nodes := slices.Sorted(maps.Keys(granter.holders))
	demands := make([]Quota, len(nodes))
	for clientAccount, limit := range granter.limits {
		for index, node := range nodes {
			demands[index] = granter.holders[node].demand[clientAccount]
		}
		requests := split(limit.RequestsPerSecond, column(demands, func(part Quota) float64 { return part.RequestsPerSecond }))
		tokens := split(limit.TokensPerSecond, column(demands, func(part Quota) float64 { return part.TokensPerSecond }))
		concurrency := splitWhole(limit.Concurrency, column(demands, func(part Quota) float64 { return part.Concurrency }))
		parts := make(map[id.Node]Quota, len(nodes))
		for index, node := range nodes {
			parts[node] = Quota{requests[index], tokens[index], concurrency[index]}
		}
		granter.targets[clientAccount] = parts
	}
}

func column(parts []Quota, field func(Quota) float64) []float64 {
	values := make([]float64, len(parts))
	for index, part := range parts {
		values[index] = max(0, field(part))
	}
	return values
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// split gives each its demand and the rest evenly; when demand passes the
// limit it gives each its part by demand.
func split(limit float64, demands []float64) []float64 {
	total := sum(demands)
	parts := make([]float64, len(demands))
	for index, demand := range demands {
		if total > limit {
			parts[index] = limit * demand / total
			continue
		}
		parts[index] = demand + (limit-total)/float64(len(demands))
	}
	return parts
}

// splitWhole is split in whole units; what is left after rounding down goes to
// the largest remainders, the earliest host first among equals.
func splitWhole(limit float64, demands []float64) []float64 {
	limit = math.Floor(limit)
	exact := split(limit, demands)
	parts := make([]float64, len(demands))
	order := make([]int, len(demands))
	left := limit
	for index := range exact {
		parts[index] = math.Floor(exact[index])
		left -= parts[index]
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(exact[b]-parts[b], exact[a]-parts[a])
	})
	for position := 0; position < len(order) && left >= 1; position++ {
		parts[order[position]]++
		left--
	}
	return parts
}

func smaller(a, b Quota) Quota {
	return Quota{min(a.RequestsPerSecond, b.RequestsPerSecond), min(a.TokensPerSecond, b.TokensPerSecond), min(a.Concurrency, b.Concurrency)}
}

func larger(a, b Quota) Quota {
	return Quota{max(a.RequestsPerSecond, b.RequestsPerSecond), max(a.TokensPerSecond, b.TokensPerSecond), max(a.Concurrency, b.Concurrency)}
}
