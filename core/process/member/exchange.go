package member

import (
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/roster"
)

func (member *Member) responded(now time.Time, response feed.Response) {
	sentAt, ok := member.sent[response.Number]
	if !ok || response.Number <= member.processed {
		return
	}
	member.processed = response.Number
	member.failures = 0
	heard := member.sentHeard[response.Number]
	member.forget(response.Number)
	member.leader = response.Leader
	if !member.takeDelta(response.Delta) {
		return
	}
	member.dirty = true
	member.settle(response.AnnouncementsAccepted, heard)
	// Counted from the receipt, the echo never runs ahead of the leader.
	member.stamp, member.stampAt = response.Stamp, now
	member.takeRoster(sentAt, response)
	if response.Grant.Serial != member.offer.Serial {
		member.urgent = true
	}
	member.offer, member.share, member.elsewhere = response.Grant, response.Share, response.RunningElsewhere
	member.stalled = response.Stalled
	if len(response.Voters) > 0 {
		member.voters = response.Voters
	}
	lease := sentAt.Add(time.Duration(response.LeaseMS) * time.Millisecond)
	if lease.After(member.leaseUntil) {
		member.renewed, member.leaseUntil = sentAt, lease
	}
}

// forget drops a request and those before it, which have been overtaken.
func (member *Member) forget(number uint64) {
	for other := range member.sent {
		if other <= number {
			delete(member.sent, other)
			delete(member.sentHeard, other)
		}
	}
}

// settle drops the announcements that the leader has taken. It takes none
// whose age it couldn't bound, which is so for the first request to a leader.
func (member *Member) settle(took bool, heard []roster.RelayedAnnouncement) {
	if !took {
		member.urgent = member.urgent || len(member.pending) > 0
		return
	}
	for _, relayed := range heard {
		announcement := relayed.Announcement
		if member.pending[announcement.Host].Sequence == announcement.Sequence {
			delete(member.pending, announcement.Host)
		}
	}
}

// takeRoster hears what the leader relays. Leases count from when the request
// left, so that a response held up on its way can't lengthen them.
func (member *Member) takeRoster(sentAt time.Time, response feed.Response) {
	for _, relayed := range response.Roster {
		expiry := sentAt.Add(time.Duration(relayed.RemainingMS) * time.Millisecond)
		member.hosts.Merge(sentAt, relayed.Announcement, expiry)
	}
	for _, renewal := range response.Renewals {
		member.hosts.Renew(sentAt, renewal, sentAt.Add(time.Duration(renewal.RemainingMS)*time.Millisecond))
	}
	if response.Epoch != member.epoch {
		member.epoch, member.cursor = response.Epoch, 0
	}
	member.cursor = max(member.cursor, response.Cursor)
}

func (member *Member) redirected(now time.Time, event Redirected) {
	if _, ok := member.sent[event.Number]; !ok {
		return
	}
	if event.Redirect.Superseded {
		delete(member.sent, event.Number)
		delete(member.sentHeard, event.Number)
		return
	}
	member.forget(event.Number)
	member.introduced(event.Redirect.Voters)
	if event.Redirect.Leader == "" || event.Redirect.Leader == member.leader {
		member.rotate(now)
		return
	}
	member.leader = event.Redirect.Leader
}

func (member *Member) failed(now time.Time, number uint64) {
	if _, ok := member.sent[number]; !ok {
		return
	}
	member.forget(number)
	member.failures++
	if member.failures >= failuresToRotate {
		member.rotate(now)
		return
	}
	member.notBefore = now.Add(urgentPause)
}

func (member *Member) rotate(now time.Time) {
	member.rotation++
	member.failures = 0
	if len(member.voters) == 0 {
		return
	}
	member.leader = member.voters[member.rotation%len(member.voters)]
	member.notBefore = now.Add(retryPause)
}

func (member *Member) reported(now time.Time, report UsageReported) {
	if now.Sub(member.pleadedAt) >= pleadEvery && member.needsMore(report) {
		member.pleadedAt, member.urgent = now, true
	}
	if report.Drained != member.report.Drained ||
		(report.ActiveCalls == 0) != (member.report.ActiveCalls == 0) || finished(member.report.RunningByEndpoint, report.RunningByEndpoint) {
		member.urgent = true
	}
	member.urgent = member.urgent || len(report.Stalled) > len(member.report.Stalled)
	member.report = report
}

// finished tells whether an endpoint's last call has ended, which a planned
// stop may be waiting for.
func finished(before, after map[feed.Endpoint]int) bool {
	for endpoint := range before {
		if after[endpoint] == 0 {
			return true
		}
	}
	return false
}

// needsMore tells whether a customer's demand has risen past its part.
func (member *Member) needsMore(report UsageReported) bool {
	for clientAccount, want := range report.Demand {
		have, before := member.offer.QuotaByClientAccount[clientAccount], member.report.Demand[clientAccount]
		if want.Concurrency > have.Concurrency && want.Concurrency > before.Concurrency {
			return true
		}
		const step = 1.1
		if want.RequestsPerSecond > have.RequestsPerSecond && want.RequestsPerSecond > step*before.RequestsPerSecond {
			return true
		}
		if want.TokensPerSecond > have.TokensPerSecond && want.TokensPerSecond > step*before.TokensPerSecond {
			return true
		}
	}
	return false
}

// next sends a request when none is on its way, or when there is news.
func (member *Member) next(now time.Time) *Send {
	if len(member.voters) == 0 || now.Before(member.notBefore) || (len(member.sent) > 0 && !member.urgent) {
		return nil
	}
	if member.leader == "" {
		member.leader = member.voters[member.rotation%len(member.voters)]
	}
	member.urgent = false
	member.notBefore = now.Add(urgentPause)
	member.number++
	heard := member.heard(now)
	member.sent[member.number] = now
	member.sentHeard[member.number] = heard
	request := feed.Request{
		Node: member.config.Self, Incarnation: member.config.Incarnation, Number: member.number,
		Version: member.version, Epoch: member.epoch, Cursor: member.cursor,
		Echo: member.stamp.Advance(now.Sub(member.stampAt)), Announcements: heard,
		HeldGrant: granter.Grant{Serial: member.offer.Serial, QuotaByClientAccount: member.held(now)},
		Demand:    member.report.Demand, RunningByEndpoint: member.report.RunningByEndpoint, ActiveCalls: member.report.ActiveCalls, Drained: member.report.Drained,
		HasDisk: member.config.HasDisk, Stalled: member.report.Stalled,
	}
	return &Send{To: member.leader, Request: request}
}

// held is what the node may use of its offer; nothing once its lease is over.
func (member *Member) held(now time.Time) map[id.ClientAccount]granter.Quota {
	if !now.Before(member.leaseUntil) {
		return nil
	}
	return member.offer.QuotaByClientAccount
}

func (member *Member) heard(now time.Time) []roster.RelayedAnnouncement {
	var heard []roster.RelayedAnnouncement
	for _, host := range slices.Sorted(maps.Keys(member.pending)) {
		known, ok := member.hosts.Member(host)
		if !ok {
			continue
		}
		remaining := max(0, known.Expiry.Sub(now))
		heard = append(heard, roster.RelayedAnnouncement{Announcement: known.Announcement, RemainingMS: remaining.Milliseconds()})
	}
	return heard
}
