package register

import (
	"fmt"
	"slices"

	"carobline.dev/core/id"
)

// MaxPartsBlocks bounds the blocks that hold at a time. The oldest is dropped for a further
// one.
const MaxPartsBlocks = 64

// MaxBlockAccounts bounds the client accounts that a block names.
const MaxBlockAccounts = 2

// PartsBlock keeps requests from all endpoints whose prompts have all of its parts, since
// endpoints have ended as they began an answer on them.
type PartsBlock struct {
	Block id.PartsBlock   `json:"block"`
	Parts []id.PromptPart `json:"parts"`
	// ClientAccounts are those whose requests were running at endpoints that ended,
	// MaxBlockAccounts at most.
	ClientAccounts []id.ClientAccount `json:"customers"`
	// Trial is the request that was allowed last in spite of the block. Its number counts
	// them.
	Trial PartsTrial `json:"trial,omitzero"`
}

// PartsTrial allows one node to send one request in spite of a block.
type PartsTrial struct {
	Number      int            `json:"number"`
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
	// OtherAccount is set if it must be a request of a client account that the block
	// doesn't name.
	OtherAccount bool `json:"other_customer,omitempty"`
}

// PartsBlocks are the blocks that hold, the oldest first. Version is the log index of the
// last change. The blocks of a version don't change.
type PartsBlocks struct {
	Version id.Version   `json:"version"`
	Blocks  []PartsBlock `json:"blocks,omitempty"`
}

// BlockParts adds a block, which gets a name, or a client account to the block of the same
// parts.
type BlockParts struct {
	Parts          []id.PromptPart    `json:"parts"`
	ClientAccounts []id.ClientAccount `json:"customers"`
}

// GrantTrial allows a request in spite of a block. It is refused unless its number follows
// that of the last one.
type GrantTrial struct {
	Block id.PartsBlock `json:"block"`
	Trial PartsTrial    `json:"trial"`
}

// UnblockParts ends a block.
type UnblockParts struct {
	Block  id.PartsBlock `json:"block"`
	Reason string        `json:"reason"`
}

// Blocks returns the blocks of parts of prompts. They are read-only.
func (register *Register) Blocks() PartsBlocks { return register.state.Blocks }

func (register *Register) blockParts(index id.Index, command Command, block *BlockParts) Result {
	if len(block.Parts) == 0 || len(block.ClientAccounts) == 0 {
		return refused("a block needs parts and a client account")
	}
	blocks := slices.Clone(register.state.Blocks.Blocks)
	position := slices.IndexFunc(blocks, func(known PartsBlock) bool { return slices.Equal(known.Parts, block.Parts) })
	if position < 0 {
		if len(blocks) >= MaxPartsBlocks {
			blocks = slices.Delete(blocks, 0, len(blocks)-MaxPartsBlocks+1)
		}
		blocks = append(blocks, PartsBlock{Block: id.PartsBlock(fmt.Sprintf("parts-%d", index)), Parts: block.Parts})
		position = len(blocks) - 1
	}
	updated := &blocks[position]
	before := len(updated.ClientAccounts)
	updated.ClientAccounts = slices.Clone(updated.ClientAccounts)
	for _, clientAccount := range block.ClientAccounts {
		if len(updated.ClientAccounts) < MaxBlockAccounts && !slices.Contains(updated.ClientAccounts, clientAccount) {
			updated.ClientAccounts = append(updated.ClientAccounts, clientAccount)
		}
	}
	if len(updated.ClientAccounts) == before {
		return Result{Verdict: VerdictUnchanged, Version: register.state.Blocks.Version}
	}
	return register.setBlocks(index, command, "parts_block", updated.Block, "", jsonText(*updated), blocks)
}

func (register *Register) grantTrial(index id.Index, command Command, grant *GrantTrial) Result {
	blocks := slices.Clone(register.state.Blocks.Blocks)
	position := slices.IndexFunc(blocks, func(known PartsBlock) bool { return known.Block == grant.Block })
	if position < 0 {
		return refused("block %s is not known", grant.Block)
	}
	old := blocks[position].Trial
	if grant.Trial.Number != old.Number+1 {
		return Result{Verdict: VerdictConflict, Reason: fmt.Sprintf("trial %d was the last", old.Number)}
	}
	blocks[position].Trial = grant.Trial
	return register.setBlocks(index, command, "parts_trial", grant.Block, jsonText(old), jsonText(grant.Trial), blocks)
}

func (register *Register) unblockParts(index id.Index, command Command, unblock *UnblockParts) Result {
	blocks := slices.Clone(register.state.Blocks.Blocks)
	position := slices.IndexFunc(blocks, func(known PartsBlock) bool { return known.Block == unblock.Block })
	if position < 0 {
		return refused("block %s is not known", unblock.Block)
	}
	ended := blocks[position]
	return register.setBlocks(index, command, "parts_unblock", unblock.Block, jsonText(ended), unblock.Reason, slices.Delete(blocks, position, position+1))
}

func (register *Register) setBlocks(index id.Index, command Command, action string, block id.PartsBlock, from, to string, blocks []PartsBlock) Result {
	register.state.Blocks = PartsBlocks{Version: id.Version(index), Blocks: blocks}
	return register.recordChange(index, command, action, string(block), from, to)
}

// Covers reports whether the block holds for a prompt with these parts.
func (block *PartsBlock) Covers(parts []id.PromptPart) bool {
	for _, part := range block.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return len(block.Parts) > 0
}

// Names reports whether a client account's requests were at endpoints that ended.
func (block *PartsBlock) Names(clientAccount id.ClientAccount) bool {
	return slices.Contains(block.ClientAccounts, clientAccount)
}
