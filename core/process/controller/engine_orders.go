package controller

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// loadWindow is the sliding window of the limit on starts of loads.
	loadWindow = time.Second
)

// advanceEngineGroups orders the hosts of each group to join it, and its head to
// open once all hosts are ready and all nodes know the group.
func (controller *Controller) advanceEngineGroups(now time.Time, actions *Actions) {
	for _, group := range controller.engineGroups() {
		head, ok := controller.roster.Member(group.Hosts[0])
		if !ok {
			continue
		}
		if inGroup(head, group) && head.Announcement.Serving.Open {
			controller.recordOpened(now, actions, group, head)
			continue
		}
		ready := true
		for _, name := range group.Hosts {
			host, known := controller.roster.Member(name)
			if !known {
				ready = false
				continue
			}
			joined := inGroup(host, group)
			ready = ready && joined && host.Announcement.Serving.Ready
			if !joined && controller.mayJoin(now, host, group) {
				controller.sendEngineOrder(now, actions, host, group, OrderLoad)
			}
		}
		// A node that lags behind may still use one of the hosts in its last group.
		if ready && len(controller.laggingNodes(now, group.Version)) == 0 {
			controller.sendEngineOrder(now, actions, head, group, OrderOpen)
		}
	}
}

// recordOpened records a decision, once for each group, when the group is open.
func (controller *Controller) recordOpened(now time.Time, actions *Actions, group register.GroupRecord, head roster.Member) {
	if controller.leadership.openedGroups[group.Group] {
		return
	}
	controller.leadership.openedGroups[group.Group] = true
	actions.Decisions = append(actions.Decisions, Decision{
		Step: "group_open", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Host: group.Hosts[0], Age: head.SinceLastAnnouncement(now),
	})
}

// countLoads returns how many loads of weights are in progress: the hosts in
// groups that don't hold their model yet, and the stagings.
func (controller *Controller) countLoads(groups []register.GroupRecord) int {
	loads := 0
	for _, group := range groups {
		for _, name := range group.Hosts {
			host, ok := controller.roster.Member(name)
			inGroupReady := inGroup(host, group) && host.Announcement.Serving.Ready
			if ok && !inGroupReady && !host.Announcement.HasWeights(group.Model) {
				loads++
			}
		}
	}
	return loads + len(controller.leadership.stagingByHost)
}

// mayJoin reports whether a host may be ordered to join its group now. A host
// that holds the model's weights may at any time; any other needs a load from
// the weight store, which acquireLoad limits.
func (controller *Controller) mayJoin(now time.Time, host roster.Member, group register.GroupRecord) bool {
	leadership := controller.leadership
	if leadership.joinStartedAtByGroup[group.Group].IsZero() {
		leadership.joinStartedAtByGroup[group.Group] = now
	}
	if leadership.orderedRecently(now, host.Announcement.Host, OrderLoad, group.Fencing) {
		return false
	}
	if host.Announcement.HasWeights(group.Model) {
		return true
	}
	return controller.acquireLoad(now, controller.declaredEngine(group.Service))
}

// acquireLoad reports whether one more load from the weight store may start now,
// and counts it against the service's LoadsPerSecond if so. There is no limit
// until a node has reported a call in this term.
func (controller *Controller) acquireLoad(now time.Time, engine *routing.Engine) bool {
	leadership := controller.leadership
	if !leadership.callsSeen || engine == nil {
		return true
	}
	leadership.loadStartTimes = slices.DeleteFunc(leadership.loadStartTimes, func(startedAt time.Time) bool { return now.Sub(startedAt) >= loadWindow })
	if float64(len(leadership.loadStartTimes)) >= engine.LoadsPerSecond {
		return false
	}
	leadership.loadStartTimes = append(leadership.loadStartTimes, now)
	return true
}

// declaredEngine returns the engine settings of a service in the declaration in
// force, or nil if it has none.
func (controller *Controller) declaredEngine(service id.Service) *routing.Engine {
	declared := controller.register.Declared()
	if declared == nil {
		return nil
	}
	found, ok := declared.Declaration.Service(service)
	if !ok {
		return nil
	}
	return found.Engine
}

// engineOrder is the last order that was sent to an engine.
type engineOrder struct {
	kind    OrderKind
	fencing id.FencingToken
	sentAt  time.Time
}

// orderedRecently reports whether the same order was sent to a host less than
// orderRetryInterval ago, so that its effect may still be announced.
func (leadership *leadership) orderedRecently(now time.Time, host id.Host, kind OrderKind, fencing id.FencingToken) bool {
	last := leadership.lastEngineOrderByHost[host]
	return last.kind == kind && last.fencing == fencing && now.Before(last.sentAt.Add(orderRetryInterval))
}

// sendEngineOrder sends an order to a host with a lease, and the same order again
// only after orderRetryInterval.
func (controller *Controller) sendEngineOrder(now time.Time, actions *Actions, host roster.Member, group register.GroupRecord, kind OrderKind) {
	name := host.Announcement.Host
	if !now.Before(host.Expiry) || controller.leadership.orderedRecently(now, name, kind, group.Fencing) {
		return
	}
	actions.Decisions = append(actions.Decisions, Decision{Step: "order", Group: group.Group, Host: name, Reason: string(kind), Age: host.SinceLastAnnouncement(now)})
	controller.leadership.lastEngineOrderByHost[name] = engineOrder{kind: kind, fencing: group.Fencing, sentAt: now}
	actions.Orders = append(actions.Orders, Order{
		Host: name, Address: host.Announcement.Address, Kind: kind, Group: group.Group, Model: group.Model,
		Fencing: group.Fencing, Members: group.Hosts,
		Term: controller.leadership.term,
	})
}
