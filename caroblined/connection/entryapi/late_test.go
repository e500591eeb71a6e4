package entryapi

import (
	"net/http"
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

// Guards against a caller's time left outside the range of a Duration, or that is no number: what
// it converts to depends on the processor.
func TestCallerTimeLeftIsTheSameOnEveryProcessor(t *testing.T) {
	const longest = time.Hour
	api := &API{config: Config{Dialect: Dialect{TimeLeftMS: "Left-Ms"}}}
	tests := map[string]struct {
		want time.Duration
		said bool
	}{
		"1500": {1500 * time.Millisecond, true}, "0.5": {500 * time.Microsecond, true}, "-1": {0, true}, "9000": {9 * time.Second, true},
		"1e300": {longest, true}, "-1e300": {0, true}, "1e999": {longest, true}, "-1e999": {0, true}, "Inf": {longest, true}, "-Inf": {0, true},
		"NaN": {0, false}, "": {0, false}, "soon": {0, false}, "1e": {0, false},
	}
	for text, test := range tests {
		request := &http.Request{Header: http.Header{"Left-Ms": {text}}}
		got, said := api.callerTimeLeft(&call{request: request})
		if got != test.want || said != test.said {
			t.Errorf("%q: %v, %v; want %v, %v", text, got, said, test.want, test.said)
		}
	}
}
