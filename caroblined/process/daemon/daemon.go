// Package daemon assembles one node from its parts, and starts and stops them in
// order.
//
// # Usage
//
//	node, err := daemon.New(nodeSettings, log, daemon.TCP())
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
	"carobline.dev/caroblined/connection/metricsapi"
	"carobline.dev/caroblined/connection/operatorapi"
	"carobline.dev/caroblined/connection/peerapi"
	"carobline.dev/caroblined/process/accountant"
	"carobline.dev/caroblined/process/answerlog"
	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/caroblined/process/run"
	"carobline.dev/caroblined/process/settings"
	"carobline.dev/caroblined/request/partsguard"
	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/endpoint"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/tlsfiles"
	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/member"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/process/quorum"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/version/view"
)

const (
	// drainPollInterval is the pause between two checks whether running calls have
	// ended, or leadership has been transferred.
	drainPollInterval = 20 * time.Millisecond
	// tlsReloadInterval is the interval between checks for changed TLS files.
	tlsReloadInterval = 10 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a whole request, header and body.
	bodyTimeout = 60 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 2 * time.Minute
	// retryRatio is the share of calls that may be retried.
	retryRatio = 0.1
	// maxRetryTokens bounds the saved retries: enough for the streams that one node
	// may have on one group if the whole group fails at once.
	maxRetryTokens = 128
	// engineBufferBytes is the size of the read buffer and of the write buffer of a
	// connection to an engine. Small buffers suffice: a stream stays open for long
	// and sends little at a time.
	engineBufferBytes = 1 << 10
	// dialTimeout bounds the setup of a connection.
	dialTimeout = time.Second
	// stopReportTimeout bounds the wait for the leader's answer to the report that the node
	// stops.
	stopReportTimeout = 300 * time.Millisecond
	// closeTimeout bounds the transfer of leadership once calls are drained. A
	// fifth of it bounds the shutdown of each listener.
	closeTimeout = 5 * time.Second
	// callersInterface is the name of the interface for callers.
	callersInterface = "callers"
)

// Network opens a node's listeners and connections. Tests replace its fields.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP returns the TCP network of the machine.
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
	account  *memory.Account
	run      *run.Run

	control     atomic.Pointer[control.Control]
	peers       *peers.Peers
	traffic     *traffic.Traffic
	retryBudget *budget.Budget
	guard       *partsguard.Guard

	listeners       []*listener
	tlsFiles        []*tlsfiles.Files
	engineTransport *endpoint.Transport

	// background tracks work that outlives the call that started it.
	background       sync.WaitGroup
	backgroundCtx    context.Context //nolint:containedctx // bounds the daemon itself
	cancelBackground context.CancelFunc
	// closeIdlePeerConns closes the idle connections to other nodes.
	closeIdlePeerConns func()
	stopFinished       chan struct{}
	stopFinishedOnce   sync.Once
	closeOnce          sync.Once
	closeErr           error
}

// New starts a node's parts and opens its listeners. Call Run to serve until the
// node stops.
func New(nodeSettings settings.Settings, log zerolog.Logger, network Network) (*Daemon, error) {
	daemon := &Daemon{
		settings: nodeSettings, log: log.With().Str("node", string(nodeSettings.Node)).Logger(), now: time.Now, network: network,
		metrics: metrics.NewRegistry(), stopFinished: make(chan struct{}),
	}
	daemon.account = accountant.New(accountant.Config{Memory: memory.Bytes(nodeSettings.Limits.MemoryMB) << 20, Log: daemon.log, Metrics: daemon.metrics})
	daemon.engineTransport = endpoint.New(endpoint.Config{
		Dial: network.Dial, MaxIdlePerHost: 256, IdleTimeout: idleTimeout, BufferBytes: engineBufferBytes, IDHeader: rest.HeaderRequestID, ReaderBoundsStreams: true,
		Account: daemon.account, Now: daemon.now, Observe: answerlog.New(daemon.log, daemon.metrics).Record,
	})
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
	daemon.startPeers(rest.NewClient(peerClient, peerToken).Charged(daemon.account, daemon.now), scheme)
	daemon.startTraffic(incarnation)
	daemon.run = run.New(run.Config{
		Account: daemon.account, Now: daemon.now, Log: daemon.log, Metrics: daemon.metrics,
		Folder: daemon.settings.DataFolder, Disk: wal.OS(), Incarnation: incarnation,
	})
	if err := daemon.startControl(incarnation, rest.NewClient(&http.Client{Transport: daemon.engineTransport}, orderToken)); err != nil {
		daemon.traffic.Close()
		daemon.guard.Close()
		daemon.peers.Close()
		daemon.run.Close()
		return err
	}
	return daemon.openListeners(incarnation, peerToken)
}

// peerClient returns the client for other nodes and the scheme of their URLs. If
// peers use TLS, it trusts only the peers' own certificate authority.
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
	urlByNode := map[id.Node]string{}
	for _, peer := range daemon.settings.Peers {
		urlByNode[peer.Node] = scheme + peer.Address
	}
	daemon.peers = peers.New(peers.Config{Self: daemon.settings.Node, URLByNode: urlByNode, Client: client})
}

func (daemon *Daemon) startTraffic(incarnation id.Incarnation) {
	daemon.retryBudget = budget.New(retryRatio, maxRetryTokens)
	daemon.traffic = traffic.New(traffic.Config{
		RetryBudget: daemon.retryBudget,
		Dispatcher:  dispatcher.Config{Node: daemon.settings.Node, DataCentre: daemon.settings.DataCentre, Rand: newRand(incarnation)},
		View:        daemon.view, Now: daemon.now,
	})
	metricsapi.RegisterCold(daemon.metrics, func() int { return daemon.view().ColdEndpoints(daemon.now()) }, daemon.traffic.DivertedCalls)
	daemon.guard = partsguard.New(partsguard.Config{
		Self: daemon.settings.Node, Incarnation: incarnation, View: daemon.view, Now: daemon.now, Log: daemon.log, Metrics: daemon.metrics,
		Reach: func(ctx context.Context, address string) error { return rest.Reach(ctx, daemon.network.Dial, address) },
	})
}

// usage returns what the leader receives about the request path.
func (daemon *Daemon) usage(now time.Time) member.UsageReported {
	usage := daemon.traffic.Report(now)
	daemon.guard.Report(&usage)
	usage.Run = daemon.run.State(now, usage.ActiveCalls)
	return usage
}

// view returns the latest view, or an empty one before the event loop is started.
func (daemon *Daemon) view() *view.View {
	loop := daemon.control.Load()
	if loop == nil {
		return view.Empty()
	}
	return loop.View()
}

func (daemon *Daemon) startControl(incarnation id.Incarnation, engines *rest.Client) error {
	nodeSettings := daemon.settings
	loop, err := control.New(control.Config{
		Self: nodeSettings.Node, Incarnation: incarnation, Voters: nodeSettings.Voters(), Nodes: nodeSettings.Nodes(),
		DataFolder: nodeSettings.DataFolder, Disk: wal.OS(), ModelSpecs: nodeSettings.Models, MaxLoadingGroups: nodeSettings.MaxLoadingGroups,
		Timing: quorum.DefaultTiming(), Peers: daemon.peers, Log: daemon.log, Now: daemon.now,
		SendOrder: func(ctx context.Context, order action.Order) error {
			if order.Kind == action.OrderProbe {
				return rest.Reach(ctx, daemon.network.Dial, order.Address)
			}
			return hostapi.SendOrder(ctx, engines, order)
		},
		CollectUsage: daemon.usage,
		OnViewChange: daemon.viewChanged,
		OnFormerRun:  daemon.run.ToldByLeader,
		DataCentres:  []id.DataCentre{nodeSettings.DataCentre},
	})
	if err != nil {
		return err
	}
	daemon.control.Store(loop)
	return nil
}

func (daemon *Daemon) viewChanged(current *view.View) {
	daemon.traffic.Wake()
	daemon.guard.Update(current)
	metrics.GetOrRegisterGauge("evacuated_data_centres", daemon.metrics).Update(int64(len(current.EvacuatedDataCentres)))
	if current.StopFinished {
		daemon.stopFinishedOnce.Do(func() { close(daemon.stopFinished) })
	}
}

func (daemon *Daemon) openListeners(incarnation id.Incarnation, peerToken string) error {
	nodeSettings, loop := daemon.settings, daemon.control.Load()
	callers := callerapi.New(callerapi.Config{
		Owner:   register.Owner{Node: nodeSettings.Node, Incarnation: incarnation},
		Traffic: daemon.traffic, View: daemon.view, Now: daemon.now, RequestID: newRequestID,
		Propose: loop.Propose, RunInBackground: daemon.runInBackground, Log: daemon.log, Metrics: daemon.metrics,
		BodyBytes: nodeSettings.Limits.BodyBytes, InactivityTimeout: time.Duration(nodeSettings.Limits.InactivityTimeoutMS) * time.Millisecond,
		CallerWriteTimeout: daemon.callerWriteTimeout(),
		PriorityLevels:     attained.New(attained.DefaultThresholds()), RetryBudget: daemon.retryBudget, Guard: daemon.guard, Account: daemon.account, EngineTransport: daemon.engineTransport,
	}).Handler()
	if nodeSettings.RouterOff {
		callers = routerOffHandler()
	}
	peerCredentials := []rest.Credential{{Name: "peer", TokenSHA256: rest.HashToken(peerToken)}}
	intake := rest.Intake{Account: daemon.account, Now: daemon.now, Timeout: rest.BodyTimeout}
	interfaces := []struct {
		name, address string
		pair          settings.KeyPair
		handler       http.Handler
	}{
		{callersInterface, nodeSettings.Listen.Callers, nodeSettings.TLS.Callers, callers},
		{"hosts", nodeSettings.Listen.Hosts, nodeSettings.TLS.Hosts, hostapi.New(loop, nodeSettings.Credentials.Announcers, intake).Handler()},
		{"operators", nodeSettings.Listen.Operators, nodeSettings.TLS.Operators, operatorapi.New(operatorapi.Config{
			Control: loop, Credentials: nodeSettings.Credentials.Operators, Metrics: daemon.metrics, Intake: intake,
		}).Handler()},
		{"peers", nodeSettings.Listen.Peers, nodeSettings.TLS.Peers, peerapi.New(loop, peerCredentials, intake).Handler()},
	}
	for _, entry := range interfaces {
		if err := daemon.openListener(entry.name, entry.address, entry.pair, entry.handler); err != nil {
			return joinErrors(err, daemon.Close())
		}
	}
	return nil
}

func joinErrors(err, closeErr error) error {
	if closeErr != nil {
		return errors.Wrap(err, closeErr.Error())
	}
	return err
}

// runInBackground runs work that outlives its caller. Close cancels its context and
// waits for it.
func (daemon *Daemon) runInBackground(work func(ctx context.Context)) {
	daemon.background.Go(func() { work(daemon.backgroundCtx) })
}

// Run serves until ctx ends, when it drains, or until a planned stop has finished.
// Then it closes the daemon and returns the error of that.
func (daemon *Daemon) Run(ctx context.Context) error {
	ticker := time.NewTicker(tlsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			daemon.reload()
		case <-daemon.stopFinished:
			daemon.log.Info().Str("step", "stop").Msg("the planned stop has finished; closing the node")
			daemon.awaitAnswers()
			daemon.awaitStopReport()
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
			daemon.log.Error().Err(err).Str("step", "reload_tls").Msg("reloading the TLS files failed; the previous certificate stays in use")
		}
		if changed {
			daemon.log.Info().Str("step", "reload_tls").Msg("a new TLS certificate is in use")
		}
	}
}

// drain refuses new calls and waits for running calls, however long they take.
// Then it transfers leadership to another voter, if there is one.
func (daemon *Daemon) drain() {
	daemon.run.Stop()
	daemon.log.Info().Str("step", "drain").Msg("draining")
	daemon.traffic.Stop()
	for !daemon.traffic.Report(daemon.now()).Drained {
		time.Sleep(drainPollInterval)
	}
	daemon.background.Wait()
	daemon.awaitAnswers()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for len(daemon.settings.Voters()) > 1 && daemon.control.Load().TransferLeadership(ctx) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	daemon.awaitStopReport()
}

// awaitStopReport waits until the leader has the report that the node stops, so that it doesn't take
// that for an end without a stop. Without a leader it gives up soon.
func (daemon *Daemon) awaitStopReport() {
	daemon.run.Stop()
	giveUpAt := daemon.now().Add(stopReportTimeout)
	for !daemon.control.Load().StopReported() && daemon.now().Before(giveUpAt) {
		time.Sleep(drainPollInterval)
	}
}

// awaitAnswers closes the callers' listener and waits until the answers of calls that
// have ended are written. The timeout of a write to a caller bounds the wait, for callers
// that don't read.
func (daemon *Daemon) awaitAnswers() {
	ctx, cancel := context.WithTimeout(context.Background(), daemon.callerWriteTimeout())
	defer cancel()
	for _, listener := range daemon.listeners {
		if listener.name != callersInterface {
			continue
		}
		if err := listener.server.Shutdown(ctx); err != nil {
			daemon.log.Warn().Err(err).Str("step", "drain").Msg("some callers don't read their answers; they are broken off")
		}
	}
}

func (daemon *Daemon) callerWriteTimeout() time.Duration {
	return time.Duration(daemon.settings.Limits.CallerWriteTimeoutMS) * time.Millisecond
}

// Close stops all parts and waits for them. It breaks off running calls; Run
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
	daemon.guard.Close()
	err := daemon.control.Load().Close()
	daemon.peers.Close()
	daemon.run.Close()
	daemon.engineTransport.CloseIdleConnections()
	daemon.closeIdlePeerConns()
	return err
}

// Addresses returns the actual address of each listener, by interface name. It
// differs from the settings where they give port 0.
func (daemon *Daemon) Addresses() map[string]net.Addr {
	addressByInterface := map[string]net.Addr{}
	for _, listener := range daemon.listeners {
		addressByInterface[listener.name] = listener.socket.Addr()
	}
	return addressByInterface
}
