package entryapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"carobline.dev/caroblined/connection/entryapi"
	"carobline.dev/core/version/routing"
)

// Guards against a stream that breaks off at its endpoint while the host drains and isn't
// resumed, though new calls are refused.
func TestStreamResumesWhileTheHostDrains(t *testing.T) {
	var drain func()
	respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
		if request.Header.Get("Last-Event-Id") == "" {
			drain()
			_, _ = io.WriteString(connection, streamHead(request, "first")+chunk(event(1)))
			_ = connection.Close()
			return
		}
		_, _ = io.WriteString(connection, streamHead(request, "second")+chunk(event(2))+"0\r\n\r\n")
	}
	server := newEntryHost(t, route(routing.RepeatStream), newService(t, respond), newService(t, respond))
	drain = func() {
		server.Config.Handler.(*entryapi.API).Drain(time.Now(), time.Now().Add(5*time.Second))
	}
	if got, err := call(t, server, post("/a", "x")); err != nil || got.body != event(1)+event(2) {
		t.Errorf("%q, %v", got.body, err)
	}
	got, err := call(t, server, post("/a", "x"))
	if err != nil || got.status != http.StatusServiceUnavailable || !got.closes || got.header.Get("Retry-After") == "" {
		t.Errorf("a new call that may outlast the host: %+v, %v", got, err)
	}
}

// waitingCalls sends a call more than an endpoint has slots for, begins to drain the host while
// that one waits, and returns the answers and the number of calls that reached the endpoint.
func waitingCalls(t *testing.T, stopsIn time.Duration) (answers []answer, sent int) {
	t.Helper()
	const calls, slots = 9, 8
	release := make(chan struct{})
	service := newService(t, func(service *service, connection net.Conn, request *http.Request, number int) {
		<-release
		respondDone(service, connection, request, number)
	})
	server := newEntryHost(t, route(routing.RepeatNever), service)
	answers = make([]answer, calls)
	var callers sync.WaitGroup
	for number := range calls {
		callers.Go(func() {
			got, err := call(t, server, strings.Replace(post("/a", "x"), "Call-Id: c1", fmt.Sprintf("Call-Id: c%d", number), 1))
			if err != nil {
				t.Errorf("call %d: %v", number, err)
			}
			answers[number] = got
		})
	}
	api := server.Config.Handler.(*entryapi.API)
	deadline := time.Now().Add(10 * time.Second)
	for api.ActiveCalls() < calls || len(service.requests()) < slots {
		if time.Now().After(deadline) {
			t.Errorf("%d calls are active, %d have arrived; want %d and %d", api.ActiveCalls(), len(service.requests()), calls, slots)
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // until the last one waits for the endpoint
	if arrived := len(service.requests()); arrived >= calls {
		t.Errorf("%d calls run at an endpoint of %d slots; none waits", arrived, slots)
	}
	api.Drain(time.Now(), time.Now().Add(stopsIn))
	close(release)
	callers.Wait()
	return answers, len(service.requests())
}

// Guards against a call that waits for an endpoint when the host begins to drain and is
// refused, though it ends before the host stops.
func TestWaitingCallRunsWhileTheHostDrains(t *testing.T) {
	answers, _ := waitingCalls(t, time.Minute)
	for number, got := range answers {
		if got.body != "done" {
			t.Errorf("call %d: %+v", number, got)
		}
	}
}

// Guards against a call that must not repeat, waits for an endpoint when the host begins to
// drain, and is sent though it may outlast the host.
func TestWaitingCallThatMayOutlastTheHostIsRefused(t *testing.T) {
	answers, sent := waitingCalls(t, 5*time.Second)
	refused := 0
	for _, got := range answers {
		if got.status == http.StatusServiceUnavailable && got.closes {
			refused++
		}
	}
	if refused != 1 || sent != len(answers)-1 {
		t.Errorf("%d of %d calls refused and %d sent, want the one that waited refused", refused, len(answers), sent)
	}
}
