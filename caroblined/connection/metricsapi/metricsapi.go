// Package metricsapi serves a node's counters and histograms as JSON.
//
// # Usage
//
//	mux.Handle("GET /metrics", metricsapi.New(registry))
package metricsapi

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// API serves the metrics of one registry.
type API struct{ registry metrics.Registry }

// New returns an API for a registry.
func New(registry metrics.Registry) *API { return &API{registry: registry} }

// ServeHTTP writes all metrics of the registry.
func (api *API) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(api.registry, writer)
}

// RegisterCold registers the gauges cold.endpoints, the cold endpoints that a node has, and
// cold.diverted_calls, the calls that have gone elsewhere for the limit of one.
func RegisterCold(registry metrics.Registry, endpoints func() int, diverted func() int64) {
	// A name is taken only when a process serves callers in two ways, of which the first one then counts.
	_ = registry.Register("cold.endpoints", metrics.NewFunctionalGauge(func() int64 { return int64(endpoints()) }))
	_ = registry.Register("cold.diverted_calls", metrics.NewFunctionalGauge(diverted))
}
