// Package run is what one run of a node's process reports about itself: its state for the leader,
// and the end of the run before it, if that was without a stop, for the log and the metrics.
//
// # Usage
//
//	own := run.New(run.Config{Account: account, Now: clock.Now, Log: log, Metrics: registry, ...})
//	usage.Run = own.State(now, usage.ActiveCalls) // with each report
//	own.ToldByLeader(former)   // from a response
//	own.Stop()                 // before the node drains
//	own.Close()                // when it is closed
package run

import (
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/process/wal"
)

const (
	// accountInterval is how old the account's part of a state may be, and heapInterval the
	// heap's.
	accountInterval = 200 * time.Millisecond
	heapInterval    = 200 * time.Millisecond
	// closeTimeout bounds the wait for the disk at the end of the run.
	closeTimeout = 200 * time.Millisecond
	// heapMetric names the runtime's figure of the bytes that objects on the heap take.
	heapMetric = "/memory/classes/heap/objects:bytes"
	// counterName is the metric that counts the runs that ended without a stop.
	counterName = "runs.ended_without_stop"
)

// source is the origin of the report that a run has ended without a stop.
type source string

const (
	sourceLeader source = "leader"
	sourceRecord source = "record"
)

// Config is fixed for the life of a run.
type Config struct {
	// Account may be nil, which holds nothing.
	Account *memory.Account
	Now     func() time.Time
	Log     zerolog.Logger
	Metrics gometrics.Registry
	// Folder holds the run's record, written with Disk. Without a folder there is none.
	Folder string
	Disk   wal.Disk
	// Incarnation is that of the run, and Former that of the run before it; zero if that
	// isn't known.
	Incarnation, Former id.Incarnation
	// Process is the same for all runs of one process; empty if it has only one.
	Process string
}

// Run is safe for concurrent use.
type Run struct {
	config    Config
	startedAt time.Time
	ended     gometrics.Counter
	countOnce sync.Once
	stopping  atomic.Bool

	mutex             sync.Mutex
	account           memory.State
	accountAt, heapAt time.Time
	heap              memory.Bytes
	// calls is the number of calls in progress at the last report.
	calls              int
	sample             []metrics.Sample
	toldFormerByLeader bool

	// closing ends the goroutine that keeps the record, and recorded is closed when it ends.
	closing, recorded chan struct{}
	closeOnce         sync.Once
}

// New returns the run of a process that starts now. With a folder it begins to keep a record
// there, and reads that of the run before it.
func New(config Config) *Run {
	run := &Run{
		config: config, startedAt: config.Now(), ended: gometrics.GetOrRegisterCounter(counterName, config.Metrics),
		sample: []metrics.Sample{{Name: heapMetric}}, closing: make(chan struct{}), recorded: make(chan struct{}),
	}
	if config.Folder == "" {
		close(run.recorded)
	} else {
		go run.keepRecord()
	}
	return run
}

// Close records that the run has stopped. It waits for the disk for closeTimeout at most.
func (run *Run) Close() {
	run.Stop()
	run.closeOnce.Do(func() { close(run.closing) })
	select {
	case <-run.recorded:
	case <-time.After(closeTimeout):
	}
}

// Stop marks all later states as those of a run that stops.
func (run *Run) Stop() { run.stopping.Store(true) }

// State returns the run's state for a report, which holds the calls in progress elsewhere.
func (run *Run) State(now time.Time, calls int) *feed.RunState {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.calls = calls
	return run.state(now)
}

// state returns the run's state without its calls. The mutex must be locked.
func (run *Run) state(now time.Time) *feed.RunState {
	run.refresh(now)
	return &feed.RunState{
		UptimeMS: now.Sub(run.startedAt).Milliseconds(), Held: run.account.Held, Peak: run.account.Peak,
		LargestKind: run.account.Largest.Kind, Largest: run.account.Largest.Name, LargestHeld: run.account.LargestHeld,
		Heap: run.heap, Stopping: run.stopping.Load(),
	}
}

// refresh reads the account and the heap again if what is known is too old.
func (run *Run) refresh(now time.Time) {
	if run.accountAt.IsZero() || now.Sub(run.accountAt) >= accountInterval {
		run.account, run.accountAt = run.config.Account.State(), now
	}
	if !run.heapAt.IsZero() && now.Sub(run.heapAt) < heapInterval {
		return
	}
	run.heapAt = now
	metrics.Read(run.sample)
	if run.sample[0].Value.Kind() == metrics.KindUint64 {
		run.heap = memory.Bytes(run.sample[0].Value.Uint64()) //nolint:gosec // a heap has fewer than 2^63 bytes
	}
}

// ToldByLeader records that the former run has ended without a stop, as a response of the
// leader reports. The leader reports it several times; all but the first are ignored.
func (run *Run) ToldByLeader(former feed.EndedRun) {
	run.mutex.Lock()
	known := run.toldFormerByLeader
	run.toldFormerByLeader = true
	run.mutex.Unlock()
	if !known {
		run.logFormer(former, sourceLeader)
	}
}

// logFormer writes the line of a former run that has ended without a stop, and counts the run
// once, whoever reports it.
func (run *Run) logFormer(former feed.EndedRun, source source) {
	run.countOnce.Do(func() { run.ended.Inc(1) })
	Describe(run.config.Log.Warn().Str("step", "ended_without_stop").Str("told_by", string(source)), &former.Last).
		Int64("gap_ms", former.GapMS).Msg("the run before this one ended without a stop")
}

// Describe adds a run's last state to a line of the log.
func Describe(event *zerolog.Event, last *feed.RunState) *zerolog.Event {
	return event.Int64("uptime_ms", last.UptimeMS).Int64("held_bytes", int64(last.Held)).Int64("peak_bytes", int64(last.Peak)).
		Str("holder_kind", string(last.LargestKind)).Str("holder", last.Largest).Int64("holder_bytes", int64(last.LargestHeld)).
		Int64("heap_bytes", int64(last.Heap)).Int("calls", last.Calls)
}
