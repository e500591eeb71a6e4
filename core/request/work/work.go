// Package work computes how much of a group's time a call takes.
//
// # Usage
//
//	cost := work.Cost(engine, model, promptTokens, tokensOut)
package work

import (
	"math"
	"time"

	"carobline.dev/core/version/routing"
)

// maxCost stands for any longer time, so that sums of absurd sizes don't overflow.
const maxCost = time.Hour

// Cost returns the time that a call takes of a group that runs as many calls as it has slots:
// the reading of its prompt, which delays all of them, and its part of each token step. It is
// zero where the declaration has no times.
func Cost(engine *routing.Engine, model *routing.Model, promptTokens, tokensOut float64) time.Duration {
	if !Known(engine) {
		return 0
	}
	seconds := positive(promptTokens)/engine.PrefillTokensPerSecond +
		positive(tokensOut)*(engine.StepMS/float64(engine.Slots)+engine.StepPerRequestMS)/float64(time.Second/time.Millisecond)
	if model.Pace > 0 {
		seconds *= model.Pace
	}
	return time.Duration(min(positive(seconds), maxCost.Seconds()) * float64(time.Second))
}

// Known reports whether a declaration has the times by which the cost of a call is computed.
func Known(engine *routing.Engine) bool {
	return engine.Slots > 0 && engine.PrefillTokensPerSecond > 0 && engine.StepMS >= 0 && engine.StepPerRequestMS >= 0 &&
		engine.StepMS+engine.StepPerRequestMS > 0
}

// positive returns a number, or zero for one that is negative or none.
func positive(number float64) float64 {
	if math.IsNaN(number) {
		return 0
	}
	return max(0, number)
}
