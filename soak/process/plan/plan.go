// Package plan draws from a seed what is done to a system and when. It reads no clock: the
// same seed, length and shape give the same plan.
//
// # Usage
//
//	for _, event := range plan.New(seed, time.Minute, shape).Events { ... }
package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what an event does.
type Kind string

// The kinds of events.
const (
	// Kill ends a process at once, Terminate asks it to end, and Pause stops it for a time.
	// A process that has ended is started again after the event's time.
	Kill      Kind = "kill"
	Terminate Kind = "terminate"
	Pause     Kind = "pause"
	// Link disturbs a link in the Way of the event.
	Link Kind = "link"
	// EngineFault makes an engine answer falsely in the Way of the event.
	EngineFault Kind = "engine_fault"
	// Rotate changes the token of a contract, Retire ends the contract, and Tune changes
	// another one.
	Rotate Kind = "rotate"
	Retire Kind = "retire"
	Tune   Kind = "tune"
	// StopHost and StopNode are planned stops. The target is started again later.
	StopHost Kind = "stop_host"
	StopNode Kind = "stop_node"
)

const (
	// firstAt is when the first event may come, and lastMargin the time without a new one at the end.
	firstAt    = 500 * time.Millisecond
	lastMargin = 3 * time.Second
	// repeatChance is the part of the events that come in a series.
	repeatChance = 0.2
	// maxSeries is the most repeats of an event.
	maxSeries = 3
)

// gapFactors are by how much the events of a kind may be rarer or more frequent than usual.
var gapFactors = []float64{0.5, 1, 2, 4}

// Shape names what a system consists of. Fronts are the links to engines and services.
type Shape struct {
	Nodes, Engines, Services        []string
	PeerLinks, AnnounceLinks        []string
	EngineFronts, ServiceFronts     []string
	LinkWays, FrontWays, EngineWays []string
}

// Event is one thing that is done at a time after the start, for a time.
type Event struct {
	At, For time.Duration
	Kind    Kind
	Target  string
	// Way is how a link or an engine misbehaves.
	Way string
	// Delay is the delay of a link.
	Delay time.Duration
}

// Plan is a list of events, the earliest first.
type Plan struct {
	Events []Event
}

// stream is one series of independent draws.
type stream struct {
	meanGap time.Duration
	draw    func(random *rand.Rand) Event
}

// New draws a plan.
func New(seed uint64, length time.Duration, shape Shape) *Plan {
	plan := &Plan{}
	intensity := rand.New(rand.NewPCG(seed, 0))
	for index, stream := range streams(shape) {
		random := rand.New(rand.NewPCG(seed, uint64(1+index)))
		stream.meanGap = time.Duration(float64(stream.meanGap) * pick(intensity, gapFactors))
		plan.drawStream(random, stream, length-lastMargin)
	}
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

func streams(shape Shape) []stream {
	return []stream{
		{3 * time.Second, func(random *rand.Rand) Event { return processFault(random, shape.Nodes) }},
		{3 * time.Second, func(random *rand.Rand) Event { return processFault(random, shape.Engines) }},
		{3 * time.Second, func(random *rand.Rand) Event { return processFault(random, shape.Services) }},
		{2 * time.Second, func(random *rand.Rand) Event { return linkFault(random, shape.PeerLinks, shape.LinkWays) }},
		{5 * time.Second, func(random *rand.Rand) Event { return linkFault(random, shape.AnnounceLinks, shape.LinkWays) }},
		{2 * time.Second, func(random *rand.Rand) Event { return linkFault(random, shape.EngineFronts, shape.FrontWays) }},
		{3 * time.Second, func(random *rand.Rand) Event { return linkFault(random, shape.ServiceFronts, shape.LinkWays) }},
		{2 * time.Second, func(random *rand.Rand) Event { return engineFault(random, shape) }},
		{time.Second, func(random *rand.Rand) Event { return change(random, shape) }},
	}
}

// drawStream adds the events of one stream up to a time.
func (plan *Plan) drawStream(random *rand.Rand, stream stream, until time.Duration) {
	at := firstAt
	for {
		at += time.Duration(random.Float64() * 2 * float64(stream.meanGap))
		if at >= until {
			return
		}
		event := stream.draw(random)
		event.At = at
		plan.Events = append(plan.Events, event)
		if random.Float64() < repeatChance {
			plan.addSeries(random, event, until)
		}
	}
}

// addSeries adds the same event a few times more, each soon after the one before has ended.
func (plan *Plan) addSeries(random *rand.Rand, event Event, until time.Duration) {
	for range 1 + random.IntN(maxSeries) {
		event.At += event.For + between(random, 0, 500*time.Millisecond)
		if event.At >= until {
			return
		}
		plan.Events = append(plan.Events, event)
	}
}

func processFault(random *rand.Rand, targets []string) Event {
	kind := pick(random, []Kind{Kill, Terminate, Pause})
	return Event{Kind: kind, Target: pick(random, targets), For: between(random, 50*time.Millisecond, 3*time.Second)}
}

func linkFault(random *rand.Rand, targets, ways []string) Event {
	return Event{
		Kind: Link, Target: pick(random, targets), Way: pick(random, ways),
		For: between(random, 50*time.Millisecond, 3*time.Second), Delay: between(random, time.Millisecond, 300*time.Millisecond),
	}
}

func engineFault(random *rand.Rand, shape Shape) Event {
	return Event{Kind: EngineFault, Target: pick(random, shape.Engines), Way: pick(random, shape.EngineWays), For: between(random, 100*time.Millisecond, 3*time.Second)}
}

func change(random *rand.Rand, shape Shape) Event {
	event := Event{Kind: pick(random, []Kind{Rotate, Rotate, Rotate, Rotate, Retire, Tune, Tune, StopHost, StopNode}), For: between(random, 500*time.Millisecond, 3*time.Second)}
	switch event.Kind {
	case StopHost:
		event.Target = pick(random, slices.Concat(shape.Services, shape.Services, shape.Engines))
	case StopNode:
		event.Target = pick(random, shape.Nodes)
	}
	return event
}

func pick[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
