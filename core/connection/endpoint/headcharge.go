package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"carobline.dev/core/connection/headsize"
	"carobline.dev/core/process/memory"
)

// headCharge is what one answer's head holds of the account.
type headCharge struct {
	account *memory.Account
	now     func() time.Time
	holder  memory.Holder
	subject string

	size   headsize.Size
	charge *memory.Charge
}

// newHeadCharge returns the charge of the answer to a request.
func (transport *Transport) newHeadCharge(request *http.Request) *headCharge {
	return &headCharge{
		account: transport.account, now: transport.now, holder: memory.Holder{Kind: memory.Endpoint, Name: request.URL.Host}, subject: request.Header.Get(transport.idHeader),
	}
}

// add charges more bytes of the head before they are kept.
func (head *headCharge) add(read []byte) error {
	head.size.Add(read)
	size := head.size.Charged()
	if size == 0 {
		return nil
	}
	if head.charge == nil {
		head.charge = head.account.Open(head.holder, head.subject, nil)
	}
	return head.charge.Resize(head.now(), size)
}

// chargedConn charges what is read while it has a head.
type chargedConn struct {
	net.Conn

	mutex sync.Mutex
	// head is nil while no head is read.
	head *headCharge
}

// chargeConns returns a dial function whose connections can charge heads.
func chargeConns(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &chargedConn{Conn: connection}, nil
	}
}

// Read implements io.Reader.
func (conn *chargedConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.head == nil || count == 0 {
		return count, err
	}
	if chargeErr := conn.head.add(data[:count]); chargeErr != nil {
		return 0, chargeErr
	}
	return count, err
}

// charge makes a connection charge what it reads from now on, nothing with a nil head.
func charge(connection net.Conn, head *headCharge) {
	if conn, ok := connection.(*chargedConn); ok {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		conn.head = head
	}
}

// closing gives a charge back when a body is closed.
type closing struct {
	io.ReadCloser
	charge *memory.Charge
}

// Close implements io.Closer.
func (closing *closing) Close() error {
	defer closing.charge.Close()
	return closing.ReadCloser.Close()
}
