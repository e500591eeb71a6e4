// Package suspicion keeps, for one entry host, the evidence for and against the parts of
// prompts: which calls without an answer were at endpoints whose process ended, and on
// which parts answers have begun. The leader joins what all nodes report and decides which
// parts are blocked (package crashes); this package applies that.
//
// # Usage
//
//	suspicion := suspicion.New(self, incarnation)
//	suspicion.Update(view.Blocks, view.SuspectParts)
//	if refusal, ok := suspicion.Check(now, call); ok { refuse }
//	suspicion.Began(now, call)                // an answer has begun
//	suspicion.Ended(now, process, calls)      // an endpoint's process has ended
//	reports := suspicion.Crashes(now)         // for the leader
package suspicion

import (
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/crashes"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/fingerprint"
)

const (
	// reportTime is how long a crash is reported to new leaders.
	reportTime = 30 * time.Second
	// maxCrashes, maxCallsPerCrash and maxPartsPerCall bound the crashes that are kept, and
	// maxReportParts the parts of one. The oldest crash is dropped first.
	maxCrashes       = 16
	maxCallsPerCrash = 16
	maxPartsPerCall  = 256
	maxReportParts   = 1024
	// maxSoundParts bounds the parts of each of the two generations that are kept, and likewise
	// the requests.
	maxSoundParts = 2048
	// wantedTime is how long a refusal under a block is reported.
	wantedTime = time.Second
	// maxBreaks is how many endpoints may break off the answer to a call with suspect parts
	// before it begins, and maxRequestBreaks that for a call of which nothing but the request
	// itself is suspect.
	maxBreaks        = 2
	maxRequestBreaks = 3
	// blockedRetryAfter is when a trial may be granted to a client account that a block
	// names, and otherRetryAfter to any other.
	blockedRetryAfter = 10 * time.Minute
	otherRetryAfter   = time.Second
)

// Call is what is known of a call.
type Call struct {
	ClientAccount id.ClientAccount
	// Parts are those of its prompt that other calls may share.
	Parts []id.PromptPart
	// Request is the name of the request itself (package fingerprint), which it keeps when its
	// caller sends it again. It may be left empty while nothing Watches for it.
	Request id.PromptPart
}

// Empty reports whether nothing is known by which the call could be distinguished from others.
func (call *Call) Empty() bool { return len(call.Parts) == 0 && call.Request == "" }

// all returns the parts and the request, first the request.
func (call *Call) all() []id.PromptPart {
	if call.Request == "" {
		return call.Parts
	}
	return append([]id.PromptPart{call.Request}, call.Parts...)
}

// Process is one process of an endpoint.
type Process struct {
	Host        id.Host
	Incarnation id.Incarnation
	Address     string
}

// Permit allows one call in spite of a block.
type Permit struct {
	Block  id.PartsBlock
	Number int
}

// Refusal is why a call may not be sent.
type Refusal struct {
	Block      id.PartsBlock
	RetryAfter time.Duration
}

// observed is one crash with the parts of all its calls.
type observed struct {
	feed.ObservedCrash
	parts int
}

// refused is a block under which calls were refused.
type refused struct {
	at, otherAt time.Time
}

// generation holds what answers have begun on within half of crashes.SoundTime.
type generation struct {
	parts, requests map[id.PromptPart]bool
}

func newGeneration() generation {
	return generation{parts: map[id.PromptPart]bool{}, requests: map[id.PromptPart]bool{}}
}

// add records a part or a request, unless there are too many of its kind.
func (generation generation) add(part id.PromptPart) {
	kind := generation.parts
	if fingerprint.Is(part) {
		kind = generation.requests
	}
	if len(kind) < maxSoundParts {
		kind[part] = true
	}
}

func (generation generation) has(part id.PromptPart) bool {
	return generation.parts[part] || generation.requests[part]
}

func (generation generation) clear() {
	clear(generation.parts)
	clear(generation.requests)
}

// Suspicion is the state of one entry host. It isn't safe for concurrent use.
type Suspicion struct {
	self        id.Node
	incarnation id.Incarnation
	blocks      register.PartsBlocks
	suspects    []id.PromptPart
	// sound and soundBefore are the parts on which answers have begun within
	// crashes.SoundTime, in two halves. soundSince is when the first half began.
	sound, soundBefore generation
	soundSince         time.Time
	crashes            []*observed
	refusedByBlock     map[id.PartsBlock]refused
	usedPermits        map[Permit]bool
}

// New returns the state of a node that has recorded no crash.
func New(self id.Node, incarnation id.Incarnation) *Suspicion {
	return &Suspicion{
		self: self, incarnation: incarnation, sound: newGeneration(), soundBefore: newGeneration(),
		refusedByBlock: map[id.PartsBlock]refused{}, usedPermits: map[Permit]bool{},
	}
}

// Update takes what the leader has decided and lists as suspect.
func (suspicion *Suspicion) Update(blocks register.PartsBlocks, suspects []id.PromptPart) {
	suspicion.suspects = suspects
	if blocks.Version == suspicion.blocks.Version {
		return
	}
	suspicion.blocks = blocks
	held := func(name id.PartsBlock) bool {
		return slices.ContainsFunc(blocks.Blocks, func(block register.PartsBlock) bool { return block.Block == name })
	}
	for name := range suspicion.refusedByBlock {
		if !held(name) {
			delete(suspicion.refusedByBlock, name)
		}
	}
	for permit := range suspicion.usedPermits {
		if !held(permit.Block) {
			delete(suspicion.usedPermits, permit)
		}
	}
}

// Check returns the refusal of a call that a block holds for. A call that is the block's
// trial may go on: Use must be called just before it is sent.
func (suspicion *Suspicion) Check(now time.Time, call Call) (Refusal, bool) {
	block, permit := suspicion.blockOf(call)
	if block == nil || permit != (Permit{}) {
		return Refusal{}, false
	}
	known := suspicion.refusedByBlock[block.Block]
	known.at = now
	refusal := Refusal{Block: block.Block, RetryAfter: blockedRetryAfter}
	if !block.Names(call.ClientAccount) && len(block.ClientAccounts) < register.MaxBlockAccounts && block.Trial.Number < crashes.MaxTrials {
		known.otherAt = now
		refusal.RetryAfter = otherRetryAfter
	}
	suspicion.refusedByBlock[block.Block] = known
	return refusal, true
}

// Use takes the permit of a call that is a block's trial. It returns false for a call that a
// block holds for and that has none.
func (suspicion *Suspicion) Use(call Call) bool {
	block, permit := suspicion.blockOf(call)
	if permit != (Permit{}) {
		suspicion.usedPermits[permit] = true
		return true
	}
	return block == nil
}

// blockOf returns the block that holds for a call, or nil, and the permit for it. A permit
// is for calls that one block alone holds for.
func (suspicion *Suspicion) blockOf(call Call) (*register.PartsBlock, Permit) {
	var found *register.PartsBlock
	var permit Permit
	parts := call.all()
	for index := range suspicion.blocks.Blocks {
		block := &suspicion.blocks.Blocks[index]
		if !block.Covers(parts) {
			continue
		}
		if found != nil {
			return found, Permit{}
		}
		found, permit = block, suspicion.permitOf(block, call)
	}
	return found, permit
}

// permitOf returns the permit of a block that a call may use, if this node has one.
func (suspicion *Suspicion) permitOf(block *register.PartsBlock, call Call) Permit {
	trial := block.Trial
	permit := Permit{Block: block.Block, Number: trial.Number}
	switch {
	case trial.Number == 0 || trial.Node != suspicion.self || trial.Incarnation != suspicion.incarnation,
		suspicion.usedPermits[permit], trial.OtherAccount && block.Names(call.ClientAccount):
		return Permit{}
	default:
		return permit
	}
}

// Began records that an answer to a call has begun.
func (suspicion *Suspicion) Began(now time.Time, call Call) {
	if call.Empty() {
		return
	}
	suspicion.rotate(now)
	for _, part := range call.all() {
		suspicion.sound.add(part)
	}
}

// Watches reports whether there is anything that a call's Request may have part in.
func (suspicion *Suspicion) Watches() bool {
	return len(suspicion.crashes)+len(suspicion.suspects)+len(suspicion.blocks.Blocks) > 0
}

// rotate drops the older half of the sound parts once the later one is as old.
func (suspicion *Suspicion) rotate(now time.Time) {
	const half = crashes.SoundTime / 2
	switch age := now.Sub(suspicion.soundSince); {
	case age >= 2*half:
		suspicion.soundBefore.clear()
		suspicion.sound.clear()
	case age >= half:
		suspicion.sound, suspicion.soundBefore = suspicion.soundBefore, suspicion.sound
		suspicion.sound.clear()
	default:
		return
	}
	suspicion.soundSince = now
}

func (suspicion *Suspicion) isSound(part id.PromptPart) bool {
	return suspicion.sound.has(part) || suspicion.soundBefore.has(part)
}

// suspect returns what of a call no answer has begun on lately.
func (suspicion *Suspicion) suspect(call Call) []id.PromptPart {
	return slices.DeleteFunc(slices.Clone(call.all()), suspicion.isSound)
}

// Ended records that an endpoint's process has ended under a call whose answer hadn't begun.
// It returns the parts that may be the cause.
func (suspicion *Suspicion) Ended(now time.Time, process Process, call Call) []id.PromptPart {
	return suspicion.record(now, process, call, false)
}

// MayHaveEnded is like Ended for a process of which it isn't known whether it has ended. The leader
// finds out by the next one at its address.
func (suspicion *Suspicion) MayHaveEnded(now time.Time, process Process, call Call) {
	suspicion.record(now, process, call, true)
}

func (suspicion *Suspicion) record(now time.Time, process Process, call Call, unproven bool) []id.PromptPart {
	suspicion.rotate(now)
	parts := suspicion.suspect(call)
	parts = parts[:min(len(parts), maxPartsPerCall)]
	if len(parts) == 0 {
		return nil
	}
	crash := suspicion.crash(now, process, unproven)
	if unproven && !crash.Report.Unproven && !crash.isSameBreak(now) {
		return parts
	}
	if crash.Report.Unproven && !unproven {
		crash.Report.Unproven = false
		crash.Revision++
	}
	if len(crash.Report.Calls) < maxCallsPerCrash && crash.parts+len(parts) <= maxReportParts {
		// The report before may be on its way, so that its calls aren't changed.
		crash.Report.Calls = append(slices.Clone(crash.Report.Calls), feed.CrashedCall{ClientAccount: call.ClientAccount, Parts: parts})
		crash.Revision++
		crash.parts += len(parts)
	}
	return parts
}

// crash returns the entry of a crash, a new one if it isn't known. One of another break takes the place of
// an unproven one.
func (suspicion *Suspicion) crash(now time.Time, process Process, unproven bool) *observed {
	suspicion.forget(now)
	// Members distinguish the reports of one process by their revision, which goes on from one break to the next.
	revision := uint64(0)
	for index, known := range suspicion.crashes {
		if known.Report.Host != process.Host || known.Report.Incarnation != process.Incarnation {
			continue
		}
		if !known.Report.Unproven || known.isSameBreak(now) {
			return known
		}
		revision = known.Revision
		suspicion.crashes = slices.Delete(suspicion.crashes, index, index+1)
		break
	}
	added := &observed{ObservedCrash: feed.ObservedCrash{SeenAt: now, Revision: revision, Report: feed.CrashReport{
		Host: process.Host, Incarnation: process.Incarnation, Address: process.Address, Unproven: unproven,
	}}}
	suspicion.crashes = append(suspicion.crashes, added)
	suspicion.dropExcess()
	return added
}

func (crash *observed) isSameBreak(at time.Time) bool {
	return at.Sub(crash.SeenAt).Abs() <= crashes.SameBreakTime
}

// dropExcess drops the oldest crash beyond maxCrashes, an unproven one if there is any.
func (suspicion *Suspicion) dropExcess() {
	if len(suspicion.crashes) <= maxCrashes {
		return
	}
	oldest := max(0, slices.IndexFunc(suspicion.crashes, func(crash *observed) bool { return crash.Report.Unproven }))
	suspicion.crashes = slices.Delete(suspicion.crashes, oldest, oldest+1)
}

func (suspicion *Suspicion) forget(now time.Time) {
	suspicion.crashes = slices.DeleteFunc(suspicion.crashes, func(crash *observed) bool { return now.Sub(crash.SeenAt) >= reportTime })
}

// MayResend reports whether a call that was at an endpoint whose answer broke off before it
// began may be sent to another one: not if the leader suspects one of its parts or its request,
// a crash of another process has been seen under one, or too many endpoints have broken off.
func (suspicion *Suspicion) MayResend(now time.Time, process Process, call Call, breaks int) bool {
	suspicion.rotate(now)
	suspicion.forget(now)
	parts := suspicion.suspect(call)
	if len(parts) == 0 {
		return true
	}
	mostBreaks := maxBreaks
	if len(parts) == 1 && fingerprint.Is(parts[0]) {
		mostBreaks = maxRequestBreaks
	}
	if breaks >= mostBreaks {
		return false
	}
	among := func(part id.PromptPart) bool { return slices.Contains(parts, part) }
	if slices.ContainsFunc(suspicion.suspects, among) {
		return false
	}
	for _, crash := range suspicion.crashes {
		if crash.Report.Unproven || (crash.Report.Host == process.Host && crash.Report.Incarnation == process.Incarnation) {
			continue
		}
		for index := range crash.Report.Calls {
			if slices.ContainsFunc(crash.Report.Calls[index].Parts, among) {
				return false
			}
		}
	}
	return true
}

// Crashes returns the crashes to report to the leader.
func (suspicion *Suspicion) Crashes(now time.Time) []feed.ObservedCrash {
	suspicion.forget(now)
	if len(suspicion.crashes) == 0 {
		return nil
	}
	reported := make([]feed.ObservedCrash, 0, len(suspicion.crashes))
	for _, crash := range suspicion.crashes {
		reported = append(reported, crash.ObservedCrash)
	}
	return reported
}

// SoundParts returns those of the parts that the leader lists as suspect, or has blocked, on which
// an answer has begun lately.
func (suspicion *Suspicion) SoundParts(now time.Time) []id.PromptPart {
	if len(suspicion.suspects)+len(suspicion.blocks.Blocks) == 0 {
		return nil
	}
	suspicion.rotate(now)
	var sound []id.PromptPart
	add := func(parts []id.PromptPart) {
		for _, part := range parts {
			if suspicion.isSound(part) && !slices.Contains(sound, part) {
				sound = append(sound, part)
			}
		}
	}
	add(suspicion.suspects)
	for index := range suspicion.blocks.Blocks {
		add(suspicion.blocks.Blocks[index].Parts)
	}
	return sound
}

// WantedTrials returns the blocks under which calls were refused lately.
func (suspicion *Suspicion) WantedTrials(now time.Time) []feed.WantedTrial {
	var wanted []feed.WantedTrial
	for index := range suspicion.blocks.Blocks {
		block := suspicion.blocks.Blocks[index].Block
		if known, ok := suspicion.refusedByBlock[block]; ok && now.Sub(known.at) < wantedTime {
			wanted = append(wanted, feed.WantedTrial{Block: block, OtherAccount: now.Sub(known.otherAt) < wantedTime})
		}
	}
	return wanted
}
