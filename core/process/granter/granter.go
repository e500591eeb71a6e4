// Package granter divides the limits of each contract among the nodes on the entry
// hosts. Each node holds a quota under a lease. Quotas follow demand, and their sum
// never exceeds the contract: a quota counts in full until its holder has
// acknowledged a smaller one or its lease has run out.
//
// # Usage
//
//	grants := granter.New(now, lease)
//	grants.SetLimits(limits)
//	grant := grants.Allocate(now, granter.Request{Node: "n1", HeldGrant: held, DemandByClientAccount: demand})
package granter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"carobline.dev/core/id"
)

// Quota is an amount of each limit of a contract.
type Quota struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Concurrency       float64 `json:"concurrency"`
}

// Serial numbers the grants to one node.
type Serial uint64

// Request is one node's report of its grant and its demand.
type Request struct {
	Node id.Node `json:"node"`
	// HeldGrant is the last grant that the node received. It has no quotas if its
	// lease has run out.
	HeldGrant             Grant                      `json:"held"`
	DemandByClientAccount map[id.ClientAccount]Quota `json:"demand,omitempty"`
}

// Grant is the quota that a node may use until its lease ends.
type Grant struct {
	Serial               Serial                     `json:"serial"`
	QuotaByClientAccount map[id.ClientAccount]Quota `json:"parts,omitempty"`
}

// holder is what the granter holds of one node.
type holder struct {
	leaseExpiry           time.Time
	demandByClientAccount map[id.ClientAccount]Quota
	// grants are those that may still be in use: the last acknowledged one and all
	// later ones.
	grants     []Grant
	nextSerial Serial
	// inUseByClientAccount is the most that the node may be using by any of them.
	inUseByClientAccount map[id.ClientAccount]amount
}

const (
	// minTargetInterval and targetIntervalPerNode times the number of nodes bound how
	// often the targets are updated, so that the time that this takes doesn't grow
	// faster than the number of contracts.
	minTargetInterval     = 20 * time.Millisecond
	targetIntervalPerNode = time.Millisecond
	// staleIntervalPerNode is the same where the limits or the holders have changed.
	staleIntervalPerNode = 100 * time.Microsecond
)

// Granter divides limits. It isn't safe for concurrent use.
type Granter struct {
	lease                time.Duration
	startedAt            time.Time
	limitByClientAccount map[id.ClientAccount]amount
	holderByNode         map[id.Node]*holder
	// noExpiryBefore is the earliest time at which the lease of a holder can end.
	noExpiryBefore time.Time
	// inUseByClientAccount is the sum over all holders.
	inUseByClientAccount map[id.ClientAccount]amount

	targetsUpdatedAt      time.Time
	targetsStale          bool
	targetByClientAccount map[id.ClientAccount]map[id.Node]amount
	// nodesToNotify holds the nodes whose grant differs notably from the targets.
	nodesToNotify map[id.Node]bool
}

// New returns a granter for one term of a leader. During the first lease it grants
// no node more than that node already held: nodes that haven't reported yet may
// still hold quotas of an earlier term.
func New(now time.Time, lease time.Duration) *Granter {
	return &Granter{
		lease: lease, startedAt: now, holderByNode: map[id.Node]*holder{}, targetsStale: true,
		inUseByClientAccount: map[id.ClientAccount]amount{}, nodesToNotify: map[id.Node]bool{},
	}
}

// SetLimits sets the limits of the contracts in force.
func (granter *Granter) SetLimits(limits map[id.ClientAccount]Quota) {
	limitByClientAccount := make(map[id.ClientAccount]amount, len(limits))
	for clientAccount, limit := range limits {
		limitByClientAccount[clientAccount] = roundDown(limit)
	}
	if maps.Equal(granter.limitByClientAccount, limitByClientAccount) {
		return
	}
	granter.limitByClientAccount = limitByClientAccount
	granter.targetsStale = true
}

// Allocate records a node's grant and demand, and returns the grant that it may use
// from now on. The granter counts that grant for one lease from now.
func (granter *Granter) Allocate(now time.Time, request Request) Grant {
	granter.expireHolders(now)
	requester := granter.holderByNode[request.Node]
	if requester == nil {
		requester = &holder{nextSerial: request.HeldGrant.Serial + 1}
		requester.grants = []Grant{request.HeldGrant}
		granter.holderByNode[request.Node] = requester
		granter.targetsStale = true
	}
	requester.demandByClientAccount = request.DemandByClientAccount
	requester.acknowledge(request.HeldGrant)
	granter.updateTargets(now)
	granter.countInUse(requester)
	grant := granter.grant(now, request.Node, requester)
	granter.countInUse(requester)
	requester.leaseExpiry = now.Add(granter.lease)
	delete(granter.nodesToNotify, request.Node)
	return grant
}

// acknowledge drops the grants before the one that the node has received.
func (holder *holder) acknowledge(held Grant) {
	if held.Serial >= holder.nextSerial {
		// The node holds a grant of an earlier term, which counts as it is.
		holder.grants = append(holder.grants, held)
		holder.nextSerial = held.Serial + 1
	}
	holder.grants = slices.DeleteFunc(holder.grants, func(grant Grant) bool { return grant.Serial < held.Serial })
}

// countInUse updates what a holder may be using, and the sum over all holders. It
// takes one step for each contract, however many holders there are.
func (granter *Granter) countInUse(holder *holder) {
	inUse := map[id.ClientAccount]amount{}
	for _, grant := range holder.grants {
		for clientAccount, quota := range grant.QuotaByClientAccount {
			inUse[clientAccount] = inUse[clientAccount].max(roundUp(quota))
		}
	}
	granter.removeInUse(holder)
	holder.inUseByClientAccount = inUse
	for clientAccount, used := range inUse {
		granter.inUseByClientAccount[clientAccount] = granter.inUseByClientAccount[clientAccount].plus(used)
	}
}

func (granter *Granter) removeInUse(holder *holder) {
	for clientAccount, used := range holder.inUseByClientAccount {
		granter.inUseByClientAccount[clientAccount] = granter.inUseByClientAccount[clientAccount].minus(used)
	}
}

// expireHolders drops nodes whose leases have run out.
func (granter *Granter) expireHolders(now time.Time) {
	if now.Before(granter.noExpiryBefore) {
		return
	}
	granter.noExpiryBefore = now.Add(granter.lease)
	for node, holder := range granter.holderByNode {
		if now.Before(holder.leaseExpiry) {
			granter.noExpiryBefore = minTime(granter.noExpiryBefore, holder.leaseExpiry)
			continue
		}
		granter.removeInUse(holder)
		delete(granter.holderByNode, node)
		delete(granter.nodesToNotify, node)
		granter.targetsStale = true
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// grant returns a node's current grant, or a new one if its quotas have changed.
func (granter *Granter) grant(now time.Time, node id.Node, requester *holder) Grant {
	quotas := map[id.ClientAccount]Quota{}
	firstLeaseOver := !now.Before(granter.startedAt.Add(granter.lease))
	for clientAccount := range granter.limitByClientAccount {
		quota := granter.target(node, requester, clientAccount)
		if !firstLeaseOver {
			quota = quota.min(requester.inUseByClientAccount[clientAccount])
		}
		if quota != (amount{}) {
			quotas[clientAccount] = quota.quota()
		}
	}
	current := requester.grants[len(requester.grants)-1]
	if maps.Equal(current.QuotaByClientAccount, quotas) {
		return current
	}
	grant := Grant{Serial: requester.nextSerial, QuotaByClientAccount: quotas}
	requester.nextSerial++
	requester.grants = append(requester.grants, grant)
	return grant
}

// target returns a node's target of one client account's limits, as far as the other
// nodes leave it.
func (granter *Granter) target(node id.Node, holder *holder, clientAccount id.ClientAccount) amount {
	others := granter.inUseByClientAccount[clientAccount].minus(holder.inUseByClientAccount[clientAccount])
	available := granter.limitByClientAccount[clientAccount].minus(others).max(amount{})
	return granter.targetByClientAccount[clientAccount][node].min(available)
}

// NodesToNotify returns the nodes whose current grant differs notably from what
// they would be granted, so that they should be sent a new grant at once.
func (granter *Granter) NodesToNotify(now time.Time) []id.Node {
	granter.expireHolders(now)
	granter.updateTargets(now)
	return slices.Sorted(maps.Keys(granter.nodesToNotify))
}

// findNodesToNotify compares all grants with the targets.
func (granter *Granter) findNodesToNotify() {
	clear(granter.nodesToNotify)
	for node, holder := range granter.holderByNode {
		current := holder.grants[len(holder.grants)-1]
		for clientAccount, limit := range granter.limitByClientAccount {
			target := granter.target(node, holder, clientAccount)
			if differsMuch(target.quota(), current.QuotaByClientAccount[clientAccount], limit.quota()) {
				granter.nodesToNotify[node] = true
				break
			}
		}
	}
}

// differsMuch reports whether two quotas differ by more than a twentieth of the
// limit, or in concurrency by at least a twentieth and at least 1.
func differsMuch(a, b, limit Quota) bool {
	const fraction = 0.05
	return math.Abs(a.RequestsPerSecond-b.RequestsPerSecond) > fraction*limit.RequestsPerSecond ||
		math.Abs(a.TokensPerSecond-b.TokensPerSecond) > fraction*limit.TokensPerSecond ||
		math.Abs(a.Concurrency-b.Concurrency) >= max(1, fraction*limit.Concurrency)
}

// updateTargets computes the target quotas of all nodes if the last ones are out of
// date.
func (granter *Granter) updateTargets(now time.Time) {
	interval := max(minTargetInterval, time.Duration(len(granter.holderByNode))*targetIntervalPerNode)
	if granter.targetsStale {
		interval = time.Duration(len(granter.holderByNode)) * staleIntervalPerNode
	}
	if now.Sub(granter.targetsUpdatedAt) < interval {
		return
	}
	granter.targetsUpdatedAt, granter.targetsStale = now, false
	granter.targetByClientAccount = map[id.ClientAccount]map[id.Node]amount{}
	// The order is fixed because sums of floating-point numbers depend on it.
	nodes := slices.Sorted(maps.Keys(granter.holderByNode))
	demands := make([]Quota, len(nodes))
	for clientAccount, whole := range granter.limitByClientAccount {
		limit := whole.quota()
		for index, node := range nodes {
			demands[index] = granter.holderByNode[node].demandByClientAccount[clientAccount]
		}
		requests := splitByDemand(limit.RequestsPerSecond, fieldValues(demands, func(quota Quota) float64 { return quota.RequestsPerSecond }))
		tokens := splitByDemand(limit.TokensPerSecond, fieldValues(demands, func(quota Quota) float64 { return quota.TokensPerSecond }))
		concurrency := splitWholeUnits(limit.Concurrency, fieldValues(demands, func(quota Quota) float64 { return quota.Concurrency }))
		targets := make(map[id.Node]amount, len(nodes))
		for index, node := range nodes {
			targets[node] = roundDown(Quota{requests[index], tokens[index], concurrency[index]})
		}
		granter.targetByClientAccount[clientAccount] = targets
	}
	granter.findNodesToNotify()
}

// fieldValues returns one field of each quota, with negative values raised to 0.
func fieldValues(quotas []Quota, field func(Quota) float64) []float64 {
	values := make([]float64, len(quotas))
	for index, quota := range quotas {
		values[index] = max(0, field(quota))
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

// splitByDemand divides a limit by demand. If the demands exceed the limit each
// gets a part in proportion to its demand; otherwise each gets its demand and an
// even part of the rest.
func splitByDemand(limit float64, demands []float64) []float64 {
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

// splitWholeUnits divides a limit like splitByDemand, but into whole units. What is
// left after rounding down goes to the largest remainders, and among equals to the
// first.
func splitWholeUnits(limit float64, demands []float64) []float64 {
	limit = math.Floor(limit)
	exact := splitByDemand(limit, demands)
	parts := make([]float64, len(demands))
	order := make([]int, len(demands))
	remaining := limit
	for index := range exact {
		parts[index] = math.Floor(exact[index])
		remaining -= parts[index]
		order[index] = index
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(exact[b]-parts[b], exact[a]-parts[a])
	})
	for position := 0; position < len(order) && remaining >= 1; position++ {
		parts[order[position]]++
		remaining--
	}
	return parts
}
