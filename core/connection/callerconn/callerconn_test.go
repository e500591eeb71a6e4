package callerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/callerconn"
	"carobline.dev/core/process/memory"
)

var limits = callerconn.Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second, FirstTime: 12 * time.Second}

// look is for how long more a connection is looked at once its time is over.
const look = 20 * time.Millisecond

// bodyTime is the server's own limit of the time from a head's first read to the end of the body.
const bodyTime = 40 * time.Second

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.connections:
		return connection, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// host is a server whose connections are pipes.
type host struct {
	pipes    *pipeListener
	listener *callerconn.Listener
	account  *memory.Account
}

// withHost runs a test with a server, whose handler reads the body and answers "done", in a bubble.
func withHost(t *testing.T, processMemory memory.Bytes, test func(t *testing.T, host *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		host := &host{
			pipes:   &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})},
			account: memory.New(memory.Config{Memory: processMemory}),
		}
		host.listener = callerconn.New(host.pipes, callerconn.Config{Limits: limits, Account: host.account, Now: time.Now})
		server := &http.Server{
			ConnState: callerconn.StateChanged, ReadHeaderTimeout: -1, IdleTimeout: -1, MaxHeaderBytes: callerconn.NoHeadLimit, ReadTimeout: bodyTime,
			Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(writer, "done")
			}),
		}
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(host.listener) })
		test(t, host)
		_ = server.Close()
		serving.Wait()
		synctest.Wait()
		if held := host.account.State().Held; held != 0 {
			t.Errorf("%d bytes are held once all connections have closed, want none", held)
		}
	})
}

// caller is one connection to a host.
type caller struct {
	net.Conn

	reader *bufio.Reader
}

func (host *host) connect() *caller {
	near, far := net.Pipe()
	host.pipes.connections <- far
	return &caller{near, bufio.NewReader(near)}
}

// call sends raw bytes, if there are any, and returns the status of the answer, or 0 if the connection closes without one.
func (caller *caller) call(raw string) int {
	var writing sync.WaitGroup
	defer writing.Wait()
	if raw != "" {
		writing.Go(func() { _, _ = io.WriteString(caller, raw) })
	}
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		_ = caller.Close()
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.Close {
		_ = caller.Close()
	}
	return response.StatusCode
}

func request(headerBytes int) string {
	return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nX: " + strings.Repeat("x", headerBytes) + "\r\n\r\nabc"
}

// Guards against a bound of heads that is declared and not in force (issue 39), and against one that is stricter.
func TestHeadBytes(t *testing.T) {
	for name, test := range map[string]struct{ bytes, want int }{
		"small": {10, 200}, "at the limit": {16<<10 - 10, 200}, "past it": {21 << 10, 431}, "far past it": {1 << 20, 431},
	} {
		t.Run(name, func(t *testing.T) {
			withHost(t, 284<<20, func(t *testing.T, host *host) {
				for range 2 {
					caller := host.connect()
					first := caller.call(request(test.bytes))
					if first != test.want {
						t.Errorf("a head of %d bytes: status %d, want %d", test.bytes, first, test.want)
					}
					if first == http.StatusOK && caller.call(request(test.bytes)) != test.want {
						t.Errorf("a second head of %d bytes on a connection: want %d", test.bytes, test.want)
					}
					_ = caller.Close()
				}
			})
		})
	}
}

// Guards against a head that never ends and keeps its connection.
func TestHeadTime(t *testing.T) {
	withHost(t, 284<<20, func(t *testing.T, host *host) {
		startedAt := time.Now()
		caller := host.connect()
		time.Sleep(10 * time.Second)
		begunAt := time.Now()
		if status := caller.call("POST /a HTT"); status != http.StatusRequestTimeout || time.Since(begunAt) != limits.HeadTime+look {
			t.Errorf("status %d after %v; want 408 %v after the first byte", status, time.Since(begunAt), limits.HeadTime)
		}
		if elapsed := time.Since(startedAt); elapsed != 13*time.Second+look {
			t.Errorf("closed after %v, want 13 s", elapsed)
		}
	})
}

// Guards against connections that are closed before the whole idle time, or kept longer.
func TestIdleTime(t *testing.T) {
	withHost(t, 284<<20, func(t *testing.T, host *host) {
		caller := host.connect()
		for _, pause := range []time.Duration{0, time.Second, limits.IdleTime * 4 / 5, limits.IdleTime - time.Millisecond} {
			time.Sleep(pause)
			if status := caller.call(request(10)); status != http.StatusOK {
				t.Fatalf("after %v without a request: status %d, want 200", pause, status)
			}
		}
		idleAt := time.Now()
		if _, err := caller.reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Fatalf("error %v, want the connection closed", err)
		}
		if elapsed := time.Since(idleAt); elapsed < limits.IdleTime || elapsed > limits.IdleTime+time.Second {
			t.Errorf("closed after %v without a request, want %v", elapsed, limits.IdleTime)
		}
	})
}

// Guards against connections without any request that are kept as long as those between two, and against a server's own
// limit of the time of a body that is lost.
func TestFirstTimeAndBodyTime(t *testing.T) {
	withHost(t, 284<<20, func(t *testing.T, host *host) {
		openedAt, caller := time.Now(), host.connect()
		if _, err := caller.reader.ReadByte(); !errors.Is(err, io.EOF) || time.Since(openedAt) != limits.FirstTime+look {
			t.Errorf("error %v after %v; want the connection closed after %v", err, time.Since(openedAt), limits.FirstTime)
		}
		openedAt, caller = time.Now(), host.connect()
		status := caller.call(strings.TrimSuffix(request(10), "c"))
		if elapsed := time.Since(openedAt); elapsed != bodyTime || status != http.StatusOK {
			t.Errorf("status %d for a body that stops after %v; want its reading ended after %v", status, elapsed, bodyTime)
		}
	})
}

// Guards against limits that only new connections get.
func TestChangedLimitsAreInForceOnOpenConnections(t *testing.T) {
	withHost(t, 284<<20, func(t *testing.T, host *host) {
		caller := host.connect()
		if status := caller.call(request(10 << 10)); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
		time.Sleep(10 * time.Second)
		other := host.connect()
		host.listener.SetLimits(callerconn.Limits{HeadBytes: 1 << 10, HeadTime: time.Second, IdleTime: 4 * time.Second, FirstTime: 4 * time.Second})
		changedAt := time.Now()
		time.Sleep(3 * time.Second)
		if status := other.call("POST /a HTT"); status != http.StatusRequestTimeout || time.Since(changedAt) != 4*time.Second+look {
			t.Errorf("status %d, %v after the change; want the head ended a second after its first byte", status, time.Since(changedAt))
		}
		caller = host.connect()
		if status := caller.call(request(10)); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
		host.listener.SetLimits(limits)
		time.Sleep(limits.IdleTime - time.Second)
		host.listener.SetLimits(callerconn.Limits{HeadBytes: 1 << 10, HeadTime: time.Second, IdleTime: 4 * time.Second, FirstTime: 4 * time.Second})
		time.Sleep(900 * time.Millisecond)
		if status := caller.call(request(10 << 10)); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d for a head past the changed limit, want 431", status)
		}
	})
}

// Guards against requests that come in one piece and of which the second is taken for a part of the first.
func TestPipelinedRequests(t *testing.T) {
	withHost(t, 284<<20, func(t *testing.T, host *host) {
		caller := host.connect()
		body := strings.Repeat("b", 100_000)
		large := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		var writing sync.WaitGroup
		writing.Go(func() { _, _ = io.WriteString(caller, request(10)+request(10)+large) })
		defer writing.Wait()
		for range 3 {
			if status := caller.call(""); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
		}
		_ = caller.Close()
	})
}

// Guards against heads whose sum isn't bounded: they are charged while they are read, one that has no room is
// refused as not run, and their bytes are given back when their calls end.
func TestHeadsAreCharged(t *testing.T) {
	withHost(t, 1<<20, func(t *testing.T, host *host) {
		var callers []*caller
		for range 100 {
			caller := host.connect()
			if _, err := io.WriteString(caller, strings.TrimSuffix(request(12<<10), "\r\n\r\nabc")); err != nil {
				break
			}
			callers = append(callers, caller)
		}
		synctest.Wait()
		state := host.account.State()
		if len(callers) == 100 || state.Held == 0 || state.Held > state.Limit {
			t.Errorf("%d of 100 heads are held with %d bytes; want some, within %d", len(callers), state.Held, state.Limit)
		}
		if status := host.connect().call(request(10)); status != http.StatusOK {
			t.Errorf("status %d for a small head beside them, want 200", status)
		}
		for _, caller := range callers {
			_ = caller.Close()
		}
		synctest.Wait()
		if status := host.connect().call(request(12 << 10)); status != http.StatusOK {
			t.Errorf("status %d for a large head once they are gone, want 200", status)
		}
	})
}
