// Package view holds what the request path of a node reads: an immutable
// snapshot of the contracts, endpoints and quotas at one moment. A request takes
// one view when it arrives and never locks control state.
//
// # Usage
//
//	current := views.Load()
//	clientAccount, ok := current.Authenticate(token)
//	endpoints := current.Models[model]
package view

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/routing"
)

// Endpoint is a group, or a host of a plain service, that may take work.
type Endpoint struct {
	Name    feed.Endpoint
	Model   id.Model
	Service id.Service
	// EngineService is the service of a group that the leader opens and closes by
	// orders to its hosts.
	EngineService id.Service
	// Host is the host that serves at Address: the group's head, or the host of
	// the plain service.
	Host id.Host
	// Incarnation is that of Host.
	Incarnation id.Incarnation
	Address     string
	DataCentre  id.DataCentre
	Fencing     id.FencingToken
	Resumes     bool
	Load        roster.Load
	// Prefixes are the hashes of the prompt prefixes that the endpoint reports
	// as cached.
	Prefixes []uint32
	// AnnouncementSequence is the sequence number of the host's announcement that
	// Load came from.
	AnnouncementSequence uint64
	// Accepting is false for an endpoint that drains or whose data centre is evacuated: it
	// finishes its calls and takes no more.
	Accepting bool
	// ValidUntil is when the first lease of its hosts expires, or for a group of
	// an EngineService, when the node's own lease does.
	ValidUntil time.Time
	// RunningElsewhere counts the calls in progress there of other nodes, by their
	// last reports.
	RunningElsewhere int
	// Stalled is set when some node reports its calls there as stalled.
	Stalled bool
	// Cold is the limit on requests while the endpoint is cold.
	Cold Cold
}

// Cold is the limit on the requests that this node may send to an endpoint while it is cold.
type Cold struct {
	// Limited is set if the service has a limit for cold endpoints. Nothing else is set
	// otherwise.
	Limited bool
	// Until is the end of the cold time, or zero.
	Until time.Time
	// Allocated is how many requests the node may send in any second, until AllocatedUntil.
	Allocated      int
	AllocatedUntil time.Time
}

// IsCold reports whether the endpoint is known to be cold.
func (cold *Cold) IsCold(now time.Time) bool { return cold.Limited && now.Before(cold.Until) }

// Set is the endpoints that serve one model or service, sorted by name. Sets
// with equal fingerprints hold endpoints of the same names at the same indexes.
type Set struct {
	Endpoints   []*Endpoint
	Fingerprint uint64
	// IndexesByPrefix lists the indexes in Endpoints of those that report a
	// prefix as cached.
	IndexesByPrefix map[uint32][]int
}

// NewSet sorts endpoints in place and returns them as a set.
func NewSet(endpoints []*Endpoint) *Set {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return a.Name.Compare(b.Name) })
	hash := fnv.New64a()
	for _, endpoint := range endpoints {
		_, _ = hash.Write([]byte(endpoint.Name.Group))
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(endpoint.Name.Host))
		_, _ = hash.Write([]byte{0})
	}
	set := &Set{Endpoints: endpoints, Fingerprint: hash.Sum64(), IndexesByPrefix: map[uint32][]int{}}
	for index, endpoint := range endpoints {
		for _, prefix := range endpoint.Prefixes {
			set.IndexesByPrefix[prefix] = append(set.IndexesByPrefix[prefix], index)
		}
	}
	return set
}

// ClientAccount is a contract in force and this node's quota of its limits.
type ClientAccount struct {
	Contract contract.Contract
	Quota    granter.Quota
}

// View is a snapshot. It never changes after it is published.
type View struct {
	Version id.Version
	// LeaseUntil is until when the node may take new work by this view.
	LeaseUntil time.Time
	// LeaseRenewedAt is when the lease began.
	LeaseRenewedAt time.Time
	// Stopping is set once a planned stop of this node was requested, StopFinished
	// once it is complete and the process should exit.
	Stopping     bool
	StopFinished bool
	// Share is this node's part of the demand of all nodes.
	Share float64
	// Routing is the declaration in force; it is nil before the first one.
	Routing *routing.Table
	// RoutingDelay is how long after the leader's use of it this node began to use
	// Routing, at most.
	RoutingDelay time.Duration
	// Blocks are the parts of prompts that requests are blocked for, and SuspectParts
	// those that the leader lists as suspect.
	Blocks       register.PartsBlocks
	SuspectParts []id.PromptPart
	// EvacuatedDataCentres are those whose endpoints get no new calls. EvacuatedModels and
	// EvacuatedServices are the models and services with endpoints there.
	EvacuatedDataCentres []id.DataCentre
	EvacuatedModels      map[id.Model]bool
	EvacuatedServices    map[id.Service]bool

	ClientAccounts map[id.ClientAccount]*ClientAccount
	// ClientAccountByTokenHash is keyed by the SHA-256 of a bearer token.
	ClientAccountByTokenHash map[[sha256.Size]byte]id.ClientAccount
	Models                   map[id.Model]*Set
	Services                 map[id.Service]*Set
	Endpoints                map[feed.Endpoint]*Endpoint
}

// Empty returns a view without a lease, as a node has it before its first
// exchange with the leader.
func Empty() *View { return &View{} }

// Authenticate returns the client account that holds a bearer token, or false
// when there is none. The token is looked up by its hash, and the hash is
// compared in constant time.
func (view *View) Authenticate(token string) (*ClientAccount, bool) {
	hash := sha256.Sum256([]byte(token))
	name, ok := view.ClientAccountByTokenHash[hash]
	if !ok {
		return nil, false
	}
	clientAccount := view.ClientAccounts[name]
	want := hex.EncodeToString(hash[:])
	for _, known := range clientAccount.Contract.TokenSHA256 {
		if subtle.ConstantTimeCompare([]byte(known), []byte(want)) == 1 {
			return clientAccount, true
		}
	}
	return nil, false
}

// ColdEndpoints counts the endpoints with a limit that are known to be cold.
func (view *View) ColdEndpoints(now time.Time) int {
	count := 0
	for _, endpoint := range view.Endpoints {
		if endpoint.Cold.IsCold(now) {
			count++
		}
	}
	return count
}

// AcceptsNewWork reports whether the node may take new work at a time: its lease
// is valid and it isn't stopping.
func (view *View) AcceptsNewWork(now time.Time) bool {
	return now.Before(view.LeaseUntil) && !view.Stopping
}

// LeaseIsFresh reports whether the node accepts new work and its lease was
// renewed within freshLeaseAge. A node that can't reach the leader refuses new
// callers before its lease ends, so that few calls are left when it ends.
func (view *View) LeaseIsFresh(now time.Time) bool {
	return view.AcceptsNewWork(now) && now.Before(view.LeaseRenewedAt.Add(freshLeaseAge))
}

// freshLeaseAge is how long after its renewal a lease counts as fresh.
const freshLeaseAge = 2 * time.Second

// Evacuated reports whether the endpoints of a data centre get no new calls.
func (view *View) Evacuated(dataCentre id.DataCentre) bool {
	return slices.Contains(view.EvacuatedDataCentres, dataCentre)
}

// MayStart reports whether a call that was assigned to an endpoint may still be sent there:
// the lease is valid, the endpoint is, and its data centre isn't evacuated.
func (view *View) MayStart(now time.Time, endpoint *Endpoint) bool {
	return now.Before(view.LeaseUntil) && view.Valid(now, endpoint.Name, endpoint.Fencing) && !view.Evacuated(endpoint.DataCentre)
}

// Valid reports whether an endpoint still has the fencing token that it had when
// a call started on it, and its ValidUntil hasn't passed.
func (view *View) Valid(now time.Time, name feed.Endpoint, fencing id.FencingToken) bool {
	endpoint := view.Endpoints[name]
	return endpoint != nil && endpoint.Fencing == fencing && now.Before(endpoint.ValidUntil)
}
