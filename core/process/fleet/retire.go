package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// groupReadyTimeout is how long the hosts of a new group may take until the
	// group is open.
	groupReadyTimeout = 45 * time.Second
	// stallMargin is added to Config.EngineStallTimeout for the time after which
	// the head of a group without one of its hosts has certainly given it up.
	stallMargin = 300 * time.Millisecond
	// groupStallReportLifetime is how long a node's report that a group is stalled
	// counts for retiring it.
	groupStallReportLifetime = 3 * time.Second
	// silentIntervals is the time without an announcement, in announcement intervals,
	// after which a host counts as unresponsive, and probeIntervals that after which a probe is
	// sent to find out whether it can be reached.
	silentIntervals = 1.25
	probeIntervals  = 1
	// longestInactivity is how long a sound host may be unresponsive and go on afterwards. A host
	// that can be reached counts as lost only after this time and lostIntervals announcement
	// intervals more, since its first announcement after the inactivity may get lost.
	longestInactivity = 2 * time.Second
	lostIntervals     = silentIntervals + 1
	// hostStateInterval is the time between two removals of the state of hosts that the
	// roster doesn't hold any more.
	hostStateInterval = time.Minute
)

// groups lists the groups of engines that aren't retired, oldest first. It is read-only.
func (fleet *Fleet) groups() []register.GroupRecord {
	if fleet.groupsInUse != nil {
		return fleet.groupsInUse
	}
	groups := slices.DeleteFunc(fleet.state.Register.Groups(), func(group register.GroupRecord) bool {
		return group.Service == "" || group.Phase == register.PhaseRetired
	})
	slices.SortFunc(groups, func(a, b register.GroupRecord) int { return cmp.Compare(a.Fencing, b.Fencing) })
	fleet.groupsInUse = groups
	return groups
}

// dropRetiredGroupState deletes the leader's volatile state of groups that are
// retired or unknown.
func (fleet *Fleet) dropRetiredGroupState() {
	outOfUse := func(name id.Group) bool {
		group, ok := fleet.state.Register.Group(name)
		return !ok || group.Phase == register.PhaseRetired
	}
	maps.DeleteFunc(fleet.joinStartedAtByGroup, func(group id.Group, _ time.Time) bool { return outOfUse(group) })
	maps.DeleteFunc(fleet.formedAtByGroup, func(group id.Group, _ id.Version) bool { return outOfUse(group) })
	maps.DeleteFunc(fleet.openedGroups, func(group id.Group, _ bool) bool { return outOfUse(group) })
}

// dropUnknownHostState deletes, once in hostStateInterval, the leader's volatile state of
// hosts that the roster doesn't hold any more, and the reports of stalls that are too old
// to count.
func (fleet *Fleet) dropUnknownHostState(now time.Time) {
	if now.Before(fleet.hostStateDroppedAt.Add(hostStateInterval)) {
		return
	}
	fleet.hostStateDroppedAt = now
	unknown := func(host id.Host) bool {
		_, known := fleet.state.Roster.Member(host)
		return !known
	}
	maps.DeleteFunc(fleet.lastOrderByHost, func(host id.Host, _ sentOrder) bool { return unknown(host) })
	maps.DeleteFunc(fleet.undeliveredByHost, func(host id.Host, _ *undelivered) bool { return unknown(host) })
	maps.DeleteFunc(fleet.probedAtByHost, func(host id.Host, _ time.Time) bool { return unknown(host) })
	maps.DeleteFunc(fleet.retiredAtByHost, func(host id.Host, _ id.Version) bool { return unknown(host) })
	maps.DeleteFunc(fleet.stallReportedAtByGroup, func(_ id.Group, reportedAt time.Time) bool { return now.Sub(reportedAt) >= groupStallReportLifetime })
}

// inGroup reports whether a host announces that it is in a group under the
// group's committed fencing token.
func inGroup(host *roster.Member, group register.GroupRecord) bool {
	serving := host.Announcement.Serving
	return serving.Group == group.Group && serving.Fencing == group.Fencing
}

// retireBrokenGroups retires each group that can't serve any more.
func (fleet *Fleet) retireBrokenGroups(now time.Time, actions *Actions) {
	for _, group := range fleet.groups() {
		reason, host := fleet.retireReason(now, actions, group)
		if reason == "" {
			continue
		}
		member, _ := fleet.state.Roster.Member(host)
		actions.Decisions = append(actions.Decisions, action.Decision{
			Step: "retire_group", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Host: host, Reason: reason, Age: member.SinceLastAnnouncement(now),
		})
		actions.Changes.Retire = append(actions.Changes.Retire, register.RetireGroup{Group: group.Group, Base: group.Fencing})
	}
}

// The reasons for retiring a group, as written in the process's log.
const (
	hostUnknown  = "host_unknown"
	hostSilent   = "host_silent"
	hostLeaving  = "host_leaving"
	hostAbsent   = "host_not_in_group"
	hostGaveUp   = "host_gave_up"
	groupStalled = "group_stalled"
	neverReady   = "never_ready"
)

// retireReason returns why a group can't serve any more, with the host at fault
// if there is one: a host is unknown, lost, leaving or no longer in the group, the
// engine gave the group up, or the group wasn't open in time. It returns "" for a
// group that can go on.
func (fleet *Fleet) retireReason(now time.Time, actions *Actions, group register.GroupRecord) (string, id.Host) {
	head, _ := fleet.state.Roster.Member(group.Hosts[0])
	open := inGroup(head, group) && head.Announcement.Serving.Open
	stalled := open && fleet.stallReportedRecently(now, group)
	for _, name := range group.Hosts {
		host, ok := fleet.state.Roster.Member(name)
		switch {
		case !ok:
			return hostUnknown, name
		case host.Announcement.Leaving:
			return hostLeaving, name
		case inGroup(host, group) && host.Announcement.Serving.Broken:
			return hostGaveUp, name
		case open && !inGroup(host, group):
			return hostAbsent, name
		case stalled && fleet.unresponsiveHostLost(now, actions, host):
			return groupStalled, name
		case !open && fleet.hostLost(now, host):
			return hostSilent, name
		}
	}
	joinStartedAt := fleet.joinStartedAtByGroup[group.Group]
	if !open && !joinStartedAt.IsZero() && now.Sub(joinStartedAt) > groupReadyTimeout {
		return neverReady, ""
	}
	return "", ""
}

// announcementIntervals returns the time of count announcement intervals of a
// host.
func announcementIntervals(host *roster.Member, count float64) time.Duration {
	return time.Duration(count * float64(host.Announcement.Interval()))
}

// sinceLastAnnouncement returns the time since a host's last announcement, or
// since the start of this leader's term if that is later.
func (fleet *Fleet) sinceLastAnnouncement(now time.Time, host *roster.Member) time.Duration {
	return min(host.SinceLastAnnouncement(now), now.Sub(fleet.startedAt))
}

// announcedInTerm reports whether a host's last announcement came in this leader's term. An
// older one may be from before the host joined the group of which the leader decides.
func (fleet *Fleet) announcedInTerm(now time.Time, host *roster.Member) bool {
	return host.SinceLastAnnouncement(now) <= now.Sub(fleet.startedAt)
}

// hostLost reports whether a host that takes no requests yet counts as lost: the
// time since its last announcement (see sinceLastAnnouncement) exceeds its lease,
// or orders within that time prove that it can't be reached.
func (fleet *Fleet) hostLost(now time.Time, host *roster.Member) bool {
	elapsed := fleet.sinceLastAnnouncement(now, host)
	return elapsed > host.Announcement.Lease() || fleet.undeliveredByHost[host.Announcement.Host].proven(now.Add(-elapsed))
}

// unresponsiveHostLost reports whether a host that should announce itself counts as lost: it is
// unresponsive, and can't be reached or hasn't announced itself for longer than a sound host may
// (see longestInactivity). It sends a probe to find out whether the host can be reached.
func (fleet *Fleet) unresponsiveHostLost(now time.Time, actions *Actions, host *roster.Member) bool {
	elapsed := fleet.sinceLastAnnouncement(now, host)
	unreachable := fleet.undeliveredByHost[host.Announcement.Host].proven(now.Add(-elapsed))
	if unreachable && elapsed > announcementIntervals(host, silentIntervals) || elapsed > longestInactivity+announcementIntervals(host, lostIntervals) {
		return true
	}
	if elapsed > announcementIntervals(host, probeIntervals) && !unreachable {
		fleet.sendProbe(now, actions, host)
	}
	return false
}

// stallReportedRecently reports whether a node has reported within
// groupStallReportLifetime that its calls to a group are stalled.
func (fleet *Fleet) stallReportedRecently(now time.Time, group register.GroupRecord) bool {
	return now.Sub(fleet.stallReportedAtByGroup[group.Group]) < groupStallReportLifetime
}

// freeRetiredHosts orders the hosts of retired groups to leave, and frees each
// once the head of its group certainly serves no more.
func (fleet *Fleet) freeRetiredHosts(now time.Time, actions *Actions) {
	releasing := fleet.state.Register.Unfreed()
	for _, host := range slices.Sorted(maps.Keys(releasing)) {
		record := releasing[host]
		if record.PreviousGroup == nil {
			continue
		}
		if !fleet.mayFreeHost(now, actions, host, *record.PreviousGroup) {
			continue
		}
		delete(fleet.leftGroupAtByHost, host)
		fleet.retiredAtByHost[host] = record.Version
		actions.Changes.Free = append(actions.Changes.Free, register.FreeHost{Host: host, Base: record.Fencing})
	}
}

// mayFreeHost reports whether a host of a retired group may join another one, and
// sends the orders that lead there. No engine may join another group while the
// head of its old one is open. So the head must have left the group, or, when
// the head is lost, it must have been without one of its hosts for so long that it has
// given the group up.
func (fleet *Fleet) mayFreeHost(now time.Time, actions *Actions, name id.Host, previousGroup register.GroupRecord) bool {
	head, known := fleet.state.Roster.Member(previousGroup.Hosts[0])
	live := known && now.Before(head.Expiry)
	if live && !inGroup(head, previousGroup) && fleet.announcedInTerm(now, head) {
		return true
	}
	if name == previousGroup.Hosts[0] {
		if live {
			fleet.orderHeadToLeave(now, actions, head, previousGroup)
		}
		return false
	}
	if live && !fleet.unresponsiveHostLost(now, actions, head) {
		return false
	}
	return fleet.leftLostHead(now, actions, name, previousGroup)
}

// leftLostHead orders a host to leave a group whose head is lost.
// It reports whether the host has been outside the group for longer than the head
// waits for it (Config.EngineStallTimeout and stallMargin).
func (fleet *Fleet) leftLostHead(now time.Time, actions *Actions, name id.Host, previousGroup register.GroupRecord) bool {
	host, ok := fleet.state.Roster.Member(name)
	if !ok || !now.Before(host.Expiry) {
		return false
	}
	if inGroup(host, previousGroup) {
		delete(fleet.leftGroupAtByHost, name)
		fleet.sendOrder(now, actions, host, previousGroup, action.OrderUnload)
		return false
	}
	if !fleet.announcedInTerm(now, host) {
		return false
	}
	if fleet.leftGroupAtByHost[name].IsZero() {
		fleet.leftGroupAtByHost[name] = now
	}
	return now.Sub(fleet.leftGroupAtByHost[name]) > fleet.config.EngineStallTimeout+stallMargin
}

// orderHeadToLeave orders the head of a retired group to leave it. While all its
// hosts are in the group, and none is lost, the head is first ordered to finish its
// requests. Stalled requests alone don't show a loss: a host may be unresponsive and go on.
func (fleet *Fleet) orderHeadToLeave(now time.Time, actions *Actions, head *roster.Member, previousGroup register.GroupRecord) {
	stalled := fleet.stallReportedRecently(now, previousGroup)
	serves := !slices.ContainsFunc(previousGroup.Hosts, func(name id.Host) bool {
		host, ok := fleet.state.Roster.Member(name)
		return !ok || !now.Before(host.Expiry) || !inGroup(host, previousGroup) || stalled && fleet.unresponsiveHostLost(now, actions, host)
	})
	switch serving := head.Announcement.Serving; {
	case serves && serving.Closing:
	case serves && serving.Open && fleet.awaitsNodes(now, previousGroup, head.Announcement.Host):
	case serves && serving.Open && !serving.Broken:
		fleet.sendOrder(now, actions, head, previousGroup, action.OrderClose)
	default:
		fleet.sendOrder(now, actions, head, previousGroup, action.OrderUnload)
	}
}
