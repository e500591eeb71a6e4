// Package nodes runs many nodes without a disk in one process: each has the state machine
// and the client of an entry host, and reports calls at endpoints chosen at random.
//
// # Usage
//
//	fleet := nodes.Start(config)
//	fmt.Println(fleet.Sample(time.Now()).WithoutLease)
//	fleet.Close()
package nodes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/view"
)

// Config is fixed for the life of the nodes.
type Config struct {
	Nodes int
	// Address returns the address by which the node with a number, from 0, is named.
	Address func(number int) string
	// Contacts are the control hosts that nodes have at their start.
	Contacts []id.Node
	// Stalled reports whether calls at an endpoint make no progress.
	Stalled func(now time.Time, endpoint *view.Endpoint) bool
}

// Sample is what all nodes see.
type Sample struct {
	// FeedRequests counts those since the sample before.
	FeedRequests int
	// WithoutLease counts the nodes that may take no new work or have no declaration.
	WithoutLease int
	// LeastEndpoints and MostEndpoints are over the other nodes; both are 0 if there is
	// none.
	LeastEndpoints, MostEndpoints int
	// Leader is the node that most of the nodes with a lease take to lead, empty if none
	// has a lease.
	Leader id.Node
}

// Nodes are a number of running nodes.
type Nodes struct {
	nodes        []*node
	feedRequests atomic.Int64
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
}

// Start starts the nodes.
func Start(config Config) *Nodes {
	ctx, stop := context.WithCancel(context.Background())
	nodes := &Nodes{stop: stop}
	for number := range config.Nodes {
		node := newNode(ctx, config, config.Address(number), &nodes.feedRequests)
		nodes.nodes = append(nodes.nodes, node)
		nodes.goroutines.Go(node.run)
	}
	return nodes
}

// Close stops the nodes and waits for all of their requests to end.
func (nodes *Nodes) Close() {
	nodes.stop()
	nodes.goroutines.Wait()
}

// Sample returns what the nodes see now.
func (nodes *Nodes) Sample(now time.Time) Sample {
	sample := Sample{FeedRequests: int(nodes.feedRequests.Swap(0))}
	votesByLeader := map[id.Node]int{}
	for _, node := range nodes.nodes {
		current := node.view.Load()
		if !current.AcceptsNewWork(now) || current.Routing == nil {
			sample.WithoutLease++
			continue
		}
		sample.addEndpoints(len(current.Endpoints), len(votesByLeader) == 0)
		leader := node.leader()
		votesByLeader[leader]++
		if votesByLeader[leader] > votesByLeader[sample.Leader] || sample.Leader == "" {
			sample.Leader = leader
		}
	}
	return sample
}

func (sample *Sample) addEndpoints(endpoints int, first bool) {
	if first {
		sample.LeastEndpoints, sample.MostEndpoints = endpoints, endpoints
	}
	sample.LeastEndpoints, sample.MostEndpoints = min(sample.LeastEndpoints, endpoints), max(sample.MostEndpoints, endpoints)
}
