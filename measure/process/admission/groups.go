package admission

import (
	"cmp"
	"fmt"
	"slices"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/balancer"
)

// groupNames and groupByName are the names of groups, by index.
var groupNames, groupByName = nameGroups()

func nameGroups() ([]feed.Endpoint, map[feed.Endpoint]int) {
	const most = 1000
	byName := map[feed.Endpoint]int{}
	var names []feed.Endpoint
	for index := range most {
		name := feed.Endpoint{Group: id.Group(fmt.Sprintf("g%03d", index))}
		names, byName[name] = append(names, name), index
	}
	return names, byName
}

// applyPauses begins the pauses whose time has come.
func (simulation *simulation) applyPauses() {
	for _, pause := range simulation.scenario.Pauses {
		if simulation.now >= pause.At && simulation.now < pause.At+tick {
			simulation.groups[pause.Group].pausedUntil = pause.At + pause.Length
		}
	}
}

// applySlowdowns changes the pace of groups.
func (simulation *simulation) applySlowdowns() {
	for _, slowdown := range simulation.scenario.Slowdowns {
		group := simulation.groups[slowdown.Group]
		switch {
		case simulation.now >= slowdown.At && simulation.now < slowdown.At+tick:
			group.engine.Pace = cmp.Or(group.engine.Pace, 1) * slowdown.Factor
		case simulation.now >= slowdown.Until && simulation.now < slowdown.Until+tick:
			group.engine.Pace = simulation.scenario.Engine.Pace
		}
	}
}

// applyLosses stops groups, whose calls go on elsewhere, and brings them back.
func (simulation *simulation) applyLosses() {
	for _, loss := range simulation.scenario.Losses {
		group := simulation.groups[loss.Group]
		if simulation.now >= loss.BackAt && simulation.now < loss.BackAt+tick {
			group.lost = false
		}
		if simulation.now < loss.At || simulation.now >= loss.At+tick || loss.At < 0 {
			continue
		}
		group.lost, group.brokenAt = true, simulation.now+simulation.scenario.Stall
		if simulation.scenario.Stall > 0 {
			continue
		}
		moved := group.calls
		group.calls = nil
		for _, call := range moved {
			simulation.done(call, loss.Group, balancer.Failed)
			simulation.submit(call, true)
		}
	}
}

// listed reports whether entry hosts get a group.
func (simulation *simulation) listed(group *group) bool {
	return !group.lost || simulation.now < group.brokenAt-simulation.scenario.Stall+simulation.scenario.LossKnown
}

// cancelOverdue cancels the calls of a group that are past their deadline.
func (simulation *simulation) cancelOverdue(index int, group *group) {
	var overdue []*call
	group.calls = slices.DeleteFunc(group.calls, func(call *call) bool {
		late := simulation.now-call.arrivedAt > call.kindOf.Deadline
		if late {
			overdue = append(overdue, call)
		}
		return late
	})
	for _, call := range overdue {
		simulation.cancelSearch(call)
		simulation.done(call, index, balancer.Abandoned)
	}
}

// moveSilent moves the calls of a group that have had no event for too long, and drops
// those whose callers have given up.
func (simulation *simulation) moveSilent(index int, group *group) {
	for _, call := range slices.Clone(group.calls) {
		silent := simulation.now - max(call.sentAt, call.lastAt)
		begun := call.begun()
		broken := group.lost && simulation.now >= group.brokenAt
		limit := max(minStartTimeout, 2*call.kindOf.Target)
		if begun {
			limit = max(minPauseTimeout, 2*call.kindOf.Pause)
		}
		switch {
		case call.original != nil:
		case simulation.now-max(call.askedAt, call.lastAt) > call.kindOf.EventTimeout:
			group.remove(call)
			simulation.cancelSearch(call)
			simulation.done(call, index, balancer.Abandoned)
		case simulation.scenario.Beside && !broken:
			if silent > limit {
				simulation.search(index, call)
			}
		case broken || (silent > limit && (begun || call.runs < maxRuns)):
			group.remove(call)
			if broken && !begun {
				call.runs--
			}
			simulation.cancelSearch(call)
			simulation.done(call, index, balancer.Failed)
			simulation.sendAgain(call, rejectedRetryAfter)
		}
	}
}
