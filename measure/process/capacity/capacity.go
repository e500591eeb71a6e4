// Package capacity measures the cost of the control plane at several sizes: bytes,
// processor time and heap of the product's own state machines and codecs, and fits
// lines to the figures. docs/CAPACITY.md extrapolates to the target size from the
// slopes.
//
// # Usage
//
//	points := capacity.Measure()
//	slopes := capacity.Fit(points)
//	page := capacity.Table(slopes)
package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/contract"
)

// Point is one measured figure at one size. The figure's name states what the size
// counts; values are bytes, bytes a second, seconds or cores.
type Point struct {
	Figure string  `json:"figure"`
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
}

const (
	warmUp        = 8 * time.Second
	measuredTime  = 10 * time.Second
	tickInterval  = 20 * time.Millisecond
	renewInterval = time.Second
	hostLease     = 4 * time.Second
	// fixedNodes is the number of nodes while the number of hosts varies, and
	// fixedHosts the number of hosts while that of nodes varies.
	fixedNodes = 8
	fixedHosts = 64
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Measure runs all measurements at all sizes. The systems run in simulated time;
// their processor time is the real time that the steps take on this machine.
func Measure() []Point {
	var points []Point
	for _, nodes := range []int{8, 32, 128, 512} {
		cost := runSystem(nodes, fixedHosts)
		points = append(
			points,
			Point{"feed_bytes_per_node_by_nodes", float64(nodes), cost.bytes / float64(nodes)},
			Point{"leader_cpu_by_nodes", float64(nodes), cost.leaderCPU},
			Point{"member_cpu_by_nodes", float64(nodes), cost.memberCPU / float64(nodes)},
		)
	}
	for _, hosts := range []int{16, 64, 256, 1024} {
		cost := runSystem(fixedNodes, hosts)
		points = append(
			points,
			Point{"feed_bytes_per_node_by_hosts", float64(hosts), cost.bytes / fixedNodes},
			Point{"leader_cpu_by_hosts", float64(hosts), cost.leaderCPU},
			Point{"member_cpu_by_hosts", float64(hosts), cost.memberCPU / fixedNodes},
		)
	}
	points = append(points, memoryPoints()...)
	points = append(points, announcerPoints()...)
	points = append(points, voterPoints()...)
	return append(points, changePoints()...)
}

// cost is what a system of one leader and its members takes: bytes of all messages,
// and seconds of one core at the leader and at all members together.
type cost struct {
	bytes, leaderCPU, memberCPU float64
}

// system is one leader and the members of all nodes. All messages between them pass
// through the codec. Costs are added up while counting is set.
type system struct {
	now            time.Time
	leader         *controller.Controller
	members        []*member.Member
	hosts          []*fakeHost
	memberByTicket map[controller.Ticket]int
	lastTicket     controller.Ticket
	cost           cost
	counting       bool
}

// fakeHost announces itself and carries out orders at once.
type fakeHost struct {
	announcement    roster.Announcement
	stamp           clock.Stamp
	stampReceivedAt time.Time
}

func runSystem(nodes, hosts int) cost {
	system := newSystem(nodes, hosts)
	system.run(warmUp)
	system.counting = true
	system.run(measuredTime)
	seconds := measuredTime.Seconds()
	return cost{system.cost.bytes / seconds, system.cost.leaderCPU / seconds, system.cost.memberCPU / seconds}
}

func newSystem(nodes, hosts int) *system {
	system := &system{now: startTime, memberByTicket: map[controller.Ticket]int{}}
	names := make([]id.Node, nodes)
	for index := range names {
		names[index] = id.Node(fmt.Sprintf("n%d", index))
	}
	leader, err := controller.New(startTime, controller.Config{
		Self: "n0", Incarnation: 1, Voters: names[:1], Nodes: names, Timing: quorum.DefaultTiming(), MaxLoadingGroups: 1000,
		CompactEntries: controller.CompactEntries, Rand: rand.New(rand.NewPCG(1, 1)),
		ModelSpecs: []placer.Spec{{Model: "m", HostsPerGroup: 4, Weight: 1}},
	}, quorum.Stored{}, roster.New())
	if err != nil {
		panic(err) // can't fail, as there is no stored state to decode
	}
	system.leader = leader
	for _, name := range names {
		system.members = append(system.members, member.New(startTime, member.Config{Self: name, Incarnation: 1, Voters: names[:1]}, roster.New()))
	}
	for index := range hosts {
		system.hosts = append(system.hosts, &fakeHost{announcement: roster.Announcement{
			Host: id.Host(fmt.Sprintf("host-%05d", index)), Incarnation: 1_700_000_000_000_000_000, Address: fmt.Sprintf("10.1.%d.%d:9000", index/250, index%250),
			DataCentre: "dc1", Domain: id.Domain(fmt.Sprintf("fabric-%d", index/64)), Accelerators: 2, Models: []id.Model{"m"},
			ChecksFencing: true, Resumes: true, LeaseMS: hostLease.Milliseconds(), Load: roster.Load{Slots: 64},
		}})
	}
	return system
}

func (system *system) run(length time.Duration) {
	ticks := int(length / tickInterval)
	ticksPerRenewal := int(renewInterval / tickInterval)
	for tick := range ticks {
		system.now = system.now.Add(tickInterval)
		for index := tick % ticksPerRenewal; index < len(system.hosts); index += ticksPerRenewal {
			system.announce(index)
		}
		system.stepLeader(func() controller.Actions { return system.leader.Tick(system.now) })
		for index := range system.members {
			system.stepMember(index, func() member.Actions { return system.members[index].Tick(system.now) })
		}
	}
}

// announce sends one announcement of a host to its entry host.
func (system *system) announce(index int) {
	host := system.hosts[index]
	entry := index % len(system.members)
	host.announcement.Sequence++
	host.announcement.Load.Running = int(host.announcement.Sequence) % 60
	echo := host.stamp
	if echo.Node != "" {
		echo = echo.Advance(system.now.Sub(host.stampReceivedAt))
	}
	system.stepMember(entry, func() member.Actions {
		actions := system.members[entry].Step(system.now, member.Announced{Announcement: host.announcement, Echo: echo})
		host.stamp, host.stampReceivedAt = actions.AnnouncementReply.Stamp, system.now
		return actions
	})
}

// addElapsed runs work and adds the time that it takes to total while counting.
func (system *system) addElapsed(total *float64, work func()) {
	startedAt := time.Now()
	work()
	if system.counting {
		*total += time.Since(startedAt).Seconds()
	}
}

// sendThroughCodec encodes and decodes a message, adds its bytes to the cost, and the
// time to that of the sender and the receiver.
func sendThroughCodec[T any](system *system, sender, receiver *float64, message T) T {
	var data []byte
	system.addElapsed(sender, func() { data, _ = json.Marshal(message) })
	if system.counting {
		system.cost.bytes += float64(len(data))
	}
	var decoded T
	system.addElapsed(receiver, func() { _ = json.Unmarshal(data, &decoded) })
	return decoded
}

// stepMember runs one step of a member, builds its view if that changed, and passes
// its request, if any, to the leader.
func (system *system) stepMember(index int, step func() member.Actions) {
	var actions member.Actions
	system.addElapsed(&system.cost.memberCPU, func() {
		actions = step()
		if actions.Changed {
			system.members[index].View(system.now)
		}
	})
	if actions.Send == nil {
		return
	}
	request := sendThroughCodec(system, &system.cost.memberCPU, &system.cost.leaderCPU, actions.Send.Request)
	system.lastTicket++
	ticket := system.lastTicket
	system.memberByTicket[ticket] = index
	system.stepLeader(func() controller.Actions {
		return system.leader.Step(system.now, controller.FeedRequested{Ticket: ticket, Request: request})
	})
}

// stepLeader runs one step of the leader, carries out its orders, and passes its
// replies to the members.
func (system *system) stepLeader(step func() controller.Actions) {
	var actions controller.Actions
	system.addElapsed(&system.cost.leaderCPU, func() { actions = step() })
	for _, order := range actions.Orders {
		system.applyOrder(order)
	}
	for _, reply := range actions.Replies {
		index := system.memberByTicket[reply.Ticket]
		delete(system.memberByTicket, reply.Ticket)
		if reply.Response == nil {
			continue
		}
		response := sendThroughCodec(system, &system.cost.leaderCPU, &system.cost.memberCPU, *reply.Response)
		system.stepMember(index, func() member.Actions {
			return system.members[index].Step(system.now, member.Responded{Response: response})
		})
	}
}

func (system *system) applyOrder(order action.Order) {
	for _, host := range system.hosts {
		if host.announcement.Host == order.Host {
			host.announcement.Serving = roster.Serving{Group: order.Group, Model: order.Model, Fencing: order.Fencing, Ready: order.Kind == action.OrderLoad}
		}
	}
}

// memoryPoints measures the growth of the heap by the number of records.
func memoryPoints() []Point {
	var points []Point
	for _, count := range []int{1000, 4000, 16_000} {
		points = append(
			points,
			Point{"heap_by_calls", float64(count), heapGrowth(func(state *register.Register) { fillCalls(state, count) })},
			Point{"heap_by_changes", float64(count), heapGrowth(func(state *register.Register) { fillChanges(state, count) })},
			Point{"heap_by_groups", float64(count), heapGrowth(func(state *register.Register) { fillGroups(state, count) })},
		)
	}
	for _, count := range []int{1000, 4000, 12_000} {
		points = append(points, Point{"heap_by_hosts", float64(count), rosterHeapGrowth(count)})
	}
	return points
}

// heapGrowth returns by how many bytes the heap grows when a register is filled.
func heapGrowth(fill func(state *register.Register)) float64 {
	before := allocatedHeap()
	state := register.New()
	fill(state)
	after := allocatedHeap()
	runtime.KeepAlive(state)
	return after - before
}

func rosterHeapGrowth(count int) float64 {
	hosts := newSystem(1, count).hosts
	before := allocatedHeap()
	roster := roster.New()
	for _, host := range hosts {
		roster.Merge(startTime, host.announcement, startTime.Add(hostLease))
	}
	after := allocatedHeap()
	runtime.KeepAlive(roster)
	runtime.KeepAlive(hosts)
	return after - before
}

// allocatedHeap returns the bytes of heap objects after garbage collection.
func allocatedHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func fillCalls(state *register.Register, count int) {
	for index := range count {
		change := id.Change(fmt.Sprintf("call-%032d", index))
		key := register.CallKey{ClientAccount: "customer", Service: "orders", Key: fmt.Sprintf("key-%032d", index)}
		commandClock := time.Duration(index) * time.Second
		state.Apply(id.Index(2*index+1), register.Command{Change: change, Term: 1, Clock: commandClock, BeginCall: &register.BeginCall{Key: key, BodyHash: string(change) + string(change)}})
		answer := &register.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 256)}
		state.Apply(id.Index(2*index+2), register.Command{Change: change + "-end", Term: 1, Clock: commandClock, FinishCall: &register.FinishCall{Key: key, Attempt: change, Ran: true, Answer: answer}})
	}
}

func fillChanges(state *register.Register, count int) {
	for index := range count {
		state.Apply(id.Index(index+1), contractChange(index))
	}
}

// contractChange returns the change with the given index, which replaces one of a
// hundred contracts.
func contractChange(index int) register.Command {
	const clientAccountCount = 100
	clientAccount := id.ClientAccount(fmt.Sprintf("customer-%02d", index%clientAccountCount))
	return register.Command{
		Change: id.Change(fmt.Sprintf("change-%024d", index)), Actor: "operator", Term: 1, Clock: time.Duration(index) * time.Second,
		ApplyContract: &register.ApplyContract{Base: id.Revision(index / clientAccountCount), Contract: contract.Contract{
			ClientAccount: clientAccount, TokenSHA256: []string{fmt.Sprintf("%064x", []byte(clientAccount))}, Share: 1 + index%7, Priority: contract.PriorityStandard,
			RequestsPerSecond: 100, TokensPerSecond: id.Rate(1000 + index), Concurrency: 10, QueuePlaces: 10, DeadlineMS: 1000, MaxTokens: 1000, Models: []id.Model{"m"},
		}},
	}
}

func fillGroups(state *register.Register, count int) {
	const hostsPerGroup = 4
	for index := range count {
		hosts := make([]id.Host, hostsPerGroup)
		for rank := range hosts {
			hosts[rank] = id.Host(fmt.Sprintf("host-%05d", index*hostsPerGroup+rank))
		}
		// CommitGroup also writes to the audit trail, which is bounded and counted
		// with the changes.
		state.Apply(id.Index(index+1), register.Command{CommitGroup: &register.CommitGroup{Group: id.Group(fmt.Sprintf("m-%d", index)), Model: "m", Hosts: hosts}})
	}
}

// changePoints measures accepted changes: their bytes in the log, and the processor
// time of encoding, decoding and applying them, by the number of changes.
func changePoints() []Point {
	var points []Point
	for _, count := range []int{500, 2000, 8000} {
		state := register.New()
		encodedBytes := 0
		startedAt := time.Now()
		for index := range count {
			data, err := json.Marshal(contractChange(index))
			if err != nil {
				panic(err) // a command always encodes
			}
			encodedBytes += len(data)
			var command register.Command
			if err := json.Unmarshal(data, &command); err != nil {
				panic(err)
			}
			state.Apply(id.Index(index+1), command)
		}
		points = append(
			points,
			Point{"change_cpu_by_changes", float64(count), time.Since(startedAt).Seconds()},
			Point{"change_bytes_by_changes", float64(count), float64(encodedBytes)},
		)
	}
	return points
}

// Slope is the line Base + Slope × size, fitted to the points of one figure.
type Slope struct {
	Figure string  `json:"figure"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	// Residual is the largest distance of a point from the line, as a fraction of
	// the largest value.
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// At returns the line's value at a size.
func (slope Slope) At(size float64) float64 { return slope.Base + slope.Slope*size }

// Fit fits a line to the points of each figure by least squares. The slopes are in
// the order in which the figures first appear.
func Fit(points []Point) []Slope {
	var figures []string
	pointsByFigure := map[string][]Point{}
	for _, point := range points {
		if pointsByFigure[point.Figure] == nil {
			figures = append(figures, point.Figure)
		}
		pointsByFigure[point.Figure] = append(pointsByFigure[point.Figure], point)
	}
	var slopes []Slope
	for _, figure := range figures {
		slopes = append(slopes, fitLine(figure, pointsByFigure[figure]))
	}
	return slopes
}

func fitLine(figure string, points []Point) Slope {
	var sumX, sumY, sumXX, sumXY float64
	count := float64(len(points))
	for _, point := range points {
		sumX += point.Size
		sumY += point.Value
		sumXX += point.Size * point.Size
		sumXY += point.Size * point.Value
	}
	slope := Slope{Figure: figure, Points: points}
	slope.Slope = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	slope.Base = (sumY - slope.Slope*sumX) / count
	largest := 0.0
	for _, point := range points {
		largest = max(largest, math.Abs(point.Value))
		slope.Residual = max(slope.Residual, math.Abs(point.Value-slope.At(point.Size)))
	}
	slope.Residual /= max(largest, math.SmallestNonzeroFloat64)
	return slope
}
