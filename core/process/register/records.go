package register

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/routing"
)

// ContractRecord is a contract at its latest revision. Version is the log index of
// its last change.
type ContractRecord struct {
	Contract contract.Contract `json:"contract"`
	Revision id.Revision       `json:"revision"`
	Retired  bool              `json:"retired,omitempty"`
	Version  id.Version        `json:"version"`
}

// DeclarationRecord is the declaration in force. Version is the log index at which
// it was declared.
type DeclarationRecord struct {
	Declaration routing.Declaration `json:"declaration"`
	Version     id.Version          `json:"version"`
}

// StopRecord is a planned stop. A finished stop keeps its hosts out of groups
// until they announce themselves with a new incarnation. CreatedAt and FinishedAt are
// the leader's wall-clock times.
type StopRecord struct {
	CreateStop
	Actor      string     `json:"actor"`
	CreatedAt  time.Time  `json:"asked"`
	FinishedAt time.Time  `json:"finished,omitzero"`
	Done       bool       `json:"done"`
	Version    id.Version `json:"version"`
}

// Phase is the phase of a group's life cycle.
type Phase string

// The phases of a group.
const (
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining"
	PhaseRetired  Phase = "retired"
)

// GroupRecord is one replica group. Version is the log index of its last change.
type GroupRecord struct {
	Group   id.Group        `json:"group"`
	Model   id.Model        `json:"model"`
	Hosts   []id.Host       `json:"hosts"`
	Fencing id.FencingToken `json:"fencing"`
	Phase   Phase           `json:"phase"`
	Version id.Version      `json:"version"`
	// Service is set for a group of engines: the leader orders its hosts to join,
	// open, close and leave the group.
	Service id.Service `json:"service,omitempty"`
}

// HostRecord is a host that left a group and hasn't been freed yet. Fencing is newer
// than the fencing token of the group it left.
type HostRecord struct {
	Fencing id.FencingToken `json:"fencing"`
	// Version is the log index of the change that removed the host from the group.
	Version id.Version `json:"version"`
	// PreviousGroup is the group that the host left. It is set only for a group of
	// engines: the host may join another one only once that group's head has certainly
	// stopped serving.
	PreviousGroup *GroupRecord `json:"left,omitempty"`
}

// CallState is the recorded state of a non-idempotent call.
type CallState string

// The states of a call.
const (
	CallInFlight CallState = "in_flight"
	CallDone     CallState = "done"
	CallUnknown  CallState = "unknown"
	// CallExpired is a call that ran and whose answer is no longer kept, or was too
	// large to keep. It must still not be run again.
	CallExpired CallState = "expired"
)

// CallRecord is the ledger's entry for one CallKey.
type CallRecord struct {
	State    CallState `json:"state"`
	BodyHash string    `json:"body_hash"`
	Owner    Owner     `json:"owner"`
	Attempt  id.Change `json:"attempt"`
	Answer   *Answer   `json:"answer,omitempty"`
	// AnswerExpiresAt is when the answer may be dropped, by the state's own clock.
	AnswerExpiresAt time.Duration `json:"expires"`
}

// AuditEntry records who changed what and when, with the values before and after.
// At is the leader's wall-clock time.
type AuditEntry struct {
	Index   id.Index  `json:"index"`
	At      time.Time `json:"at"`
	Actor   string    `json:"actor"`
	Change  id.Change `json:"change"`
	Action  string    `json:"action"`
	Subject string    `json:"subject"`
	From    string    `json:"from,omitempty"`
	To      string    `json:"to,omitempty"`
}

// Verdict is the kind of result of a command.
type Verdict string

// The verdicts.
const (
	VerdictDone      Verdict = "done"
	VerdictUnchanged Verdict = "unchanged"
	VerdictConflict  Verdict = "conflict"
	VerdictRefused   Verdict = "refused"
	// VerdictGranted allows the owner to dispatch the call.
	VerdictGranted Verdict = "granted"
	// VerdictKnown means that a call is already recorded under the key; Result.Call
	// is its record.
	VerdictKnown Verdict = "known"
	// VerdictMismatch means that the key was used with a different request body.
	VerdictMismatch Verdict = "mismatch"
)

// Result is the outcome of one command, the same for each resend of it. Version is
// the log index of the last change to the subject, Revision its revision.
type Result struct {
	Verdict  Verdict     `json:"verdict"`
	Reason   string      `json:"reason,omitempty"`
	Version  id.Version  `json:"version,omitempty"`
	Revision id.Revision `json:"revision,omitempty"`
	// Winner is the contract in force when a change conflicts with it.
	Winner *ContractRecord `json:"winner,omitempty"`
	Call   *CallRecord     `json:"call,omitempty"`
}
