// Package answerlog writes and counts what the transports to endpoints observe: answers that belong to no request, and
// requests that come to an address again.
//
// # Usage
//
//	transport := endpoint.New(endpoint.Config{Observe: answerlog.New(log, registry).Record})
package answerlog

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/core/connection/endpoint"
)

// Log is where observations go. It is safe for concurrent use.
type Log struct {
	log     zerolog.Logger
	metrics metrics.Registry
}

// New returns a log whose counters are named endpoint.copied_refusal and so on.
func New(log zerolog.Logger, registry metrics.Registry) *Log {
	return &Log{log: log, metrics: registry}
}

// Record writes the line of an observation and counts it.
func (log *Log) Record(observation endpoint.Observation) {
	metrics.GetOrRegisterCounter("endpoint."+string(observation.Oddity), log.metrics).Inc(1)
	event := log.log.Info().Str("step", string(observation.Oddity)).Str("address", observation.Address).Str("request", observation.Request)
	if observation.Status != 0 {
		event = event.Str("answered", observation.Answered).Int("status", observation.Status)
	}
	event.Send()
}
