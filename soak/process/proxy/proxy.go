// Package proxy passes TCP connections on between loopback addresses and disturbs them: it
// delays, resets, cuts one way, silences, and repeats the last answer.
//
// # Usage
//
//	proxy, err := proxy.Start("127.16.1.9:7391", "127.16.1.1:7394")
//	proxy.SetFault(proxy.Fault{Kind: proxy.Silence})
//	proxy.SetFault(proxy.Fault{})
//	proxy.Close()
package proxy

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Kind is a kind of disturbance. The zero value is none.
type Kind string

// The kinds of disturbances.
const (
	// Delay holds each piece back for a time.
	Delay Kind = "delay"
	// Reset resets the connections that are open, and each new one.
	Reset Kind = "reset"
	// CutUp and CutDown pass on nothing towards the target, or nothing from it.
	CutUp   Kind = "cut_up"
	CutDown Kind = "cut_down"
	// Silence passes on nothing either way.
	Silence Kind = "silence"
	// Repeat writes a copy of the last answer on a connection when the next request comes.
	Repeat Kind = "repeat"
)

// checkInterval is how often a held piece looks whether it may go on.
const checkInterval = 5 * time.Millisecond

// Fault is the disturbance in force.
type Fault struct {
	Kind  Kind
	Delay time.Duration
}

// Proxy listens at one address for one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	running  sync.WaitGroup

	mutex  sync.Mutex
	fault  Fault
	pairs  map[*pair]bool
	closed bool
}

// Start listens at an address.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen as a proxy")
	}
	proxy := &Proxy{listener: listener, target: target, pairs: map[*pair]bool{}}
	proxy.running.Go(proxy.accept)
	return proxy, nil
}

// SetFault replaces the disturbance.
func (proxy *Proxy) SetFault(fault Fault) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.fault = fault
	if fault.Kind != Reset {
		return
	}
	for pair := range proxy.pairs {
		pair.reset()
	}
}

// Close ends all connections and waits for them.
func (proxy *Proxy) Close() {
	_ = proxy.listener.Close()
	proxy.mutex.Lock()
	proxy.closed = true
	for pair := range proxy.pairs {
		pair.reset()
	}
	proxy.mutex.Unlock()
	proxy.running.Wait()
}

func (proxy *Proxy) currentFault() Fault {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.fault
}

func (proxy *Proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.running.Go(func() { proxy.serve(client) })
	}
}

// serve passes one connection on until either side ends it.
func (proxy *Proxy) serve(client net.Conn) {
	const dialTimeout = 2 * time.Second
	target, err := net.DialTimeout("tcp", proxy.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	pair := &pair{proxy: proxy, client: client, target: target, ended: make(chan struct{})}
	if !proxy.add(pair) {
		pair.reset()
		return
	}
	var up sync.WaitGroup
	up.Go(func() { pair.copy(client, target, pair.sendUp) })
	pair.copy(target, client, pair.sendDown)
	up.Wait()
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	delete(proxy.pairs, pair)
}

func (proxy *Proxy) add(pair *pair) bool {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if proxy.closed || proxy.fault.Kind == Reset {
		return false
	}
	proxy.pairs[pair] = true
	return true
}
