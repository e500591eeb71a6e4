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
	if rate.at.IsZero() {
		rate.at = now
	}
	elapsed := now.Sub(rate.at)
	if elapsed <= 0 {
		return
	}
	rate.value *= math.Exp(-elapsed.Seconds() / rate.window.Seconds())
	rate.at = now
	const negligible = 1e-9
	if rate.value < negligible {
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
