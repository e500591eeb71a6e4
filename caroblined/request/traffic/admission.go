package traffic

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/version/view"
)

// ErrEndpointLost is the cause of an attempt that ended because its endpoint
// lost a host or its lease.
var ErrEndpointLost = errors.New("the endpoint lost a host")

// ErrStalled is the cause of an attempt that was without a token for so long
// that the call had better go elsewhere.
var ErrStalled = errors.New("the endpoint stalled")

// paceEvery is how often a stream's pace is sampled.
const paceEvery = 100 * time.Millisecond

// Admission is one call that has an endpoint. One goroutine uses it.
type Admission struct {
	traffic  *Traffic
	ticket   dispatcher.Ticket
	endpoint *view.Endpoint
	cancel   context.CancelCauseFunc
	level    attained.Level
	// lastAt and tokens sample the pace.
	lastAt time.Time
	tokens int
	// began is when the present attempt began.
	began time.Time
	// heard is when the last token of the attempt came, as the time since the
	// process's traffic began; zero before the first.
	heard atomic.Int64
}

// Endpoint is where the call runs now.
func (admission *Admission) Endpoint() *view.Endpoint { return admission.endpoint }

// Level is the priority level that the call has sunk to.
func (admission *Admission) Level() attained.Level { return admission.level }

// Attempt starts an attempt at the endpoint: its context ends with
// ErrEndpointLost when the endpoint loses a host. It is false when the node may
// not begin work any more, which is checked as the last step before the write.
func (admission *Admission) Attempt(ctx context.Context) (context.Context, context.CancelCauseFunc, bool) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	now, current := traffic.config.Now(), traffic.config.View()
	if !now.Before(current.LeaseUntil) || !current.Valid(now, admission.endpoint.Name, admission.endpoint.Fencing) {
		return nil, nil, false
	}
	attempt, cancel := context.WithCancelCause(ctx)
	admission.cancel = cancel
	admission.lastAt, admission.tokens, admission.began = time.Time{}, 0, now
	admission.heard.Store(0)
	traffic.streams[admission] = struct{}{}
	return attempt, cancel, true
}

// Token takes the arrival of a token, for the endpoint's pace. It is true when
// the endpoint has turned slow, so that the call had better move.
func (admission *Admission) Token() bool {
	now := admission.traffic.config.Now()
	admission.heard.Store(int64(now.Sub(admission.traffic.epoch)))
	if admission.lastAt.IsZero() {
		admission.firstToken(now)
		admission.lastAt = now
		return false
	}
	admission.tokens++
	elapsed := now.Sub(admission.lastAt)
	if elapsed < paceEvery {
		return false
	}
	gap := elapsed / time.Duration(admission.tokens)
	admission.lastAt, admission.tokens = now, 0
	admission.traffic.mutex.Lock()
	defer admission.traffic.mutex.Unlock()
	return admission.traffic.work.Pace(now, admission.ticket, gap)
}

func (admission *Admission) firstToken(now time.Time) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.work.FirstToken(now.Sub(admission.began))
}

// Whole takes how long a service took for a whole answer.
func (admission *Admission) Whole(took time.Duration) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.work.Pace(traffic.config.Now(), admission.ticket, took)
}

// Move ends the attempt and finds an endpoint for the rest of the call, waiting
// for one when none has room. It is false when there is none in time.
func (admission *Admission) Move(ctx context.Context, level attained.Level, failed bool) bool {
	answer := make(chan dispatcher.Decision, 1)
	if admission.move(level, failed, answer) {
		return true
	}
	traffic := admission.traffic
	select {
	case decision := <-answer:
		if decision.Endpoint == nil {
			return false
		}
		admission.endpoint = decision.Endpoint
		return true
	case <-ctx.Done():
		traffic.mutex.Lock()
		defer traffic.mutex.Unlock()
		delete(traffic.waiting, admission.ticket)
		return false
	}
}

// move is true when an endpoint was found at once; else the answer will come.
func (admission *Admission) move(level attained.Level, failed bool, answer chan dispatcher.Decision) bool {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	admission.endAttempt()
	admission.level = level
	endpoint, ok := traffic.work.Move(traffic.config.Now(), traffic.config.View(), admission.ticket, level, failed)
	if ok {
		admission.endpoint = endpoint
	} else {
		traffic.waiting[admission.ticket] = answer
		traffic.Wake()
	}
	traffic.pump()
	return ok
}

// stalled tells whether the attempt has been without a token for too long. The
// mutex is held.
func (admission *Admission) stalled(now time.Time) bool {
	traffic := admission.traffic
	silent, heard := now.Sub(admission.began), admission.heard.Load()
	if heard > 0 {
		silent = now.Sub(traffic.epoch) - time.Duration(heard)
	}
	return traffic.work.Stalled(now, admission.ticket, silent, heard > 0)
}

// endAttempt stops watching the attempt. The mutex is held.
func (admission *Admission) endAttempt() {
	if admission.cancel != nil {
		admission.cancel(nil)
		admission.cancel = nil
	}
	delete(admission.traffic.streams, admission)
}

// Finish gives the call's place back.
func (admission *Admission) Finish(tokens id.Tokens, failed bool) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	admission.endAttempt()
	traffic.work.Finished(traffic.config.Now(), admission.ticket, tokens, failed)
	traffic.pump()
}
