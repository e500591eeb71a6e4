// Package fleet decides for the leader which groups the engines of the declared
// services form. It forms groups by the planner's plan, orders their engines to join
// and their heads to open, retires a group that can't serve any more, and frees its
// engines once the group's head certainly serves no more. It stages the weights of
// further models, so that an engine can change its model without a load.
//
// It holds the leader's state of one term beyond the replicated state, and is
// discarded with the term. It proposes changes and sends nothing itself.
//
// # Usage
//
//	fleet := fleet.New(now, fleet.Config{Term: term, EngineStallTimeout: timeout})
//	fleet.Step(now, fleet.CallReported{})
//	actions := fleet.Tick(now, fleet.State{Register: state, Roster: hosts, Lags: lags})
package fleet

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/demand"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// Config is fixed for one term.
type Config struct {
	Term id.Term
	// EngineStallTimeout is how long the head of a group waits for an engine that it
	// has lost before it gives the group up.
	EngineStallTimeout time.Duration
}

// State is what a decision is based on beside the fleet's own records. It is read
// only.
type State struct {
	Register *register.Register
	Roster   *roster.Roster
	// Lags reports whether a node may still act on a state older than a version.
	Lags func(id.Version) bool
	// Calls returns the number of calls in progress at a group; nil stands for none.
	Calls func(id.Group) int
}

// Actions are what the caller must do: propose the changes, unless they are empty, and
// send the orders.
type Actions struct {
	Changes   register.ChangeGroups
	Orders    []action.Order
	Decisions []action.Decision
}

// Fleet is the leader's state machine for the groups of engines. It isn't safe for
// concurrent use.
type Fleet struct {
	config    Config
	startedAt time.Time
	// state is that of the present Tick, and evacuations are those of its register.
	state       State
	evacuations register.Evacuations
	// openHeadByGroup is filled by openHeads, and groupsInUse by groups, once in a Tick.
	openHeadByGroup map[openGroup]*roster.Member
	groupsInUse     []register.GroupRecord
	// groupCount counts the groups formed in this term.
	groupCount int
	// formedAtByGroup is the version of the replicated state by which a group was formed
	// in this term, and retiredAtByHost the version at which the last group of a host was
	// retired, for the hosts freed in this term.
	formedAtByGroup map[id.Group]id.Version
	retiredAtByHost map[id.Host]id.Version
	// joinStartedAtByGroup is when the hosts of a group were first considered for
	// an order to join. leftGroupAtByHost is when a host of a retired group was
	// first seen outside that group.
	joinStartedAtByGroup map[id.Group]time.Time
	leftGroupAtByHost    map[id.Host]time.Time
	// openedGroups holds the groups whose opening was already recorded as a
	// decision.
	openedGroups map[id.Group]bool
	// idleSummary is the last logged summary of the engines that are in no group,
	// and idleSummaryAt the time at which it was logged.
	idleSummary   string
	idleSummaryAt time.Time
	// preparedAt is when engines were last prepared for later groups.
	preparedAt time.Time
	// orderCount counts the orders of this term that have a number of their own.
	orderCount id.OrderNumber
	// lastOrderByHost holds the last order sent to each engine.
	lastOrderByHost map[id.Host]sentOrder
	// orderingUntil is when the orders sent so far would be over if each took
	// orderSpacing.
	orderingUntil time.Time
	// stallReportedAtByGroup is when a node last reported that its calls to a group
	// are stalled.
	stallReportedAtByGroup map[id.Group]time.Time
	// undeliveredByHost holds the orders that didn't reach their host.
	undeliveredByHost map[id.Host]*undelivered
	// probedAtByHost is when a probe was last sent to a host.
	probedAtByHost map[id.Host]time.Time
	// stagingByHost holds the orders to stage weights that are in progress.
	stagingByHost map[id.Host]staging
	// lastDissolvedAtByDomain is when groups of a domain were last retired in favour of
	// another model.
	lastDissolvedAtByDomain map[id.Domain]time.Time
	// engineCount is the number of engines that discovery has seen, and
	// engineCountChangedAt the time at which that number last changed.
	engineCount          int
	engineCountChangedAt time.Time
	// loadStartTimes are the starts of loads from the weight store within the
	// last loadWindow.
	loadStartTimes []time.Time
	// hostStateDroppedAt is when the state of unknown hosts was last dropped.
	hostStateDroppedAt time.Time
	// demand divides the engines by the work that callers offer; demandByModel is its result
	// at the present Tick.
	demand        *demand.Demand
	demandByModel []ModelDemand
	// moveByGroup holds the groups dissolved for another model until the hosts serve again.
	moveByGroup map[id.Group]move
	// callsSeen is set once a node has reported a call in this term.
	callsSeen bool
}

// New returns the fleet of a leader whose term begins now.
func New(now time.Time, config Config) *Fleet {
	return &Fleet{
		config: config, startedAt: now,
		formedAtByGroup: map[id.Group]id.Version{}, retiredAtByHost: map[id.Host]id.Version{},
		joinStartedAtByGroup: map[id.Group]time.Time{}, leftGroupAtByHost: map[id.Host]time.Time{}, openedGroups: map[id.Group]bool{},
		lastOrderByHost: map[id.Host]sentOrder{}, stallReportedAtByGroup: map[id.Group]time.Time{},
		undeliveredByHost: map[id.Host]*undelivered{}, probedAtByHost: map[id.Host]time.Time{}, stagingByHost: map[id.Host]staging{},
		lastDissolvedAtByDomain: map[id.Domain]time.Time{}, demand: demand.New(), moveByGroup: map[id.Group]move{},
	}
}

// Event is an input of a fleet: CallReported, StallReported, OrderUndelivered or WorkOffered.
type Event interface{ event() }

// CallReported reports that a node has calls in progress: the system serves.
type CallReported struct{}

// StallReported is a node's report that its calls to a group make no progress.
type StallReported struct{ Group id.Group }

// OrderUndelivered reports an order, which may be a probe, that didn't reach its host: the
// host's address refused the connection, or else it couldn't be opened in time.
type OrderUndelivered struct {
	Host    id.Host
	Refused bool
}

func (CallReported) event()     {}
func (StallReported) event()    {}
func (OrderUndelivered) event() {}

// Step records an event.
func (fleet *Fleet) Step(now time.Time, event Event) {
	switch event := event.(type) {
	case CallReported:
		fleet.callsSeen = true
	case StallReported:
		fleet.stallReportedAtByGroup[event.Group] = now
	case OrderUndelivered:
		known := fleet.undeliveredByHost[event.Host]
		if known == nil {
			known = &undelivered{}
			fleet.undeliveredByHost[event.Host] = known
		}
		known.record(now, event.Refused)
	case WorkOffered:
		fleet.demand.Report(now, event.Node, event.Incarnation, event.Work)
	}
}

// Tick retires, frees, opens and forms groups. The changes of one tick must be applied
// before the next tick.
func (fleet *Fleet) Tick(now time.Time, state State) Actions {
	fleet.state, fleet.openHeadByGroup, fleet.groupsInUse = state, nil, nil
	fleet.evacuations = state.Register.Evacuations()
	var actions Actions
	declared := state.Register.Declared()
	if declared == nil {
		return actions
	}
	fleet.dropRetiredGroupState()
	fleet.dropUnknownHostState(now)
	fleet.retireBrokenGroups(now, &actions)
	fleet.freeRetiredHosts(now, &actions)
	fleet.advanceGroups(now, &actions)
	if !actions.Changes.Empty() {
		return actions
	}
	fleet.demandByModel = nil
	prepare := now.Sub(fleet.preparedAt) >= preparationInterval
	for index := range declared.Declaration.Services {
		if service := &declared.Declaration.Services[index]; service.Engine != nil {
			fleet.formGroups(now, &actions, service, prepare)
		}
	}
	return actions
}
