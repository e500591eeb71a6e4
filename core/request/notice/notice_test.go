package notice_test

import (
	"testing"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/request/notice"
	"carobline.dev/core/version/view"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoint(host id.Host, incarnation id.Incarnation) *view.Endpoint {
	return &view.Endpoint{Host: host, Incarnation: incarnation}
}

func available(notices *notice.Notices, now time.Time, endpoint *view.Endpoint) bool {
	return len(notices.Filter(now, []*view.Endpoint{endpoint})) == 1
}

// Guards against a host that leaves and is used again after a while, in another group, or
// when a late announcement names it once more; and against one that has started again
// under its name and stays unused.
func TestLeavingHostStaysUnusedUntilItStartsAgain(t *testing.T) {
	notices := notice.New()
	notices.Leave(start, endpoint("a", 1))
	for after := time.Duration(0); after < time.Hour; after += time.Minute {
		now := start.Add(after)
		notices.Forget(now)
		if available(notices, now, endpoint("a", 1)) {
			t.Fatalf("after %v the host is used again", after)
		}
	}
	now := start.Add(time.Hour)
	if !available(notices, now, endpoint("a", 2)) || !available(notices, now, endpoint("b", 1)) {
		t.Error("another incarnation or another host is unused")
	}
	notices.Pause(now, endpoint("a", 2), time.Second)
	notices.Leave(now, endpoint("a", 1)) // a late answer of the incarnation before
	if available(notices, now, endpoint("a", 2)) || !available(notices, now.Add(time.Second), endpoint("a", 2)) {
		t.Error("a late answer of an incarnation that is gone counts for the next one")
	}
}

// Guards against a shorter pause that ends a longer one, and against pauses that end at
// the wrong moment.
func TestPausesEndWhenTheLongestDoes(t *testing.T) {
	notices := notice.New()
	notices.Pause(start, endpoint("a", 1), 3*time.Second)
	notices.Pause(start.Add(time.Second), endpoint("a", 1), time.Second)
	for after, want := range map[time.Duration]bool{0: false, 2500 * time.Millisecond: false, 3*time.Second - 1: false, 3 * time.Second: true} {
		if got := available(notices, start.Add(after), endpoint("a", 1)); got != want {
			t.Errorf("after %v: used %v, want %v", after, got, want)
		}
	}
	wait, ok := notices.FirstBack(start.Add(time.Second), []*view.Endpoint{endpoint("a", 1)})
	if !ok || wait != 2*time.Second {
		t.Errorf("first back in %v, %v; want 2 s", wait, ok)
	}
}

// Guards against notices that are kept for ever.
func TestNoticesOfHostsThatAreGoneAreForgotten(t *testing.T) {
	notices := notice.New()
	notices.Leave(start, endpoint("a", 1))
	later := start.Add(11 * time.Minute)
	notices.Forget(later)
	if !available(notices, later, endpoint("a", 1)) {
		t.Error("the notice is still kept 11 minutes after the host was last an endpoint")
	}
}
