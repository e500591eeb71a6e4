package callerapi_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/connection/rest"
)

// Guards against an answer that its caller gets though the name of a field holds a blank (issue 61). A call that must not
// repeat is sent once, and may have run.
func TestBlankInAFieldsNameOfAServiceIsABrokenAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "\r\nContent-Length : 2\r\n\r\nevil", "refusal": "\r\nCarobline-Outcome : not_run\r\nContent-Length: 4\r\n\r\nevil",
		"trailer": "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nevil\r\n0\r\nTwo Words: a\r\n\r\n",
	} {
		for callName, broken := range brokenCalls {
			t.Run(name+", "+callName, func(t *testing.T) {
				t.Parallel()
				broken.check(t, cutconn.HalfCloses, "200 OK", answer, "x", "invalid name")
			})
		}
	}
}

// Guards against a completion whose engine's answer has a field with a blank in its name, and that is passed on, or is said
// not to have run.
func TestBlankInAFieldsNameOfAnEngineIsABrokenAnswer(t *testing.T) {
	const events = "id: 1\ndata: {\"choices\":[{\"text\":\"evil\"}]}\n\ndata: [DONE]\n\n"
	for status, answer := range map[string]string{
		"200 OK":          fmt.Sprintf("\r\nContent-Type: text/event-stream\r\nContent-Length : %d\r\n\r\n%s", len(events), events),
		"400 Bad Request": "\r\nTwo Words: a\r\nContent-Length: 4\r\n\r\nevil",
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			entryHost, _ := newCutHost(t, cutconn.HalfCloses, status, answer)
			got := entryHost.call(t, http.MethodPost, "/v1/chat/completions", `{"model":"pulp","messages":[{"content":"a"}],"max_tokens":1}`)
			if got.status != http.StatusBadGateway || got.outcome != string(rest.OutcomeUnknown) || strings.Contains(got.body, "evil") {
				t.Errorf("%+v; want 502 and an unknown outcome", got)
			}
		})
	}
}

// Guards against messages that come under suspicion of having ended an engine's process, since a field of its answer has a
// blank in its name, which shows that it runs.
func TestBlankInAFieldsNameIsNoCrash(t *testing.T) {
	// The stand-in goes on with the reason phrase after it.
	wantNoCrash(t, newOddEngine(t, "200 OK\r\nTwo Words: a\r\nPhrase:"))
}
