package dispatcher

import (
	"math"
	"time"
)

// rate estimates a rate from single amounts by an exponentially decaying sum.
type rate struct {
	window time.Duration
	// sum is the total of all amounts, decayed until decayedAt.
	sum       float64
	decayedAt time.Time
}

func (rate *rate) decay(now time.Time) {
	if rate.decayedAt.IsZero() {
		rate.decayedAt = now
	}
	elapsed := now.Sub(rate.decayedAt)
	if elapsed <= 0 {
		return
	}
	rate.sum *= math.Exp(-elapsed.Seconds() / rate.window.Seconds())
	rate.decayedAt = now
	const negligible = 1e-9
	if rate.sum < negligible {
		rate.sum = 0
	}
}

func (rate *rate) add(now time.Time, amount float64) {
	rate.decay(now)
	rate.sum += amount
}

func (rate *rate) perSecond(now time.Time) float64 {
	rate.decay(now)
	return rate.sum / rate.window.Seconds()
}
