package entryapi

import (
	"testing"
	"time"

	"carobline.dev/core/version/routing"
)

// Callers set limits of their own somewhat below the route's timeout: that alone
// doesn't make them come back. One that has waited past its target and more has.
func TestWaitedBefore(t *testing.T) {
	chat := &routing.Route{TimeoutMS: 6000, TargetMS: 300}
	slow := &routing.Route{TimeoutMS: 1000, TargetMS: 400}
	tests := []struct {
		name  string
		route *routing.Route
		left  time.Duration
		want  bool
	}{
		{"all of the time", chat, 6 * time.Second, false},
		{"a caller's own limit", chat, 5200 * time.Millisecond, false},
		{"a second gone", chat, 5 * time.Second, true},
		{"less than the target gone", slow, 700 * time.Millisecond, false},
		{"the target gone", slow, 590 * time.Millisecond, true},
	}
	for _, test := range tests {
		if got := waitedBefore(test.route, test.left); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
