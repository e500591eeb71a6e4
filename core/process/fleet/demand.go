package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/demand"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/grouper"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/work"
	"carobline.dev/core/version/routing"
)

const (
	// maxDrainingFraction is the largest part of a service's engines that are in groups which
	// drain for another model: the calls that come meanwhile need room in the others.
	maxDrainingFraction = 1.0 / 6
	// regroupTime is how long the hosts of a dissolved group may be free before the move
	// counts as over although they are in no group.
	regroupTime = 500 * time.Millisecond
	// longestNodeWait is how long a group that was dissolved for another model stays open
	// until all nodes have received the change. A head that closes earlier refuses calls that nodes still send it.
	longestNodeWait = 300 * time.Millisecond
	// moveTimeout is how long a move counts as under way. It takes a drain of some seconds,
	// a warm-up of up to two, and the opening.
	moveTimeout = 20 * time.Second
)

// move is a group that was dissolved for another model.
type move struct {
	domain    id.Domain
	hosts     []id.Host
	startedAt time.Time
	// freedAt is when all hosts were free, and zero before.
	freedAt time.Time
}

// WorkOffered is a node's report of the work that its callers have offered.
type WorkOffered struct {
	Node        id.Node
	Incarnation id.Incarnation
	Work        []feed.OfferedWork
}

func (WorkOffered) event() {}

// ModelDemand is the measured demand for a model, and the groups that serve it.
type ModelDemand struct {
	Service id.Service `json:"service"`
	Model   id.Model   `json:"model"`
	// Groups is the number of groups, TargetGroups the number that the model should have.
	Groups       int     `json:"groups"`
	TargetGroups float64 `json:"target_groups"`
	// BusyGroups is the number of groups that the offered work keeps busy. It is below zero
	// while that isn't known.
	BusyGroups float64 `json:"busy_groups"`
}

// Demand lists the demand for the models of the services whose engines follow it, as of the
// last tick.
func (fleet *Fleet) Demand() []ModelDemand { return slices.Clone(fleet.demandByModel) }

// followsDemand reports whether the engines of a service are divided by the work that callers
// offer: the declaration has several models and the times by which work is computed.
func followsDemand(engine *routing.Engine) bool { return len(engine.Models) > 1 && work.Known(engine) }

// demandSpecs returns the models with the shares of the engines that follow from their demand, and
// the basis of these shares.
func (fleet *Fleet) demandSpecs(now time.Time, actions *Actions, service *routing.Service, engines int, free []grouper.Host, groups []grouper.Group) ([]grouper.Spec, demand.Basis) {
	specs := engineSpecs(service.Engine)
	if !followsDemand(service.Engine) {
		return specs, demand.BasisDeclared
	}
	groupsByModel, enginesByModel := map[id.Model]int{}, map[id.Model]int{}
	if len(groups) > 0 {
		enginesByModel = fleet.movedEngines(now, service, specs, free)
	}
	for index := range groups {
		groupsByModel[groups[index].Model]++
		enginesByModel[groups[index].Model] += len(groups[index].Hosts)
	}
	models := make([]demand.Model, len(specs))
	for index, spec := range specs {
		models[index] = demand.Model{Model: spec.Model, HostsPerGroup: spec.HostsPerGroup, DeclaredShare: spec.Share, Engines: enginesByModel[spec.Model]}
	}
	division := fleet.demand.Divide(now, service.Name, models, engines, fleet.servingEngines(service, groups))
	var reason strings.Builder
	fmt.Fprintf(&reason, "by %s, %d engines:", division.Basis, engines)
	for index := range specs {
		specs[index].Share = division.EnginesByModel[specs[index].Model]
		specs[index].NeededGroups, specs[index].CallCost = division.NeededByModel[specs[index].Model], division.CostByModel[specs[index].Model]
		known := ModelDemand{
			Service: service.Name, Model: specs[index].Model, Groups: groupsByModel[specs[index].Model],
			TargetGroups: specs[index].Share / float64(specs[index].HostsPerGroup), BusyGroups: -1,
		}
		if division.BusyByModel != nil {
			known.BusyGroups = division.BusyByModel[known.Model]
		}
		fleet.demandByModel = append(fleet.demandByModel, known)
		fmt.Fprintf(&reason, " %s groups=%d target=%.1f busy=%.1f", known.Model, known.Groups, known.TargetGroups, known.BusyGroups)
	}
	if division.Changed {
		actions.Decisions = append(actions.Decisions, action.Decision{Step: "divide_engines", Group: id.Group(service.Name), Reason: reason.String()})
	}
	return specs, division.Basis
}

// servingEngines counts the engines in the groups of a service, and those that are still to leave a
// retired one.
func (fleet *Fleet) servingEngines(service *routing.Service, groups []grouper.Group) int {
	count := 0
	for _, record := range fleet.state.Register.Unfreed() {
		if record.PreviousGroup != nil && record.PreviousGroup.Service == service.Name {
			count++
		}
	}
	for index := range groups {
		count += len(groups[index].Hosts)
	}
	return count
}

// movedEngines counts the engines that drain in groups without a lost host, or are free and make up
// a whole group of the model in their memory, by the other model that they can serve without a load.
// An earlier leader may have dissolved such a group for that model, and a new one goes on with what
// it finds.
func (fleet *Fleet) movedEngines(now time.Time, service *routing.Service, specs []grouper.Spec, free []grouper.Host) map[id.Model]int {
	moved := map[id.Model]int{}
	for name, record := range fleet.state.Register.Unfreed() {
		previous := record.PreviousGroup
		host, known := fleet.state.Roster.Member(name)
		if previous == nil || previous.Service != service.Name || !known || slices.ContainsFunc(previous.Hosts, func(other id.Host) bool {
			member, live := fleet.state.Roster.Member(other)
			return !live || !member.Live(now) || !recentlySeen(now, member)
		}) {
			continue
		}
		if other, ok := otherModel(specs, fleet.plannerHost(host), previous.Model); ok {
			moved[other]++
		}
	}
	freeByLoaded := map[domainModel][]id.Model{}
	for _, host := range free {
		if len(host.Loaded) == 0 {
			continue
		}
		if other, ok := otherModel(specs, host, host.Loaded[0]); ok {
			key := domainModel{host.Domain, host.Loaded[0]}
			freeByLoaded[key] = append(freeByLoaded[key], other)
		}
	}
	for _, spec := range specs {
		for key, others := range freeByLoaded {
			for position := 0; key.model == spec.Model && position < len(others)/spec.HostsPerGroup*spec.HostsPerGroup; position++ {
				moved[others[position]]++
			}
		}
	}
	return moved
}

// otherModel returns another model that a host can serve without a load.
func otherModel(specs []grouper.Spec, host grouper.Host, model id.Model) (id.Model, bool) {
	for _, spec := range specs {
		if spec.Model != model && host.HasWeights(spec.Model) {
			return spec.Model, true
		}
	}
	return "", false
}

// allowRebalance sets what a plan may dissolve for models that are served worse, and fills in the
// calls by group. Under the declared division groups are only dissolved together with free hosts,
// as without demand, and under that of the groups found none are.
func (fleet *Fleet) allowRebalance(now time.Time, service *routing.Service, engines int, basis demand.Basis, groups []grouper.Group, constraints *grouper.Constraints) {
	if basis == demand.BasisDeclared || constraints.BeforeTraffic {
		return
	}
	if fleet.state.Calls != nil {
		for index := range groups {
			groups[index].Calls = fleet.state.Calls(groups[index].Group)
		}
	}
	constraints.Rebalance, constraints.MovingDomains = true, map[id.Domain]bool{}
	draining, largest := 0, 0
	for _, model := range service.Engine.Models {
		largest = max(largest, model.Hosts)
	}
	for _, group := range slices.Sorted(maps.Keys(fleet.moveByGroup)) {
		move := fleet.moveByGroup[group]
		left := fleet.countReleasing(move.hosts)
		if left == 0 && move.freedAt.IsZero() {
			move.freedAt = now
			fleet.moveByGroup[group] = move
		}
		regrouped := !move.freedAt.IsZero() && now.Sub(move.freedAt) >= regroupTime && !slices.ContainsFunc(move.hosts, fleet.opening)
		if regrouped || now.Sub(move.startedAt) >= moveTimeout {
			delete(fleet.moveByGroup, group)
			continue
		}
		draining += left
		constraints.MovingDomains[move.domain] = true
	}
	if basis == demand.BasisWork {
		constraints.MaxMovingHosts = max(int(maxDrainingFraction*float64(engines)), largest) - draining
	}
}

// awaitsNodes reports whether a group that was dissolved for another model stays open for now,
// since nodes may still send it calls.
func (fleet *Fleet) awaitsNodes(now time.Time, group register.GroupRecord, head id.Host) bool {
	move, moved := fleet.moveByGroup[group.Group]
	return moved && now.Sub(move.startedAt) < longestNodeWait && fleet.state.Lags(fleet.state.Register.Unfreed()[head].Version)
}

// countReleasing counts the hosts that are still to leave a retired group.
func (fleet *Fleet) countReleasing(hosts []id.Host) int {
	releasing, count := fleet.state.Register.Unfreed(), 0
	for _, host := range hosts {
		if _, notFreed := releasing[host]; notFreed {
			count++
		}
	}
	return count
}

// opening reports whether a host is in a group that isn't open yet.
func (fleet *Fleet) opening(name id.Host) bool {
	groupName, assigned := fleet.state.Register.GroupOf(name)
	if !assigned {
		return false
	}
	group, known := fleet.state.Register.Group(groupName)
	if !known {
		return false
	}
	head, ok := fleet.state.Roster.Member(group.Hosts[0])
	return !ok || !inGroup(head, group) || !head.Announcement.Serving.Open
}
