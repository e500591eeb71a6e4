// Package capacity measures what control costs at several sizes: bytes,
// processor time and memory of the product's own deciders and codecs, and fits
// lines to them. docs/CAPACITY.md works the target size out from the slopes.
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
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/contract"
)

// Point is one measured figure at one size.
type Point struct {
	Figure string  `json:"figure"`
	Size   float64 `json:"size"`
	Value  float64 `json:"value"`
}

const (
	warmUp    = 8 * time.Second
	measured  = 10 * time.Second
	tickEvery = 20 * time.Millisecond
	renew     = time.Second
	lease     = 4 * time.Second
	fewNodes  = 8
	fewHosts  = 64
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Measure runs the deciders at all sizes.
func Measure() []Point {
	var points []Point
	for _, nodes := range []int{8, 32, 128, 512} {
		cost := runSystem(nodes, fewHosts)
		points = append(
			points,
			Point{"feed_bytes_per_node_by_nodes", float64(nodes), cost.bytes / float64(nodes)},
			Point{"leader_cpu_by_nodes", float64(nodes), cost.leader},
			Point{"member_cpu_by_nodes", float64(nodes), cost.member / float64(nodes)},
		)
	}
	for _, hosts := range []int{16, 64, 256, 1024} {
		cost := runSystem(fewNodes, hosts)
		points = append(
			points,
			Point{"feed_bytes_per_node_by_hosts", float64(hosts), cost.bytes / fewNodes},
			Point{"leader_cpu_by_hosts", float64(hosts), cost.leader},
			Point{"member_cpu_by_hosts", float64(hosts), cost.member / fewNodes},
		)
	}
	points = append(points, memoryPoints()...)
	points = append(points, announcerPoints()...)
	points = append(points, voterPoints()...)
	return append(points, changePoints()...)
}

// cost is what a second of a system takes, in bytes and in seconds of one core.
type cost struct {
	bytes, leader, member float64
}

// system is one leader and its nodes, with all messages passing the codec.
type system struct {
	now     time.Time
	leader  *controller.Controller
	members []*member.Member
	hosts   []*fakeHost
	waiting map[controller.Ticket]int
	ticket  controller.Ticket
	cost    cost
	counts  bool
}

// fakeHost announces itself and obeys at once.
type fakeHost struct {
	announcement roster.Announcement
	stamp        clock.Stamp
	stampAt      time.Time
}

func runSystem(nodes, hosts int) cost {
	system := newSystem(nodes, hosts)
	system.run(warmUp)
	system.counts = true
	system.run(measured)
	seconds := measured.Seconds()
	return cost{system.cost.bytes / seconds, system.cost.leader / seconds, system.cost.member / seconds}
}

func newSystem(nodes, hosts int) *system {
	system := &system{now: start, waiting: map[controller.Ticket]int{}}
	names := make([]id.Node, nodes)
	for index := range names {
		names[index] = id.Node(fmt.Sprintf("n%d", index))
	}
	voter, err := controller.New(start, controller.Config{
		Self: "n0", Incarnation: 1, Voters: names[:1], Nodes: names, Timing: quorum.DefaultTiming(), MaxLoadingGroups: 1000,
		CompactEntries: controller.CompactEntries, Rand: rand.New(rand.NewPCG(1, 1)),
		ModelSpecs: []placer.Spec{{Model: "m", HostsPerGroup: 4, Weight: 1}},
	}, quorum.Stored{}, roster.New())
	if err != nil {
		panic(err) // an empty disk can't fail to be read
	}
	system.leader = voter
	for _, name := range names {
		system.members = append(system.members, member.New(start, member.Config{Self: name, Incarnation: 1, Voters: names[:1]}, roster.New()))
	}
	for index := range hosts {
		system.hosts = append(system.hosts, &fakeHost{announcement: roster.Announcement{
			Host: id.Host(fmt.Sprintf("host-%05d", index)), Incarnation: 1_700_000_000_000_000_000, Address: fmt.Sprintf("10.1.%d.%d:9000", index/250, index%250),
			DataCentre: "dc1", Domain: id.Domain(fmt.Sprintf("fabric-%d", index/64)), Accelerators: 2, Models: []id.Model{"m"},
			ChecksFencing: true, Resumes: true, LeaseMS: lease.Milliseconds(), Load: roster.Load{Slots: 64},
		}})
	}
	return system
}

func (system *system) run(length time.Duration) {
	ticks := int(length / tickEvery)
	perRenew := int(renew / tickEvery)
	for tick := range ticks {
		system.now = system.now.Add(tickEvery)
		for index := tick % perRenew; index < len(system.hosts); index += perRenew {
			system.announce(index)
		}
		system.lead(func() controller.Actions { return system.leader.Tick(system.now) })
		for index := range system.members {
			system.follow(index, func() member.Actions { return system.members[index].Tick(system.now) })
		}
	}
}

func (system *system) announce(index int) {
	host := system.hosts[index]
	entry := index % len(system.members)
	host.announcement.Sequence++
	host.announcement.Load.Running = int(host.announcement.Sequence) % 60
	echo := host.stamp
	if echo.Node != "" {
		echo = echo.Advance(system.now.Sub(host.stampAt))
	}
	system.follow(entry, func() member.Actions {
		actions := system.members[entry].Step(system.now, member.Announced{Announcement: host.announcement, Echo: echo})
		host.stamp, host.stampAt = actions.AnnouncementReply.Stamp, system.now
		return actions
	})
}

// timed adds up the time of one side's work.
func (system *system) timed(total *float64, work func()) {
	began := time.Now()
	work()
	if system.counts {
		*total += time.Since(began).Seconds()
	}
}

// carry passes a message through the codec and counts its bytes.
func carry[T any](system *system, sender, receiver *float64, message T) T {
	var data []byte
	system.timed(sender, func() { data, _ = json.Marshal(message) })
	if system.counts {
		system.cost.bytes += float64(len(data))
	}
	var copied T
	system.timed(receiver, func() { _ = json.Unmarshal(data, &copied) })
	return copied
}

func (system *system) follow(index int, step func() member.Actions) {
	var actions member.Actions
	system.timed(&system.cost.member, func() {
		actions = step()
		if actions.Changed {
			system.members[index].View(system.now)
		}
	})
	if actions.Send == nil {
		return
	}
	request := carry(system, &system.cost.member, &system.cost.leader, actions.Send.Request)
	system.ticket++
	ticket := system.ticket
	system.waiting[ticket] = index
	system.lead(func() controller.Actions {
		return system.leader.Step(system.now, controller.FeedRequested{Ticket: ticket, Request: request})
	})
}

func (system *system) lead(step func() controller.Actions) {
	var actions controller.Actions
	system.timed(&system.cost.leader, func() { actions = step() })
	for _, order := range actions.Orders {
		system.obey(order)
	}
	for _, reply := range actions.Replies {
		index := system.waiting[reply.Ticket]
		delete(system.waiting, reply.Ticket)
		if reply.Response == nil {
			continue
		}
		response := carry(system, &system.cost.leader, &system.cost.member, *reply.Response)
		system.follow(index, func() member.Actions {
			return system.members[index].Step(system.now, member.Responded{Response: response})
		})
	}
}

func (system *system) obey(order controller.Order) {
	for _, host := range system.hosts {
		if host.announcement.Host == order.Host {
			host.announcement.Serving = roster.Serving{Group: order.Group, Model: order.Model, Fencing: order.Fencing, Ready: order.Kind == controller.OrderLoad}
		}
	}
}

// memoryPoints measures the heap that records take.
func memoryPoints() []Point {
	var points []Point
	for _, count := range []int{1000, 4000, 16_000} {
		points = append(
			points,
			Point{"heap_by_calls", float64(count), heapOf(func(state *register.Register) { fillCalls(state, count) })},
			Point{"heap_by_changes", float64(count), heapOf(func(state *register.Register) { fillChanges(state, count) })},
			Point{"heap_by_groups", float64(count), heapOf(func(state *register.Register) { fillGroups(state, count) })},
		)
	}
	for _, count := range []int{1000, 4000, 12_000} {
		points = append(points, Point{"heap_by_hosts", float64(count), heapOfRoster(count)})
	}
	return points
}

func heapOf(fill func(state *register.Register)) float64 {
	before := heap()
	state := register.New()
	fill(state)
	after := heap()
	runtime.KeepAlive(state)
	return after - before
}

func heapOfRoster(count int) float64 {
	hosts := newSystem(1, count).hosts
	before := heap()
	known := roster.New()
	for _, host := range hosts {
		known.Merge(start, host.announcement, start.Add(lease))
	}
	after := heap()
	runtime.KeepAlive(known)
	runtime.KeepAlive(hosts)
	return after - before
}

func heap() float64 {
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
		clockAt := time.Duration(index) * time.Second
		state.Apply(id.Index(2*index+1), register.Command{Change: change, Term: 1, Clock: clockAt, BeginCall: &register.BeginCall{Key: key, BodyHash: string(change) + string(change)}})
		answer := &register.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 256)}
		state.Apply(id.Index(2*index+2), register.Command{Change: change + "-end", Term: 1, Clock: clockAt, FinishCall: &register.FinishCall{Key: key, Attempt: change, Ran: true, Answer: answer}})
	}
}

func fillChanges(state *register.Register, count int) {
	for index := range count {
		state.Apply(id.Index(index+1), changeOf(index))
	}
}

// changeOf changes one of a hundred contracts.
func changeOf(index int) register.Command {
	const clientAccounts = 100
	clientAccount := id.ClientAccount(fmt.Sprintf("customer-%02d", index%clientAccounts))
	return register.Command{
		Change: id.Change(fmt.Sprintf("change-%024d", index)), Actor: "operator", Term: 1, Clock: time.Duration(index) * time.Second,
		ApplyContract: &register.ApplyContract{Base: id.Revision(index / clientAccounts), Contract: contract.Contract{
			ClientAccount: clientAccount, TokenSHA256: []string{fmt.Sprintf("%064x", []byte(clientAccount))}, Share: 1 + index%7, Priority: contract.PriorityStandard,
			RequestsPerSecond: 100, TokensPerSecond: id.Rate(1000 + index), Concurrency: 10, QueuePlaces: 10, DeadlineMS: 1000, MaxTokens: 1000, Models: []id.Model{"m"},
		}},
	}
}

func fillGroups(state *register.Register, count int) {
	const span = 4
	for index := range count {
		hosts := make([]id.Host, span)
		for rank := range hosts {
			hosts[rank] = id.Host(fmt.Sprintf("host-%05d", index*span+rank))
		}
		// The audit trail is bounded and counted with changes.
		state.Apply(id.Index(index+1), register.Command{CommitGroup: &register.CommitGroup{Group: id.Group(fmt.Sprintf("m-%d", index)), Model: "m", Hosts: hosts}})
	}
}

// changePoints measures one accepted change: its bytes in the log and its
// processor time at the leader with three voters, by changes a second.
func changePoints() []Point {
	var points []Point
	for _, count := range []int{500, 2000, 8000} {
		state := register.New()
		bytes := 0
		began := time.Now()
		for index := range count {
			data, err := json.Marshal(changeOf(index))
			if err != nil {
				panic(err) // a command always encodes
			}
			bytes += len(data)
			var command register.Command
			if err := json.Unmarshal(data, &command); err != nil {
				panic(err)
			}
			state.Apply(id.Index(index+1), command)
		}
		points = append(
			points,
			Point{"change_cpu_by_changes", float64(count), time.Since(began).Seconds()},
			Point{"change_bytes_by_changes", float64(count), float64(bytes)},
		)
	}
	return points
}

// Slope is a line fitted to the points of one figure.
type Slope struct {
	Figure string  `json:"figure"`
	Base   float64 `json:"base"`
	Slope  float64 `json:"slope"`
	// Residual is the largest distance of a point from the line, as a part of
	// the largest value.
	Residual float64 `json:"residual"`
	Points   []Point `json:"points"`
}

// At is the line's value at a size.
func (slope Slope) At(size float64) float64 { return slope.Base + slope.Slope*size }

// Fit fits a line to the points of each figure by least squares.
func Fit(points []Point) []Slope {
	var order []string
	byFigure := map[string][]Point{}
	for _, point := range points {
		if byFigure[point.Figure] == nil {
			order = append(order, point.Figure)
		}
		byFigure[point.Figure] = append(byFigure[point.Figure], point)
	}
	var slopes []Slope
	for _, figure := range order {
		slopes = append(slopes, fitOne(figure, byFigure[figure]))
	}
	return slopes
}

func fitOne(figure string, points []Point) Slope {
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
