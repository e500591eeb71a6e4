package memory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// holdings are what one holder holds of each section, and its charges. Sums over the charges spare a refusal the
// walk over all of them.
type holdings struct {
	holder             Holder
	usual, large, peer Bytes
	charges            map[*Charge]struct{}
	// mayFree is what charges that can be ended hold of the large section.
	mayFree Bytes
	// ending are the charges that were asked to give way.
	ending map[*Charge]struct{}
	// oldestProgress is no later than the progress of any charge with bytes of the large section.
	oldestProgress time.Time
}

func (holdings *holdings) total() Bytes { return holdings.usual + holdings.large + holdings.peer }

func (holdings *holdings) lowerOldestProgress(at time.Time) {
	if at.Before(holdings.oldestProgress) {
		holdings.oldestProgress = at
	}
}

// pending returns what charges hold that were asked to give way, but for those that haven't for StallTime, such as
// an answer whose caller reads nothing.
func (holdings *holdings) pending(now time.Time) Bytes {
	pending := Bytes(0)
	for charge := range holdings.ending {
		if now.Sub(charge.endedAt) < StallTime {
			pending += charge.large
		}
	}
	return pending
}

// stalledCharges returns the holder's charges without progress, the longest without first.
func (holdings *holdings) stalledCharges(now time.Time, asker *Charge) []*Charge {
	if now.Sub(holdings.oldestProgress) < StallTime {
		return nil
	}
	var stalled []*Charge
	holdings.oldestProgress = now
	for charge := range holdings.charges {
		if charge.large > 0 {
			holdings.lowerOldestProgress(charge.progressAt)
		}
		if charge != asker && charge.mayEnd() && charge.stalled(now) {
			stalled = append(stalled, charge)
		}
	}
	slices.SortFunc(stalled, compareStalled)
	return stalled
}

// endable returns the holder's charges that can be ended, the largest first.
func (holdings *holdings) endable(excluded []*Charge) []*Charge {
	charges := slices.DeleteFunc(slices.Collect(maps.Keys(holdings.charges)), func(charge *Charge) bool {
		return !charge.mayEnd() || slices.Contains(excluded, charge)
	})
	slices.SortFunc(charges, func(a, b *Charge) int {
		return cmp.Or(cmp.Compare(b.large, a.large), a.progressAt.Compare(b.progressAt), cmp.Compare(a.subject, b.subject))
	})
	return charges
}
