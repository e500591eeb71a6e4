package nodes

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"carobline.dev/caroblined/process/identity"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/view"
)

const (
	tickInterval = 20 * time.Millisecond
	// usageInterval is the time between two choices of the endpoints that a node's calls
	// run on.
	usageInterval = 100 * time.Millisecond
	// endpointsPerCall is the number of endpoints over the number of calls of one node.
	endpointsPerCall = 25
	// feedTimeout bounds one feed request.
	feedTimeout        = time.Second
	maxIdlePerContact  = 4
	tickIntervalSpread = 300 * time.Millisecond
)

// node is one node without a disk: the product's state machine and client.
type node struct {
	mutex     sync.Mutex
	member    *member.Member
	usageAt   time.Time
	view      atomic.Pointer[view.View]
	peers     *peers.Peers
	transport *http.Transport
	stalled   func(now time.Time, endpoint *view.Endpoint) bool
	// feedRequests counts those of all nodes.
	feedRequests *atomic.Int64

	ctx      context.Context //nolint:containedctx // bounds all feed requests
	requests sync.WaitGroup
}

func newNode(ctx context.Context, config Config, address string, feedRequests *atomic.Int64) *node {
	self := identity.NewDiskless(address)
	node := &node{
		ctx: ctx, stalled: config.Stalled, feedRequests: feedRequests, transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerContact},
		member: member.New(time.Now(), member.Config{Self: self.Node, Incarnation: self.Incarnation, Voters: config.Contacts}, roster.New()),
	}
	node.view.Store(view.Empty())
	node.peers = peers.New(peers.Config{
		Self: self.Node, Resolve: func(peer id.Node) (string, bool) { return "http://" + electorate.Address(peer), true },
		Client: rest.NewClient(&http.Client{Transport: node.transport}, ""),
	})
	return node
}

// run steps the state machine until ctx ends, and waits for its feed requests.
func (node *node) run() {
	time.Sleep(rand.N(tickIntervalSpread)) // nodes don't all step at the same moment
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for node.ctx.Err() == nil {
		node.tick(time.Now())
		select {
		case <-node.ctx.Done():
		case <-ticker.C:
		}
	}
	node.requests.Wait()
	node.peers.Close()
	node.transport.CloseIdleConnections()
}

func (node *node) tick(now time.Time) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if now.Sub(node.usageAt) >= usageInterval {
		node.usageAt = now
		node.execute(now, node.member.Step(now, node.usage(now)))
	}
	node.execute(now, node.member.Tick(now))
}

// usage returns calls at endpoints chosen at random, of which those at groups that have
// lost a member are stalled.
func (node *node) usage(now time.Time) member.UsageReported {
	usage := member.UsageReported{RunningByEndpoint: map[feed.Endpoint]int{}}
	for name, endpoint := range node.view.Load().Endpoints {
		if rand.IntN(endpointsPerCall) != 0 {
			continue
		}
		usage.RunningByEndpoint[name] = 1
		usage.ActiveCalls++
		if node.stalled(now, endpoint) {
			usage.StalledEndpoints = append(usage.StalledEndpoints, name)
		}
	}
	return usage
}

// execute does what the state machine requests. The caller holds the mutex.
func (node *node) execute(now time.Time, actions member.Actions) {
	if actions.Changed {
		node.view.Store(node.member.View(now))
	}
	if send := actions.Send; send != nil {
		node.requests.Go(func() { node.send(*send) })
	}
}

// send sends a feed request and steps the state machine with its answer.
func (node *node) send(send member.Send) {
	ctx, cancel := context.WithTimeout(node.ctx, feedTimeout)
	defer cancel()
	node.feedRequests.Add(1)
	answer, err := node.peers.Feed(ctx, send.To, send.Request)
	if node.ctx.Err() != nil {
		return
	}
	event := eventOf(send.Request.Number, answer, err)
	node.mutex.Lock()
	defer node.mutex.Unlock()
	now := time.Now()
	node.execute(now, node.member.Step(now, event))
}

func eventOf(number uint64, answer peers.FeedAnswer, err error) member.Event {
	switch {
	case err == nil && answer.Response != nil:
		return member.Responded{Response: *answer.Response}
	case err == nil && answer.Redirect != nil:
		return member.Redirected{Number: number, Redirect: *answer.Redirect}
	}
	return member.Failed{Number: number}
}

// leader returns the node that is taken to lead.
func (node *node) leader() id.Node {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.member.Leader()
}
