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

// ErrEndpointLost is the reason to move a call whose endpoint has lost a host or its
// lease. Its engine may go on all the same.
var ErrEndpointLost = errors.New("the endpoint lost a host")

// ErrStalled is the reason to move a call that has been without a token for long.
var ErrStalled = errors.New("the endpoint stalled")

// paceSampleInterval is the least time between two samples of a stream's pace.
const paceSampleInterval = 100 * time.Millisecond

// Admission is a call that has been assigned an endpoint. Only one goroutine
// may use it.
type Admission struct {
	traffic  *Traffic
	ticket   dispatcher.Ticket
	endpoint *view.Endpoint
	cancel   context.CancelCauseFunc
	level    attained.Level
	// paceSampledAt and tokensSinceSample are the state of the current pace
	// sample.
	paceSampledAt     time.Time
	tokensSinceSample int
	// attemptStartedAt is when the current attempt started.
	attemptStartedAt time.Time
	// lastTokenAt is when the attempt's last token arrived, in nanoseconds
	// since Traffic.startedAt. It is zero before the first token.
	lastTokenAt atomic.Int64
	// moves receives why the current attempt's call should move, once per attempt.
	moves chan error
}

// Endpoint returns the endpoint that the call is assigned to.
func (admission *Admission) Endpoint() *view.Endpoint { return admission.endpoint }

// Level returns the priority level to which the call has been demoted.
func (admission *Admission) Level() attained.Level { return admission.level }

// Attempt starts an attempt at the endpoint, or at another one if the endpoint's data centre
// has been evacuated since it was assigned: Endpoint then returns that one. It returns false when the node may no
// longer start work at the endpoint, which is checked here as the last step before the
// write. Nothing but the caller of Attempt ends the attempt: a reason to move is
// sent to Moves.
func (admission *Admission) Attempt(ctx context.Context) (context.Context, context.CancelCauseFunc, bool) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	now, current := traffic.config.Now(), traffic.config.View()
	if current.Evacuated(admission.endpoint.DataCentre) {
		admission.leaveEvacuated(now, current)
	}
	if !current.MayStart(now, admission.endpoint) {
		return nil, nil, false
	}
	attempt, cancel := context.WithCancelCause(ctx)
	admission.attemptStarted(now, cancel)
	return attempt, cancel, true
}

// leaveEvacuated assigns another endpoint, if one has capacity, to a call whose data centre was
// evacuated after it was assigned there and before it was sent. The caller holds the mutex.
func (admission *Admission) leaveEvacuated(now time.Time, current *view.View) {
	work := admission.traffic.dispatcher
	if endpoint, ok := work.Reserve(now, current, admission.ticket, admission.level, false); ok {
		work.TakeReserved(now, admission.ticket, false)
		admission.endpoint = endpoint
	}
}

// attemptStarted begins to watch an attempt. The caller holds the mutex.
func (admission *Admission) attemptStarted(now time.Time, cancel context.CancelCauseFunc) {
	admission.cancel = cancel
	admission.paceSampledAt, admission.tokensSinceSample, admission.attemptStartedAt = time.Time{}, 0, now
	admission.lastTokenAt.Store(0)
	admission.moves = make(chan error, 1)
	admission.traffic.runningAttempts[admission] = struct{}{}
}

// Moves receives why the call of the current attempt should move to another endpoint,
// ErrEndpointLost or ErrStalled, at most once.
func (admission *Admission) Moves() <-chan error { return admission.moves }

// RecordToken records the arrival of a token, for the endpoint's pace. It
// returns true when the endpoint has been ejected as slow, so that the call
// should move.
func (admission *Admission) RecordToken() bool {
	now := admission.traffic.config.Now()
	admission.lastTokenAt.Store(int64(now.Sub(admission.traffic.startedAt)))
	if admission.paceSampledAt.IsZero() {
		admission.recordFirstToken(now)
		admission.paceSampledAt = now
		return false
	}
	admission.tokensSinceSample++
	elapsed := now.Sub(admission.paceSampledAt)
	if elapsed < paceSampleInterval {
		return false
	}
	gap := elapsed / time.Duration(admission.tokensSinceSample)
	admission.paceSampledAt, admission.tokensSinceSample = now, 0
	admission.traffic.mutex.Lock()
	defer admission.traffic.mutex.Unlock()
	return admission.traffic.dispatcher.Pace(now, admission.ticket, gap)
}

func (admission *Admission) recordFirstToken(now time.Time) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.dispatcher.FirstToken(now.Sub(admission.attemptStartedAt))
}

// RecordAnswerTime records how long a service took for a whole answer, as the
// endpoint's pace.
func (admission *Admission) RecordAnswerTime(duration time.Duration) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.dispatcher.Pace(traffic.config.Now(), admission.ticket, duration)
}

// Move ends the attempt and assigns an endpoint to the rest of the call,
// waiting for one when none has capacity. Set failed if the attempt failed at
// its endpoint. Move returns false when the dispatcher finds no endpoint in
// time, or ctx ends first.
func (admission *Admission) Move(ctx context.Context, level attained.Level, failed bool) bool {
	decided := make(chan dispatcher.Decision, 1)
	if admission.move(level, failed, decided) {
		return true
	}
	traffic := admission.traffic
	select {
	case decision := <-decided:
		if decision.Endpoint == nil {
			return false
		}
		admission.endpoint = decision.Endpoint
		return true
	case <-ctx.Done():
		traffic.mutex.Lock()
		defer traffic.mutex.Unlock()
		delete(traffic.decisionByTicket, admission.ticket)
		return false
	}
}

// move returns true when an endpoint was assigned at once. Otherwise the
// decision arrives on the channel.
func (admission *Admission) move(level attained.Level, failed bool, decided chan dispatcher.Decision) bool {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	admission.endAttempt()
	admission.level = level
	endpoint, ok := traffic.dispatcher.Move(traffic.config.Now(), traffic.config.View(), admission.ticket, level, failed)
	if ok {
		admission.endpoint = endpoint
	} else {
		traffic.decisionByTicket[admission.ticket] = decided
		traffic.Wake()
	}
	traffic.dispatch()
	return ok
}

// Reservation is an endpoint that is held for the rest of a call, while the current
// attempt goes on. It ends with Take or Release.
type Reservation struct {
	admission *Admission
	endpoint  *view.Endpoint
	level     attained.Level
	startedAt time.Time
}

// Reserve holds an endpoint with capacity for the rest of the call, at a level. Set
// failed if the current one is at fault. It returns false when there is none, or when
// one is held already.
func (admission *Admission) Reserve(level attained.Level, failed bool) (*Reservation, bool) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	endpoint, ok := traffic.dispatcher.Reserve(traffic.config.Now(), traffic.config.View(), admission.ticket, level, failed)
	if !ok {
		return nil, false
	}
	return &Reservation{admission: admission, endpoint: endpoint, level: level}, true
}

// Endpoint returns the reserved endpoint.
func (reservation *Reservation) Endpoint() *view.Endpoint { return reservation.endpoint }

// Level returns the priority level that the call has at the reserved endpoint.
func (reservation *Reservation) Level() attained.Level { return reservation.level }

// Attempt starts an attempt at the reserved endpoint beside the current one. It returns
// false when the node may no longer start work there.
func (reservation *Reservation) Attempt(ctx context.Context) (context.Context, context.CancelCauseFunc, bool) {
	traffic := reservation.admission.traffic
	now := traffic.config.Now()
	if !traffic.config.View().MayStart(now, reservation.endpoint) {
		return nil, nil, false
	}
	reservation.startedAt = now
	attempt, cancel := context.WithCancelCause(ctx)
	return attempt, cancel, true
}

// Take ends the current attempt and moves the call to the reserved endpoint. Set failed
// if the old one was at fault. cancel ends the attempt that runs at the reserved endpoint; it is nil while none
// does.
func (reservation *Reservation) Take(cancel context.CancelCauseFunc, failed bool) {
	admission := reservation.admission
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	admission.endAttempt()
	admission.endpoint, admission.level = reservation.endpoint, reservation.level
	traffic.dispatcher.TakeReserved(traffic.config.Now(), admission.ticket, failed)
	if cancel != nil {
		admission.attemptStarted(reservation.startedAt, cancel)
	}
	traffic.dispatch()
}

// Release ends the reservation, and the call stays where it is. Set failed if the
// reserved endpoint was at fault.
func (reservation *Reservation) Release(failed bool) {
	traffic := reservation.admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.dispatcher.ReleaseReserved(traffic.config.Now(), reservation.admission.ticket, failed)
	traffic.dispatch()
}

// stalled reports whether the attempt has been without a token for too long.
// The caller holds the mutex.
func (admission *Admission) stalled(now time.Time) bool {
	traffic := admission.traffic
	idle, lastTokenAt := now.Sub(admission.attemptStartedAt), admission.lastTokenAt.Load()
	if lastTokenAt > 0 {
		idle = now.Sub(traffic.startedAt) - time.Duration(lastTokenAt)
	}
	return traffic.dispatcher.Stalled(now, admission.ticket, idle, lastTokenAt > 0)
}

// endAttempt cancels the attempt's context and stops watching the attempt. The
// caller holds the mutex.
func (admission *Admission) endAttempt() {
	if admission.cancel != nil {
		admission.cancel(nil)
		admission.cancel = nil
	}
	delete(admission.traffic.runningAttempts, admission)
}

// Finish ends the call and frees its slot. tokens is the number of tokens that
// the call generated. Set failed if the call failed at its endpoint.
func (admission *Admission) Finish(tokens id.Tokens, failed bool) {
	traffic := admission.traffic
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	admission.endAttempt()
	traffic.dispatcher.Finished(traffic.config.Now(), admission.ticket, tokens, failed)
	traffic.dispatch()
}
