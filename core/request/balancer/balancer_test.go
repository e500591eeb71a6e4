package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/version/view"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pool  = balancer.Pool{Service: "s"}
)

// pools returns a balancer over endpoints with the given calls of others.
func pools(seed uint64, slots int, elsewhere ...int) *balancer.Balancer {
	made := balancer.New(rand.New(rand.NewPCG(seed, 1)))
	made.Update(start, picture(slots, elsewhere...))
	return made
}

func picture(slots int, elsewhere ...int) *view.View {
	current := &view.View{Services: map[id.Service]*view.Set{}, Endpoints: map[feed.Endpoint]*view.Endpoint{}}
	var endpoints []*view.Endpoint
	for index, calls := range elsewhere {
		name := feed.Endpoint{Host: id.Host(fmt.Sprintf("h%02d", index))}
		endpoint := &view.Endpoint{Name: name, Host: name.Host, Service: "s", Load: roster.Load{Slots: slots}, RunningElsewhere: calls, Accepting: true}
		endpoints = append(endpoints, endpoint)
		current.Endpoints[name] = endpoint
	}
	current.Services["s"] = view.NewSet(endpoints)
	return current
}

func call(number int, now time.Time) balancer.Call {
	return balancer.Call{Number: balancer.Number(number), Pool: pool, Due: now.Add(time.Second)}
}

// Many entry hosts with the same old counts don't all choose the same endpoint:
// the pattern is a wave's rise with one group that has just been opened.
func TestEntryHostsDontChooseTheSame(t *testing.T) {
	const entryHosts, each = 7, 4
	elsewhere := make([]int, 12)
	for index := range elsewhere {
		elsewhere[index] = 8
	}
	elsewhere[3] = 0
	counts := map[feed.Endpoint]int{}
	for host := range uint64(entryHosts) {
		made := pools(host, 17, elsewhere...)
		for number := range each {
			answer := made.Submit(start, call(number, start))
			counts[answer.Endpoint.Name]++
		}
	}
	if most := counts[feed.Endpoint{Host: "h03"}]; most > 17 {
		t.Errorf("%d of %d calls went to one endpoint of 17 slots: %v", most, entryHosts*each, counts)
	}
}

func TestNoCallGoesWhereThereIsNoRoom(t *testing.T) {
	made := pools(1, 2, 0, 2)
	for number := range 2 {
		if answer := made.Submit(start, call(number, start)); answer.Verdict != balancer.VerdictGo || answer.Endpoint.Host != "h00" {
			t.Fatalf("call %d: %+v", number, answer)
		}
	}
	if answer := made.Submit(start, call(2, start)); answer.Verdict != balancer.VerdictWait {
		t.Fatalf("%+v, want to wait", answer)
	}
	answers := made.Done(start, call(0, start), feed.Endpoint{Host: "h00"}, balancer.Served)
	if len(answers) != 1 || answers[0].Call != 2 || answers[0].Verdict != balancer.VerdictGo {
		t.Fatalf("%+v, want the waiting call to go", answers)
	}
}

// The first in rank goes first, and among equals the one that is due first.
func TestWaitingCallsGoInOrder(t *testing.T) {
	made := pools(1, 1, 0)
	made.Submit(start, call(0, start))
	late, early, first := call(1, start), call(2, start), call(3, start)
	late.Priority, early.Priority = 1, 1
	late.Due = start.Add(2 * time.Second)
	for _, waiting := range []balancer.Call{late, early, first} {
		made.Submit(start, waiting)
	}
	var order []balancer.Number
	for range 3 {
		for _, answer := range made.Done(start, call(0, start), feed.Endpoint{Host: "h00"}, balancer.Served) {
			order = append(order, answer.Call)
		}
	}
	if fmt.Sprint(order) != "[3 2 1]" {
		t.Errorf("order %v, want [3 2 1]", order)
	}
}

// A call that would wait past the point at which its answer can be on time is
// refused at once, with the time at which its turn would have come: the pattern
// is a burst on a full pool.
func TestHopelessCallsAreRefusedAtOnce(t *testing.T) {
	made := pools(1, 1, 0)
	now := start
	made.Submit(now, call(0, now))
	refused := 0
	for number := 1; number < 20; number++ {
		answer := made.Submit(now, call(number, now))
		if answer.Verdict == balancer.VerdictRefuse {
			refused++
			if answer.RetryAfter < 200*time.Millisecond {
				t.Errorf("come back after %v", answer.RetryAfter)
			}
		}
	}
	if refused < 15 {
		t.Errorf("%d of 19 refused at once", refused)
	}
}

// Refused calls come back, so each is told to come later than the one before:
// the pattern is a burst that lasts longer than a queue.
func TestRefusedCallsDontAllComeBackAtOnce(t *testing.T) {
	made := pools(1, 1, 0)
	made.Submit(start, call(0, start))
	for number := range 40 {
		made.Done(start, call(100+number, start), feed.Endpoint{Host: "h09"}, balancer.Served)
	}
	var first, last time.Duration
	for number := 1; number < 60; number++ {
		answer := made.Submit(start, call(number, start))
		if answer.Verdict != balancer.VerdictRefuse {
			continue
		}
		if first == 0 {
			first = answer.RetryAfter
		}
		last = answer.RetryAfter
	}
	if last <= first {
		t.Errorf("the first comes back after %v, the last after %v", first, last)
	}
}

// Under overload calls wait no longer than the time that answers take leaves
// them: the pattern is the wave's top, where a longer queue makes all late.
func TestWaitEndsWhereAnAnswerCantBeOnTime(t *testing.T) {
	made := pools(1, 1, 0)
	for range 200 {
		made.ObserveTimeToFirstEvent(pool, 800*time.Millisecond)
	}
	made.Submit(start, call(0, start))
	if answer := made.Submit(start, call(1, start)); answer.Until.Sub(start) != 200*time.Millisecond {
		t.Errorf("waits %v, want 200ms of the second that answers leave", answer.Until.Sub(start))
	}
}

// Calls that are late anyhow come after those that can be on time.
func TestLateCallsComeLast(t *testing.T) {
	made := pools(1, 1, 0)
	made.Submit(start, call(0, start))
	late, timely := call(1, start), call(2, start)
	late.Late, late.Due = true, start.Add(-time.Second)
	made.Submit(start, late)
	made.Submit(start, timely)
	answers := made.Done(start, call(0, start), feed.Endpoint{Host: "h00"}, balancer.Served)
	if len(answers) != 1 || answers[0].Call != 2 {
		t.Errorf("%+v, want the call that can be on time", answers)
	}
}

// An endpoint whose streams all stand still gets no more calls: the pattern is
// a group that has lost one of its engines.
func TestStandingEndpointGetsNoCalls(t *testing.T) {
	made := pools(1, 8, 0, 0)
	standing := feed.Endpoint{Host: "h00"}
	made.StreamBegan(start, standing)
	now := start.Add(time.Second)
	made.StreamBegan(now, feed.Endpoint{Host: "h01"})
	for number := range 6 {
		if answer := made.Submit(now, call(number, now)); answer.Endpoint == nil || answer.Endpoint.Name == standing {
			t.Fatalf("call %d: %+v", number, answer)
		}
	}
	made.Done(now, call(0, now), standing, balancer.Stalled)
	if got := made.StalledEndpoints(now); len(got) != 1 || got[0] != standing {
		t.Errorf("standing %v", got)
	}
}

// Endpoints that have all failed are used all the same.
func TestFailuresEverywhereDontStopAll(t *testing.T) {
	made := pools(1, 8, 0, 0)
	for _, host := range []id.Host{"h00", "h01"} {
		made.Done(start, call(0, start), feed.Endpoint{Host: host}, balancer.Failed)
	}
	if answer := made.Submit(start, call(1, start)); answer.Verdict != balancer.VerdictGo {
		t.Errorf("%+v, want to go", answer)
	}
}

// Callers that come back after a refusal leave the last places to those whose
// answers can still be on time: the pattern is a crest that lasts for seconds,
// with more calls than places.
func TestPlacesAreKeptForCallsThatCanBeOnTime(t *testing.T) {
	made := pools(1, 10, 0)
	late := func(number int) balancer.Call {
		back := call(number, start)
		back.Late = true
		return back
	}
	gone := 0
	for number := range 10 {
		if made.Submit(start, late(number)).Verdict == balancer.VerdictGo {
			gone++
		}
	}
	if gone >= 10 {
		t.Fatal("calls that are late anyhow took all places")
	}
	for number := 10; gone < 10; number++ {
		if answer := made.Submit(start, call(number, start)); answer.Verdict != balancer.VerdictGo {
			t.Fatalf("%+v with %d of 10 places taken, want to go before the calls that wait", answer, gone)
		}
		gone++
	}
	for _, answer := range made.Done(start, call(10, start), feed.Endpoint{Host: "h00"}, balancer.Served) {
		t.Errorf("%+v took a place that is kept", answer)
	}
}

// A call that is late anyhow keeps no call behind it from a place that it may
// not have itself.
func TestLateCallsBlockNobody(t *testing.T) {
	made := pools(1, 10, 0)
	for number := range 10 {
		made.Submit(start, call(number, start))
	}
	back, fresh := call(10, start), call(11, start)
	back.Late, back.Priority, fresh.Priority = true, 0, 1
	made.Submit(start, back)
	made.Submit(start, fresh)
	answers := made.Done(start, call(0, start), feed.Endpoint{Host: "h00"}, balancer.Served)
	if len(answers) != 1 || answers[0].Call != fresh.Number {
		t.Errorf("%+v, want call %d to go", answers, fresh.Number)
	}
}

// At a crest all entry hosts know of nearly full groups, by counts that are
// old. Each keeps to its quota of them, so that no group gets many more calls
// than it has places, which would wait inside the engine.
func TestEntryHostsKeepToQuotasOfCrowdedEndpoints(t *testing.T) {
	const entryHosts, endpoints, slots, taken = 9, 10, 17, 13
	for seed := range uint64(20) {
		counts := map[feed.Endpoint]int{}
		for host := range uint64(entryHosts) {
			elsewhere := make([]int, endpoints)
			for index := range elsewhere {
				elsewhere[index] = taken - 1
			}
			made := pools(100*seed+host, slots, elsewhere...)
			crowded := picture(slots, elsewhere...)
			crowded.Share = 1.0 / entryHosts
			made.Update(start, crowded)
			for number := range 3 * endpoints {
				if answer := made.Submit(start, call(number, start)); answer.Verdict == balancer.VerdictGo {
					counts[answer.Endpoint.Name]++
				}
			}
		}
		for name, count := range counts {
			if count > slots+entryHosts/3 {
				t.Errorf("seed %d: %d calls at %v of %d slots", seed, count, name, slots)
			}
		}
	}
}
