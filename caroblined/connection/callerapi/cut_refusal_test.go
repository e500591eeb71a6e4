package callerapi_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/connection/rest"
)

// Guards against a completion that is said not to have run, with a part of what its engine wrote: the answer broke off, and
// shows nothing of that.
func TestCutRefusalOfAnEngineIsNoRefusal(t *testing.T) {
	for _, how := range []cutconn.How{cutconn.WriteFails, cutconn.WriteFailsLater} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			entryHost, _ := newCutHost(t, how, "413 Content Too Large", "\r\n\r\npart")
			body := `{"model":"pulp","messages":[{"content":"` + strings.Repeat("x", 256<<10) + `"}],"max_tokens":1}`
			got := entryHost.call(t, http.MethodPost, "/v1/chat/completions", body)
			if got.status != http.StatusBadGateway || got.outcome != string(rest.OutcomeUnknown) || strings.Contains(got.body, "part") {
				t.Errorf("%+v; want 502 and an unknown outcome", got)
			}
		})
	}
}

// Guards against messages that come under suspicion of having ended an engine's process, since its refusal broke off: the
// engine had begun to answer.
func TestCutRefusalOfAnEngineIsNoCrash(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(rest.HeaderRequestID, request.Header.Get(rest.HeaderRequestID))
		writer.Header().Set("Content-Length", "100")
		writer.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(writer, "part")
		if err := http.NewResponseController(writer).Flush(); err != nil {
			t.Error(err)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(engine.Close)
	wantNoCrash(t, engine.Listener.Addr().String())
}
