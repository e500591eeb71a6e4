package entryapi

import (
	"testing"
	"time"

	"carobline.dev/core/version/routing"
)

// Callers set timeouts somewhat below the route's own. A slightly shorter time
// left is therefore no sign of an earlier attempt. A time left that is shorter
// by more than both the route's target and that slack is one.
func TestWaitedPastTarget(t *testing.T) {
	chat := &routing.Route{TimeoutMS: 6000, TargetMS: 300}
	slow := &routing.Route{TimeoutMS: 1000, TargetMS: 400}
	tests := []struct {
		name     string
		route    *routing.Route
		timeLeft time.Duration
		want     bool
	}{
		{"all of the time", chat, 6 * time.Second, false},
		{"a caller's own limit", chat, 5200 * time.Millisecond, false},
		{"a second has passed", chat, 5 * time.Second, true},
		{"less than the target has passed", slow, 700 * time.Millisecond, false},
		{"the target has passed", slow, 590 * time.Millisecond, true},
	}
	for _, test := range tests {
		if got := waitedPastTarget(test.route, test.timeLeft); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
