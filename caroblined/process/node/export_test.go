package node

import (
	"context"
	"time"

	"carobline.dev/core/process/action"
	"carobline.dev/core/process/boottime"
)

// OrderSender returns what sends orders as a node of a configuration does, and what ends its
// connections.
func OrderSender(config Config) (send func(ctx context.Context, order action.Order) error, closeIdle func()) {
	node := &Node{config: config, clock: boottime.New(time.Now())}
	node.openTransport()
	return node.sendOrder, node.endpointTransport.CloseIdleConnections
}

// FailListener reports an error of a listener to Run.
func (node *Node) FailListener(err error) { node.reportServeError(err) }

// Kill closes the node's sockets and ends its event loop without a drain, as the end of its
// process does. The node must not run.
func (node *Node) Kill() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, listener := range node.listeners {
		listener.close(ctx)
	}
	node.serverGoroutines.Wait()
	err := node.loop.Load().Close()
	node.peers.Close()
	return err
}
