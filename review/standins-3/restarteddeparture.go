package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// desks is the number of servers of the plain service, of which one crashes.
	desks = 7
	// drainTime is how long after its acknowledged departure an engine may get requests.
	drainTime = 2 * time.Second
	// startTime is how long a server runs again before it is told to stop, and lateBy how late its heartbeat comes.
	startTime = 900 * time.Millisecond
	lateBy    = 5 * time.Second
	// servesOn is how long an engine serves on after its acknowledged departure.
	servesOn = 16 * time.Second
)

// restartedDeparture lets a server crash, start again under its id and leave soon after. The heartbeat that it sends at
// its start comes late.
func restartedDeparture(ctx context.Context, trial *trial) error {
	cluster := trial.cluster
	if err := trial.start(ctx, 5, 2, 2, 1); err != nil {
		return err
	}
	var first *engine
	for number := 2; number <= desks; number++ {
		added, err := trial.fabric.add(200+number, fmt.Sprintf("i-d%07x", number), "desk", "")
		if err != nil {
			return err
		}
		first = added
	}
	if err := trial.awaitRun(ctx, first); err != nil {
		return err
	}
	trial.fabric.crash(first)
	sleep(ctx, time.Second)
	leaving, err := trial.fabric.addSilent(first.index, first.id, "desk")
	if err != nil {
		return err
	}
	startedAt, beat := time.Now(), leaving.firstBeat()
	trial.record.add("heartbeat_sent", "id", leaving.id, "body", string(beat))
	deliver := func() {
		status, to := cluster.callAny(ctx, 2, http.MethodPost, cluster.names.InstancesPath+leaving.id+"/heartbeat", beat)
		trial.record.add("heartbeat_arrived", "id", leaving.id, "born", leaving.born, "status", status, "to", to, "late_ms", time.Since(startedAt).Milliseconds())
	}
	if trial.trouble {
		time.AfterFunc(lateBy, deliver)
	} else {
		deliver()
	}
	sleep(ctx, time.Until(startedAt.Add(startTime)))
	trial.record.add("leave_sent", "id", leaving.id)
	status, by := cluster.callAny(ctx, 1, http.MethodPost, cluster.names.InstancesPath+leaving.id+"/leave", nil)
	acknowledgedAt := time.Now()
	trial.record.add("left", "id", leaving.id, "status", status, "by", by)
	if status != http.StatusOK {
		return fmt.Errorf("the departure is answered %d", status)
	}
	sleep(ctx, drainTime)
	for number := 0; time.Since(acknowledgedAt) < servesOn && ctx.Err() == nil; number++ {
		answered := cluster.request(ctx, cluster.fronts[number%2], http.MethodGet, "/lookup/a", "", time.Second, nil)
		ran := trial.fabric.ranAt(answered.id)
		trial.record.add("answer", "request", answered.id, "status", answered.status, "ran_at", ran)
		if ran == leaving.id {
			trial.breaks("DRAIN", fmt.Sprintf("request %s reaches %s %d ms after its departure was acknowledged", answered.id, leaving.id, time.Since(acknowledgedAt).Milliseconds()))
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return nil
}

// awaitRun waits until requests reach a server.
func (trial *trial) awaitRun(ctx context.Context, server *engine) error {
	until := time.Now().Add(15 * time.Second)
	for time.Now().Before(until) && ctx.Err() == nil {
		answered := trial.cluster.request(ctx, trial.cluster.fronts[0], http.MethodGet, "/lookup/a", "", time.Second, nil)
		if trial.fabric.ranAt(answered.id) == server.id {
			return nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("no request reached %s", server.id)
}
