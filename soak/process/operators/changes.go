package operators

import (
	"context"
	"time"

	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
	"carobline.dev/soak/process/judge"
)

// Tune changes the limits of the contract whose token stays.
func (operators *Operators) Tune(ctx context.Context) {
	const leastConcurrency, mostConcurrency = 500, 600
	operators.steady.Lock()
	defer operators.steady.Unlock()
	base, ok := operators.base(ctx, steadyAccount, operators.steadyBase)
	if !ok {
		return
	}
	operators.concurrency = leastConcurrency + (operators.concurrency+1)%(mostConcurrency-leastConcurrency)
	request := operator.ApplyRequest{Change: operators.newChange(), Base: base, Contract: newContract(steadyAccount, SteadyToken, operators.concurrency)}
	outcome := operators.send(ctx, func() (controller.Outcome, error) { return operators.client().Apply(ctx, request) })
	operators.steadyBase = revisionOf(outcome)
}

// Rotate gives the other contract a new token, and creates it again if it has ended.
func (operators *Operators) Rotate(ctx context.Context) {
	const concurrency = 500
	operators.rotating.Lock()
	defer operators.rotating.Unlock()
	base, ok := operators.base(ctx, rotatingAccount, operators.rotatingBase)
	if !ok {
		return
	}
	generation, index := operators.begin(true)
	request := operator.ApplyRequest{Change: operators.newChange(), Base: base, Contract: newContract(rotatingAccount, token(generation), concurrency)}
	operators.finish(index, operators.send(ctx, func() (controller.Outcome, error) { return operators.client().Apply(ctx, request) }))
}

// Retire ends the contract whose token changes.
func (operators *Operators) Retire(ctx context.Context) {
	operators.rotating.Lock()
	defer operators.rotating.Unlock()
	base, ok := operators.base(ctx, rotatingAccount, operators.rotatingBase)
	if !ok || !operators.rotatingExists {
		return
	}
	_, index := operators.begin(false)
	request := operator.RetireRequest{Change: operators.newChange(), Base: base, ClientAccount: rotatingAccount}
	operators.finish(index, operators.send(ctx, func() (controller.Outcome, error) { return operators.client().Retire(ctx, request) }))
}

// begin records that a change of the tokens is sent now.
func (operators *Operators) begin(newToken bool) (generation, index int) {
	operators.mutex.Lock()
	defer operators.mutex.Unlock()
	change := judge.Change{SentAt: operators.config.Now()}
	if newToken {
		operators.generation++
		change.Generation = operators.generation
	}
	operators.changes = append(operators.changes, change)
	return operators.generation, len(operators.changes) - 1
}

// finish records the answer to a change of the tokens.
func (operators *Operators) finish(index int, outcome controller.Outcome) {
	operators.mutex.Lock()
	defer operators.mutex.Unlock()
	change := &operators.changes[index]
	operators.rotatingBase = revisionOf(outcome)
	switch {
	case outcome.Result == nil:
	case outcome.Result.Verdict == register.VerdictDone:
		change.AckedAt, change.InForce, change.Revision = operators.config.Now(), outcome.InForce, uint64(outcome.Result.Revision)
		operators.rotatingExists = change.Generation > 0
	default:
		change.Conflict = true
	}
}

// revisionOf returns the revision that a change has made, or 0 if it isn't known.
func revisionOf(outcome controller.Outcome) id.Revision {
	if outcome.Result == nil || outcome.Result.Verdict != register.VerdictDone {
		return 0
	}
	return outcome.Result.Revision
}

// base returns the revision of a contract, as known or as read. A contract that doesn't exist
// has revision 0.
func (operators *Operators) base(ctx context.Context, account id.ClientAccount, known id.Revision) (id.Revision, bool) {
	if known > 0 {
		return known, true
	}
	list, err := operators.client().Contracts(ctx)
	if err != nil {
		return 0, false
	}
	for _, record := range list.Contracts {
		if record.Contract.ClientAccount == account {
			return record.Revision, true
		}
	}
	return 0, true
}

// send sends a change until it is answered or ctx is cancelled. A resend has the same change
// id. The zero outcome means that no answer came.
func (operators *Operators) send(ctx context.Context, call func() (controller.Outcome, error)) controller.Outcome {
	for range maxTries {
		if ctx.Err() != nil {
			break
		}
		outcome, err := call()
		if err == nil && outcome.Result != nil {
			return outcome
		}
		time.Sleep(retryWait)
	}
	return controller.Outcome{}
}
