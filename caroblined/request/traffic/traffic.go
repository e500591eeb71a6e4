// Package traffic runs a node's dispatcher for its request path. Calls wait
// here for their endpoint; nothing here is touched by the control goroutine but
// for its reports.
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
	// pumpEvery is how often waiting calls are looked at when nothing happens,
	// watchEvery running streams, and idleEvery nothing at all.
	pumpEvery  = 5 * time.Millisecond
	watchEvery = 20 * time.Millisecond
	idleEvery  = 100 * time.Millisecond
)

// Config is fixed for the life of a process.
type Config struct {
	Dispatcher dispatcher.Config
	View       func() *view.View
	Now        func() time.Time
	// RetryBudget bounds how many stalled calls are moved.
	RetryBudget *budget.Budget
}

// Traffic is the request path's side of a node. It is safe for concurrent use.
type Traffic struct {
	config Config
	epoch  time.Time

	mutex    sync.Mutex
	work     *dispatcher.Dispatcher
	waiting  map[dispatcher.Ticket]chan dispatcher.Decision
	streams  map[*Admission]struct{}
	stopping bool

	wake chan struct{}
	stop context.CancelFunc
	done sync.WaitGroup
}

// New starts the goroutine that looks after waiting calls and running streams.
func New(config Config) *Traffic {
	ctx, stop := context.WithCancel(context.Background())
	traffic := &Traffic{
		config: config, epoch: config.Now(), work: dispatcher.New(config.Now(), config.Dispatcher),
		waiting: map[dispatcher.Ticket]chan dispatcher.Decision{},
		streams: map[*Admission]struct{}{},
		wake:    make(chan struct{}, 1), stop: stop,
	}
	traffic.done.Go(func() { traffic.run(ctx) })
	return traffic
}

// Close stops the goroutine and waits for it.
func (traffic *Traffic) Close() {
	traffic.stop()
	traffic.done.Wait()
}

// Wake has waiting calls looked at soon, as after a new view.
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

// Stopping tells whether new calls are refused for good.
func (traffic *Traffic) Stopping() bool {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return traffic.stopping || traffic.config.View().Stopping
}

// Report tells what the node needs and does, for the leader.
func (traffic *Traffic) Report(now time.Time) member.UsageReported {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	demand, running, calls := traffic.work.Report(now)
	stopping := traffic.stopping || traffic.config.View().Stopping
	return member.UsageReported{Demand: demand, RunningByEndpoint: running, ActiveCalls: calls, Drained: stopping && calls == 0}
}

func (traffic *Traffic) run(ctx context.Context) {
	timer := time.NewTimer(idleEvery)
	defer timer.Stop()
	var watched time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-traffic.wake:
		}
		traffic.mutex.Lock()
		traffic.pump()
		if now := traffic.config.Now(); now.Sub(watched) >= watchEvery {
			watched = now
			traffic.watch()
		}
		timer.Reset(traffic.pause())
		traffic.mutex.Unlock()
	}
}

// pause is how long there is nothing to look at. The mutex is held.
func (traffic *Traffic) pause() time.Duration {
	switch {
	case len(traffic.waiting) > 0:
		return pumpEvery
	case len(traffic.streams) > 0:
		return watchEvery
	default:
		return idleEvery
	}
}

// pump hands out what the dispatcher decides. The mutex is held.
func (traffic *Traffic) pump() {
	for _, decision := range traffic.work.Pump(traffic.config.Now(), traffic.config.View()) {
		if answer := traffic.waiting[decision.Ticket]; answer != nil {
			delete(traffic.waiting, decision.Ticket)
			answer <- decision
		}
	}
}

// watch ends the attempts whose endpoint has lost a host. The mutex is held.
func (traffic *Traffic) watch() {
	now, current := traffic.config.Now(), traffic.config.View()
	for admission := range traffic.streams {
		if !current.Valid(now, admission.endpoint.Name, admission.endpoint.Fencing) {
			admission.cancel(ErrEndpointLost)
		} else if admission.endpoint.Resumes && admission.stalled(now) && traffic.config.RetryBudget.Spend() {
			admission.cancel(ErrStalled)
			delete(traffic.streams, admission) // once is enough
		}
	}
}

// Admit waits until a call may run, or returns a *rest.Error that says why not.
func (traffic *Traffic) Admit(ctx context.Context, call dispatcher.Call) (*Admission, error) {
	answer := make(chan dispatcher.Decision, 1)
	ticket, err := traffic.submit(call, answer)
	if err != nil {
		return nil, err
	}
	select {
	case decision := <-answer:
		return traffic.admitted(decision)
	case <-ctx.Done():
		return traffic.cancelled(ticket)
	}
}

func (traffic *Traffic) submit(call dispatcher.Call, answer chan dispatcher.Decision) (dispatcher.Ticket, error) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	if traffic.stopping {
		return 0, refusalError(dispatcher.Refusal{Reason: dispatcher.ReasonStopping, RetryAfter: time.Second})
	}
	ticket, refusal := traffic.work.Submit(traffic.config.Now(), traffic.config.View(), call)
	if refusal != nil {
		return 0, refusalError(*refusal)
	}
	traffic.waiting[ticket] = answer
	traffic.pump()
	if traffic.waiting[ticket] != nil {
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

// cancelled drops a call whose caller has gone. An endpoint that was decided
// meanwhile is given back.
func (traffic *Traffic) cancelled(ticket dispatcher.Ticket) (*Admission, error) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	delete(traffic.waiting, ticket)
	if !traffic.work.Cancel(ticket) {
		traffic.work.Finished(traffic.config.Now(), ticket, 0, false)
	}
	traffic.pump()
	return nil, rest.NotRun(rest.StatusClientClosed, "caller_gone", "the caller went away before the call ran")
}

// refusalError shows a refusal to the caller.
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
	}
	known := rest.NotRun(status, string(refusal.Reason), message)
	known.RetryAfter = refusal.RetryAfter
	return known
}
