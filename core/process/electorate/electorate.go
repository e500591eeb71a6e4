// Package electorate plans changes of a replicated log's membership. It adds voters up
// to the target number, which is chosen by how many losses the log has to survive, and
// replaces voters that have lost their disk or are unreachable. It changes one voter
// at a time, and removes none unless a majority of the rest is reachable.
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
	// voterTimeout is how long a voter must be without contact before it may be
	// removed. A node counts as reachable until then.
	voterTimeout = 1200 * time.Millisecond
	// learnerTimeout is how long a learner without contact is kept.
	learnerTimeout = 10 * time.Second
	// maxLearners bounds the nodes that catch up at the same time.
	maxLearners = 2
)

// Node is the leader's view of one node that has a disk.
type Node struct {
	Node id.Node
	// SinceLastContact is how long ago the leader last had contact with the node.
	SinceLastContact time.Duration
	// CaughtUp is set when the node holds nearly the whole log.
	CaughtUp bool
}

// Address returns the part of a node's name that states where it runs. A node that
// lost its disk comes back with the same address and a different name.
func Address(node id.Node) string {
	address, _, _ := strings.Cut(string(node), "~")
	return address
}

// Next returns the next membership and the reason for the change; it is false when no
// change is due. Nodes are all that vote or could vote, target is the wanted number of
// voters.
func Next(membership quorum.Membership, nodes []Node, target int) (quorum.Membership, string, bool) {
	planner := newPlanner(membership, nodes, target)
	for _, rule := range []func() (quorum.Membership, string, bool){
		planner.promoteLearner, planner.removeDisklessVoter, planner.replaceUnreachableVoter, planner.removeExcessVoter, planner.addLearner, planner.removeLostLearner,
	} {
		if next, reason, ok := rule(); ok {
			return next, reason, true
		}
	}
	return quorum.Membership{}, "", false
}

// planner holds the input of one call of Next. Each rule returns the membership after
// its change and the reason, or false when it doesn't apply.
type planner struct {
	membership quorum.Membership
	nodes      []Node
	nodeByName map[id.Node]Node
	target     int
}

func newPlanner(membership quorum.Membership, nodes []Node, target int) *planner {
	planner := &planner{membership: membership, nodes: nodes, nodeByName: map[id.Node]Node{}, target: target}
	for _, node := range nodes {
		planner.nodeByName[node.Node] = node
	}
	return planner
}

// reachable reports whether the leader had contact with a node within voterTimeout.
func (planner *planner) reachable(node id.Node) bool {
	known, ok := planner.nodeByName[node]
	return ok && known.SinceLastContact < voterTimeout
}

// withoutVoter removes a voter if a majority of the rest is reachable.
func (planner *planner) withoutVoter(voter id.Node) (quorum.Membership, bool) {
	rest := slices.DeleteFunc(slices.Clone(planner.membership.Voters), func(node id.Node) bool { return node == voter })
	reachable := 0
	for _, node := range rest {
		if planner.reachable(node) {
			reachable++
		}
	}
	if reachable <= len(rest)/2 {
		return quorum.Membership{}, false
	}
	return quorum.Membership{Voters: rest, Learners: slices.Clone(planner.membership.Learners)}, true
}

// readyLearner returns a learner that is reachable and has caught up.
func (planner *planner) readyLearner() (id.Node, bool) {
	for _, learner := range planner.membership.Learners {
		if planner.reachable(learner) && planner.nodeByName[learner].CaughtUp {
			return learner, true
		}
	}
	return "", false
}

// unreachableVoter returns the voter that has been without contact for longest, if any
// is unreachable.
func (planner *planner) unreachableVoter() (id.Node, bool) {
	var longestWithoutContact id.Node
	for _, voter := range planner.membership.Voters {
		if planner.reachable(voter) {
			continue
		}
		if longestWithoutContact == "" || planner.nodeByName[voter].SinceLastContact > planner.nodeByName[longestWithoutContact].SinceLastContact {
			longestWithoutContact = voter
		}
	}
	return longestWithoutContact, longestWithoutContact != ""
}

// promoteLearner makes a learner that has caught up a voter while there are fewer
// voters than the target.
func (planner *planner) promoteLearner() (quorum.Membership, string, bool) {
	learner, ok := planner.readyLearner()
	if !ok || len(planner.membership.Voters) >= planner.target {
		return quorum.Membership{}, "", false
	}
	learners := slices.DeleteFunc(slices.Clone(planner.membership.Learners), func(node id.Node) bool { return node == learner })
	voters := append(slices.Clone(planner.membership.Voters), learner)
	return quorum.Membership{Voters: voters, Learners: learners}, "a learner has caught up", true
}

// removeDisklessVoter removes an unreachable voter at whose address a node with another
// name is reachable: the voter has lost its disk, and its name won't come back.
func (planner *planner) removeDisklessVoter() (quorum.Membership, string, bool) {
	for _, node := range planner.nodes {
		if !planner.reachable(node.Node) || slices.Contains(planner.membership.Voters, node.Node) {
			continue
		}
		for _, voter := range planner.membership.Voters {
			if Address(voter) != Address(node.Node) || planner.reachable(voter) {
				continue
			}
			if next, ok := planner.withoutVoter(voter); ok {
				return next, "a voter has come back without its disk", true
			}
		}
	}
	return quorum.Membership{}, "", false
}

// replaceUnreachableVoter removes an unreachable voter when a learner is ready to be
// promoted after it.
func (planner *planner) replaceUnreachableVoter() (quorum.Membership, string, bool) {
	if _, ok := planner.readyLearner(); !ok {
		return quorum.Membership{}, "", false
	}
	return planner.removeUnreachable("a learner takes an unresponsive voter's place")
}

// removeExcessVoter removes an unreachable voter when there are more voters than the
// target.
func (planner *planner) removeExcessVoter() (quorum.Membership, string, bool) {
	if len(planner.membership.Voters) <= planner.target {
		return quorum.Membership{}, "", false
	}
	return planner.removeUnreachable("there are more voters than needed")
}

func (planner *planner) removeUnreachable(reason string) (quorum.Membership, string, bool) {
	voter, ok := planner.unreachableVoter()
	if !ok {
		return quorum.Membership{}, "", false
	}
	next, ok := planner.withoutVoter(voter)
	return next, reason, ok
}

// addLearner adds a reachable node that isn't a member, when a voter is unreachable or
// there are fewer members than the target.
func (planner *planner) addLearner() (quorum.Membership, string, bool) {
	_, voterMissing := planner.unreachableVoter()
	voterMissing = voterMissing || len(planner.membership.Voters)+len(planner.membership.Learners) < planner.target
	if !voterMissing || len(planner.membership.Learners) >= maxLearners {
		return quorum.Membership{}, "", false
	}
	for _, node := range planner.nodes {
		member := slices.Contains(planner.membership.Voters, node.Node) || slices.Contains(planner.membership.Learners, node.Node)
		if member || !planner.reachable(node.Node) {
			continue
		}
		learners := append(slices.Clone(planner.membership.Learners), node.Node)
		return quorum.Membership{Voters: slices.Clone(planner.membership.Voters), Learners: learners}, "a node with a disk asks to vote", true
	}
	return quorum.Membership{}, "", false
}

// removeLostLearner removes a learner that has been without contact for
// learnerTimeout.
func (planner *planner) removeLostLearner() (quorum.Membership, string, bool) {
	for _, learner := range planner.membership.Learners {
		if known, ok := planner.nodeByName[learner]; ok && known.SinceLastContact < learnerTimeout {
			continue
		}
		learners := slices.DeleteFunc(slices.Clone(planner.membership.Learners), func(node id.Node) bool { return node == learner })
		return quorum.Membership{Voters: slices.Clone(planner.membership.Voters), Learners: learners}, "a learner is gone", true
	}
	return quorum.Membership{}, "", false
}
