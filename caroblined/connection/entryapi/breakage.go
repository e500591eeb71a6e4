package entryapi

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
)

// breaker names what ended an endpoint's answer before it was complete, as written to
// the log.
type breaker string

const (
	breakerEndpoint breaker = "endpoint"
	breakerCaller   breaker = "caller"
	breakerDeadline breaker = "deadline"
	// breakerAnswerStart is the limit on the time until an answer begins,
	// breakerPause that on the silence of all streams of an endpoint, and
	// breakerLonePause that on the silence of one stream.
	breakerAnswerStart breaker = "answer_start"
	breakerPause       breaker = "pause"
	breakerLonePause   breaker = "lone_pause"
	breakerAnswerSize  breaker = "answer_size"
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
	refusalWithinEvent   = "within_event"
)

// breakerOf returns what broke a stream off with err, when it wasn't the watchdog.
func breakerOf(ctx context.Context, call *call, err error) breaker {
	switch {
	case call.request.Context().Err() != nil || errors.Is(err, errCallerWrite):
		return breakerCaller
	case ctx.Err() != nil:
		return breakerDeadline
	case errors.Is(err, endpoint.ErrTooLarge):
		return breakerAnswerSize
	default:
		return breakerEndpoint
	}
}
