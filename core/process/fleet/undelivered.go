package fleet

import (
	"time"

	"carobline.dev/core/process/action"
)

// undelivered is what is known of orders that didn't reach a host.
type undelivered struct {
	// refusedAt is when the host's address last refused a connection.
	refusedAt time.Time
	// timedOutAt is when one last timed out, and timedOutBefore when the one before did, at
	// least half of action.OrderRetryInterval earlier.
	timedOutAt, timedOutBefore time.Time
}

// record records an order that didn't reach the host.
func (undelivered *undelivered) record(now time.Time, refused bool) {
	switch {
	case refused:
		undelivered.refusedAt = now
	case now.Sub(undelivered.timedOutAt) >= action.OrderRetryInterval/2:
		undelivered.timedOutBefore, undelivered.timedOutAt = undelivered.timedOutAt, now
	}
}

// proven reports whether orders since a time prove that the host can't be reached: one was
// refused, or two have timed out. One alone may be a lost packet, or a cut that is over soon.
func (undelivered *undelivered) proven(since time.Time) bool {
	return undelivered != nil && (undelivered.refusedAt.After(since) || undelivered.timedOutBefore.After(since))
}

// any reports whether an order since a time didn't reach the host.
func (undelivered *undelivered) any(since time.Time) bool {
	return undelivered != nil && (undelivered.refusedAt.After(since) || undelivered.timedOutAt.After(since))
}
