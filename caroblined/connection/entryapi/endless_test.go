package entryapi_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carobline.dev/core/version/routing"
)

const (
	// endlessTimeout is the time by which a call must be answered, and the
	// connection to the endpoint closed, well before the route's own timeout.
	endlessTimeout = 4 * time.Second
	// maxTakenBytes is the most that the entry host may take of an endless answer:
	// what it holds or passes on, and what the sockets buffer.
	maxTakenBytes = 32 << 20
)

// endlessService is an endpoint that never ends its answers.
type endlessService struct {
	*service
	taken  atomic.Int64
	closed chan struct{}
}

// newEndlessService writes head and then repeats block, with a pause after each,
// until the caller closes the connection.
func newEndlessService(t *testing.T, head, block string, pause time.Duration) *endlessService {
	endless := &endlessService{closed: make(chan struct{}, 100)}
	endless.service = newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
		text := strings.ReplaceAll(head, "ID", request.Header.Get("Call-Id"))
		for {
			count, err := io.WriteString(connection, text)
			endless.taken.Add(int64(count))
			if err != nil {
				endless.closed <- struct{}{}
				return
			}
			text = block
			time.Sleep(pause)
		}
	})
	return endless
}

// An endpoint may send bytes that are no answer and never end, in the head, a body or a
// stream of events. The caller gets a clear answer or a broken connection in time, what
// is taken is bounded, the connection is closed and not used again, and the endpoint is
// left for another one.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\nCall-Id: ID\r\nMark: m\r\n"
		events = ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		pause  = 20 * time.Millisecond
	)
	filler := strings.Repeat("x", 32<<10)
	chunk := func(data string) string { return "8000\r\n" + (data + filler)[:32<<10] + "\r\n" }
	for name, test := range map[string]struct {
		repeat      routing.Repeat
		head, block string
		pause       time.Duration
	}{
		"status line":                     {routing.RepeatSafe, "", filler, 0},
		"status line, slowly":             {routing.RepeatSafe, "", "x", pause},
		"header line":                     {routing.RepeatSafe, ok + "X: ", filler, 0},
		"header lines":                    {routing.RepeatNever, ok, "X: y\r\n", 0},
		"header lines, slowly":            {routing.RepeatStream, ok, "X: y\r\n", pause},
		"interim answers":                 {routing.RepeatSafe, "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		"body without length":             {routing.RepeatSafe, ok + "\r\n", filler, 0},
		"body without length, no repeat":  {routing.RepeatNever, ok + "\r\n", filler, 0},
		"body of great length":            {routing.RepeatSafe, ok + "Content-Length: 99999999999\r\n\r\n", filler, 0},
		"body in chunks":                  {routing.RepeatSafe, ok + "Transfer-Encoding: chunked\r\n\r\n", chunk(""), 0},
		"chunk size":                      {routing.RepeatSafe, ok + "Transfer-Encoding: chunked\r\n\r\n", "0000000000000000", 0},
		"trailers":                        {routing.RepeatSafe, ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", 0},
		"stream of one event":             {routing.RepeatStream, events, chunk("data: "), 0},
		"stream of one event, slowly":     {routing.RepeatStream, events, "1\r\nx\r\n", pause},
		"stream of lines that are none":   {routing.RepeatStream, events, chunk("x\n\n"), 0},
		"the same, slowly":                {routing.RepeatStream, events, "3\r\nx\n\n\r\n", pause},
		"stream of events without number": {routing.RepeatStream, events, chunk("data: x\n\n"), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endless := newEndlessService(t, test.head, test.block, test.pause)
			routes := route(test.repeat)
			routes[0].TimeoutMS, routes[0].TargetMS, routes[0].PauseMS = 20_000, 100, 100
			if strings.HasSuffix(name, "no repeat") || test.repeat == routing.RepeatNever {
				routes[0].TimeoutMS = 3000
			}
			server := newEntryHost(t, routes, endless.service)
			startedAt := time.Now()
			got, err := call(t, server, post("/a", "b"))
			if elapsed := time.Since(startedAt); elapsed > endlessTimeout {
				t.Errorf("the call took %v, want at most %v", elapsed, endlessTimeout)
			}
			if err == nil && (got.status < http.StatusInternalServerError || strings.TrimSpace(got.body) == "") {
				t.Errorf("the caller got a whole answer: status %d, %d bytes", got.status, len(got.body))
			}
			select {
			case <-endless.closed:
			case <-time.After(endlessTimeout):
				t.Error("the connection to the endpoint stays open")
			}
			if taken := endless.taken.Load(); taken > maxTakenBytes {
				t.Errorf("%d bytes were taken, want at most %d", taken, maxTakenBytes)
			}
			if requests := endless.requests(); len(requests) != 1 {
				t.Errorf("the endpoint got %d requests, want 1", len(requests))
			}
		})
	}
}

// After an endless answer the endpoint gets no calls while another one serves.
func TestEndpointWithAnswersWithoutEndIsLeft(t *testing.T) {
	t.Parallel()
	endless := newEndlessService(t, "", strings.Repeat("x", 32<<10), 0)
	healthy := newService(t, respondDone)
	routes := route(routing.RepeatSafe)
	routes[0].TargetMS, routes[0].PauseMS = 100, 100
	server := newEntryHost(t, routes, endless.service, healthy)
	for range 100 {
		if got, err := call(t, server, post("/a", "b")); err != nil || got.status != http.StatusOK {
			t.Fatalf("a call that may repeat got %+v, error %v; want the healthy endpoint's answer", got, err)
		}
	}
	if requests := len(endless.requests()); requests > 5 {
		t.Errorf("the endpoint got %d of 100 calls within a second", requests)
	}
}
