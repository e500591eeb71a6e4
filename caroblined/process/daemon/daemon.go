// Package daemon joins the parts of one node and sees to their order of start
// and stop.
//
// # Usage
//
//	node, err := daemon.New(known, log, daemon.TCP())
//	err = node.Run(ctx) // until ctx ends or a planned stop is over
package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/connection/callerapi"
	"carobline.dev/caroblined/connection/hostapi"
	"carobline.dev/caroblined/connection/operatorapi"
	"carobline.dev/caroblined/connection/peerapi"
	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/caroblined/process/settings"
	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/tlsfiles"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/version/view"
)

const (
	// drainPollInterval is how often a stopping node looks whether it is done.
	drainPollInterval = 20 * time.Millisecond
	// tlsReloadInterval is how often TLS files are looked at.
	tlsReloadInterval = 10 * time.Second
	// headerTimeout bounds the reading of one request's header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of one request.
	bodyTimeout = 60 * time.Second
	// idleTimeout bounds the life of an unused connection.
	idleTimeout = 2 * time.Minute
	// retryRatio is the part of calls that may be tried a second time.
	retryRatio = 0.1
	// maxRetryTokens bounds the retries that are saved up: the streams that one
	// node may have on a group that is lost at once.
	maxRetryTokens = 128
	// engineBufferBytes is what a connection to an engine buffers each way; a stream
	// stays open for long and sends little at a time.
	engineBufferBytes = 1 << 10
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// closeTimeout bounds the end of background work once calls are drained.
	closeTimeout = 5 * time.Second
)

// Network is how a node reaches the outside. Tests replace its fields.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is the machine's own network.
func TCP() Network {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   dialer.DialContext,
	}
}

// Daemon is one running node.
type Daemon struct {
	settings settings.Settings
	log      zerolog.Logger
	now      func() time.Time
	network  Network
	metrics  metrics.Registry

	control     atomic.Pointer[control.Control]
	peers       *peers.Peers
	traffic     *traffic.Traffic
	retryBudget *budget.Budget

	listeners           []*listener
	tlsFiles            []*tlsfiles.Files
	engineTransport     *http.Transport
	singleSendTransport *http.Transport

	// background runs what outlives a caller.
	background       sync.WaitGroup
	backgroundCtx    context.Context //nolint:containedctx // the life of the daemon itself
	cancelBackground context.CancelFunc
	// closeIdlePeerConns drops the kept connections to other nodes.
	closeIdlePeerConns func()
	stopFinished       chan struct{}
	stopFinishedOnce   sync.Once
	closeOnce          sync.Once
	closeErr           error
}

// New starts a node's parts and opens its listeners.
func New(known settings.Settings, log zerolog.Logger, network Network) (*Daemon, error) {
	daemon := &Daemon{
		settings: known, log: log.With().Str("node", string(known.Node)).Logger(), now: time.Now, network: network,
		metrics: metrics.NewRegistry(), stopFinished: make(chan struct{}),
		engineTransport: &http.Transport{
			DialContext: network.Dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: idleTimeout, DisableCompression: true,
			ReadBufferSize: engineBufferBytes, WriteBufferSize: engineBufferBytes,
		},
		// A call that must not repeat has a connection of its own, since the
		// transport repeats requests over kept ones.
		singleSendTransport: &http.Transport{DialContext: network.Dial, DisableKeepAlives: true, DisableCompression: true},
	}
	daemon.backgroundCtx, daemon.cancelBackground = context.WithCancel(context.Background())
	if err := daemon.start(); err != nil {
		return nil, errors.Wrap(err, "start")
	}
	return daemon, nil
}

func (daemon *Daemon) start() error {
	peerToken, err := settings.ReadToken(daemon.settings.Credentials.PeerTokenFile)
	if err != nil {
		return err
	}
	orderToken, err := settings.ReadToken(daemon.settings.Credentials.OrderTokenFile)
	if err != nil {
		return err
	}
	peerClient, scheme, err := daemon.peerClient()
	if err != nil {
		return err
	}
	incarnation := id.Incarnation(daemon.now().UnixNano())
	daemon.startPeers(rest.NewClient(peerClient, peerToken), scheme)
	daemon.startTraffic(incarnation)
	if err := daemon.startControl(incarnation, rest.NewClient(&http.Client{Transport: daemon.engineTransport}, orderToken)); err != nil {
		daemon.traffic.Close()
		daemon.peers.Close()
		return err
	}
	return daemon.openListeners(incarnation, peerToken)
}

// peerClient trusts only the peers' own authority when peers speak TLS.
func (daemon *Daemon) peerClient() (*http.Client, string, error) {
	transport := &http.Transport{DialContext: daemon.network.Dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: idleTimeout}
	daemon.closeIdlePeerConns = transport.CloseIdleConnections
	path := daemon.settings.TLS.PeerAuthorityFile
	if path == "" {
		return &http.Client{Transport: transport}, "http://", nil
	}
	authority, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Wrap(err, "read peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, "", errors.Errorf("read peer authority: %s holds no certificate", path)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: transport}, "https://", nil
}

func (daemon *Daemon) startPeers(client *rest.Client, scheme string) {
	addresses := map[id.Node]string{}
	for _, peer := range daemon.settings.Peers {
		addresses[peer.Node] = scheme + peer.Address
	}
	daemon.peers = peers.New(peers.Config{Self: daemon.settings.Node, Addresses: addresses, Client: client})
}

func (daemon *Daemon) startTraffic(incarnation id.Incarnation) {
	daemon.retryBudget = budget.New(retryRatio, maxRetryTokens)
	daemon.traffic = traffic.New(traffic.Config{
		RetryBudget: daemon.retryBudget,
		Dispatcher:  dispatcher.Config{Node: daemon.settings.Node, DataCentre: daemon.settings.DataCentre, Rand: newRand(incarnation)},
		View:        daemon.view, Now: daemon.now,
	})
}

// view is the view in force, and an empty one before there is any.
func (daemon *Daemon) view() *view.View {
	loop := daemon.control.Load()
	if loop == nil {
		return view.Empty()
	}
	return loop.View()
}

func (daemon *Daemon) startControl(incarnation id.Incarnation, engines *rest.Client) error {
	known := daemon.settings
	loop, err := control.New(control.Config{
		Self: known.Node, Incarnation: incarnation, Voters: known.Voters(), Nodes: known.Nodes(),
		DataFolder: known.DataFolder, Disk: wal.OS(), ModelSpecs: known.Models, MaxLoadingGroups: known.MaxLoadingGroups,
		Timing: quorum.DefaultTiming(), Peers: daemon.peers, Log: daemon.log, Now: daemon.now,
		SendOrder: func(ctx context.Context, order controller.Order) error {
			return hostapi.SendOrder(ctx, engines, order)
		},
		CollectUsage: daemon.traffic.Report,
		OnViewChange: daemon.viewChanged,
	})
	if err != nil {
		return err
	}
	daemon.control.Store(loop)
	return nil
}

func (daemon *Daemon) viewChanged(current *view.View) {
	daemon.traffic.Wake()
	if current.StopFinished {
		daemon.stopFinishedOnce.Do(func() { close(daemon.stopFinished) })
	}
}

func (daemon *Daemon) openListeners(incarnation id.Incarnation, peerToken string) error {
	known, loop := daemon.settings, daemon.control.Load()
	callers := callerapi.New(callerapi.Config{
		Owner:   register.Owner{Node: known.Node, Incarnation: incarnation},
		Traffic: daemon.traffic, View: daemon.view, Now: daemon.now, RequestID: newRequestID,
		Propose: loop.Propose, RunInBackground: daemon.runInBackground, Log: daemon.log, Metrics: daemon.metrics,
		BodyBytes: known.Limits.BodyBytes, InactivityTimeout: time.Duration(known.Limits.InactivityTimeoutMS) * time.Millisecond,
		CallerWriteTimeout: time.Duration(known.Limits.CallerWriteTimeoutMS) * time.Millisecond,
		PriorityLevels:     attained.New(attained.DefaultThresholds()), RetryBudget: daemon.retryBudget, EngineTransport: daemon.engineTransport, SingleSendTransport: daemon.singleSendTransport,
	}).Handler()
	if known.RouterOff {
		callers = routerOffHandler()
	}
	peerCredentials := []rest.Credential{{Name: "peer", TokenSHA256: rest.HashToken(peerToken)}}
	interfaces := []struct {
		name, address string
		pair          settings.KeyPair
		handler       http.Handler
	}{
		{"callers", known.Listen.Callers, known.TLS.Callers, callers},
		{"hosts", known.Listen.Hosts, known.TLS.Hosts, hostapi.New(loop, known.Credentials.Announcers).Handler()},
		{"operators", known.Listen.Operators, known.TLS.Operators, operatorapi.New(operatorapi.Config{
			Control: loop, Credentials: known.Credentials.Operators, Metrics: daemon.metrics,
		}).Handler()},
		{"peers", known.Listen.Peers, known.TLS.Peers, peerapi.New(loop, peerCredentials).Handler()},
	}
	for _, entry := range interfaces {
		if err := daemon.openListener(entry.name, entry.address, entry.pair, entry.handler); err != nil {
			return joinErrors(err, daemon.Close())
		}
	}
	return nil
}

func joinErrors(first, second error) error {
	if second != nil {
		return errors.Wrap(first, second.Error())
	}
	return first
}

// runInBackground runs work that outlives its caller; Close waits for it.
func (daemon *Daemon) runInBackground(work func(ctx context.Context)) {
	daemon.background.Go(func() { work(daemon.backgroundCtx) })
}

// Run serves until ctx ends or a planned stop is over, then drains and closes.
func (daemon *Daemon) Run(ctx context.Context) error {
	ticker := time.NewTicker(tlsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			daemon.reload()
		case <-daemon.stopFinished:
			daemon.log.Info().Str("step", "stop").Msg("the planned stop is over")
			return daemon.Close()
		case <-ctx.Done():
			daemon.drain()
			return daemon.Close()
		}
	}
}

func (daemon *Daemon) reload() {
	for _, files := range daemon.tlsFiles {
		changed, err := files.Reload()
		if err != nil {
			daemon.log.Error().Err(err).Str("step", "reload_tls").Msg("the earlier certificate stays in use")
		}
		if changed {
			daemon.log.Info().Str("step", "reload_tls").Msg("a new certificate is in use")
		}
	}
}

// drain takes no new calls, passes leadership on and waits for running calls,
// however long they take.
func (daemon *Daemon) drain() {
	daemon.log.Info().Str("step", "drain").Msg("draining")
	daemon.traffic.Stop()
	for !daemon.traffic.Report(daemon.now()).Drained {
		time.Sleep(drainPollInterval)
	}
	daemon.background.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for len(daemon.settings.Voters()) > 1 && daemon.control.Load().TransferLeadership(ctx) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// Close ends all parts and waits for them. It cuts off what still runs; Run
// drains first. A second call waits for the first and returns its error.
func (daemon *Daemon) Close() error {
	daemon.closeOnce.Do(func() { daemon.closeErr = daemon.closeParts() })
	return daemon.closeErr
}

func (daemon *Daemon) closeParts() error {
	for _, listener := range daemon.listeners {
		listener.close()
	}
	daemon.cancelBackground()
	daemon.background.Wait()
	daemon.traffic.Close()
	err := daemon.control.Load().Close()
	daemon.peers.Close()
	daemon.engineTransport.CloseIdleConnections()
	daemon.closeIdlePeerConns()
	return err
}

// Addresses gives the addresses that the listeners really have, by interface.
func (daemon *Daemon) Addresses() map[string]net.Addr {
	addresses := map[string]net.Addr{}
	for _, listener := range daemon.listeners {
		addresses[listener.name] = listener.socket.Addr()
	}
	return addresses
}
