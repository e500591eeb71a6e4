// Package cutconn is a stand-in for the connection to an endpoint that reads the head of a request and a part of
// its body, answers, and ends the connection while the rest is being written. On a socket it is a race whether the
// write or the read takes the error of a reset; here the write takes it each time, and the read sees an orderly end.
//
// # Usage
//
//	endings := cutconn.Endings{Answer: answer, How: cutconn.WriteFails}
//	transport := endpoint.New(endpoint.Config{Dial: endings.Dial})
package cutconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// takenBytes is how much of a request an endpoint takes. What is within them is taken whole.
	takenBytes = 64 << 10
	// returnTime is the time between the return of a failed write and the end that is read, or between that end and the
	// return of the write.
	returnTime = 20 * time.Millisecond
)

// How is the way in which a connection ends.
type How string

// The ways in which a connection ends.
const (
	// WriteFails is a reset whose error a write has returned before the end is read.
	WriteFails How = "write_fails"
	// WriteFailsLater is a reset whose error a write has taken, but returns only after the end is read.
	WriteFailsLater How = "write_fails_later"
	// HalfCloses is an orderly end of what the endpoint sends. It takes no more of the request.
	HalfCloses How = "half_closes"
)

// Endings is what the endpoint of each connection does. Its connections carry one request each.
type Endings struct {
	// Answer returns all bytes of the answer to a request, of which the head has come.
	Answer func(head *http.Request) string
	How    How
}

// Dial returns a connection for endpoint.Config.
func (endings Endings) Dial(context.Context, string, string) (net.Conn, error) {
	return &conn{
		endings: endings, answered: newSignal(), drained: newSignal(), failed: newSignal(), expired: newSignal(), closed: newSignal(),
	}, nil
}

// signal is something that happens once. Whoever waits for it receives from done.
type signal struct {
	once sync.Once
	done chan struct{}
}

func newSignal() *signal { return &signal{done: make(chan struct{})} }

func (signal *signal) send() { signal.once.Do(func() { close(signal.done) }) }

// conn is one connection.
type conn struct {
	net.Conn
	endings Endings
	// taken is what the endpoint has of the request, and request is its head once that has come. They belong to the writer.
	taken   []byte
	request *http.Request
	// answer is what hasn't been read of the answer, from answered on. It belongs to the reader.
	answer []byte

	answered, drained, failed, expired, closed *signal
}

// Write implements io.Writer.
func (conn *conn) Write(data []byte) (int, error) {
	fits := min(len(data), takenBytes-len(conn.taken))
	conn.taken = append(conn.taken, data[:fits]...)
	conn.answerHead()
	if fits == len(data) {
		return fits, nil
	}
	select {
	case <-conn.drained.done:
	case <-conn.closed.done:
		return fits, net.ErrClosed
	}
	if conn.endings.How == HalfCloses {
		select {
		case <-conn.expired.done:
			return fits, os.ErrDeadlineExceeded
		case <-conn.closed.done:
			return fits, net.ErrClosed
		}
	}
	conn.failed.send()
	if conn.endings.How == WriteFailsLater {
		time.Sleep(returnTime)
	}
	return fits, syscall.ECONNRESET
}

// answerHead answers once the head of the request has come.
func (conn *conn) answerHead() {
	if conn.request != nil || !bytes.Contains(conn.taken, []byte("\r\n\r\n")) {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(conn.taken)))
	if err != nil {
		_ = conn.Close()
		return
	}
	conn.request, conn.answer = request, []byte(conn.endings.Answer(request))
	conn.answered.send()
}

// Read implements io.Reader.
func (conn *conn) Read(data []byte) (int, error) {
	select {
	case <-conn.answered.done:
	case <-conn.closed.done:
		return 0, net.ErrClosed
	}
	if len(conn.answer) > 0 {
		count := copy(data, conn.answer)
		conn.answer = conn.answer[count:]
		return count, nil
	}
	conn.drained.send()
	if conn.endings.How != HalfCloses {
		<-conn.failed.done
	}
	if conn.endings.How == WriteFails {
		time.Sleep(returnTime)
	}
	return 0, io.EOF
}

// SetWriteDeadline implements net.Conn for a deadline that has passed.
func (conn *conn) SetWriteDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		conn.expired.send()
	}
	return nil
}

// Close implements io.Closer.
func (conn *conn) Close() error {
	conn.closed.send()
	// A read that waits for the failure of a write would wait for ever.
	conn.failed.send()
	return nil
}
