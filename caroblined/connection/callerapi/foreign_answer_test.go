package callerapi_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/member"
)

// Guards against messages that come under suspicion of having ended an engine's process, since that wrote an answer to
// another request, which shows that it runs.
func TestAnswerToAnotherCompletionIsNoCrash(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(rest.HeaderRequestID, "other")
		_, _ = io.WriteString(writer, "data: [DONE]\n\n")
	}))
	t.Cleanup(engine.Close)
	wantNoCrash(t, engine.Listener.Addr().String())
}

// wantNoCrash checks that a completion which fails at an engine is no sign that the engine's process has ended.
func wantNoCrash(t *testing.T, engine string) {
	t.Helper()
	const checkTime = 300 * time.Millisecond // longer than it takes to find out whether a process has ended
	host, guard := newEngineHost(t, engine)
	got := host.call(t, http.MethodPost, "/v1/chat/completions", `{"model":"pulp","messages":[{"content":"a"},{"content":"b"}],"max_tokens":1}`)
	if got.status != http.StatusBadGateway {
		t.Errorf("%+v; want 502", got)
	}
	time.Sleep(checkTime)
	var usage member.UsageReported
	if guard.Report(&usage); len(usage.Crashes) != 0 {
		t.Errorf("%d crashes are reported, want none", len(usage.Crashes))
	}
}
