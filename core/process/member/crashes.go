package member

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
)

// crashKey identifies what a report states about one crash. The revision rises when it states more.
type crashKey struct {
	host        id.Host
	incarnation id.Incarnation
	revision    uint64
}

func crashKeyOf(crash *feed.ObservedCrash) crashKey {
	return crashKey{crash.Report.Host, crash.Report.Incarnation, crash.Revision}
}

// crashQueue keeps which crashes a leader has received. A new leader receives all
// again, since what the one before held is lost with it.
type crashQueue struct {
	term     id.Term
	accepted map[crashKey]bool
}

// accept records that the leader of a term has the crashes of a request.
func (queue *crashQueue) accept(term id.Term, sent []crashKey) {
	if term != queue.term || queue.accepted == nil {
		queue.term, queue.accepted = term, map[crashKey]bool{}
	}
	for _, key := range sent {
		queue.accepted[key] = true
	}
}

// unaccepted returns the reports that the leader doesn't have and that aren't on their way.
func (queue *crashQueue) unaccepted(now time.Time, crashes []feed.ObservedCrash, inFlight map[crashKey]bool) ([]feed.CrashReport, []crashKey) {
	var reports []feed.CrashReport
	var keys []crashKey
	for index := range crashes {
		crash := &crashes[index]
		key := crashKeyOf(crash)
		if queue.accepted[key] || inFlight[key] {
			continue
		}
		report := crash.Report
		report.AgeMS = now.Sub(crash.SeenAt).Milliseconds()
		reports, keys = append(reports, report), append(keys, key)
	}
	return reports, keys
}

// forget drops what was accepted of crashes that are no longer reported.
func (queue *crashQueue) forget(crashes []feed.ObservedCrash) {
	reported := make(map[crashKey]bool, len(crashes))
	for index := range crashes {
		reported[crashKeyOf(&crashes[index])] = true
	}
	for key := range queue.accepted {
		if !reported[key] {
			delete(queue.accepted, key)
		}
	}
}

// provenCrashes returns the crashes that a leader of an older release understands, as it does.
func provenCrashes(observed []feed.ObservedCrash) []feed.ObservedCrash {
	var proven []feed.ObservedCrash
	for _, crash := range observed {
		if !crash.Report.Unproven {
			crash.Report.Address = ""
			proven = append(proven, crash)
		}
	}
	return proven
}

// crashesInFlight returns the crashes that requests which aren't overdue take to the present
// leader.
func (member *Member) crashesInFlight() map[crashKey]bool {
	sent := map[crashKey]bool{}
	for _, request := range member.inFlightByNumber {
		if request.overdue || request.to != member.leader {
			continue
		}
		for _, key := range request.crashes {
			sent[key] = true
		}
	}
	return sent
}

// handleCrashes makes the next request go out at once if it has something new to report about
// crashes, or about the parts that the leader asks about.
func (member *Member) handleCrashes(now time.Time, report *UsageReported) {
	member.crashQueue.forget(report.Crashes)
	if len(report.Crashes) > 0 {
		unsent, _ := member.crashQueue.unaccepted(now, report.Crashes, member.crashesInFlight())
		member.sendAtOnce = member.sendAtOnce || len(unsent) > 0
	}
	member.sendAtOnce = member.sendAtOnce || len(report.SoundParts) > len(member.usage.SoundParts) || len(report.WantedTrials) > len(member.usage.WantedTrials)
}
