package callerapi_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"carobline.dev/caroblined/request/partsguard"
	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/connection/rest"
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

// newEngineHost starts an entry host in front of an engine at an address.
func newEngineHost(t *testing.T, engine string) (*entryHost, *partsguard.Guard) {
	t.Helper()
	api, guard := newAPIAt(t, newViewOf(addressedHost{"h1", engine}), (&net.Dialer{}).DialContext, time.Now)
	host := &entryHost{server: httptest.NewServer(api.Handler())}
	t.Cleanup(host.server.Close)
	return host, guard
}

// Guards against a completion that ends without an answer, or with an engine's invalid status.
func TestInvalidStatusOfAnEngineIsABrokenAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "020", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			host, _ := newEngineHost(t, newOddEngine(t, status))
			got := host.call(t, http.MethodPost, "/v1/chat/completions", `{"model":"pulp","messages":[{"content":"a"}],"max_tokens":1}`)
			if got.status != http.StatusBadGateway {
				t.Errorf("%+v; want 502", got)
			}
		})
	}
}

// Guards against a call to a plain service that ends with an invalid status, or is sent again though it must not repeat.
func TestInvalidStatusOfAServiceIsABrokenAnswer(t *testing.T) {
	for name, broken := range brokenCalls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken.check(t, cutconn.HalfCloses, "000 Odd", "\r\nContent-Length: 4\r\n\r\nevil", "x", "invalid status")
		})
	}
}
