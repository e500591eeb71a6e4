// Package view holds what a node's request path sees: an immutable picture of
// the contracts, endpoints and grants at one moment. A request takes one view
// when it enters and never locks control state.
//
// # Usage
//
//	current := views.Load()
//	customer, ok := current.Authenticate(token)
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
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/routing"
)

// Endpoint is a group or a host of a plain service that may take work.
type Endpoint struct {
	Name    feed.Endpoint
	Model   id.Model
	Service id.Service
	// EngineService is the service of a group that is opened and closed by order.
	EngineService id.Service
	// Host is what answers at Address: the group's head, or the host itself.
	Host       id.Host
	Address    string
	DataCentre id.DataCentre
	Fencing    id.FencingToken
	Resumes    bool
	Load       roster.Load
	// Prefixes are the prompt prefixes that the endpoint says it has cached.
	Prefixes []uint32
	// Report counts the announcements of the host that Load came from.
	Report uint64
	// Accepting is false for an endpoint that only finishes its work.
	Accepting bool
	// ValidUntil is when the first lease of its hosts runs out.
	ValidUntil time.Time
	// RunningElsewhere counts the calls that other nodes had in progress there when
	// they last reported.
	RunningElsewhere int
	// Stalled says that some node's calls there stand still.
	Stalled bool
}

// Set is the endpoints that serve one model or service, by name. Sets with
// equal fingerprints hold endpoints of the same names in the same places.
type Set struct {
	Endpoints   []*Endpoint
	Fingerprint uint64
	// Holders are the places of the endpoints that have a prefix cached.
	Holders map[uint32][]int
}

// NewSet sorts endpoints into a set.
func NewSet(endpoints []*Endpoint) *Set {
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return a.Name.Compare(b.Name) })
	hash := fnv.New64a()
	for _, endpoint := range endpoints {
		_, _ = hash.Write([]byte(endpoint.Name.Group))
		_, _ = hash.Write([]byte{0})
		_, _ = hash.Write([]byte(endpoint.Name.Host))
		_, _ = hash.Write([]byte{0})
	}
	set := &Set{Endpoints: endpoints, Fingerprint: hash.Sum64(), Holders: map[uint32][]int{}}
	for place, endpoint := range endpoints {
		for _, prefix := range endpoint.Prefixes {
			set.Holders[prefix] = append(set.Holders[prefix], place)
		}
	}
	return set
}

// ClientAccount is a contract in force.
type ClientAccount struct {
	Contract contract.Contract
	Quota    granter.Quota
}

// View is one moment's picture. It never changes after it is published.
type View struct {
	Version id.Version
	// LeaseUntil is until when the node may take new work by this view.
	LeaseUntil time.Time
	// LeaseRenewedAt is when the lease began.
	LeaseRenewedAt time.Time
	// Stopping says that a planned stop of this node was asked for, Finished
	// that it is over and the process should exit.
	Stopping     bool
	StopFinished bool
	// Share is this node's part of the demand of all nodes.
	Share float64
	// Routing is the declaration in force; it is nil before the first one.
	Routing *routing.Table

	ClientAccounts map[id.ClientAccount]*ClientAccount
	Tokens         map[[sha256.Size]byte]id.ClientAccount
	Models         map[id.Model]*Set
	Services       map[id.Service]*Set
	Endpoints      map[feed.Endpoint]*Endpoint
}

// Empty is the view of a node that knows nothing yet.
func Empty() *View { return &View{} }

// Authenticate finds the customer that holds a bearer token. The token is
// looked up by its hash, and the hash is compared in constant time.
func (view *View) Authenticate(token string) (*ClientAccount, bool) {
	hash := sha256.Sum256([]byte(token))
	name, ok := view.Tokens[hash]
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

// AcceptsNewWork tells whether the node may take new work at a time.
func (view *View) AcceptsNewWork(now time.Time) bool {
	return now.Before(view.LeaseUntil) && !view.Stopping
}

// LeaseIsFresh tells whether the lease was renewed so lately that the node may take
// callers who stay: one that has lost touch should have few left when its lease
// ends.
func (view *View) LeaseIsFresh(now time.Time) bool {
	return view.AcceptsNewWork(now) && now.Before(view.LeaseRenewedAt.Add(touchTime))
}

// touchTime is how old the last answer of control may be for that.
const touchTime = 2 * time.Second

// Valid tells whether an endpoint is whole and still the one that a call
// started on.
func (view *View) Valid(now time.Time, name feed.Endpoint, fencing id.FencingToken) bool {
	endpoint := view.Endpoints[name]
	return endpoint != nil && endpoint.Fencing == fencing && now.Before(endpoint.ValidUntil)
}
