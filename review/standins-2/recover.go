package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// recoveryBound is recovery_s.
	recoveryBound = 12 * time.Second
	// workTime is how long a server works on a request.
	workTime = 200 * time.Millisecond
	// clientsPerFront is the number of clients of one front process, each of which has one request at a time.
	clientsPerFront = 2
	// frontsKilled of so many fronts are killed at once, six in ten.
	fronts, frontsKilled = 5, 3
)

func init() { plays["recover"] = playRecover }

// outcome is one request of a client.
type outcome struct {
	sentAt time.Time
	served bool
}

// traffic is what clients have sent.
type traffic struct {
	mutex    sync.Mutex
	outcomes []outcome
}

// share returns how many requests were sent between two times, and how many of them were served.
func (traffic *traffic) share(from, to time.Time) (sent, served int) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	for _, outcome := range traffic.outcomes {
		if outcome.sentAt.Before(from) || outcome.sentAt.After(to) {
			continue
		}
		sent++
		if outcome.served {
			served++
		}
	}
	return sent, served
}

// client sends one request after another to a front process until ctx ends.
func (deployment *deployment) client(ctx context.Context, traffic *traffic, front *Process, name string) {
	for number := 0; ctx.Err() == nil; number++ {
		sentAt := time.Now()
		got, err := deployment.send(front, "POST", "/desk/1", fmt.Sprintf("%s-%d", name, number), "order")
		traffic.mutex.Lock()
		traffic.outcomes = append(traffic.outcomes, outcome{sentAt, err == nil && got.status == http.StatusOK})
		traffic.mutex.Unlock()
		time.Sleep(max(50*time.Millisecond, 250*time.Millisecond-time.Since(sentAt)))
	}
}

// playRecover kills most front processes several times while they have requests in progress, lets two machines of the
// core lose their disks after an acknowledgement, and looks at what is served once recovery_s has passed.
func playRecover(ctx context.Context, run *caseRun) (bool, error) {
	deployment, err := run.deploy(ctx, fronts, 2, deskConfiguration(1, "/desk/", "unsafe"))
	if err != nil {
		return false, err
	}
	defer deployment.Close()
	system, traffic := deployment.system, &traffic{}
	for _, endpoint := range deployment.endpoints {
		endpoint.handle = func(writer http.ResponseWriter, request *http.Request) {
			select {
			case <-time.After(workTime):
			case <-request.Context().Done():
			}
			writer.Header().Set(wire("seal"), "seal-"+request.Header.Get("Request-Id"))
			_, _ = io.WriteString(writer, "done\n")
		}
	}
	clientsCtx, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stop()
	startedAt := time.Now()
	for index, front := range system.fronts {
		for number := range clientsPerFront {
			clients.Go(func() { deployment.client(clientsCtx, traffic, front, fmt.Sprintf("c%d%d", index, number)) })
		}
	}
	time.Sleep(15 * time.Second)
	if run.trouble {
		for round := range 6 {
			var killed []*Process
			for number := range frontsKilled {
				killed = append(killed, system.fronts[(round*frontsKilled+number)%fronts])
			}
			run.record.Printf("%s, %s and %s are killed", killed[0].name, killed[1].name, killed[2].name)
			KillAll(killed)
			time.Sleep(500 * time.Millisecond)
			for _, front := range killed {
				if err := front.Start(); err != nil {
					return false, err
				}
			}
			time.Sleep(2500 * time.Millisecond)
		}
	}
	backAt, faultAt, err := deployment.finalFault(ctx)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(backAt.Add(recoveryBound + 6*time.Second)))
	sentBefore, servedBefore := traffic.share(startedAt, faultAt)
	sentAfter, servedAfter := traffic.share(backAt.Add(recoveryBound), time.Now().Add(-2*time.Second))
	run.record.Printf("before the final fault %d of %d requests were served, and later than recovery_s after it %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)
	return 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter, nil
}

// finalFault lets two machines of the core, which don't lead, lose their disks right after a configuration was acknowledged.
func (deployment *deployment) finalFault(ctx context.Context) (backAt, at time.Time, err error) {
	system := deployment.system
	if status, err := deployment.operator.Replace(ctx, deskConfiguration(2, "/desk/", "unsafe")); err != nil || status != http.StatusOK {
		return backAt, at, fmt.Errorf("the last configuration: status %d, %w", status, err)
	}
	at = time.Now()
	var lost []*Process
	for _, core := range system.cores {
		// The leader alone logs how many responses it has sent.
		if lines := core.grep(`"responses":`); len(lost) < 2 && len(lines) == 0 {
			lost = append(lost, core)
		}
	}
	KillAll(lost)
	for _, core := range lost {
		if err := os.RemoveAll(core.folder("data")); err != nil {
			return backAt, at, err
		}
		system.record.Printf("%s loses its disk", core.name)
	}
	time.Sleep(time.Second)
	for _, core := range lost {
		if err := core.Start(); err != nil {
			return backAt, at, err
		}
	}
	system.record.Printf("the machines are back")
	return time.Now(), at, nil
}
