package judge_test

import (
	"net/http"
	"testing"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/fakeengine/process/engine"
	"carobline.dev/soak/process/judge"
)

func at(second int) time.Time { return time.Unix(int64(second), 0) }

// stream returns a sound stream of two tokens.
func stream() judge.Call {
	return judge.Call{
		Kind: judge.Stream, Prompt: "p", Tokens: 2, Status: http.StatusOK, RequestID: "r", Ended: true, EndMark: true,
		Events: []string{engine.TokenText("p", 1), engine.TokenText("p", 2)},
	}
}

func booking() judge.Call {
	return judge.Call{Kind: judge.Booking, Key: "k", Nonce: "n", Status: http.StatusOK, RequestID: "r", Ended: true, Body: `{"nonce":"n","key":"k"}`}
}

func token(generation, status, sentAt int) judge.Call {
	return judge.Call{
		Kind: judge.Stock, Nonce: "n", Generation: generation, Status: status, SentAt: at(sentAt), EndedAt: at(sentAt), Ended: true, Body: `{"nonce":"n"}`, RequestID: "r",
	}
}

func change(generation, ackedAt int) judge.Change {
	return judge.Change{Generation: generation, SentAt: at(ackedAt - 1), AckedAt: at(ackedAt), InForce: true, Revision: uint64(ackedAt)}
}

func with[T any](value T, change func(*T)) T {
	change(&value)
	return value
}

// soundRecords break no promise.
func soundRecords() map[string]judge.Records {
	return map[string]judge.Records{
		"one run":            {Calls: []judge.Call{booking()}, Runs: []judge.Run{{Key: "k", Nonce: "n", RequestID: "r"}}},
		"whole stream":       {Calls: []judge.Call{stream()}},
		"cut stream":         {Calls: []judge.Call{with(stream(), func(call *judge.Call) { call.Ended, call.EndMark, call.Events = false, false, call.Events[:1] })}},
		"refused elsewhere":  {Calls: []judge.Call{{Kind: judge.Booking, Key: "k", Status: 503, Outcome: rest.OutcomeNotRun, RequestID: "r2"}}, Runs: []judge.Run{{Key: "k", RequestID: "r"}}},
		"unknown that ran":   {Calls: []judge.Call{{Kind: judge.Quote, Status: 502, Outcome: rest.OutcomeUnknown, RequestID: "r"}}, Runs: []judge.Run{{RequestID: "r"}}},
		"token in force":     {Calls: []judge.Call{token(2, 200, 9), token(1, 401, 9), token(1, 503, 9)}, Changes: []judge.Change{change(1, 2), change(2, 5)}},
		"token while it may": {Calls: []judge.Call{token(1, 200, 9), token(2, 200, 9)}, Changes: []judge.Change{change(1, 2), {Generation: 2, SentAt: at(8)}}},
		"later read":         {Reads: []judge.Read{{SentAt: at(6), Revision: 5, Generation: 2}}, Changes: []judge.Change{change(2, 5)}},
		"run before a stop": {
			Calls: []judge.Call{token(0, 200, 3)}, Runs: []judge.Run{{Host: "s1", Incarnation: 4, RequestID: "r"}},
			Stops: []judge.Stop{{Name: "x", Target: "s1", AckedAt: at(4), InForce: true, Incarnation: 4}},
		},
	}
}

// TestSoundRecordsBreakNothing guards against a judge that finds faults where there are none.
func TestSoundRecordsBreakNothing(t *testing.T) {
	for name, records := range soundRecords() {
		if found := judge.Judge(records); len(found) > 0 {
			t.Errorf("%s: %v", name, found)
		}
	}
}

// TestEachBrokenPromiseIsNoticed guards against a judge that overlooks a broken promise.
func TestEachBrokenPromiseIsNoticed(t *testing.T) {
	stopped := judge.Stop{Name: "x", Target: "s1", AckedAt: at(2), InForce: true, Incarnation: 4}
	for name, test := range map[string]struct {
		promise judge.Promise
		records judge.Records
	}{
		"two runs":            {judge.RunsOnce, judge.Records{Runs: []judge.Run{{Key: "k", RequestID: "r"}, {Key: "k", RequestID: "r2"}}}},
		"two runs of a send":  {judge.RunsOnce, judge.Records{Runs: []judge.Run{{Key: "k", RequestID: "r"}, {Key: "k", RequestID: "r"}}}},
		"refused but ran":     {judge.NotRun, judge.Records{Calls: []judge.Call{{Kind: judge.Quote, Status: 503, Outcome: rest.OutcomeNotRun, RequestID: "r"}}, Runs: []judge.Run{{RequestID: "r"}}}},
		"another's answer":    {judge.OwnAnswer, judge.Records{Calls: []judge.Call{with(booking(), func(call *judge.Call) { call.Nonce = "other" })}}},
		"part of an answer":   {judge.OwnAnswer, judge.Records{Calls: []judge.Call{with(booking(), func(call *judge.Call) { call.Body = call.Body[:5] })}}},
		"another's token":     {judge.OwnAnswer, judge.Records{Calls: []judge.Call{with(stream(), func(call *judge.Call) { call.Prompt = "q" })}}},
		"end mark too early":  {judge.OwnAnswer, judge.Records{Calls: []judge.Call{with(stream(), func(call *judge.Call) { call.Events = call.Events[:1] })}}},
		"another's whole":     {judge.OwnAnswer, judge.Records{Calls: []judge.Call{{Kind: judge.Whole, Prompt: "p", Tokens: 1, Status: 200, Ended: true, Body: `{"choices":[{"message":{"content":"x"}}]}`}}}},
		"no end mark":         {judge.EndMark, judge.Records{Calls: []judge.Call{with(stream(), func(call *judge.Call) { call.EndMark, call.Events = false, call.Events[:1] })}}},
		"old token":           {judge.InForce, judge.Records{Calls: []judge.Call{token(1, 200, 9)}, Changes: []judge.Change{change(1, 2), change(2, 5)}}},
		"new token refused":   {judge.InForce, judge.Records{Calls: []judge.Call{token(2, 401, 9)}, Changes: []judge.Change{change(1, 2), change(2, 5)}}},
		"ended contract":      {judge.InForce, judge.Records{Calls: []judge.Call{token(1, 200, 9)}, Changes: []judge.Change{change(1, 2), change(0, 5)}}},
		"older revision":      {judge.Stays, judge.Records{Reads: []judge.Read{{SentAt: at(6), Revision: 4, Generation: 1}}, Changes: []judge.Change{change(2, 5)}}},
		"changed revision":    {judge.Stays, judge.Records{Reads: []judge.Read{{SentAt: at(6), Revision: 5, Generation: 1}}, Changes: []judge.Change{change(2, 5)}}},
		"forgotten stop":      {judge.Stays, judge.Records{Reads: []judge.Read{{SentAt: at(6), Generation: -1, StopNames: map[string]bool{}}}, Stops: []judge.Stop{stopped}}},
		"run at stopped host": {judge.InForce, judge.Records{Calls: []judge.Call{token(0, 200, 3)}, Runs: []judge.Run{{Host: "s1", Incarnation: 4, RequestID: "r"}}, Stops: []judge.Stop{stopped}}},
		"process ended":       {judge.Lives, judge.Records{Ended: []string{"n1: exit status 1"}}},
	} {
		found := judge.Judge(test.records)
		if len(found) != 1 || found[0].Promise != test.promise {
			t.Errorf("%s: %v, want one of %s", name, found, test.promise)
		}
	}
}
