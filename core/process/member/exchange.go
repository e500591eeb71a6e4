package member

import (
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// inFlight is a request that was sent to a node. It is overdue once
// Member.responseTimeout has passed.
type inFlight struct {
	to            id.Node
	sentAt        time.Time
	announcements []roster.RelayedAnnouncement
	// runningByEndpoint are the node's calls that the request reported.
	runningByEndpoint map[feed.Endpoint]int
	// crashes are those that the request reported.
	crashes []crashKey
	overdue bool
}

// handleResponse applies the leader's response to one request. Responses that
// were overtaken by a later one are ignored.
func (member *Member) handleResponse(now time.Time, response feed.Response) {
	request := member.inFlightByNumber[response.Number]
	if request == nil || response.Number <= member.lastProcessedNumber {
		member.exchanges.Dropped++
		return
	}
	sentAt := request.sentAt
	member.exchanges.Answered++
	member.exchanges.LongestRoundTrip = max(member.exchanges.LongestRoundTrip, now.Sub(sentAt))
	member.lastProcessedNumber = response.Number
	member.consecutiveFailures, member.nextSendAt = 0, now
	member.forgetThrough(response.Number)
	member.leader, member.contactAt = response.Leader, sentAt
	if response.TakesRuns {
		member.takesRuns = response.Leader
	}
	if response.TakesCold {
		member.takesColdLeader = response.Leader
	}
	if response.TakesOfferedWork {
		member.takesOfferedWork = response.Leader
	}
	if !member.applyDelta(response.Delta) {
		return
	}
	if response.Delta.Declared != nil {
		member.routingDelay = now.Sub(sentAt) + time.Duration(response.DeclaredAgeMS)*time.Millisecond
	}
	member.viewStale = true
	member.dropAccepted(response, request.announcements)
	// The stamp is advanced by the time since its receipt, so the echo is never
	// ahead of the leader's clock.
	member.leaderStamp, member.leaderStampAt = response.Stamp, now
	member.mergeRoster(now, sentAt, response)
	if response.Grant.Serial != member.grant.Serial {
		member.sendAtOnce = true
	}
	member.grant = response.Grant
	member.counts.update(now, response.Term, response.Share, response.RunningByEndpoint.Elsewhere(request.runningByEndpoint))
	member.stalledEndpoints = response.StalledEndpoints
	member.suspectParts = response.SuspectParts
	member.crashQueue.accept(response.Term, request.crashes)
	member.holdTime = time.Duration(response.HoldMS) * time.Millisecond
	if len(response.Voters) > 0 {
		member.voters = response.Voters
	}
	lease := sentAt.Add(time.Duration(response.LeaseMS) * time.Millisecond)
	if lease.After(member.leaseUntil) {
		member.leaseRenewedAt, member.leaseUntil = sentAt, lease
	}
	member.coldAllocations.update(now, response.Term, lease, response.Cold)
}

// forgetThrough drops the request of this number and all earlier ones, which it
// has overtaken.
func (member *Member) forgetThrough(number uint64) {
	for sentNumber := range member.inFlightByNumber {
		if sentNumber <= number {
			delete(member.inFlightByNumber, sentNumber)
		}
	}
}

// dropAccepted drops the announcements that the leader accepted. The leader
// accepts none from a request whose age it can't bound, such as the first request
// to a new leader; they are then sent again at once.
func (member *Member) dropAccepted(response feed.Response, announcements []roster.RelayedAnnouncement) {
	if !response.AnnouncementsAccepted {
		member.sendAtOnce = member.sendAtOnce || len(member.unacceptedByHost) > 0
		return
	}
	for _, relayed := range announcements {
		member.dropUnaccepted(&relayed.Announcement)
		if relayed.Announcement.Leaving {
			member.awaitedCursorByHost[relayed.Announcement.Host] = response.Cursor
		}
	}
}

// dropUnaccepted drops what is queued for the leader of a host, unless it is newer than an
// announcement.
func (member *Member) dropUnaccepted(announcement *roster.Announcement) {
	queued := member.unacceptedByHost[announcement.Host]
	if queued.Incarnation <= announcement.Incarnation && (queued.Incarnation < announcement.Incarnation || queued.Sequence <= announcement.Sequence) {
		delete(member.unacceptedByHost, announcement.Host)
	}
}

// mergeRoster merges the hosts that the leader relays. Leases count from when the
// request was sent, so that a delayed response can't extend them.
func (member *Member) mergeRoster(now, sentAt time.Time, response feed.Response) {
	for _, relayed := range response.Roster {
		expiry := sentAt.Add(time.Duration(relayed.RemainingMS) * time.Millisecond)
		if relayed.Announcement.ColdRemainingMS > 0 {
			// Unlike a lease the cold time counts from the receipt: it must not end too early.
			relayed.Announcement.ColdRemainingMS += now.Sub(sentAt).Milliseconds() + 1
		}
		change := member.hosts.Merge(sentAt, relayed.Announcement, expiry)
		if change == roster.ChangeUrgent && relayed.Announcement.Leaving {
			member.exchanges.LongestLeave = max(member.exchanges.LongestLeave, now.Sub(expiry.Add(-relayed.Announcement.Lease())))
		}
	}
	for _, renewal := range response.Renewals {
		member.hosts.Renew(sentAt, renewal, sentAt.Add(time.Duration(renewal.RemainingMS)*time.Millisecond))
	}
	if response.Epoch != member.rosterEpoch {
		member.rosterEpoch, member.rosterCursor = response.Epoch, 0
		member.reofferDepartures(now)
	}
	maps.DeleteFunc(member.awaitedCursorByHost, func(_ id.Host, cursor uint64) bool { return cursor <= response.MajorityCursor })
	member.rosterCursor = max(member.rosterCursor, response.Cursor)
}

// reofferDepartures queues the departures that a new leader may not have, since the
// one before may have been lost before it sent them to any other node. A departure is
// announced only once, unlike all else about a host.
func (member *Member) reofferDepartures(now time.Time) {
	for _, host := range member.hosts.Members() {
		_, awaited := member.awaitedCursorByHost[host.Announcement.Host]
		if awaited || (member.config.HasDisk && host.Announcement.Leaving && now.Before(host.Expiry)) {
			member.unacceptedByHost[host.Announcement.Host] = host.Announcement
			member.sendAtOnce = true
		}
	}
	clear(member.awaitedCursorByHost)
}

// handleRedirect follows a redirect to the leader, or tries the next voter if it
// names no other node. A superseded request is forgotten, because the leader has received
// a later one, with the announcements that the leader has taken from it. Departures
// are kept until a response reports which cursor they have.
func (member *Member) handleRedirect(now time.Time, event Redirected) {
	request := member.inFlightByNumber[event.Number]
	if request == nil {
		return
	}
	delete(member.inFlightByNumber, event.Number)
	if event.Redirect.Superseded {
		for _, relayed := range request.announcements {
			if event.Redirect.AnnouncementsAccepted && !relayed.Announcement.Leaving {
				member.dropUnaccepted(&relayed.Announcement)
			}
		}
		return
	}
	member.addVoters(event.Redirect.Voters)
	switch leader := event.Redirect.Leader; {
	case leader == "" || leader == request.to:
		member.tryNextVoter(now)
	case member.owesResponse(now, leader):
		member.tryNextVoter(now)
		member.nextSendAt = now.Add(overdueProbeInterval)
	default:
		member.leader = leader
	}
}

// handleFailure retries after minSendInterval and tries the next voter after
// failuresToRotate failures in a row. Another voter is already being asked instead of
// one whose response was overdue.
func (member *Member) handleFailure(now time.Time, number uint64) {
	request := member.inFlightByNumber[number]
	if request == nil {
		return
	}
	delete(member.inFlightByNumber, number)
	member.exchanges.Failed++
	if request.overdue {
		return
	}
	member.consecutiveFailures++
	if member.consecutiveFailures >= failuresToRotate {
		member.tryNextVoter(now)
		return
	}
	member.nextSendAt = now.Add(minSendInterval)
}

// markOverdue asks another voter who leads once a response is overdue. The request
// stays in flight: a leader that is only late would have to answer it again.
func (member *Member) markOverdue(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(member.inFlightByNumber)) {
		request := member.inFlightByNumber[number]
		if now.Sub(request.sentAt) >= feed.Lease {
			// Its response couldn't renew a lease any more.
			delete(member.inFlightByNumber, number)
		}
		if request.overdue || now.Sub(request.sentAt) < member.responseTimeout() {
			continue
		}
		request.overdue = true
		member.exchanges.Overdue++
		member.tryNextVoter(now)
	}
}

// responseTimeout returns how long after a request its response is overdue.
func (member *Member) responseTimeout() time.Duration {
	return max(feed.LongPollTimeout, member.holdTime) + responseSlack
}

// owesResponse reports whether a node's response is overdue to a request, and too
// recently so to ask it again.
func (member *Member) owesResponse(now time.Time, node id.Node) bool {
	for _, request := range member.inFlightByNumber {
		if request.overdue && request.to == node && now.Sub(request.sentAt) < overdueRetryFactor*member.responseTimeout() {
			return true
		}
	}
	return false
}

// awaitsResponse reports whether a request is in flight whose response isn't overdue.
func (member *Member) awaitsResponse() bool {
	for _, request := range member.inFlightByNumber {
		if !request.overdue {
			return true
		}
	}
	return false
}

// tryNextVoter sends the next request to the next voter that doesn't owe a response,
// after voterRetryDelay. If all do, it waits.
func (member *Member) tryNextVoter(now time.Time) {
	member.consecutiveFailures = 0
	member.nextSendAt = now.Add(voterRetryDelay)
	for range member.voters {
		member.voterIndex++
		next := member.voters[member.voterIndex%len(member.voters)]
		if !member.owesResponse(now, next) {
			member.leader = next
			return
		}
	}
	member.nextSendAt = now.Add(overdueProbeInterval)
}

// handleUsage records the usage. The next request is sent at once if demand has
// risen above the quota (at most once per quotaRequestInterval), if Drained
// changes, if the node begins to stop, if an endpoint that drains becomes idle, or if more
// endpoints stall.
func (member *Member) handleUsage(now time.Time, report UsageReported) {
	if now.Sub(member.quotaRequestedAt) >= quotaRequestInterval && member.needsMoreQuota(report) {
		member.quotaRequestedAt, member.sendAtOnce = now, true
	}
	if report.Drained != member.usage.Drained || member.anyDrainingEndpointIdle(member.usage.RunningByEndpoint, report.RunningByEndpoint) {
		member.sendAtOnce = true
	}
	member.sendAtOnce = member.sendAtOnce || len(report.StalledEndpoints) > len(member.usage.StalledEndpoints)
	member.sendAtOnce = member.sendAtOnce || report.stopping() != member.usage.stopping()
	member.handleCrashes(now, &report)
	member.usage = report
}

// anyDrainingEndpointIdle reports whether the last call of an endpoint that takes no
// more has ended. The leader may be waiting for that.
func (member *Member) anyDrainingEndpointIdle(previous, current map[feed.Endpoint]int) bool {
	for endpoint := range previous {
		if current[endpoint] == 0 && member.drains(endpoint) {
			return true
		}
	}
	return false
}

// drains reports whether an endpoint takes no more calls: its group is being drained,
// or one of its hosts leaves or is covered by a planned stop.
func (member *Member) drains(endpoint feed.Endpoint) bool {
	hosts := []id.Host{endpoint.Host}
	if endpoint.Group != "" {
		group, ok := member.groupByID[endpoint.Group]
		if !ok {
			return false
		}
		if group.Phase != register.PhaseServing {
			return true
		}
		hosts = group.Hosts
	}
	return slices.ContainsFunc(hosts, member.leaves)
}

func (member *Member) leaves(host id.Host) bool {
	known, ok := member.hosts.Member(host)
	if !ok {
		return false
	}
	if known.Announcement.Leaving {
		return true
	}
	for _, stop := range member.stopByID {
		if stop.IncarnationByHost[host] == known.Announcement.Incarnation {
			return true
		}
	}
	return false
}

// needsMoreQuota reports whether the demand of a client account exceeds its quota
// and has risen since the last report, by more than a tenth for the rates.
func (member *Member) needsMoreQuota(report UsageReported) bool {
	for clientAccount, demand := range report.DemandByClientAccount {
		quota, previous := member.grant.QuotaByClientAccount[clientAccount], member.usage.DemandByClientAccount[clientAccount]
		if demand.Concurrency > quota.Concurrency && demand.Concurrency > previous.Concurrency {
			return true
		}
		const minGrowth = 1.1
		if demand.RequestsPerSecond > quota.RequestsPerSecond && demand.RequestsPerSecond > minGrowth*previous.RequestsPerSecond {
			return true
		}
		if demand.TokensPerSecond > quota.TokensPerSecond && demand.TokensPerSecond > minGrowth*previous.TokensPerSecond {
			return true
		}
	}
	return false
}

// nextRequest returns the next request, or nil. A request is sent if none is in
// flight, or at once if there is a change to report; never before nextSendAt.
func (member *Member) nextRequest(now time.Time) *Send {
	if len(member.voters) == 0 || now.Before(member.nextSendAt) || (member.awaitsResponse() && !member.sendAtOnce) {
		return nil
	}
	if member.leader == "" {
		member.leader = member.voters[member.voterIndex%len(member.voters)]
	}
	member.exchanges.Sent++
	member.sendAtOnce = false
	member.nextSendAt = now.Add(minSendInterval)
	member.lastNumber++
	announcements := member.unacceptedAnnouncements(now)
	run, observed := member.usage.Run, member.usage.Crashes
	if member.takesRuns != member.leader {
		run, observed = nil, provenCrashes(observed)
	}
	crashReports, crashes := member.crashQueue.unaccepted(now, observed, member.crashesInFlight())
	member.inFlightByNumber[member.lastNumber] = &inFlight{to: member.leader, sentAt: now, announcements: announcements, runningByEndpoint: member.usage.RunningByEndpoint, crashes: crashes}
	request := feed.Request{
		Node: member.config.Self, Incarnation: member.config.Incarnation, Number: member.lastNumber,
		Version: member.version, Epoch: member.rosterEpoch, Cursor: member.rosterCursor,
		Echo: member.leaderStamp.Advance(now.Sub(member.leaderStampAt)), Announcements: announcements,
		HeldGrant:             granter.Grant{Serial: member.grant.Serial, QuotaByClientAccount: member.heldQuota(now)},
		DemandByClientAccount: member.usage.DemandByClientAccount, RunningByEndpoint: member.usage.RunningByEndpoint, ActiveCalls: member.usage.ActiveCalls, Drained: member.usage.Drained,
		HasDisk: member.config.HasDisk, StalledEndpoints: member.usage.StalledEndpoints,
		Crashes: crashReports, SoundParts: member.usage.SoundParts, WantedTrials: member.usage.WantedTrials,
		Run: run, LimitsCold: member.takesCold() && !member.config.ControlOnly && !member.usage.Drained,
	}
	if reportDue := member.workReportedAt.IsZero() || now.Sub(member.workReportedAt) >= workReportInterval; reportDue && member.takesOfferedWork == member.leader {
		request.OfferedWork, member.workReportedAt = member.usage.OfferedWork, now
	}
	if len(member.awaitedCursorByHost) > 0 {
		request.AwaitedCursor = slices.Min(slices.Collect(maps.Values(member.awaitedCursorByHost)))
	}
	if member.rosterEpoch.Node != "" && member.rosterEpoch.Node != member.leader {
		request.RosterDigest = member.hosts.Digest(now, member.scope())
	}
	return &Send{To: member.leader, Request: request}
}

// announcementKey identifies an announcement.
type announcementKey struct {
	host        id.Host
	incarnation id.Incarnation
	sequence    uint64
}

func keyOf(announcement roster.Announcement) announcementKey {
	return announcementKey{announcement.Host, announcement.Incarnation, announcement.Sequence}
}

// announcementsInFlight returns what requests that aren't overdue take to the present
// leader.
func (member *Member) announcementsInFlight() map[announcementKey]bool {
	sent := map[announcementKey]bool{}
	for _, request := range member.inFlightByNumber {
		if request.overdue || request.to != member.leader {
			continue
		}
		for _, relayed := range request.announcements {
			sent[keyOf(relayed.Announcement)] = true
		}
	}
	return sent
}

// heldQuota returns the quota that the node may use, which is none once its lease
// has run out.
func (member *Member) heldQuota(now time.Time) map[id.ClientAccount]granter.Quota {
	if !now.Before(member.leaseUntil) {
		return nil
	}
	return member.grant.QuotaByClientAccount
}

// unacceptedAnnouncements returns the announcements that the leader hasn't
// accepted yet, with what remains of their leases, but for those on their way to it.
func (member *Member) unacceptedAnnouncements(now time.Time) []roster.RelayedAnnouncement {
	var announcements []roster.RelayedAnnouncement
	sent := member.announcementsInFlight()
	for _, host := range slices.Sorted(maps.Keys(member.unacceptedByHost)) {
		known, ok := member.hosts.Member(host)
		if !ok || (sent[keyOf(known.Announcement)] && !known.Announcement.Leaving) {
			continue
		}
		remaining, announcement := max(0, known.Expiry.Sub(now)), known.Aged(now)
		if !member.takesCold() {
			announcement.ColdRemainingMS = 0
		}
		announcements = append(announcements, roster.RelayedAnnouncement{Announcement: announcement, RemainingMS: remaining.Milliseconds()})
	}
	return announcements
}
