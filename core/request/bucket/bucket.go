// Package bucket limits a rate. A bucket may run into debt when work turns out
// larger than was thought; nothing passes until the debt is paid.
//
// # Usage
//
//	limit := bucket.New(now, rate, time.Second)
//	if limit.Ready(now) { limit.Take(now, cost) }
package bucket

import (
	"time"
)

// Bucket holds one limit. It isn't safe for concurrent use.
type Bucket struct {
	rate   float64
	window time.Duration
	level  float64
	at     time.Time
}

// New returns a full bucket that holds a window's worth of its rate, in units
// a second.
func New(now time.Time, rate float64, window time.Duration) *Bucket {
	bucket := &Bucket{rate: rate, window: window, at: now}
	bucket.level = bucket.size()
	return bucket
}

// size is at least one unit, so that a small rate lets a call pass at times.
func (bucket *Bucket) size() float64 {
	return max(1, bucket.rate*bucket.window.Seconds())
}

// SetRate changes the rate from now on. What the bucket holds stays, up to its
// new size.
func (bucket *Bucket) SetRate(now time.Time, rate float64) {
	if rate == bucket.rate {
		return
	}
	bucket.refill(now)
	bucket.rate = rate
	bucket.level = min(bucket.level, bucket.size())
}

func (bucket *Bucket) refill(now time.Time) {
	elapsed := now.Sub(bucket.at).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.level = min(bucket.size(), bucket.level+elapsed*bucket.rate)
	bucket.at = now
}

// Ready tells whether work may pass now.
func (bucket *Bucket) Ready(now time.Time) bool {
	bucket.refill(now)
	return bucket.rate > 0 && bucket.level >= min(1, bucket.size())
}

// Take takes out any amount; a negative one gives back.
func (bucket *Bucket) Take(now time.Time, amount float64) {
	bucket.refill(now)
	bucket.level = min(bucket.size(), bucket.level-amount)
}

// Wait is how long until Ready; it is an hour for a bucket without a rate.
func (bucket *Bucket) Wait(now time.Time) time.Duration {
	if bucket.Ready(now) {
		return 0
	}
	if bucket.rate <= 0 {
		return time.Hour
	}
	return time.Duration((1 - bucket.level) / bucket.rate * float64(time.Second))
}
