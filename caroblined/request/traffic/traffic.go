// Package traffic runs a node's dispatcher for the request path, where calls
// wait for an endpoint. The control goroutine doesn't touch the calls here; it
// only takes reports, and calls Wake after a new view.
//
// # Usage
//
//	work := traffic.New(config)
//	admission, err := work.Admit(ctx, call)
//	defer admission.Finish(tokens, failed)
package traffic

import (
	"context"
	"net/http"
	"sync"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/member"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/version/view"
)

const (
	// dispatchInterval is how often the goroutine runs, unless Wake makes it run
	// earlier, while calls wait, watchInterval how often it checks running
	// attempts, and idleInterval how often it runs when there are neither.
	dispatchInterval = 5 * time.Millisecond
	watchInterval    = 20 * time.Millisecond
	idleInterval     = 100 * time.Millisecond
)

// Config is fixed for the life of a process.
type Config struct {
	Dispatcher dispatcher.Config
	View       func() *view.View
	Now        func() time.Time
	// RetryBudget bounds how many stalled calls are moved.
	RetryBudget *budget.Budget
}

// Traffic dispatches the calls on a node's request path. It is safe for
// concurrent use.
type Traffic struct {
	config    Config
	startedAt time.Time

	mutex            sync.Mutex
	dispatcher       *dispatcher.Dispatcher
	decisionByTicket map[dispatcher.Ticket]chan dispatcher.Decision
	runningAttempts  map[*Admission]struct{}
	stopping         bool

	wake chan struct{}
	stop context.CancelFunc
	done sync.WaitGroup
}

// New starts the goroutine that dispatches waiting calls and checks running
// attempts.
func New(config Config) *Traffic {
	ctx, stop := context.WithCancel(context.Background())
	traffic := &Traffic{
		config: config, startedAt: config.Now(), dispatcher: dispatcher.New(config.Now(), config.Dispatcher),
		decisionByTicket: map[dispatcher.Ticket]chan dispatcher.Decision{},
		runningAttempts:  map[*Admission]struct{}{},
		wake:             make(chan struct{}, 1), stop: stop,
	}
	traffic.done.Go(func() { traffic.run(ctx) })
	return traffic
}

// Close stops the goroutine and waits for it.
func (traffic *Traffic) Close() {
	traffic.stop()
	traffic.done.Wait()
}

// Wake makes the goroutine dispatch waiting calls soon, as after a new view.
func (traffic *Traffic) Wake() {
	select {
	case traffic.wake <- struct{}{}:
	default:
	}
}

// Stop refuses all new calls from now on.
func (traffic *Traffic) Stop() {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.stopping = true
}

// Stopping reports whether new calls are refused for good.
func (traffic *Traffic) Stopping() bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.stopping || traffic.config.View().Stopping
}

// Report returns the node's demand, its running calls, and whether it has
// drained, for the leader.
func (traffic *Traffic) Report(now time.Time) member.UsageReported {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	demand, running, calls := traffic.dispatcher.Report(now)
	stopping := traffic.stopping || traffic.config.View().Stopping
	return member.UsageReported{DemandByClientAccount: demand, RunningByEndpoint: running, ActiveCalls: calls, Drained: stopping && calls == 0}
}

func (traffic *Traffic) run(ctx context.Context) {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	var checkedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-traffic.wake:
		}
		traffic.mutex.Lock()
		traffic.dispatch()
		if now := traffic.config.Now(); now.Sub(checkedAt) >= watchInterval {
			checkedAt = now
			traffic.signalMoves()
		}
		timer.Reset(traffic.nextCheckIn())
		traffic.mutex.Unlock()
	}
}

// nextCheckIn returns the time until the goroutine's next run. The caller holds
// the mutex.
func (traffic *Traffic) nextCheckIn() time.Duration {
	switch {
	case len(traffic.decisionByTicket) > 0:
		return dispatchInterval
	case len(traffic.runningAttempts) > 0:
		return watchInterval
	default:
		return idleInterval
	}
}

// dispatch passes the dispatcher's decisions to the calls that wait for them. The
// caller holds the mutex.
func (traffic *Traffic) dispatch() {
	for _, decision := range traffic.dispatcher.Pump(traffic.config.Now(), traffic.config.View()) {
		if decided := traffic.decisionByTicket[decision.Ticket]; decided != nil {
			delete(traffic.decisionByTicket, decision.Ticket)
			decided <- decision
		}
	}
}

// signalMoves notifies the attempts whose endpoint has lost a host or its lease and, within
// the retry budget, those that have stalled at an endpoint that can resume streams, that
// their calls should move. The caller holds the mutex.
func (traffic *Traffic) signalMoves() {
	now, current := traffic.config.Now(), traffic.config.View()
	for admission := range traffic.runningAttempts {
		reason := ErrStalled
		switch {
		case !current.Valid(now, admission.endpoint.Name, admission.endpoint.Fencing):
			reason = ErrEndpointLost
		case !admission.endpoint.Resumes || !admission.stalled(now) || !traffic.config.RetryBudget.Spend():
			continue
		}
		admission.moves <- reason
		delete(traffic.runningAttempts, admission) // signals and spends the budget once per attempt
	}
}

// DivertedCalls returns how many calls the limits of cold endpoints have sent elsewhere.
func (traffic *Traffic) DivertedCalls() int64 { return traffic.dispatcher.DivertedCalls() }

// Admit waits until a call may run. If the call is refused or ctx ends first,
// it returns a *rest.Error with the reason.
func (traffic *Traffic) Admit(ctx context.Context, call dispatcher.Call) (*Admission, error) {
	decided := make(chan dispatcher.Decision, 1)
	ticket, err := traffic.submit(call, decided)
	if err != nil {
		return nil, err
	}
	select {
	case decision := <-decided:
		return traffic.admitted(decision)
	case <-ctx.Done():
		return traffic.cancelWaiting(ticket)
	}
}

func (traffic *Traffic) submit(call dispatcher.Call, decided chan dispatcher.Decision) (dispatcher.Ticket, error) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if traffic.stopping {
		return 0, refusalError(dispatcher.Refusal{Reason: dispatcher.ReasonStopping, RetryAfter: time.Second})
	}
	ticket, refusal := traffic.dispatcher.Submit(traffic.config.Now(), traffic.config.View(), call)
	if refusal != nil {
		return 0, refusalError(*refusal)
	}
	traffic.decisionByTicket[ticket] = decided
	traffic.dispatch()
	if traffic.decisionByTicket[ticket] != nil {
		traffic.Wake()
	}
	return ticket, nil
}

func (traffic *Traffic) admitted(decision dispatcher.Decision) (*Admission, error) {
	if decision.Refusal != nil {
		return nil, refusalError(*decision.Refusal)
	}
	return &Admission{traffic: traffic, ticket: decision.Ticket, endpoint: decision.Endpoint}, nil
}

// cancelWaiting removes a call whose caller has disconnected. If an endpoint was
// assigned in the meantime, its slot is freed.
func (traffic *Traffic) cancelWaiting(ticket dispatcher.Ticket) (*Admission, error) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	delete(traffic.decisionByTicket, ticket)
	if !traffic.dispatcher.Cancel(ticket) {
		traffic.dispatcher.Finished(traffic.config.Now(), ticket, 0, false)
	}
	traffic.dispatch()
	return nil, rest.NotRun(rest.StatusClientClosed, "caller_gone", "the caller went away before the call ran")
}

// refusalError converts a refusal into the error that the caller gets.
func refusalError(refusal dispatcher.Refusal) *rest.Error {
	status, message := http.StatusServiceUnavailable, ""
	switch refusal.Reason {
	case dispatcher.ReasonNoLease:
		message = "this entry host has no live configuration; another one may serve"
	case dispatcher.ReasonStopping:
		message = "this entry host is stopping; another one may serve"
	case dispatcher.ReasonNoContract:
		status, message = http.StatusForbidden, "the contract has ended"
	case dispatcher.ReasonQueueFull:
		status, message = http.StatusTooManyRequests, "all of the contract's queue places are taken"
	case dispatcher.ReasonDeadline:
		message = "the call can't be served within the contract's deadline"
	case dispatcher.ReasonRateLimited:
		status, message = http.StatusTooManyRequests, "the contract's limits are used up"
	case dispatcher.ReasonNoEndpoint:
		message = "no endpoint serves this at present"
	case dispatcher.ReasonEvacuated:
		message = "all data centres that serve this are evacuated at present"
	}
	restError := rest.NotRun(status, string(refusal.Reason), message)
	restError.RetryAfter = refusal.RetryAfter
	return restError
}
