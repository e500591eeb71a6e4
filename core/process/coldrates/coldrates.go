// Package coldrates divides, on the leader, the requests per second that each cold endpoint
// takes among the nodes that forward calls. An allocation is a whole number of requests in any
// second. The allocations of an endpoint never add up to more than it takes: each counts until
// the lease of its node has ended, and for another second, in which the last requests under it
// count. Allocations stay as they are while the endpoint is cold; only those of nodes whose
// lease has ended go to others.
//
// A leader divides nothing until the leases of its predecessor's allocations have ended.
//
// # Usage
//
//	rates := coldrates.New(now, lease)
//	rates.Report(now, node, true)
//	for _, division := range rates.SetCold(now, cold) { ... }
//	allocations := rates.Grant(now, node)
package coldrates

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/coldlimit"
)

// recentReport is how long after its last report a node gets allocations. One that reports later
// refuses new callers.
const recentReport = 2 * time.Second

// Node is one incarnation of a node. Requests of an earlier one count apart, as its process
// may still run.
type Node struct {
	Name        id.Node
	Incarnation id.Incarnation
}

// Cold is a cold endpoint and the whole requests per second that it takes.
type Cold struct {
	Endpoint  feed.Endpoint
	PerSecond int
}

// Division is a new or changed division of an endpoint's requests.
type Division struct {
	Cold
	AllocationByNode map[Node]int
}

// holder is what is known of one node.
type holder struct {
	reportedAt time.Time
	// limits is set if the node keeps to its allocations and may get some.
	limits bool
	// countsUntil is when the requests that its allocations allow no longer count.
	countsUntil          time.Time
	allocationByEndpoint map[feed.Endpoint]int
}

// division is the division of one endpoint's requests. It is kept until the leases under
// which it was granted have ended, so that an endpoint which turns cold again is divided in
// the same way.
type division struct {
	limit int
	// used is the sum of allocationByNode.
	used             int
	allocationByNode map[Node]int
	cold             bool
	coldAt           time.Time
	// notBefore is when allocations may be given again after the limit was lowered.
	notBefore time.Time
}

// Rates holds the divisions of one term. It isn't safe for concurrent use.
type Rates struct {
	lease              time.Duration
	quietUntil         time.Time
	holderByNode       map[Node]*holder
	divisionByEndpoint map[feed.Endpoint]*division
	// nextNode is the position among the nodes at which the next division begins, so that
	// the allocations of all endpoints spread evenly.
	nextNode int
}

// New returns the rates of a leader whose term begins now. lease is the longest lease of a
// node, by any clock.
func New(now time.Time, lease time.Duration) *Rates {
	return &Rates{lease: lease, quietUntil: now.Add(lease + coldlimit.Window), holderByNode: map[Node]*holder{}, divisionByEndpoint: map[feed.Endpoint]*division{}}
}

// Report records a node's request. limits is set if the node forwards calls and keeps to
// its allocations.
func (rates *Rates) Report(now time.Time, node Node, limits bool) {
	known := rates.holderByNode[node]
	if known == nil {
		known = &holder{allocationByEndpoint: map[feed.Endpoint]int{}, countsUntil: now.Add(rates.lease + coldlimit.Window)}
		rates.holderByNode[node] = known
		for other, earlier := range rates.holderByNode {
			if other.Name == node.Name && other.Incarnation < node.Incarnation {
				earlier.limits = false
			}
		}
	}
	known.reportedAt, known.limits = now, limits
}

// Grant returns the allocations that a node may use for one lease from now.
func (rates *Rates) Grant(now time.Time, node Node) map[feed.Endpoint]int {
	known := rates.holderByNode[node]
	if known == nil || !known.limits {
		return nil
	}
	known.countsUntil = now.Add(rates.lease + coldlimit.Window)
	var allocations map[feed.Endpoint]int
	for endpoint, allocation := range known.allocationByEndpoint {
		if !rates.divisionByEndpoint[endpoint].cold {
			continue
		}
		if allocations == nil {
			allocations = map[feed.Endpoint]int{}
		}
		allocations[endpoint] = allocation
	}
	return allocations
}

// SetCold sets which endpoints are cold now, and returns the divisions that are new or have
// changed, sorted by endpoint.
func (rates *Rates) SetCold(now time.Time, cold []Cold) []Division {
	rates.dropHolders(now)
	for _, known := range rates.divisionByEndpoint {
		known.cold = false
	}
	var changed []Division
	nodes := sync.OnceValue(func() []Node { return rates.eligibleNodes(now) })
	for _, entry := range cold {
		known := rates.division(now, entry)
		known.cold, known.coldAt = true, now
		if known.used >= known.limit || now.Before(rates.quietUntil) || now.Before(known.notBefore) {
			continue
		}
		if len(nodes()) == 0 {
			continue
		}
		rates.fill(entry.Endpoint, known, nodes())
		changed = append(changed, Division{Cold: entry, AllocationByNode: maps.Clone(known.allocationByNode)})
	}
	rates.dropDivisions(now)
	slices.SortFunc(changed, func(a, b Division) int { return a.Endpoint.Compare(b.Endpoint) })
	return changed
}

// division returns the division of an endpoint with the limit that is declared now. If its
// allocations exceed a lowered limit, they are withdrawn, and none is given until they no longer count.
func (rates *Rates) division(now time.Time, entry Cold) *division {
	known := rates.divisionByEndpoint[entry.Endpoint]
	if known == nil {
		known = &division{allocationByNode: map[Node]int{}}
		rates.divisionByEndpoint[entry.Endpoint] = known
	}
	known.limit = entry.PerSecond
	if known.used > known.limit {
		rates.withdraw(entry.Endpoint, known)
		known.notBefore = now.Add(rates.lease + coldlimit.Window)
	}
	return known
}

func (rates *Rates) withdraw(endpoint feed.Endpoint, known *division) {
	for node := range known.allocationByNode {
		delete(rates.holderByNode[node].allocationByEndpoint, endpoint)
	}
	clear(known.allocationByNode)
	known.used = 0
}

// eligibleNodes returns the nodes that may get allocations, in an order that is the same for the
// same nodes and doesn't follow their names.
func (rates *Rates) eligibleNodes(now time.Time) []Node {
	var nodes []Node
	for node, known := range rates.holderByNode {
		if known.limits && now.Sub(known.reportedAt) <= recentReport {
			nodes = append(nodes, node)
		}
	}
	hashes := make(map[Node]uint64, len(nodes))
	for _, node := range nodes {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(node.Name))
		hashes[node] = hash.Sum64()
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return nodes
}

// fill gives what is left of an endpoint's requests to the nodes, one request at a time to
// those with the fewest.
func (rates *Rates) fill(endpoint feed.Endpoint, known *division, nodes []Node) {
	for least := 1; known.used < known.limit; least++ {
		for range nodes {
			node := nodes[rates.nextNode%len(nodes)]
			rates.nextNode++
			if known.allocationByNode[node] >= least {
				continue
			}
			known.allocationByNode[node]++
			rates.holderByNode[node].allocationByEndpoint[endpoint]++
			if known.used++; known.used == known.limit {
				return
			}
		}
	}
}

// dropHolders drops the nodes whose allocations no longer count.
func (rates *Rates) dropHolders(now time.Time) {
	for node, known := range rates.holderByNode {
		if now.Before(known.countsUntil) {
			continue
		}
		for endpoint, allocation := range known.allocationByEndpoint {
			division := rates.divisionByEndpoint[endpoint]
			division.used -= allocation
			delete(division.allocationByNode, node)
		}
		delete(rates.holderByNode, node)
	}
}

// dropDivisions drops the divisions of endpoints that have been warm until no allocation of them
// counts any more.
func (rates *Rates) dropDivisions(now time.Time) {
	for endpoint, known := range rates.divisionByEndpoint {
		if known.cold || now.Before(known.coldAt.Add(rates.lease+coldlimit.Window)) {
			continue
		}
		rates.withdraw(endpoint, known)
		delete(rates.divisionByEndpoint, endpoint)
	}
}
