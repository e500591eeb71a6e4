package judge

import (
	"time"

	"carobline.dev/core/connection/rest"
)

// Kind is a kind of call.
type Kind string

// The kinds of calls.
const (
	// Booking must not repeat, Stock may. Quote has a method that isn't repeated.
	Booking Kind = "booking"
	Quote   Kind = "quote"
	Stock   Kind = "stock"
	// Stream and Whole are completions.
	Stream Kind = "stream"
	Whole  Kind = "whole"
)

// Call is one send of a call and what its caller got.
type Call struct {
	Kind  Kind
	Entry string
	// Key is the idempotency key of a booking, and Nonce names the call.
	Key   string
	Nonce string
	// Prompt is the text that the tokens of a completion depend on, and Tokens how many it has.
	Prompt string
	Tokens int
	// Generation is that of the token that the call bore, or 0 if the token doesn't change.
	Generation int
	SentAt     time.Time
	EndedAt    time.Time

	// Status is 0 if no answer came.
	Status    int
	Outcome   rest.Outcome
	RequestID string
	// Body is the answer, except a stream's.
	Body string
	// Events are the texts of a stream's tokens, EndMark is set once its end mark has come, and Ended if
	// the answer ended as one that is complete.
	Events  []string
	EndMark bool
	Ended   bool
}

// Run is one run of a request at an endpoint. Services name the call, engines only its id.
type Run struct {
	Host        string
	Incarnation uint64
	RequestID   string
	Key         string
	Nonce       string
}

// Change is one change of the contract whose tokens change. The zero Generation ends the contract.
type Change struct {
	Generation int
	SentAt     time.Time
	// AckedAt is zero if no answer came.
	AckedAt time.Time
	// InForce is set if the answer reported it.
	InForce  bool
	Revision uint64
	// Conflict is set if the change was refused.
	Conflict bool
}

// Stop is a planned stop that was acknowledged.
type Stop struct {
	Name    string
	Target  string
	AckedAt time.Time
	InForce bool
	// Incarnation is that of the host that stops, or 0 if it isn't known or no host.
	Incarnation uint64
}

// Read is what operators read.
type Read struct {
	SentAt time.Time
	// Revision and Generation are those of the contract whose tokens change.
	Revision   uint64
	Generation int
	// StopNames is nil if stops weren't read.
	StopNames map[string]bool
}

// Records are all that is judged.
type Records struct {
	Calls   []Call
	Runs    []Run
	Changes []Change
	Stops   []Stop
	Reads   []Read
	// Ended lists processes that ended although the run didn't end them.
	Ended []string
}
