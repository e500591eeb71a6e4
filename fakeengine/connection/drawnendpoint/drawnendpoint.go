// Package drawnendpoint is a stand-in for an endpoint, for tests: what it writes on its
// connections, and when, is drawn from a seed. Besides sound answers and refusals it writes
// copies of earlier ones, answers that name another request or none, and bytes that are no
// answer, and it closes connections at any point. It records what it ran.
//
// # Usage
//
//	endpoint, err := drawnendpoint.New(drawnendpoint.Config{Names: names, Script: script, Arrived: arrived, Unreadable: unreadable})
//	arrival.Play() // writes the answer in the script of an arrived request
//	for _, conn := range endpoint.Idle() { conn.WriteExtra(extra) }
//	endpoint.Close()
package drawnendpoint

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// Names are the names of the headers that the endpoint reads and sets.
type Names struct {
	// RequestID identifies a request, and is repeated in its answer.
	RequestID string
	// NotRun states that the endpoint hasn't run the request, if its value is NotRunValue.
	NotRun, NotRunValue string
	// Mark marks an answer as the endpoint's own.
	Mark string
	// Sent identifies one send of a caller. Several may have the same id. It may be the header of the
	// id where no two have.
	Sent string
	// LastEventID is the id of the event after which a stream resumes.
	LastEventID string
}

// Config is fixed for the life of an endpoint. Its functions are called on the goroutines of
// connections.
type Config struct {
	Names Names
	// Script returns what is written for a request of a send.
	Script func(sent string) Script
	// Arrived is called for each request that has been read, before it is answered.
	Arrived func(*Arrival)
	// Unreadable is called for bytes that are no request.
	Unreadable func(error)
}

// Endpoint accepts connections and answers by its scripts.
type Endpoint struct {
	config   Config
	listener net.Listener
	closed   chan struct{}

	goroutines sync.WaitGroup

	mutex sync.Mutex
	conns []*Conn
}

// New returns an endpoint at an address of its own.
func New(config Config) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	endpoint := &Endpoint{config: config, listener: listener, closed: make(chan struct{})}
	endpoint.goroutines.Go(endpoint.accept)
	return endpoint, nil
}

// Dial is net.Dialer's, for connections that are reset when they are closed: hundreds of plays would
// else use up the machine's ports, which stay in use for a minute after each other close.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // the transport looks for the dialer's own errors
	}
	_ = connection.(*net.TCPConn).SetLinger(0)
	return connection, nil
}

// Address returns the endpoint's address.
func (endpoint *Endpoint) Address() string { return endpoint.listener.Addr().String() }

// Idle returns the connections that have carried a request and wait for another one, in the order
// in which they were opened.
func (endpoint *Endpoint) Idle() []*Conn {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(endpoint.conns), func(conn *Conn) bool { return !conn.waits() })
}

// Close closes all connections and waits until nothing goes on.
func (endpoint *Endpoint) Close() {
	close(endpoint.closed)
	_ = endpoint.listener.Close()
	endpoint.mutex.Lock()
	for _, conn := range endpoint.conns {
		_ = conn.socket.SetLinger(0)
		_ = conn.socket.Close()
	}
	endpoint.mutex.Unlock()
	endpoint.goroutines.Wait()
}

func (endpoint *Endpoint) accept() {
	for {
		accepted, err := endpoint.listener.Accept()
		if err != nil {
			return
		}
		endpoint.serve(accepted.(*net.TCPConn))
	}
}

// serve starts to serve a connection, unless the endpoint is closed.
func (endpoint *Endpoint) serve(socket *net.TCPConn) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	select {
	case <-endpoint.closed:
		_ = socket.Close()
		return
	default:
	}
	conn := newConn(endpoint, len(endpoint.conns), socket)
	endpoint.conns = append(endpoint.conns, conn)
	endpoint.goroutines.Go(conn.serve)
}
