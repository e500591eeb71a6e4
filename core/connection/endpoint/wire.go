package endpoint

import (
	"context"
	"net"
	"sync"
)

// wire is the network connection below one to an endpoint. It counts what is written, and charges the heads of answers.
type wire struct {
	net.Conn

	mutex   sync.Mutex
	written int64
	readErr error
	// head is charged for what is read. It is nil while no head is read.
	head *headCharge
}

// wireKey is the key of the *wire in a dial's context, into which the dialled connection is put.
type wireKey struct{}

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
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.readErr = err
	if wire.head == nil || count == 0 {
		return count, err
	}
	if chargeErr := wire.head.add(data[:count]); chargeErr != nil {
		wire.readErr = chargeErr
		return 0, chargeErr
	}
	return count, err
}

// Write implements io.Writer.
func (wire *wire) Write(data []byte) (int, error) {
	count, err := wire.Conn.Write(data)
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.written += int64(count)
	return count, err
}

// setHead makes the wire charge what it reads from now on, nothing with a nil head.
func (wire *wire) setHead(head *headCharge) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.head = head
}

// writtenBytes returns the number of bytes that were written, and readFailed whether the last read failed.
func (wire *wire) writtenBytes() int64 {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.written
}

func (wire *wire) readFailed() bool {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.readErr != nil
}
