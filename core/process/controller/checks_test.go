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

// fixedClientAccount has a contract that never changes, so that the sum of the
// nodes' quotas of it has one bound.
const (
	fixedClientAccount = id.ClientAccount("fixed")
	fixedConcurrency   = 10
	fixedRate          = 100
	// driftMargin covers the clocks' drift in a lease.
	driftMargin = 1.02
)

// checker checks the system's invariants during a simulation.
type checker struct {
	simulation      *simulation
	crashAroundSync bool
	// stateByIndex holds the encoded state by applied log index, which must be the
	// same at all voters.
	stateByIndex map[id.Index]string
	// versionByNode holds the last version of each node's present incarnation.
	versionByNode map[id.Node]id.Version
	// groupByKey holds each group as it was committed, by name and fencing token.
	groupByKey            map[groupKey]register.GroupRecord
	recordedVersionByNode map[id.Node]id.Version
	// inForceRevisionByClientAccount holds the highest revision of each client
	// account's contract that was reported in force.
	inForceRevisionByClientAccount map[id.ClientAccount]id.Revision
	// resultByChange holds the result of each answered change.
	resultByChange         map[id.Change]register.Result
	changeByRevision       map[string]id.Change
	runsByIdempotencyKey   map[string]int
	answerByIdempotencyKey map[string]string
	dispatchedCalls        int
	// off leaves out the checks after each step, in simulations of many nodes.
	off             bool
	deniedCalls     int
	acceptedChanges int
}

type groupKey struct {
	group   id.Group
	fencing id.FencingToken
}

func newChecker(simulation *simulation) *checker {
	return &checker{
		simulation: simulation, crashAroundSync: true, stateByIndex: map[id.Index]string{}, versionByNode: map[id.Node]id.Version{},
		groupByKey: map[groupKey]register.GroupRecord{}, recordedVersionByNode: map[id.Node]id.Version{},
		inForceRevisionByClientAccount: map[id.ClientAccount]id.Revision{}, resultByChange: map[id.Change]register.Result{},
		changeByRevision: map[string]id.Change{}, runsByIdempotencyKey: map[string]int{}, answerByIdempotencyKey: map[string]string{},
	}
}

func (checker *checker) forgetNode(node *node) { delete(checker.versionByNode, node.name) }

// checkAppliedState checks that all voters have the same state at the same log
// index. It checks two per cent of the steps, since encoding the state is slow.
func (checker *checker) checkAppliedState(node *node) {
	if checker.off {
		return
	}
	if node.voter == nil {
		return
	}
	checker.recordGroups(node)
	if !checker.simulation.chance(0.02) {
		return
	}
	data, err := node.voter.Register().Snapshot()
	if err != nil {
		checker.simulation.fail("voter %s can't write a snapshot: %v", node.name, err)
	}
	index := node.voter.Applied()
	if other, ok := checker.stateByIndex[index]; ok && other != string(data) {
		checker.simulation.fail("voters have different states at log index %d:\n%s\n%s", index, other, data)
	}
	checker.stateByIndex[index] = string(data)
}

// recordGroups records each group that a voter has applied.
func (checker *checker) recordGroups(node *node) {
	version := node.voter.Register().Version()
	if checker.recordedVersionByNode[node.name] == version {
		return
	}
	checker.recordedVersionByNode[node.name] = version
	for _, group := range node.voter.Register().Groups() {
		checker.groupByKey[groupKey{group.Group, group.Fencing}] = group
	}
}

// checkNode checks the state by which a node acts now.
func (checker *checker) checkNode(node *node) {
	simulation := checker.simulation
	if !node.up || checker.off {
		return
	}
	version := node.member.Version()
	if version < checker.versionByNode[node.name] {
		simulation.fail("node %s went back from version %d to %d", node.name, checker.versionByNode[node.name], version)
	}
	checker.versionByNode[node.name] = version
	if !node.view.AcceptsNewWork(node.now()) {
		return
	}
	for clientAccount, revision := range checker.inForceRevisionByClientAccount {
		if known := node.view.ClientAccounts[clientAccount]; known == nil || known.Contract.Share < int(revision) {
			simulation.fail("node %s takes calls by a contract older than revision %d of %s, which was reported in force", node.name, revision, clientAccount)
		}
	}
	checker.checkGroups(node)
	checker.checkOneLeader()
	if simulation.chance(0.2) {
		checker.checkQuotaSums()
		checker.checkHostsInOneGroup()
	}
}

// checkOneLeader checks that no two voters hold a leader's lease at the same time.
func (checker *checker) checkOneLeader() {
	leader := id.Node("")
	for _, node := range checker.simulation.nodes {
		if node.up && node.voter != nil && node.voter.HoldsLeaderLease(node.now()) {
			if leader != "" {
				checker.simulation.fail("voters %s and %s hold the leader's lease at the same time", leader, node.name)
			}
			leader = node.name
		}
	}
}

// checkGroups checks that each group to which a node would route is complete:
// each host has announced within its lease that it serves there.
func (checker *checker) checkGroups(node *node) {
	simulation := checker.simulation
	set := node.view.Models[fakeModel]
	if set == nil {
		return
	}
	for _, endpoint := range set.Endpoints {
		if !node.now().Before(endpoint.ValidUntil) {
			continue
		}
		group, ok := checker.groupByKey[groupKey{endpoint.Name.Group, endpoint.Fencing}]
		if !ok {
			simulation.fail("node %s routes to group %v with a fencing token that no voter committed", node.name, endpoint.Name)
		}
		for _, name := range group.Hosts {
			checker.checkHostInGroup(node, group, name)
		}
	}
}

func (checker *checker) checkHostInGroup(node *node, group register.GroupRecord, name id.Host) {
	simulation := checker.simulation
	for _, host := range simulation.hosts {
		if host.name != name {
			continue
		}
		serving := roster.Serving{Group: group.Group, Model: group.Model, Fencing: group.Fencing, Ready: true}
		announcedAt, ok := host.announcedAtByServing[serving]
		bound := time.Duration(float64(hostLease) * driftMargin)
		if !ok || simulation.now-announcedAt > bound {
			simulation.fail("node %s routes to group %s, but host %s hasn't announced for %v that it is in that group", node.name, group.Group, name, simulation.now-announcedAt)
		}
		if host.leaving && simulation.now-host.leavingSince > bound {
			simulation.fail("node %s routes to group %s, which host %s has been leaving for %v", node.name, group.Group, name, simulation.now-host.leavingSince)
		}
	}
}

// checkHostsInOneGroup checks that the nodes that take calls don't use a host in
// two groups.
func (checker *checker) checkHostsInOneGroup() {
	groupByHost := map[id.Host]id.Group{}
	for _, node := range checker.simulation.nodes {
		if !node.up || !node.view.AcceptsNewWork(node.now()) {
			continue
		}
		for name, endpoint := range node.view.Endpoints {
			if !node.now().Before(endpoint.ValidUntil) {
				continue
			}
			group, _ := node.member.Group(name.Group)
			for _, host := range group.Hosts {
				if other, ok := groupByHost[host]; ok && other != name.Group {
					checker.simulation.fail("nodes use host %s in groups %s and %s at the same time", host, other, name.Group)
				}
				groupByHost[host] = name.Group
			}
		}
	}
}

// checkQuotaSums checks that the parts of a contract's limits that the nodes may
// use don't add up to more than the contract.
func (checker *checker) checkQuotaSums() {
	var total granter.Quota
	for _, node := range checker.simulation.nodes {
		if !node.up || !node.now().Before(node.view.LeaseUntil) {
			continue
		}
		if clientAccount := node.view.ClientAccounts[fixedClientAccount]; clientAccount != nil {
			total.Concurrency += clientAccount.Quota.Concurrency
			total.RequestsPerSecond += clientAccount.Quota.RequestsPerSecond
		}
	}
	const rounding = 1e-6
	if total.Concurrency > fixedConcurrency+rounding || total.RequestsPerSecond > fixedRate+rounding {
		checker.simulation.fail("the nodes' quotas of the contract add up to %+v, which is more than its limits", total)
	}
}

func fakeContract(clientAccount id.ClientAccount, share int) contract.Contract {
	return contract.Contract{
		ClientAccount: clientAccount, TokenSHA256: []string{fmt.Sprintf("%064x", []byte(clientAccount))}, Share: share,
		Priority: contract.PriorityStandard, RequestsPerSecond: fixedRate, TokensPerSecond: 1000, Concurrency: fixedConcurrency,
		DeadlineMS: 1000, MaxTokens: 100, Models: []id.Model{fakeModel},
	}
}

// propose sends a change from a node to voters, each time with the same change
// id, until an outcome comes or the attempts are used up.
func (checker *checker) propose(from *node, command register.Command, attempts int, onOutcome func(controller.Outcome)) {
	simulation := checker.simulation
	answered := false
	incarnation := from.incarnation
	for attempt := range attempts {
		simulation.schedule(time.Duration(attempt)*700*time.Millisecond, func() {
			if answered || !from.up || from.incarnation != incarnation {
				return
			}
			voter := simulation.nodes[simulation.rand.IntN(voterCount)]
			for _, hinted := range simulation.nodes[:voterCount] {
				if hinted.name == from.member.Leader() && attempt%2 == 0 {
					voter = hinted
				}
			}
			from.send(voter.name, func(other *peer) {
				ticket := other.newTicket(func(content any) {
					outcome := content.(controller.Outcome)
					if outcome.Result == nil {
						return
					}
					simulation.send(string(other.name), string(from.name), from.whenUp(func() {
						checker.checkOutcome(command, outcome)
						if !answered {
							answered = true
							onOutcome(outcome)
						}
					}))
				})
				other.step(controller.ChangeProposed{Ticket: ticket, Command: command, AcceptLoss: true})
			})
		})
	}
}

// checkOutcome checks that each change has one outcome and that each revision
// was made by one change.
func (checker *checker) checkOutcome(command register.Command, outcome controller.Outcome) {
	result := *outcome.Result
	if before, ok := checker.resultByChange[command.Change]; ok && (before.Verdict != result.Verdict || before.Revision != result.Revision) {
		checker.simulation.fail("change %s had outcomes %+v and %+v", command.Change, before, result)
	}
	checker.resultByChange[command.Change] = result
	if command.ApplyContract == nil || result.Verdict != register.VerdictDone {
		return
	}
	checker.acceptedChanges++
	clientAccount := command.ApplyContract.Contract.ClientAccount
	revision := fmt.Sprintf("%s/%d", clientAccount, result.Revision)
	if earlierChange, ok := checker.changeByRevision[revision]; ok && earlierChange != command.Change {
		checker.simulation.fail("revision %s was made by both change %s and change %s", revision, earlierChange, command.Change)
	}
	checker.changeByRevision[revision] = command.Change
	if outcome.InForce && result.Revision > checker.inForceRevisionByClientAccount[clientAccount] {
		checker.inForceRevisionByClientAccount[clientAccount] = result.Revision
	}
}

// beginCall begins a non-idempotent call, and dispatches and finishes it if its
// begin is granted.
func (checker *checker) beginCall(owner *node, key string, attempt id.Change) {
	simulation := checker.simulation
	callKey := register.CallKey{ClientAccount: fixedClientAccount, Service: "orders", Key: key}
	begin := register.Command{Change: attempt, BeginCall: &register.BeginCall{
		Key: callKey, BodyHash: "same", Owner: register.Owner{Node: owner.name, Incarnation: owner.incarnation}, Retention: time.Hour,
	}}
	checker.propose(owner, begin, 3, func(outcome controller.Outcome) {
		result := outcome.Result
		if result.Verdict == register.VerdictKnown && result.Call.State == register.CallDone && string(result.Call.Answer.Body) != checker.answerByIdempotencyKey[key] {
			simulation.fail("the call with key %s was answered by %q instead of %q", key, result.Call.Answer.Body, checker.answerByIdempotencyKey[key])
		}
		if result.Verdict != register.VerdictGranted {
			checker.deniedCalls++
			return
		}
		simulation.schedule(time.Duration(simulation.rand.Int64N(int64(3*time.Second))), owner.whenUp(func() { checker.dispatchCall(owner, callKey, attempt) }))
	})
}

func (checker *checker) dispatchCall(owner *node, key register.CallKey, attempt id.Change) {
	simulation := checker.simulation
	finish := register.FinishCall{Key: key, Attempt: attempt}
	switch {
	case simulation.chance(0.2):
		finish.NotRun = true
	default:
		checker.runsByIdempotencyKey[key.Key]++
		checker.dispatchedCalls++
		if checker.runsByIdempotencyKey[key.Key] > 1 {
			simulation.fail("the call with key %s ran twice", key.Key)
		}
		if simulation.chance(0.7) {
			checker.answerByIdempotencyKey[key.Key] = string(attempt)
			finish.Ran, finish.Answer = true, &register.Answer{Status: 201, Body: []byte(attempt)}
		}
	}
	checker.propose(owner, register.Command{Change: attempt + "-end", FinishCall: &finish}, 4, func(controller.Outcome) {})
}

// checkRecovered checks that the system has recovered after the end of all
// faults.
func (checker *checker) checkRecovered() {
	simulation := checker.simulation
	var leader *node
	for _, node := range simulation.nodes {
		if node.voter != nil && node.voter.HoldsLeaderLease(node.now()) {
			leader = node
		}
	}
	if leader == nil {
		simulation.fail("no leader after the faults")
	}
	for _, node := range simulation.nodes {
		if !node.view.AcceptsNewWork(node.now()) || node.member.Version() != leader.voter.Register().Version() {
			simulation.fail("node %s isn't up to date after the faults: it has version %d, the leader has %d", node.name, node.member.Version(), leader.voter.Register().Version())
		}
	}
	for revision, change := range checker.changeByRevision {
		if _, ok := checker.resultByChange[change]; !ok {
			simulation.fail("revision %s of change %s is lost", revision, change)
		}
	}
	for clientAccount, revision := range checker.inForceRevisionByClientAccount {
		record, ok := leader.voter.Register().Contract(clientAccount)
		if !ok || record.Revision < revision {
			simulation.fail("the contract of %s is at revision %d, but revision %d was reported in force", clientAccount, record.Revision, revision)
		}
	}
	serving := 0
	if set := leader.view.Models[fakeModel]; set != nil {
		serving = len(set.Endpoints)
	}
	if want := domainCount * (hostCount / domainCount / hostsPerGroup); serving != want {
		simulation.fail("%d groups serve after the faults, want %d: %+v", serving, want, leader.voter.Register().Groups())
	}
}
