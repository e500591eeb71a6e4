package dispatcher

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/version/view"
)

// Ticket identifies one call in a dispatcher.
type Ticket uint64

// Call is what the dispatcher needs of a call before it runs.
type Call struct {
	ClientAccount id.ClientAccount
	// Model or Service is what is called; the other one is empty.
	Model   id.Model
	Service id.Service
	// Prompt is the estimated length of the prompt.
	Prompt id.Tokens
	// Prefix is the hash of the prompt's start, 0 for none.
	Prefix uint64
}

// Refusal is why a waiting call was not run, or why a displaced one isn't
// continued.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller should retry, with jitter.
	RetryAfter time.Duration
}

// Reason is the cause of a refusal.
type Reason string

// The reasons.
const (
	ReasonNoLease     Reason = "no_configuration_lease"
	ReasonStopping    Reason = "node_stopping"
	ReasonNoContract  Reason = "no_contract"
	ReasonQueueFull   Reason = "queue_full"
	ReasonDeadline    Reason = "deadline_unreachable"
	ReasonRateLimited Reason = "rate_limited"
	ReasonNoEndpoint  Reason = "no_endpoint"
	// ReasonEvacuated is that of a model or service whose only endpoints are in evacuated
	// data centres.
	ReasonEvacuated Reason = "evacuated"
)

// Decision is the result for a waiting call: an endpoint or a refusal.
type Decision struct {
	Ticket   Ticket
	Endpoint *view.Endpoint
	Refusal  *Refusal
}

// running is a call that has been started at an endpoint.
type running struct {
	call Call
	// expected is the work that was charged for it at the start, in tokens.
	expected float64
	// endpoint is empty while the call is displaced.
	endpoint feed.Endpoint
	level    attained.Level
	// failedEndpoint and reassignBy are used while the call is displaced: it
	// isn't sent to failedEndpoint again, and is refused when it has no endpoint
	// by reassignBy.
	failedEndpoint feed.Endpoint
	reassignBy     time.Time
	// reserved is the endpoint that is held for the rest of the call while it goes on
	// at its own, or empty. reservedLevel is its level there.
	reserved      feed.Endpoint
	reservedLevel attained.Level
}

// waiting is a call in the queue.
type waiting struct {
	ticket    Ticket
	call      Call
	arrivedAt time.Time
	// startBy is the deadline for its start at an endpoint.
	startBy time.Time
}
