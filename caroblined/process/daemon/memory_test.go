package daemon_test

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/process/daemon"
)

// memory is a network of pipes within the process, so that whole nodes run on
// a test's own time.
type memory struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
	// cut holds addresses that nobody reaches.
	cut map[string]bool
	// loopback carries connections over TCP instead, for benchmarks; real holds
	// the addresses that listeners really have.
	loopback bool
	real     map[string]string
}

func newMemory() *memory {
	return &memory{listeners: map[string]*pipeListener{}, cut: map[string]bool{}, real: map[string]string{}}
}

func (memory *memory) network() daemon.Network {
	return daemon.Network{Listen: memory.listen, Dial: memory.dial}
}

func (memory *memory) listen(address string) (net.Listener, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if memory.loopback {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			memory.real[address] = listener.Addr().String()
		}
		return listener, err
	}
	listener := &pipeListener{memory: memory, address: pipeAddress(address), incoming: make(chan net.Conn), closed: make(chan struct{})}
	memory.listeners[address] = listener
	return listener, nil
}

func (memory *memory) dial(ctx context.Context, _, address string) (net.Conn, error) {
	memory.mutex.Lock()
	listener, cut, real := memory.listeners[address], memory.cut[address], memory.real[address]
	memory.mutex.Unlock()
	if real != "" && !cut {
		return (&net.Dialer{}).DialContext(ctx, "tcp", real)
	}
	if listener == nil || cut {
		return nil, errors.Errorf("connection to %s refused", address)
	}
	here, there := net.Pipe()
	select {
	case listener.incoming <- there:
		return here, nil
	case <-listener.closed:
		return nil, errors.Errorf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (memory *memory) setCut(address string, cut bool) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	memory.cut[address] = cut
}

// pipeListener accepts one end of each dialled pipe.
type pipeListener struct {
	memory   *memory
	address  pipeAddress
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (listener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.incoming:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *pipeListener) Close() error {
	listener.once.Do(func() {
		close(listener.closed)
		listener.memory.mutex.Lock()
		defer listener.memory.mutex.Unlock()
		if listener.memory.listeners[string(listener.address)] == listener {
			delete(listener.memory.listeners, string(listener.address))
		}
	})
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return listener.address }

// pipeAddress is the address of a listener.
type pipeAddress string

func (pipeAddress) Network() string        { return "pipe" }
func (address pipeAddress) String() string { return string(address) }
