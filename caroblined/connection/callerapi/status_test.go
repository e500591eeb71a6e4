package callerapi_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/view"
)

// newOddEngine starts an engine that answers each request with a status, and returns its address.
func newOddEngine(t *testing.T, status string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s Odd\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, rest.HeaderRequestID, request.Header.Get(rest.HeaderRequestID))
			}
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against a completion that ends without an answer, or with an engine's invalid status.
func TestInvalidStatusOfAnEngineIsABrokenAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			group := &view.Endpoint{
				Name: feed.Endpoint{Group: "g1"}, Model: "pulp", Host: "h1", Address: newOddEngine(t, status), Load: roster.Load{Slots: 8},
				Accepting: true, ValidUntil: time.Now().Add(time.Hour),
			}
			current := newView()
			current.Endpoints[group.Name] = group
			current.Models = map[id.Model]*view.Set{"pulp": view.NewSet([]*view.Endpoint{group})}
			api, _ := newAPIAt(t, current, (&net.Dialer{}).DialContext, time.Now)
			host := &entryHost{server: httptest.NewServer(api.Handler())}
			t.Cleanup(host.server.Close)
			got := host.call(t, http.MethodPost, "/v1/chat/completions", `{"model":"pulp","messages":[{"content":"a"}],"max_tokens":1}`)
			if got.status != http.StatusBadGateway {
				t.Errorf("%+v; want 502", got)
			}
		})
	}
}

// Guards against a call to a plain service that ends with an invalid status, or is sent again though it must not repeat.
func TestInvalidStatusOfAServiceIsABrokenAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		call      serviceCall
		status    int
		wantSends int64
	}{"lookup": {lookup, 200, 2}, "without a key": {quote, 502, 1}, "with a key": {keyQuote, 502, 1}, "must not repeat": {booking, 502, 1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entryHost, sends := newCutHost(t, cutconn.HalfCloses, "000 Odd", "\r\nContent-Length: 4\r\n\r\nevil")
			got := entryHost.call(t, test.call.method, "/services/desk"+test.call.path, "x", test.call.header...)
			if got.status != test.status || sends.Load() != test.wantSends || test.status != http.StatusOK && got.outcome != string(rest.OutcomeUnknown) {
				t.Errorf("%+v, %d sends; want %d, %d sends", got, sends.Load(), test.status, test.wantSends)
			}
		})
	}
}
