package endpoint_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
)

const (
	// sendHeader names one send, which an answer's body repeats: an id may be sent several times.
	sendHeader = "Send"
	// stressSenders and sendsPerSender are the load, stressIDs how many ids it has.
	stressSenders, sendsPerSender, stressIDs = 24, 100, 40
	// longBodyBytes is more than the buffers of a connection take.
	longBodyBytes = 8 << 20
	// settleTime bounds the wait for connections and goroutines to end.
	settleTime = 3 * time.Second
)

// load sends requests and checks their answers.
type load struct {
	t         *testing.T
	url       string
	transport *endpoint.Transport

	open, sends            atomic.Int64
	own, foreign, otherErr atomic.Int64
	mutex                  sync.Mutex
	unsent                 []string
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (conn *countedConn) Close() error {
	conn.once.Do(func() { conn.open.Add(-1) })
	return conn.Conn.Close()
}

func (load *load) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	// A connection that is reset when it is closed keeps no port for a minute.
	_ = connection.(*net.TCPConn).SetLinger(0)
	load.open.Add(1)
	return &countedConn{Conn: connection, open: &load.open}, nil
}

// send sends one request, by chance in one of the forms that there are.
func (load *load) send(random *rand.Rand) {
	send := strconv.FormatInt(load.sends.Add(1), 10)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	method, body := http.MethodPost, send
	switch chance := random.IntN(400); {
	case chance == 0:
		body += strings.Repeat("x", longBodyBytes)
	case chance < 40:
		method, body = http.MethodHead, ""
	case chance < 80:
		body = ""
	}
	request, err := http.NewRequestWithContext(ctx, method, load.url, strings.NewReader(body))
	if err != nil {
		load.t.Error(err)
		return
	}
	if random.IntN(10) > 0 {
		request.Header.Set(idHeader, strconv.Itoa(random.IntN(stressIDs)))
	}
	request.Header.Set(sendHeader, send)
	request.Close = random.IntN(20) == 0
	if random.IntN(10) == 0 {
		time.AfterFunc(time.Duration(random.IntN(1500))*time.Microsecond, cancel)
	}
	response, err := load.transport.RoundTrip(request)
	if err != nil {
		load.recordFailure(send, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header.Get(sendHeader); got != send {
		load.t.Errorf("send %s has the answer to send %s, status %s", send, got, response.Status)
	}
	if random.IntN(10) == 0 {
		return
	}
	if data, err := io.ReadAll(response.Body); err == nil && len(data) > 0 && string(data) != "own "+send {
		load.t.Errorf("send %s has the answer %q", send, data)
	}
	load.own.Add(1)
}

func (load *load) recordFailure(send string, err error) {
	switch {
	case endpoint.Unsent(err):
		load.mutex.Lock()
		defer load.mutex.Unlock()
		load.unsent = append(load.unsent, send)
	case errors.Is(err, endpoint.ErrForeignAnswer):
		load.foreign.Add(1)
	default:
		load.otherErr.Add(1)
	}
}

// run sends from several goroutines, and drops unused connections meanwhile.
func (load *load) run(seed uint64) {
	var senders sync.WaitGroup
	for sender := range stressSenders {
		senders.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(sender))) //nolint:gosec // a seeded test
			for range sendsPerSender {
				load.send(random)
				if random.IntN(200) == 0 {
					load.transport.CloseIdleConnections()
				}
			}
		})
	}
	senders.Wait()
}

// waitFor waits until a count is what is wanted.
func waitFor(t *testing.T, name string, want int, count func() int) {
	t.Helper()
	for deadline := time.Now().Add(settleTime); count() > want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("%d %s, want %d", count(), name, want)
			return
		}
	}
}

// Guards against a pool that gives a connection to two requests, or to a request whose id it has carried, that passes
// on an answer to another send, calls a send unsent that has arrived, or loses connections or goroutines.
func TestPoolBesideAnUnrulyEndpoint(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { playUnruly(t, seed) })
	}
}

func playUnruly(t *testing.T, seed uint64) {
	goroutines := runtime.NumGoroutine()
	unruly := newUnruly(t, seed)
	load := &load{t: t, url: "http://" + unruly.listener.Addr().String()}
	load.transport = endpoint.New(endpoint.Config{Dial: load.dial, MaxIdlePerHost: 8, IdleTimeout: 5 * time.Millisecond, IDHeader: idHeader})
	load.run(seed)
	waitFor(t, "connections that aren't in use and aren't kept", 0, func() int { return int(load.open.Load()) - endpoint.Kept(load.transport) })
	load.transport.CloseIdleConnections()
	waitFor(t, "open connections", 0, func() int { return int(load.open.Load()) })
	unruly.close()
	waitFor(t, "goroutines", goroutines, runtime.NumGoroutine)
	for _, send := range load.unsent {
		if unruly.sends[send] {
			t.Errorf("send %s has arrived and counts as unsent", send)
		}
	}
	t.Logf("%d sends: %d own answers, %d foreign ones, %d unsent, %d other failures", load.sends.Load(), load.own.Load(), load.foreign.Load(), len(load.unsent), load.otherErr.Load())
}
