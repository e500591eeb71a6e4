package register

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/routing"
)

// ContractRecord is a contract with its history's last point.
type ContractRecord struct {
	Contract contract.Contract `json:"contract"`
	Revision id.Revision       `json:"revision"`
	Retired  bool              `json:"retired,omitempty"`
	Version  id.Version        `json:"version"`
}

// DeclarationRecord is the declaration in force.
type DeclarationRecord struct {
	Declaration routing.Declaration `json:"declaration"`
	Version     id.Version          `json:"version"`
}

// withoutSource is the record as nodes get it, which read no source.
func (record *DeclarationRecord) withoutSource() *DeclarationRecord {
	plain := *record
	plain.Declaration.Source = nil
	return &plain
}

// StopRecord is a planned stop. A finished stop keeps its hosts out of groups
// until they announce themselves with a new incarnation.
type StopRecord struct {
	CreateStop
	Actor     string     `json:"actor"`
	CreatedAt time.Time  `json:"asked"`
	Finished  time.Time  `json:"finished,omitzero"`
	Done      bool       `json:"done"`
	Version   id.Version `json:"version"`
}

// Phase is where a group stands in its life.
type Phase string

// The phases of a group.
const (
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining"
	PhaseRetired  Phase = "retired"
)

// GroupRecord is one replica group as committed.
type GroupRecord struct {
	Group   id.Group        `json:"group"`
	Model   id.Model        `json:"model"`
	Hosts   []id.Host       `json:"hosts"`
	Fencing id.FencingToken `json:"fencing"`
	Phase   Phase           `json:"phase"`
	Version id.Version      `json:"version"`
	// Service is set on groups of engines that are opened and closed by order.
	Service id.Service `json:"service,omitempty"`
}

// HostRecord is a host that left a group and isn't freed yet. Fencing is newer
// than that of the group it left.
type HostRecord struct {
	Fencing id.FencingToken `json:"fencing"`
	// Version is that of the change that took it out.
	Version id.Version `json:"version"`
	// PreviousGroup is the group that the host was in, for hosts that are opened and
	// closed by order.
	PreviousGroup *GroupRecord `json:"left,omitempty"`
}

// CallState is what is known of a non-idempotent call.
type CallState string

// The states of a call.
const (
	CallInFlight CallState = "in_flight"
	CallDone     CallState = "done"
	CallUnknown  CallState = "unknown"
	// CallExpired has lost its answer to time; the call must still not run.
	CallExpired CallState = "expired"
)

// CallRecord is the ledger's entry for one key.
type CallRecord struct {
	State    CallState `json:"state"`
	BodyHash string    `json:"body_hash"`
	Owner    Owner     `json:"owner"`
	Attempt  id.Change `json:"attempt"`
	Answer   *Answer   `json:"answer,omitempty"`
	// Expires is when the answer may go, by the state's own clock.
	Expires time.Duration `json:"expires"`
}

// AuditEntry says who changed what, when, from what and to what.
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

// Verdict says what became of a command.
type Verdict string

// The verdicts.
const (
	VerdictDone      Verdict = "done"
	VerdictUnchanged Verdict = "unchanged"
	VerdictConflict  Verdict = "conflict"
	VerdictRefused   Verdict = "refused"
	// VerdictGranted lets the owner dispatch the call.
	VerdictGranted Verdict = "granted"
	// VerdictKnown shows the call that already stands under the key.
	VerdictKnown Verdict = "known"
	// VerdictMismatch reports another body under the same key.
	VerdictMismatch Verdict = "mismatch"
)

// Result is the outcome of one command, the same for each resend of it.
type Result struct {
	Verdict  Verdict     `json:"verdict"`
	Reason   string      `json:"reason,omitempty"`
	Version  id.Version  `json:"version,omitempty"`
	Revision id.Revision `json:"revision,omitempty"`
	// Winner is the contract that stands after a conflict.
	Winner *ContractRecord `json:"winner,omitempty"`
	Call   *CallRecord     `json:"call,omitempty"`
}
