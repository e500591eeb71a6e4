package controller

import (
	"cmp"
	"slices"
	"time"

	"carobline.dev/core/process/action"
	"carobline.dev/core/process/register"
)

// OrderLifetime is how long after receipt an order may be carried out.
const OrderLifetime = 2 * time.Second

// sendOrders sends each host with a lease the order for the group that it should
// serve in, or to unload, and repeats it until the host announces that state. A
// group whose hosts don't hold its weights yet waits while MaxLoadingGroups older
// groups aren't ready.
func (controller *Controller) sendOrders(now time.Time, actions *Actions) {
	loadingGroups := 0
	groups := controller.register.Groups()
	slices.SortFunc(groups, func(a, b register.GroupRecord) int { return cmp.Compare(a.Fencing, b.Fencing) })
	for _, group := range groups {
		if group.Service != "" || group.Phase != register.PhaseServing || controller.inventory().Ready(now, group) || controller.inventory().Evacuated(group) {
			continue
		}
		if loadingGroups >= controller.config.MaxLoadingGroups && !controller.inventory().HoldWeights(group) {
			continue
		}
		loadingGroups++
		controller.orderGroup(now, actions, group)
	}
	releasing := controller.register.Unfreed()
	for _, name := range sortedKeys(releasing) {
		if releasing[name].PreviousGroup != nil {
			continue
		}
		controller.sendOrder(now, actions, action.Order{Host: name, Kind: action.OrderUnload, Fencing: releasing[name].Fencing})
	}
}

// orderGroup sends each host of a group the order to load the group's model.
func (controller *Controller) orderGroup(now time.Time, actions *Actions, group register.GroupRecord) {
	peers := make([]string, len(group.Hosts))
	for rank, host := range group.Hosts {
		member, _ := controller.roster.Member(host)
		peers[rank] = member.Announcement.Address
	}
	for rank, host := range group.Hosts {
		controller.sendOrder(now, actions, action.Order{
			Host: host, Kind: action.OrderLoad, Group: group.Group, Model: group.Model,
			Fencing: group.Fencing, Rank: rank, Peers: peers,
		})
	}
}

// sendOrder sends an order to a host that has a lease and doesn't announce the
// order's effect yet, and at most one order to a host in action.OrderRetryInterval.
func (controller *Controller) sendOrder(now time.Time, actions *Actions, order action.Order) {
	member, ok := controller.roster.Member(order.Host)
	if !ok || !now.Before(member.Expiry) || now.Before(controller.leadership.lastOrderAtByHost[order.Host].Add(action.OrderRetryInterval)) {
		return
	}
	serving := member.Announcement.Serving
	if serving.Group == order.Group && serving.Fencing == order.Fencing {
		return
	}
	controller.leadership.lastOrderAtByHost[order.Host] = now
	order.Address = member.Announcement.Address
	order.LifetimeMS = OrderLifetime.Milliseconds()
	actions.Orders = append(actions.Orders, order)
}
