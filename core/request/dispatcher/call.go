package dispatcher

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/version/view"
)

// Ticket names one call in a dispatcher.
type Ticket uint64

// Call is what matters of a call before it runs.
type Call struct {
	ClientAccount id.ClientAccount
	// Model or Service says what is called.
	Model   id.Model
	Service id.Service
	// Prompt is the estimated length of the prompt.
	Prompt id.Tokens
	// Prefix is the hash of the prompt's start, 0 for none.
	Prefix uint64
}

// Refusal says why a call isn't run. It was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when to come back, spread over callers.
	RetryAfter time.Duration
}

// Reason names the cause of a refusal.
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
)

// Decision is what becomes of a waiting call: an endpoint, or a refusal.
type Decision struct {
	Ticket   Ticket
	Endpoint *view.Endpoint
	Refusal  *Refusal
}

// running is a call that has an endpoint.
type running struct {
	call     Call
	expected float64
	endpoint feed.Endpoint
	level    attained.Level
	// avoid and until matter while the call is displaced: it has lost its
	// endpoint and waits for another.
	avoid feed.Endpoint
	until time.Time
}

// waiting is a call in the queue.
type waiting struct {
	ticket  Ticket
	call    Call
	arrived time.Time
	until   time.Time
}
