package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	// engineStallTimeout is how long the head of a group waits for a lost host.
	engineStallTimeout     = 4 * time.Second
	engineAnnounceInterval = 1200 * time.Millisecond
	engineLease            = 4 * engineAnnounceInterval
	// An engine becomes ready after storeLoadTime when the weights come from the
	// weight store, after stagedLoadTime when its host holds them, and after
	// residentLoadTime when they are in its memory.
	storeLoadTime = 12 * time.Second
	// earlyLoadTime replaces storeLoadTime in simulations of a system that starts.
	earlyLoadTime    = 1600 * time.Millisecond
	stagedLoadTime   = time.Second
	residentLoadTime = 200 * time.Millisecond
	// stallDetectionTime is the time without an announcement after which a host of a
	// stalled group counts as lost.
	stallDetectionTime = engineAnnounceInterval * 5 / 4
)

// engineService has a model with groups of four hosts and one with groups of two.
var engineService = routing.Service{Name: "pool", Engine: &routing.Engine{
	Slots: 8, LoadsAtOnce: 7, LoadsPerSecond: 5, StagedModels: 1,
	Models: []routing.Model{{Name: "four", Hosts: 4, Share: 0.5, LoadMS: storeLoadTime.Milliseconds()}, {Name: "two", Hosts: 2, Share: 0.5, LoadMS: storeLoadTime.Milliseconds()}},
}}

// engine is a simulated engine whose groups are opened and closed by order.
type engine struct {
	simulation     *simulation
	name           id.Host
	domain         id.Domain
	up             bool
	unreachable    bool
	incarnation    id.Incarnation
	sequence       uint64
	highestFencing id.FencingToken
	highestNumber  id.OrderNumber
	stagedModel    id.Model
	loadedModel    id.Model
	loadCount      int
	group          id.Group
	model          id.Model
	fencing        id.FencingToken
	members        []id.Host
	state          string
	// readyMemberships holds the keys of the memberships in which the engine has
	// been ready.
	readyMemberships map[string]bool
	// relay is the node that the engine announces itself to until that refuses. It
	// is nil for a random node each time.
	relay *node
}

// engineAlias names the type where a variable has its name.
type engineAlias = engine

// storeLoadTime returns how long the weight store takes for a load.
func (simulation *simulation) storeLoadTime() time.Duration {
	if simulation.fastLoads {
		return earlyLoadTime
	}
	return storeLoadTime
}

func membershipKey(group id.Group, fencing id.FencingToken, members []id.Host) string {
	return fmt.Sprint(group, fencing, members)
}

func newEngine(simulation *simulation, index int) *engine {
	engine := &engine{
		simulation: simulation, name: id.Host(fmt.Sprintf("e%02d", index)), domain: id.Domain(fmt.Sprintf("d%d", index/10)),
		up: true, incarnation: 1, readyMemberships: map[string]bool{},
	}
	if simulation.engineByName == nil {
		simulation.engineByName = map[id.Host]*engineAlias{}
	}
	simulation.engineByName[engine.name] = engine
	simulation.schedule(time.Duration(simulation.rand.Int64N(int64(engineAnnounceInterval))), engine.announcePeriodically)
	return engine
}

func (engine *engine) announcePeriodically() {
	engine.simulation.schedule(engineAnnounceInterval, engine.announcePeriodically)
	engine.announce()
}

// announce announces the engine's state to a random node with a disk.
func (engine *engine) announce() {
	if !engine.up || engine.unreachable {
		return
	}
	engine.sequence++
	announcement := roster.Announcement{
		Host: engine.name, Incarnation: engine.incarnation, Sequence: engine.sequence, Address: string(engine.name),
		DataCentre: "dc", Domain: engine.domain, Service: "pool", Engine: true, LeaseMS: engineLease.Milliseconds(),
		Load: roster.Load{Slots: 8},
		Serving: roster.Serving{
			Group: engine.group, Fencing: engine.fencing, Ready: engine.state == "ready" || engine.state == "open" || engine.state == "closing",
			Open: engine.state == "open" || engine.state == "closing", Closing: engine.state == "closing", Broken: engine.state == "broken",
		},
	}
	if engine.stagedModel != "" {
		announcement.Staged = []id.Model{engine.stagedModel}
	}
	if engine.loadedModel != "" && announcement.Serving.Ready {
		announcement.Loaded = []id.Model{engine.loadedModel}
	}
	entry := engine.relay
	if entry == nil {
		entry = engine.simulation.nodes[engine.simulation.rand.IntN(diskNodeCount)]
	}
	engine.announceTo(entry, announcement, diskNodeCount)
}

// announceTo announces the engine to a node with a disk. It goes on to the next one,
// up to the given number of nodes, when the node refuses.
func (engine *engine) announceTo(entry *node, announcement roster.Announcement, nodes int) {
	simulation := engine.simulation
	simulation.send(string(engine.name), string(entry.name), func() {
		entry.whenUp(func() {
			reachesLeader := entry.member.ReachesLeader(entry.now())
			entry.runMember(entry.member.Step(entry.now(), member.AnnouncedWithoutEcho{Announcement: announcement}))
			if reachesLeader || nodes == 1 {
				return
			}
			next := simulation.nodes[(slices.Index(simulation.nodes, entry)+1)%diskNodeCount]
			if engine.relay != nil {
				engine.relay = next
			}
			engine.announceTo(next, announcement, nodes-1)
		})()
	})
}

// orderEngine delivers an order to an engine. Some orders arrive seconds late.
func (simulation *simulation) orderEngine(from *node, order action.Order) {
	engine := simulation.engine(order.Host)
	if engine == nil {
		return
	}
	if !engine.up || engine.unreachable {
		from.step(controller.OrderUndelivered{Host: order.Host})
		return
	}
	deliver := func() { engine.executeOrder(order) }
	if simulation.chance(simulation.faults.delayRate * 10) {
		simulation.schedule(2*time.Second+time.Duration(simulation.rand.Int64N(int64(10*time.Second))), deliver)
		return
	}
	simulation.send(string(from.name), string(engine.name), deliver)
}

func (engine *engine) executeOrder(order action.Order) {
	if !engine.up || order.Number < engine.highestNumber {
		return
	}
	engine.highestNumber = order.Number
	defer engine.announce()
	switch order.Kind {
	case action.OrderLoad:
		engine.join(order)
	case action.OrderStage:
		incarnation := engine.incarnation
		engine.loadCount++
		engine.simulation.schedule(3*time.Second, func() {
			if engine.incarnation == incarnation {
				engine.stagedModel = order.Model
				engine.announce()
			}
		})
	default:
		if order.Group == engine.group && order.Fencing == engine.fencing {
			engine.changeState(order)
		}
	}
}

func (engine *engine) changeState(order action.Order) {
	switch order.Kind {
	case action.OrderOpen:
		if engine.state == "ready" && engine.members[0] == engine.name {
			engine.state = "open"
			engine.watchMembers()
		}
	case action.OrderClose:
		if engine.state == "open" {
			engine.state = "closing"
			engine.transitionAfter(time.Second, "closing", "ready")
		}
	case action.OrderUnload:
		engine.group, engine.fencing, engine.members, engine.state = "", 0, nil, ""
	case action.OrderLoad, action.OrderStage:
	}
}

// join makes the engine a member of a group, and checks that the head of its
// present group doesn't serve any more.
func (engine *engine) join(order action.Order) {
	if order.Fencing < engine.highestFencing || (order.Group == engine.group && order.Fencing == engine.fencing) {
		return
	}
	if head := engine.simulation.engine(engine.headName()); head != nil && head.takesRequests(engine.group, engine.fencing) {
		engine.simulation.fail("engine %s joins group %s/%d while the head %s of its present group %s/%d is %s", engine.name, order.Group, order.Fencing, head.name, engine.group, engine.fencing, head.state)
	}
	engine.highestFencing = order.Fencing
	delay := engine.simulation.storeLoadTime()
	switch order.Model {
	case engine.loadedModel:
		delay = residentLoadTime
	case engine.stagedModel:
		delay = stagedLoadTime
	default:
		engine.loadCount++
	}
	engine.group, engine.fencing, engine.model, engine.members, engine.state = order.Group, order.Fencing, order.Model, order.Members, "joining"
	engine.stagedModel, engine.loadedModel = order.Model, order.Model
	engine.transitionAfter(delay, "joining", "ready")
}

func (engine *engine) headName() id.Host {
	if len(engine.members) == 0 {
		return ""
	}
	return engine.members[0]
}

// takesRequests reports whether an engine is the head of a group and open or
// closing, even if its calls are stalled.
func (engine *engine) takesRequests(group id.Group, fencing id.FencingToken) bool {
	return engine.up && engine.group == group && engine.fencing == fencing && (engine.state == "open" || engine.state == "closing")
}

// transitionAfter changes the engine's state after a delay, unless its
// incarnation, group or state has changed meanwhile.
func (engine *engine) transitionAfter(delay time.Duration, from, to string) {
	incarnation, group, fencing := engine.incarnation, engine.group, engine.fencing
	engine.simulation.schedule(delay, func() {
		if engine.up && engine.incarnation == incarnation && engine.group == group && engine.fencing == fencing && engine.state == from {
			engine.state = to
			if to == "ready" {
				engine.readyMemberships[membershipKey(group, fencing, engine.members)] = true
			}
			engine.announce()
		}
	})
}

// watchMembers makes an open head give up its group once a host has been missing
// for engineStallTimeout.
func (engine *engine) watchMembers() {
	incarnation, group, fencing := engine.incarnation, engine.group, engine.fencing
	var missingSince time.Duration = -1
	var checkMembers func()
	checkMembers = func() {
		if !engine.up || engine.incarnation != incarnation || !engine.takesRequests(group, fencing) {
			return
		}
		missing := slices.ContainsFunc(engine.members, func(name id.Host) bool {
			other := engine.simulation.engine(name)
			return !other.up || other.group != group || other.fencing != fencing
		})
		switch {
		case !missing:
			missingSince = -1
		case missingSince < 0:
			missingSince = engine.simulation.now
		case engine.simulation.now-missingSince > engineStallTimeout:
			engine.state = "broken"
			engine.announce()
			return
		}
		engine.simulation.schedule(100*time.Millisecond, checkMembers)
	}
	checkMembers()
}

func (simulation *simulation) engine(name id.Host) *engine { return simulation.engineByName[name] }

func (engine *engine) restart() {
	engine.up, engine.unreachable = true, false
	engine.incarnation++
	engine.highestFencing, engine.highestNumber, engine.loadedModel = 0, 0, ""
	engine.group, engine.fencing, engine.members, engine.state = "", 0, nil, ""
}

// injectEngineFaults injects one random fault after another: an engine crashes
// and restarts, an engine can't be reached for a while, or the leader crashes.
func (simulation *simulation) injectEngineFaults() {
	simulation.schedule(time.Duration(500+simulation.rand.IntN(2500))*time.Millisecond, simulation.injectEngineFaults)
	engine := simulation.engines[simulation.rand.IntN(len(simulation.engines))]
	duration := time.Duration(simulation.rand.Int64N(int64(9 * time.Second)))
	switch simulation.rand.IntN(6) {
	case 0, 1, 2:
		engine.up = false
		simulation.schedule(duration, engine.restart)
	case 3, 4:
		engine.unreachable = true
		simulation.schedule(duration, func() { engine.unreachable = false })
	case 5:
		if leader := simulation.leader(); leader != nil {
			leader.crash()
			leader.startAfter(duration / 3)
		}
	}
}

// checkHostsWereReady checks that all hosts have been ready in each group to which
// a node would route.
func (simulation *simulation) checkHostsWereReady() {
	for _, node := range simulation.nodes {
		if !node.up {
			continue
		}
		for _, endpoint := range node.view.Endpoints {
			if endpoint.EngineService == "" {
				continue
			}
			record, ok := node.member.Group(endpoint.Name.Group)
			if !ok {
				continue
			}
			for _, name := range record.Hosts {
				if !simulation.engine(name).readyMemberships[membershipKey(record.Group, record.Fencing, record.Hosts)] {
					simulation.fail("node %s routes to group %s/%d, in which engine %s was never ready", node.name, record.Group, record.Fencing, name)
				}
			}
		}
	}
}

// newEngineSimulation returns a simulation with a declaration and engines, after
// some time in which groups are formed.
func newEngineSimulation(t *testing.T, seed uint64, engines int, formingTime time.Duration) *simulation {
	t.Helper()
	simulation := newBootstrapSimulation(t, seed)
	for index := range engines {
		simulation.engines = append(simulation.engines, newEngine(simulation, index))
	}
	simulation.run(2500 * time.Millisecond)
	simulation.declare(1, 3*time.Second)
	simulation.run(formingTime)
	return simulation
}

// TestEngineGroupsServeOnlyWhenComplete runs engines through late, lost and
// duplicated orders, crashes and partitions. No engine may join a group while the
// head of its present one serves, and no node may route to a group in which an
// engine was never ready.
func TestEngineGroupsServeOnlyWhenComplete(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			simulation := newEngineSimulation(t, 1000+seed, 30, 20*time.Second)
			if groups := simulation.countOpenGroups(); groups < 8 {
				simulation.fail("%d groups open, want 8 or more of 30 engines", groups)
			}
			simulation.faults = networkFaults{lossRate: 0.02, duplicateRate: 0.02, delayRate: 0.02}
			simulation.schedule(0, simulation.injectEngineFaults)
			for range 600 {
				simulation.run(100 * time.Millisecond)
				simulation.checkHostsWereReady()
			}
		})
	}
}

// TestLostEngineNeedsNoLoad crashes one engine of a group of four once each host
// holds the weights of both models. A group of two must be retired to complete
// the three that are left, and both models must be served again within seconds.
func TestLostEngineNeedsNoLoad(t *testing.T) {
	simulation := newEngineSimulation(t, 77, 8, 40*time.Second)
	if serving := simulation.countServingEngines("four"); serving != 4 {
		t.Fatalf("%d engines serve model four, want 4", serving)
	}
	index := slices.IndexFunc(simulation.engines, func(engine *engine) bool {
		return engine.loadedModel == "four" && engine.group != "" && engine.headName() != engine.name
	})
	simulation.engines[index].up = false
	simulation.run(9 * time.Second)
	if four, two := simulation.countServingEngines("four"), simulation.countServingEngines("two"); four != 4 || two != 2 {
		t.Errorf("%d engines serve model four and %d serve model two, want 4 and 2 of seven engines", four, two)
	}
}

// TestHostsOfALostHeadServeAgainAfterTheStallTimeout crashes the head of a group
// whose calls the nodes report as stalled. Its hosts must leave as soon as that is
// known, not only when the head's lease expires, and serve in another group after
// engineStallTimeout.
func TestHostsOfALostHeadServeAgainAfterTheStallTimeout(t *testing.T) {
	simulation := newEngineSimulation(t, 79, 4, 30*time.Second)
	index := slices.IndexFunc(simulation.engines, func(engine *engine) bool { return engine.state == "open" && engine.model == "four" })
	lost := simulation.engines[index]
	lost.up = false
	for _, node := range simulation.nodes {
		node.report = member.UsageReported{StalledEndpoints: []feed.Endpoint{{Group: lost.group}}}
	}
	detectionTime, joinTime := engineAnnounceInterval*3/2, 2*time.Second
	simulation.run(detectionTime + engineStallTimeout + joinTime)
	if two := simulation.countServingEngines("two"); two != 2 {
		t.Errorf("%d engines serve again, want 2 of the remaining three", two)
	}
}

// TestHostsAreStagedAgainAfterAJoin guards against a staging that is lost
// unnoticed: when a host joins a group, the group's model replaces the one that
// was staged there, so the other model must be staged again.
func TestHostsAreStagedAgainAfterAJoin(t *testing.T) {
	simulation := newEngineSimulation(t, 78, 30, 30*time.Second)
	for _, engine := range simulation.engines {
		if head := simulation.engine(engine.headName()); head != nil && len(engine.members) == 4 && engine.members[1] == engine.name {
			engine.up = false
		}
	}
	simulation.run(20 * time.Second)
	for _, engine := range simulation.engines {
		if engine.up && engine.state != "" && engine.stagedModel == engine.loadedModel {
			t.Errorf("engine %s of group %s has only the weights of model %s on its host", engine.name, engine.group, engine.stagedModel)
		}
	}
}

// repairTime crashes an engine that isn't the head of a group of four, whose stall the
// nodes report after a while, and returns the time until four engines serve the model
// again.
func repairTime(t *testing.T, seed uint64) time.Duration {
	t.Helper()
	simulation := newEngineSimulation(t, seed, 9, 40*time.Second)
	simulation.run(time.Duration(seed%6) * engineAnnounceInterval / 6)
	index := slices.IndexFunc(simulation.engines, func(engine *engine) bool { return engine.state == "open" && engine.model == "four" })
	if index < 0 {
		simulation.fail("no group of four is open")
	}
	lost := simulation.engine(simulation.engines[index].members[1])
	lost.up = false
	crashedAt := simulation.now
	simulation.schedule(500*time.Millisecond, func() {
		for _, node := range simulation.nodes {
			node.report = member.UsageReported{ActiveCalls: 1, StalledEndpoints: []feed.Endpoint{{Group: lost.group}}}
		}
	})
	for simulation.countServingEngines("four") < 4 || simulation.engine(simulation.engines[index].headName()) == nil || slices.Contains(simulation.engines[index].members, lost.name) {
		if simulation.run(20 * time.Millisecond); simulation.now > crashedAt+20*time.Second {
			simulation.fail("the group isn't repaired")
		}
	}
	return simulation.now - crashedAt
}

// checkRepairTime fails unless groups are repaired within a time of the silence that
// shows the loss of an engine.
func checkRepairTime(t *testing.T, firstSeed uint64, joinTime time.Duration) {
	t.Helper()
	const seeds, overhead = 12, 500 * time.Millisecond
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		if took, most := repairTime(t, seed), stallDetectionTime+joinTime+overhead; took > most {
			t.Errorf("seed %d: repaired after %v, want at most %v", seed, took, most)
		}
	}
}

// Guards against a repair that takes much longer than to find the loss and to warm up
// the host that replaces the lost one.
func TestGroupIsRepairedAtThePriceOfOneWarmUp(t *testing.T) {
	t.Parallel()
	checkRepairTime(t, 220, stagedLoadTime)
}

// Guards against a repair that waits for the warm-up of a spare which could have had the
// weights in its memory before.
func TestSpareReplacesALostEngineWithoutAWarmUp(t *testing.T) {
	t.Parallel()
	checkRepairTime(t, 240, residentLoadTime)
}

// Guards against a plan that takes the log one entry, and all nodes one version, for
// each of its groups.
func TestPlanIsOneEntryOfTheLog(t *testing.T) {
	t.Parallel()
	simulation := newEngineSimulation(t, 210, 30, 100*time.Millisecond)
	before := simulation.leader().voter.Quorum().LastIndex
	simulation.run(20 * time.Second)
	if groups := simulation.countOpenGroups(); groups < 8 {
		simulation.fail("%d groups open, want 8 or more of 30 engines", groups)
	}
	if entries := simulation.leader().voter.Quorum().LastIndex - before; entries > 2 {
		simulation.fail("the plan took %d entries of the log, want 1", entries)
	}
}

// Guards against engines that are given up as silent, or left out of repairs, while the
// nodes that they announce themselves to are cut off from the leader.
func TestEnginesAreHeardWhileTheirRelaysAreCutOffFromTheLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		simulation := newEngineSimulation(t, 200+seed, 30, 40*time.Second)
		leader := simulation.leader()
		others := slices.DeleteFunc(slices.Clone(simulation.nodes[:diskNodeCount]), func(node *node) bool { return node == leader })
		for _, cut := range others[:2] {
			for _, other := range append(others[2:], leader) {
				simulation.blocked[[2]string{string(cut.name), string(other.name)}] = true
				simulation.blocked[[2]string{string(other.name), string(cut.name)}] = true
			}
		}
		for index, engine := range simulation.engines {
			engine.relay = others[index%2]
		}
		open := simulation.countOpenGroups()
		simulation.run(2 * engineAnnounceInterval)
		index := slices.IndexFunc(simulation.engines, func(engine *engine) bool { return engine.state == "open" && engine.model == "four" })
		lost := simulation.engine(simulation.engines[index].members[1])
		lost.up = false
		for _, node := range simulation.nodes {
			node.report = member.UsageReported{StalledEndpoints: []feed.Endpoint{{Group: lost.group}}}
		}
		simulation.run(9 * time.Second)
		if now := simulation.countOpenGroups(); now < open-1 {
			simulation.fail("%d groups are open, want %d or one less after the loss of an engine", now, open)
		}
		if four := simulation.countServingEngines("four"); four < 12 {
			simulation.fail("%d engines serve model four, want 12: the lost engine's group isn't repaired", four)
		}
	}
}

// countServingEngines counts the engines in open groups of a model.
func (simulation *simulation) countServingEngines(model id.Model) int {
	count := 0
	for _, engine := range simulation.engines {
		if head := simulation.engine(engine.headName()); head != nil && engine.up && engine.model == model && head.takesRequests(engine.group, engine.fencing) {
			count++
		}
	}
	return count
}

// countOpenGroups counts the groups to which the first node without a disk may
// route.
func (simulation *simulation) countOpenGroups() int {
	count := 0
	for _, endpoint := range simulation.nodes[diskNodeCount].view.Endpoints {
		if endpoint.EngineService != "" {
			count++
		}
	}
	return count
}
