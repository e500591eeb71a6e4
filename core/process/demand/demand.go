// Package demand decides, on the leader, how the engines of a service are divided between its
// models. It sums up the work that nodes report as offered by their callers, smooths it, and
// returns how many engines each model should have.
//
// A division stays in use until the smoothed work gives one that differs clearly and has
// done so for a time, so that a wave which moves all models together changes nothing, and a
// short burst little.
//
// # Usage
//
//	demand := demand.New()
//	demand.Report(now, node, incarnation, work)
//	division := demand.Divide(now, service, models, engines, capacity)
package demand

import (
	"maps"
	"math"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
)

const (
	// smoothingTime is the time in which reported work loses all but 1/e of its weight. It
	// is about half the period of the usual wave, and bursts last 3 to 6 s.
	smoothingTime = 4 * time.Second
	// recentTime is the same for the recent work, which shows that a burst is over while the
	// smoothed work still rests on it.
	recentTime = time.Second
	// minEvidenceTime and minEvidenceCalls are for how long work must have been reported,
	// and how many calls, weighted by their age, before it counts. The mean of 200 calls
	// whose sizes differ as much as usual is within a tenth.
	minEvidenceTime  = 2 * time.Second
	minEvidenceCalls = 200
	// minGroupsChange and minRelativeChange are by how much the target of a model must
	// differ from the one in use, in groups and as a part of it. It must do so for
	// firstChangeTime before the work is first followed, for largeChangeTime if the difference
	// is largeChange times as large, and for changeTime later: bursts last 3 to 6 s, and hosts
	// that move serve after some 4 s.
	minGroupsChange   = 1.0
	minRelativeChange = 0.1
	firstChangeTime   = 3 * time.Second
	largeChange       = 2
	largeChangeTime   = 500 * time.Millisecond
	changeTime        = 7 * time.Second
	// recentAgreement is the part of that difference which the recent work must show too.
	recentAgreement = 0.7
	// longestReportGap is the longest time for which one report counts in full. After a
	// longer gap a node's sums cover a time that has passed.
	longestReportGap = 2 * time.Second
	// nodeLifetime is how long the sums of a node are kept after its last report.
	nodeLifetime = time.Minute
	// negligibleCalls is the smoothed number of calls below which a sum is dropped.
	negligibleCalls = 1e-3
	// fullLoad is the part of the groups' time above which calls wait for each other, so
	// that capacity counts as short.
	fullLoad = 0.85
	// urgencyFactor is how much the weight of each further level of priority falls with
	// the shortage, which is limited to maxShortage.
	urgencyFactor = 0.5
	maxShortage   = 1
	// comfortableLoad is the part of the groups' time up to which calls hardly wait for each
	// other.
	comfortableLoad = 0.65
	// needWindow is for how long at least the largest need counts. It is longer than the usual
	// wave, so that a trough frees no groups which the next crest needs.
	needWindow = 12 * time.Second
	// costPerLevel is the factor on the cost of a call for each level of priority below the
	// most urgent one.
	costPerLevel = 2
)

// Model is a model of a service, with its declared share of the work and how many engines are
// in its groups or on their way there.
type Model struct {
	Model         id.Model
	HostsPerGroup int
	DeclaredShare float64
	Engines       int
}

// Basis is what a division rests on.
type Basis string

// The bases of divisions.
const (
	// BasisDeclared is the declared shares.
	BasisDeclared Basis = "declared"
	// BasisGroups is the groups that a new leader has found.
	BasisGroups Basis = "groups"
	// BasisWork is the reported work.
	BasisWork Basis = "work"
)

// Division is how many engines each model should have, and what is known of its work.
type Division struct {
	EnginesByModel map[id.Model]float64
	Basis          Basis
	// Changed is set when the division has changed since the last one.
	Changed bool
	// BusyByModel is the number of groups that the offered work keeps busy. It is nil
	// without evidence.
	BusyByModel map[id.Model]float64
	// NeededByModel is the largest number of groups with which calls hardly wait, of the last
	// needWindow or two. CostByModel is the engine time of one call, multiplied by costPerLevel
	// for each level by which it is less urgent. Both are nil without evidence.
	NeededByModel, CostByModel map[id.Model]float64
}

// key is what work is summed up by.
type key struct {
	service  id.Service
	model    id.Model
	priority int
}

// sum is work with the number of calls. recentMS is the recent work.
type sum struct{ calls, workMS, recentMS float64 }

// node is what a node has reported last.
type node struct {
	incarnation id.Incarnation
	reportedAt  time.Time
	sumByKey    map[key]sum
}

// service is what is known of one service.
type service struct {
	// since is when the first work was counted, and coveredFrom the start of the time that it
	// came in.
	since, coveredFrom time.Time
	// sharesByModel are the shares of the engines in use.
	sharesByModel map[id.Model]float64
	basis         Basis
	// settled is set once the division by work was close to the one in use.
	settled bool
	// differsSince is since when the division by work differs clearly; zero if it doesn't.
	differsSince time.Time
	// needs are the largest needs since needsFrom, and formerNeeds those of the window before.
	needs, formerNeeds map[id.Model]float64
	needsFrom          time.Time
}

// Demand holds the reported work and the divisions of one leader. It isn't safe for concurrent use.
type Demand struct {
	nodeByName    map[id.Node]*node
	prunedAt      time.Time
	serviceByName map[id.Service]*service
	// sumByKey is the smoothed work, as of smoothedAt.
	sumByKey   map[key]sum
	smoothedAt time.Time
}

// New returns a Demand without reports.
func New() *Demand {
	return &Demand{nodeByName: map[id.Node]*node{}, serviceByName: map[id.Service]*service{}, sumByKey: map[key]sum{}}
}

// Report counts what a node's sums have risen by since its last report. The first report of an
// incarnation only sets what later ones are compared with, since it covers an unknown time.
func (demand *Demand) Report(now time.Time, name id.Node, incarnation id.Incarnation, work []feed.OfferedWork) {
	demand.prune(now)
	if len(work) == 0 {
		return
	}
	sums := map[key]sum{}
	for _, offered := range work {
		if offered.WorkMS >= 0 && !math.IsInf(offered.WorkMS, 1) {
			sums[key{offered.Service, offered.Model, offered.Priority}] = sum{calls: float64(offered.Calls), workMS: offered.WorkMS}
		}
	}
	last := demand.nodeByName[name]
	demand.nodeByName[name] = &node{incarnation: incarnation, reportedAt: now, sumByKey: sums}
	if last == nil || last.incarnation != incarnation {
		return
	}
	demand.smooth(now)
	part := min(1, longestReportGap.Seconds()/max(now.Sub(last.reportedAt).Seconds(), time.Millisecond.Seconds()))
	for key, current := range sums {
		before := last.sumByKey[key]
		if current.calls < before.calls || current.workMS < before.workMS || current == before {
			continue
		}
		smoothed := demand.sumByKey[key]
		smoothed.calls += part * (current.calls - before.calls)
		smoothed.workMS += part * (current.workMS - before.workMS)
		smoothed.recentMS += part * (current.workMS - before.workMS)
		demand.sumByKey[key] = smoothed
		if known := demand.service(key.service); known.since.IsZero() {
			known.since, known.coveredFrom = now, now.Add(-min(now.Sub(last.reportedAt), longestReportGap))
		}
	}
}

// prune drops the sums of nodes without a report for nodeLifetime.
func (demand *Demand) prune(now time.Time) {
	if now.Sub(demand.prunedAt) < nodeLifetime {
		return
	}
	demand.prunedAt = now
	maps.DeleteFunc(demand.nodeByName, func(_ id.Node, node *node) bool { return now.Sub(node.reportedAt) >= nodeLifetime })
}

func (demand *Demand) service(name id.Service) *service {
	known := demand.serviceByName[name]
	if known == nil {
		known = &service{}
		demand.serviceByName[name] = known
	}
	return known
}

// smooth lets the sums age up to now.
func (demand *Demand) smooth(now time.Time) {
	if elapsed := now.Sub(demand.smoothedAt); elapsed > 0 {
		factor, recentFactor := math.Exp(-elapsed.Seconds()/smoothingTime.Seconds()), math.Exp(-elapsed.Seconds()/recentTime.Seconds())
		for key, smoothed := range demand.sumByKey {
			smoothed.calls, smoothed.workMS, smoothed.recentMS = smoothed.calls*factor, smoothed.workMS*factor, smoothed.recentMS*recentFactor
			demand.sumByKey[key] = smoothed
		}
		maps.DeleteFunc(demand.sumByKey, func(_ key, smoothed sum) bool { return smoothed.calls < negligibleCalls })
		demand.smoothedAt = now
	}
}

// Divide returns the division of a number of engines to use now. Capacity is how many of them
// serve: domains have engines left over that make up no group.
func (demand *Demand) Divide(now time.Time, name id.Service, models []Model, engines, capacity int) Division {
	known := demand.service(name)
	changed := false
	if !known.covers(models) {
		known.sharesByModel, known.basis = initialShares(models)
		changed = true
	} else if declared := declaredShares(models); known.basis == BasisDeclared && !maps.Equal(declared, known.sharesByModel) {
		known.sharesByModel, changed = declared, true
	}
	demand.smooth(now)
	busy := demand.busyGroups(now, name, known, models)
	if busy != nil {
		shortage := shortage(busy, models, capacity)
		wanted := demand.wantedShares(name, shortage, models, engines, func(sum sum) float64 { return sum.workMS })
		recent := demand.wantedShares(name, shortage, models, engines, func(sum sum) float64 { return sum.recentMS })
		if known.basis == BasisGroups {
			changed = true
			known.leaveFoundGroups(wanted, recent, models, engines)
		}
		difference := known.difference(wanted, recent, models, engines)
		switch {
		case difference < 1:
			known.differsSince, known.settled = time.Time{}, true
		case known.differsSince.IsZero():
			known.differsSince = now
		}
		if !known.differsSince.IsZero() && now.Sub(known.differsSince) >= known.changeTime(difference) {
			known.sharesByModel, known.basis, known.differsSince, changed = wanted, BasisWork, time.Time{}, true
		}
	}
	division := Division{EnginesByModel: map[id.Model]float64{}, Basis: known.basis, Changed: changed, BusyByModel: busy}
	for model, share := range known.sharesByModel {
		division.EnginesByModel[model] = share * float64(engines)
	}
	if busy != nil {
		division.NeededByModel, division.CostByModel = known.updateNeeds(now, busy), demand.costs(name, models)
	}
	return division
}

// updateNeeds takes over the groups that the work keeps busy now, and returns the largest needs
// of this window and the one before.
func (service *service) updateNeeds(now time.Time, busy map[id.Model]float64) map[id.Model]float64 {
	if now.Sub(service.needsFrom) >= needWindow {
		service.formerNeeds, service.needs, service.needsFrom = service.needs, map[id.Model]float64{}, now
	}
	largest := make(map[id.Model]float64, len(busy))
	for model, groups := range busy {
		service.needs[model] = max(service.needs[model], groups/comfortableLoad)
		largest[model] = max(service.needs[model], service.formerNeeds[model])
	}
	return largest
}

// costs returns the cost of one call of each model, see Division.CostByModel. A model
// without calls has the cost 0.
func (demand *Demand) costs(name id.Service, models []Model) map[id.Model]float64 {
	costs := make(map[id.Model]float64, len(models))
	for _, model := range models {
		calls, work, levels := 0.0, 0.0, 0.0
		for key, smoothed := range demand.sumByKey {
			if key.service == name && key.model == model.Model {
				calls += smoothed.calls
				work += smoothed.workMS
				levels += smoothed.calls * float64(key.priority)
			}
		}
		if calls > 0 {
			costs[model.Model] = work / calls * float64(model.HostsPerGroup) * math.Pow(costPerLevel, levels/calls)
		}
	}
	return costs
}

// leaveFoundGroups replaces the division that a new leader has found by the declared one, or by the
// division by work where that differs clearly. Otherwise losses of groups would be permanent.
func (service *service) leaveFoundGroups(wanted, recent map[id.Model]float64, models []Model, engines int) {
	service.sharesByModel, service.basis = declaredShares(models), BasisDeclared
	if service.difference(wanted, recent, models, engines) >= 1 {
		service.sharesByModel, service.basis = wanted, BasisWork
	}
}

// changeTime returns for how long the division by work must have differed from the one in use by this
// many times what is clear.
func (service *service) changeTime(difference float64) time.Duration {
	switch {
	case service.basis == BasisWork || service.settled:
		return changeTime
	case difference >= largeChange:
		return largeChangeTime
	default:
		return firstChangeTime
	}
}

// covers reports whether the shares in use are those of the models, and the declaration hasn't
// added or removed any.
func (service *service) covers(models []Model) bool {
	if service.sharesByModel == nil || len(service.sharesByModel) != len(models) {
		return false
	}
	for _, model := range models {
		if _, ok := service.sharesByModel[model.Model]; !ok {
			return false
		}
	}
	return true
}

// initialShares returns the declared shares, or where there are groups already, theirs: an
// earlier leader has moved them there by the work, and nothing is moved back without evidence.
func initialShares(models []Model) (map[id.Model]float64, Basis) {
	byGroups, engines := map[id.Model]float64{}, 0
	for _, model := range models {
		engines += model.Engines
		byGroups[model.Model] = float64(model.Engines)
		if model.Engines == 0 && model.DeclaredShare > 0 {
			byGroups[model.Model] = float64(model.HostsPerGroup)
		}
	}
	if engines > 0 {
		return normalised(byGroups), BasisGroups
	}
	return declaredShares(models), BasisDeclared
}

func declaredShares(models []Model) map[id.Model]float64 {
	declared := map[id.Model]float64{}
	for _, model := range models {
		declared[model.Model] = max(0, model.DeclaredShare)
	}
	return normalised(declared)
}

// normalised returns shares that add up to 1. They are equal if there are none.
func normalised(shares map[id.Model]float64) map[id.Model]float64 {
	total := 0.0
	for _, share := range shares {
		total += share
	}
	normalised := make(map[id.Model]float64, len(shares))
	for model, share := range shares {
		if total > 0 {
			normalised[model] = share / total
		} else {
			normalised[model] = 1 / float64(len(shares))
		}
	}
	return normalised
}

// averagedTime returns the time that the smoothed sums stand for.
func averagedTime(elapsed time.Duration) float64 {
	return smoothingTime.Seconds() * (1 - math.Exp(-max(elapsed, time.Millisecond).Seconds()/smoothingTime.Seconds()))
}

// busyGroups returns how many groups of each model the work keeps busy, or nil while there
// isn't enough evidence.
func (demand *Demand) busyGroups(now time.Time, name id.Service, known *service, models []Model) map[id.Model]float64 {
	if known.since.IsZero() || now.Sub(known.since) < minEvidenceTime {
		return nil
	}
	calls, workByModel := 0.0, map[id.Model]float64{}
	for key, smoothed := range demand.sumByKey {
		if key.service == name {
			calls += smoothed.calls
			workByModel[key.model] += smoothed.workMS
		}
	}
	if calls < minEvidenceCalls {
		return nil
	}
	busy := make(map[id.Model]float64, len(models))
	for _, model := range models {
		busy[model.Model] = workByModel[model.Model] / (averagedTime(now.Sub(known.coveredFrom)) * float64(time.Second/time.Millisecond))
	}
	return busy
}

// shortage returns by how much the work exceeds what the serving engines take, as a part of that.
func shortage(busy map[id.Model]float64, models []Model, capacity int) float64 {
	needed := 0.0
	for _, model := range models {
		needed += busy[model.Model] * float64(model.HostsPerGroup)
	}
	return min(maxShortage, max(0, needed/(fullLoad*max(1, float64(capacity)))-1))
}

// wantedShares returns the shares of the engines in proportion to the work. Where the engines
// don't suffice for all of it, more urgent work weighs more. Each model gets at least one
// group if there are enough engines.
func (demand *Demand) wantedShares(name id.Service, shortage float64, models []Model, engines int, workOf func(sum) float64) map[id.Model]float64 {
	hosts, hostsByModel, weighted := 0, map[id.Model]float64{}, map[id.Model]float64{}
	for _, model := range models {
		hosts += model.HostsPerGroup
		hostsByModel[model.Model], weighted[model.Model] = float64(model.HostsPerGroup), 0
	}
	mostUrgent := math.MaxInt
	for key := range demand.sumByKey {
		if _, declared := hostsByModel[key.model]; declared && key.service == name {
			mostUrgent = min(mostUrgent, key.priority)
		}
	}
	for key, smoothed := range demand.sumByKey {
		if perGroup, declared := hostsByModel[key.model]; declared && key.service == name {
			weighted[key.model] += workOf(smoothed) * perGroup / (1 + urgencyFactor*shortage*float64(key.priority-mostUrgent))
		}
	}
	shares := normalised(weighted)
	if hosts <= engines {
		raiseToOneGroup(shares, models, engines)
	}
	return shares
}

// raiseToOneGroup raises the shares of models that would get less than one group, at the
// expense of the others in proportion.
func raiseToOneGroup(shares map[id.Model]float64, models []Model, engines int) {
	raised := map[id.Model]bool{}
	for range models {
		fixed, rest := 0.0, 0.0
		for _, model := range models {
			least := float64(model.HostsPerGroup) / float64(engines)
			if raised[model.Model] || shares[model.Model] < least {
				raised[model.Model], shares[model.Model] = true, least
				fixed += least
				continue
			}
			rest += shares[model.Model]
		}
		if rest <= 0 || len(raised) == 0 {
			return
		}
		for _, model := range models {
			if !raised[model.Model] {
				shares[model.Model] *= (1 - fixed) / rest
			}
		}
	}
}

// difference returns by how many times what is clear the target of a model differs from the one
// in use, by the smoothed work, if the recent work shows the same. It is the largest of all models.
func (service *service) difference(wanted, recent map[id.Model]float64, models []Model, engines int) float64 {
	largest := 0.0
	for _, model := range models {
		groups := float64(engines) / float64(max(1, model.HostsPerGroup))
		inUse := service.sharesByModel[model.Model] * groups
		difference, recentDifference := wanted[model.Model]*groups-inUse, recent[model.Model]*groups-inUse
		margin := max(minGroupsChange, minRelativeChange*inUse)
		if sameSign := difference*recentDifference > 0; sameSign && math.Abs(recentDifference) >= recentAgreement*margin {
			largest = max(largest, math.Abs(difference)/margin)
		}
	}
	return largest
}
