// Package controller holds the decisions of one voter: it applies the replicated
// log and, while it leads, answers the nodes' feed requests, forms and repairs
// groups, carries out planned stops and shares the contracts' limits out to the
// nodes. It does no I/O; the caller carries out the returned actions.
//
// # Usage
//
//	voter, err := controller.New(now, config, stored, hosts)
//	actions := voter.Step(now, controller.FeedRequested{Ticket: 7, Request: request})
//	actions = voter.Tick(now)
//	// write and fsync actions.DiskWrite, then carry out the rest
package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/process/clock"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/fleet"
	"carobline.dev/core/process/inventory"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

const (
	// compactBytes is the size in bytes from which a snapshot replaces the log.
	compactBytes = 4 << 20
	// CompactEntries is the number of entries from which a snapshot replaces the
	// log, for Config.CompactEntries.
	CompactEntries = 20_000
	// maxClockDriftPerMille bounds by how much the rates of two clocks differ.
	maxClockDriftPerMille = 10
)

// Config is fixed for the life of a process.
type Config struct {
	Self        id.Node
	Incarnation id.Incarnation
	// Voters are the voters at the first start, when no membership is stored.
	Voters []id.Node
	// Nodes are all nodes that the settings name, voters or not. A new leader
	// assumes that each of them holds a lease from the previous leader.
	Nodes      []id.Node
	Timing     quorum.Timing
	ModelSpecs []placer.Spec
	// MaxLoadingGroups bounds the groups that load weights at the same time.
	MaxLoadingGroups int
	// CompactEntries is the number of log entries from which a snapshot replaces
	// them.
	CompactEntries int
	// TargetVoters is the number of voters that the leader keeps up by adding and
	// replacing nodes. Zero leaves the set of voters to the operators.
	TargetVoters int
	// EngineStallTimeout is how long the head of a group of engines waits for a
	// host that it has lost before it gives the group up.
	EngineStallTimeout time.Duration
	// NodeLease is the lease that a response grants to a node. Zero, and anything
	// longer than feed.Lease, stands for feed.Lease.
	NodeLease time.Duration
	Rand      *rand.Rand
}

// lease returns how long a node may act on a response.
func (config *Config) lease() time.Duration {
	if config.NodeLease <= 0 {
		return feed.Lease
	}
	return min(config.NodeLease, feed.Lease)
}

// Controller is the state machine of one voter: its replicated state and, while
// it leads, its decisions. It isn't safe for concurrent use.
type Controller struct {
	config          Config
	quorum          *quorum.Quorum
	register        *register.Register
	roster          *roster.Roster
	clock           *clock.Clock
	appliedIndex    id.Index
	proposalByIndex map[id.Index]pendingProposal
	leadership      *leadership
	changeSequence  uint64
	responses       ResponseStats
	// declaredAt is when this voter applied the declaration in force.
	declaredAt time.Time
}

// pendingProposal is a proposal of this voter that isn't committed yet.
type pendingProposal struct {
	ticket Ticket
	term   id.Term
}

// New starts a voter from its stored state. It returns an error when the stored
// snapshot can't be restored. The roster may be shared with the member of the
// same process.
func New(now time.Time, config Config, stored quorum.Stored, hosts *roster.Roster) (*Controller, error) {
	controller := &Controller{
		config: config, register: register.New(), roster: hosts,
		clock:           clock.New(now, config.Self, config.Incarnation),
		proposalByIndex: map[id.Index]pendingProposal{},
	}
	if stored.Snapshot != nil {
		restored, err := register.Restore(stored.Snapshot.Data)
		if err != nil {
			return nil, errors.Wrap(err, "restore snapshot")
		}
		controller.register = restored
		controller.appliedIndex = stored.Snapshot.Index
	}
	controller.quorum = quorum.New(now, quorum.Config{
		Self: config.Self, Voters: config.Voters, Timing: config.Timing, Rand: config.Rand,
	}, stored)
	return controller, nil
}

// Step handles one event and returns what the caller must do.
func (controller *Controller) Step(now time.Time, event Event) Actions {
	var actions Actions
	switch event := event.(type) {
	case MessageReceived:
		if event.Message.To != controller.config.Self {
			actions.Contacts = append(actions.Contacts, event.Message.From)
			break
		}
		controller.applyQuorumActions(now, &actions, controller.quorum.Step(now, quorum.Receive{Message: event.Message}))
	case FeedRequested:
		controller.handleFeedRequest(now, &actions, event)
	case ChangeProposed:
		controller.handleProposal(now, &actions, event)
	case VotersChangeRequested:
		controller.handleVotersChange(now, &actions, event)
	case OrderUndelivered:
		if controller.leadership != nil {
			controller.leadership.fleet.Step(now, fleet.OrderUndelivered{Host: event.Host, Refused: event.Refused})
		}
	case LeadershipTransferRequested:
		controller.applyQuorumActions(now, &actions, controller.quorum.Step(now, quorum.TransferLeadership{}))
	}
	arrived := id.Node("")
	if request, ok := event.(FeedRequested); ok {
		arrived = request.Request.Node
	}
	controller.updateLeadership(now, &actions, arrived, false)
	return actions
}

// Tick handles timeouts and, on the leader, runs reconciliation. It returns what
// the caller must do.
func (controller *Controller) Tick(now time.Time) Actions {
	var actions Actions
	controller.applyQuorumActions(now, &actions, controller.quorum.Tick(now))
	controller.updateLeadership(now, &actions, "", true)
	if controller.HoldsLeaderLease(now) {
		controller.reconcile(now, &actions)
	}
	controller.compact(now, &actions)
	return actions
}

// Demand lists the demand for the models of services whose engines follow it. It is empty on a
// voter that doesn't lead.
func (controller *Controller) Demand() []fleet.ModelDemand {
	if controller.leadership == nil {
		return nil
	}
	return controller.leadership.fleet.Demand()
}

// HoldsLeaderLease reports whether this voter is the leader and its lease as
// leader hasn't expired.
func (controller *Controller) HoldsLeaderLease(now time.Time) bool {
	return controller.leadership != nil && now.Before(controller.quorum.LeaseUntil(now))
}

// Leader returns the leader as last known to this voter, or "" for none.
func (controller *Controller) Leader() id.Node { return controller.quorum.Status().Leader }

// Quorum returns the voter's role, term and membership in the replicated log.
func (controller *Controller) Quorum() quorum.Status { return controller.quorum.Status() }

// Register returns the replicated state as applied so far. It is read-only.
func (controller *Controller) Register() *register.Register { return controller.register }

// inventory returns the hosts and groups by the replicated state and the roster.
func (controller *Controller) inventory() inventory.Inventory {
	return inventory.New(controller.register, controller.roster, controller.config.ModelSpecs)
}

// applyQuorumActions restores a snapshot and applies the committed entries that
// the replicated log hands over, and passes saves and messages on to the caller.
func (controller *Controller) applyQuorumActions(now time.Time, actions *Actions, quorumActions quorum.Actions) {
	actions.add(Actions{DiskWrite: quorumActions.DiskWrite, Messages: quorumActions.Messages})
	if quorumActions.Restore != nil {
		controller.restoreSnapshot(quorumActions.Restore)
	}
	for _, entry := range quorumActions.Committed {
		controller.applyEntry(now, actions, entry)
	}
}

func (controller *Controller) restoreSnapshot(snapshot *quorum.Snapshot) {
	restored, err := register.Restore(snapshot.Data)
	if err != nil {
		// The bytes passed their checksum on disk and on the wire, so this is a bug.
		// Going on would make this voter's state diverge from that of the others.
		panic(errors.Wrap(err, "install snapshot"))
	}
	controller.register = restored
	controller.appliedIndex = snapshot.Index
}

// applyEntry applies a committed entry to the replicated state and, if this voter
// proposed it, answers the proposal.
func (controller *Controller) applyEntry(now time.Time, actions *Actions, entry quorum.Entry) {
	if entry.Index <= controller.appliedIndex {
		return
	}
	controller.appliedIndex = entry.Index
	proposal, proposedHere := controller.proposalByIndex[entry.Index]
	delete(controller.proposalByIndex, entry.Index)
	if len(entry.Data) == 0 {
		controller.applyMembership(actions, entry, proposal, proposedHere)
		return
	}
	result := register.Result{Verdict: register.VerdictRefused, Reason: "unreadable command"}
	command, err := register.DecodeCommand(entry.Data)
	if err == nil {
		result = controller.register.Apply(entry.Index, command)
		if command.Declare != nil && result.Verdict == register.VerdictDone {
			controller.declaredAt = now
		}
	}
	if !proposedHere {
		return
	}
	if proposal.term != entry.Term {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: proposal.ticket, Leader: controller.Leader()})
		return
	}
	controller.resolveProposal(now, actions, proposal.ticket, command, result)
}

// applyMembership answers the proposal at the index of an entry without a
// command. The proposal succeeded if the entry is a membership of its own term;
// any other entry has displaced it.
func (controller *Controller) applyMembership(actions *Actions, entry quorum.Entry, proposal pendingProposal, proposedHere bool) {
	if !proposedHere {
		return
	}
	outcome := Outcome{Ticket: proposal.ticket, Leader: controller.Leader()}
	if entry.Membership != nil && proposal.term == entry.Term {
		outcome.Result = &register.Result{Verdict: register.VerdictDone}
	}
	actions.Outcomes = append(actions.Outcomes, outcome)
}

// handleVotersChange appends a membership to the log. The log accepts only a
// change by one voter, and only while no other change is uncommitted.
func (controller *Controller) handleVotersChange(now time.Time, actions *Actions, event VotersChangeRequested) {
	if !controller.HoldsLeaderLease(now) {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Leader: controller.Leader()})
		return
	}
	statusBefore := controller.quorum.Status()
	if sameVoters(statusBefore.Membership.Voters, event.Membership.Voters) {
		unchanged := register.Result{Verdict: register.VerdictUnchanged}
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Result: &unchanged})
		return
	}
	recordVoters := register.Command{Actor: event.Actor, RecordVoters: &register.RecordVoters{From: statusBefore.Membership.Voters, To: event.Membership.Voters}}
	controller.proposalByIndex[statusBefore.LastIndex+1] = pendingProposal{ticket: event.Ticket, term: statusBefore.Term}
	controller.applyQuorumActions(now, actions, controller.quorum.Step(now, quorum.Reconfigure{Membership: event.Membership}))
	if controller.quorum.Status().LastIndex == statusBefore.LastIndex {
		delete(controller.proposalByIndex, statusBefore.LastIndex+1)
		refused := register.Result{Verdict: register.VerdictRefused, Reason: "voters change one at a time, and only once the change before is committed"}
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Result: &refused})
		return
	}
	controller.propose(now, actions, 0, recordVoters)
}

func sameVoters(a, b []id.Node) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}

// resolveProposal answers a proposal, or holds the answer until every node has
// the change in force when the change affects the nodes.
func (controller *Controller) resolveProposal(now time.Time, actions *Actions, ticket Ticket, command register.Command, result register.Result) {
	if ticket == 0 {
		return
	}
	needsInForce := command.ApplyContract != nil || command.RetireContract != nil || command.CreateStop != nil
	accepted := result.Verdict == register.VerdictDone || result.Verdict == register.VerdictUnchanged
	if !needsInForce || !accepted || controller.leadership == nil {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: ticket, Result: &result, InForce: false})
		return
	}
	controller.leadership.inForceWaits = append(controller.leadership.inForceWaits, inForceWait{ticket: ticket, result: result, deadline: now.Add(inForceTimeout)})
}

// propose appends a command to the log. It returns false when this voter doesn't
// hold the leader's lease.
func (controller *Controller) propose(now time.Time, actions *Actions, ticket Ticket, command register.Command) bool {
	if !controller.HoldsLeaderLease(now) {
		return false
	}
	status := controller.quorum.Status()
	command.At = now.Round(0).UTC()
	command.Term, command.Clock = status.Term, controller.clock.Reading(now)
	data, err := command.Encode()
	if err != nil {
		refused := register.Result{Verdict: register.VerdictRefused, Reason: err.Error()}
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: ticket, Result: &refused})
		return true
	}
	index := status.LastIndex + 1
	controller.proposalByIndex[index] = pendingProposal{ticket: ticket, term: status.Term}
	controller.applyQuorumActions(now, actions, controller.quorum.Step(now, quorum.Propose{Data: data}))
	return true
}

// proposeAsLeader appends a command that the leader itself decided on.
func (controller *Controller) proposeAsLeader(now time.Time, actions *Actions, command register.Command) {
	controller.changeSequence++
	status := controller.quorum.Status()
	command.Change = id.Change(fmt.Sprintf("%s-%d-%d-%d", controller.config.Self, controller.config.Incarnation, status.Term, controller.changeSequence))
	command.Actor = "control:" + string(controller.config.Self)
	if controller.propose(now, actions, 0, command) {
		controller.leadership.ownProposalIndex = controller.quorum.Status().LastIndex
	}
}

// handleProposal appends a change to the log, or answers it at once when this
// voter doesn't lead, when a declaration can't be accepted yet or is superseded,
// when the data centre of an evacuation isn't known, or when a planned stop is refused.
func (controller *Controller) handleProposal(now time.Time, actions *Actions, event ChangeProposed) {
	if !controller.HoldsLeaderLease(now) {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Leader: controller.Leader()})
		return
	}
	if event.Command.Declare != nil && !controller.mayAcceptDeclaration(now) {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Leader: controller.config.Self})
		return
	}
	if result, ok := controller.supersededDeclaration(event.Command); ok {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: event.Ticket, Result: &result})
		return
	}
	if outcome, ok := controller.refuseUnknownDataCentre(now, event); ok {
		actions.Outcomes = append(actions.Outcomes, outcome)
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

// supersededDeclaration answers, without an entry in the log, a declaration
// whose revision isn't higher than the one in force: it can't change anything.
func (controller *Controller) supersededDeclaration(command register.Command) (register.Result, bool) {
	current := controller.register.Declared()
	if command.Declare == nil || current == nil || command.Declare.Declaration.Revision > current.Declaration.Revision {
		return register.Result{}, false
	}
	if err := command.Declare.Declaration.Validate(); err != nil {
		return register.Result{}, false
	}
	return register.Result{Verdict: register.VerdictUnchanged, Revision: current.Declaration.Revision, Version: current.Version}, true
}

// updateLeadership creates the leader's state when this voter has won a term and
// holds the lease, discards it when the voter no longer leads that term, and
// answers the held requests that are due. arrived is the node whose request has just
// come in, or empty.
func (controller *Controller) updateLeadership(now time.Time, actions *Actions, arrived id.Node, ticked bool) {
	status := controller.quorum.Status()
	isLeader := status.Role == quorum.RoleLeader
	if controller.leadership != nil && (!isLeader || controller.leadership.term != status.Term) {
		controller.endLeadership(actions)
	}
	if controller.leadership == nil && isLeader && now.Before(controller.quorum.LeaseUntil(now)) {
		controller.leadership = newLeadership(now, status.Term, controller.config)
	}
	if controller.HoldsLeaderLease(now) {
		controller.scanPolls(now, actions, arrived, ticked)
	}
}

// endLeadership discards the leader's state. Held polls are redirected, and
// waiting changes and uncommitted proposals are answered without a result.
func (controller *Controller) endLeadership(actions *Actions) {
	leader := controller.Leader()
	for _, name := range sortedKeys(controller.leadership.pollByNode) {
		actions.Replies = append(actions.Replies, Reply{Ticket: controller.leadership.pollByNode[name].ticket, Redirect: &feed.Redirect{Leader: leader}})
	}
	for _, wait := range controller.leadership.inForceWaits {
		actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: wait.ticket, Leader: leader})
	}
	for _, index := range sortedKeys(controller.proposalByIndex) {
		if waiting := controller.proposalByIndex[index]; waiting.ticket != 0 {
			actions.Outcomes = append(actions.Outcomes, Outcome{Ticket: waiting.ticket, Leader: leader})
		}
	}
	clear(controller.proposalByIndex)
	controller.leadership = nil
}

// compact replaces the log by a snapshot once it is long enough.
func (controller *Controller) compact(now time.Time, actions *Actions) {
	if controller.quorum.LogBytes() < compactBytes && controller.quorum.LogEntries() < controller.config.CompactEntries {
		return
	}
	data, err := controller.register.Snapshot()
	if err != nil {
		panic(errors.Wrap(err, "write snapshot"))
	}
	controller.applyQuorumActions(now, actions, controller.quorum.Step(now, quorum.Compact{Index: controller.appliedIndex, Data: data}))
}

// Applied returns the log index up to which the state is applied.
func (controller *Controller) Applied() id.Index { return controller.appliedIndex }
