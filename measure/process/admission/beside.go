package admission

import (
	"slices"

	"carobline.dev/core/request/balancer"
)

// search reports an unresponsive call to its balancer, once in each pause, and looks for another
// group that goes on with it, at most once in minPauseTimeout.
func (simulation *simulation) search(group int, silent *call) {
	if silent.reportedAt <= max(silent.sentAt, silent.lastAt) {
		silent.reportedAt = simulation.now
		ending := balancer.Failed
		if silent.begun() {
			ending = balancer.Stalled
		}
		silent.host.balancer.Report(simulation.clock(), groupNames[group], ending)
	}
	if silent.replacement != nil || simulation.now-silent.searchedAt < minPauseTimeout || silent.runs >= maxRuns || len(silent.tried) >= maxSends || !silent.host.budget.Spend() {
		return
	}
	silent.searchedAt = simulation.now
	search := *silent
	search.original, search.tried = silent, slices.Clone(silent.tried)
	silent.replacement = &search
	simulation.submit(&search, true)
}

// decideSearch carries out a decision on a search.
func (simulation *simulation) decideSearch(search *call, decision balancer.Decision) {
	original := search.original
	if decision.Verdict == balancer.VerdictRefuse {
		search.host.budget.Refund()
		original.replacement = nil
		return
	}
	search.group, search.sentAt = groupByName[decision.Endpoint.Name], simulation.now
	original.tried = append(original.tried, decision.Endpoint.Name)
	search.unread, search.inPass = search.prompt+(search.events-search.eventsLeft)*simulation.scenario.Engine.StepsPerEvent, false
	if !simulation.groups[search.group].add(simulation.now, search) {
		original.replacement = nil
		simulation.done(search, search.group, balancer.Full)
		return
	}
	original.runs++
	simulation.sentTwice++
}

// cancelSearch ends the search for a call that needs none any more.
func (simulation *simulation) cancelSearch(call *call) {
	search := call.replacement
	if search == nil {
		return
	}
	call.replacement = nil
	if _, waits := search.host.waiting[search.number]; waits {
		delete(search.host.waiting, search.number)
		search.host.budget.Refund()
		search.host.balancer.Cancel(simulation.clock(), balancer.Call{Number: search.number, Pool: pool})
		return
	}
	simulation.groups[search.group].remove(search)
	simulation.done(search, search.group, balancer.Abandoned)
}

// takeOver makes a call go on at the group of its search, which has begun to write, and
// returns it.
func (simulation *simulation) takeOver(search *call) *call {
	original := search.original
	simulation.groups[original.group].remove(original)
	simulation.done(original, original.group, balancer.Abandoned)
	original.replacement = nil
	original.group, original.sentAt = search.group, search.sentAt
	original.unread, original.inPass, original.eventsLeft = search.unread, search.inPass, search.eventsLeft
	calls := simulation.groups[search.group].calls
	if index := slices.Index(calls, search); index >= 0 {
		calls[index] = original
	}
	return original
}
