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

// retryPause is the pause between two tries to reach a leader.
const retryPause = 100 * time.Millisecond

// ErrNoLeader reports that no leader took a change in time. It may have been
// accepted all the same; a resend with the same change id tells.
var ErrNoLeader = errors.New("no leader answered in time; send the same change again to learn what became of it")

// ProposeHere asks this node alone to accept a change. The outcome has no
// result when this node doesn't lead.
func (control *Control) ProposeHere(ctx context.Context, proposal peers.Proposal) (controller.Outcome, error) {
	result := make(chan any, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil {
			result <- controller.Outcome{Leader: control.member.Leader()}
			return
		}
		ticket := control.wait(func(content any) { result <- content })
		if proposal.Voters != nil {
			membership := quorum.Membership{Voters: proposal.Voters}
			control.step(now, controller.VotersChangeRequested{Ticket: ticket, Actor: proposal.Actor, Membership: membership})
			return
		}
		control.step(now, controller.ChangeProposed{Ticket: ticket, Command: proposal.Command, AcceptLoss: proposal.AcceptLoss})
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

// Propose finds the leader and asks it to accept a change, again and again
// until ctx is done. The change's id makes that safe.
func (control *Control) Propose(ctx context.Context, proposal peers.Proposal) (controller.Outcome, error) {
	var outcome controller.Outcome
	err := control.atLeader(ctx, func(node id.Node) (bool, id.Node) {
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

// atLeader calls try with one voter after another, following hints, until one
// answers or ctx is done.
func (control *Control) atLeader(ctx context.Context, try func(node id.Node) (done bool, leader id.Node)) error {
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

// leaderHint is this node's last word of who leads and who may.
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

// HandOver asks the voter to pass leadership on, and tells whether it leads.
func (control *Control) HandOver(ctx context.Context) bool {
	result := make(chan bool, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil {
			result <- false
			return
		}
		control.step(now, controller.LeadershipTransferRequested{})
		leads := control.voter != nil && control.voter.Quorum().Role == quorum.RoleLeader
		result <- leads
	})
	if !ok {
		return false
	}
	select {
	case leads := <-result:
		return leads
	case <-ctx.Done():
		return false
	case <-control.ctx.Done():
		return false
	}
}

// Overview asks the leader for what it knows of the whole system.
func (control *Control) Overview(ctx context.Context) (controller.Overview, error) {
	var overview controller.Overview
	err := control.atLeader(ctx, func(node id.Node) (bool, id.Node) {
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

// OverviewHere is Overview on this node; it is false when it doesn't lead.
func (control *Control) OverviewHere(ctx context.Context) (controller.Overview, bool) {
	return readHere(ctx, control, func(now time.Time) controller.Overview { return control.voter.Overview(now) })
}

// Audit asks the leader for audit entries after an index, oldest first.
func (control *Control) Audit(ctx context.Context, after id.Index, limit int) (controller.Audit, error) {
	var audit controller.Audit
	err := control.atLeader(ctx, func(node id.Node) (bool, id.Node) {
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

// AuditHere lists audit entries on this node; it is false when it doesn't lead.
func (control *Control) AuditHere(ctx context.Context, after id.Index, limit int) (controller.Audit, bool) {
	return readHere(ctx, control, func(time.Time) controller.Audit {
		return controller.Audit{Entries: control.voter.Register().Audit(after, limit)}
	})
}

// Declaration asks the leader for the declaration in force, with its source.
func (control *Control) Declaration(ctx context.Context) (*register.DeclarationRecord, error) {
	var record *register.DeclarationRecord
	err := control.atLeader(ctx, func(node id.Node) (bool, id.Node) {
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

// DeclarationHere is Declaration on this node; it is false when it doesn't
// lead, also when it has lost the lead while it answered.
func (control *Control) DeclarationHere(ctx context.Context) (*register.DeclarationRecord, bool) {
	record, ok := readHere(ctx, control, func(time.Time) *register.DeclarationRecord {
		if declared := control.voter.Register().Declared(); declared != nil {
			return declared
		}
		return &register.DeclarationRecord{}
	})
	return record, ok && control.stillLeads()
}

// readHere reads from the voter on the control goroutine while it leads.
func readHere[T any](ctx context.Context, control *Control, read func(now time.Time) T) (T, bool) {
	type answer struct {
		content T
		ok      bool
	}
	result := make(chan answer, 1)
	ok := control.post(func(now time.Time) {
		if control.voter == nil || !control.voter.HoldsLeaderLease(now) {
			result <- answer{}
			return
		}
		result <- answer{read(now), true}
	})
	if !ok {
		return answer{}.content, false
	}
	select {
	case got := <-result:
		return got.content, got.ok
	case <-ctx.Done():
	case <-control.ctx.Done():
	}
	return answer{}.content, false
}
