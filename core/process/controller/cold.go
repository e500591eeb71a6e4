package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/coldrates"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
)

const (
	// coldInterval is the least time between two looks at which endpoints are cold, while none
	// of them has announced a change.
	coldInterval = 20 * time.Millisecond
	// maxListedNodes bounds the nodes that the record of a division names.
	maxListedNodes = 20
)

// divideCold divides the requests of the endpoints that are cold now among the nodes, and
// records the divisions that have changed.
func (controller *Controller) divideCold(now time.Time, actions *Actions) {
	leadership := controller.leadership
	cursor := controller.roster.UrgentCursor(roster.ScopeEntry)
	if cursor == leadership.coldDividedCursor && now.Sub(leadership.coldDividedAt) < coldInterval {
		return
	}
	leadership.coldDividedAt, leadership.coldDividedCursor = now, cursor
	for _, division := range leadership.coldRates.SetCold(now, controller.coldEndpoints(now)) {
		actions.Decisions = append(actions.Decisions, action.Decision{
			Step: "cold_division", Group: division.Endpoint.Group, Host: division.Endpoint.Host,
			Reason: fmt.Sprintf("%d requests per second among %d nodes: %s", division.PerSecond, len(division.AllocationByNode), listAllocations(division.AllocationByNode)),
		})
	}
}

// listAllocations names the first nodes of a division and their allocations.
func listAllocations(allocationByNode map[coldrates.Node]int) string {
	nodes := make([]coldrates.Node, 0, len(allocationByNode))
	for node := range allocationByNode {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b coldrates.Node) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	var list strings.Builder
	for position, node := range nodes {
		if position == maxListedNodes {
			fmt.Fprintf(&list, "and %d more", len(nodes)-position)
			break
		}
		fmt.Fprintf(&list, "%s=%d ", node.Name, allocationByNode[node])
	}
	return strings.TrimSpace(list.String())
}

// coldEndpoints returns the endpoints that are cold now and whose service limits the requests
// to those.
func (controller *Controller) coldEndpoints(now time.Time) []coldrates.Cold {
	declared := controller.register.Declared()
	if declared == nil {
		return nil
	}
	perSecondByService := map[id.Service]int{}
	for index := range declared.Declaration.Services {
		service := &declared.Declaration.Services[index]
		if perSecond, limited := service.ColdRequests(); limited {
			perSecondByService[service.Name] = perSecond
		}
	}
	if len(perSecondByService) == 0 {
		return nil
	}
	var cold []coldrates.Cold
	for _, host := range controller.roster.ColdMembers(now) {
		perSecond, limited := perSecondByService[host.Announcement.Service]
		if endpoint, ok := controller.endpointAt(now, host); ok && limited {
			cold = append(cold, coldrates.Cold{Endpoint: endpoint, PerSecond: perSecond})
		}
	}
	return cold
}

// endpointAt returns the endpoint whose requests go to a host: the open group that it heads, or
// itself as a live host of a plain service.
func (controller *Controller) endpointAt(now time.Time, host *roster.Member) (feed.Endpoint, bool) {
	announcement := &host.Announcement
	if !announcement.Engine {
		return feed.Endpoint{Host: announcement.Host}, announcement.Service != "" && host.Live(now)
	}
	serving := announcement.Serving
	group, ok := controller.register.Group(serving.Group)
	heads := ok && serving.Open && !serving.Broken && group.Fencing == serving.Fencing && group.Service != "" && group.Hosts[0] == announcement.Host
	return feed.Endpoint{Group: group.Group}, heads
}

// coldNode names the incarnation of a node that sent a request.
func coldNode(request *feed.Request) coldrates.Node {
	return coldrates.Node{Name: request.Node, Incarnation: request.Incarnation}
}
