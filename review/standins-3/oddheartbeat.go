package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// oddHeartbeat lets another writer report the head of an open group, with fields missing that model engines report.
func oddHeartbeat(ctx context.Context, trial *trial) error {
	if err := trial.start(ctx, 5, 1, 3, 1); err != nil {
		return err
	}
	heads := trial.fabric.openGroups()
	if len(heads) == 0 {
		return errors.New("no group is open")
	}
	head := heads[0]
	until := time.Now().Add(56 * time.Second)
	for sequence := 1; time.Now().Before(until) && ctx.Err() == nil && len(trial.fabric.seen()) == 0; sequence++ {
		if trial.trouble {
			body, err := json.Marshal(map[string]any{
				"service": "pool", "address": head.address, "zone": head.zone, "version": "v1", "slots": slots, "state": "ready",
				trial.cluster.names.ColdLeft: 0, "sequence": 1000 + sequence, "born": head.born,
			})
			if err != nil {
				return err
			}
			status, _ := trial.cluster.call(trial.cluster.controls[sequence%5], http.MethodPost, trial.cluster.names.InstancesPath+head.id+"/heartbeat", body)
			trial.record.add("odd_heartbeat", "id", head.id, "status", status)
		}
		answered := trial.cluster.digest(ctx, trial.cluster.fronts[0])
		trial.record.add("answer", "request", answered.id, "status", answered.status)
		sleep(ctx, heartbeatInterval)
	}
	return nil
}
