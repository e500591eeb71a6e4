package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"

	"carobline.dev/caroblined/connection/recovery"
	"carobline.dev/caroblined/process/settings"
	"carobline.dev/core/connection/callerconn"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/tlsfiles"
	"carobline.dev/core/id"
)

// listener serves one interface.
type listener struct {
	name    string
	socket  net.Listener
	server  *http.Server
	serving sync.WaitGroup
}

func (daemon *Daemon) openListener(name, address string, pair settings.KeyPair, handler http.Handler) error {
	socket, err := daemon.network.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	socket = netutil.LimitListener(socket, daemon.settings.Limits.Connections)
	if pair.CertificateFile != "" {
		files, err := tlsfiles.New(pair.CertificateFile, pair.KeyFile)
		if err != nil {
			_ = socket.Close()
			return errors.Wrapf(err, "listen for %s", name)
		}
		daemon.tlsFiles = append(daemon.tlsFiles, files)
		socket = tls.NewListener(socket, files.Config())
	}
	handler = recovery.New(recovery.Config{Next: handler, IDHeader: rest.HeaderRequestID, Log: daemon.log, Metrics: daemon.metrics})
	opened := &listener{name: name, socket: socket, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: daemon.settings.Limits.HeaderBytes,
	}}
	if pair.CertificateFile == "" {
		opened.chargeHeads(daemon)
	}
	daemon.listeners = append(daemon.listeners, opened)
	opened.serving.Go(func() {
		if err := opened.server.Serve(opened.socket); !errors.Is(err, http.ErrServerClosed) {
			daemon.log.Error().Err(err).Str("step", "serve").Str("interface", name).Msg("the HTTP server failed; the interface no longer accepts connections")
		}
	})
	daemon.log.Info().Str("step", "listen").Str("interface", name).Str("address", socket.Addr().String()).Msg("listening")
	return nil
}

// chargeHeads charges the heads of requests to the account, whose sum has no other bound. The limits of each stay the
// same. It isn't for connections with TLS: net/http opens those itself, and must see them.
func (listener *listener) chargeHeads(daemon *Daemon) {
	listener.socket = callerconn.New(listener.socket, callerconn.Config{
		Limits:  callerconn.Limits{HeadBytes: daemon.settings.Limits.HeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout, FirstTime: headerTimeout},
		Account: daemon.account, Now: daemon.now,
	})
	server := listener.server
	server.ConnState, server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = callerconn.StateChanged, -1, -1, callerconn.NoHeadLimit
}

// close waits up to a fifth of closeTimeout for running requests to end, then
// breaks off the rest.
func (listener *listener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout/5)
	defer cancel()
	if err := listener.server.Shutdown(ctx); err != nil {
		_ = listener.server.Close()
	}
	listener.serving.Wait()
}

// routerOffHandler refuses callers' requests, other than /healthz, on a host that
// is reserved for control.
func routerOffHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/healthz" {
			rest.WriteJSON(writer, http.StatusOK, struct {
				Status string `json:"status"`
			}{"alive"})
			return
		}
		rest.WriteError(writer, rest.NotRun(http.StatusServiceUnavailable, "router_off", "this host is set aside for control; another one serves"))
	})
}

func newRequestID() id.Request {
	var raw [16]byte
	// The system's source of randomness doesn't fail on supported systems.
	_, _ = rand.Read(raw[:])
	return id.Request(hex.EncodeToString(raw[:]))
}

func newRand(incarnation id.Incarnation) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(uint64(incarnation), 0)) //nolint:gosec // load balancing, not security
}
