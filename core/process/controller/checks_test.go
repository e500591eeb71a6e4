package controller_test

import (
	"fmt"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/granter"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/contract"
)

// fixedCustomer has a contract that never changes, so that the sum of its
// parts has one bound.
const (
	fixedClientAccount = id.ClientAccount("fixed")
	fixedConcurrency   = 10
	fixedRate          = 100
	// driftMargin covers the clocks' drift in a lease.
	driftMargin = 1.02
)

// checks watches over the promises after each step.
type checks struct {
	world   *world
	crashes bool
	// states holds the state's bytes by applied index, the same at all voters.
	states map[id.Index]string
	// seen holds the version that each life of a node had.
	seen map[id.Node]id.Version
	// committed holds each group as it was committed, by fencing number.
	committed map[committedKey]register.GroupRecord
	looked    map[id.Node]id.Version
	// inForce holds the revision that was reported in force, by customer.
	inForce map[id.ClientAccount]id.Revision
	// accepted holds what each change led to.
	accepted map[id.Change]register.Result
	winners  map[string]id.Change
	runs     map[string]int
	answers  map[string]string
	begun    int
	denied   int
	done     int
}

type committedKey struct {
	group   id.Group
	fencing id.FencingToken
}

func newChecks(world *world) *checks {
	return &checks{
		world: world, crashes: true, states: map[id.Index]string{}, seen: map[id.Node]id.Version{},
		committed: map[committedKey]register.GroupRecord{}, looked: map[id.Node]id.Version{},
		inForce: map[id.ClientAccount]id.Revision{}, accepted: map[id.Change]register.Result{},
		winners: map[string]id.Change{}, runs: map[string]int{}, answers: map[string]string{},
	}
}

func (checks *checks) crashed(node *node) { delete(checks.seen, node.name) }

// applied checks that voters agree on the state at each index, on a sample of
// the moments to save time.
func (checks *checks) applied(node *node) {
	if node.voter == nil {
		return
	}
	checks.remember(node)
	if !checks.world.chance(0.02) {
		return
	}
	data, err := node.voter.Register().Snapshot()
	if err != nil {
		checks.world.fail("snapshot at %s: %v", node.name, err)
	}
	index := node.voter.Applied()
	if other, ok := checks.states[index]; ok && other != string(data) {
		checks.world.fail("voters differ at index %d:\n%s\n%s", index, other, data)
	}
	checks.states[index] = string(data)
}

// remember keeps each group that a voter has applied.
func (checks *checks) remember(node *node) {
	version := node.voter.Register().Version()
	if checks.looked[node.name] == version {
		return
	}
	checks.looked[node.name] = version
	for _, group := range node.voter.Register().Groups() {
		checks.committed[committedKey{group.Group, group.Fencing}] = group
	}
}

// observe checks what a node may act on at this moment.
func (checks *checks) observe(node *node) {
	world := checks.world
	if !node.up {
		return
	}
	version := node.member.Version()
	if version < checks.seen[node.name] {
		world.fail("node %s went back from version %d to %d", node.name, checks.seen[node.name], version)
	}
	checks.seen[node.name] = version
	if !node.view.AcceptsNewWork(node.local()) {
		return
	}
	for clientAccount, revision := range checks.inForce {
		if known := node.view.ClientAccounts[clientAccount]; known == nil || known.Contract.Share < int(revision) {
			world.fail("node %s takes work by an older contract than revision %d of %s", node.name, revision, clientAccount)
		}
	}
	checks.groups(node)
	checks.oneLeader()
	if world.chance(0.2) {
		checks.sums()
		checks.noHostTwice()
	}
}

// oneLeader checks that no two voters hold a leader's lease at once.
func (checks *checks) oneLeader() {
	leader := id.Node("")
	for _, node := range checks.world.nodes {
		if node.up && node.voter != nil && node.voter.HoldsLeaderLease(node.local()) {
			if leader != "" {
				checks.world.fail("%s and %s lead at once", leader, node.name)
			}
			leader = node.name
		}
	}
}

// groups checks that each group that a node would send work to is whole: each
// host has said within its lease that it serves there.
func (checks *checks) groups(node *node) {
	world := checks.world
	set := node.view.Models[fakeModel]
	if set == nil {
		return
	}
	for _, endpoint := range set.Endpoints {
		if !node.local().Before(endpoint.ValidUntil) {
			continue
		}
		group, ok := checks.committed[committedKey{endpoint.Name.Group, endpoint.Fencing}]
		if !ok {
			world.fail("node %s serves group %v with a fencing number that no voter committed", node.name, endpoint.Name)
		}
		for _, name := range group.Hosts {
			checks.present(node, group, name)
		}
	}
}

func (checks *checks) present(node *node, group register.GroupRecord, name id.Host) {
	world := checks.world
	for _, host := range world.hosts {
		if host.name != name {
			continue
		}
		serving := roster.Serving{Group: group.Group, Model: group.Model, Fencing: group.Fencing, Ready: true}
		said, ok := host.said[serving]
		bound := time.Duration(float64(hostLease) * driftMargin)
		if !ok || world.now-said > bound {
			world.fail("node %s serves group %s while host %s hasn't been in it for %v", node.name, group.Group, name, world.now-said)
		}
		if host.leaving && world.now-host.leftAt > bound {
			world.fail("node %s gives work to group %s, which host %s is leaving since %v", node.name, group.Group, name, world.now-host.leftAt)
		}
	}
}

// noHostTwice checks that no two nodes that take work use a host in two groups.
func (checks *checks) noHostTwice() {
	uses := map[id.Host]id.Group{}
	for _, node := range checks.world.nodes {
		if !node.up || !node.view.AcceptsNewWork(node.local()) {
			continue
		}
		for name, endpoint := range node.view.Endpoints {
			if !node.local().Before(endpoint.ValidUntil) {
				continue
			}
			group, _ := node.member.Group(name.Group)
			for _, host := range group.Hosts {
				if other, ok := uses[host]; ok && other != name.Group {
					checks.world.fail("host %s is in groups %s and %s at once", host, other, name.Group)
				}
				uses[host] = name.Group
			}
		}
	}
}

// sums checks that the parts that nodes may use add up to the contract at most.
func (checks *checks) sums() {
	var total granter.Quota
	for _, node := range checks.world.nodes {
		if !node.up || !node.local().Before(node.view.LeaseUntil) {
			continue
		}
		if clientAccount := node.view.ClientAccounts[fixedClientAccount]; clientAccount != nil {
			total.Concurrency += clientAccount.Quota.Concurrency
			total.RequestsPerSecond += clientAccount.Quota.RequestsPerSecond
		}
	}
	const rounding = 1e-6
	if total.Concurrency > fixedConcurrency+rounding || total.RequestsPerSecond > fixedRate+rounding {
		checks.world.fail("parts add up to %+v", total)
	}
}

func fakeContract(clientAccount id.ClientAccount, share int) contract.Contract {
	return contract.Contract{
		ClientAccount: clientAccount, TokenSHA256: []string{fmt.Sprintf("%064x", []byte(clientAccount))}, Share: share,
		Priority: contract.PriorityStandard, RequestsPerSecond: fixedRate, TokensPerSecond: 1000, Concurrency: fixedConcurrency,
		DeadlineMS: 1000, MaxTokens: 100, Models: []id.Model{fakeModel},
	}
}

// propose sends a change to a voter, again and again with the same id, from
// any node, until an outcome comes.
func (checks *checks) propose(from *node, command register.Command, tries int, settled func(controller.Outcome)) {
	world := checks.world
	answered := false
	life := from.incarnation
	for try := range tries {
		world.after(time.Duration(try)*700*time.Millisecond, func() {
			if answered || !from.up || from.incarnation != life {
				return
			}
			voter := world.nodes[world.rand.IntN(fakeVoters)]
			for _, hinted := range world.nodes[:fakeVoters] {
				if hinted.name == from.member.Leader() && try%2 == 0 {
					voter = hinted
				}
			}
			from.ask(voter.name, func(other *peer) {
				ticket := other.wait(func(content any) {
					outcome := content.(controller.Outcome)
					if outcome.Result == nil {
						return
					}
					world.send(string(other.name), string(from.name), from.guard(func() {
						checks.settled(command, outcome)
						if !answered {
							answered = true
							settled(outcome)
						}
					}))
				})
				other.step(controller.ChangeProposed{Ticket: ticket, Command: command, AcceptLoss: true})
			})
		})
	}
}

// settled checks that each change has one outcome, and each revision one winner.
func (checks *checks) settled(command register.Command, outcome controller.Outcome) {
	result := *outcome.Result
	if before, ok := checks.accepted[command.Change]; ok && (before.Verdict != result.Verdict || before.Revision != result.Revision) {
		checks.world.fail("change %s had outcomes %+v and %+v", command.Change, before, result)
	}
	checks.accepted[command.Change] = result
	if command.ApplyContract == nil || result.Verdict != register.VerdictDone {
		return
	}
	checks.done++
	clientAccount := command.ApplyContract.Contract.ClientAccount
	revision := fmt.Sprintf("%s/%d", clientAccount, result.Revision)
	if winner, ok := checks.winners[revision]; ok && winner != command.Change {
		checks.world.fail("revision %s was won by %s and %s", revision, winner, command.Change)
	}
	checks.winners[revision] = command.Change
	if outcome.InForce && result.Revision > checks.inForce[clientAccount] {
		checks.inForce[clientAccount] = result.Revision
	}
}

// call begins, dispatches and finishes one call that must not repeat.
func (checks *checks) call(owner *node, key string, attempt id.Change) {
	world := checks.world
	callKey := register.CallKey{ClientAccount: fixedClientAccount, Service: "orders", Key: key}
	begin := register.Command{Change: attempt, BeginCall: &register.BeginCall{
		Key: callKey, BodyHash: "same", Owner: register.Owner{Node: owner.name, Incarnation: owner.incarnation}, Retention: time.Hour,
	}}
	checks.propose(owner, begin, 3, func(outcome controller.Outcome) {
		result := outcome.Result
		if result.Verdict == register.VerdictKnown && result.Call.State == register.CallDone && string(result.Call.Answer.Body) != checks.answers[key] {
			world.fail("key %s was answered %q, not %q", key, result.Call.Answer.Body, checks.answers[key])
		}
		if result.Verdict != register.VerdictGranted {
			checks.denied++
			return
		}
		world.after(time.Duration(world.rand.Int64N(int64(3*time.Second))), owner.guard(func() { checks.dispatch(owner, callKey, attempt) }))
	})
}

func (checks *checks) dispatch(owner *node, key register.CallKey, attempt id.Change) {
	world := checks.world
	finish := register.FinishCall{Key: key, Attempt: attempt}
	switch {
	case world.chance(0.2):
		finish.NotRun = true
	default:
		checks.runs[key.Key]++
		checks.begun++
		if checks.runs[key.Key] > 1 {
			world.fail("key %s ran twice", key.Key)
		}
		if world.chance(0.7) {
			checks.answers[key.Key] = string(attempt)
			finish.Ran, finish.Answer = true, &register.Answer{Status: 201, Body: []byte(attempt)}
		}
	}
	checks.propose(owner, register.Command{Change: attempt + "-end", FinishCall: &finish}, 4, func(controller.Outcome) {})
}

// healed checks that a healed system is whole again.
func (checks *checks) healed() {
	world := checks.world
	var leader *node
	for _, node := range world.nodes {
		if node.voter != nil && node.voter.HoldsLeaderLease(node.local()) {
			leader = node
		}
	}
	if leader == nil {
		world.fail("no leader after the faults")
	}
	for _, node := range world.nodes {
		if !node.view.AcceptsNewWork(node.local()) || node.member.Version() != leader.voter.Register().Version() {
			world.fail("node %s is behind: version %d of %d", node.name, node.member.Version(), leader.voter.Register().Version())
		}
	}
	for revision, change := range checks.winners {
		if _, ok := checks.accepted[change]; !ok {
			world.fail("revision %s of change %s is lost", revision, change)
		}
	}
	for clientAccount, revision := range checks.inForce {
		record, ok := leader.voter.Register().Contract(clientAccount)
		if !ok || record.Revision < revision {
			world.fail("contract %s is at revision %d, %d was in force", clientAccount, record.Revision, revision)
		}
	}
	serving := 0
	if set := leader.view.Models[fakeModel]; set != nil {
		serving = len(set.Endpoints)
	}
	if want := fakeDomains * (fakeHosts / fakeDomains / hostsInUnit); serving != want {
		world.fail("%d groups serve, %d could: %+v", serving, want, leader.voter.Register().Groups())
	}
}
