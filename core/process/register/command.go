package register

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/routing"
)

// Command is one change to the state. It holds one of the pointers.
type Command struct {
	// Change makes a resend known; the same change has the same result.
	Change id.Change `json:"change"`
	// Actor is who asked, for the audit trail.
	Actor string `json:"actor"`
	// At is the leader's wall clock, for people to read.
	At time.Time `json:"at"`
	// Term and Clock date the command for the state's own clock: time passes
	// in the state only between two commands of one term.
	Term  id.Term       `json:"term"`
	Clock time.Duration `json:"clock"`

	ApplyContract  *ApplyContract  `json:"apply_contract,omitempty"`
	RetireContract *RetireContract `json:"retire_contract,omitempty"`
	CreateStop     *CreateStop     `json:"create_stop,omitempty"`
	FinishStop     *FinishStop     `json:"finish_stop,omitempty"`
	CommitGroup    *CommitGroup    `json:"commit_group,omitempty"`
	RepairGroup    *RepairGroup    `json:"repair_group,omitempty"`
	DrainGroup     *DrainGroup     `json:"drain_group,omitempty"`
	RetireGroup    *RetireGroup    `json:"retire_group,omitempty"`
	FreeHost       *FreeHost       `json:"free_host,omitempty"`
	BeginCall      *BeginCall      `json:"begin_call,omitempty"`
	FinishCall     *FinishCall     `json:"finish_call,omitempty"`
	MarkOwnerLost  *MarkOwnerLost  `json:"lose_owner,omitempty"`
	ExpireCalls    *ExpireCalls    `json:"expire_calls,omitempty"`
	RecordVoters   *RecordVoters   `json:"record_voters,omitempty"`
	Declare        *Declare        `json:"declare,omitempty"`
}

// Declare puts a declaration in force when its revision is higher than that of
// the one in force; else it changes nothing.
type Declare struct {
	Declaration routing.Declaration `json:"declaration"`
}

// RecordVoters notes a change of voters in the audit trail; the log itself keeps
// who votes.
type RecordVoters struct {
	From   []id.Node `json:"from"`
	To     []id.Node `json:"to"`
	Reason string    `json:"reason,omitempty"`
}

// ApplyContract creates or changes a contract. Base is the revision that the
// operator saw, 0 for a new contract.
type ApplyContract struct {
	Base     id.Revision       `json:"base"`
	Contract contract.Contract `json:"contract"`
}

// RetireContract ends a contract.
type RetireContract struct {
	Base          id.Revision      `json:"base"`
	ClientAccount id.ClientAccount `json:"customer"`
}

// TargetKind says what a planned stop stops.
type TargetKind string

// The kinds of targets.
const (
	TargetEndpoint   TargetKind = "endpoint"
	TargetGroup      TargetKind = "group"
	TargetNode       TargetKind = "node"
	TargetDomain     TargetKind = "domain"
	TargetDataCentre TargetKind = "data_centre"
)

// CreateStop asks for a planned stop. Hosts and Nodes are what the leader found
// under the target when it accepted.
type CreateStop struct {
	Stop   id.Stop                    `json:"stop"`
	Kind   TargetKind                 `json:"kind"`
	Target string                     `json:"target"`
	Hosts  map[id.Host]id.Incarnation `json:"hosts,omitempty"`
	Nodes  map[id.Node]id.Incarnation `json:"nodes,omitempty"`
	Groups []id.Group                 `json:"groups,omitempty"`
}

// FinishStop records that nothing of the target runs any more.
type FinishStop struct {
	Stop id.Stop `json:"stop"`
}

// CommitGroup assigns hosts to a new group. It is refused when one of them is
// assigned or not yet freed.
type CommitGroup struct {
	Group id.Group  `json:"group"`
	Model id.Model  `json:"model"`
	Hosts []id.Host `json:"hosts"`
	// Service is set when the hosts are opened and closed by order.
	Service id.Service `json:"service,omitempty"`
}

// RepairGroup gives a group a new set of hosts and a new fencing number. Base
// is the fencing number that the leader saw.
type RepairGroup struct {
	Group id.Group        `json:"group"`
	Base  id.FencingToken `json:"base"`
	Hosts []id.Host       `json:"hosts"`
}

// DrainGroup lets a group finish its work and take no more.
type DrainGroup struct {
	Group id.Group        `json:"group"`
	Base  id.FencingToken `json:"base"`
}

// RetireGroup ends a group; its hosts stay unassignable until freed.
type RetireGroup struct {
	Group id.Group        `json:"group"`
	Base  id.FencingToken `json:"base"`
}

// FreeHost makes a host assignable again.
type FreeHost struct {
	Host id.Host         `json:"host"`
	Base id.FencingToken `json:"base"`
}

// CallKey names one non-idempotent call.
type CallKey struct {
	ClientAccount id.ClientAccount `json:"customer"`
	Service       id.Service       `json:"service"`
	Key           string           `json:"key"`
}

// Owner is the process that may dispatch a call.
type Owner struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// BeginCall records a call before it is dispatched. The command's Change names
// the attempt.
type BeginCall struct {
	Key       CallKey       `json:"key"`
	BodyHash  string        `json:"body_hash"`
	Owner     Owner         `json:"owner"`
	Retention time.Duration `json:"retention"`
}

// FinishCall records how an attempt ended.
type FinishCall struct {
	Key     CallKey   `json:"key"`
	Attempt id.Change `json:"attempt"`
	// NotRun says that the call provably didn't run; its record goes.
	NotRun bool `json:"not_run,omitempty"`
	// Ran says that the call ran to its end; Answer is nil when it was too
	// large to keep.
	Ran    bool    `json:"ran,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is what a service answered, kept for resends.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MarkOwnerLost marks the calls in flight of a process that is gone as unknown.
type MarkOwnerLost struct {
	Owner Owner `json:"owner"`
}

// ExpireCalls drops answers that are past their retention; their keys stay.
type ExpireCalls struct{}
