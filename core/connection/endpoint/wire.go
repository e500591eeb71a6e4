package endpoint

import (
	"context"
	"net"
	"sync"
)

// wire is the network connection to an endpoint. It charges the heads of answers and knows which requests it has carried.
type wire struct {
	net.Conn

	mutex sync.Mutex
	// head is charged for what is read. It is nil while no head is read.
	head    *headCharge
	history history
	// idle is set while no request is under way, and unsolicited once bytes have come then.
	idle, unsolicited bool
	onUnsolicited     func()
}

// wires returns a dial function whose connections are wires.
func (transport *Transport) wires(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &wire{Conn: connection, onUnsolicited: func() {
			transport.observe(Observation{Oddity: UnsolicitedAnswer, Address: address})
		}}, nil
	}
}

// Read implements io.Reader.
func (wire *wire) Read(data []byte) (int, error) {
	count, err := wire.Conn.Read(data)
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	if wire.idle && count > 0 && !wire.unsolicited {
		wire.unsolicited = true
		wire.onUnsolicited()
	}
	if wire.head == nil || count == 0 {
		return count, err
	}
	if chargeErr := wire.head.add(data[:count]); chargeErr != nil {
		return 0, chargeErr
	}
	return count, err
}

// begin records that a request is sent, whose answer's head is charged, and returns how the latest one with its id
// was answered, or nil where there was none.
func (wire *wire) begin(id string, head *headCharge) *sentRequest {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	earlier := wire.history.find(id)
	wire.idle, wire.head = false, head
	wire.history = append(wire.history, sentRequest{id: hashOf(id)})
	return earlier
}

// setHead makes the wire charge what it reads from now on, nothing with a nil head.
func (wire *wire) setHead(head *headCharge) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.head = head
}

// answered records the status of the answer to the latest request.
func (wire *wire) answered(status int) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.history[len(wire.history)-1].status = status
}

// end records that no request is under way.
func (wire *wire) end() {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.idle = true
}
