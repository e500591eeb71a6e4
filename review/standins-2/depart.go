package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// drainBound is the bound of draining, and touchWindow how long machines are out of touch after their start.
	drainBound  = 2 * time.Second
	touchWindow = 3 * time.Second
	// lateBy is how long after its sending the delayed heartbeat arrives.
	lateBy = 5 * time.Second
	// killedFronts of so many front processes are killed, six in ten.
	allFronts, killedFronts = 5, 3
)

func init() { plays["departed"] = playDeparted }

// playDeparted lets a server leave, kills the core and most front processes at the same moment once the departure
// is acknowledged, and then lets a heartbeat arrive that the server had sent before it left.
func playDeparted(ctx context.Context, run *caseRun) (bool, error) {
	deployment, err := run.deploy(ctx, allFronts, 3, deskConfiguration(1, "/desk/", "unsafe"))
	if err != nil {
		return false, err
	}
	defer deployment.Close()
	system, leaving := deployment.system, deployment.endpoints[2]
	late, sentAt := leaving.heartbeat(), time.Now()
	run.record.Printf("server %s sends a heartbeat that is delayed: %s", leaving.id, late)
	if !leaving.Leave(4 * time.Second) {
		return false, fmt.Errorf("the departure isn't acknowledged")
	}
	ackedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	startedAt := ackedAt.Add(-touchWindow)
	if run.trouble {
		killed := append(append([]*Process{}, system.cores...), system.fronts[:killedFronts]...)
		run.record.Printf("all core processes and %d of %d front processes are killed", killedFronts, len(system.fronts))
		KillAll(killed)
		time.Sleep(700 * time.Millisecond)
		for _, process := range killed {
			if err := process.Start(); err != nil {
				return false, err
			}
		}
		startedAt = time.Now()
		run.record.Printf("the killed processes are started again")
		for _, front := range system.fronts {
			if err := front.AwaitReady(ctx); err != nil {
				return false, err
			}
		}
		run.record.Printf("all front processes are ready")
	}
	clientsCtx, stop := context.WithDeadline(ctx, sentAt.Add(lateBy+6*time.Second))
	defer stop()
	var clients sync.WaitGroup
	for index, front := range system.fronts {
		clients.Go(func() {
			for number := 0; clientsCtx.Err() == nil; number++ {
				_, _ = deployment.send(front, "POST", "/desk/1", fmt.Sprintf("c%d-%d", index, number), "order")
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(sentAt.Add(lateBy)))
	core, accepted := leaving.call(heartbeatPath(leaving.id), late, 2*time.Second)
	run.record.Printf("the delayed heartbeat arrives: acknowledged %v by %s", accepted, core)
	clients.Wait()
	broken := 0
	for _, ran := range leaving.Runs() {
		if ran.at.After(ackedAt.Add(drainBound)) && ran.at.After(startedAt.Add(touchWindow)) {
			broken++
		}
	}
	run.record.Printf("%d requests reached the server later than drain_ms after its departure was acknowledged, from machines in touch", broken)
	return broken > 0, nil
}
