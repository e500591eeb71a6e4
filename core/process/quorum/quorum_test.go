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

var three = []id.Node{"a", "b", "c"}

// TestVoteRequests is a table of who is granted a vote, and when.
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
		{"a vote is remembered over a restart", voted, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "c", Term: 5}, new(false)},
		{"the same vote is given again", voted, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 5}, new(true)},
		{"nothing is said before an election timeout since the start", quorum.Stored{}, timing.Election - 1, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 1}, nil},
		{"a hand-over is granted at once", quorum.Stored{}, 0, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 1, Forced: true}, new(true)},
		{"an older log is refused", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 6, LogIndex: 9, LogTerm: 4}, new(false)},
		{"a shorter log is refused", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 6, LogIndex: 1, LogTerm: 5}, new(false)},
		{"an equal log is granted", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 6, LogIndex: 2, LogTerm: 5}, new(true)},
		{"an old term is refused", long, timing.Election, quorum.Message{Kind: quorum.KindVote, From: "b", Term: 4, LogIndex: 9, LogTerm: 9}, new(false)},
		{"a pre-vote changes no term", voted, timing.Election, quorum.Message{Kind: quorum.KindPreVote, From: "c", Term: 6}, new(true)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			voter := newVoter(three, test.stored)
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

// TestSingleVoterCommitsAtOnce shows the order of actions for a lone voter.
func TestSingleVoterCommitsAtOnce(t *testing.T) {
	voter := newVoter([]id.Node{"a"}, quorum.Stored{})
	now := start.Add(2 * quorum.DefaultTiming().Election)
	voter.Tick(now)
	actions := voter.Step(now, quorum.Propose{Data: []byte("x")})
	if len(actions.Committed) != 1 || len(actions.DiskWrite.Entries) != 1 || string(actions.Committed[0].Data) != "x" {
		t.Fatalf("actions = %+v", actions)
	}
	if until := voter.LeaseUntil(now); !until.After(now) {
		t.Errorf("lease until %v, want later than %v", until, now)
	}
}

// TestReconfigureOneVoterAtATime is a table of memberships that are refused.
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

// TestHandOverEndsTheLease shows that a leader which has told another to stand
// never acts by its lease again in that term.
func TestHandOverEndsTheLease(t *testing.T) {
	group := newTrio(t)
	leader := group.elect()
	group.step(leader, quorum.TransferLeadership{})
	if until := group.voters[leader].LeaseUntil(group.now); !until.IsZero() {
		t.Fatalf("lease until %v after the hand-over", until)
	}
	group.deliver()
	for _, name := range three {
		if group.voters[name].Status().Role == quorum.RoleLeader && name == leader {
			t.Errorf("%s still leads", leader)
		}
	}
}

// trio is three voters whose messages are carried at once.
type trio struct {
	t        *testing.T
	now      time.Time
	voters   map[id.Node]*quorum.Quorum
	messages []quorum.Message
}

func newTrio(t *testing.T) *trio {
	trio := &trio{t: t, now: start, voters: map[id.Node]*quorum.Quorum{}}
	for index, name := range three {
		trio.voters[name] = quorum.New(start, quorum.Config{
			Self: name, Voters: three, Timing: quorum.DefaultTiming(), Rand: rand.New(rand.NewPCG(uint64(index), 7)),
		}, quorum.Stored{})
	}
	return trio
}

func (trio *trio) step(name id.Node, event quorum.Event) {
	trio.messages = append(trio.messages, trio.voters[name].Step(trio.now, event).Messages...)
}

func (trio *trio) deliver() {
	for len(trio.messages) > 0 {
		message := trio.messages[0]
		trio.messages = trio.messages[1:]
		trio.step(message.To, quorum.Receive{Message: message})
	}
}

func (trio *trio) elect() id.Node {
	for range 1000 {
		trio.now = trio.now.Add(10 * time.Millisecond)
		for _, name := range three {
			trio.messages = append(trio.messages, trio.voters[name].Tick(trio.now).Messages...)
			trio.deliver()
			if trio.voters[name].LeaseUntil(trio.now).After(trio.now) {
				return name
			}
		}
	}
	trio.t.Fatal("no leader")
	return ""
}
