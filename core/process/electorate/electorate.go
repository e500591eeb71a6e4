// Package electorate decides who votes: it fills a replicated log up to the
// number of voters that bears the losses asked for, and puts a new node in the
// place of a voter that has lost its disk or is gone. It changes one voter at a
// time, and never to a set of which no majority is heard from.
//
// # Usage
//
//	next, reason, ok := electorate.Next(membership, nodes, target)
package electorate

import (
	"slices"
	"strings"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/quorum"
)

const (
	// silence is how long a voter must be unheard before its place may go.
	silence = 1200 * time.Millisecond
	// learnerSilence is how long an unheard learner is kept.
	learnerSilence = 10 * time.Second
	// mostLearners bounds the nodes that catch up at the same time.
	mostLearners = 2
)

// Node is what the leader knows of one node with a disk.
type Node struct {
	Node id.Node
	// SinceLastContact is how long the node has not been heard from.
	SinceLastContact time.Duration
	// CaughtUp says that it holds nearly the whole log.
	CaughtUp bool
}

// Address is the part of a node's name that tells where it runs; a node that
// lost its disk comes back with the same one and another name.
func Address(node id.Node) string {
	address, _, _ := strings.Cut(string(node), "~")
	return address
}

// Next is the next membership and why, if any change is due. Nodes hold all
// that vote or could; target is how many should vote.
func Next(membership quorum.Membership, nodes []Node, target int) (quorum.Membership, string, bool) {
	state := newState(membership, nodes, target)
	for _, rule := range []func() (quorum.Membership, string, bool){
		state.promote, state.replaceReborn, state.replaceSilent, state.shrink, state.adopt, state.forget,
	} {
		if next, reason, ok := rule(); ok {
			return next, reason, true
		}
	}
	return quorum.Membership{}, "", false
}

type state struct {
	membership quorum.Membership
	nodes      []Node
	known      map[id.Node]Node
	target     int
}

func newState(membership quorum.Membership, nodes []Node, target int) *state {
	state := &state{membership: membership, nodes: nodes, known: map[id.Node]Node{}, target: target}
	for _, node := range nodes {
		state.known[node.Node] = node
	}
	return state
}

func (state *state) live(node id.Node) bool {
	known, ok := state.known[node]
	return ok && known.SinceLastContact < silence
}

// without removes a voter when a majority of the rest is heard from.
func (state *state) without(voter id.Node) (quorum.Membership, bool) {
	rest := slices.DeleteFunc(slices.Clone(state.membership.Voters), func(node id.Node) bool { return node == voter })
	heard := 0
	for _, node := range rest {
		if state.live(node) {
			heard++
		}
	}
	if heard <= len(rest)/2 {
		return quorum.Membership{}, false
	}
	return quorum.Membership{Voters: rest, Learners: slices.Clone(state.membership.Learners)}, true
}

// readyLearner finds a learner that may vote.
func (state *state) readyLearner() (id.Node, bool) {
	for _, learner := range state.membership.Learners {
		if state.live(learner) && state.known[learner].CaughtUp {
			return learner, true
		}
	}
	return "", false
}

func (state *state) silentVoter() (id.Node, bool) {
	var longest id.Node
	for _, voter := range state.membership.Voters {
		if state.live(voter) {
			continue
		}
		if longest == "" || state.known[voter].SinceLastContact > state.known[longest].SinceLastContact {
			longest = voter
		}
	}
	return longest, longest != ""
}

// promote gives a learner that has caught up a free place.
func (state *state) promote() (quorum.Membership, string, bool) {
	learner, ok := state.readyLearner()
	if !ok || len(state.membership.Voters) >= state.target {
		return quorum.Membership{}, "", false
	}
	learners := slices.DeleteFunc(slices.Clone(state.membership.Learners), func(node id.Node) bool { return node == learner })
	voters := append(slices.Clone(state.membership.Voters), learner)
	return quorum.Membership{Voters: voters, Learners: learners}, "a learner has caught up", true
}

// replaceReborn removes a voter whose address a node of another name uses: its
// disk is gone, and so it can't come back.
func (state *state) replaceReborn() (quorum.Membership, string, bool) {
	for _, node := range state.nodes {
		if !state.live(node.Node) || slices.Contains(state.membership.Voters, node.Node) {
			continue
		}
		for _, voter := range state.membership.Voters {
			if Address(voter) != Address(node.Node) || state.live(voter) {
				continue
			}
			if next, ok := state.without(voter); ok {
				return next, "a voter has come back without its disk", true
			}
		}
	}
	return quorum.Membership{}, "", false
}

// replaceSilent removes a silent voter when a learner can take its place.
func (state *state) replaceSilent() (quorum.Membership, string, bool) {
	if _, ok := state.readyLearner(); !ok {
		return quorum.Membership{}, "", false
	}
	return state.dropSilent("a learner takes a silent voter's place")
}

// shrink removes a silent voter when there are more than the target.
func (state *state) shrink() (quorum.Membership, string, bool) {
	if len(state.membership.Voters) <= state.target {
		return quorum.Membership{}, "", false
	}
	return state.dropSilent("there are more voters than needed")
}

func (state *state) dropSilent(reason string) (quorum.Membership, string, bool) {
	voter, ok := state.silentVoter()
	if !ok {
		return quorum.Membership{}, "", false
	}
	next, ok := state.without(voter)
	return next, reason, ok
}

// adopt lets a node that isn't a member catch up.
func (state *state) adopt() (quorum.Membership, string, bool) {
	_, vacant := state.silentVoter()
	vacant = vacant || len(state.membership.Voters)+len(state.membership.Learners) < state.target
	if !vacant || len(state.membership.Learners) >= mostLearners {
		return quorum.Membership{}, "", false
	}
	for _, node := range state.nodes {
		member := slices.Contains(state.membership.Voters, node.Node) || slices.Contains(state.membership.Learners, node.Node)
		if member || !state.live(node.Node) {
			continue
		}
		learners := append(slices.Clone(state.membership.Learners), node.Node)
		return quorum.Membership{Voters: slices.Clone(state.membership.Voters), Learners: learners}, "a node with a disk asks to vote", true
	}
	return quorum.Membership{}, "", false
}

// forget drops a learner that is gone.
func (state *state) forget() (quorum.Membership, string, bool) {
	for _, learner := range state.membership.Learners {
		if known, ok := state.known[learner]; ok && known.SinceLastContact < learnerSilence {
			continue
		}
		learners := slices.DeleteFunc(slices.Clone(state.membership.Learners), func(node id.Node) bool { return node == learner })
		return quorum.Membership{Voters: slices.Clone(state.membership.Voters), Learners: learners}, "a learner is gone", true
	}
	return quorum.Membership{}, "", false
}
