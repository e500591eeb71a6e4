// Package admission simulates entry hosts that send the calls of one model to groups of
// engines, and measures what callers get: by kind of call, and for the largest tenth of
// each kind. The engines read prompts in chunks between the token steps of the calls that
// they write, so that much reading makes all answers slow. Entry hosts have each other's
// calls late, callers return once after a refusal, and groups are lost and come back. Where
// the scenario asks for it, engines reject calls that find their queue full, lost groups stall
// before they do, and calls are sent again within a budget.
//
// # Usage
//
//	result := admission.Simulate(admission.HeavyLoad(), admission.Late, seed)
//	fmt.Println(result.Kinds[0].Credit, result.Kinds[0].LargestServed)
package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is one kind of call.
type Kind struct {
	Name string
	// CallsPerSecond is the mean rate over all entry hosts.
	CallsPerSecond float64
	// PromptTokens and Events are the means of log-normal distributions with the given
	// spreads, cut off at the maxima. An event is StepsPerEvent tokens of the answer.
	PromptTokens, PromptSpread, MaxPromptTokens float64
	Events, EventsSpread, MaxEvents             float64
	// Target is for the first event, Pause for the time between two, and Deadline for
	// the whole answer.
	Target, Pause, Deadline time.Duration
	// LateCredit is the credit of a call that is served, but not on time, as a part of
	// the whole.
	LateCredit float64
	// EventTimeout is how long a caller waits for an event. It counts only where
	// Scenario.SavedRetries is set, and then mustn't be 0.
	EventTimeout time.Duration
}

// Loss is a group that stops at a time and is replaced by an empty one later. A group that
// is lost before the start opens first at BackAt.
type Loss struct {
	Group      int
	At, BackAt time.Duration
}

// Pause is a time in which a group makes no progress, after which it goes on.
type Pause struct {
	Group  int
	At     time.Duration
	Length time.Duration
}

// Burst multiplies the rate of one kind for a time.
type Burst struct {
	Kind        int
	From, Until time.Duration
	Factor      float64
}

// Scenario is a load and its losses.
type Scenario struct {
	Length     time.Duration
	EntryHosts int
	// Clients is how many clients send the calls, each first to one entry host; 0 is
	// without number.
	Clients int
	Groups  int
	Kinds   []Kind
	// Swing is by how much of its mean the rate rises and falls in each Period.
	Swing  float64
	Period time.Duration
	Losses []Loss
	Pauses []Pause
	Engine Engine
	// Stall is how long a lost group makes no progress before it rejects its calls, and
	// LossKnown how long entry hosts take to detect it. Without them its calls move at
	// once.
	Stall, LossKnown time.Duration
	// SavedRetries is how many calls all entry hosts together may save up to send again.
	// Without it sends aren't limited.
	SavedRetries float64
	// Beside is set where an unresponsive call stays at its group until another one has begun to
	// go on with it. Otherwise it is taken from its group at once.
	Beside bool
	// Sites places entry hosts and groups in data centres; without it all are in one.
	Sites *Sites
	// Slowdowns are times in which groups work more slowly.
	Slowdowns []Slowdown
	// NoTargets keeps the targets of the calls from the entry hosts, which then have neither a
	// preference for their data centre nor for endpoints that begin answers quickly.
	NoTargets bool
	// Priorities are those of the kinds, in their order. Without them all are 0.
	Priorities []int
	Bursts     []Burst
	// CountedFrom and CountedUntil bound the arrivals that count in the result. Without
	// CountedUntil all count.
	CountedFrom, CountedUntil time.Duration
}

// rate returns the calls per second of a kind at a time.
func (scenario *Scenario) rate(kind int, at time.Duration) float64 {
	rate := scenario.Kinds[kind].CallsPerSecond
	if scenario.Period > 0 {
		rate *= 1 + scenario.Swing*math.Sin(2*math.Pi*float64(at)/float64(scenario.Period))
	}
	for _, burst := range scenario.Bursts {
		if burst.Kind == kind && at >= burst.From && at < burst.Until {
			rate *= burst.Factor
		}
	}
	return rate
}

// priority returns the priority of a kind.
func (scenario *Scenario) priority(kind int) int {
	if kind < len(scenario.Priorities) {
		return scenario.Priorities[kind]
	}
	return 0
}

// counts reports whether a call that arrives at a time counts in the result.
func (scenario *Scenario) counts(at time.Duration) bool {
	return scenario.CountedUntil == 0 || (at >= scenario.CountedFrom && at < scenario.CountedUntil)
}

// Engine describes a group of engines.
type Engine struct {
	Slots int
	// Queue is how many calls wait for a slot before the engine rejects further ones; 0 is
	// without limit. Pace multiplies all times; 0 leaves them.
	Queue                    int
	Pace                     float64
	StepMS, StepPerRequestMS float64
	PromptTokensPerMS        float64
	StepsPerEvent, Chunk     int
}

// HeavyLoad returns the load of a model with few large groups: its peak asks
// for more than they can serve, while one group after the other is lost for seconds.
func HeavyLoad() Scenario {
	return Scenario{
		Length: 34 * time.Second, EntryHosts: 40, Groups: 7, Swing: 0.55, Period: 17 * time.Second,
		Kinds: []Kind{
			{"draft", 37.7, 1420, 1, 4030, 24.6, 1.5, 78, 300 * time.Millisecond, 300 * time.Millisecond, 8 * time.Second, 0.25, 0},
			{"triage", 25.2, 1960, 1.3, 5880, 3.2, 1.6, 36, 400 * time.Millisecond, 300 * time.Millisecond, 5 * time.Second, 0.25, 0},
		},
		Losses: []Loss{
			{0, seconds(3.4), seconds(6)}, {1, seconds(5.6), seconds(9)}, {2, seconds(14), seconds(23.7)}, {3, seconds(17.7), seconds(23)}, {4, seconds(18), seconds(25)},
		},
		Engine: Engine{Slots: 30, StepMS: 5.95, StepPerRequestMS: 0.0445, PromptTokensPerMS: 50.7, StepsPerEvent: 7, Chunk: 2048},
	}
}

func seconds(at float64) time.Duration { return time.Duration(at * float64(time.Second)) }

// Knowledge is what entry hosts have of each other's calls.
type Knowledge struct {
	// ReportInterval is the time between two counts, and ReportLag how old they are.
	ReportInterval, ReportLag time.Duration
	// Leader is set where each entry host reports to a leader in its own time and receives
	// what the others reported last.
	Leader bool
}

// Late is what entry hosts have in a system, and Fresh what they would have if nothing
// took any time.
var (
	Late  = Knowledge{ReportInterval: 300 * time.Millisecond, ReportLag: 300 * time.Millisecond}
	Fresh = Knowledge{ReportInterval: 50 * time.Millisecond}
)

// KindResult is what the callers of one kind got, as parts of its calls.
type KindResult struct {
	// Served calls got their whole answer in time, OnTime ones also met Target and
	// Pause. Credit weighs calls by their size.
	Served, OnTime, Credit float64
	// LargestServed is the served part of the largest tenth of the calls, and NextServed
	// that of the fifth below it.
	LargestServed, NextServed float64
	// Refused calls got no answer but a refusal, RefusedAgain of them two. Failed calls
	// ended without a whole answer or a refusal.
	Refused, RefusedAgain, Failed float64
}

// Result is what callers got, by kind in the order of the scenario.
type Result struct {
	Kinds []KindResult
	// Rejected is the part of the calls sent to groups that these rejected, and Busiest
	// what the busiest group got beside the mean of all.
	Rejected, Busiest float64
	// SentTwice counts the calls that were sent to a group while they ran at another.
	SentTwice int
	// Sites is what happened between the data centres.
	Sites SitesResult
}

// result sums up the calls of a simulation.
func (simulation *simulation) result() Result {
	var result Result
	for index := range simulation.scenario.Kinds {
		var calls []*call
		for _, call := range simulation.calls {
			if call.kind == index && simulation.scenario.counts(call.arrivedAt) {
				calls = append(calls, call)
			}
		}
		slices.SortFunc(calls, func(a, b *call) int { return b.size - a.size })
		largest := len(calls) / 10
		kind := KindResult{
			Served: servedPart(calls), LargestServed: servedPart(calls[:largest]), NextServed: servedPart(calls[largest : 3*largest]),
		}
		credit, owed := 0.0, 0.0
		for _, call := range calls {
			switch {
			case call.served:
			case call.refused:
				kind.Refused += 1 / float64(len(calls))
				if call.tries >= maxTries {
					kind.RefusedAgain += 1 / float64(len(calls))
				}
			default:
				kind.Failed += 1 / float64(len(calls))
			}
			owed += float64(call.size)
			switch {
			case call.served && call.onTime():
				kind.OnTime += 1 / float64(len(calls))
				credit += float64(call.size)
			case call.served:
				credit += simulation.scenario.Kinds[index].LateCredit * float64(call.size)
			}
		}
		kind.Credit = credit / owed
		result.Kinds = append(result.Kinds, kind)
	}
	result.Rejected, result.Busiest = simulation.atGroups()
	result.SentTwice = simulation.sentTwice
	result.Sites = simulation.sites.result()
	return result
}

// atGroups returns the part of the sent calls that groups rejected, and what the busiest
// group got beside the mean.
func (simulation *simulation) atGroups() (rejectedPart, busiest float64) {
	arrived, rejected, most := 0, 0, 0
	for _, group := range simulation.groups {
		arrived, rejected, most = arrived+group.arrived, rejected+group.rejected, max(most, group.arrived)
	}
	return float64(rejected) / float64(max(1, arrived)), float64(most*len(simulation.groups)) / float64(max(1, arrived))
}

func servedPart(calls []*call) float64 {
	served := 0
	for _, call := range calls {
		if call.served {
			served++
		}
	}
	return float64(served) / float64(max(1, len(calls)))
}

// logNormal draws from a log-normal distribution with a mean, whose logarithm has the
// given spread, cut off at a maximum.
func logNormal(random *rand.Rand, mean, spread, most float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}
