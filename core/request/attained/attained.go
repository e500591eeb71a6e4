// Package attained assigns calls to priority levels by the number of tokens that
// they have had. Lengths aren't known when calls arrive; a call starts at level
// 0 and is demoted as its tokens add up, so that short work never waits for long
// work (least attained service, after Kleinrock, "Queueing Systems", volume 2,
// 1976, as a multi-level feedback queue).
//
// # Usage
//
//	levels := attained.New(attained.DefaultThresholds())
//	if level := levels.Level(tokens); level > current { ... }
package attained

import "carobline.dev/core/id"

// Level is a priority at the engine; 0 is served first.
type Level int

// Attained maps attained tokens to levels.
type Attained struct {
	thresholds []id.Tokens
}

// DefaultThresholds returns thresholds that suit work of which most is under a
// hundred tokens.
func DefaultThresholds() []id.Tokens { return []id.Tokens{256, 4096} }

// New takes thresholds in ascending order; at each a call is demoted by one
// level.
func New(thresholds []id.Tokens) *Attained {
	return &Attained{thresholds: thresholds}
}

// Level returns the level of a call that has had a number of tokens.
func (attained *Attained) Level(tokens id.Tokens) Level {
	level := Level(0)
	for _, threshold := range attained.thresholds {
		if tokens >= threshold {
			level++
		}
	}
	return level
}
