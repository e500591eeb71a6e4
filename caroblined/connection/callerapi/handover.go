package callerapi

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/id"
)

// minHandoverInterval is the pause between two tries to hand an answer over. It doubles
// after each attempt that was sent and didn't go on with the answer, up to
// maxHandoverInterval.
const (
	minHandoverInterval = 200 * time.Millisecond
	maxHandoverInterval = 5 * time.Second
)

// demotionGrace is how long a demoted answer goes on beside a successor that an engine has
// accepted and that has had no event. A full engine sends none to the successor before the
// answer has left its slot.
const demotionGrace = time.Second

// errEndpointSlow is the reason to move an answer away from an endpoint that has been
// ejected as slow.
var errEndpointSlow = errors.New("the endpoint has turned slow")

// errEndpointUnresponsive is the reason to move an answer away from an endpoint that has sent
// nothing for the inactivity timeout. It ends a running answer only where the view no
// longer holds the endpoint, or where the answer goes on at another one; it also ends a successor that
// sends nothing.
var errEndpointUnresponsive = errors.New("the endpoint sent nothing for too long")

// errHandedOver ends an attempt whose successor has begun.
var errHandedOver = errors.New("the answer goes on at another endpoint")

// errDemoted is the reason to move an answer to a lower priority level, at its own
// endpoint or at another one.
var errDemoted = errors.New("the call was demoted to a lower priority level")

// handover looks for a successor to an attempt that is demoted, or whose endpoint is slow,
// stalled, unresponsive or lost. The attempt goes on until the successor has an event to pass on,
// in a demotion at most demotionGrace after an engine accepted it; its own engine may be at
// work all the same.
type handover struct {
	relay   *relay
	current *attempt
	// lastEventAt is when the attempt began or had its last event, in nanoseconds since
	// the start of the call.
	lastEventAt atomic.Int64
	reasons     chan error
	// stop ends the search, discard also a successor that has been sent.
	stop    context.CancelFunc
	discard context.CancelFunc
	done    chan struct{}

	// reservation and successor are set once the successor can go on with the answer. They
	// belong to the search until done is closed.
	reservation *traffic.Reservation
	successor   *attempt
	// reason is why the answer moves, nil while it needn't. deliveredAtReason is how much
	// of the answer had been delivered then.
	reason            error
	deliveredAtReason id.Tokens
	// prepaid is set while the budget has been charged for a send that hasn't been made.
	prepaid bool
	// pause is the time between two tries, nextTryAt when the next one may be.
	pause     time.Duration
	nextTryAt time.Time
}

// startHandover begins to watch an attempt. Call finish when the attempt has ended.
func (relay *relay) startHandover(ctx context.Context, current *attempt) *handover {
	search, stop := context.WithCancel(ctx)
	successors, discard := context.WithCancel(ctx)
	handover := &handover{relay: relay, current: current, reasons: make(chan error, 1), stop: stop, discard: discard, done: make(chan struct{}), pause: minHandoverInterval}
	handover.recordEvent()
	moves := relay.admission.Moves()
	go func() {
		defer close(handover.done)
		handover.run(search, successors, moves)
	}()
	return handover
}

// finish ends the watch of an attempt that has ended. With keep it returns the successor,
// to which the call has moved, or nil if there is none.
func (handover *handover) finish(keep bool) *attempt {
	handover.stop()
	if !keep {
		handover.discard()
	}
	<-handover.done
	successor := handover.successor
	if successor == nil {
		handover.discard()
		return nil
	}
	if !keep {
		successor.end()
		handover.reservation.Release(false)
		return nil
	}
	successor.release = handover.discard
	handover.reservation.Take(successor.cancel, !errors.Is(handover.reason, errDemoted))
	return successor
}

// recordEvent records that the attempt has had an event.
func (handover *handover) recordEvent() { handover.lastEventAt.Store(int64(handover.sinceStart())) }

func (handover *handover) sinceStart() time.Duration {
	relay := handover.relay
	return relay.api.config.Now().Sub(relay.call.startedAt)
}

// inactivity returns how long the attempt has had no event.
func (handover *handover) inactivity() time.Duration {
	return handover.sinceStart() - time.Duration(handover.lastEventAt.Load())
}

// request asks for a move, unless one is asked for already.
func (handover *handover) request(reason error) {
	select {
	case handover.reasons <- reason:
	default:
	}
}

// run waits for a reason to move the answer, and tries to while it holds.
func (handover *handover) run(search, successors context.Context, moves <-chan error) {
	relay, timer := handover.relay, time.NewTimer(handover.nextCheckIn())
	defer timer.Stop()
	for {
		select {
		case <-search.Done():
			return
		case reason := <-moves:
			handover.setReason(reason)
		case reason := <-handover.reasons:
			handover.setReason(reason)
		case <-timer.C:
		}
		if handover.inactivity() >= relay.api.config.InactivityTimeout {
			if !handover.endpointValid() {
				handover.current.cancel(errEndpointUnresponsive)
				return
			}
			handover.setReason(errEndpointUnresponsive)
		}
		handover.dropReason()
		if now := relay.api.config.Now(); handover.reason != nil && !now.Before(handover.nextTryAt) {
			if handover.try(search, successors) {
				handover.current.cancel(errHandedOver)
				return
			}
			handover.nextTryAt = now.Add(handover.pause)
		}
		timer.Reset(handover.nextCheckIn())
	}
}

// setReason sets the reason to move, if there is none yet that holds on.
func (handover *handover) setReason(reason error) {
	if handover.reason == nil || errors.Is(reason, traffic.ErrEndpointLost) {
		handover.reason, handover.deliveredAtReason = reason, handover.relay.delivered()
		handover.prepaid = errors.Is(reason, traffic.ErrStalled)
	}
}

// dropReason forgets a reason that holds no more. That an endpoint is slow is reported again
// by each slow token.
func (handover *handover) dropReason() {
	passing := errors.Is(handover.reason, traffic.ErrStalled) || errors.Is(handover.reason, errEndpointUnresponsive) || errors.Is(handover.reason, errEndpointSlow)
	if passing && handover.relay.delivered() > handover.deliveredAtReason {
		handover.reason = nil
	}
}

// nextCheckIn returns the time until the next check whether the answer should move.
func (handover *handover) nextCheckIn() time.Duration {
	if handover.reason != nil {
		return max(time.Millisecond, handover.nextTryAt.Sub(handover.relay.api.config.Now()))
	}
	return max(handover.relay.api.config.InactivityTimeout-handover.inactivity(), minHandoverInterval)
}

func (handover *handover) endpointValid() bool {
	config, endpoint := &handover.relay.api.config, handover.current.endpoint
	return config.View().Valid(config.Now(), endpoint.Name, endpoint.Fencing)
}

// try sends a successor. It returns true once the successor can go on with the answer.
func (handover *handover) try(search, ctx context.Context) bool {
	relay, reason := handover.relay, handover.reason
	level, demoted := handover.current.level, errors.Is(reason, errDemoted)
	if demoted {
		level = relay.api.config.PriorityLevels.Level(relay.delivered())
	}
	if !handover.current.endpoint.Resumes {
		return false
	}
	reservation, ok := relay.admission.Reserve(level, !demoted)
	if !ok {
		return false
	}
	if !reservation.Endpoint().Resumes || !handover.pay() {
		reservation.Release(false)
		return false
	}
	log := relay.call.log.With().Str("step", "handover").Str("endpoint", endpointName(reservation.Endpoint())).AnErr("reason", reason).Logger()
	successor, err := handover.sendSuccessor(search, ctx, reservation)
	if err != nil {
		log.Warn().Err(err).Msg("no engine has accepted the rest of the answer; it goes on where it is")
		reservation.Release(ctx.Err() == nil && atFault(err))
		handover.pause = min(maxHandoverInterval, 2*handover.pause)
		return false
	}
	log.Info().Msg("the answer goes on in another attempt")
	handover.reservation, handover.successor = reservation, successor
	return true
}

// pay charges the budget for a send, unless its number is bounded otherwise: by the
// levels of priority, or by the ejections of slow endpoints.
func (handover *handover) pay() bool {
	free := handover.prepaid || errors.Is(handover.reason, errDemoted) || errors.Is(handover.reason, errEndpointSlow)
	handover.prepaid = false
	return free || handover.relay.api.config.RetryBudget.Spend()
}

// atFault reports whether the error of an attempt is its endpoint's fault.
func atFault(err error) bool { return mayGoOn(err) && !errors.Is(err, errNotWhole) }

// sendSuccessor sends an attempt to a reserved endpoint and waits until it can go on with
// the answer.
func (handover *handover) sendSuccessor(search, ctx context.Context, reservation *traffic.Reservation) (*attempt, error) {
	relay := handover.relay
	started, cancel, ok := reservation.Attempt(ctx)
	if !ok {
		return nil, errNotWhole
	}
	successor := &attempt{endpoint: reservation.Endpoint(), level: reservation.Level(), ctx: started, cancel: cancel}
	timer := time.AfterFunc(relay.api.config.InactivityTimeout, func() { cancel(errEndpointUnresponsive) })
	defer timer.Stop()
	err := relay.send(successor)
	if err == nil {
		timer.Reset(relay.api.config.InactivityTimeout)
		err = handover.awaitEvent(search, successor)
	}
	if err != nil {
		successor.end()
		return nil, err
	}
	return successor, nil
}

// awaitEvent waits until an accepted successor has an event to pass on. It waits no longer
// once the attempt has ended, nor in a demotion after demotionGrace.
func (handover *handover) awaitEvent(search context.Context, successor *attempt) error {
	var graceEnded <-chan time.Time
	if errors.Is(handover.reason, errDemoted) {
		timer := time.NewTimer(demotionGrace)
		defer timer.Stop()
		graceEnded = timer.C
	}
	successor.events.open(handover.relay.delivered)
	select {
	case opening := <-successor.events.opened:
		if opening.err != nil {
			return errors.Wrapf(causeOf(successor.ctx, opening.err), "first event of engine at %s", successor.endpoint.Address)
		}
		successor.events.setOpening(opening)
	case <-graceEnded:
	case <-search.Done():
	}
	return nil
}
