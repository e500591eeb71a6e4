// Package node runs one process of a system whose nodes find each other by a
// few seeds: an entry host, which forwards callers' requests by the declaration
// in force, or a control host, which keeps that declaration, hears the
// endpoints and orders engines into groups.
//
// # Usage
//
//	err := node.Keep(ctx, node.Config{...}, reloads) // until ctx ends; then it drains
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
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/boottime"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/version/view"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 400 * time.Millisecond
	// peerIdle and endpointIdle bound the life of unused connections.
	peerIdle     = time.Minute
	endpointIdle = 4 * time.Second
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// idleEndpoints is how many unused connections are kept to one endpoint.
	idleEndpoints = 32
	// drainPoll is how often a stopping node looks whether it is done.
	drainPoll = 20 * time.Millisecond
	// drainLeast is how long a stopping entry host still listens: callers come
	// until the balancer has noticed that it isn't ready.
	drainLeast = 3500 * time.Millisecond
	// drainReserve is what is left of the grace period when it stops waiting.
	drainReserve = 700 * time.Millisecond
	// seedsEvery is how often seeds are read anew.
	seedsEvery = time.Second
	// closeTimeout bounds the end of the listeners.
	closeTimeout = 300 * time.Millisecond
)

// Entry makes a node forward callers' requests.
type Entry struct {
	Address string
	Dialect entryapi.Dialect
	// Ready is asked by the balancer whether the node takes new connections.
	ReadyAddress string
	ReadyPath    string
}

// Control makes a node hear endpoints and operators.
type Control struct {
	Address string
	// Handler speaks with endpoints and operators through the loop.
	Handler func(loop *control.Control) http.Handler
	// DataFolder is where the log lies.
	DataFolder string
	// Founder says that the node begins the system together with the seeds.
	Founder bool
}

// Config is fixed for the life of a process.
type Config struct {
	// PeerAddress is where other nodes reach this one.
	PeerAddress string
	// Seeds reads the peer addresses of some control hosts.
	Seeds   func() ([]string, error)
	Entry   *Entry
	Control *Control
	// VotersWanted is how many control hosts should vote.
	VotersWanted int
	// Stall is how long a group waits for an engine that it has lost.
	Stall time.Duration
	// Lease is how long the node may act on what control has said; zero leaves
	// it as it is.
	Lease time.Duration
	// Grace is how long a stop may take.
	Grace time.Duration
	Order func(ctx context.Context, client *http.Client, order controller.Order) error
	// Disk holds the log of a control host.
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
	// revision and leased are what was last said in the log; the first belongs
	// to the control goroutine, the second to Run.
	revision id.Revision
	leased   bool
	engines  *http.Transport
	servers  []*http.Server
	serving  sync.WaitGroup
	failed   chan error
}

// New starts a node's parts and opens its listeners.
func New(config Config) (*Node, error) {
	node := &Node{
		config: config, clock: boottime.New(time.Now()), metrics: metrics.NewRegistry(), failed: make(chan error, 1),
		engines: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: idleEndpoints, IdleConnTimeout: endpointIdle, DisableCompression: true,
			ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
		},
	}
	if err := node.start(); err != nil {
		if closeErr := node.close(); closeErr != nil {
			config.Log.Error().Err(closeErr).Str("step", "stop").Msg("a part of the node didn't close")
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
	seeds, err := node.config.Seeds()
	if err != nil {
		return err
	}
	if err := node.identify(); err != nil {
		return err
	}
	node.config.Log = node.config.Log.With().Str("node", string(node.self.Node)).Logger()
	node.peers = peers.New(peers.Config{
		Self: node.self.Node, Resolve: resolve,
		Client: rest.NewClient(&http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: peerIdle}}, ""),
	})
	if node.config.Entry != nil {
		node.startEntry()
	}
	if err := node.startControl(seeds); err != nil {
		return err
	}
	return node.listen()
}

// identify gives the node its name; only one with a disk keeps it.
func (node *Node) identify() error {
	if node.config.Control == nil {
		node.self = identity.Diskless(node.config.PeerAddress)
		return nil
	}
	own, err := identity.Open(node.config.Control.DataFolder, node.config.PeerAddress, node.config.Control.Founder)
	node.self = own
	return err
}

// resolve finds a node by its name, which begins with its address.
func resolve(node id.Node) (string, bool) { return "http://" + electorate.Address(node), true }

func (node *Node) startEntry() {
	node.entry = entryapi.New(entryapi.Config{
		Dialect: node.config.Entry.Dialect, View: node.view, Now: node.clock.Now, Transport: node.engines,
		Log: node.config.Log, Metrics: node.metrics, Rand: newRand(),
	})
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // spreads load, keeps no secret
}

// view is the view in force, and an empty one before there is any.
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
		TargetVoters: node.config.VotersWanted, EngineStallTimeout: node.config.Stall, NodeLease: node.config.Lease, Disk: node.config.Disk, Peers: node.peers,
		Log: node.config.Log, Now: node.clock.Now, SendOrder: node.order, CollectUsage: node.report, OnViewChange: node.changed,
	}
	if own := node.config.Control; own != nil {
		config.DataFolder = own.DataFolder
		if own.Founder && node.self.Node == identity.Founder(node.config.PeerAddress) {
			config.Voters = founders(seeds)
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

func founders(seeds []string) []id.Node {
	nodes := make([]id.Node, len(seeds))
	for index, seed := range seeds {
		nodes[index] = identity.Founder(seed)
	}
	return nodes
}

func (node *Node) order(ctx context.Context, order controller.Order) error {
	client := &http.Client{Transport: node.engines}
	return node.config.Order(ctx, client, order)
}

func (node *Node) report(time.Time) member.UsageReported {
	if node.entry == nil {
		return member.UsageReported{}
	}
	return member.UsageReported{RunningByEndpoint: node.entry.RunningByEndpoint(), ActiveCalls: node.entry.ActiveCalls(), Stalled: node.entry.StalledEndpoints()}
}

func (node *Node) changed(current *view.View) {
	if current.Routing != nil && current.Routing.Declaration().Revision != node.revision {
		node.revision = current.Routing.Declaration().Revision
		node.config.Log.Info().Str("step", "in_force").Uint64("revision", uint64(node.revision)).Uint64("version", uint64(current.Version)).Send()
	}
	if node.entry != nil {
		node.entry.Update(current)
	}
}

func (node *Node) listen() error {
	loop := node.loop.Load()
	inner := http.NewServeMux()
	inner.Handle("/peer/", peerapi.New(loop, nil).UnauthenticatedHandler())
	inner.Handle("GET /metrics", metricsapi.New(node.metrics))
	handlers := map[string]http.Handler{node.config.PeerAddress: inner}
	if own := node.config.Control; own != nil {
		handlers[own.Address] = own.Handler(loop)
	}
	if own := node.config.Entry; own != nil {
		handlers[own.Address] = node.entry
		handlers[own.ReadyAddress] = node.readiness(own.ReadyPath)
	}
	for address, handler := range handlers {
		if err := node.open(address, handler); err != nil {
			return err
		}
	}
	return nil
}

func (node *Node) open(address string, handler http.Handler) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	node.servers = append(node.servers, server)
	node.serving.Go(func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			node.fail(errors.Wrapf(err, "serve at %s", address))
		}
	})
	node.config.Log.Info().Str("step", "listen").Str("address", address).Msg("listening")
	return nil
}

func (node *Node) fail(err error) {
	select {
	case node.failed <- err:
	default:
	}
}

// Ready tells whether the node takes new connections.
func (node *Node) Ready() bool {
	current := node.view()
	return !node.draining.Load() && current.Routing != nil && current.LeaseIsFresh(node.clock.Now())
}

func (node *Node) readiness(path string) http.Handler {
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

// Run serves until ctx ends, then drains and closes. A reload reads the seeds
// anew and cuts nothing. Run returns an error when a part fails for good.
func (node *Node) Run(ctx context.Context, reloads <-chan os.Signal) error {
	ticker := time.NewTicker(seedsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-reloads:
			node.config.Log.Info().Str("step", "reload").Msg("the seeds are read anew")
			node.introduceSeeds()
		case <-ticker.C:
			node.watchLease()
			if reason := node.loop.Load().Failure(); reason != "" {
				return diskLost(reason, node.close())
			}
		case err := <-node.failed:
			return err
		case <-ctx.Done():
			node.drain()
			return node.close()
		}
	}
}

// watchLease says when the lease is got or lost, and looks for control hosts
// anew while the node is out of touch.
func (node *Node) watchLease() {
	current, now := node.view(), node.clock.Now()
	if leased := current.AcceptsNewWork(now); leased != node.leased {
		node.leased = leased
		node.config.Log.Info().Str("step", "lease").Bool("held", leased).Int64("ended_ms_ago", now.Sub(current.LeaseUntil).Milliseconds()).Send()
	}
	if !node.leased {
		node.introduceSeeds()
	}
}

// introduceSeeds reads the seeds anew.
func (node *Node) introduceSeeds() {
	seeds, err := node.config.Seeds()
	if err != nil {
		node.config.Log.Warn().Err(err).Str("step", "read_seeds").Msg("the seeds can't be read; those known stay in use")
		return
	}
	node.loop.Load().AddContacts(seedNodes(seeds))
}

// drain lets running calls end. Callers come until the balancer has noticed
// that the node isn't ready; after that no connection takes another request.
func (node *Node) drain() {
	node.draining.Store(true)
	node.config.Log.Info().Str("step", "drain").Msg("draining")
	if node.entry == nil {
		node.handOver()
		return
	}
	node.entry.Drain()
	time.Sleep(drainLeast)
	ctx, cancel := context.WithTimeout(context.Background(), node.config.Grace-drainLeast-drainReserve)
	defer cancel()
	for _, server := range node.servers {
		// What still runs when the time is over is cut off by close.
		_ = server.Shutdown(ctx)
	}
}

func (node *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for node.loop.Load().TransferLeadership(ctx) && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

func (node *Node) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range node.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	node.serving.Wait()
	var err error
	if loop := node.loop.Load(); loop != nil {
		err = loop.Close()
	}
	if node.peers != nil {
		node.peers.Close()
	}
	node.engines.CloseIdleConnections()
	node.config.Log.Info().Str("step", "stop").Msg("stopped")
	return err
}
