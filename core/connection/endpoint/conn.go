package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// maxRequestsPerConn bounds the requests that one connection carries, and so what is kept of them.
const maxRequestsPerConn = 512

// conn is one connection to an endpoint. It carries one request at a time. Its fields belong to whoever has taken it
// from the pool, and to the pool while it is unused.
type conn struct {
	client  *http.ClientConn
	wire    *wire
	address string
	history history
	// startBytes is what had been written when the request under way began.
	startBytes int64
	// broke is set if the request under way failed with its connection, not by itself.
	broke bool
	// singleUse is set for a connection that isn't kept.
	singleUse bool

	// answer is that to the request under way, nil until it has come and once it has been read whole. idle is set while
	// the pool keeps the connection. expiry ends the time for which it is kept, and is nil while it is used. The pool's
	// mutex guards all three.
	answer *http.Response
	idle   bool
	expiry *time.Timer
}

// open dials an address.
func (pool *pool) open(ctx context.Context, address string) (*conn, error) {
	wire := newWire()
	client, err := pool.dialer.NewClientConn(context.WithValue(ctx, wireKey{}, wire), "http", address)
	if err != nil {
		return nil, err //nolint:wrapcheck // the caller names the step and the peer
	}
	if err := client.Reserve(); err != nil {
		_ = client.Close()
		return nil, errors.Wrap(err, "reserve a new connection")
	}
	conn := &conn{client: client, wire: wire, address: address}
	client.SetStateHook(func(*http.ClientConn) { pool.update(conn) })
	return conn, nil
}

// begin records that a request with an id is sent, whose answer's head is charged.
func (conn *conn) begin(request *http.Request, id string, head *headCharge) {
	conn.history = append(conn.history, sentRequest{id: hashOf(id)})
	conn.startBytes = conn.wire.writtenBytes()
	conn.wire.begin(bodyLength(request), head)
}

// bodyLength returns the length of a request's body in bytes, -1 if it isn't known.
func bodyLength(request *http.Request) int64 {
	switch {
	case request.Body == nil || request.Body == http.NoBody:
		return 0
	case request.ContentLength == 0:
		return -1
	default:
		return request.ContentLength
	}
}

// unsent reports that no byte of the request under way was written, once its round trip has failed.
func (conn *conn) unsent() bool { return conn.wire.writtenBytes() == conn.startBytes }

// reused reports that the connection carried other requests before the one under way.
func (conn *conn) reused() bool { return len(conn.history) > 1 }

// recordAnswer records the status of the answer to the request under way.
func (conn *conn) recordAnswer(status int) { conn.history[len(conn.history)-1].status = status }

// keepable reports whether the connection may carry more requests.
func (conn *conn) keepable() bool { return !conn.singleUse && len(conn.history) < maxRequestsPerConn }
