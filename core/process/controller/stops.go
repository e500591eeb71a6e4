package controller

import (
	"fmt"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

// replacementPatience is how long a stop waits for a group that takes the
// place of the one it drains.
const replacementPatience = time.Minute

// stoppingHosts gives the incarnations of hosts that a planned stop covers,
// finished or not: such a host is used again once it has restarted.
func (controller *Controller) stoppingHosts() map[id.Host]id.Incarnation {
	stopping := map[id.Host]id.Incarnation{}
	for _, stop := range controller.register.Stops() {
		for host, incarnation := range stop.Hosts {
			stopping[host] = max(stopping[host], incarnation)
		}
	}
	return stopping
}

// planStop finds what is under a stop's target, and refuses a stop that would
// break a promise unless the loss is accepted.
func (controller *Controller) planStop(now time.Time, stop register.CreateStop, acceptLoss bool) (register.CreateStop, *register.Result) {
	stop.Hosts, stop.Nodes = map[id.Host]id.Incarnation{}, map[id.Node]id.Incarnation{}
	controller.findHosts(now, &stop)
	if stop.Kind == register.TargetNode {
		if node := controller.reign.nodes[id.Node(stop.Target)]; node != nil && node.incarnation > 0 {
			stop.Nodes[id.Node(stop.Target)] = node.incarnation
		}
	}
	if len(stop.Hosts)+len(stop.Nodes) == 0 {
		return stop, refusal("%s %s is not known or has nothing running; carobline status lists what is", stop.Kind, stop.Target)
	}
	if acceptLoss {
		return stop, nil
	}
	if problem := controller.losesQuorum(now, stop); problem != nil {
		return stop, problem
	}
	return stop, controller.losesModel(now, stop)
}

func refusal(format string, arguments ...any) *register.Result {
	return &register.Result{Verdict: register.VerdictRefused, Reason: fmt.Sprintf(format, arguments...)}
}

func (controller *Controller) findHosts(now time.Time, stop *register.CreateStop) {
	var members []id.Host
	if group, ok := controller.register.Group(id.Group(stop.Target)); ok && stop.Kind == register.TargetGroup && group.Phase != register.PhaseRetired {
		members = group.Hosts
	}
	for _, member := range controller.hosts.Members() {
		announcement := member.Announcement
		var hit bool
		switch stop.Kind {
		case register.TargetEndpoint:
			hit = string(announcement.Host) == stop.Target
		case register.TargetGroup:
			hit = slices.Contains(members, announcement.Host)
		case register.TargetDomain:
			hit = string(announcement.Domain) == stop.Target
		case register.TargetDataCentre:
			hit = string(announcement.DataCentre) == stop.Target
		}
		if hit && now.Before(member.Expiry) {
			stop.Hosts[announcement.Host] = announcement.Incarnation
		}
	}
}

// losesQuorum refuses a stop of a voter that a majority can't spare.
func (controller *Controller) losesQuorum(now time.Time, stop register.CreateStop) *register.Result {
	voters := controller.quorum.Status().Membership.Voters
	leaving := map[id.Node]bool{}
	for _, other := range controller.register.Stops() {
		for node, incarnation := range other.Nodes {
			if state := controller.reign.nodes[node]; state == nil || state.incarnation <= incarnation {
				leaving[node] = true
			}
		}
	}
	touched := false
	for node := range stop.Nodes {
		leaving[node] = true
		touched = touched || slices.Contains(voters, node)
	}
	staying := 0
	for _, voter := range voters {
		state := controller.reign.nodes[voter]
		live := voter == controller.config.Self || (state != nil && state.incarnation > 0 && now.Before(state.leaseBound))
		if live && !leaving[voter] {
			staying++
		}
	}
	if touched && staying <= len(voters)/2 {
		return refusal("the stop leaves %d of %d voters, and no change could be accepted; wait for the others, or accept the loss", staying, len(voters))
	}
	return nil
}

// losesModel refuses a stop that leaves a contract's model without a group.
func (controller *Controller) losesModel(now time.Time, stop register.CreateStop) *register.Result {
	whole := map[id.Model]int{}
	kept := map[id.Model]int{}
	stopping := controller.stoppingHosts()
	for _, group := range controller.register.Groups() {
		if group.Phase != register.PhaseServing || !controller.ready(now, group) {
			continue
		}
		whole[group.Model]++
		if !controller.touches(group, stopping) && !controller.touches(group, stop.Hosts) {
			kept[group.Model]++
		}
	}
	for _, group := range controller.replacements(now, stop) {
		kept[group.Model]++
	}
	for _, record := range controller.register.Contracts() {
		for _, model := range record.Contract.Models {
			if !record.Retired && whole[model] > 0 && kept[model] == 0 {
				return refusal("the stop leaves no group for model %s of customer %s; bring spare hosts, or accept the loss", model, record.Contract.ClientAccount)
			}
		}
	}
	return nil
}

// replacements are the groups that free hosts outside a stop could form.
func (controller *Controller) replacements(now time.Time, stop register.CreateStop) []placer.Assignment {
	free := slices.DeleteFunc(controller.free(now), func(host placer.Host) bool { return stop.Hosts[host.Host] > 0 })
	return placer.Plan(free, controller.config.ModelSpecs, nil)
}

// touches tells whether any host of a group is under a stop.
func (controller *Controller) touches(group register.GroupRecord, hosts map[id.Host]id.Incarnation) bool {
	return slices.ContainsFunc(group.Hosts, func(host id.Host) bool {
		member, ok := controller.hosts.Member(host)
		return hosts[host] > 0 && (!ok || member.Announcement.Incarnation <= hosts[host])
	})
}

// handOverIfStopping passes leadership on while a stop of this node waits; it
// tells whether one does.
func (controller *Controller) handOverIfStopping(now time.Time, actions *Actions) bool {
	for _, stop := range controller.register.Stops() {
		if !stop.Done && stop.Nodes[controller.config.Self] == controller.config.Incarnation && len(stop.Nodes) > 0 {
			controller.absorb(now, actions, controller.quorum.Step(now, quorum.TransferLeadership{}))
			return true
		}
	}
	return false
}

// advanceStops takes the next step of one planned stop.
func (controller *Controller) advanceStops(now time.Time, actions *Actions) bool {
	for _, stop := range controller.register.Stops() {
		if stop.Done {
			continue
		}
		if controller.drainHosts(now, actions, stop) {
			return true
		}
		if controller.stopped(now, stop) {
			controller.proposeOwn(now, actions, register.Command{FinishStop: &register.FinishStop{Stop: stop.Stop}})
			return true
		}
	}
	return false
}

// drainHosts drains the groups of a stop's hosts, and repairs or retires those
// that have nothing running any more.
func (controller *Controller) drainHosts(now time.Time, actions *Actions, stop register.StopRecord) bool {
	for _, group := range controller.register.Groups() {
		if group.Phase == register.PhaseRetired || !controller.touches(group, stop.Hosts) {
			continue
		}
		if group.Phase == register.PhaseServing {
			if controller.awaitsReplacement(now, stop.Stop) {
				continue
			}
			controller.proposeOwn(now, actions, register.Command{DrainGroup: &register.DrainGroup{Group: group.Group, Base: group.Fencing}})
			return true
		}
		if !controller.idle(now, feed.Endpoint{Group: group.Group}, group.Hosts[0], group.Version) {
			continue
		}
		if controller.repair(now, actions, group, controller.leaving(now, group)) {
			return true
		}
		controller.proposeOwn(now, actions, register.Command{RetireGroup: &register.RetireGroup{Group: group.Group, Base: group.Fencing}})
		return true
	}
	return false
}

// awaitsReplacement tells whether free hosts are about to serve as a new
// group, so that capacity is made before it is taken away.
func (controller *Controller) awaitsReplacement(now time.Time, stop id.Stop) bool {
	since, ok := controller.reign.stopSince[stop]
	if !ok {
		since = now
		controller.reign.stopSince[stop] = since
	}
	if !now.Before(since.Add(replacementPatience)) {
		return false
	}
	if len(placer.Plan(controller.free(now), controller.config.ModelSpecs, nil)) > 0 {
		return true
	}
	for _, group := range controller.register.Groups() {
		if group.Phase == register.PhaseServing && len(controller.missing(now, group)) == 0 && !controller.ready(now, group) {
			return true
		}
	}
	return false
}

// leaving lists the hosts of a group that are missing or under a stop.
func (controller *Controller) leaving(now time.Time, group register.GroupRecord) []id.Host {
	leaving := controller.missing(now, group)
	stopping := controller.stoppingHosts()
	for _, host := range group.Hosts {
		member, ok := controller.hosts.Member(host)
		if ok && stopping[host] >= member.Announcement.Incarnation && !slices.Contains(leaving, host) {
			leaving = append(leaving, host)
		}
	}
	return leaving
}

// idle tells whether nothing runs on an endpoint and nothing can begin: each
// node that may take work has the version in force and reports no call, and
// the endpoint's own host reports none.
func (controller *Controller) idle(now time.Time, endpoint feed.Endpoint, host id.Host, version id.Version) bool {
	if len(controller.lagging(now, version)) > 0 {
		return false
	}
	for _, node := range controller.reign.nodes {
		if now.Before(node.leaseBound) && node.running[endpoint] > 0 {
			return false
		}
	}
	member, ok := controller.hosts.Member(host)
	if !ok || !now.Before(member.Expiry) {
		return true
	}
	load := member.Announcement.Load
	return load.Running == 0 && load.Queued == 0
}

// stopped tells whether nothing of a stop's target runs any more.
func (controller *Controller) stopped(now time.Time, stop register.StopRecord) bool {
	for _, group := range controller.register.Groups() {
		if group.Phase != register.PhaseRetired && controller.touches(group, stop.Hosts) {
			return false
		}
	}
	for host := range stop.Hosts {
		if !controller.idle(now, feed.Endpoint{Host: host}, host, stop.Version) {
			return false
		}
	}
	for name, incarnation := range stop.Nodes {
		node := controller.reign.nodes[name]
		gone := node == nil || node.incarnation > incarnation || !now.Before(node.leaseBound)
		if !gone && (!node.drained || name == controller.config.Self) {
			return false
		}
	}
	return true
}
