package drawnendpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// Conn is one connection to an endpoint.
type Conn struct {
	endpoint *Endpoint
	// Number counts the connections of the endpoint from 0 on.
	Number int
	socket *net.TCPConn
	reader *bufio.Reader
	// gone is closed when the connection is served no more.
	gone chan struct{}

	mutex sync.Mutex
	// idle reports that the connection waits for another request.
	idle bool
	// tidy reports that nothing but whole answers in their places has been written, and that the
	// connection is to be used again.
	tidy bool
	// halfClosed reports that nothing can be written any more.
	halfClosed bool
	// history holds the answers that were written.
	history []answer
	// onNext is written when the first byte of the next request comes.
	onNext []Extra
	// endingOnNext is what becomes of the connection then.
	endingOnNext Ending
	// disturbed reports that something else than an interim answer was written when the latest
	// request began.
	disturbed bool
}

func newConn(endpoint *Endpoint, number int, socket *net.TCPConn) *Conn {
	return &Conn{endpoint: endpoint, Number: number, socket: socket, reader: bufio.NewReader(socket), gone: make(chan struct{}), tidy: true}
}

// Gone is closed when the connection is served no more.
func (conn *Conn) Gone() <-chan struct{} { return conn.gone }

// WriteExtra writes what isn't asked for.
func (conn *Conn) WriteExtra(extra Extra) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.tidy = false
	conn.write(conn.extraText(extra, ""))
}

// End ends a connection that waits for a request.
func (conn *Conn) End(ending Ending) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.tidy = conn.tidy && ending == Keep
	if !conn.end(ending) {
		_ = conn.socket.Close()
	}
}

// waits reports whether the connection waits for a request that isn't its first.
func (conn *Conn) waits() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.idle && !conn.halfClosed
}

// serve reads requests, and plays the scripts of each, until the connection ends.
func (conn *Conn) serve() {
	defer close(conn.gone)
	defer conn.leave()
	for {
		_, err := conn.reader.Peek(1)
		if err != nil || !conn.begin() {
			return
		}
		request, err := http.ReadRequest(conn.reader)
		if err != nil {
			conn.reportUnreadable(err)
			return
		}
		if !conn.answer(request) {
			return
		}
	}
}

// leave closes the connection, which is idle no more.
func (conn *Conn) leave() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = false
	_ = conn.socket.Close()
}

// begin records that a connection isn't idle any more, and writes what was to come with the
// next request. It reports whether that request is read.
func (conn *Conn) begin() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle, conn.disturbed = false, false
	for _, extra := range conn.onNext {
		text := conn.extraText(extra, "")
		conn.write(text)
		conn.disturbed = conn.disturbed || text != "" && extra != InterimAnswer
	}
	conn.onNext = nil
	if conn.endingOnNext == "" {
		return true
	}
	conn.disturbed = conn.disturbed || conn.endingOnNext == HalfClose
	return conn.end(conn.endingOnNext)
}

// answer hands a request over and plays its script. It reports whether the connection goes on.
func (conn *Conn) answer(request *http.Request) bool {
	arrival := newArrival(conn, request)
	defer close(arrival.played)
	if !arrival.Script.Early && !arrival.readBody() {
		return false
	}
	conn.endpoint.config.Arrived(arrival)
	select {
	case <-arrival.play:
	case <-conn.endpoint.closed:
		return false
	}
	if !conn.playScript(arrival) {
		return false
	}
	if arrival.Script.Early && !arrival.readBody() {
		return false
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idle = true
	return true
}

// reportUnreadable reports bytes that are no request. A connection may end within one.
func (conn *Conn) reportUnreadable(err error) {
	var network net.Error
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
	if !ended {
		conn.endpoint.config.Unreadable(err)
	}
}

// write writes text. The other side may have closed the connection, which shows when the next
// request is read.
func (conn *Conn) write(text string) {
	if text != "" {
		_, _ = io.WriteString(conn.socket, text)
	}
}

// Address returns the address of the connection's endpoint.
func (conn *Conn) Address() string { return conn.endpoint.Address() }
