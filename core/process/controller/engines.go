package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// joinPatience is how long the hosts of a group may take to become ready.
	joinPatience = 45 * time.Second
	// stallMargin is added to the time after which a group without one of its
	// hosts has certainly given itself up.
	stallMargin = 300 * time.Millisecond
	// stallWord is how long a node's word that a group stands still counts.
	stallWord = 3 * time.Second
	// stalledBeats is for how many of its announcements a host of a group that
	// stands still must not have been heard to be the one that is gone.
	stalledBeats = 1.25
)

// governEngines sees to the groups of engines, which join, open, close and
// leave by order. It tells whether it proposed a change.
func (controller *Controller) governEngines(now time.Time, actions *Actions) bool {
	declared := controller.register.Declared()
	if declared == nil {
		return false
	}
	controller.forgetGroups()
	proposed := controller.retireBroken(now, actions)
	proposed = controller.emptyRetired(now, actions) || proposed
	controller.driveGroups(now, actions)
	if proposed {
		return true
	}
	for index := range declared.Declaration.Services {
		service := &declared.Declaration.Services[index]
		if service.Engine != nil && controller.formEngines(now, actions, service) {
			proposed = true
		}
	}
	return proposed
}

// engineGroups lists the groups of engines in use, the oldest first.
func (controller *Controller) engineGroups() []register.GroupRecord {
	groups := slices.DeleteFunc(controller.register.Groups(), func(group register.GroupRecord) bool {
		return group.Service == "" || group.Phase == register.PhaseRetired
	})
	slices.SortFunc(groups, func(a, b register.GroupRecord) int { return cmp.Compare(a.Fencing, b.Fencing) })
	return groups
}

// forgetGroups drops what is remembered of groups that are out of use.
func (controller *Controller) forgetGroups() {
	over := func(name id.Group) bool {
		group, ok := controller.register.Group(name)
		return !ok || group.Phase == register.PhaseRetired
	}
	maps.DeleteFunc(controller.reign.formed, func(group id.Group, _ time.Time) bool { return over(group) })
	maps.DeleteFunc(controller.reign.opened, func(group id.Group, _ bool) bool { return over(group) })
}

// within tells whether a host says that it is in a group under its committed
// fencing number.
func within(host roster.Member, group register.GroupRecord) bool {
	serving := host.Announcement.Serving
	return serving.Group == group.Group && serving.Fencing == group.Fencing
}

// retireBroken retires each group that can't serve any more.
func (controller *Controller) retireBroken(now time.Time, actions *Actions) bool {
	proposed := false
	for _, group := range controller.engineGroups() {
		broken, host := controller.mustRetire(now, group)
		if broken == "" {
			continue
		}
		known, _ := controller.hosts.Member(host)
		actions.Decisions = append(actions.Decisions, Decision{
			Step: "retire_group", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Host: host, Reason: broken, Age: known.SinceLastAnnouncement(now),
		})
		controller.proposeOwn(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: group.Group, Base: group.Fencing}})
		proposed = true
	}
	return proposed
}

// The reasons for which a group is retired.
const (
	hostUnknown  = "host_unknown"
	hostSilent   = "host_silent"
	hostLeaving  = "host_leaving"
	hostAbsent   = "host_not_in_group"
	hostGaveUp   = "host_gave_up"
	groupStalled = "group_stalled"
	neverReady   = "never_ready"
)

// mustRetire tells why a group can't serve any more, and by which host: one is
// gone, leaving or no longer in it, or the group never became ready.
func (controller *Controller) mustRetire(now time.Time, group register.GroupRecord) (string, id.Host) {
	head, _ := controller.hosts.Member(group.Hosts[0])
	open := within(head, group) && head.Announcement.Serving.Open
	stalled := open && controller.reign.stalled(now, group)
	for _, name := range group.Hosts {
		host, ok := controller.hosts.Member(name)
		switch {
		case !ok:
			return hostUnknown, name
		case host.Announcement.Leaving:
			return hostLeaving, name
		case within(host, group) && host.Announcement.Serving.Broken:
			return hostGaveUp, name
		case open && !within(host, group):
			return hostAbsent, name
		case stalled && controller.silence(now, host) > beats(host, stalledBeats):
			return groupStalled, name
		case !open && controller.lost(now, host):
			return hostSilent, name
		}
	}
	formed := controller.reign.formed[group.Group]
	if !open && !formed.IsZero() && now.Sub(formed) > joinPatience {
		return neverReady, ""
	}
	return "", ""
}

// beats is the time of so many announcements of a host.
func beats(host roster.Member, count float64) time.Duration {
	return time.Duration(count * float64(host.Announcement.Interval()))
}

// silence is how long this leader could have heard a host and didn't.
func (controller *Controller) silence(now time.Time, host roster.Member) time.Duration {
	return min(host.SinceLastAnnouncement(now), now.Sub(controller.reign.started))
}

// lost tells whether a host that takes no requests yet is gone: its lease is
// over, or an order found nobody at its address since it was last heard.
func (controller *Controller) lost(now time.Time, host roster.Member) bool {
	silence := controller.silence(now, host)
	refused := controller.reign.undelivered[host.Announcement.Host]
	return silence > host.Announcement.Lease() || refused.After(now.Add(-silence))
}

// stalled tells whether a node said lately that calls in a group stand still.
func (reign *reign) stalled(now time.Time, group register.GroupRecord) bool {
	return now.Sub(reign.stallsAt[feed.Endpoint{Group: group.Group}]) < stallWord
}

// emptyRetired orders the head of each retired group out of it, and frees the
// hosts once the head certainly serves no more.
func (controller *Controller) emptyRetired(now time.Time, actions *Actions) bool {
	unfreed := controller.register.Unfreed()
	proposed := false
	for _, name := range sortedKeys(unfreed) {
		record := unfreed[name]
		if record.PreviousGroup == nil {
			continue
		}
		if !controller.released(now, actions, name, *record.PreviousGroup) {
			continue
		}
		delete(controller.reign.leftAt, name)
		controller.proposeOwn(now, actions, register.Command{FreeHost: &register.FreeHost{Host: name, Base: record.Fencing}})
		proposed = true
	}
	return proposed
}

// released tells whether a host of a retired group may join another one. No
// engine may do so while the head of its group is open: the head must have left
// itself, or, when it isn't heard, must have been without one of its hosts for
// so long that it has given the group up.
func (controller *Controller) released(now time.Time, actions *Actions, name id.Host, left register.GroupRecord) bool {
	head, known := controller.hosts.Member(left.Hosts[0])
	live := known && now.Before(head.Expiry)
	if live && !within(head, left) {
		return true
	}
	if name == left.Hosts[0] {
		if live {
			controller.orderOut(now, actions, head, left)
		}
		return false
	}
	if live && controller.silence(now, head) <= beats(head, stalledBeats) {
		return false
	}
	return controller.leftBehind(now, actions, name, left)
}

// leftBehind orders a host out of a group whose head isn't heard, and tells
// whether it has been outside for as long as the head waits for it.
func (controller *Controller) leftBehind(now time.Time, actions *Actions, name id.Host, left register.GroupRecord) bool {
	host, ok := controller.hosts.Member(name)
	if !ok || !now.Before(host.Expiry) {
		return false
	}
	if within(host, left) {
		delete(controller.reign.leftAt, name)
		controller.orderEngine(now, actions, host, left, OrderUnload)
		return false
	}
	if controller.reign.leftAt[name].IsZero() {
		controller.reign.leftAt[name] = now
	}
	return now.Sub(controller.reign.leftAt[name]) > controller.config.EngineStallTimeout+stallMargin
}

// orderOut lets a head that is whole finish its work before it leaves.
func (controller *Controller) orderOut(now time.Time, actions *Actions, head roster.Member, left register.GroupRecord) {
	whole := !slices.ContainsFunc(left.Hosts, func(name id.Host) bool {
		host, ok := controller.hosts.Member(name)
		return !ok || !now.Before(host.Expiry) || !within(host, left)
	})
	switch serving := head.Announcement.Serving; {
	case whole && serving.Closing:
	case whole && serving.Open && !serving.Broken:
		controller.orderEngine(now, actions, head, left, OrderClose)
	default:
		controller.orderEngine(now, actions, head, left, OrderUnload)
	}
}
