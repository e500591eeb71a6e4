package entryapi

import (
	"testing"
	"time"

	"carobline.dev/core/request/estimate"
	"carobline.dev/core/version/routing"
)

// Guards against a call that a stopping host takes though it may outlast the host, and
// against one that is refused though it would have been answered.
func TestStoppingHostTakesWhatItCanAnswer(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	drain := &drain{noticedAt: at(3), stopsAt: at(7)}
	const usually = 2 * time.Second
	tests := []struct {
		name          string
		repeat        routing.Repeat
		now, deadline float64
		answerTime    time.Duration
		want          bool
	}{
		{"must not repeat, ends by its deadline", routing.RepeatNever, 1, 7, usually, true},
		{"must not repeat, may outlast the host", routing.RepeatNever, 1, 7.1, time.Millisecond, false},
		{"may be repeated, usually ends in time", routing.RepeatSafe, 0.5, 20, usually, true},
		{"may be repeated, doesn't usually end in time", routing.RepeatSafe, 2, 20, usually, false},
		{"may be repeated, of a route without an answer yet", routing.RepeatSafe, 0.5, 20, 0, false},
		{"may be repeated, once callers have other hosts", routing.RepeatSafe, 3, 20, time.Millisecond, false},
		{"may be repeated, once callers have other hosts, ends by its deadline", routing.RepeatSafe, 6.9, 7, usually, true},
	}
	for _, test := range tests {
		var answerTime estimate.Estimate
		if test.answerTime > 0 {
			answerTime.Record(test.answerTime)
		}
		call := &call{route: &routing.Route{Repeat: test.repeat}, deadline: at(test.deadline)}
		if got := drain.answersInTime(at(test.now), call, answerTime); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
