// Command nomodels adds two empty engines to a service of engines that has no models yet, and
// watches the control hosts.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"carobline.dev/review/standins/lab"
)

const (
	host       = "ficu95.example"
	desk       = "order-desk"
	pool       = "carob-pool"
	sparePool  = "carob-spare"
	key        = "n2ctnfzs989anu6wsjnb"
	watchTime  = 60 * time.Second
	maxOwnEnds = 3
)

func main() { lab.Main(run) }

func engineSpec(models ...lab.Model) *lab.EngineSpec {
	return &lab.EngineSpec{
		Slots: 17, KVCapacityTokens: 1860000, Stride: 5, Models: append([]lab.Model{}, models...), StepMS: 7.8, PerSeqMS: 0.0947, ContextPerK: 0.0096,
		ReadPerS: 45900, Chunk: 2048, LoadsPerS: 5, LoadsAtOnce: 7, RetentionCount: 1, FarX: 2.5, FormMS: 300,
	}
}

func configuration(version int, withSpare bool) lab.Configuration {
	configuration := lab.Configuration{
		Version: version,
		Routes: []lab.Route{
			{Name: "look", Host: host, PathPrefix: "/look/", Kind: "safe", TimeoutMS: 1000, TargetLatencyMS: 100, Priority: 2, Service: desk, Attempts: 2},
		},
		Services: []lab.Service{
			{Name: desk, HealthPath: "/health", ConnectionLimit: 52, Protocol: "h1"},
			{Name: pool, HealthPath: "/health", ConnectionLimit: 288, Protocol: "h1", Engine: engineSpec(lab.Model{Name: "rada7437b5", Size: 2, Share: 1, Pace: 0.6, LoadS: 12, WarmupS: 1.1})},
		},
		Limits:  lab.DefaultLimits,
		Tenants: []lab.Tenant{{Name: "hule930", APIKeys: []string{key}, Priority: 1}},
	}
	if withSpare {
		configuration.Services = append(configuration.Services, lab.Service{Name: sparePool, HealthPath: "/health", ConnectionLimit: 288, Protocol: "h1", Engine: engineSpec()})
	}
	return configuration
}

func run(test *lab.Case) (bool, error) {
	system, err := lab.Start(test.Record, lab.Config{Fronts: 2})
	if err != nil {
		return false, err
	}
	defer system.Stop()
	runs := lab.NewRuns()
	start := func(id, service, address string, model bool) error {
		_, err := system.StartEngine(lab.EngineConfig{
			ID: id, Service: service, Zone: "toledo-yard", Address: address, Slots: 6, Model: model, Domain: "d1", WarmTime: 1100 * time.Millisecond,
			Runs: runs, Serve: lab.AnswerAfter(15 * time.Millisecond),
		})
		return err
	}
	for index := range 3 {
		if err := start(fmt.Sprintf("i-desk-%d", index+1), desk, fmt.Sprintf("127.77.2.%d", index+1), false); err != nil {
			return false, err
		}
	}
	for index := range 4 {
		if err := start(fmt.Sprintf("i-pool-%d", index+1), pool, fmt.Sprintf("127.77.3.%d", index+1), true); err != nil {
			return false, err
		}
	}
	if _, err := system.Operator.Replace(test.Context, configuration(1, false)); err != nil {
		return false, err
	}
	traffic := newTraffic(system)
	defer traffic.stop()
	if !lab.Until(test.Context, 20*time.Second, func() bool { return traffic.take()[http.StatusOK] > 0 }) {
		return false, errors.New("requests aren't served")
	}
	time.Sleep(5 * time.Second)
	test.Record.Printf("answers in 5 s before the change, by status: %v", traffic.take())
	if _, err := system.Operator.Replace(test.Context, configuration(5, true)); err != nil {
		return false, err
	}
	for index := range 2 {
		if !test.Trouble {
			break
		}
		if err := start(fmt.Sprintf("i-new-%d", index+1), sparePool, fmt.Sprintf("127.77.4.%d", index+1), true); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime / 2)
	test.Record.Printf("answers in %v after it, by status: %v", watchTime/2, traffic.take())
	time.Sleep(watchTime / 2)
	test.Record.Printf("answers in the next %v, by status: %v", watchTime/2, traffic.take())
	ends, often := 0, 0
	for _, core := range system.Cores {
		ends += core.Exits()
		if core.Exits() >= maxOwnEnds {
			often++
		}
		status, _, err := system.Operator.Read(test.Context, core)
		test.Record.Printf("%s ended by itself %d times; a read of the configuration there: %d %v", core.Name, core.Exits(), status, err)
		for _, text := range []string{"panic: ", "mostServedModel("} {
			for _, line := range core.LogTail(text, 1) {
				test.Record.Printf("%s says: %s", core.Name, line)
			}
		}
	}
	test.Record.Printf("control hosts ended by themselves %d times; %d of %d hosts %d times or more", ends, often, len(system.Cores), maxOwnEnds)
	return 2*often >= len(system.Cores), nil
}

// traffic is a client of each entry host that goes on sending.
type traffic struct {
	mutex    sync.Mutex
	byStatus map[int]int
	done     chan struct{}
	clients  sync.WaitGroup
}

func newTraffic(system *lab.System) *traffic {
	traffic := &traffic{byStatus: map[int]int{}, done: make(chan struct{})}
	for index := range 4 {
		traffic.clients.Go(func() { traffic.send(system, system.Fronts[index%len(system.Fronts)]) })
	}
	return traffic
}

func (traffic *traffic) send(system *lab.System, front *lab.Process) {
	client := system.NewClient(front)
	defer client.Close()
	for {
		select {
		case <-traffic.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := lab.NewID()
		answer := client.Send(lab.Request{ID: id, Method: http.MethodGet, Path: "/look/x", Host: host, Key: key, Time: time.Second})
		system.Record.Notef("GET /look/x %s at %s: %d, error %v", id, front.Name, answer.Status, answer.Err)
		traffic.mutex.Lock()
		traffic.byStatus[answer.Status]++
		traffic.mutex.Unlock()
	}
}

// take returns the answers since it was last called.
func (traffic *traffic) take() map[int]int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	taken := traffic.byStatus
	traffic.byStatus = map[int]int{}
	return taken
}

func (traffic *traffic) stop() {
	close(traffic.done)
	traffic.clients.Wait()
}
