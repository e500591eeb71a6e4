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
	// loadWindow is the time over which starts of loads are counted.
	loadWindow = time.Second
)

// driveGroups orders the hosts of each group to join, and its head to open once
// all are ready.
func (controller *Controller) driveGroups(now time.Time, actions *Actions) {
	for _, group := range controller.engineGroups() {
		head, ok := controller.hosts.Member(group.Hosts[0])
		if !ok {
			continue
		}
		if within(head, group) && head.Announcement.Serving.Open {
			controller.noteOpen(now, actions, group, head)
			continue
		}
		ready := true
		for _, name := range group.Hosts {
			host, known := controller.hosts.Member(name)
			if !known {
				ready = false
				continue
			}
			joined := within(host, group)
			ready = ready && joined && host.Announcement.Serving.Ready
			if !joined && controller.mayJoin(now, host, group) {
				controller.orderEngine(now, actions, host, group, OrderLoad)
			}
		}
		if ready {
			controller.orderEngine(now, actions, head, group, OrderOpen)
		}
	}
}

// noteOpen says once that a group takes calls.
func (controller *Controller) noteOpen(now time.Time, actions *Actions, group register.GroupRecord, head roster.Member) {
	if controller.reign.opened[group.Group] {
		return
	}
	controller.reign.opened[group.Group] = true
	actions.Decisions = append(actions.Decisions, Decision{
		Step: "group_open", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Host: group.Hosts[0], Age: head.SinceLastAnnouncement(now),
	})
}

// loading counts the hosts that are loading weights.
func (controller *Controller) loading(groups []register.GroupRecord) int {
	loading := 0
	for _, group := range groups {
		for _, name := range group.Hosts {
			host, ok := controller.hosts.Member(name)
			loaded := within(host, group) && host.Announcement.Serving.Ready
			if ok && !loaded && !host.Announcement.HasWeights(group.Model) {
				loading++
			}
		}
	}
	return loading + len(controller.reign.staging)
}

// mayJoin tells whether a host may be ordered to join now. One that holds the
// weights may at any time; others wait for the weight store. Before any calls
// come, the store takes all.
func (controller *Controller) mayJoin(now time.Time, host roster.Member, group register.GroupRecord) bool {
	reign := controller.reign
	if reign.formed[group.Group].IsZero() {
		reign.formed[group.Group] = now
	}
	if reign.orderedLately(now, host.Announcement.Host, OrderLoad, group.Fencing) {
		return false
	}
	if host.Announcement.HasWeights(group.Model) {
		return true
	}
	return controller.mayLoad(now, controller.engine(group.Service))
}

// mayLoad tells whether the weight store lets one more load start now, and
// counts it. Before any calls come, it takes all.
func (controller *Controller) mayLoad(now time.Time, engine *routing.Engine) bool {
	reign := controller.reign
	if !reign.busy || engine == nil {
		return true
	}
	reign.loads = slices.DeleteFunc(reign.loads, func(at time.Time) bool { return now.Sub(at) >= loadWindow })
	if float64(len(reign.loads)) >= engine.LoadsPerSecond {
		return false
	}
	reign.loads = append(reign.loads, now)
	return true
}

func (controller *Controller) engine(service id.Service) *routing.Engine {
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

// engineOrder is an order that was sent to an engine.
type engineOrder struct {
	kind    OrderKind
	fencing id.FencingToken
	at      time.Time
}

// orderedLately tells whether an order was sent so lately that its effect may yet
// show.
func (reign *reign) orderedLately(now time.Time, host id.Host, kind OrderKind, fencing id.FencingToken) bool {
	last := reign.engineOrders[host]
	return last.kind == kind && last.fencing == fencing && now.Before(last.at.Add(orderEvery))
}

// orderEngine sends an order to one host of a group, at most once a second.
func (controller *Controller) orderEngine(now time.Time, actions *Actions, host roster.Member, group register.GroupRecord, kind OrderKind) {
	name := host.Announcement.Host
	if !now.Before(host.Expiry) || controller.reign.orderedLately(now, name, kind, group.Fencing) {
		return
	}
	actions.Decisions = append(actions.Decisions, Decision{Step: "order", Group: group.Group, Host: name, Reason: string(kind), Age: host.SinceLastAnnouncement(now)})
	controller.reign.engineOrders[name] = engineOrder{kind: kind, fencing: group.Fencing, at: now}
	actions.Orders = append(actions.Orders, Order{
		Host: name, Address: host.Announcement.Address, Kind: kind, Group: group.Group, Model: group.Model,
		Fencing: group.Fencing, Members: group.Hosts,
		Term: controller.reign.term,
	})
}
