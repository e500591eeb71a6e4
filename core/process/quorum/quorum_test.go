package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/id"
	"carobline.dev/core/process/quorum"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newVoter(voters []id.Node, stored quorum.Stored) *quorum.Quorum {
	return quorum.New(start, quorum.Config{
		Self: "a", Voters: voters, Timing: quorum.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 1)),
	}, stored)
}

var threeVoters = []id.Node{"a", "b", "c"}

// TestVoteRequests checks when a pre-vote or vote is granted, refused or ignored.
func TestVoteRequests(t *testing.T) {
	timing := quorum.DefaultTiming()
	voted := quorum.Stored{HardState: quorum.HardState{Term: 5, Vote: "b"}}
	long := quorum.Stored{HardState: quorum.HardState{Term: 5}, Entries: []quorum.Entry{{Index: 1, Term: 4}, {Index: 2, Term: 5}}}
	tests := []struct {
		name    string
		stored  quorum.Stored
		after   time.Duration
		message quorum.Message
		want    *bool
	}{
		{"a vote survives a restart", voted, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "c", Term: 5}, new(false)},
		{"the same vote is granted again", voted, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 5}, new(true)},
		{"a vote request is ignored for one election timeout after the start", quorum.Stored{}, timing.Election - 1, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 1}, nil},
		{"a vote for a leadership transfer is granted at once", quorum.Stored{}, 0, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 1, Forced: true}, new(true)},
		{"an older log is refused", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 6, LogIndex: 9, LogTerm: 4}, new(false)},
		{"a shorter log is refused", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 6, LogIndex: 1, LogTerm: 5}, new(false)},
		{"an equal log is granted", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 6, LogIndex: 2, LogTerm: 5}, new(true)},
		{"an old term is refused", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 4, LogIndex: 9, LogTerm: 9}, new(false)},
		{"a pre-vote changes no term", voted, timing.Election, quorum.Message{Kind: quorum.KindPreVote, From: "c", Term: 6}, new(true)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			voter := newVoter(threeVoters, test.stored)
			test.message.To = "a"
			actions := voter.Step(start.Add(test.after), quorum.Receive{Message: test.message})
			var got *bool
			for _, reply := range actions.Messages {
				got = &reply.Granted
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("granted (-want +got):\n%s", diff)
			}
			if test.message.Kind == quorum.KindPreVote && actions.DiskWrite.HardState != nil {
				t.Error("a pre-vote wrote to the disk")
			}
		})
	}
}

// TestSingleVoterCommitsAtOnce checks that a single voter saves and commits an
// entry in the same Step, and holds a lease.
func TestSingleVoterCommitsAtOnce(t *testing.T) {
	voter := newVoter([]id.Node{"a"}, quorum.Stored{})
	now := start.Add(2 * quorum.DefaultTiming().Election)
	voter.Tick(now)
	actions := voter.Step(now, quorum.Propose{Data: []byte("x")})
	if len(actions.Committed) != 1 || len(actions.DiskWrite.Entries) != 1 || string(actions.Committed[0].Data) != "x" {
		t.Fatalf("actions = %+v, want one entry with data x, both saved and committed", actions)
	}
	if until := voter.LeaseUntil(now); !until.After(now) {
		t.Errorf("lease until %v, want later than %v", until, now)
	}
}

// TestReconfigureOneVoterAtATime checks that a membership that changes more than
// one voter, or holds none, is refused, and that the next change has to wait until
// the previous one is committed.
func TestReconfigureOneVoterAtATime(t *testing.T) {
	tests := []struct {
		name   string
		voters []id.Node
		want   int
	}{
		{"two new voters at once", []id.Node{"a", "b", "c"}, 0},
		{"no voters", nil, 0},
		{"one new voter", []id.Node{"a", "b"}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			voter := newVoter([]id.Node{"a"}, quorum.Stored{})
			now := start.Add(2 * quorum.DefaultTiming().Election)
			voter.Tick(now)
			actions := voter.Step(now, quorum.Reconfigure{Membership: quorum.Membership{Voters: test.voters}})
			if got := len(actions.DiskWrite.Entries); got != test.want {
				t.Fatalf("appended %d entries, want %d", got, test.want)
			}
			again := voter.Step(now, quorum.Reconfigure{Membership: quorum.Membership{Voters: []id.Node{"a"}}})
			if test.want == 1 && len(again.DiskWrite.Entries) != 0 {
				t.Error("a second change began before the first was committed")
			}
		})
	}
}

// TestLeadershipTransferEndsTheLease checks that a leader's lease ends as soon as it
// requests another voter to start an election, since that voter may win at any time.
func TestLeadershipTransferEndsTheLease(t *testing.T) {
	cluster := newCluster(t)
	leader := cluster.elect()
	cluster.step(leader, quorum.TransferLeadership{})
	if until := cluster.voters[leader].LeaseUntil(cluster.now); !until.IsZero() {
		t.Fatalf("lease until %v after the leadership transfer, want none", until)
	}
	cluster.deliver()
	for _, name := range threeVoters {
		if cluster.voters[name].Status().Role == quorum.RoleLeader && name == leader {
			t.Errorf("%s still leads", leader)
		}
	}
}

// cluster is three voters whose messages are delivered without delay.
type cluster struct {
	t        *testing.T
	now      time.Time
	voters   map[id.Node]*quorum.Quorum
	messages []quorum.Message
}

func newCluster(t *testing.T) *cluster {
	cluster := &cluster{t: t, now: start, voters: map[id.Node]*quorum.Quorum{}}
	for index, name := range threeVoters {
		cluster.voters[name] = quorum.New(start, quorum.Config{
			Self: name, Voters: threeVoters, Timing: quorum.DefaultTiming(), Rand: rand.New(rand.NewPCG(uint64(index), 7)),
		}, quorum.Stored{})
	}
	return cluster
}

func (cluster *cluster) step(name id.Node, event quorum.Event) {
	cluster.messages = append(cluster.messages, cluster.voters[name].Step(cluster.now, event).Messages...)
}

func (cluster *cluster) deliver() {
	for len(cluster.messages) > 0 {
		message := cluster.messages[0]
		cluster.messages = cluster.messages[1:]
		cluster.step(message.To, quorum.Receive{Message: message})
	}
}

func (cluster *cluster) elect() id.Node {
	for range 1000 {
		cluster.now = cluster.now.Add(10 * time.Millisecond)
		for _, name := range threeVoters {
			cluster.messages = append(cluster.messages, cluster.voters[name].Tick(cluster.now).Messages...)
			cluster.deliver()
			if cluster.voters[name].LeaseUntil(cluster.now).After(cluster.now) {
				return name
			}
		}
	}
	cluster.t.Fatal("no leader was elected within 10 seconds")
	return ""
}
