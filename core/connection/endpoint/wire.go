package endpoint

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// wire is the network connection below one to an endpoint. It counts what is written, charges the heads of answers, and
// records how the connection ended.
//
// The error of a reset is given out once, to a read or to a write. If a write takes it, the read beside it sees an
// orderly end. So a write that is under way at an end is awaited before the end is judged, and the error of a write is
// held back until reading has ended: what the endpoint sent before the reset can still be read.
type wire struct {
	net.Conn
	// writing is held during each write of Conn.
	writing sync.Mutex
	// finished is closed once nothing more can be read.
	finished     chan struct{}
	finishedOnce sync.Once

	mutex   sync.Mutex
	written int64
	readErr error
	// upload is what has been written of the request under way.
	upload upload
	// writeFailed is set once a write has failed by itself, and ending once the end of the connection has been read.
	writeFailed bool
	ending      ending
	// head is charged for what is read, and lines scans it. The head is nil while none is read.
	head  *headCharge
	lines headScan
}

// ending is what an orderly end of a connection shows of the answer that it ends.
type ending int

const (
	// notEnded is that of a connection whose end hasn't been read.
	notEnded ending = iota
	// endedWhole is that of one whose request had been written whole.
	endedWhole
	// endedEarly is that of one whose request hadn't, though the endpoint took what was written.
	endedEarly
	// endedByReset is that of one on which a write had failed, so that the end isn't the endpoint's.
	endedByReset
)

// wireKey is the key of the *wire in a dial's context, into which the dialled connection is put.
type wireKey struct{}

func newWire() *wire { return &wire{finished: make(chan struct{})} }

// dialWire returns a dial function that puts what it dials into the wire of the context.
func dialWire(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		wire := ctx.Value(wireKey{}).(*wire)
		wire.Conn = connection
		return wire, nil
	}
}

// Read implements io.Reader.
func (wire *wire) Read(data []byte) (int, error) {
	count, err := wire.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		wire.recordEnd()
	}
	if err != nil {
		wire.finish()
	}
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.readErr = err
	if wire.head == nil || count == 0 {
		return count, err
	}
	wire.lines.add(data[:count])
	if chargeErr := wire.head.add(data[:count]); chargeErr != nil {
		wire.readErr = chargeErr
		return 0, chargeErr
	}
	return count, err
}

// recordEnd records what the end of the connection shows. A write that is under way is ended, since it may have taken
// the error of a reset.
func (wire *wire) recordEnd() {
	if !wire.uploaded() {
		// Fails only for a connection that is closed.
		_ = wire.SetWriteDeadline(time.Unix(1, 0))
		wire.writing.Lock()
		defer wire.writing.Unlock()
	}
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	switch {
	case wire.ending != notEnded:
	case wire.writeFailed:
		wire.ending = endedByReset
	case !wire.upload.whole():
		wire.ending = endedEarly
	default:
		wire.ending = endedWhole
	}
}

// Write implements io.Writer. The error of a write that failed comes once nothing more can be read.
func (wire *wire) Write(data []byte) (int, error) {
	count, err := wire.write(data)
	if err != nil {
		<-wire.finished
	}
	return count, err
}

func (wire *wire) write(data []byte) (int, error) {
	wire.writing.Lock()
	defer wire.writing.Unlock()
	count, err := wire.Conn.Write(data)
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.written += int64(count)
	wire.upload.add(data[:count])
	// The deadline is that of recordEnd, and no failure of the endpoint's.
	wire.writeFailed = wire.writeFailed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return count, err
}

// Close implements io.Closer.
func (wire *wire) Close() error {
	wire.finish()
	return wire.Conn.Close()
}

// finish records that nothing more can be read.
func (wire *wire) finish() { wire.finishedOnce.Do(func() { close(wire.finished) }) }

// begin records that a request with a body of some length is written from now on, -1 for an unknown one, and that what
// is read is the head of its answer.
func (wire *wire) begin(length int64, head *headCharge) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.upload = upload{length: length}
	wire.head, wire.lines = head, headScan{}
}

// endHead makes the wire charge nothing of what it reads from now on.
func (wire *wire) endHead() {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.head = nil
}

// folded reports whether a head of the answer has a line that begins with a blank.
func (wire *wire) folded() bool {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.lines.folded
}

// uploaded reports whether the request under way has been written whole.
func (wire *wire) uploaded() bool {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.upload.whole()
}

// end returns how the connection has ended.
func (wire *wire) end() ending {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.ending
}

// writtenBytes returns the number of bytes that were written.
func (wire *wire) writtenBytes() int64 {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.written
}

// readFailed reports whether the last read failed.
func (wire *wire) readFailed() bool {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.readErr != nil
}
