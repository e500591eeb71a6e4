// Package register is the replicated state machine: contracts, the declaration in
// force, planned stops, groups with their fencing tokens, the ledger of
// non-idempotent calls and the audit trail. Apply is deterministic: its effect
// depends only on the state, the index and the command, so that all voters that
// apply the same log hold the same state.
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
	// changeRetention is how long a change's result is kept for resends.
	changeRetention = 48 * time.Hour
	// attemptRetention is how long the result of a call attempt is kept for late
	// duplicates.
	attemptRetention = 10 * time.Minute
	// maxAuditEntries bounds the audit trail, which is kept in memory.
	maxAuditEntries = 20_000
	// maxRetiredGroups bounds the retired groups that are kept for deltas.
	maxRetiredGroups = 2_000
	// maxFinishedStops bounds the finished stops that are kept for listing.
	maxFinishedStops = 1_000
)

// state is the content of a snapshot.
type state struct {
	Version id.Version `json:"version"`
	// Fencing is the latest fencing token that was issued.
	Fencing id.FencingToken `json:"fencing"`
	// MinDeltaVersion is the oldest version from which a delta is still complete:
	// records of groups and stops that changed earlier may have been dropped.
	MinDeltaVersion id.Version                           `json:"horizon"`
	Contracts       map[id.ClientAccount]*ContractRecord `json:"contracts"`
	Stops           map[id.Stop]*StopRecord              `json:"stops"`
	Groups          map[id.Group]*GroupRecord            `json:"groups"`
	Hosts           map[id.Host]HostRecord               `json:"hosts"`
	Calls           []callEntry                          `json:"calls"`
	Changes         resultCache                          `json:"changes"`
	Attempts        resultCache                          `json:"attempts"`
	Audit           []AuditEntry                         `json:"audit"`
	Clock           stateClock                           `json:"clock"`
	Declared        *DeclarationRecord                   `json:"declared,omitempty"`
	Blocks          PartsBlocks                          `json:"parts_blocks,omitzero"`
	Evacuations     Evacuations                          `json:"evacuations,omitzero"`
}

// stateClock measures time by the log alone, from the clock readings in the
// commands. The clocks of two leaders may be far apart, so the time between the last
// command of one term and the first of the next counts as zero. Retention times can
// only become longer by that, never shorter.
type stateClock struct {
	Term        id.Term       `json:"term"`
	LastReading time.Duration `json:"last"`
	Elapsed     time.Duration `json:"elapsed"`
}

// elapsedAt returns the state's time at a leader's clock reading in a term.
func (clock *stateClock) elapsedAt(term id.Term, reading time.Duration) time.Duration {
	if term != clock.Term || reading <= clock.LastReading {
		return clock.Elapsed
	}
	return clock.Elapsed + reading - clock.LastReading
}

func (clock *stateClock) advance(term id.Term, reading time.Duration) {
	clock.Elapsed = clock.elapsedAt(term, reading)
	if term != clock.Term || reading > clock.LastReading {
		clock.Term, clock.LastReading = term, reading
	}
}

type callEntry struct {
	Key    CallKey    `json:"key"`
	Record CallRecord `json:"record"`
}

// Register is the state machine. It isn't safe for concurrent use.
type Register struct {
	state       state
	callByKey   map[CallKey]*CallRecord
	groupByHost map[id.Host]id.Group
	// packed is the declaration in force as nodes get it, nil until one does.
	packed *PackedDeclaration
}

// New returns a register with an empty state.
func New() *Register {
	register := &Register{state: state{
		Contracts: map[id.ClientAccount]*ContractRecord{},
		Stops:     map[id.Stop]*StopRecord{},
		Groups:    map[id.Group]*GroupRecord{},
		Hosts:     map[id.Host]HostRecord{},
		Changes:   resultCache{ResultByChange: map[id.Change]Result{}},
		Attempts:  resultCache{ResultByChange: map[id.Change]Result{}},
	}}
	register.buildIndexes()
	return register
}

// Restore decodes what Snapshot returned. It returns an error when data isn't valid
// JSON of the state.
func Restore(data []byte) (*Register, error) {
	register := New()
	if err := json.Unmarshal(data, &register.state); err != nil {
		return nil, errors.Wrap(err, "restore state")
	}
	register.buildIndexes()
	return register, nil
}

// buildIndexes fills the maps that a snapshot doesn't hold.
func (register *Register) buildIndexes() {
	register.callByKey = map[CallKey]*CallRecord{}
	for _, entry := range register.state.Calls {
		record := entry.Record
		register.callByKey[entry.Key] = &record
	}
	register.state.Calls = nil
	register.groupByHost = map[id.Host]id.Group{}
	for name, group := range register.state.Groups {
		if group.Phase == PhaseRetired {
			continue
		}
		for _, host := range group.Hosts {
			register.groupByHost[host] = name
		}
	}
}

// Snapshot encodes the whole state. Equal states give equal bytes.
func (register *Register) Snapshot() ([]byte, error) {
	encoded := register.state
	for key, record := range register.callByKey {
		encoded.Calls = append(encoded.Calls, callEntry{key, *record})
	}
	slices.SortFunc(encoded.Calls, func(a, b callEntry) int { return a.Key.compare(b.Key) })
	data, err := json.Marshal(&encoded)
	return data, step.Wrap(err, "write state")
}

// Version returns the log index of the last change to the state that nodes get.
func (register *Register) Version() id.Version { return register.state.Version }

// Contracts returns all contracts, retired ones too, sorted by client account.
func (register *Register) Contracts() []ContractRecord { return allSorted(register.state.Contracts) }

// Contract returns the contract of a client account, which may be retired.
func (register *Register) Contract(clientAccount id.ClientAccount) (ContractRecord, bool) {
	record, ok := register.state.Contracts[clientAccount]
	if !ok {
		return ContractRecord{}, false
	}
	return *record, true
}

// Declared returns the declaration in force, or nil before the first one.
func (register *Register) Declared() *DeclarationRecord { return register.state.Declared }

// Stops returns the planned stops, sorted by name.
func (register *Register) Stops() []StopRecord { return allSorted(register.state.Stops) }

// Groups returns the groups, sorted by name, with the retired ones that are still
// kept.
func (register *Register) Groups() []GroupRecord { return allSorted(register.state.Groups) }

// Group returns one group by its name.
func (register *Register) Group(group id.Group) (GroupRecord, bool) {
	record, ok := register.state.Groups[group]
	if !ok {
		return GroupRecord{}, false
	}
	return *record, true
}

// GroupOf returns the group that a host is assigned to.
func (register *Register) GroupOf(host id.Host) (id.Group, bool) {
	group, ok := register.groupByHost[host]
	return group, ok
}

// Unfreed returns the hosts that left a group and haven't been freed, so that they
// can't be assigned yet.
func (register *Register) Unfreed() map[id.Host]HostRecord { return maps.Clone(register.state.Hosts) }

// LastFencing returns the latest fencing token that was issued.
func (register *Register) LastFencing() id.FencingToken { return register.state.Fencing }

// Call returns a call's record in the ledger.
func (register *Register) Call(key CallKey) (CallRecord, bool) {
	record, ok := register.callByKey[key]
	if !ok {
		return CallRecord{}, false
	}
	return *record, true
}

// Owners returns the processes that own calls in flight, sorted by node and
// incarnation.
func (register *Register) Owners() []Owner {
	owners := map[Owner]bool{}
	for _, record := range register.callByKey {
		if record.State == CallInFlight {
			owners[record.Owner] = true
		}
	}
	return slices.SortedFunc(maps.Keys(owners), func(a, b Owner) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// HasExpired reports whether ExpireCalls would drop an answer if it was applied
// with this term and this reading of the leader's clock.
func (register *Register) HasExpired(term id.Term, reading time.Duration) bool {
	now := register.state.Clock.elapsedAt(term, reading)
	for _, record := range register.callByKey {
		if record.State == CallDone && now > record.AnswerExpiresAt {
			return true
		}
	}
	return false
}

// Audit returns at most limit entries after an index, oldest first.
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

// Delta is the change of the nodes' state between two versions. A Full delta
// replaces all of the state that a node holds.
type Delta struct {
	From      id.Version       `json:"from"`
	To        id.Version       `json:"to"`
	Full      bool             `json:"full,omitempty"`
	Contracts []ContractRecord `json:"contracts,omitempty"`
	Stops     []StopRecord     `json:"stops,omitempty"`
	Groups    []GroupRecord    `json:"groups,omitempty"`
	// Declared is set when the declaration has changed.
	Declared *PackedDeclaration `json:"declared,omitempty"`
	// Blocks is set when a block of parts of prompts has changed.
	Blocks *PartsBlocks `json:"parts_blocks,omitempty"`
	// Evacuations is set when an evacuation has started or finished.
	Evacuations *Evacuations `json:"evacuations,omitempty"`
}

// Since returns all changes after a version in one delta. The delta is Full when the
// version is too old, or newer than the state.
func (register *Register) Since(version id.Version) Delta {
	delta := Delta{From: version, To: register.state.Version}
	if version == register.state.Version {
		return delta
	}
	if version < register.state.MinDeltaVersion || version > register.state.Version {
		delta.From, delta.Full, version = 0, true, 0
	}
	delta.Contracts = filterSorted(register.state.Contracts, func(record *ContractRecord) bool { return record.Version > version })
	delta.Stops = filterSorted(register.state.Stops, func(record *StopRecord) bool { return record.Version > version })
	delta.Groups = filterSorted(register.state.Groups, func(record *GroupRecord) bool { return record.Version > version })
	if declared := register.state.Declared; declared != nil && declared.Version > version {
		delta.Declared = register.packedDeclaration()
	}
	if register.state.Blocks.Version > version {
		blocks := register.state.Blocks
		delta.Blocks = &blocks
	}
	if register.state.Evacuations.Version > version {
		evacuations := register.state.Evacuations
		delta.Evacuations = &evacuations
	}
	return delta
}

// packedDeclaration returns the declaration in force, the same for all nodes.
func (register *Register) packedDeclaration() *PackedDeclaration {
	if declared := register.state.Declared; register.packed == nil || register.packed.record.Version != declared.Version {
		register.packed = newPackedDeclaration(*declared)
	}
	return register.packed
}

// filterSorted returns the records that match a predicate, sorted by key.
func filterSorted[K ~string, V any](records map[K]*V, matches func(*V) bool) []V {
	var list []V
	for _, key := range slices.Sorted(maps.Keys(records)) {
		if matches(records[key]) {
			list = append(list, *records[key])
		}
	}
	return list
}

// allSorted returns all records, sorted by key.
func allSorted[K ~string, V any](records map[K]*V) []V {
	return filterSorted(records, func(*V) bool { return true })
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
