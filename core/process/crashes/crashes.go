// Package crashes decides for the leader which parts of prompts requests are blocked for. A
// part may end each endpoint that begins an answer on it, whatever else the request holds.
// Nodes report which calls without an answer were at an endpoint whose process has ended,
// and on which parts answers have begun; a part on which one has isn't the cause.
//
// A block holds for requests with all of its parts: those that the calls under suspicion
// have in common. It ends, or is narrowed, once an answer has begun on one of them. A few
// requests are allowed as trials meanwhile, each at one node only: at once for a client
// account that had no part in the crashes, so that no caller can have the requests of others
// refused by naming their parts, and after trialDelays for the others.
//
// # Usage
//
//	suspects := crashes.New()
//	suspects.Record(now, request.Crashes)
//	suspects.Confirm(now, fateOf)
//	suspects.RecordSound(now, request.SoundParts)
//	suspects.RecordWanted(now, request.Node, request.Incarnation, request.WantedTrials)
//	if command, ok := suspects.Decide(now, register.Blocks()); ok { propose(command) }
package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
)

const (
	// SameBreakTime is how long after an answer broke off at a process others that break off there do so for
	// the same reason. A later break at a process that may have ended is another one.
	SameBreakTime = time.Second
	// SoundTime is how long an answer that has begun on a part shows it to be sound.
	SoundTime = 10 * time.Second
	// crashRetention is how long a crash counts.
	crashRetention = time.Minute
	// simultaneousTime is the time within which crashes have one cause, such as a rack
	// that loses power, and count once.
	simultaneousTime = 50 * time.Millisecond
	// minCrashes is the number of crashes from which parts are blocked that more of them
	// have in common than any others. From decisiveCrashes on they are blocked in any case.
	minCrashes      = 3
	decisiveCrashes = 5
	// maxCrashes, maxCallsPerCrash and maxPartsPerCall bound what is kept, and
	// maxEvidenceParts its parts in all. The oldest crash is dropped first, unproven ones before others.
	maxCrashes       = 128
	maxCallsPerCrash = 32
	maxPartsPerCall  = 256
	maxEvidenceParts = 4096
	// unprovenRetention is how long a crash that isn't proven is kept, maxUnproven how many are, and
	// confirmInterval the least time between two looks for processes that have replaced them.
	unprovenRetention = 10 * time.Second
	maxUnproven       = 64
	confirmInterval   = 100 * time.Millisecond
	// askTime is how long after Confirm has proven a crash it counts for blocks. Until then nodes are
	// asked about its parts, for more than two rounds of the feed.
	askTime = 500 * time.Millisecond
	// soundInterval is the least time between two records that a part is sound.
	soundInterval = 100 * time.Millisecond
	// maxSoundParts bounds the parts recorded as sound, beside the suspect ones.
	maxSoundParts = 4096
	// maxSuspects bounds the parts that nodes get as suspect.
	maxSuspects = 64
)

// crashKey identifies the process that ended.
type crashKey struct {
	host        id.Host
	incarnation id.Incarnation
}

// crash is the end of one endpoint's process.
type crash struct {
	key     crashKey
	address string
	at      time.Time
	// countsFrom is when the crash begins to count for blocks, zero for from the first.
	countsFrom time.Time
	calls      []feed.CrashedCall
}

func (crash *crash) counts(now time.Time) bool { return !now.Before(crash.countsFrom) }

// Crashes is the state that the leader of one term holds about crashes. It isn't safe for concurrent use.
type Crashes struct {
	// crashes are sorted by time. unproven are those that count once Confirm has found
	// a later process.
	crashes, unproven []*crash
	confirmedAt       time.Time
	// soundAt is when an answer was last known to have begun on a part.
	soundAt map[id.PromptPart]time.Time
	// weighed is the version of the blocks by which what is known was last found to call
	// for no other block, at weighedAt, and changed reports that more has become known since.
	weighed   id.Version
	weighedAt time.Time
	changed   bool
	trials    map[id.PartsBlock]*trials
}

// New returns a Crashes that holds none.
func New() *Crashes {
	return &Crashes{soundAt: map[id.PromptPart]time.Time{}, trials: map[id.PartsBlock]*trials{}}
}

// Record adds what a node reports. Reports of the same crash are merged.
func (crashes *Crashes) Record(now time.Time, reports []feed.CrashReport) {
	for index := range reports {
		report := &reports[index]
		at := now.Add(-time.Duration(max(0, report.AgeMS)) * time.Millisecond)
		if now.Sub(at) >= crashRetention {
			continue
		}
		if crash := crashes.crash(report, at); crash != nil {
			crash.merge(at, report.Calls)
		}
	}
	crashes.changed = crashes.changed || len(reports) > 0
	crashes.sort()
	crashes.prune(now)
}

// crash returns the entry of a reported crash, a new one if it isn't known. An unproven one becomes
// proven with a report that is, unless that is of another break: the later one takes its place then. It
// returns nil for an unproven report of another break than the one that is known better.
func (crashes *Crashes) crash(report *feed.CrashReport, at time.Time) *crash {
	key := crashKey{report.Host, report.Incarnation}
	if known := find(crashes.crashes, key); known != nil {
		if report.Unproven && !known.isSameBreak(at) {
			return nil
		}
		return known
	}
	known := find(crashes.unproven, key)
	if known != nil && !known.isSameBreak(at) {
		if report.Unproven && at.Before(known.at) {
			return nil
		}
		crashes.forgetUnproven(known)
		known = nil
	}
	if known != nil && report.Unproven {
		return known
	}
	if known == nil {
		known = &crash{key: key, address: report.Address, at: at}
	}
	if report.Unproven {
		crashes.unproven = append(crashes.unproven, known)
		return known
	}
	crashes.prove(known)
	return known
}

func (crash *crash) isSameBreak(at time.Time) bool { return at.Sub(crash.at).Abs() <= SameBreakTime }

func find(crashes []*crash, key crashKey) *crash {
	for _, known := range crashes {
		if known.key == key {
			return known
		}
	}
	return nil
}

func (crashes *Crashes) forgetUnproven(forgotten *crash) {
	crashes.unproven = slices.DeleteFunc(crashes.unproven, func(crash *crash) bool { return crash == forgotten })
}

// prove makes a crash count.
func (crashes *Crashes) prove(proven *crash) {
	crashes.forgetUnproven(proven)
	crashes.crashes = append(crashes.crashes, proven)
	crashes.changed = true
}

// Fate is what is known of a process at which an unproven crash was reported.
type Fate string

// The fates. FateGoesOn is that of a process which has announced itself since, or which goes as planned.
const (
	FateUnknown  Fate = "unknown"
	FateGoesOn   Fate = "goes_on"
	FateReplaced Fate = "replaced"
)

// Process is the process at which an answer broke off at BrokeOffAt.
type Process struct {
	Host        id.Host
	Incarnation id.Incarnation
	Address     string
	BrokeOffAt  time.Time
}

// Confirm proves the unproven crashes of processes that a later one has replaced, and drops those of
// processes that go on. A process that went on after the break didn't end by it, whatever replaces it later.
func (crashes *Crashes) Confirm(now time.Time, fateOf func(Process) Fate) {
	if len(crashes.unproven) == 0 || now.Sub(crashes.confirmedAt) < confirmInterval {
		return
	}
	crashes.confirmedAt = now
	crashes.prune(now)
	var unknown, replaced []*crash
	for _, crash := range crashes.unproven {
		switch fateOf(Process{crash.key.host, crash.key.incarnation, crash.address, crash.at}) {
		case FateGoesOn:
		case FateReplaced:
			replaced = append(replaced, crash)
		case FateUnknown:
			unknown = append(unknown, crash)
		}
	}
	crashes.unproven = unknown
	for _, crash := range replaced {
		crash.countsFrom = now.Add(askTime)
		crashes.prove(crash)
	}
	crashes.sort()
}

func (crashes *Crashes) sort() {
	slices.SortStableFunc(crashes.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
}

// merge adds a node's calls. A node reports a crash again with all of its calls.
func (crash *crash) merge(at time.Time, calls []feed.CrashedCall) {
	if at.Before(crash.at) {
		crash.at = at
	}
	for _, call := range calls {
		call.Parts = slices.Clone(call.Parts[:min(len(call.Parts), maxPartsPerCall)])
		slices.Sort(call.Parts)
		known := slices.ContainsFunc(crash.calls, func(other feed.CrashedCall) bool {
			return other.ClientAccount == call.ClientAccount && slices.Equal(other.Parts, call.Parts)
		})
		if !known && len(crash.calls) < maxCallsPerCrash {
			crash.calls = append(crash.calls, call)
		}
	}
}

// prune drops what is too old or too much, unproven crashes first.
func (crashes *Crashes) prune(now time.Time) {
	crashes.crashes = slices.DeleteFunc(crashes.crashes, func(crash *crash) bool { return now.Sub(crash.at) >= crashRetention })
	crashes.unproven = slices.DeleteFunc(crashes.unproven, func(crash *crash) bool { return now.Sub(crash.at) >= unprovenRetention })
	maps.DeleteFunc(crashes.soundAt, func(_ id.PromptPart, at time.Time) bool { return now.Sub(at) >= crashRetention+SoundTime })
	var parts int
	crashes.crashes, parts = newest(crashes.crashes, maxCrashes, maxEvidenceParts)
	crashes.unproven, _ = newest(crashes.unproven, maxUnproven, maxEvidenceParts-parts)
}

// newest returns the last ones of a list, at most maxCount with maxParts parts in all, and how many parts they have.
func newest(list []*crash, maxCount, maxParts int) ([]*crash, int) {
	parts := 0
	for index := len(list) - 1; index >= 0; index-- {
		added := list[index].parts()
		if len(list)-index > maxCount || parts+added > maxParts {
			return slices.Delete(list, 0, index+1), parts
		}
		parts += added
	}
	return list, parts
}

// parts returns how many parts the calls of a crash have.
func (crash *crash) parts() int {
	parts := 0
	for _, call := range crash.calls {
		parts += len(call.Parts)
	}
	return parts
}

// drop drops the crashes under calls with all of the parts.
func (crashes *Crashes) drop(parts []id.PromptPart) {
	ended := register.PartsBlock{Parts: parts}
	crashes.crashes = slices.DeleteFunc(crashes.crashes, func(crash *crash) bool {
		return slices.ContainsFunc(crash.calls, func(call feed.CrashedCall) bool { return ended.Covers(call.Parts) })
	})
}

// RecordSound records that an answer has begun on parts at some node lately.
func (crashes *Crashes) RecordSound(now time.Time, parts []id.PromptPart) {
	for _, part := range parts {
		at, known := crashes.soundAt[part]
		if (known && now.Sub(at) < soundInterval) || (!known && len(crashes.soundAt) >= maxSoundParts) {
			continue
		}
		crashes.soundAt[part], crashes.changed = now, true
	}
}

// Suspects returns the parts on which nodes report: those in most crashes, on which no
// answer has begun since.
func (crashes *Crashes) Suspects(now time.Time, blocks []register.PartsBlock) []id.PromptPart {
	if len(crashes.crashes) == 0 {
		return nil
	}
	crashes.prune(now)
	counts := crashes.countByPart(crashes.crashes, blocks)
	suspects := slices.SortedFunc(maps.Keys(counts), func(a, b id.PromptPart) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return suspects[:min(len(suspects), maxSuspects)]
}

// suspectParts returns the parts of a call that may have ended its endpoint.
func (crashes *Crashes) suspectParts(crash *crash, call *feed.CrashedCall) []id.PromptPart {
	return slices.DeleteFunc(slices.Clone(call.Parts), func(part id.PromptPart) bool {
		soundAt, ok := crashes.soundAt[part]
		return ok && soundAt.After(crash.at.Add(-SoundTime))
	})
}

// countByPart counts the crashes of each part, those within simultaneousTime once. A crash
// that a block explains counts only for the parts of the block.
func (crashes *Crashes) countByPart(counted []*crash, blocks []register.PartsBlock) map[id.PromptPart]int {
	counts, countedAt := map[id.PromptPart]int{}, map[id.PromptPart]time.Time{}
	for _, crash := range counted {
		for _, part := range crashes.causes(crash, blocks) {
			if last, ok := countedAt[part]; !ok || crash.at.Sub(last) > simultaneousTime {
				counts[part]++
				countedAt[part] = crash.at
			}
		}
	}
	return counts
}

// causes returns the parts that may have caused a crash: those of the blocks that explain
// it, if there are any, and otherwise all that are suspect.
func (crashes *Crashes) causes(crash *crash, blocks []register.PartsBlock) []id.PromptPart {
	var all, explained []id.PromptPart
	for index := range crash.calls {
		parts := crashes.suspectParts(crash, &crash.calls[index])
		all = append(all, parts...)
		for number := range blocks {
			if blocks[number].Covers(parts) {
				explained = append(explained, blocks[number].Parts...)
			}
		}
	}
	if len(explained) > 0 {
		return explained
	}
	return all
}
