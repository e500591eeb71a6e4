package callerapi_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/view"
)

// newCutHost starts an entry host in front of two endpoints of a service and of a model, whose connections end in a way.
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
	current := newView()
	var hosts, groups []*view.Endpoint
	for index := range 2 {
		host := &view.Endpoint{
			Name: feed.Endpoint{Host: id.Host(fmt.Sprint("h", index))}, Service: "desk", Host: "h1", Address: "127.0.0.1:9", Load: roster.Load{Slots: 8},
			Accepting: true, ValidUntil: time.Now().Add(time.Hour),
		}
		group := *host
		group.Name, group.Service, group.Model = feed.Endpoint{Group: id.Group(fmt.Sprint("g", index))}, "", "pulp"
		hosts, groups = append(hosts, host), append(groups, &group)
		current.Endpoints[host.Name], current.Endpoints[group.Name] = host, &group
	}
	current.Services, current.Models = map[id.Service]*view.Set{"desk": view.NewSet(hosts)}, map[id.Model]*view.Set{"pulp": view.NewSet(groups)}
	started := &entryHost{server: httptest.NewServer(newAPI(t, current, endings.Dial).Handler())}
	t.Cleanup(started.server.Close)
	return started, sends
}

// Guards against a part of an answer that its caller gets as the whole, since the service reset the connection while the
// upload was being written (issue 61). A call that must not repeat is sent once, and may have run.
func TestAnswerOfAServiceCutInItsUploadIsABrokenAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		call      serviceCall
		status    int
		wantSends int64
	}{
		"lookup": {lookup, 200, 2}, "without a key": {quote, 502, 1}, "with a key": {keyQuote, 502, 1}, "must not repeat": {booking, 502, 1},
	} {
		for _, how := range []cutconn.How{cutconn.WriteFails, cutconn.WriteFailsLater} {
			for _, answer := range []string{"\r\n\r\npart", "\r\nContent-Type: text/event-stream\r\n\r\ndata: part\n\n"} {
				t.Run(fmt.Sprintf("%s, %s, %q", name, how, answer), func(t *testing.T) {
					t.Parallel()
					entryHost, sends := newCutHost(t, how, "200 OK", answer)
					got := entryHost.call(t, test.call.method, "/services/desk"+test.call.path, strings.Repeat("x", 256<<10), test.call.header...)
					if got.status != test.status || sends.Load() != test.wantSends || test.status != http.StatusOK && got.outcome != string(rest.OutcomeUnknown) {
						t.Errorf("%+v, %d sends; want %d, an unknown outcome, %d sends", got, sends.Load(), test.status, test.wantSends)
					}
					if test.status != http.StatusOK && !strings.Contains(got.body, "while the request was being written") {
						t.Errorf("%q; want what happened", got.body)
					}
				})
			}
		}
	}
}
