package control

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

// retryPause is the pause between two attempts to reach a leader, where no
// redirect names the next node to ask.
const retryPause = 100 * time.Millisecond

// ErrNoLeader is returned when no leader confirmed a change in time. The change
// may have been accepted all the same; sending it again under the same change
// id is safe and returns its result.
var ErrNoLeader = errors.New("no leader answered in time; send the same change again to learn what became of it")

// ProposeHere proposes a change to this node only. The outcome has no result if
// this node doesn't lead, or stops leading before the change is committed; it
// names the leader if that is known.
func (control *Control) ProposeHere(ctx context.Context, proposal peers.Proposal) (controller.Outcome, error) {
	result := make(chan any, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil {
			result <- controller.Outcome{Leader: control.member.Leader()}
			return
		}
		ticket := control.newTicket(func(outcome any) { result <- outcome })
		if proposal.Voters != nil {
			membership := quorum.Membership{Voters: proposal.Voters}
			control.stepVoter(now, controller.VotersChangeRequested{Ticket: ticket, Actor: proposal.Actor, Membership: membership})
			return
		}
		control.stepVoter(now, controller.ChangeProposed{Ticket: ticket, Command: proposal.Command, AcceptLoss: proposal.AcceptLoss, KnownDataCentre: proposal.KnownDataCentre})
	})
	if !ok {
		return controller.Outcome{}, ErrClosed
	}
	select {
	case content := <-result:
		outcome, _ := content.(controller.Outcome)
		return outcome, nil
	case <-ctx.Done():
		return controller.Outcome{}, errors.Wrap(ctx.Err(), "propose")
	case <-control.ctx.Done():
		return controller.Outcome{}, ErrClosed
	}
}

// Propose proposes a change to the leader and retries until it gets a result or
// ctx is done, when it returns ErrNoLeader. Retries are safe because the change
// id is an idempotency key.
func (control *Control) Propose(ctx context.Context, proposal peers.Proposal) (controller.Outcome, error) {
	var outcome controller.Outcome
	err := control.callLeader(ctx, func(node id.Node) (bool, id.Node) {
		var err error
		if node == control.config.Self {
			outcome, err = control.ProposeHere(ctx, proposal)
		} else {
			outcome, err = control.config.Peers.Propose(ctx, node, proposal)
		}
		return err == nil && outcome.Result != nil, outcome.Leader
	})
	return outcome, err
}

// callLeader calls try with one voter after another, following leader hints,
// until try reports done or ctx is done, when it returns ErrNoLeader.
func (control *Control) callLeader(ctx context.Context, try func(node id.Node) (done bool, leader id.Node)) error {
	node, voters := control.leaderHint(ctx)
	for attempt := 0; ; attempt++ {
		if node == "" && len(voters) > 0 {
			node = voters[attempt%len(voters)]
		}
		done, leader := try(node)
		if done {
			return nil
		}
		if ctx.Err() != nil {
			return ErrNoLeader
		}
		if leader != "" && leader != node {
			node = leader
			continue
		}
		select {
		case <-ctx.Done():
			return ErrNoLeader
		case <-time.After(retryPause):
		}
		var latest id.Node
		latest, voters = control.leaderHint(ctx)
		if latest == node {
			latest = ""
		}
		node = latest
	}
}

// leaderHint returns the leader, empty if none is known, and the voters, as this
// node last learnt of them.
func (control *Control) leaderHint(ctx context.Context) (id.Node, []id.Node) {
	type hint struct {
		leader id.Node
		voters []id.Node
	}
	result := make(chan hint, 1)
	if !control.post(func(time.Time) { result <- hint{control.member.Leader(), control.member.Voters()} }) {
		return "", nil
	}
	select {
	case known := <-result:
		return known.leader, known.voters
	case <-ctx.Done():
	case <-control.ctx.Done():
	}
	return "", nil
}

// TransferLeadership starts a transfer of leadership to another voter. It
// reports whether this node is still leader, so that callers repeat it until it
// returns false.
func (control *Control) TransferLeadership(ctx context.Context) bool {
	result := make(chan bool, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil {
			result <- false
			return
		}
		control.stepVoter(now, controller.LeadershipTransferRequested{})
		isLeader := control.voter != nil && control.voter.Quorum().Role == quorum.RoleLeader
		result <- isLeader
	})
	if !ok {
		return false
	}
	select {
	case isLeader := <-result:
		return isLeader
	case <-ctx.Done():
		return false
	case <-control.ctx.Done():
		return false
	}
}

// Overview returns the leader's overview of the whole system. It retries until
// ctx is done, when it returns ErrNoLeader.
func (control *Control) Overview(ctx context.Context) (controller.Overview, error) {
	var overview controller.Overview
	err := control.callLeader(ctx, func(node id.Node) (bool, id.Node) {
		if node == control.config.Self {
			here, ok := control.OverviewHere(ctx)
			overview = here
			return ok, ""
		}
		err := control.config.Peers.Read(ctx, node, "/peer/v1/overview", &overview)
		return err == nil, ""
	})
	return overview, err
}

// OverviewHere returns the overview from this node; ok is false if it doesn't
// hold the leader lease.
func (control *Control) OverviewHere(ctx context.Context) (controller.Overview, bool) {
	return readAsLeader(ctx, control, func(now time.Time) controller.Overview { return control.voter.Overview(now) })
}

// Audit returns up to limit audit entries after an index from the leader, oldest
// first. It retries until ctx is done, when it returns ErrNoLeader.
func (control *Control) Audit(ctx context.Context, after id.Index, limit int) (controller.Audit, error) {
	var audit controller.Audit
	err := control.callLeader(ctx, func(node id.Node) (bool, id.Node) {
		if node == control.config.Self {
			here, ok := control.AuditHere(ctx, after, limit)
			audit = here
			return ok, ""
		}
		path := fmt.Sprintf("/peer/v1/audit?after=%d&limit=%d", after, limit)
		return control.config.Peers.Read(ctx, node, path, &audit) == nil, ""
	})
	return audit, err
}

// AuditHere returns audit entries from this node; ok is false if it doesn't hold
// the leader lease.
func (control *Control) AuditHere(ctx context.Context, after id.Index, limit int) (controller.Audit, bool) {
	return readAsLeader(ctx, control, func(time.Time) controller.Audit {
		return controller.Audit{Entries: control.voter.Register().Audit(after, limit)}
	})
}

// Declaration returns the declaration in force, with its source, from the leader.
// It retries until ctx is done, when it returns ErrNoLeader.
func (control *Control) Declaration(ctx context.Context) (*register.DeclarationRecord, error) {
	var record *register.DeclarationRecord
	err := control.callLeader(ctx, func(node id.Node) (bool, id.Node) {
		if node == control.config.Self {
			here, ok := control.DeclarationHere(ctx)
			record = here
			return ok, ""
		}
		var answer register.DeclarationRecord
		if control.config.Peers.Read(ctx, node, "/peer/v1/declaration", &answer) != nil {
			return false, ""
		}
		record = &answer
		return true, ""
	})
	return record, err
}

// DeclarationHere returns the declaration from this node, an empty record if
// there is none. ok is false if the node doesn't hold the leader lease, or no
// longer holds it once the record is read.
func (control *Control) DeclarationHere(ctx context.Context) (*register.DeclarationRecord, bool) {
	record, ok := readAsLeader(ctx, control, func(time.Time) *register.DeclarationRecord {
		if declared := control.voter.Register().Declared(); declared != nil {
			return declared
		}
		return &register.DeclarationRecord{}
	})
	return record, ok && control.holdsLeaderLease()
}

// readAsLeader calls read on the event loop, and returns false without calling it
// if this node doesn't hold the leader lease.
func readAsLeader[T any](ctx context.Context, control *Control, read func(now time.Time) T) (T, bool) {
	type readResult struct {
		value T
		ok    bool
	}
	result := make(chan readResult, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil || !control.voter.HoldsLeaderLease(now) {
			result <- readResult{}
			return
		}
		result <- readResult{read(now), true}
	})
	if !ok {
		return readResult{}.value, false
	}
	select {
	case got := <-result:
		return got.value, got.ok
	case <-ctx.Done():
	case <-control.ctx.Done():
	}
	return readResult{}.value, false
}
