package main

import (
	"context"
	"fmt"
	"time"
)

func init() { plays["twogroups"] = playTwoGroups }

// playTwoGroups lets three engines form a group of two. The core is then killed while the group's open head is cut off from
// it, and a heartbeat of the head arrives that was sent before it joined.
func playTwoGroups(ctx context.Context, run *caseRun) (bool, error) {
	deployment, err := run.deploy(ctx, 2, 1, poolConfiguration(1))
	if err != nil {
		return false, err
	}
	defer deployment.Close()
	system, fabric := deployment.system, &Fabric{system: deployment.system}
	defer fabric.Close()
	late := map[*Engine][]byte{}
	for index := range 3 {
		engine, err := fabric.Add(index, engineID(index))
		if err != nil {
			return false, err
		}
		time.Sleep(20 * time.Millisecond)
		late[engine] = engine.heartbeat()
	}
	sentAt := time.Now()
	head, err := awaitOpenHead(ctx, fabric)
	if err != nil {
		return false, err
	}
	run.record.Printf("the delayed heartbeat of %s: %s", head.id, late[head])
	if run.trouble {
		head.Cut()
		run.record.Printf("%s is cut off from control", head.id)
		KillAll(system.cores)
		run.record.Printf("all core processes are killed")
		time.Sleep(700 * time.Millisecond)
		for _, core := range system.cores {
			if err := core.Start(); err != nil {
				return false, err
			}
		}
		run.record.Printf("all core processes are started again")
	}
	time.Sleep(1500 * time.Millisecond)
	run.record.Printf("the delayed heartbeat arrives %.1f s after it was sent: acknowledged %v", time.Since(sentAt).Seconds(), head.send(late[head]))
	time.Sleep(9 * time.Second)
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	run.record.Printf("%d joins were taken while the head of the engine's group was open or stood still", len(fabric.early))
	return len(fabric.early) > 0, nil
}

// engineID returns the id of an engine.
func engineID(index int) string { return fmt.Sprintf("i-%08x", 0x02d9e6b4+index*0x1b3d) }

// awaitOpenHead waits for the head of an open group.
func awaitOpenHead(ctx context.Context, fabric *Fabric) (*Engine, error) {
	for ctx.Err() == nil {
		for _, engine := range fabric.engines {
			if state, members := engine.stateOf(); state == "open" && len(members) == 2 {
				return engine, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("no group is open")
}
