package callerapi_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/connection/rest"
)

// newCutHost starts an entry host in front of two hosts of a service and of a model, whose connections end in a way.
// The first send gets an answer, later ones get a whole one. It returns the number of sends too.
func newCutHost(t *testing.T, how cutconn.How, status, answer string) (*entryHost, *atomic.Int64) {
	t.Helper()
	sends := &atomic.Int64{}
	endings := cutconn.Endings{How: how, Answer: func(request *http.Request) string {
		own := "\r\n" + rest.HeaderRequestID + ": " + request.Header.Get(rest.HeaderRequestID)
		if sends.Add(1) > 1 {
			return "HTTP/1.1 200 OK" + own + "\r\nContent-Length: 4\r\n\r\ndone"
		}
		return "HTTP/1.1 " + status + own + answer
	}}
	current := newViewOf(addressedHost{"h0", "127.0.0.1:9"}, addressedHost{"h1", "127.0.0.1:9"})
	started := &entryHost{server: httptest.NewServer(newAPI(t, current, endings.Dial).Handler())}
	t.Cleanup(started.server.Close)
	return started, sends
}

// brokenCall is a call to a plain service whose first answer is broken, and what it comes to.
type brokenCall struct {
	call       serviceCall
	wantStatus int
	wantSends  int64
}

var brokenCalls = map[string]brokenCall{
	"lookup": {lookup, 200, 2}, "without a key": {quote, 502, 1}, "with a key": {keyQuote, 502, 1}, "must not repeat": {booking, 502, 1},
}

// check makes the call at a new entry host. A caller who gets no answer must get an unknown outcome, and the cause.
func (broken brokenCall) check(t *testing.T, how cutconn.How, status, answer, body, cause string) {
	t.Helper()
	entryHost, sends := newCutHost(t, how, status, answer)
	got := entryHost.call(t, broken.call.method, "/services/desk"+broken.call.path, body, broken.call.header...)
	if got.status != broken.wantStatus || sends.Load() != broken.wantSends || strings.Contains(got.body, "evil") {
		t.Errorf("%+v, %d sends; want %d, %d sends", got, sends.Load(), broken.wantStatus, broken.wantSends)
	}
	if broken.wantStatus != http.StatusOK && (got.outcome != string(rest.OutcomeUnknown) || !strings.Contains(got.body, cause)) {
		t.Errorf("%+v; want an unknown outcome, and %q", got, cause)
	}
}

// Guards against a part of an answer that its caller gets as the whole, since the service reset the connection while the
// upload was being written (issue 61). A call that must not repeat is sent once, and may have run.
func TestAnswerOfAServiceCutInItsUploadIsABrokenAnswer(t *testing.T) {
	for name, broken := range brokenCalls {
		for _, how := range []cutconn.How{cutconn.WriteFails, cutconn.WriteFailsLater} {
			for _, answer := range []string{"\r\n\r\nevil", "\r\nContent-Type: text/event-stream\r\n\r\ndata: evil\n\n"} {
				t.Run(fmt.Sprintf("%s, %s, %q", name, how, answer), func(t *testing.T) {
					t.Parallel()
					broken.check(t, how, "200 OK", answer, strings.Repeat("x", 256<<10), "while the request was being written")
				})
			}
		}
	}
}
