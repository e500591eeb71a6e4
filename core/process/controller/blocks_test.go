package controller_test

import (
	"fmt"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/suspicion"
)

// connectivityWindow is within how long of the last crash every node must refuse requests
// with the part that caused it.
const connectivityWindow = 3 * time.Second

// suspicions are what the nodes of a simulation have recorded of the parts of prompts.
type suspicions struct {
	*simulation
	byNode map[id.Node]*suspicion.Suspicion
	ended  int
}

func newSuspicions(t *testing.T, seed uint64) *suspicions {
	t.Helper()
	suspicions := &suspicions{simulation: newSimulation(t, seed), byNode: map[id.Node]*suspicion.Suspicion{}}
	suspicions.checker.off = true
	for _, node := range suspicions.nodes {
		suspicions.restart(node)
	}
	suspicions.schedule(0, suspicions.report)
	suspicions.run(5 * time.Second)
	return suspicions
}

func (suspicions *suspicions) restart(node *node) {
	suspicions.byNode[node.name] = suspicion.New(node.name, node.incarnation)
}

// report passes on what the nodes have recorded, and what they receive, as often as they tick.
func (suspicions *suspicions) report() {
	suspicions.schedule(tickInterval, suspicions.report)
	for _, node := range suspicions.nodes {
		if !node.up {
			continue
		}
		state, now := suspicions.byNode[node.name], node.now()
		state.Update(node.view.Blocks, node.view.SuspectParts)
		node.report = member.UsageReported{Crashes: state.Crashes(now), SoundParts: state.SoundParts(now), WantedTrials: state.WantedTrials(now)}
	}
}

// crash ends one more endpoint under a node's call of a client account.
func (suspicions *suspicions) crash(node *node, account id.ClientAccount, parts ...id.PromptPart) {
	suspicions.ended++
	process := suspicion.Process{Host: id.Host(fmt.Sprintf("x%d", suspicions.ended)), Incarnation: 1}
	suspicions.byNode[node.name].Ended(node.now(), process, suspicion.Call{ClientAccount: account, Parts: parts})
}

// breakOff lets an answer break off at a host whose process may have ended.
func (suspicions *suspicions) breakOff(node *node, host *host, parts ...id.PromptPart) {
	process := suspicion.Process{Host: host.name, Incarnation: host.incarnation, Address: string(host.name)}
	suspicions.byNode[node.name].MayHaveEnded(node.now(), process, suspicion.Call{ClientAccount: "a", Parts: parts})
}

// lacking lists the nodes that take new calls and don't refuse one with the part.
func (suspicions *suspicions) lacking(part id.PromptPart) []id.Node {
	var lacking []id.Node
	for _, node := range suspicions.nodes {
		state := suspicions.byNode[node.name]
		state.Update(node.view.Blocks, node.view.SuspectParts)
		_, refused := state.Check(node.now(), suspicion.Call{ClientAccount: "any", Parts: []id.PromptPart{"own", part}})
		if node.up && !refused && node.view.AcceptsNewWork(node.now()) {
			lacking = append(lacking, node.name)
		}
	}
	return lacking
}

// Guards against hosts that go on sending requests with a part that others have seen end
// endpoints, and against a verdict, or what leads to it, that is lost with the leader.
func TestBlockReachesEveryNode(t *testing.T) {
	loseLeader := func(suspicions *suspicions) { suspicions.leader().crash() }
	for name, test := range map[string]struct {
		// fault comes after the crash of this number.
		crashes, faultAfter int
		fault               func(suspicions *suspicions)
	}{
		"no fault":                      {5, 5, func(*suspicions) {}},
		"leader lost after all crashes": {5, 5, loseLeader},
		"leader lost in between":        {3, 2, loseLeader},
		"leader has just got the last report": {5, 5, func(suspicions *suspicions) {
			suspicions.run(25 * time.Millisecond)
			loseLeader(suspicions)
		}},
		"leader cut off": {5, 5, func(suspicions *suspicions) {
			suspicions.blockTraffic(suspicions.leader(), time.Minute, true)
		}},
	} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%s, seed=%d", name, seed), func(t *testing.T) {
				t.Parallel()
				suspicions := newSuspicions(t, seed)
				for number := range test.crashes {
					suspicions.run(80 * time.Millisecond)
					entryHost := suspicions.nodes[voterCount+(int(seed)+number)%(nodeCount-voterCount)]
					suspicions.crash(entryHost, id.ClientAccount(fmt.Sprint("a", number)), "bad", id.PromptPart(fmt.Sprint("topic", number)))
					if number+1 == test.faultAfter {
						suspicions.run(50 * time.Millisecond)
						test.fault(suspicions)
					}
				}
				suspicions.run(connectivityWindow)
				if lacking := suspicions.lacking("bad"); len(lacking) > 0 {
					suspicions.fail("%v after the last crash %v take requests with the part", connectivityWindow, lacking)
				}
			})
		}
	}
}

// Guards against a block that ends when hosts or all voters start again.
func TestBlockOutlastsRestarts(t *testing.T) {
	suspicions := newSuspicions(t, 1)
	for range 3 {
		suspicions.run(80 * time.Millisecond)
		suspicions.crash(suspicions.nodes[4], "a", "bad")
	}
	suspicions.run(time.Second)
	for _, node := range suspicions.nodes {
		node.crash()
	}
	suspicions.run(time.Second)
	for _, node := range suspicions.nodes {
		node.start()
		suspicions.restart(node)
	}
	suspicions.run(connectivityWindow + 2*time.Second)
	if lacking := suspicions.lacking("bad"); len(lacking) > 0 {
		t.Errorf("after a restart of all nodes %v don't refuse requests with the part", lacking)
	}
}

// Guards against more than one request with a blocked part that reaches endpoints as a trial,
// however many nodes and client accounts ask, and against a block that outlasts its proof.
func TestOneNodeMakesTheTrialOfABlock(t *testing.T) {
	suspicions := newSuspicions(t, 2)
	for range 3 {
		suspicions.run(80 * time.Millisecond)
		suspicions.crash(suspicions.nodes[4], "a", "others")
	}
	suspicions.run(time.Second)
	sent, now := 0, suspicions.now
	for suspicions.now-now < 5*time.Second {
		suspicions.run(20 * time.Millisecond)
		for _, node := range suspicions.nodes {
			call := suspicion.Call{ClientAccount: "other", Parts: []id.PromptPart{"others"}}
			if _, refused := suspicions.byNode[node.name].Check(node.now(), call); !refused && suspicions.byNode[node.name].Use(call) {
				sent++
				suspicions.schedule(100*time.Millisecond, func() { suspicions.crash(node, "other", "others") })
			}
		}
	}
	if sent != 1 {
		t.Errorf("%d requests with the part reached endpoints as trials, want 1", sent)
	}
	record := suspicions.leader().voter.Register().Blocks().Blocks
	if len(record) != 1 || len(record[0].ClientAccounts) != register.MaxBlockAccounts {
		t.Errorf("the blocks are %+v; want one that names two client accounts", record)
	}
	suspicions.byNode[suspicions.nodes[5].name].Began(suspicions.nodes[5].now(), suspicion.Call{Parts: []id.PromptPart{"others"}})
	suspicions.run(time.Second)
	if lacking := suspicions.lacking("others"); len(lacking) != nodeCount {
		t.Errorf("an answer has begun on the part, and all but %v still refuse it", lacking)
	}
}

// Guards against hosts that went on after an answer had broken off there and count as ended by it, since they
// are restarted, leave or are stopped by plan some seconds later; and against ended ones that don't count.
func TestCrashOfAProcessThatGoesOnIsDropped(t *testing.T) {
	const goesOnTime, awayTime = 3 * time.Second, 1500 * time.Millisecond
	for name, test := range map[string]struct {
		// atBreak and later are what happens to a host with the break, and goesOnTime after it.
		atBreak, later func(suspicions *suspicions, host *host)
		blocked        bool
	}{
		"ends with the break": {atBreak: func(_ *suspicions, host *host) { host.up = false }, blocked: true},
		"ends later":          {later: func(_ *suspicions, host *host) { host.up = false }},
		"leaves at once and ends": {atBreak: func(suspicions *suspicions, host *host) {
			host.leaving = true
			host.announce(suspicions.nodes[0], 0)
			suspicions.schedule(50*time.Millisecond, func() { host.up = false })
		}},
		"is under a planned stop and ends": {atBreak: func(suspicions *suspicions, host *host) {
			leader := suspicions.leader()
			command := register.Command{Change: id.Change("stop-" + host.name), Actor: "operator", CreateStop: &register.CreateStop{
				Stop: id.Stop("stop-" + host.name), Kind: register.TargetEndpoint, Target: string(host.name),
			}}
			ticket := leader.newTicket(func(content any) {
				if result := content.(controller.Outcome).Result; result == nil || result.Verdict != register.VerdictDone {
					suspicions.fail("the stop of %s: %+v", host.name, result)
				}
			})
			leader.step(controller.ChangeProposed{Ticket: ticket, Command: command, AcceptLoss: true})
			host.up = false
		}},
	} {
		t.Run(name, func(t *testing.T) {
			suspicions := newSuspicions(t, 3)
			for _, host := range suspicions.hosts[:4] {
				suspicions.run(300 * time.Millisecond)
				suspicions.breakOff(suspicions.nodes[voterCount], host, "bad")
				if test.atBreak != nil {
					test.atBreak(suspicions, host)
				}
				if test.later != nil {
					suspicions.schedule(goesOnTime, func() { test.later(suspicions, host) })
				} else {
					suspicions.schedule(awayTime, host.restart)
				}
				suspicions.schedule(goesOnTime+awayTime, func() {
					if !host.up {
						host.restart()
					}
				})
			}
			suspicions.run(goesOnTime + awayTime + connectivityWindow)
			want := 0
			if test.blocked {
				want = 1
			}
			if blocks := suspicions.leader().voter.Register().Blocks().Blocks; len(blocks) != want {
				t.Errorf("the blocks are %+v, want %d", blocks, want)
			}
		})
	}
}

// Guards against a process that counts as going on, so that its crash is dropped, since the last announcement that
// it sent before its end arrived late. Its age isn't known, as it bears no echo.
func TestLateAnnouncementOfAnEndedProcessIsNoSignOfLife(t *testing.T) {
	const awayTime = 1500 * time.Millisecond
	for _, lateness := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
		t.Run(lateness.String(), func(t *testing.T) {
			suspicions := newSuspicions(t, 3)
			for number, host := range suspicions.hosts[:4] {
				suspicions.run(300 * time.Millisecond)
				last, entry := host.nextAnnouncement(), suspicions.nodes[number%voterCount]
				suspicions.breakOff(suspicions.nodes[voterCount], host, "bad")
				host.up = false
				suspicions.schedule(lateness, func() {
					entry.runMember(entry.member.Step(entry.now(), member.AnnouncedWithoutEcho{Announcement: last}))
				})
				suspicions.schedule(awayTime, host.restart)
			}
			suspicions.run(awayTime + connectivityWindow)
			if blocks := suspicions.leader().voter.Register().Blocks().Blocks; len(blocks) != 1 {
				t.Errorf("the blocks are %+v, want one", blocks)
			}
		})
	}
}
