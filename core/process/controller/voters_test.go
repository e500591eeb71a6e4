package controller_test

import (
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
)

// TestVoterIsReplaced replaces a lost voter by one with an empty disk and then
// crashes another old voter. The new voter must be part of the majority, and the
// contracts that were accepted before and after the replacement must remain.
func TestVoterIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		simulation := newSimulation(t, seed+1)
		simulation.checker.crashAroundSync = false
		newVoter := simulation.nodes[voterCount]
		newVoter.becomeVoter()
		simulation.run(10 * time.Second)
		acceptedClientAccounts := simulation.proposeContract(t, 0)
		lost := simulation.nodes[1]
		lost.crash()
		simulation.run(3 * time.Second)
		remainingVoters := []id.Node{nodeName(0), nodeName(2)}
		simulation.setVoters(t, append(remainingVoters, newVoter.name), register.VerdictRefused)
		simulation.setVoters(t, remainingVoters, register.VerdictDone)
		simulation.setVoters(t, append(remainingVoters, newVoter.name), register.VerdictDone)
		acceptedClientAccounts = append(acceptedClientAccounts, simulation.proposeContract(t, 1)...)
		simulation.run(2 * time.Second)
		simulation.nodes[2].crash()
		simulation.run(10 * time.Second)
		leader := simulation.leader()
		if leader == nil {
			t.Fatalf("seed %d: neither the old nor the new voter became the leader", seed)
		}
		for _, clientAccount := range acceptedClientAccounts {
			if _, ok := leader.voter.Register().Contract(clientAccount); !ok {
				t.Errorf("seed %d: the accepted contract of %s is lost", seed, clientAccount)
			}
		}
	}
}

// becomeVoter restarts a node as a voter with an empty disk.
func (node *node) becomeVoter() {
	node.extraVoter = true
	node.up = false
	node.start()
}

// proposeContract proposes a contract and waits until the proposal is answered.
func (simulation *simulation) proposeContract(t *testing.T, number int) []id.ClientAccount {
	t.Helper()
	clientAccount := id.ClientAccount(fmt.Sprintf("kept-%d", number))
	command := register.Command{Change: id.Change(clientAccount), ApplyContract: &register.ApplyContract{Contract: fakeContract(clientAccount, 1)}}
	answered := false
	leader := simulation.leader()
	ticket := leader.newTicket(func(content any) { answered = content.(controller.Outcome).Result != nil })
	leader.step(controller.ChangeProposed{Ticket: ticket, Command: command})
	simulation.run(12 * time.Second)
	if !answered {
		t.Fatalf("seed %d: the contract of %s wasn't answered within 12 seconds", simulation.seed, clientAccount)
	}
	return []id.ClientAccount{clientAccount}
}

func (simulation *simulation) setVoters(t *testing.T, voters []id.Node, want register.Verdict) {
	t.Helper()
	var got *register.Result
	leader := simulation.leader()
	ticket := leader.newTicket(func(content any) { got = content.(controller.Outcome).Result })
	leader.step(controller.VotersChangeRequested{Ticket: ticket, Actor: "test", Membership: quorum.Membership{Voters: voters}})
	simulation.run(2 * time.Second)
	if got == nil || got.Verdict != want {
		t.Fatalf("seed %d: change to voters %v: result %+v, want verdict %s", simulation.seed, voters, got, want)
	}
}
