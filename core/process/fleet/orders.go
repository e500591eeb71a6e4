package fleet

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// loadWindow is the sliding window of the limit on starts of loads.
	loadWindow = time.Second
	// orderSpacing is the mean time between two orders, and orderBurst bounds the orders
	// sent at once, as the time that they take at orderSpacing. Each order is a request
	// over a connection of its own, and heartbeats mustn't wait behind hundreds.
	orderSpacing = 4 * time.Millisecond
	orderBurst   = 100 * time.Millisecond
	// orderNumberBits is how many bits of an order's number count the orders of one term.
	// With up to two million terms a number fits into the integers of a JSON number.
	orderNumberBits = 32
)

// advanceGroups orders the hosts of each group to join it, and its head to
// open once all hosts are ready and no node uses them in other groups.
func (fleet *Fleet) advanceGroups(now time.Time, actions *Actions) {
	for _, group := range fleet.groups() {
		head, ok := fleet.state.Roster.Member(group.Hosts[0])
		if !ok {
			continue
		}
		if inGroup(head, group) && head.Announcement.Serving.Open {
			fleet.recordOpened(now, actions, group, head)
			continue
		}
		if fleet.groupEvacuated(group) {
			// The time within which the group must be open counts from the end of the evacuation.
			delete(fleet.joinStartedAtByGroup, group.Group)
			continue
		}
		ready := true
		for _, name := range group.Hosts {
			host, known := fleet.state.Roster.Member(name)
			if !known {
				ready = false
				continue
			}
			joined := inGroup(host, group)
			ready = ready && joined && host.Announcement.Serving.Ready
			if !joined && fleet.mayOrder(now) && fleet.leftOpenGroup(now, actions, host, group.Group) && fleet.mayJoin(now, host, group) {
				fleet.sendOrder(now, actions, host, group, action.OrderLoad)
			}
		}
		if ready && !fleet.state.Lags(fleet.lastRetirement(group)) {
			fleet.sendOrder(now, actions, head, group, action.OrderOpen)
		}
	}
}

// lastRetirement returns the latest version at which a former group of one of a group's
// hosts was retired. A node that lags behind it may still use the host in that group.
// Where that isn't known it was by the state in which the group was formed, or for a group
// of another term, before the group's own version.
func (fleet *Fleet) lastRetirement(group register.GroupRecord) id.Version {
	formedAt, formedInTerm := fleet.formedAtByGroup[group.Group]
	if !formedInTerm {
		return group.Version
	}
	last := id.Version(0)
	for _, host := range group.Hosts {
		retiredAt, known := fleet.retiredAtByHost[host]
		if !known {
			retiredAt = formedAt
		}
		last = max(last, retiredAt)
	}
	return last
}

// recordOpened records a decision, once for each group, when the group is open.
func (fleet *Fleet) recordOpened(now time.Time, actions *Actions, group register.GroupRecord, head *roster.Member) {
	if fleet.openedGroups[group.Group] {
		return
	}
	fleet.openedGroups[group.Group] = true
	actions.Decisions = append(actions.Decisions, action.Decision{
		Step: "group_open", Group: group.Group, Model: group.Model, Hosts: group.Hosts, Host: group.Hosts[0], Age: head.SinceLastAnnouncement(now),
	})
}

// countLoads returns how many loads of weights are in progress: the hosts in
// groups that don't hold their model yet, and the stagings.
func (fleet *Fleet) countLoads(groups []register.GroupRecord) int {
	loads := 0
	for _, group := range groups {
		evacuated := fleet.groupEvacuated(group)
		for _, name := range group.Hosts {
			host, ok := fleet.state.Roster.Member(name)
			if evacuated && (!ok || !inGroup(host, group)) {
				// It wasn't ordered to join before the evacuation, so that it doesn't load.
				continue
			}
			inGroupReady := inGroup(host, group) && host.Announcement.Serving.Ready
			if ok && !inGroupReady && !host.Announcement.HasWeights(group.Model) {
				loads++
			}
		}
	}
	return loads + len(fleet.stagingByHost)
}

// mayJoin reports whether a host may be ordered to join its group now. A host
// that holds the model's weights may at any time; any other needs a load from
// the weight store, which acquireLoad limits.
func (fleet *Fleet) mayJoin(now time.Time, host *roster.Member, group register.GroupRecord) bool {
	if fleet.joinStartedAtByGroup[group.Group].IsZero() {
		fleet.joinStartedAtByGroup[group.Group] = now
	}
	if fleet.orderedRecently(now, host.Announcement.Host, action.OrderLoad, group.Fencing) {
		return false
	}
	if host.Announcement.HasWeights(group.Model) {
		return true
	}
	return fleet.acquireLoad(now, fleet.declaredEngine(group.Service))
}

// acquireLoad reports whether one more load from the weight store may start now,
// and counts it against the service's LoadsPerSecond if so. There is no limit
// until a node has reported a call in this term.
func (fleet *Fleet) acquireLoad(now time.Time, engine *routing.Engine) bool {
	if !fleet.callsSeen || engine == nil {
		return true
	}
	fleet.loadStartTimes = slices.DeleteFunc(fleet.loadStartTimes, func(startedAt time.Time) bool { return now.Sub(startedAt) >= loadWindow })
	if float64(len(fleet.loadStartTimes)) >= engine.LoadsPerSecond {
		return false
	}
	fleet.loadStartTimes = append(fleet.loadStartTimes, now)
	return true
}

// declaredEngine returns the engine settings of a service in the declaration in
// force, or nil if it has none.
func (fleet *Fleet) declaredEngine(service id.Service) *routing.Engine {
	declared := fleet.state.Register.Declared()
	if declared == nil {
		return nil
	}
	found, ok := declared.Declaration.Service(service)
	if !ok {
		return nil
	}
	return found.Engine
}

// sentOrder is the last order that was sent to an engine.
type sentOrder struct {
	kind    action.OrderKind
	fencing id.FencingToken
	number  id.OrderNumber
	sentAt  time.Time
}

// orderNumber returns the number of the next order to a host. An order to stage repeats
// the last one, so that neither it nor the order before is refused if they change places.
func (fleet *Fleet) orderNumber(host id.Host, kind action.OrderKind) id.OrderNumber {
	if kind == action.OrderStage {
		return max(fleet.termNumber(), fleet.lastOrderByHost[host].number)
	}
	fleet.orderCount++
	return fleet.termNumber() + fleet.orderCount
}

// termNumber returns the number below those of all orders of this term. It is larger
// than those of earlier terms.
func (fleet *Fleet) termNumber() id.OrderNumber {
	return id.OrderNumber(fleet.config.Term) << orderNumberBits
}

// orderedRecently reports whether the same order was sent to a host less than
// action.OrderRetryInterval ago, so that its effect may still be announced.
func (fleet *Fleet) orderedRecently(now time.Time, host id.Host, kind action.OrderKind, fencing id.FencingToken) bool {
	last := fleet.lastOrderByHost[host]
	return last.kind == kind && last.fencing == fencing && now.Before(last.sentAt.Add(action.OrderRetryInterval))
}

// mayOrder reports whether a further order is within orderBurst.
func (fleet *Fleet) mayOrder(now time.Time) bool {
	return !fleet.orderingUntil.After(now.Add(orderBurst))
}

// countOrder counts an order that is sent now against orderBurst.
func (fleet *Fleet) countOrder(now time.Time) {
	if fleet.orderingUntil.Before(now) {
		fleet.orderingUntil = now
	}
	fleet.orderingUntil = fleet.orderingUntil.Add(orderSpacing)
}

// sendProbe sends a probe to an unresponsive host, at most once in action.OrderRetryInterval.
func (fleet *Fleet) sendProbe(now time.Time, actions *Actions, host *roster.Member) {
	name := host.Announcement.Host
	if fleet.evacuated(host) || !fleet.mayOrder(now) || now.Before(fleet.probedAtByHost[name].Add(action.OrderRetryInterval)) {
		return
	}
	fleet.countOrder(now)
	fleet.probedAtByHost[name] = now
	actions.Orders = append(actions.Orders, action.Order{Host: name, Address: host.Announcement.Address, Kind: action.OrderProbe})
}

// sendOrder sends an order to a host with a lease, and the same order again
// only after action.OrderRetryInterval. An order beyond orderBurst isn't sent: the caller
// tries again at the next tick.
func (fleet *Fleet) sendOrder(now time.Time, actions *Actions, host *roster.Member, group register.GroupRecord, kind action.OrderKind) {
	name := host.Announcement.Host
	if !now.Before(host.Expiry) || !fleet.mayOrder(now) || fleet.orderedRecently(now, name, kind, group.Fencing) {
		return
	}
	fleet.countOrder(now)
	actions.Decisions = append(actions.Decisions, action.Decision{Step: "order", Group: group.Group, Host: name, Reason: string(kind), Age: host.SinceLastAnnouncement(now)})
	number := fleet.orderNumber(name, kind)
	fleet.lastOrderByHost[name] = sentOrder{kind: kind, fencing: group.Fencing, number: number, sentAt: now}
	actions.Orders = append(actions.Orders, action.Order{
		Host: name, Address: host.Announcement.Address, Kind: kind, Group: group.Group, Model: group.Model,
		Fencing: group.Fencing, Members: group.Hosts,
		Number: number,
	})
}
