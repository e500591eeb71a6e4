package node

import (
	"net/http"

	"carobline.dev/caroblined/connection/metricsapi"
	"carobline.dev/caroblined/connection/peerapi"
	"carobline.dev/caroblined/connection/recovery"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/version/view"
)

func (node *Node) openListeners() error {
	loop := node.loop.Load()
	intake := rest.Intake{Account: node.account, Now: node.clock.Now, Timeout: rest.BodyTimeout}
	internalMux := http.NewServeMux()
	internalMux.Handle("/peer/", peerapi.New(loop, nil, intake).UnauthenticatedHandler())
	internalMux.Handle("GET /metrics", metricsapi.New(node.metrics))
	handlerByAddress := map[string]http.Handler{node.config.PeerAddress: internalMux}
	if controlConfig := node.config.Control; controlConfig != nil {
		handlerByAddress[controlConfig.Address] = controlConfig.Handler(loop, intake)
	}
	for address, handler := range handlerByAddress {
		listener, err := listen(address, node.recovering(handler))
		if err != nil {
			return err
		}
		node.startListener(address, listener)
	}
	if node.config.Entry == nil {
		return nil
	}
	return node.openCallerListeners(node.config.Entry)
}

// recovering returns a handler that records the panics of another one.
func (node *Node) recovering(handler http.Handler) http.Handler {
	idHeader := rest.HeaderRequestID
	if node.config.Entry != nil {
		idHeader = node.config.Entry.Dialect.RequestID
	}
	return recovery.New(recovery.Config{Next: handler, IDHeader: idHeader, Log: node.config.Log, Metrics: node.metrics})
}

// openCallerListeners opens those of callers and of the load balancer in front of the entry hosts.
func (node *Node) openCallerListeners(config *Entry) error {
	for address, handler := range map[string]http.Handler{config.Address: node.entry, config.ReadyAddress: node.readinessHandler(config.ReadyPath)} {
		listener, err := listen(address, node.recovering(handler))
		if err != nil {
			return err
		}
		if address == config.Address {
			listener.boundCallers(node.account, node.clock.Now)
			node.boundListener.Store(listener)
		}
		node.startListener(address, listener)
		node.callerListeners = append(node.callerListeners, listener)
	}
	node.applyCallerLimits(node.view())
	return nil
}

// applyCallerLimits puts the limits of a view's declaration in force, also on open connections.
func (node *Node) applyCallerLimits(current *view.View) {
	if listener := node.boundListener.Load(); listener != nil && current.Routing != nil {
		listener.callers.SetLimits(callerLimits(current.Routing.Declaration().Limits))
	}
}

func (node *Node) startListener(address string, listener *listener) {
	node.listeners = append(node.listeners, listener)
	node.serverGoroutines.Go(func() {
		if err := listener.serve(); err != nil {
			node.reportServeError(err)
		}
	})
	node.config.Log.Info().Str("step", "listen").Str("address", address).Msg("listening")
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
