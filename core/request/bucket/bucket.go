// Package bucket is a token bucket. Its balance may become negative when work
// turns out larger than expected; nothing passes until it has a unit again.
//
// # Usage
//
//	limit := bucket.New(now, rate, time.Second)
//	if limit.Ready(now) { limit.Take(now, cost) }
package bucket

import (
	"time"
)

// Bucket is the state of one limit. It isn't safe for concurrent use.
type Bucket struct {
	rate       float64
	window     time.Duration
	balance    float64
	refilledAt time.Time
}

// New returns a full bucket. Its rate is in units per second, and its capacity
// is what the rate gives in a window.
func New(now time.Time, rate float64, window time.Duration) *Bucket {
	bucket := &Bucket{rate: rate, window: window, refilledAt: now}
	bucket.balance = bucket.capacity()
	return bucket
}

// capacity is at least one unit, so that a small rate lets a call pass at times.
func (bucket *Bucket) capacity() float64 {
	return max(1, bucket.rate*bucket.window.Seconds())
}

// SetRate changes the rate, in units per second, from now on. The balance stays,
// up to the new capacity.
func (bucket *Bucket) SetRate(now time.Time, rate float64) {
	if rate == bucket.rate {
		return
	}
	bucket.refill(now)
	bucket.rate = rate
	bucket.balance = min(bucket.balance, bucket.capacity())
}

func (bucket *Bucket) refill(now time.Time) {
	elapsed := now.Sub(bucket.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.balance = min(bucket.capacity(), bucket.balance+elapsed*bucket.rate)
	bucket.refilledAt = now
}

// Ready reports whether work may pass now: at least one unit is there.
func (bucket *Bucket) Ready(now time.Time) bool {
	bucket.refill(now)
	return bucket.rate > 0 && bucket.balance >= min(1, bucket.capacity())
}

// Take removes any amount; a negative one is added.
func (bucket *Bucket) Take(now time.Time, amount float64) {
	bucket.refill(now)
	bucket.balance = min(bucket.capacity(), bucket.balance-amount)
}

// Wait returns how long it takes until Ready; it is an hour for a bucket without
// a rate.
func (bucket *Bucket) Wait(now time.Time) time.Duration {
	if bucket.Ready(now) {
		return 0
	}
	if bucket.rate <= 0 {
		return time.Hour
	}
	return time.Duration((1 - bucket.balance) / bucket.rate * float64(time.Second))
}
