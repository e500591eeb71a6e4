// Command twogroups lets another writer send one heartbeat under the id of the head of an open group,
// and watches which groups the other engines join.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"carobline.dev/review/standins/lab"
)

const (
	host       = "ficu95.example"
	pool       = "huvo11a"
	large      = "daka510000"
	small      = "rada7437b5"
	largeSize  = 4
	engines    = 6
	key        = "n2ctnfzs989anu6wsjnb"
	eventPause = 40 * time.Millisecond
	events     = 60
	// foreignService is named in no configuration.
	foreignService = "depot-agent"
	// watchTime is how long the groups are watched.
	watchTime = 20 * time.Second
)

func main() { lab.Main(run) }

func configuration() lab.Configuration {
	return lab.Configuration{
		Version: 1,
		Routes: []lab.Route{
			{Name: "draft", Host: host, PathPrefix: "/draft/", Kind: "streaming", TimeoutMS: 8000, TargetLatencyMS: 400, Priority: 1, Service: pool, Attempts: 2, SessionAffinity: true, Resumable: true, GapTargetMS: 300},
		},
		Services: []lab.Service{
			{Name: pool, HealthPath: "/health", ConnectionLimit: 288, Protocol: "h1", Engine: &lab.EngineSpec{
				Slots: 17, KVCapacityTokens: 1860000, Stride: 5, Models: []lab.Model{
					{Name: large, Size: largeSize, Share: 0.5, Pace: 1, LoadS: 16, WarmupS: 1.6}, {Name: small, Size: 2, Share: 0.5, Pace: 0.6, LoadS: 12, WarmupS: 1.1},
				},
				StepMS: 7.8, PerSeqMS: 0.0947, ContextPerK: 0.0096, ReadPerS: 45900, Chunk: 2048, LoadsPerS: 5, LoadsAtOnce: 7, RetentionCount: 1, FarX: 2.5, FormMS: 300,
			}},
		},
		Limits:  lab.DefaultLimits,
		Tenants: []lab.Tenant{{Name: "hule930", APIKeys: []string{key}, Priority: 1}},
	}
}

// stream answers with events until all have been sent or the caller has gone.
func stream(engine *lab.Engine, writer http.ResponseWriter, request *http.Request, _ []byte) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Content-Type", "text/event-stream")
	engine.Sign(writer.Header(), id)
	flusher := http.NewResponseController(writer)
	first := 1
	_, _ = fmt.Sscanf(request.Header.Get("Last-Event-Id"), "%d", &first)
	for event := first; event <= events && request.Context().Err() == nil; event++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", event, event)
		_ = flusher.Flush()
		time.Sleep(eventPause)
	}
}

func run(test *lab.Case) (bool, error) {
	system, err := lab.Start(test.Record, lab.Config{Fronts: 2})
	if err != nil {
		return false, err
	}
	defer system.Stop()
	runs, byID := lab.NewRuns(), map[string]*lab.Engine{}
	for index := range engines {
		id := fmt.Sprintf("i-%d", index+1)
		engine, err := system.StartEngine(lab.EngineConfig{
			ID: id, Service: pool, Zone: "toledo-yard", Address: fmt.Sprintf("127.77.2.%d", index+1), Slots: 17, Model: true, Domain: "d1",
			WarmTime: 1100 * time.Millisecond, Runs: runs, Serve: stream,
		})
		if err != nil {
			return false, err
		}
		defer engine.Stop()
		byID[id] = engine
	}
	if _, err := system.Operator.Replace(test.Context, configuration()); err != nil {
		return false, err
	}
	var members []string
	if !lab.Until(test.Context, 30*time.Second, func() bool { members = openGroup(byID); return members != nil && staged(byID, members) }) {
		return false, errors.New("no group of the large model has opened with the other model on its hosts")
	}
	stop := startTraffic(test, system)
	defer stop()
	time.Sleep(3 * time.Second)
	head := byID[members[0]]
	test.Record.Printf("the group's head is %s, its members are %s", head.ID, strings.Join(members, ", "))
	if test.Trouble {
		if err := system.SendForeign(test.Context, system.Cores[0], head.ID, foreignService, "127.77.9.9:9"); err != nil {
			return false, err
		}
	}
	time.Sleep(watchTime)
	_, state, _ := head.Group()
	test.Record.Printf("%s itself says that its group is %q", head.ID, state)
	joins := system.JoinedWhileOpen()
	test.Record.Printf("joins of another group while the head of an engine's own one wasn't done: %d", len(joins))
	return len(joins) > 0, nil
}

// openGroup returns the members of an open group of the large model.
func openGroup(byID map[string]*lab.Engine) []string {
	for _, engine := range byID {
		if model, state, members := engine.Group(); model == large && state == "open" {
			return members
		}
	}
	return nil
}

// staged reports whether all members of a group have the small model on their hosts.
func staged(byID map[string]*lab.Engine, members []string) bool {
	for _, id := range members {
		if models := byID[id].Staged(); len(models) != 1 || models[0] != small {
			return false
		}
	}
	return true
}

// startTraffic sends streams of the large model, one after another from each of a few clients.
func startTraffic(test *lab.Case, system *lab.System) (stop func()) {
	ctx, cancel := context.WithCancel(test.Context)
	var clients sync.WaitGroup
	for index := range 4 {
		clients.Go(func() {
			client := system.NewClient(system.Fronts[index%len(system.Fronts)])
			defer client.Close()
			for ctx.Err() == nil {
				id := lab.NewID()
				answer := client.Send(lab.Request{
					ID: id, Method: http.MethodPost, Path: "/draft/x", Host: host, Key: key, Time: 8 * time.Second, Body: "{}",
					Headers: map[string]string{"Model": large, lab.Name("tokens"): "1460,300", lab.Name("parts"): id + ":1460"},
				})
				test.Record.Notef("POST /draft/x %s: %d, %d bytes, error %v", id, answer.Status, len(answer.Body), answer.Err)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		clients.Wait()
	}
}
