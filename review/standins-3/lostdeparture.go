package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// drainTime is how long after its acknowledged departure an engine may get requests, and calmTime how long after
	// its last start a machine is certainly in touch.
	drainTime = 2 * time.Second
	calmTime  = 3500 * time.Millisecond
	// servesOn is how long an engine serves on after its acknowledged departure.
	servesOn = 16 * time.Second
)

// lostDeparture lets a server leave, ends all processes of the system at once and starts them again. A heartbeat that
// the server had sent before it left comes late.
func lostDeparture(ctx context.Context, trial *trial) error {
	cluster := trial.cluster
	if err := trial.start(ctx, 5, 2, 2, 1); err != nil {
		return err
	}
	leaving, err := trial.fabric.add(202, "i-d0000002", "desk", "")
	if err != nil {
		return err
	}
	if err := trial.awaitRun(ctx, leaving); err != nil {
		return err
	}
	trial.fabric.mutex.Lock()
	leaving.sequence++
	late := leaving.heartbeat()
	leaving.silent = true
	trial.fabric.mutex.Unlock()
	lateSentAt := time.Now()
	trial.record.add("heartbeat_held", "id", leaving.id, "sequence", leaving.sequence)
	status, by := cluster.callAny(ctx, 1, http.MethodPost, cluster.names.InstancesPath+leaving.id+"/leave", []byte(fmt.Sprintf(`{"born":%d}`, leaving.born)))
	acknowledgedAt := time.Now()
	trial.record.add("left", "id", leaving.id, "status", status, "by", by)
	if status != http.StatusOK {
		return fmt.Errorf("the departure is answered %d", status)
	}
	sleep(ctx, 500*time.Millisecond)
	calmAt := acknowledgedAt.Add(drainTime)
	if trial.trouble {
		if err := trial.restartAll(ctx); err != nil {
			return err
		}
		calmAt = time.Now().Add(calmTime)
		sleep(ctx, 2*time.Second)
	}
	status, to := cluster.callAny(ctx, 2, http.MethodPost, cluster.names.InstancesPath+leaving.id+"/heartbeat", late)
	trial.record.add("late_heartbeat", "id", leaving.id, "status", status, "to", to, "late_ms", time.Since(lateSentAt).Milliseconds())
	sleep(ctx, time.Until(calmAt))
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
	until := time.Now().Add(10 * time.Second)
	for time.Now().Before(until) && ctx.Err() == nil {
		answered := trial.cluster.request(ctx, trial.cluster.fronts[0], http.MethodGet, "/lookup/a", "", time.Second, nil)
		if trial.fabric.ranAt(answered.id) == server.id {
			return nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("no request reached %s", server.id)
}

// restartAll ends all processes of the system at the same moment, and starts them again within a second.
func (trial *trial) restartAll(ctx context.Context) error {
	cluster := trial.cluster
	all := append(append([]*node{}, cluster.controls...), cluster.fronts...)
	for _, node := range all {
		cluster.signal(node, syscall.SIGKILL)
	}
	sleep(ctx, 400*time.Millisecond)
	for _, node := range all {
		if err := cluster.startNode(node, false); err != nil {
			return err
		}
	}
	return nil
}
