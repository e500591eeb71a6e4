package node

import (
	"net/http"

	"carobline.dev/caroblined/connection/metricsapi"
	"carobline.dev/caroblined/connection/peerapi"
)

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
