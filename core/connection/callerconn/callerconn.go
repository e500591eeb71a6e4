// Package callerconn accepts the connections of callers, and bounds on each what net/http bounds by
// constants only: the bytes and the time of a request's head, and the time between two requests.
// The limits may change at any time, also for connections that are open.
//
// # Usage
//
//	listener := callerconn.New(socket, callerconn.Config{Limits: limits, Account: account, Now: clock.Now})
//	server := &http.Server{ConnState: callerconn.StateChanged, ReadHeaderTimeout: -1, IdleTimeout: -1, MaxHeaderBytes: callerconn.NoHeadLimit}
//	go server.Serve(listener)
//	listener.SetLimits(changed)
package callerconn

import (
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"carobline.dev/core/process/memory"
)

const (
	// NoHeadLimit makes net/http leave the bound of a head to this package.
	NoHeadLimit = math.MaxInt32
	// headSlackBytes are taken beyond HeadBytes, for the request line, which isn't a header.
	headSlackBytes = 4 << 10
	// lingerTime is how long a connection is still read after a refusal: to close it at once would make
	// the caller's system discard the answer.
	lingerTime = 500 * time.Millisecond
	// lastLookTime is how long a connection whose idle time is over is looked at for bytes that
	// have arrived while this process wasn't running.
	lastLookTime = 20 * time.Millisecond
)

// Limits bound one request's head and the time before it. All must be above 0.
type Limits struct {
	// HeadBytes bounds the lines of a head after the first.
	HeadBytes int
	// HeadTime bounds the time from a head's first byte to its end, IdleTime that without a byte
	// between two requests, and FirstTime that before the first one.
	HeadTime, IdleTime, FirstTime time.Duration
}

// Config is fixed for the life of a listener.
type Config struct {
	// Limits are in force until SetLimits is called.
	Limits Limits
	// Account is charged for large heads. Nil bounds nothing.
	Account *memory.Account
	Now     func() time.Time
}

// Listener wraps the connections of another listener. It is safe for concurrent use.
type Listener struct {
	net.Listener

	config Config

	mutex  sync.Mutex
	limits Limits
	open   map[*Conn]struct{}
}

// New returns a listener for the connections of socket.
func New(socket net.Listener, config Config) *Listener {
	return &Listener{Listener: socket, config: config, limits: config.Limits, open: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks for the listener's own errors
	}
	return listener.wrap(accepted), nil
}

func (listener *Listener) wrap(accepted net.Conn) *Conn {
	conn := &Conn{Conn: accepted, listener: listener}
	listener.mutex.Lock()
	conn.limits = listener.limits
	listener.open[conn] = struct{}{}
	listener.mutex.Unlock()
	conn.await(time.Now(), true)
	return conn
}

// SetLimits puts limits in force, also for the connections that are open. A time that has become
// shorter counts from now on, since a caller that kept to the longer one may be about to send.
func (listener *Listener) SetLimits(limits Limits) {
	now := time.Now()
	for _, conn := range listener.change(limits) {
		conn.setLimits(now, limits)
	}
}

// change returns the open connections if the limits are others than before.
func (listener *Listener) change(limits Limits) []*Conn {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if listener.limits == limits {
		return nil
	}
	listener.limits = limits
	return slices.Collect(maps.Keys(listener.open))
}

func (listener *Listener) forget(conn *Conn) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	delete(listener.open, conn)
}

// StateChanged is what an http.Server calls, as its ConnState, when the state of a connection changes. It
// does nothing for a connection that isn't a *Conn.
func StateChanged(connection net.Conn, state http.ConnState) {
	conn, ok := connection.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.headEnded()
	case http.StateIdle:
		conn.await(time.Now(), false)
	case http.StateHijacked:
		// Whoever has it may close the wrapped connection.
		conn.release()
	case http.StateNew, http.StateClosed:
	}
}
