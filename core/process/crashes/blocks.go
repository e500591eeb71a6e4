package crashes

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/fingerprint"
)

// Decide returns the next change of the blocks that hold, or false for none. It is called
// again once that change is applied.
func (crashes *Crashes) Decide(now time.Time, held register.PartsBlocks) (register.Command, bool) {
	crashes.trackBlocks(now, held.Blocks)
	if crashes.changed || crashes.weighed != held.Version || crashes.moreCount(now) {
		if command, ok := crashes.weigh(now, held.Blocks); ok {
			return command, true
		}
		crashes.changed, crashes.weighed, crashes.weighedAt = false, held.Version, now
	}
	return crashes.grantTrial(now, held.Blocks)
}

// moreCount reports whether crashes have begun to count since what is known was last weighed.
func (crashes *Crashes) moreCount(now time.Time) bool {
	return slices.ContainsFunc(crashes.crashes, func(crash *crash) bool { return crash.counts(now) && crash.countsFrom.After(crashes.weighedAt) })
}

// counting returns the crashes that count for blocks.
func (crashes *Crashes) counting(now time.Time) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes.crashes), func(crash *crash) bool { return !crash.counts(now) })
}

// weigh returns the next change of the blocks by what is known of crashes and sound parts.
func (crashes *Crashes) weigh(now time.Time, blocks []register.PartsBlock) (register.Command, bool) {
	crashes.prune(now)
	for index := range blocks {
		if command, ok := crashes.narrow(&blocks[index], blocks); ok {
			return command, true
		}
	}
	counting := crashes.counting(now)
	if command, ok := addAccount(counting, blocks); ok {
		return command, true
	}
	return crashes.newBlock(counting, blocks)
}

// narrow ends a block of which fewer parts are blocked by now, or on one of whose parts an
// answer has begun. What is left of its parts is blocked first.
func (crashes *Crashes) narrow(block *register.PartsBlock, blocks []register.PartsBlock) (register.Command, bool) {
	since := crashes.trials[block.Block].heldSince
	left := slices.DeleteFunc(slices.Clone(block.Parts), func(part id.PromptPart) bool { return crashes.soundAt[part].After(since) })
	narrower := slices.ContainsFunc(blocks, func(other register.PartsBlock) bool {
		return other.Block != block.Block && other.Covers(left)
	})
	end := register.UnblockParts{Block: block.Block}
	switch {
	case len(left) == 0:
		end.Reason = "answer_began"
	case narrower:
		end.Reason = "narrowed"
	case len(left) < len(block.Parts):
		return register.Command{BlockParts: &register.BlockParts{Parts: left, ClientAccounts: block.ClientAccounts}}, true
	default:
		return register.Command{}, false
	}
	return register.Command{UnblockParts: &end}, true
}

// addAccount returns a change that adds a client account to a block: one of its calls was at
// an endpoint that ended.
func addAccount(counting []*crash, blocks []register.PartsBlock) (register.Command, bool) {
	for _, crash := range counting {
		for index := range crash.calls {
			call := &crash.calls[index]
			for number := range blocks {
				block := &blocks[number]
				if block.Covers(call.Parts) && len(block.ClientAccounts) < register.MaxBlockAccounts && !block.Names(call.ClientAccount) {
					return register.Command{BlockParts: &register.BlockParts{Parts: block.Parts, ClientAccounts: []id.ClientAccount{call.ClientAccount}}}, true
				}
			}
		}
	}
	return register.Command{}, false
}

// candidate is what the calls with one part under which endpoints ended have in common.
type candidate struct {
	part           id.PromptPart
	count          int
	parts          []id.PromptPart
	clientAccounts []id.ClientAccount
}

// newBlock returns a block of the parts that the most crashes have in common, if these are
// enough and no block explains them.
func (crashes *Crashes) newBlock(counting []*crash, blocks []register.PartsBlock) (register.Command, bool) {
	counts := crashes.countByPart(counting, blocks)
	maps.DeleteFunc(counts, func(_ id.PromptPart, count int) bool { return count < minCrashes })
	var candidates []candidate
	for part, count := range counts {
		parts, clientAccounts := crashes.common(counting, part)
		if !slices.ContainsFunc(blocks, func(block register.PartsBlock) bool { return block.Covers(parts) }) {
			candidates = append(candidates, candidate{part, count, parts, clientAccounts})
		}
	}
	if len(candidates) == 0 {
		return register.Command{}, false
	}
	// Of a request and a part in as many crashes the request goes first: its block leaves all
	// other requests with the part alone.
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(kindOrder(a.part), kindOrder(b.part)), cmp.Compare(a.part, b.part))
	})
	best := candidates[0]
	rival := slices.ContainsFunc(candidates, func(other candidate) bool {
		return other.count == best.count && !slices.Contains(best.parts, other.part)
	})
	if rival && best.count < decisiveCrashes {
		return register.Command{}, false
	}
	return register.Command{BlockParts: &register.BlockParts{Parts: best.parts, ClientAccounts: best.clientAccounts}}, true
}

// kindOrder sorts requests before parts of prompts.
func kindOrder(part id.PromptPart) int {
	if fingerprint.Is(part) {
		return 0
	}
	return 1
}

// common returns the parts that all calls with a part have in common, and the client
// accounts of these calls.
func (crashes *Crashes) common(counting []*crash, part id.PromptPart) ([]id.PromptPart, []id.ClientAccount) {
	var common []id.PromptPart
	var clientAccounts []id.ClientAccount
	for _, crash := range counting {
		for index := range crash.calls {
			parts := crashes.suspectParts(crash, &crash.calls[index])
			if !slices.Contains(parts, part) {
				continue
			}
			if common == nil {
				common = slices.Clone(parts)
			}
			common = slices.DeleteFunc(common, func(candidate id.PromptPart) bool { return !slices.Contains(parts, candidate) })
			if account := crash.calls[index].ClientAccount; !slices.Contains(clientAccounts, account) {
				clientAccounts = append(clientAccounts, account)
			}
		}
	}
	return common, clientAccounts[:min(len(clientAccounts), register.MaxBlockAccounts)]
}
