package controller

import (
	"fmt"
	"slices"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/crashes"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// goesOnMargin is how long after a break a process must have announced itself twice to have gone on: it may have sent
// the first of these before the break.
const goesOnMargin = 200 * time.Millisecond

// recordCrashes records what a node reports of endpoints that ended, and of the parts of
// prompts that may have ended them.
func (controller *Controller) recordCrashes(now time.Time, actions *Actions, request *feed.Request) {
	if len(request.Crashes)+len(request.SoundParts)+len(request.WantedTrials) == 0 {
		return
	}
	known := controller.leadership.crashes
	known.Record(now, request.Crashes)
	known.RecordSound(now, request.SoundParts)
	known.RecordWanted(now, request.Node, request.Incarnation, request.WantedTrials)
	controller.decideBlocks(now, actions)
}

// decideBlocks proposes the next change of the blocks, once the last one is applied.
func (controller *Controller) decideBlocks(now time.Time, actions *Actions) {
	leadership := controller.leadership
	if leadership.blocksProposalIndex > controller.appliedIndex {
		return
	}
	leadership.crashes.Confirm(now, controller.fateOf)
	command, ok := leadership.crashes.Decide(now, controller.register.Blocks())
	if !ok {
		return
	}
	actions.Decisions = append(actions.Decisions, decisionOf(command))
	controller.proposeAsLeader(now, actions, command)
	leadership.blocksProposalIndex = controller.quorum.Status().LastIndex
}

// fateOf returns what the roster and the planned stops show about a process at which an answer broke off.
func (controller *Controller) fateOf(process crashes.Process) crashes.Fate {
	underStop := func(stop register.StopRecord) bool {
		return stop.IncarnationByHost[process.Host] == process.Incarnation
	}
	known, ok := controller.roster.Member(process.Host)
	latest := &known.Announcement
	if ok && latest.Incarnation == process.Incarnation {
		if latest.Leaving || known.SentAfter().After(process.BrokeOffAt.Add(goesOnMargin)) {
			return crashes.FateGoesOn
		}
	}
	if slices.ContainsFunc(controller.register.Stops(), underStop) {
		return crashes.FateGoesOn
	}
	replaced := controller.roster.Any(func(announcement *roster.Announcement) bool {
		sameProcess := announcement.Host == process.Host || (process.Address != "" && announcement.Address == process.Address)
		return sameProcess && announcement.Incarnation > process.Incarnation
	})
	if replaced {
		return crashes.FateReplaced
	}
	return crashes.FateUnknown
}

// decisionOf returns the log record of a change of the blocks.
func decisionOf(command register.Command) action.Decision {
	switch {
	case command.BlockParts != nil:
		return action.Decision{Step: "block_parts", Reason: "endpoints_ended", Parts: command.BlockParts.Parts, ClientAccounts: command.BlockParts.ClientAccounts}
	case command.UnblockParts != nil:
		return action.Decision{Step: "unblock_parts", Block: command.UnblockParts.Block, Reason: command.UnblockParts.Reason}
	default:
		return action.Decision{Step: "grant_trial", Block: command.GrantTrial.Block, Reason: fmt.Sprintf("trial %d at %s", command.GrantTrial.Trial.Number, command.GrantTrial.Trial.Node)}
	}
}

// suspectParts returns the parts of prompts on which a response requests reports. They are
// the same for all responses until suspectsInterval is over.
func (leadership *leadership) suspectParts(now time.Time, blocks []register.PartsBlock) []id.PromptPart {
	if now.Sub(leadership.suspectsTakenAt) >= suspectsInterval {
		leadership.suspects, leadership.suspectsTakenAt = leadership.crashes.Suspects(now, blocks), now
	}
	return leadership.suspects
}
