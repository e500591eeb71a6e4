// Package judge finds broken promises in what callers got, what endpoints ran and what
// operators received.
//
// # Usage
//
//	for _, broken := range judge.Judge(records) { fmt.Println(broken) }
package judge

import (
	"encoding/json"
	"fmt"
	"strings"

	"carobline.dev/core/connection/rest"
	"carobline.dev/fakeengine/process/engine"
)

// Promise names a promise.
type Promise string

// The promises.
const (
	// RunsOnce: a call that must not repeat runs at most once.
	RunsOnce Promise = "runs_once"
	// NotRun: what was refused as not run hasn't run and doesn't run later.
	NotRun Promise = "not_run"
	// OwnAnswer: no caller gets another's answer or a part of it.
	OwnAnswer Promise = "own_answer"
	// EndMark: no stream ends as complete without its end mark.
	EndMark Promise = "end_mark"
	// InForce: a change that was acknowledged as in force is what all act by.
	InForce Promise = "in_force"
	// Stays: a change that was acknowledged stays.
	Stays Promise = "stays"
	// Lives: no process ends by itself.
	Lives Promise = "lives"
)

// Broken is one broken promise.
type Broken struct {
	Promise Promise
	What    string
}

// String returns a line on it.
func (broken Broken) String() string { return string(broken.Promise) + ": " + broken.What }

// Judge returns the broken promises.
func Judge(records Records) []Broken {
	var found []Broken
	found = append(found, judgeRuns(records)...)
	for index := range records.Calls {
		found = append(found, judgeAnswer(&records.Calls[index])...)
	}
	found = append(found, judgeChanges(records)...)
	found = append(found, judgeStops(records)...)
	for _, process := range records.Ended {
		found = append(found, Broken{Lives, process})
	}
	return found
}

// judgeRuns looks for calls that ran too often, or although they were refused.
func judgeRuns(records Records) []Broken {
	var found []Broken
	runsByKey, ranByRequestID := map[string]int{}, map[string]Run{}
	for _, run := range records.Runs {
		ranByRequestID[run.RequestID] = run
		if run.Key != "" {
			runsByKey[run.Key]++
			if runsByKey[run.Key] == 2 {
				found = append(found, Broken{RunsOnce, fmt.Sprintf("key %s ran twice, the second time at %s as request %s", run.Key, run.Host, run.RequestID)})
			}
		}
	}
	for index := range records.Calls {
		call := &records.Calls[index]
		if call.Outcome != rest.OutcomeNotRun || call.RequestID == "" {
			continue
		}
		if run, ran := ranByRequestID[call.RequestID]; ran {
			found = append(found, Broken{NotRun, fmt.Sprintf("%s: status %d %s, but it ran at %s", describe(call), call.Status, strings.TrimSpace(call.Body), run.Host)})
		}
	}
	return found
}

// judgeAnswer looks at the content of one answer.
func judgeAnswer(call *Call) []Broken {
	if call.Status < 200 || call.Status > 299 {
		return nil
	}
	switch call.Kind {
	case Stream:
		return judgeStream(call)
	case Whole:
		return judgeWhole(call)
	default:
		return judgeService(call)
	}
}

func judgeService(call *Call) []Broken {
	if !call.Ended {
		return nil
	}
	var answer struct{ Nonce, Key string }
	if err := json.Unmarshal([]byte(call.Body), &answer); err != nil || answer.Nonce != call.Nonce || answer.Key != call.Key {
		return []Broken{{OwnAnswer, fmt.Sprintf("%s with key %q: answer %q", describe(call), call.Key, call.Body)}}
	}
	return nil
}

func judgeStream(call *Call) []Broken {
	var found []Broken
	for index, text := range call.Events {
		if text != engine.TokenText(call.Prompt, index+1) || index >= call.Tokens {
			found = append(found, Broken{OwnAnswer, fmt.Sprintf("%s: token %d is %q", describe(call), index+1, text)})
			break
		}
	}
	if call.Ended && !call.EndMark {
		found = append(found, Broken{EndMark, fmt.Sprintf("%s: ended after %d of %d tokens", describe(call), len(call.Events), call.Tokens)})
	}
	if call.EndMark && len(call.Events) != call.Tokens {
		found = append(found, Broken{OwnAnswer, fmt.Sprintf("%s: end mark after %d of %d tokens", describe(call), len(call.Events), call.Tokens)})
	}
	return found
}

func judgeWhole(call *Call) []Broken {
	if !call.Ended {
		return nil
	}
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	var want strings.Builder
	for index := range call.Tokens {
		want.WriteString(engine.TokenText(call.Prompt, index+1))
	}
	if err := json.Unmarshal([]byte(call.Body), &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Message.Content != want.String() {
		return []Broken{{OwnAnswer, fmt.Sprintf("%s: answer %q", describe(call), call.Body)}}
	}
	return nil
}

func describe(call *Call) string {
	return fmt.Sprintf("%s %s at %s, request %s", call.Kind, call.Nonce, call.Entry, call.RequestID)
}
