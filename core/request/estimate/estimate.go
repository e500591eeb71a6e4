// Package estimate estimates how long something takes from how long it took before:
// a moving average of durations and of their absolute deviation from it, as TCP does
// for its retransmission timeout (RFC 6298).
//
// # Usage
//
//	var answerTime estimate.Estimate
//	answerTime.Record(elapsed)
//	if answerTime.Known() && answerTime.UpperBound(4) <= timeLeft { ... }
package estimate

import (
	"math"
	"time"
)

// smoothing is the weight of a new sample in the moving averages.
const smoothing = 0.05

// Estimate is an estimate of a duration. Its zero value has no samples yet. It isn't
// safe for concurrent use.
type Estimate struct {
	// mean and deviation are in seconds.
	mean, deviation float64
}

// Record adds a sample.
func (estimate *Estimate) Record(elapsed time.Duration) {
	if !estimate.Known() {
		estimate.mean, estimate.deviation = elapsed.Seconds(), elapsed.Seconds()/2
	}
	deviation := elapsed.Seconds() - estimate.mean
	estimate.mean += smoothing * deviation
	estimate.deviation += smoothing * (math.Abs(deviation) - estimate.deviation)
}

// Known reports whether there has been a sample.
func (estimate *Estimate) Known() bool { return estimate.mean > 0 }

// Mean returns the moving average.
func (estimate *Estimate) Mean() time.Duration { return seconds(estimate.mean) }

// UpperBound returns the moving average and a number of deviations.
func (estimate *Estimate) UpperBound(deviations float64) time.Duration {
	return seconds(estimate.mean + deviations*estimate.deviation)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
