// Package node runs one process of a system whose nodes discover each other
// through a few seeds: an entry host, which forwards callers' requests according
// to the declaration in force, or a control host, which stores that declaration,
// receives the endpoints' announcements and orders engines into groups.
//
// # Usage
//
//	err := node.Supervise(ctx, node.Config{...}, reloads) // until ctx ends; then it drains
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/connection/entryapi"
	"carobline.dev/caroblined/connection/metricsapi"
	"carobline.dev/caroblined/connection/peerapi"
	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/identity"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/boottime"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/version/view"
)

const (
	// dialTimeout bounds the setup of a connection to a node or an endpoint.
	dialTimeout = 400 * time.Millisecond
	// peerIdleTimeout and endpointIdleTimeout are how long unused connections are
	// kept.
	peerIdleTimeout     = time.Minute
	endpointIdleTimeout = 4 * time.Second
	// callerHeaderTimeout bounds the reading of one request's header,
	// callerIdleTimeout the time between two requests on one connection. They
	// apply to all listeners.
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 60 * time.Second
	// maxIdlePerEndpoint bounds the unused connections kept to one endpoint.
	maxIdlePerEndpoint = 32
	// transferPollInterval is the pause between two checks whether leadership has
	// been transferred.
	transferPollInterval = 20 * time.Millisecond
	// minDrainTime is how long a draining entry host keeps its listeners open:
	// callers arrive until the balancer has noticed that the host isn't ready.
	minDrainTime = 3500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for closing the
	// node once it stops waiting for running calls.
	shutdownReserve = 700 * time.Millisecond
	// checkInterval is the interval between checks of the lease and of the voter's
	// disk. Without a lease the seeds are read again at each check.
	checkInterval = time.Second
	// closeTimeout bounds the shutdown of the listeners.
	closeTimeout = 300 * time.Millisecond
)

// Entry configures an entry host, which forwards callers' requests.
type Entry struct {
	Address string
	Dialect entryapi.Dialect
	// ReadyAddress and ReadyPath serve the balancer's readiness check: status 200
	// while the node accepts new connections, else 503.
	ReadyAddress string
	ReadyPath    string
	// SavedRetries is passed on to entryapi.Config.
	SavedRetries int
}

// Control configures a control host, which serves endpoints and operators.
type Control struct {
	Address string
	// Handler returns the handler for requests of endpoints and operators.
	Handler func(loop *control.Control) http.Handler
	// DataFolder holds the write-ahead log and the node's identity.
	DataFolder string
	// Founder makes the node one of the first voters, together with the seeds, at
	// the first start of the system.
	Founder bool
}

// Config is fixed for the life of a process.
type Config struct {
	// PeerAddress is the host and port on which other nodes reach this one.
	PeerAddress string
	// ReadSeeds returns the peer addresses of some control hosts. It is called
	// again on a reload and while the node holds no lease.
	ReadSeeds func() ([]string, error)
	Entry     *Entry
	Control   *Control
	// TargetVoters is the number of control hosts that should vote.
	TargetVoters int
	// EngineStallTimeout is how long a group waits for an engine that it has lost
	// before it is dissolved.
	EngineStallTimeout time.Duration
	// NodeLease is how long a node may act on the leader's last response: at most
	// feed.Lease, which zero stands for.
	NodeLease time.Duration
	// GracePeriod bounds the time from the stop request to the end of the process.
	GracePeriod time.Duration
	// SendOrder delivers an order, other than a probe, to its host.
	SendOrder func(ctx context.Context, client *http.Client, order action.Order) error
	// Disk stores the write-ahead log and the identity of a control host.
	Disk wal.Disk
	Log  zerolog.Logger
}

// Node is one running process.
type Node struct {
	config   Config
	clock    *boottime.Clock
	self     identity.Identity
	metrics  metrics.Registry
	peers    *peers.Peers
	loop     atomic.Pointer[control.Control]
	entry    *entryapi.API
	draining atomic.Bool
	// loggedRevision and loggedLeaseHeld are the last logged values. Only the event
	// loop uses the first, only Run the second.
	loggedRevision      id.Revision
	loggedLeaseHeld     bool
	endpointTransport   *endpoint.Transport
	singleSendTransport *endpoint.Transport
	listeners           []*listener
	// callerListeners are those of the entry, which stop accepting first.
	callerListeners  []*listener
	serverGoroutines sync.WaitGroup
	serveErrors      chan error
}

// New starts a node and opens its listeners. On an error it closes what it has
// started.
func New(config Config) (*Node, error) {
	node := &Node{
		config: config, clock: boottime.New(time.Now()), metrics: metrics.NewRegistry(), serveErrors: make(chan error, 1),
	}
	transportConfig := endpoint.Config{Dial: dial, MaxIdlePerHost: maxIdlePerEndpoint, IdleTimeout: endpointIdleTimeout}
	if config.Entry != nil {
		transportConfig.IDHeader = config.Entry.Dialect.RequestID
	}
	node.endpointTransport = endpoint.New(transportConfig)
	node.singleSendTransport = endpoint.New(endpoint.Config{Dial: dial, SingleUse: true, IDHeader: transportConfig.IDHeader})
	if err := node.start(); err != nil {
		if closeErr := node.close(); closeErr != nil {
			config.Log.Error().Err(closeErr).Str("step", "stop").Msg("closing the node after a failed start failed as well")
		}
		return nil, errors.Wrap(err, "start node")
	}
	return node, nil
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, network, address)
}

func (node *Node) start() error {
	seeds, err := node.config.ReadSeeds()
	if err != nil {
		return err
	}
	if err := node.identify(seeds); err != nil {
		return err
	}
	node.config.Log = node.config.Log.With().Str("node", string(node.self.Node)).Logger()
	node.peers = peers.New(peers.Config{
		Self: node.self.Node, Resolve: resolve,
		Client: rest.NewClient(&http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: peerIdleTimeout}}, ""),
	})
	if node.config.Entry != nil {
		node.startEntry()
	}
	if err := node.startControl(seeds); err != nil {
		return err
	}
	return node.openListeners()
}

// identify sets the node's identity: the stored one on a control host, a new one
// on a node without a disk.
func (node *Node) identify(seeds []string) error {
	if node.config.Control == nil {
		node.self = identity.NewDiskless(node.config.PeerAddress)
		return nil
	}
	var founders []id.Node
	if node.config.Control.Founder {
		founders = founderNodes(seeds)
	}
	self, err := identity.Open(node.config.Disk, node.config.Control.DataFolder, node.config.PeerAddress, founders)
	node.self = self
	return err
}

// resolve returns the base URL of a node, whose name begins with its address.
func resolve(node id.Node) (string, bool) { return "http://" + electorate.Address(node), true }

func (node *Node) startEntry() {
	node.entry = entryapi.New(entryapi.Config{
		Dialect: node.config.Entry.Dialect, View: node.view, Now: node.clock.Now, Transport: node.endpointTransport,
		SingleSendTransport: node.singleSendTransport, Log: node.config.Log, Metrics: node.metrics, Rand: newRand(), SavedRetries: node.config.Entry.SavedRetries,
	})
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // load balancing, not security
}

// view returns the latest view, or an empty one before the event loop is started.
func (node *Node) view() *view.View {
	loop := node.loop.Load()
	if loop == nil {
		return view.Empty()
	}
	return loop.View()
}

func (node *Node) startControl(seeds []string) error {
	config := control.Config{
		Self: node.self.Node, Incarnation: node.self.Incarnation, Seeds: seedNodes(seeds), Timing: quorum.DefaultTiming(),
		TargetVoters: node.config.TargetVoters, EngineStallTimeout: node.config.EngineStallTimeout, NodeLease: node.config.NodeLease, ControlOnly: node.config.Entry == nil, Disk: node.config.Disk, Peers: node.peers,
		Log: node.config.Log, Now: node.clock.Now, SendOrder: node.sendOrder, CollectUsage: node.collectUsage, OnViewChange: node.viewChanged,
	}
	if controlConfig := node.config.Control; controlConfig != nil {
		config.DataFolder, config.Founders = controlConfig.DataFolder, node.self.Founders
		if controlConfig.Founder {
			config.Voters = node.self.Founders
		}
	}
	loop, err := control.New(config)
	if err != nil {
		return err
	}
	node.loop.Store(loop)
	return nil
}

func seedNodes(seeds []string) []id.Node {
	nodes := make([]id.Node, len(seeds))
	for index, seed := range seeds {
		nodes[index] = id.Node(seed)
	}
	return nodes
}

func founderNodes(seeds []string) []id.Node {
	nodes := make([]id.Node, len(seeds))
	for index, seed := range seeds {
		nodes[index] = identity.FounderName(seed)
	}
	return nodes
}

func (node *Node) sendOrder(ctx context.Context, order action.Order) error {
	if order.Kind == action.OrderProbe {
		return rest.Reach(ctx, dial, order.Address)
	}
	client := &http.Client{Transport: node.endpointTransport}
	return node.config.SendOrder(ctx, client, order)
}

func (node *Node) collectUsage(time.Time) member.UsageReported {
	if node.entry == nil {
		return member.UsageReported{}
	}
	return member.UsageReported{RunningByEndpoint: node.entry.RunningByEndpoint(), ActiveCalls: node.entry.ActiveCalls(), StalledEndpoints: node.entry.StalledEndpoints()}
}

func (node *Node) viewChanged(current *view.View) {
	if current.Routing != nil && current.Routing.Declaration().Revision != node.loggedRevision {
		node.loggedRevision = current.Routing.Declaration().Revision
		node.config.Log.Info().Str("step", "in_force").Uint64("revision", uint64(node.loggedRevision)).Uint64("version", uint64(current.Version)).Int64("after_ms", current.RoutingDelay.Milliseconds()).Send()
	}
	if node.entry != nil {
		node.entry.Update(current)
	}
}

func (node *Node) openListeners() error {
	loop := node.loop.Load()
	internalMux := http.NewServeMux()
	internalMux.Handle("/peer/", peerapi.New(loop, nil).UnauthenticatedHandler())
	internalMux.Handle("GET /metrics", metricsapi.New(node.metrics))
	handlerByAddress := map[string]http.Handler{node.config.PeerAddress: internalMux}
	if controlConfig := node.config.Control; controlConfig != nil {
		handlerByAddress[controlConfig.Address] = controlConfig.Handler(loop)
	}
	callerHandlerByAddress := map[string]http.Handler{}
	if entryConfig := node.config.Entry; entryConfig != nil {
		callerHandlerByAddress[entryConfig.Address] = node.entry
		callerHandlerByAddress[entryConfig.ReadyAddress] = node.readinessHandler(entryConfig.ReadyPath)
	}
	for address, handler := range handlerByAddress {
		if _, err := node.openListener(address, handler); err != nil {
			return err
		}
	}
	for address, handler := range callerHandlerByAddress {
		listener, err := node.openListener(address, handler)
		if err != nil {
			return err
		}
		node.callerListeners = append(node.callerListeners, listener)
	}
	return nil
}

func (node *Node) openListener(address string, handler http.Handler) (*listener, error) {
	listener, err := listen(address, handler)
	if err != nil {
		return nil, err
	}
	node.listeners = append(node.listeners, listener)
	node.serverGoroutines.Go(func() {
		if err := listener.serve(); err != nil {
			node.reportServeError(err)
		}
	})
	node.config.Log.Info().Str("step", "listen").Str("address", address).Msg("listening")
	return listener, nil
}

func (node *Node) reportServeError(err error) {
	select {
	case node.serveErrors <- err:
	default:
	}
}

// Ready reports whether the node accepts new connections: it isn't draining, has
// a routing table, and its lease was renewed recently.
func (node *Node) Ready() bool {
	current := node.view()
	return !node.draining.Load() && current.Routing != nil && current.LeaseIsFresh(node.clock.Now())
}

func (node *Node) readinessHandler(path string) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case request.URL.Path != path:
			writer.WriteHeader(http.StatusNotFound)
		case node.Ready():
			writer.WriteHeader(http.StatusOK)
		default:
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// Run serves until ctx ends or a listener or the voter's disk fails, then drains and
// closes the node; it returns the error of a failure. A signal on reloads reads the
// seeds again and breaks off no call.
func (node *Node) Run(ctx context.Context, reloads <-chan os.Signal) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reloads:
			node.config.Log.Info().Str("step", "reload").Msg("reload requested; reading the seeds again")
			node.refreshSeeds()
		case <-ticker.C:
			node.checkLease()
			if reason := node.loop.Load().Failure(); reason != "" {
				return diskWriteError(reason, node.stop())
			}
		case err := <-node.serveErrors:
			if closeErr := node.stop(); closeErr != nil {
				node.config.Log.Error().Err(closeErr).Str("step", "stop").Msg("closing the node after a failed listener failed as well")
			}
			return err
		case <-ctx.Done():
			return node.stop()
		}
	}
}

// stop drains and closes the node.
func (node *Node) stop() error {
	node.drain(node.clock.Now())
	return node.close()
}

// checkLease logs when the configuration lease is acquired or lost, and reads the
// seeds again while it isn't held, since all known control hosts may be gone.
func (node *Node) checkLease() {
	current, now := node.view(), node.clock.Now()
	if leaseHeld := current.AcceptsNewWork(now); leaseHeld != node.loggedLeaseHeld {
		node.loggedLeaseHeld = leaseHeld
		node.config.Log.Info().Str("step", "lease").Bool("held", leaseHeld).Int64("ended_ms_ago", now.Sub(current.LeaseUntil).Milliseconds()).Send()
	}
	if !node.loggedLeaseHeld {
		node.refreshSeeds()
	}
}

// refreshSeeds reads the seeds again and adds them to the known contacts.
func (node *Node) refreshSeeds() {
	seeds, err := node.config.ReadSeeds()
	if err != nil {
		node.config.Log.Warn().Err(err).Str("step", "read_seeds").Msg("reading the seeds failed; none are known yet")
		return
	}
	node.loop.Load().AddContacts(seedNodes(seeds))
}

// drain transfers leadership on a node without an entry, and else waits for
// running calls to end. Callers arrive until the balancer has noticed that the
// node isn't ready, so the listeners stay open for minDrainTime. Meanwhile each
// answer is the last on its connection, and calls that may outlast the node are
// refused.
func (node *Node) drain(now time.Time) {
	node.draining.Store(true)
	node.config.Log.Info().Str("step", "drain").Msg("draining")
	if node.entry == nil {
		node.transferLeadership()
		return
	}
	stopsAt := now.Add(node.config.GracePeriod - shutdownReserve)
	closesAt := now.Add(min(minDrainTime, node.config.GracePeriod-shutdownReserve))
	node.entry.Drain(closesAt, stopsAt)
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
	node.endpointTransport.CloseIdleConnections()
	node.config.Log.Info().Str("step", "stop").Msg("stopped")
	return err
}
