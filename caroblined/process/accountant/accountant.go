// Package accountant connects a process's account of memory with its log and its metrics.
//
// # Usage
//
//	account := accountant.New(accountant.Config{Memory: 284 << 20, Log: log, Metrics: registry})
package accountant

import (
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/core/process/memory"
)

// Config is fixed for the life of a process.
type Config struct {
	// Memory is what the process may use in all, in bytes; zero bounds nothing.
	Memory  memory.Bytes
	Log     zerolog.Logger
	Metrics metrics.Registry
}

// New returns an account that writes a line for each shortage. Its gauges are memory.limit, held,
// peak and largest_held, in bytes, and memory.refused and memory.ended count charges.
func New(config Config) *memory.Account {
	account := memory.New(memory.Config{Memory: config.Memory, Report: func(shortage memory.Shortage) { record(config.Log, shortage) }})
	gauge := func(name string, read func(memory.State) int64) {
		registered := metrics.NewFunctionalGauge(func() int64 { return read(account.State()) })
		// A name is taken only when a process has two accounts, which the first one then reports.
		_ = config.Metrics.Register("memory."+name, registered)
	}
	gauge("limit", func(state memory.State) int64 { return int64(state.Limit) })
	gauge("held", func(state memory.State) int64 { return int64(state.Held) })
	gauge("peak", func(state memory.State) int64 { return int64(state.Peak) })
	gauge("largest_held", func(state memory.State) int64 { return int64(state.LargestHeld) })
	gauge("refused", func(state memory.State) int64 { return int64(state.Refused) })
	gauge("ended", func(state memory.State) int64 { return int64(state.Ended) })
	return account
}

// Limit returns the most that the account of a process with some memory gives out; zero
// bounds nothing.
func Limit(processMemory memory.Bytes) memory.Bytes {
	return memory.New(memory.Config{Memory: processMemory}).State().Limit
}

// record writes the line of a shortage.
func record(log zerolog.Logger, shortage memory.Shortage) {
	log.Warn().Str("step", "memory").Str("verdict", string(shortage.Verdict)).Str("request", shortage.Subject).
		Str("holder_kind", string(shortage.Holder.Kind)).Str("holder", shortage.Holder.Name).Int64("holder_bytes", int64(shortage.HolderHeld)).
		Bool("stalled", shortage.Stalled).Int64("asked_bytes", int64(shortage.Asked)).Str("asked_by", shortage.AskedBy.Name).
		Int64("held_bytes", int64(shortage.Held)).Int64("limit_bytes", int64(shortage.Limit)).Msg("bytes aren't kept for want of memory")
}
