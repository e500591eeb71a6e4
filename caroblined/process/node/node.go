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

	"carobline.dev/caroblined/connection/entryapi"
	"carobline.dev/caroblined/process/accountant"
	"carobline.dev/caroblined/process/answerlog"
	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/identity"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/caroblined/process/run"
	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/boottime"
	"carobline.dev/core/process/electorate"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/version/view"
)

const (
	// dialTimeout bounds the setup of a connection to a node or an endpoint.
	dialTimeout = 400 * time.Millisecond
	// peerIdleTimeout and endpointIdleTimeout are how long unused connections are
	// kept.
	peerIdleTimeout     = time.Minute
	endpointIdleTimeout = 4 * time.Second
	// maxIdlePerEndpoint bounds the unused connections kept to one endpoint.
	maxIdlePerEndpoint = 32
	// checkInterval is the interval between checks of the lease and of the voter's
	// disk. Without a lease the seeds are read again at each check.
	checkInterval = time.Second
)

// Node is one running process.
type Node struct {
	config   Config
	clock    *boottime.Clock
	self     identity.Identity
	metrics  metrics.Registry
	account  *memory.Account
	run      *run.Run
	peers    *peers.Peers
	loop     atomic.Pointer[control.Control]
	entry    *entryapi.API
	draining atomic.Bool
	// loggedRevision and loggedLeaseHeld are the last logged values. Only the event
	// loop uses the first, only Run the second.
	loggedRevision  id.Revision
	loggedLeaseHeld bool
	// demandGauges are the names of the gauges of the last demand. Only the event loop uses
	// them.
	demandGauges      []string
	endpointTransport *endpoint.Transport
	listeners         []*listener
	// callerListeners are those of the entry, which stop accepting first.
	callerListeners []*listener
	// boundListener is that of callers, once it is open. The event loop changes its limits.
	boundListener    atomic.Pointer[listener]
	serverGoroutines sync.WaitGroup
	serveErrors      chan error
}

// New starts a node and opens its listeners. On an error it closes what it has
// started.
func New(config Config) (*Node, error) {
	node := &Node{
		config: config, clock: boottime.New(time.Now()), metrics: metrics.NewRegistry(), serveErrors: make(chan error, 1),
	}
	if err := node.start(); err != nil {
		if closeErr := node.close(); closeErr != nil {
			config.Log.Error().Err(closeErr).Str("step", "stop").Msg("closing the node after a failed start failed as well")
		}
		return nil, errors.Wrap(err, "start node")
	}
	return node, nil
}

// openTransport makes the transport to endpoints. It is called once there is an account.
func (node *Node) openTransport() {
	config := endpoint.Config{Dial: dial, MaxIdlePerHost: maxIdlePerEndpoint, IdleTimeout: endpointIdleTimeout, Account: node.account, Now: node.clock.Now, Observe: answerlog.New(node.config.Log, node.metrics).Record}
	if node.config.Entry != nil {
		config.IDHeader = node.config.Entry.Dialect.RequestID
	}
	node.endpointTransport = endpoint.New(config)
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
	node.account = accountant.New(accountant.Config{Memory: node.config.Memory, Log: node.config.Log, Metrics: node.metrics})
	node.openTransport()
	node.peers = peers.New(peers.Config{
		Self: node.self.Node, Resolve: resolve,
		Client: rest.NewClient(&http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: peerIdleTimeout}}, "").Charged(node.account, node.clock.Now),
	})
	if node.config.Entry != nil {
		node.startEntry()
	}
	node.startRun()
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
		Log: node.config.Log, Metrics: node.metrics, Rand: newRand(), SavedRetries: node.config.Entry.SavedRetries, DataCentre: node.config.Entry.DataCentre,
		Self: node.self.Node, Incarnation: node.self.Incarnation, Account: node.account,
		Reach: func(ctx context.Context, address string) error { return rest.Reach(ctx, dial, address) },
	})
}

// startRun starts the run, with a record on a control host.
func (node *Node) startRun() {
	config := run.Config{
		Account: node.account, Now: node.clock.Now, Log: node.config.Log, Metrics: node.metrics, Process: node.config.process,
		Incarnation: node.self.Incarnation, Former: node.self.Incarnation - 1,
	}
	if node.config.Control != nil {
		config.Folder, config.Disk = node.config.Control.DataFolder, node.config.Disk
	}
	node.run = run.New(config)
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
		OnFormerRun: node.run.ToldByLeader, DataCentres: node.config.DataCentres, OnDemand: node.recordDemand,
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

func (node *Node) collectUsage(now time.Time) member.UsageReported {
	if node.entry == nil {
		return member.UsageReported{Run: node.run.State(now, 0)}
	}
	usage := member.UsageReported{RunningByEndpoint: node.entry.RunningByEndpoint(), ActiveCalls: node.entry.ActiveCalls(), StalledEndpoints: node.entry.StalledEndpoints()}
	usage.Run = node.run.State(now, usage.ActiveCalls)
	usage.OfferedWork = node.entry.OfferedWork()
	node.entry.ReportParts(&usage)
	return usage
}

// evacuatedGauge is the number of evacuated data centres in force at the node.
const evacuatedGauge = "evacuated_data_centres"

func (node *Node) viewChanged(current *view.View) {
	if current.Routing != nil && current.Routing.Declaration().Revision != node.loggedRevision {
		node.loggedRevision = current.Routing.Declaration().Revision
		node.config.Log.Info().Str("step", "in_force").Uint64("revision", uint64(node.loggedRevision)).Uint64("version", uint64(current.Version)).Int64("after_ms", current.RoutingDelay.Milliseconds()).Send()
	}
	metrics.GetOrRegisterGauge(evacuatedGauge, node.metrics).Update(int64(len(current.EvacuatedDataCentres)))
	if node.entry != nil {
		node.entry.Update(current)
	}
	node.applyCallerLimits(current)
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
