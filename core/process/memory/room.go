package memory

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// resize makes the charge hold size bytes. It returns errPending when that will be possible once
// others have given way, which the returned channel signals. A refusal counts, and is reported, if recorded is set.
func (charge *Charge) resize(now time.Time, size Bytes, recorded bool) (<-chan struct{}, error) {
	account := charge.account
	account.mutex.Lock()
	if charge.holdings == nil {
		account.mutex.Unlock()
		return nil, ErrNoRoom
	}
	usual, large, peer := charge.split(size)
	more := large - charge.large
	if more > 0 && charge.ended {
		account.mutex.Unlock()
		return nil, ErrNoRoom
	}
	// A charge that waits for others isn't without progress by its own fault.
	charge.recordProgress(now)
	if more <= 0 || account.large.fits(charge.holdings.large, more) {
		charge.set(usual, large, peer)
		account.mutex.Unlock()
		return nil, nil
	}
	shortages, ends, err := account.makeRoom(now, charge, more)
	if errors.Is(err, ErrNoRoom) && recorded {
		account.refused++
		shortages = append(shortages, account.shortage(now, VerdictRefused, charge, charge, more))
	}
	freed := account.freed
	account.mutex.Unlock()
	for _, shortage := range shortages {
		account.report(shortage)
	}
	for _, end := range ends {
		go end()
	}
	return freed, err
}

// split divides size among the sections.
func (charge *Charge) split(size Bytes) (usual, large, peer Bytes) {
	account, holdings := charge.account, charge.holdings
	if holdings.holder.Kind == Peer {
		if more := size - charge.peer; more <= 0 || account.peer.fits(holdings.peer, more) {
			return 0, 0, size
		}
		return 0, size - charge.peer, charge.peer
	}
	usual = min(size, usualChargeBytes)
	if more := usual - charge.usual; more > 0 && !account.usual.fits(holdings.usual, more) {
		usual = charge.usual
	}
	return usual, size - usual, 0
}

// makeRoom asks charges to give way until a charge can have more bytes of the large section.
// It returns errPending if it can once they have, and ErrNoRoom if it can't. Those without
// progress go first, then those of the holder that holds most, unless that is the one that asks.
func (account *Account) makeRoom(now time.Time, asker *Charge, more Bytes) ([]Shortage, []func(), error) {
	own := asker.holdings
	pending := Bytes(0)
	for _, holdings := range account.byHolder {
		pending += holdings.pending(now)
	}
	missing := account.large.held + more - account.large.limit - pending
	victims, ownMissing := takeCharges(own.stalledCharges(now, asker), own.large+more-account.large.holderLimit-own.pending(now))
	if ownMissing > 0 {
		return nil, nil, ErrNoRoom
	}
	for _, victim := range victims {
		missing -= victim.large
	}
	victims, missing = account.addVictims(now, asker, victims, more, missing)
	if missing > 0 {
		return nil, nil, ErrNoRoom
	}
	shortages, ends := make([]Shortage, len(victims)), make([]func(), len(victims))
	for index, victim := range victims {
		shortages[index] = account.shortage(now, VerdictEnded, victim, asker, more)
		ends[index] = victim.giveWay(now)
	}
	return shortages, ends, errPending
}

// giveWay marks the charge as ended, and returns the function that notifies its owner.
func (charge *Charge) giveWay(now time.Time) func() {
	stalled, end := charge.stalled(now), charge.end
	charge.setEnd(nil)
	charge.ended, charge.endedAt = true, now
	charge.holdings.ending[charge] = struct{}{}
	charge.account.ended++
	return func() { end(stalled) }
}

// takeCharges returns as many of the charges as free missing bytes, and what is missing still.
func takeCharges(charges []*Charge, missing Bytes) ([]*Charge, Bytes) {
	for index, charge := range charges {
		if missing <= 0 {
			return charges[:index], missing
		}
		missing -= charge.large
	}
	return charges, missing
}

// addVictims adds the charges that have to give way for missing bytes, and returns what is missing still.
func (account *Account) addVictims(now time.Time, asker *Charge, victims []*Charge, more, missing Bytes) ([]*Charge, Bytes) {
	var stalled []*Charge
	for _, holdings := range account.byHolder {
		for _, charge := range holdings.stalledCharges(now, asker) {
			if !slices.Contains(victims, charge) {
				stalled = append(stalled, charge)
			}
		}
	}
	slices.SortFunc(stalled, compareStalled)
	taken, missing := takeCharges(stalled, missing)
	victims = append(slices.Clip(victims), taken...)
	largest := account.largestEndable(victims)
	if missing <= 0 || largest == nil || largest == asker.holdings || largest.large <= asker.holdings.large+more {
		return victims, missing
	}
	taken, missing = takeCharges(largest.endable(victims), missing)
	return append(victims, taken...), missing
}

func compareStalled(a, b *Charge) int {
	return cmp.Or(a.progressAt.Compare(b.progressAt), cmp.Compare(b.large, a.large), cmp.Compare(a.subject, b.subject))
}

// largestEndable returns the holder whose charges that can be ended hold most, or nil. The excluded ones can be ended.
func (account *Account) largestEndable(excluded []*Charge) *holdings {
	var largest *holdings
	most := Bytes(0)
	excludedOf := map[*holdings]Bytes{}
	for _, charge := range excluded {
		excludedOf[charge.holdings] += charge.large
	}
	for _, holdings := range account.byHolder {
		if held := holdings.mayFree - excludedOf[holdings]; held > most {
			largest, most = holdings, held
		}
	}
	return largest
}

// mayEnd reports whether ending the charge frees bytes of the large section.
func (charge *Charge) mayEnd() bool { return charge.end != nil && charge.large > 0 }

func (charge *Charge) stalled(now time.Time) bool { return now.Sub(charge.progressAt) >= StallTime }

func (account *Account) shortage(now time.Time, verdict Verdict, charge, asker *Charge, more Bytes) Shortage {
	return Shortage{
		At: now, Verdict: verdict, Holder: charge.holdings.holder, Subject: charge.subject, Stalled: charge.stalled(now), Asked: more,
		AskedBy: asker.holdings.holder, HolderHeld: charge.holdings.total(), Held: account.held(), Limit: account.limit(),
	}
}
