package control

import (
	"math"
	"runtime/metrics"
	"time"

	"carobline.dev/core/process/controller"
)

const (
	// delayReportInterval is the interval at which the longest delays are looked at.
	delayReportInterval = time.Second
	// notableDelay is the delay from which on they are logged.
	notableDelay = 250 * time.Millisecond
	// schedulerLatencies names the runtime's histogram of the time that goroutines
	// have waited for a processor.
	schedulerLatencies = "/sched/latencies:seconds"
)

// queuedEvent is an event of the event loop and when it was queued.
type queuedEvent struct {
	queuedAt time.Time
	run      func(now time.Time)
}

// delays holds the longest delays of the event loop since the last report.
type delays struct {
	reportedAt time.Time
	tickedAt   time.Time
	// longestWait is how long an event was queued, longestTickGap the time between
	// two ticks, longestEvent how long the handling of an event or a tick took, and
	// longestSave how long a sync of the log took.
	longestWait, longestTickGap, longestEvent, longestSave time.Duration

	scheduler       []metrics.Sample
	schedulerCounts []uint64
}

func newDelays(now time.Time) *delays {
	return &delays{reportedAt: now, tickedAt: now, scheduler: []metrics.Sample{{Name: schedulerLatencies}}}
}

func (delays *delays) recordEvent(queuedAt, startedAt, endedAt time.Time) {
	delays.longestWait = max(delays.longestWait, startedAt.Sub(queuedAt))
	delays.longestEvent = max(delays.longestEvent, endedAt.Sub(startedAt))
}

func (delays *delays) recordTick(startedAt, endedAt time.Time) {
	delays.longestTickGap = max(delays.longestTickGap, startedAt.Sub(delays.tickedAt))
	delays.longestEvent = max(delays.longestEvent, endedAt.Sub(startedAt))
	delays.tickedAt = startedAt
}

func (delays *delays) recordSave(took time.Duration) {
	delays.longestSave = max(delays.longestSave, took)
}

// due reports whether the next report is due. If so, it starts the next period.
func (delays *delays) due(now time.Time) bool {
	if now.Sub(delays.reportedAt) < delayReportInterval {
		return false
	}
	delays.reportedAt = now
	return true
}

func (delays *delays) reset() {
	delays.longestWait, delays.longestTickGap, delays.longestEvent, delays.longestSave = 0, 0, 0, 0
}

// longestSchedulerWait returns the longest time that a goroutine has waited for a
// processor since the last call, to the accuracy of the runtime's histogram.
func (delays *delays) longestSchedulerWait() time.Duration {
	metrics.Read(delays.scheduler)
	if delays.scheduler[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	histogram := delays.scheduler[0].Value.Float64Histogram()
	longest := 0.0
	for index, count := range histogram.Counts {
		if index >= len(delays.schedulerCounts) || count > delays.schedulerCounts[index] {
			longest = histogram.Buckets[index]
		}
	}
	delays.schedulerCounts = append(delays.schedulerCounts[:0], histogram.Counts...)
	if math.IsInf(longest, 0) {
		return 0
	}
	return time.Duration(longest * float64(time.Second))
}

// reportDelays logs the longest delays and the counts of feed requests of the last
// period, if a delay was notable, a feed request failed or a response was dropped,
// and on the leader always.
func (control *Control) reportDelays(now time.Time) {
	delays := control.delays
	if !delays.due(now) {
		return
	}
	defer delays.reset()
	exchanges, schedulerWait, responses := control.member.TakeStats(), delays.longestSchedulerWait(), controller.ResponseStats{}
	if control.voter != nil {
		responses = control.voter.TakeStats()
		if control.config.OnDemand != nil {
			control.config.OnDemand(control.voter.Demand())
		}
	}
	longest := max(delays.longestWait, delays.longestTickGap, delays.longestEvent, delays.longestSave, schedulerWait, exchanges.LongestRoundTrip, exchanges.LongestLeave)
	if longest < notableDelay && exchanges.Overdue == 0 && exchanges.Failed == 0 && exchanges.Dropped == 0 && responses.Responses == 0 {
		return
	}
	event := control.config.Log.Info().Str("step", "delays").
		Int64("wait_ms", delays.longestWait.Milliseconds()).Int64("tick_gap_ms", delays.longestTickGap.Milliseconds()).
		Int64("event_ms", delays.longestEvent.Milliseconds()).Int64("save_ms", delays.longestSave.Milliseconds()).
		Int64("scheduler_ms", schedulerWait.Milliseconds()).Int64("round_trip_ms", exchanges.LongestRoundTrip.Milliseconds()).
		Int64("leave_ms", exchanges.LongestLeave.Milliseconds()).
		Int("sent", exchanges.Sent).Int("answered", exchanges.Answered).Int("dropped", exchanges.Dropped).Int("overdue", exchanges.Overdue).Int("failed", exchanges.Failed)
	if responses.Responses > 0 {
		event = event.Int("responses", responses.Responses).Int("superseded", responses.Superseded).Int("declarations", responses.Declarations).
			Int("announcements", responses.Announcements).Int("renewals", responses.Renewals).Int("whole_rosters", responses.WholeRosters)
	}
	event.Send()
}
