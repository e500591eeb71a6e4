// Package recovery records the panics of HTTP handlers.
//
// # Usage
//
//	server := &http.Server{Handler: recovery.New(recovery.Config{Next: handler, IDHeader: "X-Request-Id", Log: log, Metrics: registry})}
package recovery

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// Counter is the name of the counter of panics.
const Counter = "handler.panics"

// Config is fixed for the life of a handler.
type Config struct {
	// Next serves the requests.
	Next http.Handler
	// IDHeader names the header with the id of a request.
	IDHeader string
	Log      zerolog.Logger
	Metrics  metrics.Registry
}

// Handler passes requests on to another handler. Each of its panics is counted, and logged with the
// request's id and the stack, and then ends the connection as http.ErrAbortHandler does. That one
// is passed on as it is: by it a handler ends an answer that stays incomplete. It is safe for
// concurrent use.
type Handler struct {
	config Config
	panics metrics.Counter
}

// New returns a handler.
func New(config Config) *Handler {
	return &Handler{config: config, panics: metrics.GetOrRegisterCounter(Counter, config.Metrics)}
}

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		if reason != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way
			handler.panics.Inc(1)
			handler.config.Log.Error().Str("step", "panic").Str("request", request.Header.Get(handler.config.IDHeader)).
				Str("method", request.Method).Str("path", request.URL.Path).Str("reason", fmt.Sprint(reason)).Bytes("stack", debug.Stack()).
				Msg("a handler panicked; its connection ends")
		}
		panic(http.ErrAbortHandler)
	}()
	handler.config.Next.ServeHTTP(writer, request)
}
