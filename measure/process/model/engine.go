// Package model is a model of the systems that carobline serves: engines that
// batch in a fixed number of slots, give each running stream one token a step,
// serve better priorities first, pause and resume streams, and cache prompt
// prefixes in limited memory.
//
// # Usage
//
//	engine := model.NewEngine(model.EngineConfig{Slots: 8, Step: 20 * time.Millisecond})
//	engine.Join(stream)
//	engine.Advance() // one step
package model

import (
	"cmp"
	"slices"
	"time"
)

// EngineConfig says how an engine behaves.
type EngineConfig struct {
	Slots int
	// Step is the time of one token for all running streams.
	Step time.Duration
	// PrefixPlaces is how many prefixes the engine keeps.
	PrefixPlaces int
}

// Stream is one call at an engine.
type Stream struct {
	// Length and Done count tokens.
	Length, Done int
	// Worked counts the steps in which the stream had a slot.
	Worked int
	// Prefill is how many steps pass before the first token, or before the
	// next one after a move.
	Prefill  int
	Priority int
	Prefix   uint64
	order    uint64
	// Token is called for each token.
	Token func(stream *Stream)
}

// Engine is one engine.
type Engine struct {
	config  EngineConfig
	streams []*Stream
	order   uint64
	sorted  bool
	// Slow makes a step take that many times as long.
	Slow    int
	skipped int
	cache   []uint64
	Hits    int
	Misses  int
	Served  int
}

// NewEngine returns an idle engine.
func NewEngine(config EngineConfig) *Engine { return &Engine{config: config, Slow: 1} }

// Join adds a stream, and tells whether its prefix was cached.
func (engine *Engine) Join(stream *Stream) bool {
	engine.order++
	stream.order = engine.order
	engine.streams = append(engine.streams, stream)
	engine.sorted = false
	return engine.touch(stream.Prefix)
}

// touch looks a prefix up and makes it the latest one used.
func (engine *Engine) touch(prefix uint64) bool {
	if prefix == 0 || engine.config.PrefixPlaces == 0 {
		return false
	}
	place := slices.Index(engine.cache, prefix)
	if place >= 0 {
		engine.cache = slices.Delete(engine.cache, place, place+1)
		engine.Hits++
	} else {
		engine.Misses++
	}
	engine.cache = append(engine.cache, prefix)
	if len(engine.cache) > engine.config.PrefixPlaces {
		engine.cache = engine.cache[1:]
	}
	return place >= 0
}

// Prefixes lists the cached prefixes.
func (engine *Engine) Prefixes() []uint32 {
	prefixes := make([]uint32, len(engine.cache))
	for place, prefix := range engine.cache {
		prefixes[place] = uint32(prefix)
	}
	return prefixes
}

// Leave takes a stream out.
func (engine *Engine) Leave(stream *Stream) {
	if place := slices.Index(engine.streams, stream); place >= 0 {
		engine.streams = slices.Delete(engine.streams, place, place+1)
	}
}

// Advance passes one step: the first streams by priority and arrival go on by
// one token each.
func (engine *Engine) Advance() {
	engine.skipped++
	if engine.skipped < engine.Slow {
		return
	}
	engine.skipped = 0
	if !engine.sorted {
		slices.SortStableFunc(engine.streams, func(a, b *Stream) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
		})
		engine.sorted = true
	}
	running := slices.Clone(engine.streams[:min(len(engine.streams), engine.config.Slots)])
	for _, stream := range running {
		if stream.Prefill > 0 {
			stream.Prefill--
			stream.Worked++
			continue
		}
		stream.Done++
		stream.Worked++
		engine.Served++
		if stream.Done >= stream.Length {
			engine.Leave(stream)
		}
		stream.Token(stream)
	}
}

// Load counts the streams that run, that wait, and that have the first
// priority.
func (engine *Engine) Load() (running, queued, urgent int) {
	for _, stream := range engine.streams {
		if stream.Priority == 0 {
			urgent++
		}
	}
	running = min(len(engine.streams), engine.config.Slots)
	return running, len(engine.streams) - running, urgent
}

// Contenders counts the streams whose remaining work is no longer than a
// length, and all streams.
func (engine *Engine) Contenders(length int) (ahead, all int) {
	for _, stream := range engine.streams {
		if stream.Length-stream.Done <= length {
			ahead++
		}
	}
	return ahead, len(engine.streams)
}
