package dispatcher

import (
	"math"
	"time"
)

// rate smooths amounts into a rate that fades over its window.
type rate struct {
	window time.Duration
	value  float64
	at     time.Time
}

func (rate *rate) fade(now time.Time) {
	elapsed := now.Sub(rate.at)
	if rate.at.IsZero() || elapsed <= 0 {
		if rate.at.IsZero() {
			rate.at = now
		}
		return
	}
	rate.value *= math.Exp(-elapsed.Seconds() / rate.window.Seconds())
	rate.at = now
	if rate.value < 1e-9 {
		rate.value = 0
	}
}

func (rate *rate) add(now time.Time, amount float64) {
	rate.fade(now)
	rate.value += amount
}

func (rate *rate) perSecond(now time.Time) float64 {
	rate.fade(now)
	return rate.value / rate.window.Seconds()
}
