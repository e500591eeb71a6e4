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

// TestVoterIsReplaced loses a voter with its disk, takes it out and takes a new
// one with an empty disk in, while changes go on. Then an old voter dies too: the
// new one must be part of the majority, and hold all that was accepted before.
func TestVoterIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		world := newWorld(t, seed+1)
		world.checks.crashes = false
		spare := world.nodes[fakeVoters]
		spare.becomeVoter()
		world.run(10 * time.Second)
		accepted := world.accept(t, 0)
		lost := world.nodes[1]
		lost.crash()
		world.run(3 * time.Second)
		stay := []id.Node{nodeName(0), nodeName(2)}
		world.setVoters(t, append(stay, spare.name), register.VerdictRefused)
		world.setVoters(t, stay, register.VerdictDone)
		world.setVoters(t, append(stay, spare.name), register.VerdictDone)
		accepted = append(accepted, world.accept(t, 1)...)
		world.run(2 * time.Second)
		world.nodes[2].crash()
		world.run(10 * time.Second)
		leader := world.leading()
		if leader == nil {
			t.Fatalf("seed %d: no leader among the old and the new voter", seed)
		}
		for _, clientAccount := range accepted {
			if _, ok := leader.voter.Register().Contract(clientAccount); !ok {
				t.Errorf("seed %d: the contract of %s is lost", seed, clientAccount)
			}
		}
	}
}

// becomeVoter gives a node an empty disk and the new voters in its settings.
func (node *node) becomeVoter() {
	node.extraVoter = true
	node.up = false
	node.start()
}

// accept makes a change and waits until it is accepted.
func (world *world) accept(t *testing.T, number int) []id.ClientAccount {
	t.Helper()
	clientAccount := id.ClientAccount(fmt.Sprintf("kept-%d", number))
	command := register.Command{Change: id.Change(clientAccount), ApplyContract: &register.ApplyContract{Contract: fakeContract(clientAccount, 1)}}
	done := false
	leader := world.leading()
	ticket := leader.wait(func(content any) { done = content.(controller.Outcome).Result != nil })
	leader.step(controller.ChangeProposed{Ticket: ticket, Command: command})
	world.run(12 * time.Second)
	if !done {
		t.Fatalf("seed %d: change %s wasn't answered", world.seed, clientAccount)
	}
	return []id.ClientAccount{clientAccount}
}

func (world *world) setVoters(t *testing.T, voters []id.Node, want register.Verdict) {
	t.Helper()
	var got *register.Result
	leader := world.leading()
	ticket := leader.wait(func(content any) { got = content.(controller.Outcome).Result })
	leader.step(controller.VotersChangeRequested{Ticket: ticket, Actor: "test", Membership: quorum.Membership{Voters: voters}})
	world.run(2 * time.Second)
	if got == nil || got.Verdict != want {
		t.Fatalf("seed %d: voters %v: %+v, want %s", world.seed, voters, got, want)
	}
}
