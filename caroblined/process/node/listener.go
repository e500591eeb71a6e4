package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/callerconn"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/version/routing"
)

const (
	// headerTimeout bounds the reading of one request's header, idleTimeout the time
	// between two requests on one connection. They apply to all listeners, on that
	// of callers where the declaration sets no limit.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// busyPollInterval is the pause between two checks whether a connection is busy.
	busyPollInterval = 20 * time.Millisecond
)

// listener serves HTTP at one address.
type listener struct {
	socket net.Listener
	server *http.Server
	// callers is nil but for the listener of callers, of which it bounds the connections.
	callers *callerconn.Listener

	mutex sync.Mutex
	// busy holds the connections that have a request in progress, or have not had
	// one yet.
	busy map[net.Conn]struct{}
	// closing is set before the listener closes its socket itself.
	closing bool
}

func listen(address string, handler http.Handler) (*listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	listener := &listener{socket: socket, busy: map[net.Conn]struct{}{}}
	listener.server = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: listener.connStateChanged,
	}
	return listener, nil
}

// boundCallers puts the declared limits of callers in force, in place of the constants. It is called before serve.
func (listener *listener) boundCallers(account *memory.Account, now func() time.Time) {
	listener.callers = callerconn.New(listener.socket, callerconn.Config{Limits: callerLimits(routing.Limits{}), Account: account, Now: now})
	listener.socket = listener.callers
	listener.server.ReadHeaderTimeout, listener.server.IdleTimeout, listener.server.MaxHeaderBytes = -1, -1, callerconn.NoHeadLimit
}

// callerLimits returns what bounds callers by a declaration.
func callerLimits(declared routing.Limits) callerconn.Limits {
	limits := callerconn.Limits{HeadBytes: http.DefaultMaxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout, FirstTime: headerTimeout}
	if declared.HeaderBytes > 0 {
		limits.HeadBytes = declared.HeaderBytes
	}
	if declared.HeaderTimeoutMS > 0 {
		limits.HeadTime = time.Duration(declared.HeaderTimeoutMS) * time.Millisecond
	}
	if declared.IdleTimeoutMS > 0 {
		limits.IdleTime = time.Duration(declared.IdleTimeoutMS) * time.Millisecond
		limits.FirstTime = limits.IdleTime
	}
	return limits
}

func (listener *listener) connStateChanged(connection net.Conn, state http.ConnState) {
	callerconn.StateChanged(connection, state)
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if state == http.StateNew || state == http.StateActive {
		listener.busy[connection] = struct{}{}
	} else {
		delete(listener.busy, connection)
	}
}

// serve accepts connections until the listener closes. It returns nil unless it was
// closed by something else.
func (listener *listener) serve() error {
	err := listener.server.Serve(listener.socket)
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if listener.closing {
		return nil
	}
	return errors.Wrapf(err, "serve at %s", listener.socket.Addr())
}

// stopAccepting closes the socket. Open connections are served on: the shutdown of
// net/http, in contrast, reads a request that comes now and closes its connection
// without an answer.
func (listener *listener) stopAccepting() error {
	listener.mutex.Lock()
	listener.closing = true
	listener.mutex.Unlock()
	return listener.socket.Close()
}

// drain waits until no connection has a request in progress or is new, and then closes
// the others. It returns sooner when ctx ends.
func (listener *listener) drain(ctx context.Context) {
	for listener.anyBusy() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(busyPollInterval):
		}
	}
	// Fails when a request has come in between that still runs when ctx ends.
	_ = listener.server.Shutdown(ctx)
}

func (listener *listener) anyBusy() bool {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	return len(listener.busy) > 0
}

// close closes the socket and the idle connections, and breaks off the requests that
// still run when ctx ends.
func (listener *listener) close(ctx context.Context) {
	listener.mutex.Lock()
	listener.closing = true
	listener.mutex.Unlock()
	if listener.server.Shutdown(ctx) != nil {
		_ = listener.server.Close()
	}
}
