package operators

import (
	"context"
	"time"

	"carobline.dev/core/connection/operator"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
	"carobline.dev/soak/process/cluster"
	"carobline.dev/soak/process/judge"
)

// StopHost stops a host of an engine or of the service, and StopNode a node.
func (operators *Operators) StopHost(ctx context.Context, host string) {
	operators.stop(ctx, register.TargetEndpoint, host)
}

// StopNode stops a node.
func (operators *Operators) StopNode(ctx context.Context, node string) {
	operators.stop(ctx, register.TargetNode, node)
}

func (operators *Operators) stop(ctx context.Context, kind register.TargetKind, target string) {
	request := operator.StopRequest{Change: operators.newChange(), Kind: kind, Target: target}
	request.Stop = id.Stop(request.Change)
	outcome := operators.send(ctx, func() (controller.Outcome, error) { return operators.client().Stop(ctx, request) })
	if outcome.Result == nil || outcome.Result.Verdict != register.VerdictDone {
		return
	}
	stop := judge.Stop{Name: string(request.Stop), Target: target, AckedAt: operators.config.Now(), InForce: outcome.InForce}
	if list, err := operators.client().Stops(ctx); err == nil {
		for _, record := range list.Stops {
			if record.Stop == request.Stop {
				stop.Incarnation = uint64(record.IncarnationByHost[id.Host(target)])
			}
		}
	}
	operators.mutex.Lock()
	defer operators.mutex.Unlock()
	operators.stops = append(operators.stops, stop)
}

// ReadUntil reads contracts and stops again and again until ctx is cancelled.
func (operators *Operators) ReadUntil(ctx context.Context) {
	for ctx.Err() == nil {
		_ = operators.Read(ctx) // no node may answer during the faults
		time.Sleep(readInterval)
	}
}

// Read reads contracts and stops once.
func (operators *Operators) Read(ctx context.Context) error {
	read := judge.Read{SentAt: operators.config.Now(), StopNames: map[string]bool{}}
	contracts, err := operators.client().Contracts(ctx)
	if err != nil {
		return err
	}
	stops, err := operators.client().Stops(ctx)
	if err != nil {
		return err
	}
	for _, stop := range stops.Stops {
		read.StopNames[string(stop.Stop)] = true
	}
	operators.mutex.Lock()
	defer operators.mutex.Unlock()
	for _, record := range contracts.Contracts {
		if record.Contract.ClientAccount == rotatingAccount {
			read.Revision, read.Generation = uint64(record.Revision), operators.generationOf(record)
		}
	}
	operators.reads = append(operators.reads, read)
	return nil
}

// generationOf returns the generation of a contract's token, or 0 if it has ended.
func (operators *Operators) generationOf(record register.ContractRecord) int {
	if record.Retired {
		return 0
	}
	for generation := operators.generation; generation > 0; generation-- {
		if record.Contract.TokenSHA256[0] == cluster.TokenHash(token(generation)) {
			return generation
		}
	}
	return -1
}
