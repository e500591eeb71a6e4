package node

import (
	"context"
	"sync"
	"time"
)

const (
	// transferPollInterval is the pause between two checks whether leadership has
	// been transferred.
	transferPollInterval = 20 * time.Millisecond
	// balancerNoticeTime is within how long the load balancer in front of the entry
	// hosts notices that a draining one isn't ready: two of its checks, a second apart.
	balancerNoticeTime = 2500 * time.Millisecond
	// minDrainTime is how long a draining entry host keeps its listeners open. Single
	// callers arrive after balancerNoticeTime, on connections that they had opened.
	minDrainTime = 3500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for closing the
	// node once it stops waiting for running calls.
	shutdownReserve = 700 * time.Millisecond
	// stopReportTimeout bounds the wait for the leader's answer to the report that the node
	// stops.
	stopReportTimeout = 300 * time.Millisecond
	// closeTimeout bounds the shutdown of the listeners.
	closeTimeout = 300 * time.Millisecond
)

// stop drains and closes the node.
func (node *Node) stop() error {
	node.drain(node.clock.Now())
	return node.close()
}

// drain transfers leadership on a node without an entry, and else waits for
// running calls to end. Callers arrive until the load balancer in front of the entry
// hosts has noticed that the node isn't ready, and some later, so the listeners stay
// open for minDrainTime. Meanwhile each answer is the last on its connection, and calls
// that may outlast the node are refused.
func (node *Node) drain(now time.Time) {
	node.draining.Store(true)
	node.run.Stop()
	node.config.Log.Info().Str("step", "drain").Msg("draining")
	if node.entry == nil {
		node.transferLeadership()
		node.awaitStopReport()
		return
	}
	stopsAt := now.Add(node.config.GracePeriod - shutdownReserve)
	closesAt := now.Add(min(minDrainTime, node.config.GracePeriod-shutdownReserve))
	node.entry.Drain(now.Add(balancerNoticeTime), stopsAt)
	time.Sleep(closesAt.Sub(node.clock.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), stopsAt.Sub(node.clock.Now()))
	defer cancel()
	for _, listener := range node.callerListeners {
		if err := listener.stopAccepting(); err != nil {
			node.config.Log.Warn().Err(err).Str("step", "drain").Msg("closing a listener failed")
		}
	}
	var draining sync.WaitGroup
	for _, listener := range node.callerListeners {
		draining.Go(func() { listener.drain(ctx) })
	}
	draining.Wait()
	node.entry.Stop()
}

func (node *Node) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for node.loop.Load().TransferLeadership(ctx) && ctx.Err() == nil {
		time.Sleep(transferPollInterval)
	}
}

// awaitStopReport waits until the leader has the report that the node stops, so that it doesn't take
// that for an end without a stop. Without a leader it gives up soon.
func (node *Node) awaitStopReport() {
	giveUpAt := node.clock.Now().Add(stopReportTimeout)
	for !node.loop.Load().StopReported() && node.clock.Now().Before(giveUpAt) {
		time.Sleep(transferPollInterval)
	}
}

func (node *Node) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, listener := range node.listeners {
		closing.Go(func() { listener.close(ctx) })
	}
	closing.Wait()
	node.serverGoroutines.Wait()
	var err error
	if loop := node.loop.Load(); loop != nil {
		err = loop.Close()
	}
	if node.peers != nil {
		node.peers.Close()
	}
	if node.run != nil {
		node.run.Close()
	}
	if node.endpointTransport != nil {
		node.endpointTransport.CloseIdleConnections()
	}
	node.config.Log.Info().Str("step", "stop").Msg("stopped")
	return err
}
