// Command unanswered sends streams to a slow group of engines, which has begun them but made no
// event of them when the route's timeout passes.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"carobline.dev/review/standins/lab"
)

const (
	host  = "ficu95.example"
	desk  = "order-desk"
	pool  = "carob-pool"
	model = "daka510000"
	key   = "n2ctnfzs989anu6wsjnb"
	// routeTimeout is the route's timeout_ms, and clientTime what the clients give.
	routeTimeout, clientTime = 6 * time.Second, 8 * time.Second
	// maxUnanswered is how often a connection may close without an answer.
	maxUnanswered = 3
	// clients is the number of clients, each with a connection of its own.
	clients = 8
	// slowdown is how much longer a slow engine works, and the rest the sheet's times of the engine.
	slowdown        = 12
	readTokensPerMS = 45.9
	stepTime        = 7800 * time.Microsecond
	stride          = 5
	promptTokens    = 22000
	answerTokens    = 40
)

func main() { lab.Main(run) }

func configuration() lab.Configuration {
	return lab.Configuration{
		Version: 1,
		Routes: []lab.Route{
			{Name: "look", Host: host, PathPrefix: "/look/", Kind: "safe", TimeoutMS: 1000, TargetLatencyMS: 100, Priority: 2, Service: desk, Attempts: 2},
			{Name: "draft", Host: host, PathPrefix: "/draft/", Kind: "streaming", TimeoutMS: int(routeTimeout.Milliseconds()), TargetLatencyMS: 400, Priority: 1, Service: pool, Attempts: 2, SessionAffinity: true, GapTargetMS: 300},
		},
		Services: []lab.Service{
			{Name: desk, HealthPath: "/health", ConnectionLimit: 52, Protocol: "h1"},
			{Name: pool, HealthPath: "/health", ConnectionLimit: 288, Protocol: "h1", Engine: &lab.EngineSpec{
				Slots: 17, KVCapacityTokens: 1860000, Stride: stride, Models: []lab.Model{{Name: model, Size: 2, Share: 1, Pace: 1, LoadS: 12, WarmupS: 1.1}},
				StepMS: 7.8, PerSeqMS: 0.0947, ContextPerK: 0.0096, ReadPerS: 45900, Chunk: 2048, LoadsPerS: 5, LoadsAtOnce: 7, RetentionCount: 1, FarX: 2.5, FormMS: 300,
			}},
		},
		Limits:  lab.DefaultLimits,
		Tenants: []lab.Tenant{{Name: "hule930", APIKeys: []string{key}, Priority: 1}},
	}
}

// work is what an engine does: it reads the prompt, begins the request with its first token, and
// makes an event of each stride of tokens. It stops after the pass in which the time that the request
// leaves it has come.
func work(slow func() bool, begun func(id string)) func(*lab.Engine, http.ResponseWriter, *http.Request, []byte) {
	return func(engine *lab.Engine, writer http.ResponseWriter, request *http.Request, _ []byte) {
		factor := 1.0
		if slow() {
			factor = slowdown
		}
		left, _ := strconv.Atoi(request.Header.Get(lab.Name("time_left")))
		deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
		pause := func(work time.Duration) {
			time.Sleep(time.Duration(float64(work) * factor))
			if !time.Now().Before(deadline) || request.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		prompt, answer, _ := strings.Cut(request.Header.Get(lab.Name("tokens")), ",")
		promptCount, _ := strconv.ParseFloat(prompt, 64)
		answerCount, _ := strconv.Atoi(answer)
		pause(time.Duration(promptCount / readTokensPerMS * float64(time.Millisecond)))
		id := request.Header.Get("Request-Id")
		writer.Header().Set("Content-Type", "text/event-stream")
		engine.Sign(writer.Header(), id)
		writer.Header().Set(lab.Name("versions"), "1")
		writer.WriteHeader(http.StatusOK)
		flusher := http.NewResponseController(writer)
		_ = flusher.Flush()
		begun(id)
		for event := 1; event*stride <= answerCount; event++ {
			pause(stride * stepTime)
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece %d of %s\n\n", event, event, id)
			_ = flusher.Flush()
		}
	}
}

func run(test *lab.Case) (bool, error) {
	system, err := lab.Start(test.Record, lab.Config{Fronts: 2})
	if err != nil {
		return false, err
	}
	defer system.Stop()
	runs := lab.NewRuns()
	var mutex sync.Mutex
	slow := false
	isSlow := func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return slow
	}
	begun := func(id string) { test.Record.Notef("the engine has sent the head of its answer to %s", id) }
	var heads []*lab.Engine
	for index := range 5 {
		config := lab.EngineConfig{
			ID: fmt.Sprintf("i-%d", index+1), Service: desk, Zone: "toledo-yard", Address: fmt.Sprintf("127.77.2.%d", index+1), Slots: 6,
			Runs: runs, Serve: lab.AnswerAfter(15 * time.Millisecond),
		}
		if index >= 3 {
			config.Service, config.Model, config.Domain, config.WarmTime, config.Slots, config.Serve = pool, true, "d1", 1100*time.Millisecond, 17, work(isSlow, begun)
		}
		engine, err := system.StartEngine(config)
		if err != nil {
			return false, err
		}
		defer engine.Stop()
		if config.Model {
			heads = append(heads, engine)
		}
	}
	if _, err := system.Operator.Replace(test.Context, configuration()); err != nil {
		return false, err
	}
	if !lab.Until(test.Context, 40*time.Second, func() bool { return heads[0].Open() || heads[1].Open() }) {
		return false, errors.New("no group has opened")
	}
	time.Sleep(3 * time.Second)
	mutex.Lock()
	slow = test.Trouble
	mutex.Unlock()
	test.Record.Printf("the engines work %d times as long: %t", slowdown, test.Trouble)
	var sending sync.WaitGroup
	outcomes := make(chan string, clients)
	for index := range clients {
		sending.Go(func() {
			client := system.NewClient(system.Fronts[index%len(system.Fronts)])
			defer client.Close()
			outcomes <- sendBoth(test, runs, client)
		})
	}
	sending.Wait()
	close(outcomes)
	mutex.Lock()
	slow = false
	mutex.Unlock()
	counts := map[string]int{}
	for outcome := range outcomes {
		counts[outcome]++
	}
	test.Record.Printf("streams by outcome: %v", counts)
	if counts["not tried"] > clients/2 {
		return false, errors.New("too few streams were tried")
	}
	return counts["closed without an answer"] > maxUnanswered, nil
}

// sendBoth sends a short request, so that the connection is a kept one, and then a stream on it.
func sendBoth(test *lab.Case, runs *lab.Runs, client *lab.Client) string {
	first := client.Send(lab.Request{ID: lab.NewID(), Method: http.MethodGet, Path: "/look/x", Host: host, Key: key, Time: time.Second})
	if first.Status != http.StatusOK || first.Err != nil {
		test.Record.Notef("GET /look/x: %d, error %v", first.Status, first.Err)
		return "not tried"
	}
	id := lab.NewID()
	answer := client.Send(lab.Request{
		ID: id, Method: http.MethodPost, Path: "/draft/x", Host: host, Key: key, Time: clientTime, Body: "{}",
		Headers: map[string]string{"Model": model, lab.Name("tokens"): fmt.Sprintf("%d,%d", promptTokens, answerTokens), lab.Name("parts"): fmt.Sprintf("%s:%d", id, promptTokens)},
	})
	elapsed := answer.EndedAt.Sub(answer.SentAt)
	test.Record.Notef("POST /draft/x %s: status %d, %d bytes, error %v, after %d ms, %d runs", id, answer.Status, len(answer.Body), answer.Err, elapsed.Milliseconds(), len(runs.Of(id)))
	switch {
	case answer.Status == http.StatusOK && answer.Err == nil:
		return "served"
	case answer.Status == 0 && len(runs.Of(id)) > 0 && elapsed < clientTime:
		return "closed without an answer"
	case answer.Status == 0:
		return "no answer"
	default:
		return fmt.Sprintf("answered %d, error %v", answer.Status, answer.Err)
	}
}
