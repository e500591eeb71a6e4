package memory

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Charge is what is held for one request or answer. It is safe for concurrent use. A nil Charge
// bounds nothing.
type Charge struct {
	account *Account
	subject string

	// The account's mutex guards the fields below.
	holdings           *holdings
	usual, large, peer Bytes
	end                func(stalled bool)
	// ended reports that the charge was asked to give way, at endedAt.
	ended               bool
	progressAt, endedAt time.Time
}

// Resize makes the charge hold size bytes. If they don't fit it returns ErrNoRoom, and the charge
// stays as it is; others may have been asked to give way. A charge that becomes smaller always fits.
func (charge *Charge) Resize(now time.Time, size Bytes) error {
	if charge == nil {
		return nil
	}
	_, err := charge.resize(now, size, true)
	if errors.Is(err, errPending) {
		return ErrNoRoom
	}
	return err
}

// Await is like Resize, but waits while others give way, until ctx ends, and for StallTime at most.
func (charge *Charge) Await(ctx context.Context, now func() time.Time, size Bytes) error {
	if charge == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, StallTime)
	defer cancel()
	for {
		freed, err := charge.resize(now(), size, true)
		if !errors.Is(err, errPending) {
			return err
		}
		if !wait(ctx, freed) {
			return ErrNoRoom
		}
	}
}

// AwaitTurn is like Await, but also waits while no charge gives way, until others have ended. A charge that
// waits keeps what it holds, so that it is for what is asked for at once, or for a bounded time.
func (charge *Charge) AwaitTurn(ctx context.Context, now func() time.Time, size Bytes) error {
	if charge == nil {
		return nil
	}
	for recorded := true; ; recorded = false {
		freed, err := charge.resize(now(), size, recorded)
		switch {
		case err == nil:
			return nil
		case !charge.account.mayEverFit(size):
			return err
		case !wait(ctx, freed):
			return ErrNoRoom
		}
	}
}

// recheckInterval is the longest wait before a charge that waits is asked for again: others may be
// without progress by then.
const recheckInterval = StallTime / 3

// wait waits until bytes are freed, or for recheckInterval. It returns false if ctx ends first.
func wait(ctx context.Context, freed <-chan struct{}) bool {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// mayEverFit reports whether one charge may have so many bytes when no other charge holds any.
func (account *Account) mayEverFit(size Bytes) bool {
	return size <= account.large.holderLimit
}

// Progress records that what the charge is for makes progress without more bytes.
func (charge *Charge) Progress(now time.Time) {
	if charge == nil {
		return
	}
	charge.account.mutex.Lock()
	defer charge.account.mutex.Unlock()
	charge.recordProgress(now)
}

// Keep records that the bytes are complete, so that the charge isn't ended any more. It returns
// false when the charge has been asked to give way already.
func (charge *Charge) Keep() bool {
	if charge == nil {
		return true
	}
	charge.account.mutex.Lock()
	defer charge.account.mutex.Unlock()
	charge.setEnd(nil)
	return !charge.ended
}

// Transfer makes the bytes those of another holder, such as the caller that an answer is being
// written to, and replaces the function that ends the charge. The new holder may hold more than
// it would be given. The new function of a charge that has been asked to give way is
// called at once, on a goroutine of its own. A charge that is closed stays closed.
func (charge *Charge) Transfer(now time.Time, holder Holder, end func(stalled bool)) {
	if charge == nil {
		return
	}
	charge.account.mutex.Lock()
	defer charge.account.mutex.Unlock()
	if charge.holdings == nil {
		return
	}
	usual, large, peer := charge.usual, charge.large, charge.peer
	charge.set(0, 0, 0)
	charge.detach()
	charge.attach(holder)
	charge.set(usual, large, peer)
	charge.setEnd(end)
	charge.recordProgress(now)
	if charge.ended && end != nil {
		charge.setEnd(nil)
		go end(false)
	}
}

// Close gives all bytes back. It may be called more than once.
func (charge *Charge) Close() {
	if charge == nil {
		return
	}
	charge.account.mutex.Lock()
	defer charge.account.mutex.Unlock()
	if charge.holdings == nil {
		return
	}
	charge.set(0, 0, 0)
	charge.detach()
	charge.end = nil
}

// attach makes the charge one of a holder's. The caller holds the mutex, as for all below.
func (charge *Charge) attach(holder Holder) {
	known := charge.account.byHolder[holder]
	if known == nil {
		known = &holdings{holder: holder, charges: map[*Charge]struct{}{}, ending: map[*Charge]struct{}{}}
		charge.account.byHolder[holder] = known
	}
	known.charges[charge] = struct{}{}
	if charge.ended {
		known.ending[charge] = struct{}{}
	}
	charge.holdings = known
}

func (charge *Charge) detach() {
	delete(charge.holdings.charges, charge)
	delete(charge.holdings.ending, charge)
	if len(charge.holdings.charges) == 0 {
		delete(charge.account.byHolder, charge.holdings.holder)
	}
	charge.holdings = nil
}

// setEnd replaces the function that ends the charge.
func (charge *Charge) setEnd(end func(stalled bool)) {
	if holdings := charge.holdings; holdings != nil {
		if charge.end != nil {
			holdings.mayFree -= charge.large
		}
		if end != nil {
			holdings.mayFree += charge.large
		}
	}
	charge.end = end
}

// recordProgress records progress. The times of several callers may come out of order.
func (charge *Charge) recordProgress(now time.Time) {
	charge.progressAt = now
	if charge.holdings != nil {
		charge.holdings.lowerOldestProgress(now)
	}
}

// set makes the charge hold so much of each section.
func (charge *Charge) set(usual, large, peer Bytes) {
	account, holdings := charge.account, charge.holdings
	account.usual.held += usual - charge.usual
	account.large.held += large - charge.large
	account.peer.held += peer - charge.peer
	holdings.usual += usual - charge.usual
	holdings.large += large - charge.large
	holdings.peer += peer - charge.peer
	if charge.end != nil {
		holdings.mayFree += large - charge.large
	}
	if large > 0 {
		holdings.lowerOldestProgress(charge.progressAt)
	}
	freed := large < charge.large
	charge.usual, charge.large, charge.peer = usual, large, peer
	account.peak = max(account.peak, account.held())
	if freed {
		close(account.freed)
		account.freed = make(chan struct{})
	}
}
