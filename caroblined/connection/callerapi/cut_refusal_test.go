package callerapi_test

import (
	"net/http"
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
