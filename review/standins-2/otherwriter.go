package main

import (
	"context"
	"encoding/json"
	"time"
)

func init() { plays["otherwriter"] = playOtherWriter }

// playOtherWriter lets three engines form a group of two, and sends one heartbeat of another writer under the id of the
// open head: fields are missing, its writer started later, and nothing listens at its address.
func playOtherWriter(ctx context.Context, run *caseRun) (bool, error) {
	deployment, err := run.deploy(ctx, 2, 1, poolConfiguration(1))
	if err != nil {
		return false, err
	}
	defer deployment.Close()
	system, fabric := deployment.system, &Fabric{system: deployment.system}
	defer fabric.Close()
	for index := range 3 {
		if _, err := fabric.Add(index, engineID(index)); err != nil {
			return false, err
		}
	}
	head, err := awaitOpenHead(ctx, fabric)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if run.trouble {
		body, _ := json.Marshal(object{
			"service": "pool", "address": system.endpointAddress(150), "zone": head.zone, "slots": 17, "state": "ready",
			"sequence": 1, "born": head.born + 1000,
		})
		run.record.Printf("another writer sends under the id %s: %s", head.id, body)
		got, err := exchange(system.cores[0].control(), post(heartbeatPath(head.id), body), time.Second)
		if err != nil {
			return false, err
		}
		run.record.Printf("it is answered %d", got.status)
	}
	time.Sleep(10 * time.Second)
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	run.record.Printf("%d joins were taken while the head of the engine's group was open or stood still", len(fabric.early))
	return len(fabric.early) > 0, nil
}
