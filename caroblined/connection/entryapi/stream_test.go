package entryapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobline.dev/core/version/routing"
)

func event(number int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", number, number) }

// chunk is one piece of an answer without a length.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

func streamHead(request *http.Request, mark string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nMark: " + mark + "\r\nCall-Id: " + request.Header.Get("Call-Id") + "\r\n\r\n"
}

// A stream that breaks off in the middle of an event resumes at another
// endpoint after the last complete event, with the first endpoint's headers.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	var lastEventIDs []string
	var mutex sync.Mutex
	respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
		mutex.Lock()
		defer mutex.Unlock()
		last := request.Header.Get("Last-Event-Id")
		lastEventIDs = append(lastEventIDs, last)
		if last == "" {
			_, _ = io.WriteString(connection, streamHead(request, "first")+chunk(event(1)+event(2))+chunk("id: 3\nda"))
			_ = connection.Close()
			return
		}
		_, _ = io.WriteString(connection, streamHead(request, "second")+chunk(event(3))+chunk(event(4))+"0\r\n\r\n")
	}
	server := newEntryHost(t, route(routing.RepeatStream), newService(t, respond), newService(t, respond))
	got, err := call(t, server, post("/a", "x"))
	if err != nil {
		t.Fatal(err)
	}
	if want := event(1) + event(2) + event(3) + event(4); got.body != want || got.header.Get("Mark") != "first" {
		t.Errorf("mark %q, body %q, want %q", got.header.Get("Mark"), got.body, want)
	}
	if !cmp.Equal(lastEventIDs, []string{"", "2"}) {
		t.Errorf("Last-Event-Id of the two sends: %q, want \"\" and \"2\"", lastEventIDs)
	}
}

// A stream that breaks off and can't be resumed must not look complete to the
// caller.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
		_, _ = io.WriteString(connection, streamHead(request, "m")+chunk(event(1)))
		_ = connection.Close()
	}
	routes := route(routing.RepeatStream)
	routes[0].Resumable = false
	service := newService(t, respond)
	server := newEntryHost(t, routes, service)
	if got, err := call(t, server, post("/a", "x")); err == nil {
		t.Errorf("the answer looks complete: %q", got.body)
	}
	if len(service.requests()) != 1 {
		t.Errorf("sent %d times, want once", len(service.requests()))
	}
}

// Guards against events that come twice since a stream of events without numbers was
// begun again at another endpoint.
func TestStreamOfEventsWithoutNumbersIsNotBegunAgain(t *testing.T) {
	for name, first := range map[string]script{
		"breaks off":          {breaksAfter: 2},
		"silent, then broken": {pauses: map[int]time.Duration{1: longPause}, breaksAfter: 2},
		"silent":              {pauses: map[int]time.Duration{2: longPause}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engines := &engines{events: 4, text: func(number int) string { return fmt.Sprintf("data: e%d\n\n", number) }}
			engines.script = func(number int, _ *http.Request) script {
				if number == 1 {
					return first
				}
				return script{}
			}
			server := newEntryHost(t, silentRoute(), engines.service(t), engines.service(t))
			got, err := call(t, server, post("/a", "x"))
			if first.breaksAfter == 0 {
				engines.wantWhole(t, got, err)
			}
			if first.breaksAfter > 0 && (err == nil || got.body != "data: e1\n\ndata: e2\n\n") {
				t.Errorf("error %v, body %q; want a broken answer of two events", err, got.body)
			}
			if runs := len(engines.allRuns()); runs != 1 {
				t.Errorf("%d runs, want 1", runs)
			}
		})
	}
}
