package entryapi

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"carobline.dev/core/connection/body"
	"carobline.dev/core/connection/endpoint"
)

// breaker names what ended an endpoint's answer before it was complete, as written to
// the log.
type breaker string

const (
	breakerEndpoint breaker = "endpoint"
	breakerCaller   breaker = "caller"
	breakerDeadline breaker = "deadline"
	// breakerStop is the stop of the entry host.
	breakerStop breaker = "stop"
	// breakerInactivity is that of an endpoint which another one has replaced meanwhile.
	breakerInactivity breaker = "silence"
	breakerAnswerSize breaker = "answer_size"
	breakerTrickle    breaker = "trickle"
	// breakerMemory is that of others which need the memory of an answer that makes no progress.
	breakerMemory breaker = "memory"
)

// breakage is what ended an endpoint's answer early. Its zero value stands for one that
// wasn't ended.
type breakage struct {
	by breaker
	// idle is the time without an event until then.
	idle time.Duration
	// retryRefusal is why no other endpoint went on with the call.
	retryRefusal string
}

// The reasons for which a call isn't sent to another endpoint, besides those of a refusal.
const (
	refusalNotIdempotent = "not_idempotent"
	refusalAttempts      = "attempts"
	refusalBudget        = "budget"
	refusalSends         = "sends"
	// refusalWithinEvent and refusalNoEventID are those of a stream of which the caller
	// has got a part of an event, or events without a number.
	refusalWithinEvent = "within_event"
	refusalNoEventID   = "no_event_id"
)

// breakerOf returns what broke a stream off with err, which isn't nil.
func breakerOf(ctx context.Context, call *call, err error) breaker {
	switch {
	case call.request.Context().Err() != nil || errors.Is(err, errCallerWrite):
		return breakerCaller
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return breakerDeadline
	case ctx.Err() != nil:
		return breakerStop
	case errors.Is(err, errReplaced):
		return breakerInactivity
	case errors.Is(err, errAnswerStalled):
		return breakerMemory
	case errors.Is(err, errTrickle):
		return breakerTrickle
	case errors.Is(err, endpoint.ErrTooLarge) || errors.Is(err, body.ErrTooLarge):
		return breakerAnswerSize
	default:
		return breakerEndpoint
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (breakage breakage) MarshalZerologObject(event *zerolog.Event) {
	if breakage.by != "" {
		event.Str("broken_by", string(breakage.by)).Int64("idle_ms", breakage.idle.Milliseconds())
	}
	if breakage.retryRefusal != "" {
		event.Str("retry_refused", breakage.retryRefusal)
	}
}
