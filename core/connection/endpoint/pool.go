package endpoint

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"carobline.dev/core/connection/fieldname"
)

// pool keeps unused connections. It gives a request none that has carried the request's id, so that an answer with this
// id can't be that to an earlier request.
type pool struct {
	// dialer opens connections. It sends no request itself.
	dialer      *http.Transport
	maxIdle     int
	idleTimeout time.Duration
	observe     func(Observation)

	mutex sync.Mutex
	// idleByAddress holds the unused connections, the one that was used last at the end.
	idleByAddress map[string][]*conn
	// closing is set from closeIdle to the next request. Connections that come back meanwhile are closed.
	closing bool
}

// take returns a connection for a request with an id: an unused one that hasn't carried the id, or a new one.
func (pool *pool) take(ctx context.Context, address, id string) (*conn, error) {
	for {
		conn := pool.takeIdle(address, id)
		if conn == nil {
			return pool.open(ctx, address)
		}
		if conn.client.Reserve() == nil {
			return conn, nil
		}
		_ = conn.client.Close()
	}
}

// takeIdle removes the unused connection that was used last and hasn't carried the id. It returns nil if there is none.
func (pool *pool) takeIdle(address, id string) *conn {
	taken, earlier := pool.findIdle(address, id)
	if earlier != nil {
		pool.observe(Observation{Oddity: SecondSend, Address: address, Request: id, Status: earlier.status})
	}
	return taken
}

// findIdle is takeIdle, and returns the request with the same id that a connection passed over has carried.
func (pool *pool) findIdle(address, id string) (taken *conn, earlier *sentRequest) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closing = false
	for _, conn := range slices.Backward(pool.idleByAddress[address]) {
		if sent := conn.history.find(id); sent != nil {
			earlier = sent
			continue
		}
		pool.remove(conn)
		return conn, earlier
	}
	return nil, earlier
}

// settle records that the request under way has its own answer, and that the connection may be kept once all of that
// has been read.
func (pool *pool) settle(conn *conn, answer *http.Response) {
	pool.mutex.Lock()
	conn.answer = answer
	pool.mutex.Unlock()
	pool.update(conn)
}

// update keeps or closes a connection whose answer has been read, and forgets an unused one that the endpoint has
// closed, or on which it has sent what no request asked for.
func (pool *pool) update(conn *conn) {
	pool.mutex.Lock()
	closed, available := conn.client.Err() != nil, conn.client.Available() > 0
	lost := closed && conn.idle
	finished := !closed && available && conn.answer != nil
	if lost {
		pool.remove(conn)
	}
	kept := finished && pool.put(conn)
	pool.mutex.Unlock()
	if lost && !conn.wire.readFailed() {
		pool.observe(Observation{Oddity: UnsolicitedAnswer, Address: conn.address})
	}
	if finished && !kept {
		_ = conn.client.Close()
	}
}

// put adds a connection to the unused ones. It returns false if it isn't kept. The caller holds the mutex.
func (pool *pool) put(conn *conn) bool {
	sound := fieldname.Check(conn.answer.Trailer) == nil
	conn.answer = nil
	idle := pool.idleByAddress[conn.address]
	if pool.closing || !sound || !conn.keepable() || len(idle) >= pool.maxIdle {
		return false
	}
	conn.idle = true
	pool.idleByAddress[conn.address] = append(idle, conn)
	if pool.idleTimeout > 0 {
		requests := len(conn.history)
		conn.expiry = time.AfterFunc(pool.idleTimeout, func() { pool.expire(conn, requests) })
	}
	return true
}

// expire closes a connection that has been unused since it had carried so many requests.
func (pool *pool) expire(conn *conn, requests int) {
	pool.mutex.Lock()
	expired := conn.idle && len(conn.history) == requests
	if expired {
		pool.remove(conn)
	}
	pool.mutex.Unlock()
	if expired {
		_ = conn.client.Close()
	}
}

// remove takes a connection from the unused ones. The caller holds the mutex.
func (pool *pool) remove(conn *conn) {
	conn.idle = false
	if conn.expiry != nil {
		// A timer that isn't stopped keeps the connection in memory until it ends.
		conn.expiry.Stop()
		conn.expiry = nil
	}
	idle := pool.idleByAddress[conn.address]
	index := slices.Index(idle, conn)
	idle = slices.Delete(idle, index, index+1)
	if len(idle) == 0 {
		delete(pool.idleByAddress, conn.address)
		return
	}
	pool.idleByAddress[conn.address] = idle
}

// closeIdle closes the unused connections.
func (pool *pool) closeIdle() {
	pool.mutex.Lock()
	pool.closing = true
	var unused []*conn
	for _, idle := range pool.idleByAddress {
		unused = append(unused, idle...)
	}
	for _, conn := range unused {
		pool.remove(conn)
	}
	pool.mutex.Unlock()
	for _, conn := range unused {
		_ = conn.client.Close()
	}
}
