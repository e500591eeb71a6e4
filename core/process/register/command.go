package register

import (
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/routing"
)

// Command is one change to the replicated state. Exactly one of its pointers is
// set; it selects the kind of change.
type Command struct {
	// Change is the idempotency key of the command: a resend under the same key gets
	// the result of the first.
	Change id.Change `json:"change"`
	// Actor is who requested the change, for the audit trail.
	Actor string `json:"actor"`
	// At is the leader's wall-clock time. It is shown to people and decides nothing.
	At time.Time `json:"at"`
	// Term and Clock are the leader's term and its time since process start. The
	// state's own clock advances only between two commands of the same term.
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
	ChangeGroups   *ChangeGroups   `json:"change_groups,omitempty"`
	BeginCall      *BeginCall      `json:"begin_call,omitempty"`
	FinishCall     *FinishCall     `json:"finish_call,omitempty"`
	MarkOwnerLost  *MarkOwnerLost  `json:"lose_owner,omitempty"`
	ExpireCalls    *ExpireCalls    `json:"expire_calls,omitempty"`
	RecordVoters   *RecordVoters   `json:"record_voters,omitempty"`
	Declare        *Declare        `json:"declare,omitempty"`
	BlockParts     *BlockParts     `json:"block_parts,omitempty"`
	GrantTrial     *GrantTrial     `json:"grant_trial,omitempty"`
	UnblockParts   *UnblockParts   `json:"unblock_parts,omitempty"`

	StartEvacuation  *StartEvacuation  `json:"start_evacuation,omitempty"`
	FinishEvacuation *FinishEvacuation `json:"finish_evacuation,omitempty"`
}

// Declare puts a declaration in force when its revision is higher than that of the
// current one. Otherwise it changes nothing.
type Declare struct {
	Declaration routing.Declaration `json:"declaration"`
}

// RecordVoters adds a change of voters to the audit trail. The voters themselves
// are part of the log's membership.
type RecordVoters struct {
	From   []id.Node `json:"from"`
	To     []id.Node `json:"to"`
	Reason string    `json:"reason,omitempty"`
}

// ApplyContract creates or changes a contract. Base is the revision that the
// operator's change is based on, 0 for a new contract.
type ApplyContract struct {
	Base     id.Revision       `json:"base"`
	Contract contract.Contract `json:"contract"`
}

// RetireContract ends a contract. Base is the revision that the change is based on.
type RetireContract struct {
	Base          id.Revision      `json:"base"`
	ClientAccount id.ClientAccount `json:"customer"`
}

// TargetKind is the kind of thing that a planned stop stops.
type TargetKind string

// The kinds of targets.
const (
	TargetEndpoint   TargetKind = "endpoint"
	TargetGroup      TargetKind = "group"
	TargetNode       TargetKind = "node"
	TargetDomain     TargetKind = "domain"
	TargetDataCentre TargetKind = "data_centre"
)

// CreateStop starts a planned stop. IncarnationByHost and IncarnationByNode are the
// hosts and nodes that the target comprised when the leader accepted the stop. The
// leader leaves Groups empty.
type CreateStop struct {
	Stop              id.Stop                    `json:"stop"`
	Kind              TargetKind                 `json:"kind"`
	Target            string                     `json:"target"`
	IncarnationByHost map[id.Host]id.Incarnation `json:"hosts,omitempty"`
	IncarnationByNode map[id.Node]id.Incarnation `json:"nodes,omitempty"`
	Groups            []id.Group                 `json:"groups,omitempty"`
}

// FinishStop records that nothing of the stop's target is running any more.
type FinishStop struct {
	Stop id.Stop `json:"stop"`
}

// CommitGroup assigns hosts to a new group. It is refused when one of the hosts is
// in another group or hasn't been freed since it left one.
type CommitGroup struct {
	Group id.Group  `json:"group"`
	Model id.Model  `json:"model"`
	Hosts []id.Host `json:"hosts"`
	// Service is set for a group of engines: the leader orders its hosts to join,
	// open, close and leave the group.
	Service id.Service `json:"service,omitempty"`
}

// RepairGroup gives a group a new set of hosts and a new fencing token. Base is the
// group's fencing token when the leader decided; an older one is a conflict.
type RepairGroup struct {
	Group id.Group        `json:"group"`
	Base  id.FencingToken `json:"base"`
	Hosts []id.Host       `json:"hosts"`
}

// DrainGroup lets a group finish its calls and accept no new ones. Base is as in
// RepairGroup.
type DrainGroup struct {
	Group id.Group        `json:"group"`
	Base  id.FencingToken `json:"base"`
}

// RetireGroup ends a group. Its hosts can't be assigned again until FreeHost. Base
// is as in RepairGroup.
type RetireGroup struct {
	Group id.Group        `json:"group"`
	Base  id.FencingToken `json:"base"`
}

// FreeHost makes a host assignable again. Base is the fencing token in its
// HostRecord when the leader decided; another one is a conflict.
type FreeHost struct {
	Host id.Host         `json:"host"`
	Base id.FencingToken `json:"base"`
}

// ChangeGroups retires groups, frees hosts and commits groups, in this order, as one
// change: nodes get all of it in one delta. A part that is refused changes nothing and
// doesn't hold up the others.
type ChangeGroups struct {
	Retire []RetireGroup `json:"retire,omitempty"`
	Free   []FreeHost    `json:"free,omitempty"`
	Commit []CommitGroup `json:"commit,omitempty"`
}

// Empty reports whether there is nothing to change.
func (change *ChangeGroups) Empty() bool {
	return len(change.Retire)+len(change.Free)+len(change.Commit) == 0
}

// CallKey identifies one non-idempotent call. Key is the caller's idempotency key.
type CallKey struct {
	ClientAccount id.ClientAccount `json:"customer"`
	Service       id.Service       `json:"service"`
	Key           string           `json:"key"`
}

// Owner is the process that may dispatch a call: one incarnation of a node.
type Owner struct {
	Node        id.Node        `json:"node"`
	Incarnation id.Incarnation `json:"incarnation"`
}

// BeginCall records a call before it is dispatched. The command's Change identifies
// the attempt, BodyHash the request, and Retention is how long the answer is kept.
type BeginCall struct {
	Key       CallKey       `json:"key"`
	BodyHash  string        `json:"body_hash"`
	Owner     Owner         `json:"owner"`
	Retention time.Duration `json:"retention"`
}

// FinishCall records how an attempt ended. With neither NotRun nor Ran the outcome
// is unknown.
type FinishCall struct {
	Key     CallKey   `json:"key"`
	Attempt id.Change `json:"attempt"`
	// NotRun is set when the call provably didn't run. Its record is deleted, so that
	// the key may be used again.
	NotRun bool `json:"not_run,omitempty"`
	// Ran is set when the call ran to its end. Answer is nil when it was too large
	// to keep.
	Ran    bool    `json:"ran,omitempty"`
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is a service's response, kept for resends under the same key.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MarkOwnerLost sets the calls in flight of a process to CallUnknown. The leader
// proposes it when a later incarnation has replaced the process, or when its lease has
// certainly ended.
type MarkOwnerLost struct {
	Owner Owner `json:"owner"`
}

// ExpireCalls drops the answers whose retention has passed. Their keys stay, so
// that the calls aren't run again.
type ExpireCalls struct{}
