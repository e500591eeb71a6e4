package pacer_test

import (
	"testing"
	"time"

	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/pacer"
	"carobline.dev/core/process/roster"
)

func TestResponsesBeyondTheBurstWait(t *testing.T) {
	now, pace := time.Now(), &pacer.Pacer{}
	given := 0
	for ; pace.MayRespond(now, false); given++ {
		pace.Responded(now, &feed.Response{})
	}
	if given != 21 {
		t.Errorf("%d responses at once, want those of 20 ms and one", given)
	}
	if !pace.MayRespond(now, true) {
		t.Error("a node with a disk waits")
	}
	if !pace.MayRespond(now.Add(time.Millisecond), false) {
		t.Error("no response 1 ms later")
	}
	pace.Responded(now.Add(time.Millisecond), &feed.Response{Roster: make([]roster.RelayedAnnouncement, 50)})
	if pace.MayRespond(now.Add(2*time.Millisecond), false) || !pace.MayRespond(now.Add(3*time.Millisecond), false) {
		t.Error("a large response doesn't count for 2 ms")
	}
}

func TestPauseGrowsWithTheNodes(t *testing.T) {
	pace := &pacer.Pacer{}
	for _, nodes := range []int{9, 300} {
		pace.SetNodes(nodes)
		pause := time.Duration(nodes) * time.Millisecond
		if pace.Pause() != pause || pace.HoldTime() != max(feed.LongPollTimeout, pause) {
			t.Errorf("pause %v and hold time %v for %d nodes", pace.Pause(), pace.HoldTime(), nodes)
		}
	}
}
