package member

import (
	"maps"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/view"
)

// coldAllocations is what the leader last allocated to this node of the requests to cold endpoints.
type coldAllocations struct {
	term       id.Term
	byEndpoint map[feed.Endpoint]int
	// until is the end of the lease under which the leader allocated them.
	until time.Time
	// changes counts the changes of byEndpoint.
	changes uint64
}

// update takes over what the leader of a term allocates until a time. A new leader allocates
// nothing until the leases of the one before have ended; what that one allocated holds
// until then.
func (allocations *coldAllocations) update(now time.Time, term id.Term, until time.Time, byEndpoint map[feed.Endpoint]int) {
	if term != allocations.term && len(byEndpoint) == 0 && now.Before(allocations.until) {
		return
	}
	if !maps.Equal(allocations.byEndpoint, byEndpoint) {
		allocations.changes++
	}
	allocations.term, allocations.byEndpoint, allocations.until = term, byEndpoint, until
}

// cold returns the limit for an endpoint of a service whose requests go to a host.
func (member *Member) cold(service id.Service, name feed.Endpoint, host *roster.Member) view.Cold {
	if member.declaration == nil {
		return view.Cold{}
	}
	declared, ok := member.declaration.Declaration.Service(service)
	if !ok {
		return view.Cold{}
	}
	if _, limited := declared.ColdRequests(); !limited {
		return view.Cold{}
	}
	return view.Cold{Limited: true, Until: host.ColdUntil, Allocated: member.coldAllocations.byEndpoint[name], AllocatedUntil: member.coldAllocations.until}
}

// takesCold reports whether the leader accepts the fields of requests that are about cold
// endpoints.
func (member *Member) takesCold() bool {
	return member.leader != "" && member.takesColdLeader == member.leader
}
