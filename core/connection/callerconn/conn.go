package callerconn

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/headsize"
	"carobline.dev/core/process/memory"
)

// phase is what a connection is read for.
type phase int

const (
	// phaseIdle: no byte of the next head has come.
	phaseIdle phase = iota
	// phaseHead: a head has begun.
	phaseHead
	// phaseCall: the head has ended. The server sets the deadlines of reads itself.
	phaseCall
)

// The answers to a head that isn't read to its end. Nothing of such a request has run.
const (
	answerHeadTooLarge = "431 Request Header Fields Too Large"
	answerTimeout      = "408 Request Timeout"
	answerNoMemory     = "503 Service Unavailable"
	retryAfterSeconds  = "0.500"
)

// Conn is the connection of one caller.
type Conn struct {
	net.Conn

	listener *Listener

	mutex  sync.Mutex
	limits Limits
	phase  phase
	// since is when the phase began, deadline when it has to end.
	since, deadline time.Time
	// headBytes is what has been read of the head.
	headBytes int
	// headSize is what it takes of memory.
	headSize headsize.Size
	// charge is what the head holds of the account, until the call ends. It is nil for a small one.
	charge *memory.Charge
	// ended reports that the charge was asked to give way.
	ended bool
	// first reports that no request has come on the connection.
	first bool
	// callDeadline is the deadline that the server has set for the reads of a call.
	callDeadline time.Time
	// lookedAgain reports that the request's time was over once.
	lookedAgain bool
}

// NetConn returns the wrapped connection.
func (conn *Conn) NetConn() net.Conn { return conn.Conn }

// CloseWrite closes the writing side, by which net/http lets a caller read the last answer.
func (conn *Conn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite() //nolint:wrapcheck // the connection's own error
	}
	return nil
}

// Close closes the connection, and gives back what its head holds.
func (conn *Conn) Close() error {
	conn.release()
	return conn.Conn.Close() //nolint:wrapcheck // the connection's own error
}

// release gives back what the connection's head holds, and ends the listener's hold of it.
func (conn *Conn) release() {
	conn.listener.forget(conn)
	conn.mutex.Lock()
	charge := conn.charge
	conn.charge = nil
	conn.mutex.Unlock()
	charge.Close()
}

// SetReadDeadline sets the deadline of reads while a call runs. Before, the limits set it, and the server's
// takes effect once the head has ended.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.callDeadline = deadline
	if conn.phase != phaseCall {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // the connection's own error
}

// await begins the time without a request, the first one or another, and gives back what the last one's head held.
func (conn *Conn) await(now time.Time, first bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.charge.Close()
	conn.charge, conn.ended, conn.lookedAgain, conn.headBytes, conn.headSize = nil, false, false, 0, headsize.Size{}
	conn.phase, conn.since, conn.first, conn.callDeadline = phaseIdle, now, first, time.Time{}
	conn.setDeadline(now.Add(conn.phaseTime()))
}

// headEnded leaves the reading to the server.
func (conn *Conn) headEnded() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == phaseCall {
		return
	}
	conn.phase = phaseCall
	// A charge that was asked to give way in this moment is given back by its end.
	conn.charge.Keep()
	conn.setDeadline(conn.callDeadline)
}

// setLimits puts changed limits in force.
func (conn *Conn) setLimits(now time.Time, limits Limits) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	old := conn.phaseTime()
	conn.limits = limits
	limit := conn.phaseTime()
	switch {
	case conn.phase == phaseCall || conn.ended || limit == old:
	case limit > old:
		conn.setDeadline(conn.since.Add(limit))
	case now.Add(limit).Before(conn.deadline):
		conn.setDeadline(now.Add(limit))
	}
}

// phaseTime is how long the phase may last. The caller holds the mutex, as for all below but Read, refuse and linger.
func (conn *Conn) phaseTime() time.Duration {
	switch {
	case conn.phase == phaseHead:
		return conn.limits.HeadTime
	case conn.first:
		return conn.limits.FirstTime
	default:
		return conn.limits.IdleTime
	}
}

func (conn *Conn) setDeadline(deadline time.Time) {
	conn.deadline = deadline
	// Fails only for a connection that is closed.
	_ = conn.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (conn *Conn) Read(buffer []byte) (int, error) {
	conn.mutex.Lock()
	reading, room := conn.phase, conn.limits.HeadBytes+headSlackBytes-conn.headBytes
	conn.mutex.Unlock()
	if reading == phaseCall {
		return conn.Conn.Read(buffer) //nolint:wrapcheck // net/http looks for the connection's own errors
	}
	if room <= 0 {
		return 0, conn.refuse(answerHeadTooLarge)
	}
	buffer = buffer[:min(len(buffer), room)]
	count, err := conn.Conn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) && conn.mayLookOnce(time.Now()) {
		count, err = conn.Conn.Read(buffer)
	}
	switch {
	case conn.wasEnded() || (count > 0 && !conn.noteHead(time.Now(), buffer[:count])):
		return 0, conn.refuse(answerNoMemory)
	case reading == phaseHead && errors.Is(err, os.ErrDeadlineExceeded):
		return 0, conn.refuse(answerTimeout)
	default:
		return count, err //nolint:wrapcheck // net/http looks for the connection's own errors
	}
}

// mayLookOnce prepares one more read of a connection whose time is over, for what has arrived in time while this process
// was paused. It returns false after the first one of a request. It takes the mutex itself.
func (conn *Conn) mayLookOnce(now time.Time) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.lookedAgain || conn.ended {
		return false
	}
	conn.lookedAgain = true
	conn.setDeadline(now.Add(lastLookTime))
	return true
}

// noteHead counts bytes of a head. It returns false if they can't be kept. It takes the mutex itself.
func (conn *Conn) noteHead(now time.Time, read []byte) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase == phaseIdle {
		conn.phase, conn.since = phaseHead, now
		conn.setDeadline(now.Add(conn.limits.HeadTime))
	}
	conn.headBytes += len(read)
	conn.headSize.Add(read)
	size := conn.headSize.Charged()
	if size == 0 {
		return true
	}
	config := &conn.listener.config
	if conn.charge == nil {
		var charge *memory.Charge
		charge = config.Account.Open(conn.holder(), "head of "+conn.Conn.RemoteAddr().String(), func(bool) { conn.end(charge) })
		conn.charge = charge
	}
	return conn.charge.Resize(config.Now(), size) == nil
}

// holder is the address that a head comes from: its client account isn't known yet.
func (conn *Conn) holder() memory.Holder {
	return memory.HolderAt(memory.Caller, conn.Conn.RemoteAddr().String())
}

// end stops the reading of the head that a charge is for, which has to give way. Once the head is whole, its call goes
// on, and only the charge ends. It takes the mutex itself.
func (conn *Conn) end(charge *memory.Charge) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.phase != phaseHead || conn.charge != charge {
		charge.Close()
		return
	}
	conn.ended = true
	conn.setDeadline(time.Unix(1, 0))
}

// wasEnded takes the mutex itself.
func (conn *Conn) wasEnded() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.ended && conn.phase != phaseCall
}

// refuse answers a request whose head isn't read to its end, and waits a little for the caller to read it. The server
// closes the connection for the returned error. No other answer can be in progress on it.
func (conn *Conn) refuse(status string) error {
	text := status[4:] + "\n"
	answer := "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: " + strconv.Itoa(len(text)) +
		"\r\nConnection: close\r\n"
	if status == answerNoMemory {
		answer += "Retry-After: " + retryAfterSeconds + "\r\n"
	}
	until := time.Now().Add(lingerTime)
	_ = conn.Conn.SetReadDeadline(until)
	_ = conn.SetWriteDeadline(until)
	if _, err := io.WriteString(conn.Conn, answer+"\r\n"+text); err == nil {
		conn.linger()
	}
	// The server may take what it has of the head for a request that it has to answer.
	_ = conn.SetWriteDeadline(time.Unix(1, 0))
	return io.EOF
}

// linger discards what the caller still sends, until it closes the connection or the deadline is over.
func (conn *Conn) linger() {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn.Conn)
}
