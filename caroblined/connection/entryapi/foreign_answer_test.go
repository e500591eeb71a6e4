package entryapi_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/version/routing"
)

// wantNoCrash checks that a call which fails at a service is no sign that the service's process has ended.
func wantNoCrash(t *testing.T, respond func(*service, net.Conn, *http.Request, int)) {
	t.Helper()
	routes := route(routing.RepeatStream)
	routes[0].Attempts = 1
	entryHost := loggedOptions(nil).start(t, routes, newService(t, respond))
	got, err := call(t, entryHost.server, post("/a", "x", "Parts: aa:40,bb:800,cc:12"))
	if err != nil || got.status != http.StatusBadGateway {
		t.Errorf("status %d, %v; want 502", got.status, err)
	}
	time.Sleep(checkTime)
	if diff := cmp.Diff(0, len(entryHost.reported().Crashes)); diff != "" {
		t.Errorf("crashes reported: %s", diff)
	}
}

// Guards against parts of prompts that come under suspicion of having ended an endpoint's process, since that wrote an
// answer to another request, which shows that it runs.
func TestAnswerToAnotherRequestIsNoCrash(t *testing.T) {
	for name, answer := range map[string]string{
		"names another request": "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nCall-Id: other\r\nContent-Length: 0\r\n\r\n",
		"names none":            "HTTP/1.1 200 OK\r\nMark: m\r\nContent-Length: 4\r\n\r\ndone",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantNoCrash(t, func(_ *service, connection net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(connection, answer)
			})
		})
	}
}
