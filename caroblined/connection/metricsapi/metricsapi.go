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
