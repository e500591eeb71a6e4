// Package controller decides for one voter: it applies the replicated log and,
// while it leads, answers the nodes' reports, forms and repairs groups, sees
// planned stops through and shares out the contracts' limits.
//
// # Usage
//
//	voter, err := controller.New(now, config, stored, hosts)
//	actions := voter.Step(now, controller.Synced{Ticket: 7, Request: request})
//	actions = voter.Tick(now)
//	// sync actions.Save, then do the rest
package controller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// compactBytes is how much log is kept before a snapshot replaces it.
	compactBytes = 4 << 20
	// CompactEntries is the same in entries.
	CompactEntries = 20_000
	// driftPerMille bounds how far two clocks' rates differ.
	driftPerMille = 10
)

// Config is fixed for the life of a process.
type Config struct {
	Self        id.Node
	Incarnation id.Incarnation
	Voters      []id.Node
	// Nodes are all nodes that settings name, voters or not.
	Nodes      []id.Node
	Timing     quorum.Timing
	ModelSpecs []placer.Spec
	// MaxLoadingGroups bounds the groups that load weights at the same time.
	MaxLoadingGroups int
	// CompactEntries bounds the entries of the log before a snapshot replaces
	// them.
	CompactEntries int
	// TargetVoters is how many nodes should vote; the leader fills the log up
	// to it by itself. Zero leaves the voters to operators.
	TargetVoters int
	// EngineStallTimeout is how long a group goes on waiting for an engine that it has lost
	// before it gives itself up.
	EngineStallTimeout time.Duration
	// NodeLease shortens the lease of nodes, which is feed.Lease at the most and
	// where it is zero.
	NodeLease time.Duration
	Rand      *rand.Rand
}

// lease is how long a node may act on an answer.
func (config *Config) lease() time.Duration {
	if config.NodeLease <= 0 {
		return feed.Lease
	}
	return min(config.NodeLease, feed.Lease)
}

// Controller is the decider of one voter. It isn't safe for concurrent use.
type Controller struct {
	config   Config
	quorum   *quorum.Quorum
	register *register.Register
	hosts    *roster.Roster
	clock    *clock.Clock
	applied  id.Index
	pending  map[id.Index]pendingProposal
	reign    *reign
	sequence uint64
}

// pendingProposal is a proposal that waits to be committed.
type pendingProposal struct {
	ticket Ticket
	term   id.Term
}

// New starts a voter from what its disk holds. The roster may be shared with
// the member of the same process.
func New(now time.Time, config Config, stored quorum.Stored, hosts *roster.Roster) (*Controller, error) {
	controller := &Controller{
		config: config, register: register.New(), hosts: hosts,
		clock:   clock.New(now, config.Self, config.Incarnation),
		pending: map[id.Index]pendingProposal{},
	}
	if stored.Snapshot != nil {
		restored, err := register.Restore(stored.Snapshot.Data)
		if err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
		controller.register = restored
		controller.applied = stored.Snapshot.Index
	}
	controller.quorum = quorum.New(now, quorum.Config{
		Self: config.Self, Voters: config.Voters, Timing: config.Timing, Rand: config.Rand,
	}, stored)
	return controller, nil
}

// Step takes one event.
func (controller *Controller) Step(now time.Time, event Event) Actions {
	var actions Actions
	switch event := event.(type) {
	case MessageReceived:
		controller.absorb(now, &actions, controller.quorum.Step(now, quorum.Receive{Message: event.Message}))
	case FeedRequested:
		controller.synced(now, &actions, event)
	case ChangeProposed:
		controller.proposed(now, &actions, event)
	case VotersChangeRequested:
		controller.reconfigured(now, &actions, event)
	case OrderUndelivered:
		if controller.reign != nil {
			controller.reign.undelivered[event.Host] = now
		}
	case LeadershipTransferRequested:
		controller.absorb(now, &actions, controller.quorum.Step(now, quorum.TransferLeadership{}))
	}
	controller.follow(now, &actions)
	return actions
}

// Tick takes the passing of time.
func (controller *Controller) Tick(now time.Time) Actions {
	var actions Actions
	controller.absorb(now, &actions, controller.quorum.Tick(now))
	controller.follow(now, &actions)
	if controller.HoldsLeaderLease(now) {
		controller.govern(now, &actions)
	}
	controller.compact(now, &actions)
	return actions
}

// HoldsLeaderLease tells whether this voter is leader and its lease holds.
func (controller *Controller) HoldsLeaderLease(now time.Time) bool {
	return controller.reign != nil && now.Before(controller.quorum.LeaseUntil(now))
}

// Leader is this voter's last word of who leads.
func (controller *Controller) Leader() id.Node { return controller.quorum.Status().Leader }

// Quorum tells what the voter is in the replicated log.
func (controller *Controller) Quorum() quorum.Status { return controller.quorum.Status() }

// Register is the state as applied so far, for reading only.
func (controller *Controller) Register() *register.Register { return controller.register }

// absorb takes what the log decided: it restores, applies, and passes on.
func (controller *Controller) absorb(now time.Time, actions *Actions, decided quorum.Actions) {
	actions.add(Actions{Save: decided.DiskWrite, Messages: decided.Messages})
	if decided.Restore != nil {
		controller.restore(decided.Restore)
	}
	for _, entry := range decided.Committed {
		controller.applyEntry(now, actions, entry)
	}
}

func (controller *Controller) restore(snapshot *quorum.Snapshot) {
	restored, err := register.Restore(snapshot.Data)
	if err != nil {
		// The bytes passed their checksum on disk and on the wire, so this is a
		// program error; going on would fork the state.
		panic(errors.Wrap(err, "install snapshot"))
	}
	controller.register = restored
	controller.applied = snapshot.Index
}

func (controller *Controller) applyEntry(now time.Time, actions *Actions, entry quorum.Entry) {
	if entry.Index <= controller.applied {
		return
	}
	controller.applied = entry.Index
	waiting, ok := controller.pending[entry.Index]
	delete(controller.pending, entry.Index)
	if len(entry.Data) == 0 {
		controller.applyMembership(actions, entry, waiting, ok)
		return
	}
	var command register.Command
	result := register.Result{Verdict: register.VerdictRefused, Reason: "unreadable command"}
	data, err := unpack(entry.Data)
	if err == nil {
		err = json.Unmarshal(data, &command)
	}
	if err == nil {
		result = controller.register.Apply(entry.Index, command)
	}
	if !ok {
		return
	}
	if waiting.term != entry.Term {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: waiting.ticket, Leader: controller.Leader()})
		return
	}
	controller.settle(now, actions, waiting.ticket, command, result)
}

// applyMembership answers whoever asked for a membership that is committed now.
func (controller *Controller) applyMembership(actions *Actions, entry quorum.Entry, waiting pendingProposal, waited bool) {
	if !waited {
		return
	}
	outcome := Outcome{Ticket: waiting.ticket, Leader: controller.Leader()}
	if entry.Membership != nil && waiting.term == entry.Term {
		outcome.Result = &register.Result{Verdict: register.VerdictDone}
	}
	actions.Outcomes = append(actions.Outcomes, outcome)
}

// reconfigured appends a membership. The log takes one change of one voter at a
// time, and refuses any other.
func (controller *Controller) reconfigured(now time.Time, actions *Actions, event VotersChangeRequested) {
	if !controller.HoldsLeaderLease(now) {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Leader: controller.Leader()})
		return
	}
	before := controller.quorum.Status()
	if sameVoters(before.Membership.Voters, event.Membership.Voters) {
		unchanged := register.Result{Verdict: register.VerdictUnchanged}
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Result: &unchanged})
		return
	}
	note := register.Command{Actor: event.Actor, RecordVoters: &register.RecordVoters{From: before.Membership.Voters, To: event.Membership.Voters}}
	controller.pending[before.LastIndex+1] = pendingProposal{ticket: event.Ticket, term: before.Term}
	controller.absorb(now, actions, controller.quorum.Step(now, quorum.Reconfigure{Membership: event.Membership}))
	if controller.quorum.Status().LastIndex == before.LastIndex {
		delete(controller.pending, before.LastIndex+1)
		refused := register.Result{Verdict: register.VerdictRefused, Reason: "voters change one at a time, and only once the change before is committed"}
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Result: &refused})
		return
	}
	controller.propose(now, actions, 0, note)
}

func sameVoters(a, b []id.Node) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// settle answers a proposal, or waits until its change is in force everywhere.
func (controller *Controller) settle(now time.Time, actions *Actions, ticket Ticket, command register.Command, result register.Result) {
	if ticket == 0 {
		return
	}
	changesNodes := command.ApplyContract != nil || command.RetireContract != nil || command.CreateStop != nil
	accepted := result.Verdict == register.VerdictDone || result.Verdict == register.VerdictUnchanged
	if !changesNodes || !accepted || controller.reign == nil {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: ticket, Result: &result, InForce: false})
		return
	}
	controller.reign.waits = append(controller.reign.waits, forceWait{ticket: ticket, result: result, until: now.Add(forceTimeout)})
}

// propose appends a command; it is false when this voter doesn't lead.
func (controller *Controller) propose(now time.Time, actions *Actions, ticket Ticket, command register.Command) bool {
	if !controller.HoldsLeaderLease(now) {
		return false
	}
	status := controller.quorum.Status()
	command.At = now.Round(0).UTC()
	command.Term, command.Clock = status.Term, controller.clock.Reading(now)
	data, err := json.Marshal(command)
	if err == nil {
		data, err = pack(data)
	}
	if err != nil {
		refused := register.Result{Verdict: register.VerdictRefused, Reason: err.Error()}
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: ticket, Result: &refused})
		return true
	}
	index := status.LastIndex + 1
	controller.pending[index] = pendingProposal{ticket: ticket, term: status.Term}
	controller.absorb(now, actions, controller.quorum.Step(now, quorum.Propose{Data: data}))
	return true
}

// proposeOwn appends a command of the leader itself.
func (controller *Controller) proposeOwn(now time.Time, actions *Actions, command register.Command) {
	controller.sequence++
	status := controller.quorum.Status()
	command.Change = id.Change(fmt.Sprintf("%s-%d-%d-%d", controller.config.Self, controller.config.Incarnation, status.Term, controller.sequence))
	command.Actor = "control:" + string(controller.config.Self)
	if controller.propose(now, actions, 0, command) {
		controller.reign.ownIndex = controller.quorum.Status().LastIndex
	}
}

func (controller *Controller) proposed(now time.Time, actions *Actions, event ChangeProposed) {
	if !controller.HoldsLeaderLease(now) {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Leader: controller.Leader()})
		return
	}
	if event.Command.Declare != nil && !controller.bearsLosses(now) {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Leader: controller.config.Self})
		return
	}
	if result, ok := controller.overtaken(event.Command); ok {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Result: &result})
		return
	}
	if event.Command.CreateStop != nil {
		stop, problem := controller.planStop(now, *event.Command.CreateStop, event.AcceptLoss)
		if problem != nil {
			actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Result: problem})
			return
		}
		event.Command.CreateStop = &stop
	}
	controller.propose(now, actions, event.Ticket, event.Command)
}

// overtaken answers a declaration that isn't higher than the one in force,
// which it can't change any more, without a place in the log.
func (controller *Controller) overtaken(command register.Command) (register.Result, bool) {
	declared := controller.register.Declared()
	if command.Declare == nil || declared == nil || command.Declare.Declaration.Revision > declared.Declaration.Revision {
		return register.Result{}, false
	}
	if err := command.Declare.Declaration.Validate(); err != nil {
		return register.Result{}, false
	}
	return register.Result{Verdict: register.VerdictUnchanged, Revision: declared.Declaration.Revision, Version: declared.Version}, true
}

// follow starts and ends reigns and answers those whom a lost one left waiting.
func (controller *Controller) follow(now time.Time, actions *Actions) {
	status := controller.quorum.Status()
	leads := status.Role == quorum.RoleLeader
	if controller.reign != nil && (!leads || controller.reign.term != status.Term) {
		controller.endReign(actions)
	}
	if controller.reign == nil && leads && now.Before(controller.quorum.LeaseUntil(now)) {
		controller.reign = newReign(now, status.Term, controller.config)
	}
	if controller.HoldsLeaderLease(now) {
		controller.answerNews(now, actions)
	}
}

func (controller *Controller) endReign(actions *Actions) {
	leader := controller.Leader()
	for _, name := range sortedKeys(controller.reign.polls) {
		actions.Replies = append(actions.Replies, Reply{Ticket: controller.reign.polls[name].ticket, Redirect: &feed.Redirect{Leader: leader}})
	}
	for _, wait := range controller.reign.waits {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: wait.ticket, Leader: leader})
	}
	for _, index := range sortedKeys(controller.pending) {
		if waiting := controller.pending[index]; waiting.ticket != 0 {
			actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: waiting.ticket, Leader: leader})
		}
	}
	clear(controller.pending)
	controller.reign = nil
}

// compact replaces a long log by a snapshot.
func (controller *Controller) compact(now time.Time, actions *Actions) {
	if controller.quorum.LogBytes() < compactBytes && controller.quorum.LogEntries() < controller.config.CompactEntries {
		return
	}
	data, err := controller.register.Snapshot()
	if err != nil {
		panic(errors.Wrap(err, "write snapshot"))
	}
	controller.absorb(now, actions, controller.quorum.Step(now, quorum.Compact{Index: controller.applied, Data: data}))
}

// Applied is the index up to which the state is applied.
func (controller *Controller) Applied() id.Index { return controller.applied }
