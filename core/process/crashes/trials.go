package crashes

import (
	"maps"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
)

// MaxTrials bounds the trials of one block, at all nodes together.
const MaxTrials = 3

const (
	// wantedTime is how long a node that has refused a request under a block counts as one
	// that gets such requests.
	wantedTime = 2 * time.Second
	// trialTime is how long the outcome of a trial is awaited before another is granted.
	trialTime = 5 * time.Second
)

// trialDelays are how long after the block, or the last trial, one is granted to a client
// account that the block names. Without any left the block holds until an answer begins on
// one of its parts, or an operator ends it.
var trialDelays = [MaxTrials]time.Duration{10 * time.Minute, time.Hour, 6 * time.Hour}

// trials is what the leader holds of the trials of one block.
type trials struct {
	// parts are those of the block.
	parts []id.PromptPart
	// heldSince is when this leader first saw the block, and grantedAt when the last trial
	// was granted, or else heldSince.
	heldSince, grantedAt time.Time
	// number is that of the last trial.
	number int
	// wanted is the latest request for one, and wantedByOther that for a client account
	// that the block doesn't name.
	wanted, wantedByOther wanted
}

// wanted is a node's request for a trial.
type wanted struct {
	node        id.Node
	incarnation id.Incarnation
	at          time.Time
}

func (wanted *wanted) holds(now time.Time) bool {
	return wanted.node != "" && now.Sub(wanted.at) < wantedTime
}

// RecordWanted records the blocks under which a node has refused requests.
func (crashes *Crashes) RecordWanted(now time.Time, node id.Node, incarnation id.Incarnation, wantedTrials []feed.WantedTrial) {
	for _, trial := range wantedTrials {
		known := crashes.trials[trial.Block]
		if known == nil {
			continue
		}
		known.wanted = wanted{node, incarnation, now}
		if trial.OtherAccount {
			known.wantedByOther = known.wanted
		}
	}
}

// trackBlocks keeps the state of the blocks that hold. With a block that has ended, the crashes
// that it explained are dropped.
func (crashes *Crashes) trackBlocks(now time.Time, blocks []register.PartsBlock) {
	maps.DeleteFunc(crashes.trials, func(name id.PartsBlock, known *trials) bool {
		if slices.ContainsFunc(blocks, func(block register.PartsBlock) bool { return block.Block == name }) {
			return false
		}
		crashes.drop(known.parts)
		return true
	})
	for index := range blocks {
		block := &blocks[index]
		known := crashes.trials[block.Block]
		if known == nil {
			known = &trials{parts: block.Parts, heldSince: now, grantedAt: now, number: block.Trial.Number}
			crashes.trials[block.Block] = known
		}
		if known.number != block.Trial.Number {
			known.number, known.grantedAt = block.Trial.Number, now
		}
	}
}

// grantTrial returns a trial that is due and wanted.
func (crashes *Crashes) grantTrial(now time.Time, blocks []register.PartsBlock) (register.Command, bool) {
	for index := range blocks {
		block := &blocks[index]
		known := crashes.trials[block.Block]
		if block.Trial.Number >= MaxTrials || (block.Trial.Number > 0 && now.Sub(known.grantedAt) < trialTime) {
			continue
		}
		other := known.wantedByOther.holds(now) && len(block.ClientAccounts) < register.MaxBlockAccounts
		due := known.wanted.holds(now) && now.Sub(known.grantedAt) >= trialDelays[block.Trial.Number]
		if !other && !due {
			continue
		}
		to := known.wanted
		if other {
			to = known.wantedByOther
		}
		trial := register.PartsTrial{Number: block.Trial.Number + 1, Node: to.node, Incarnation: to.incarnation, OtherAccount: other}
		return register.Command{GrantTrial: &register.GrantTrial{Block: block.Block, Trial: trial}}, true
	}
	return register.Command{}, false
}
