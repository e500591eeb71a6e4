package endpoint_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/process/memory"
)

// serveHeads answers each connection with a head of so many bytes and an empty body, or only the head's start.
func serveHeads(t *testing.T, headBytes int, ends bool) string {
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
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = connection.Read(make([]byte, 4<<10))
				end := ""
				if ends {
					end = "\r\n\r\n"
				}
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: %s%s", strings.Repeat("x", headBytes), end)
				_, _ = connection.Read(make([]byte, 1))
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against heads of answers that are bounded one by one and whose sum isn't, and against one that stays charged
// when its answer is over.
func TestHeadsAreCharged(t *testing.T) {
	for name, test := range map[string]struct {
		headBytes int
		processMB memory.Bytes
		charged   bool
		want      error
	}{
		"small":                 {1000, 64, false, nil},
		"large":                 {40_000, 64, true, nil},
		"large, without memory": {40_000, 0, false, memory.ErrNoRoom},
	} {
		t.Run(name, func(t *testing.T) {
			account := memory.New(memory.Config{Memory: max(test.processMB<<20, 64<<10)})
			transport := endpoint.New(endpoint.Config{Dial: (&net.Dialer{}).DialContext, Account: account, Now: time.Now})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, serveHeads(t, test.headBytes, true), http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			response, err := transport.RoundTrip(request)
			if !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if err == nil {
				if held := account.State().Held; (held >= memory.Bytes(test.headBytes)) != test.charged {
					t.Errorf("%d bytes are held for a head of %d, want it charged: %v", held, test.headBytes, test.charged)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			if held := account.State().Held; held != 0 {
				t.Errorf("%d bytes are held once the answer is over, want none", held)
			}
		})
	}
}
