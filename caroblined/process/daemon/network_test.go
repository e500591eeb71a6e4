package daemon_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"carobline.dev/caroblined/process/daemon"
)

// pipeNetwork connects nodes by in-memory pipes, so that whole nodes can run in a
// synctest bubble with its own time.
type pipeNetwork struct {
	mutex             sync.Mutex
	listenerByAddress map[string]*pipeListener
	// unreachable holds the addresses to which connections are refused.
	unreachable map[string]bool
	// lost holds the addresses of loseConnections, and sentToLost whether one of them has
	// got something.
	lost       []string
	sentToLost atomic.Bool
	// useTCP makes connections over loopback TCP instead, for benchmarks;
	// tcpAddressByAddress then maps an address to that of its TCP listener.
	useTCP              bool
	tcpAddressByAddress map[string]string
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listenerByAddress: map[string]*pipeListener{}, unreachable: map[string]bool{}, tcpAddressByAddress: map[string]string{}}
}

func (network *pipeNetwork) daemonNetwork() daemon.Network {
	return daemon.Network{Listen: network.listen, Dial: network.dial}
}

func (network *pipeNetwork) listen(address string) (net.Listener, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.useTCP {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil {
			network.tcpAddressByAddress[address] = listener.Addr().String()
		}
		return listener, err
	}
	listener := &pipeListener{network: network, address: pipeAddress(address), incoming: make(chan net.Conn), closed: make(chan struct{})}
	network.listenerByAddress[address] = listener
	return listener, nil
}

func (network *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	network.mutex.Lock()
	listener, unreachable, tcpAddress := network.listenerByAddress[address], network.unreachable[address], network.tcpAddressByAddress[address]
	network.mutex.Unlock()
	if tcpAddress != "" && !unreachable {
		return (&net.Dialer{}).DialContext(ctx, "tcp", tcpAddress)
	}
	if slices.Contains(network.lostAddresses(), address) && !network.sentToLost.Swap(true) {
		return dialLost(), nil
	}
	if listener == nil || unreachable {
		return nil, refusedConnection()
	}
	dialled, accepted := net.Pipe()
	select {
	case listener.incoming <- accepted:
		return dialled, nil
	case <-listener.closed:
		return nil, refusedConnection()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refusedConnection returns the error of a connection to an address at which nothing listens.
func refusedConnection() error {
	return &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
}

func (network *pipeNetwork) setUnreachable(address string, unreachable bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.unreachable[address] = unreachable
}

// loseConnections makes the first connection to one of the addresses take what is sent and
// end without an answer. The returned function reports whether there was one.
func (network *pipeNetwork) loseConnections(addresses ...string) (sent func() bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.lost = addresses
	return network.sentToLost.Load
}

func (network *pipeNetwork) lostAddresses() []string {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.lost
}

// dialLost returns a connection that ends after what is sent first.
func dialLost() net.Conn {
	dialled, accepted := net.Pipe()
	go func() {
		_, _ = accepted.Read(make([]byte, 1<<10))
		_ = accepted.Close()
	}()
	return dialled
}

// pipeListener accepts one end of each dialled pipe.
type pipeListener struct {
	network  *pipeNetwork
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
		listener.network.mutex.Lock()
		defer listener.network.mutex.Unlock()
		if listener.network.listenerByAddress[string(listener.address)] == listener {
			delete(listener.network.listenerByAddress, string(listener.address))
		}
	})
	return nil
}

func (listener *pipeListener) Addr() net.Addr { return listener.address }

// pipeAddress is the address of a listener.
type pipeAddress string

func (pipeAddress) Network() string        { return "pipe" }
func (address pipeAddress) String() string { return string(address) }
