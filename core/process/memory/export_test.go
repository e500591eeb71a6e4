package memory

import (
	"fmt"
	"slices"
	"time"
)

// CheckSums compares what is kept by holder with a walk over all charges.
func (account *Account) CheckSums(now time.Time) error {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	for holder, holdings := range account.byHolder {
		var mayFree, pending Bytes
		var stalled []*Charge
		for charge := range holdings.charges {
			if charge.mayEnd() {
				mayFree += charge.large
			}
			if charge.ended && now.Sub(charge.endedAt) < StallTime {
				pending += charge.large
			}
			if charge.mayEnd() && charge.stalled(now) {
				stalled = append(stalled, charge)
			}
		}
		slices.SortFunc(stalled, compareStalled)
		if kept := holdings.pending(now); mayFree != holdings.mayFree || pending != kept {
			return fmt.Errorf("%v: charges may free %d and are about to free %d, kept are %d and %d", holder, mayFree, pending, holdings.mayFree, kept)
		}
		if kept := holdings.stalledCharges(now, nil); !slices.Equal(kept, stalled) {
			return fmt.Errorf("%v: %d charges are without progress, kept are %d", holder, len(stalled), len(kept))
		}
	}
	return nil
}
