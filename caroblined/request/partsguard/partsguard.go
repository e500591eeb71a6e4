// Package partsguard keeps a node's calls whose prompts end endpoints from reaching more of
// them. It finds out whether the endpoint of an answer that broke off has ended, informs the
// leader, and applies the blocks of parts of prompts that the leader has decided on.
//
// # Usage
//
//	guard := partsguard.New(config)
//	guard.Update(view)                               // on each new view
//	if refusal, ok := guard.Check(call); ok { ... }  // when a call arrives
//	if refusal, ok := guard.Take(call); ok { ... }   // as the last step before a send
//	guard.Began(call)                                // its answer has begun
//	guard.BrokeOff(request, call, endpoint)          // it broke off before
//	if guard.MayResend(endpoint, call, breaks) { ... }
//	guard.Close()
package partsguard

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/member"
	"carobline.dev/core/request/fingerprint"
	"carobline.dev/core/request/suspicion"
	"carobline.dev/core/version/view"
)

// checkDelays are the pauses before the checks whether the process of an endpoint whose
// answer broke off has ended. Its listener may close later than its connections.
var checkDelays = [...]time.Duration{5 * time.Millisecond, 100 * time.Millisecond}

const (
	// checkRetention is how long further calls of a process that has ended are added to its
	// crash. checkInterval is the time until one that goes on is checked again, and
	// checkTimeout bounds one check.
	checkRetention = 5 * time.Second
	checkInterval  = 500 * time.Millisecond
	checkTimeout   = 400 * time.Millisecond
	// maxCheckedCalls bounds the calls that wait for one check.
	maxCheckedCalls = 32
	// maxLoggedParts bounds the parts of a prompt in a line of the log.
	maxLoggedParts = 8
)

// Call is what the handler has of a call.
type Call struct {
	ClientAccount id.ClientAccount
	// Parts are those of its prompt that other calls may share.
	Parts []id.PromptPart
	// Name returns the name of its request (package fingerprint). It hashes the body, and so is
	// called only when the name matters. It is nil until the body has come.
	Name func() id.PromptPart
}

// known is what the guard judges a call by.
func (call *Call) known() suspicion.Call {
	known := suspicion.Call{ClientAccount: call.ClientAccount, Parts: call.Parts}
	if call.Name != nil {
		known.Request = call.Name()
	}
	return known
}

// Config is fixed for the life of a process.
type Config struct {
	// Self and Incarnation are those of the node.
	Self        id.Node
	Incarnation id.Incarnation
	View        func() *view.View
	Now         func() time.Time
	// Reach opens a connection to an endpoint's address and closes it.
	Reach func(ctx context.Context, address string) error
	// Declines reports whether an endpoint has stated in its answers that it accepts no
	// calls for now. It may be nil.
	Declines func(endpoint *view.Endpoint) bool
	Log      zerolog.Logger
	Metrics  metrics.Registry
}

// check finds out whether an endpoint's process has ended.
type check struct {
	// calls are those whose answers hadn't begun, while the check runs.
	calls []brokenCall
	// ended is set once the process is known to have ended, and finished when the check
	// is over.
	ended, finished bool
}

// brokenCall is a call whose answer broke off before it had begun.
type brokenCall struct {
	request id.Request
	call    suspicion.Call
	at      time.Time
	// wasToStay is whether the endpoint was to stay when the answer broke off.
	wasToStay bool
}

// Guard is the state of one node. It is safe for concurrent use.
type Guard struct {
	config     Config
	ctx        context.Context //nolint:containedctx // bounds the guard itself
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	crashedCalls, blockedCalls metrics.Counter
	blocks                     metrics.Gauge

	// watches is whether anything is suspect or blocked, or an endpoint has ended lately. Until
	// then no call is refused, and none needs the name of its request.
	watches atomic.Bool

	mutex          sync.Mutex
	suspicion      *suspicion.Suspicion
	checkByProcess map[suspicion.Process]*check
}

// New returns a guard that has recorded no crash.
func New(config Config) *Guard {
	ctx, stop := context.WithCancel(context.Background())
	return &Guard{
		config: config, ctx: ctx, stop: stop,
		crashedCalls: metrics.GetOrRegisterCounter("parts.crashed_calls", config.Metrics),
		blockedCalls: metrics.GetOrRegisterCounter("parts.blocked_calls", config.Metrics),
		blocks:       metrics.GetOrRegisterGauge("parts.blocks", config.Metrics),
		suspicion:    suspicion.New(config.Self, config.Incarnation), checkByProcess: map[suspicion.Process]*check{},
	}
}

// Close ends all checks and waits for them.
func (guard *Guard) Close() {
	guard.stop()
	guard.goroutines.Wait()
}

// Update takes what the leader has decided and asks about.
func (guard *Guard) Update(current *view.View) {
	guard.blocks.Update(int64(len(current.Blocks.Blocks)))
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.suspicion.Update(current.Blocks, current.SuspectParts)
	guard.watches.Store(guard.suspicion.Watches())
}

// Check returns the refusal of a call that a block holds for, unless it may be the block's
// trial.
func (guard *Guard) Check(call Call) (suspicion.Refusal, bool) {
	if !guard.watches.Load() {
		return suspicion.Refusal{}, false
	}
	known := call.known()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.check(known)
}

// check is Check for a caller that holds the mutex.
func (guard *Guard) check(call suspicion.Call) (suspicion.Refusal, bool) {
	refusal, refused := guard.suspicion.Check(guard.config.Now(), call)
	if refused {
		guard.blockedCalls.Inc(1)
	}
	return refusal, refused
}

// Take is Check as the last step before a send. A call that is a block's trial uses it up.
func (guard *Guard) Take(call Call) (suspicion.Refusal, bool) {
	if !guard.watches.Load() {
		return suspicion.Refusal{}, false
	}
	known := call.known()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if guard.suspicion.Use(known) {
		return suspicion.Refusal{}, false
	}
	return guard.check(known)
}

// Began records that the answer to a call has begun.
func (guard *Guard) Began(call Call) {
	if !guard.watches.Load() {
		call.Name = nil
	}
	known := call.known()
	if known.Empty() {
		return
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.suspicion.Began(guard.config.Now(), known)
}

// MayResend reports whether a call whose answer last broke off at an endpoint, before it had
// begun, may be sent to another one. The endpoint is nil if none has broken it off, and breaks
// counts those that have.
func (guard *Guard) MayResend(endpoint *view.Endpoint, call Call, breaks int) bool {
	known := call.known()
	process := suspicion.Process{}
	if endpoint != nil {
		process = processOf(endpoint)
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.suspicion.MayResend(guard.config.Now(), process, known, breaks)
}

// Report adds what the leader receives about endpoints that ended, about the parts that it
// asks for, and about the blocks under which calls were refused.
func (guard *Guard) Report(usage *member.UsageReported) {
	now := guard.config.Now()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	usage.Crashes = guard.suspicion.Crashes(now)
	usage.SoundParts = guard.suspicion.SoundParts(now)
	usage.WantedTrials = guard.suspicion.WantedTrials(now)
}

func processOf(endpoint *view.Endpoint) suspicion.Process {
	return suspicion.Process{Host: endpoint.Host, Incarnation: endpoint.Incarnation, Address: endpoint.Address}
}

// BrokeOff finds out whether the endpoint of a call, whose answer broke off before it had
// begun, has ended.
func (guard *Guard) BrokeOff(request id.Request, call Call, endpoint *view.Endpoint) {
	broken := brokenCall{request, call.known(), guard.config.Now(), guard.wasToStay(endpoint)}
	if broken.call.Empty() {
		return
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	known := guard.checkByProcess[processOf(endpoint)]
	switch {
	case known == nil:
		started := &check{calls: []brokenCall{broken}}
		guard.checkByProcess[processOf(endpoint)] = started
		guard.goroutines.Go(func() { guard.run(endpoint, started) })
	case known.ended:
		guard.record(broken.at, endpoint, broken)
	case known.finished:
		guard.recordUnproven(endpoint, broken)
	case len(known.calls) < maxCheckedCalls:
		known.calls = append(known.calls, broken)
	}
}

// run carries out a check, and keeps its result for a time.
func (guard *Guard) run(endpoint *view.Endpoint, check *check) {
	ended, retention := guard.hasEnded(endpoint), checkInterval
	if ended {
		retention = checkRetention
	}
	guard.finish(endpoint, check, ended)
	guard.sleep(retention)
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	delete(guard.checkByProcess, processOf(endpoint))
}

func (guard *Guard) finish(endpoint *view.Endpoint, check *check, ended bool) {
	now := guard.config.Now()
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	check.ended, check.finished = ended, true
	for _, broken := range check.calls {
		if ended {
			guard.record(now, endpoint, broken)
		} else {
			guard.recordUnproven(endpoint, broken)
		}
	}
	check.calls = nil
}

// hasEnded reports whether the process of an endpoint has ended unplanned: its address
// refuses connections, and neither control nor the endpoint has reported that it leaves. A
// connection that can't be opened in time proves nothing.
func (guard *Guard) hasEnded(endpoint *view.Endpoint) bool {
	for _, delay := range checkDelays {
		if !guard.sleep(delay) {
			return false
		}
		if guard.config.View().Evacuated(endpoint.DataCentre) {
			// Nothing is sent there, not even a connection, and it isn't to stay.
			return false
		}
		ctx, cancel := context.WithTimeout(guard.ctx, checkTimeout)
		refused := rest.Refused(guard.config.Reach(ctx, endpoint.Address))
		cancel()
		if refused {
			return guard.wasToStay(endpoint)
		}
	}
	return false
}

// recordUnproven records a call that was at an endpoint which may have ended, though its address accepts
// connections: it may have started again at once, or be behind a proxy. Whether it was to stay is what the node
// knew at the break, as the view may show the next process by now. The caller holds the mutex.
func (guard *Guard) recordUnproven(endpoint *view.Endpoint, broken brokenCall) {
	if broken.wasToStay {
		guard.suspicion.MayHaveEnded(broken.at, processOf(endpoint), broken.call)
		guard.watches.Store(guard.suspicion.Watches())
	}
}

// wasToStay reports whether an endpoint accepts calls as far as control and its own answers
// have reported.
func (guard *Guard) wasToStay(endpoint *view.Endpoint) bool {
	current := guard.config.View().Endpoints[endpoint.Name]
	if current == nil || !current.Accepting || processOf(current) != processOf(endpoint) {
		return false
	}
	return guard.config.Declines == nil || !guard.config.Declines(endpoint)
}

// sleep pauses and reports whether the node goes on.
func (guard *Guard) sleep(pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-guard.ctx.Done():
		return false
	}
}

// record records a call that was at an endpoint which has ended. The caller holds the mutex.
func (guard *Guard) record(now time.Time, endpoint *view.Endpoint, broken brokenCall) {
	parts := slices.DeleteFunc(slices.Clone(guard.suspicion.Ended(now, processOf(endpoint), broken.call)), fingerprint.Is)
	guard.watches.Store(guard.suspicion.Watches())
	guard.crashedCalls.Inc(1)
	guard.config.Log.Info().Str("step", "crash").Str("request", string(broken.request)).Str("host", string(endpoint.Host)).
		Str("request_name", string(broken.call.Request)).Int64("age_ms", now.Sub(broken.at).Milliseconds()).
		Interface("suspect_parts", parts[:min(len(parts), maxLoggedParts)]).
		Msg("the endpoint's process has ended before the call's answer began")
}
