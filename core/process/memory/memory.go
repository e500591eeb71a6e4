// Package memory keeps the account of the bytes that a process holds for others: answers of
// endpoints, requests of callers, and messages of peers. Each holder is charged before its bytes
// are kept. When they don't fit, those who make no progress and the holder that holds most
// give way, not the one that asks last.
//
// The account has three sections. The first bytes of each charge come from the usual section,
// so that small requests go on while large ones fill the rest; peers have a section of
// their own, so that control goes on; all else comes from the large section, of which one holder
// may take a part only.
//
// # Usage
//
//	account := memory.New(memory.Config{Memory: 284 << 20, Report: logShortage})
//	charge := account.Open(memory.Holder{Kind: memory.Endpoint, Name: "pool/i-5e"}, requestID, end)
//	defer charge.Close()
//	err := charge.Resize(now, 64<<10)          // ErrNoRoom: keep no more
//	err = charge.Await(ctx, clock.Now, 4<<20)  // waits while others give way
//	charge.Keep()                              // it is complete, and isn't ended any more
package memory

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Bytes is a number of bytes.
type Bytes int64

// Kind is what a holder is.
type Kind string

// The kinds of holders.
const (
	Endpoint Kind = "endpoint"
	Caller   Kind = "caller"
	Peer     Kind = "peer"
)

// Holder is whom bytes are held for: an endpoint that answers, a client account or the
// address of a caller without one, a node, an operator or a host that announces itself.
type Holder struct {
	Kind Kind
	Name string
}

// HolderAt is the holder of a kind at an address, whatever the port.
func HolderAt(kind Kind, address string) Holder {
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	return Holder{Kind: kind, Name: address}
}

const (
	// accountPercent is the part of the process's memory that the account gives out. The rest
	// is for the process's own state and for garbage that isn't collected yet.
	accountPercent = 40
	// usualPercent and peerPercent are the sections' parts of the account.
	usualPercent = 25
	peerPercent  = 12
	// holderPercent is the most of the large or of the usual section that one holder gets.
	holderPercent = 50
	// usualChargeBytes is how much of one charge comes from the usual section.
	usualChargeBytes Bytes = 64 << 10
	// StallTime is how long a charge may go without progress before it gives way to any other.
	// A sound server may send nothing for two seconds.
	StallTime = 3 * time.Second
)

// ErrNoRoom reports that bytes can't be kept.
var ErrNoRoom = errors.New("no memory is left for this holder")

// errPending reports that there will be room once others have given way.
var errPending = errors.New("others give way")

// Verdict is what a shortage of memory led to.
type Verdict string

// The verdicts.
const (
	// VerdictRefused: a holder's bytes aren't kept.
	VerdictRefused Verdict = "refused"
	// VerdictEnded: a charge is ended to make room for another holder.
	VerdictEnded Verdict = "ended"
)

// Shortage is one decision for want of memory.
type Shortage struct {
	At      time.Time
	Verdict Verdict
	// Holder and Subject are those of the charge that was refused or ended, Stalled whether
	// it made no progress.
	Holder  Holder
	Subject string
	Stalled bool
	// Asked is what was asked for, by AskedBy.
	Asked   Bytes
	AskedBy Holder
	// HolderHeld is what Holder held, Held what all did, and Limit the most that all may.
	HolderHeld, Held, Limit Bytes
}

// Config is fixed for the life of an account.
type Config struct {
	// Memory is what the process may use in all.
	Memory Bytes
	// Report is called for each shortage. It must not call the account.
	Report func(Shortage)
}

// State is what an account holds.
type State struct {
	Limit Bytes `json:"limit"`
	Held  Bytes `json:"held"`
	// Peak is the most that was held at a time.
	Peak Bytes `json:"peak"`
	// Largest is the holder that holds most, and LargestHeld how much.
	Largest     Holder `json:"largest"`
	LargestHeld Bytes  `json:"largest_held"`
	// Refused and Ended count the verdicts.
	Refused uint64 `json:"refused"`
	Ended   uint64 `json:"ended"`
}

// section is one part of the account.
type section struct{ limit, holderLimit, held Bytes }

func newSection(limit Bytes) section {
	return section{limit: limit, holderLimit: limit * holderPercent / 100}
}

// fits reports whether a holder that holds some bytes of the section may have more.
func (section *section) fits(holderHeld, more Bytes) bool {
	return section.held+more <= section.limit && holderHeld+more <= section.holderLimit
}

// Account is safe for concurrent use. A nil Account bounds nothing.
type Account struct {
	report func(Shortage)

	mutex              sync.Mutex
	usual, large, peer section
	byHolder           map[Holder]*holdings
	peak               Bytes
	refused, ended     uint64
	// freed is closed, and replaced, when bytes of the large section become free.
	freed chan struct{}
}

// New returns an account of which nothing is held. Without a memory limit it returns nil.
func New(config Config) *Account {
	if config.Memory <= 0 {
		return nil
	}
	limit := config.Memory * accountPercent / 100
	usual, peer := limit*usualPercent/100, limit*peerPercent/100
	account := &Account{
		report: config.Report, usual: newSection(usual), peer: newSection(peer), large: newSection(limit - usual - peer),
		byHolder: map[Holder]*holdings{}, freed: make(chan struct{}),
	}
	if account.report == nil {
		account.report = func(Shortage) {}
	}
	return account
}

// Open returns a charge without bytes. Subject states what it is for, such as a request's id.
// End is called, at most once and on a goroutine of its own, when the charge has to give way:
// it must see to it that the charge is closed soon. Stalled reports that it has made no progress for
// StallTime. A nil end stands for a charge that can't be ended.
func (account *Account) Open(holder Holder, subject string, end func(stalled bool)) *Charge {
	if account == nil {
		return nil
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	charge := &Charge{account: account, subject: subject, end: end}
	charge.attach(holder)
	return charge
}

// State returns what is held now. The largest holder is one of those that hold something.
func (account *Account) State() State {
	if account == nil {
		return State{}
	}
	account.mutex.Lock()
	defer account.mutex.Unlock()
	state := State{Limit: account.limit(), Held: account.held(), Peak: account.peak, Refused: account.refused, Ended: account.ended}
	for _, holdings := range account.byHolder {
		if total := holdings.total(); total > state.LargestHeld {
			state.Largest, state.LargestHeld = holdings.holder, total
		}
	}
	return state
}

func (account *Account) limit() Bytes {
	return account.usual.limit + account.large.limit + account.peer.limit
}

func (account *Account) held() Bytes {
	return account.usual.held + account.large.held + account.peer.held
}
