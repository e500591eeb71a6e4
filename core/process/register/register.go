// Package register is the replicated state machine: contracts, planned stops,
// groups with their fencing numbers, the ledger of non-idempotent calls and the
// audit trail. Apply is a pure function of the state and the command, so that
// each voter that applies the same log holds the same state.
//
// # Usage
//
//	state := register.New()
//	result := state.Apply(index, command)
//	data, err := state.Snapshot()
//	state, err = register.Restore(data)
package register

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/step"
)

const (
	// changeMemory is how long a change's result is kept for resends.
	changeMemory = 48 * time.Hour
	// attemptMemory is how long a call attempt is kept for late duplicates.
	attemptMemory = 10 * time.Minute
	// auditEntries bounds the audit trail that is kept in memory.
	auditEntries = 20_000
	// tombstones bounds the retired groups that are kept for deltas.
	tombstones = 2_000
	// finishedStops bounds the finished stops that are kept for listing.
	finishedStops = 1_000
)

// state is what a snapshot holds.
type state struct {
	Version   id.Version                           `json:"version"`
	Fencing   id.FencingToken                      `json:"fencing"`
	Horizon   id.Version                           `json:"horizon"`
	Contracts map[id.ClientAccount]*ContractRecord `json:"contracts"`
	Stops     map[id.Stop]*StopRecord              `json:"stops"`
	Groups    map[id.Group]*GroupRecord            `json:"groups"`
	Hosts     map[id.Host]HostRecord               `json:"hosts"`
	Calls     []callEntry                          `json:"calls"`
	Changes   recent                               `json:"changes"`
	Attempts  recent                               `json:"attempts"`
	Audit     []AuditEntry                         `json:"audit"`
	Clock     stateClock                           `json:"clock"`
	Declared  *DeclarationRecord                   `json:"declared,omitempty"`
}

// stateClock measures time by the log alone. The clocks of two leaders may be
// far apart, so the step from one term to the next counts as no time; what is
// kept for a while is then kept longer, never shorter.
type stateClock struct {
	Term    id.Term       `json:"term"`
	Last    time.Duration `json:"last"`
	Elapsed time.Duration `json:"elapsed"`
}

// at is the state's clock at a command or a moment of a leader's reign.
func (clock *stateClock) at(term id.Term, reading time.Duration) time.Duration {
	if term != clock.Term || reading <= clock.Last {
		return clock.Elapsed
	}
	return clock.Elapsed + reading - clock.Last
}

func (clock *stateClock) advance(term id.Term, reading time.Duration) {
	clock.Elapsed = clock.at(term, reading)
	if term != clock.Term || reading > clock.Last {
		clock.Term, clock.Last = term, reading
	}
}

type callEntry struct {
	Key    CallKey    `json:"key"`
	Record CallRecord `json:"record"`
}

// Register is the state machine. It isn't safe for concurrent use.
type Register struct {
	state    state
	calls    map[CallKey]*CallRecord
	assigned map[id.Host]id.Group
}

// New returns an empty state.
func New() *Register {
	register := &Register{state: state{
		Contracts: map[id.ClientAccount]*ContractRecord{},
		Stops:     map[id.Stop]*StopRecord{},
		Groups:    map[id.Group]*GroupRecord{},
		Hosts:     map[id.Host]HostRecord{},
		Changes:   recent{Results: map[id.Change]Result{}},
		Attempts:  recent{Results: map[id.Change]Result{}},
	}}
	register.index()
	return register
}

// Restore reads what Snapshot wrote.
func Restore(data []byte) (*Register, error) {
	register := New()
	if err := json.Unmarshal(data, &register.state); err != nil {
		return nil, errors.Wrap(err, "restore state")
	}
	register.index()
	return register, nil
}

// index builds the maps that a snapshot leaves out.
func (register *Register) index() {
	register.calls = map[CallKey]*CallRecord{}
	for _, entry := range register.state.Calls {
		record := entry.Record
		register.calls[entry.Key] = &record
	}
	register.state.Calls = nil
	register.assigned = map[id.Host]id.Group{}
	for name, group := range register.state.Groups {
		if group.Phase == PhaseRetired {
			continue
		}
		for _, host := range group.Hosts {
			register.assigned[host] = name
		}
	}
}

// Snapshot writes the whole state; equal states give equal bytes.
func (register *Register) Snapshot() ([]byte, error) {
	written := register.state
	for key, record := range register.calls {
		written.Calls = append(written.Calls, callEntry{key, *record})
	}
	slices.SortFunc(written.Calls, func(a, b callEntry) int { return a.Key.compare(b.Key) })
	data, err := json.Marshal(&written)
	return data, step.Wrap(err, "write state")
}

// Version is the log index of the last change to what nodes see.
func (register *Register) Version() id.Version { return register.state.Version }

// Contracts lists all contracts, retired ones too, by customer.
func (register *Register) Contracts() []ContractRecord { return values(register.state.Contracts) }

// Contract finds one contract.
func (register *Register) Contract(clientAccount id.ClientAccount) (ContractRecord, bool) {
	record, ok := register.state.Contracts[clientAccount]
	if !ok {
		return ContractRecord{}, false
	}
	return *record, true
}

// Declared is the declaration in force; it is nil before the first one.
func (register *Register) Declared() *DeclarationRecord { return register.state.Declared }

// Stops lists planned stops by name.
func (register *Register) Stops() []StopRecord { return values(register.state.Stops) }

// Groups lists groups by name, retired ones that are still remembered too.
func (register *Register) Groups() []GroupRecord { return values(register.state.Groups) }

// Group finds one group.
func (register *Register) Group(group id.Group) (GroupRecord, bool) {
	record, ok := register.state.Groups[group]
	if !ok {
		return GroupRecord{}, false
	}
	return *record, true
}

// GroupOf tells which group a host is assigned to.
func (register *Register) GroupOf(host id.Host) (id.Group, bool) {
	group, ok := register.assigned[host]
	return group, ok
}

// Unfreed lists hosts that left a group and can't be assigned yet.
func (register *Register) Unfreed() map[id.Host]HostRecord { return maps.Clone(register.state.Hosts) }

// Call finds a call in the ledger.
func (register *Register) Call(key CallKey) (CallRecord, bool) {
	record, ok := register.calls[key]
	if !ok {
		return CallRecord{}, false
	}
	return *record, true
}

// Owners lists the processes that own calls in flight, in order.
func (register *Register) Owners() []Owner {
	owners := map[Owner]bool{}
	for _, record := range register.calls {
		if record.State == CallInFlight {
			owners[record.Owner] = true
		}
	}
	return slices.SortedFunc(maps.Keys(owners), func(a, b Owner) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// HasExpired tells whether ExpireCalls would drop anything at a moment of a
// leader's term, by that leader's clock.
func (register *Register) HasExpired(term id.Term, reading time.Duration) bool {
	now := register.state.Clock.at(term, reading)
	for _, record := range register.calls {
		if record.State == CallDone && now > record.Expires {
			return true
		}
	}
	return false
}

// Audit lists entries after an index, oldest first.
func (register *Register) Audit(after id.Index, limit int) []AuditEntry {
	entries := register.state.Audit
	start, _ := slices.BinarySearchFunc(entries, after+1, func(entry AuditEntry, index id.Index) int {
		return int(entry.Index) - int(index)
	})
	entries = entries[start:]
	if len(entries) > limit {
		entries = entries[:limit]
	}
	return slices.Clone(entries)
}

// Delta is what changed for nodes since a version. A Full delta replaces all
// that a node holds.
type Delta struct {
	From      id.Version       `json:"from"`
	To        id.Version       `json:"to"`
	Full      bool             `json:"full,omitempty"`
	Contracts []ContractRecord `json:"contracts,omitempty"`
	Stops     []StopRecord     `json:"stops,omitempty"`
	Groups    []GroupRecord    `json:"groups,omitempty"`
	// Declared comes when the declaration has changed.
	Declared *DeclarationRecord `json:"declared,omitempty"`
}

// Since gives what changed after a version, in one piece however much it is.
func (register *Register) Since(version id.Version) Delta {
	delta := Delta{From: version, To: register.state.Version}
	if version < register.state.Horizon || version > register.state.Version {
		delta.From, delta.Full, version = 0, true, 0
	}
	delta.Contracts = changedSince(register.state.Contracts, func(record *ContractRecord) bool { return record.Version > version })
	delta.Stops = changedSince(register.state.Stops, func(record *StopRecord) bool { return record.Version > version })
	delta.Groups = changedSince(register.state.Groups, func(record *GroupRecord) bool { return record.Version > version })
	if declared := register.state.Declared; declared != nil && declared.Version > version {
		delta.Declared = declared.withoutSource()
	}
	return delta
}

func changedSince[K ~string, V any](records map[K]*V, changed func(*V) bool) []V {
	var list []V
	for _, key := range slices.Sorted(maps.Keys(records)) {
		if changed(records[key]) {
			list = append(list, *records[key])
		}
	}
	return list
}

func values[K ~string, V any](records map[K]*V) []V {
	return changedSince(records, func(*V) bool { return true })
}

func (key CallKey) compare(other CallKey) int {
	a := string(key.ClientAccount) + "\x00" + string(key.Service) + "\x00" + key.Key
	b := string(other.ClientAccount) + "\x00" + string(other.Service) + "\x00" + other.Key
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
