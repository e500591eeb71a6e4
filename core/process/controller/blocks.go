package controller

import (
	"fmt"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
)

// recordCrashes records what a node reports of endpoints that ended, and of the parts of
// prompts that may have ended them.
func (controller *Controller) recordCrashes(now time.Time, actions *Actions, request *feed.Request) {
	if len(request.Crashes)+len(request.SoundParts)+len(request.WantedTrials) == 0 {
		return
	}
	crashes := controller.leadership.crashes
	crashes.Record(now, request.Crashes)
	crashes.RecordSound(now, request.SoundParts)
	crashes.RecordWanted(now, request.Node, request.Incarnation, request.WantedTrials)
	controller.decideBlocks(now, actions)
}

// decideBlocks proposes the next change of the blocks, once the last one is applied.
func (controller *Controller) decideBlocks(now time.Time, actions *Actions) {
	leadership := controller.leadership
	if leadership.blocksProposalIndex > controller.appliedIndex {
		return
	}
	leadership.crashes.Confirm(now, controller.processReplaced)
	command, ok := leadership.crashes.Decide(now, controller.register.Blocks())
	if !ok {
		return
	}
	actions.Decisions = append(actions.Decisions, decisionOf(command))
	controller.proposeAsLeader(now, actions, command)
	leadership.blocksProposalIndex = controller.quorum.Status().LastIndex
}

// processReplaced reports whether a later process of a host, or at its address, has announced itself.
func (controller *Controller) processReplaced(host id.Host, incarnation id.Incarnation, address string) bool {
	return controller.roster.Any(func(announcement *roster.Announcement) bool {
		sameProcess := announcement.Host == host || (address != "" && announcement.Address == address)
		return sameProcess && announcement.Incarnation > incarnation
	})
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
