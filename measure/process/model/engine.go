// Package model simulates the engines that carobline serves: they batch streams in
// a fixed number of slots, give each running stream one token a step, serve smaller
// priority numbers first, pause and resume streams, and cache prompt prefixes in
// limited memory.
//
// # Usage
//
//	engine := model.NewEngine(model.EngineConfig{Slots: 8, StepTime: 20 * time.Millisecond})
//	engine.Add(stream)
//	engine.Advance() // one step
package model

import (
	"cmp"
	"slices"
	"time"
)

// EngineConfig describes an engine.
type EngineConfig struct {
	// Slots is how many streams run at a time.
	Slots int
	// StepTime is the time in which each running stream gets one token. The engine
	// doesn't read it; the caller of Advance keeps the time.
	StepTime time.Duration
	// MaxCachedPrefixes is how many prefixes the engine keeps; 0 disables the cache.
	MaxCachedPrefixes int
}

// Stream is one call at an engine; it can move to another engine with what it has
// generated.
type Stream struct {
	// TokensTotal is the length of the answer, and TokensDone is how much of it has
	// been generated.
	TokensTotal, TokensDone int
	// StepsWithSlot counts the steps in which the stream had a slot, prefill
	// included.
	StepsWithSlot int
	// PrefillSteps is how many steps with a slot remain before the first token, or
	// before the next one after a move.
	PrefillSteps int
	Priority     int
	Prefix       uint64
	// arrival numbers the streams in the order in which the engine got them.
	arrival uint64
	// OnToken is called after each token.
	OnToken func(stream *Stream)
}

// Engine simulates one engine.
type Engine struct {
	config      EngineConfig
	streams     []*Stream
	lastArrival uint64
	sorted      bool
	// SlowFactor makes a step take this many calls of Advance; 1 is full speed.
	SlowFactor        int
	advancesSinceStep int
	cachedPrefixes    []uint64
	PrefixHits        int
	PrefixMisses      int
	TokensServed      int
}

// NewEngine returns an idle engine that runs at full speed.
func NewEngine(config EngineConfig) *Engine { return &Engine{config: config, SlowFactor: 1} }

// Add adds a stream and reports whether its prefix was cached.
func (engine *Engine) Add(stream *Stream) bool {
	engine.lastArrival++
	stream.arrival = engine.lastArrival
	engine.streams = append(engine.streams, stream)
	engine.sorted = false
	return engine.usePrefix(stream.Prefix)
}

// usePrefix reports whether a prefix was cached, and makes it the latest one used;
// a full cache evicts the least recently used one. 0 means no prefix.
func (engine *Engine) usePrefix(prefix uint64) bool {
	if prefix == 0 || engine.config.MaxCachedPrefixes == 0 {
		return false
	}
	index := slices.Index(engine.cachedPrefixes, prefix)
	if index >= 0 {
		engine.cachedPrefixes = slices.Delete(engine.cachedPrefixes, index, index+1)
		engine.PrefixHits++
	} else {
		engine.PrefixMisses++
	}
	engine.cachedPrefixes = append(engine.cachedPrefixes, prefix)
	if len(engine.cachedPrefixes) > engine.config.MaxCachedPrefixes {
		engine.cachedPrefixes = engine.cachedPrefixes[1:]
	}
	return index >= 0
}

// CachedPrefixes returns the cached prefixes in order of use, the latest last.
func (engine *Engine) CachedPrefixes() []uint32 {
	prefixes := make([]uint32, len(engine.cachedPrefixes))
	for index, prefix := range engine.cachedPrefixes {
		prefixes[index] = uint32(prefix)
	}
	return prefixes
}

// Remove removes a stream; it does nothing if the engine doesn't have it.
func (engine *Engine) Remove(stream *Stream) {
	if index := slices.Index(engine.streams, stream); index >= 0 {
		engine.streams = slices.Delete(engine.streams, index, index+1)
	}
}

// Advance passes the time of one step at full speed. Once in SlowFactor calls, the
// first streams by priority and arrival, one a slot, get one token or one step of
// prefill each.
func (engine *Engine) Advance() {
	engine.advancesSinceStep++
	if engine.advancesSinceStep < engine.SlowFactor {
		return
	}
	engine.advancesSinceStep = 0
	if !engine.sorted {
		slices.SortStableFunc(engine.streams, func(a, b *Stream) int {
			return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
		})
		engine.sorted = true
	}
	running := slices.Clone(engine.streams[:min(len(engine.streams), engine.config.Slots)])
	for _, stream := range running {
		if stream.PrefillSteps > 0 {
			stream.PrefillSteps--
			stream.StepsWithSlot++
			continue
		}
		stream.TokensDone++
		stream.StepsWithSlot++
		engine.TokensServed++
		if stream.TokensDone >= stream.TokensTotal {
			engine.Remove(stream)
		}
		stream.OnToken(stream)
	}
}

// Load counts the streams that run, that wait for a slot, and, among both, those
// of priority 0.
func (engine *Engine) Load() (running, queued, highestPriority int) {
	for _, stream := range engine.streams {
		if stream.Priority == 0 {
			highestPriority++
		}
	}
	running = min(len(engine.streams), engine.config.Slots)
	return running, len(engine.streams) - running, highestPriority
}

// CountRemaining counts the streams that have at most the given number of tokens
// left to generate, and all streams.
func (engine *Engine) CountRemaining(tokens int) (ahead, all int) {
	for _, stream := range engine.streams {
		if stream.TokensTotal-stream.TokensDone <= tokens {
			ahead++
		}
	}
	return ahead, len(engine.streams)
}
