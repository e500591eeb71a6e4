package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often an engine tells of itself.
	heartbeatInterval = 1200 * time.Millisecond
	// StallTime and RevokeTime are bounds of the deployments' sheets.
	StallTime  = 4 * time.Second
	RevokeTime = 5 * time.Second
	// rejoinTime is how long it takes to join for the model of the last group, and formTime to open.
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
)

// Run is one request that an engine has begun to work on.
type Run struct {
	ID, Engine, Service, Path, Key, Tenant string
	At                                     time.Time
}

// Runs are what all engines of a case have run. It is safe for concurrent use.
type Runs struct {
	mutex sync.Mutex
	byID  map[string][]Run
}

// NewRuns returns a list without runs.
func NewRuns() *Runs { return &Runs{byID: map[string][]Run{}} }

func (runs *Runs) add(run Run) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.byID[run.ID] = append(runs.byID[run.ID], run)
}

// Of returns the runs of a request.
func (runs *Runs) Of(id string) []Run {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return append([]Run{}, runs.byID[id]...)
}

// EngineConfig is what a case chooses of an engine.
type EngineConfig struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Model is true for an engine that joins groups, in a domain.
	Model  bool
	Domain string
	// WarmTime is how long a join takes whose model isn't that of the last group.
	WarmTime time.Duration
	Runs     *Runs
	// Serve works on a request. It is called once the engine has taken the request.
	Serve func(engine *Engine, writer http.ResponseWriter, request *http.Request, body []byte)
}

// Engine is a stand-in for an engine, or for one server of a plain service.
type Engine struct {
	EngineConfig

	system   *System
	listener net.Listener
	server   *http.Server
	born     int64
	cancel   context.CancelFunc
	beating  sync.WaitGroup
	changed  chan struct{}

	mutex    sync.Mutex
	state    string
	sequence int
	lastBeat string
	model    string
	group    *membership
	staged   []string
	fence    uint64
	epoch    uint64
	orders   int
	// active is the number of requests that it works on.
	active int
	// ended reports that its process has ended.
	ended bool
}

// membership is an engine's place in a group.
type membership struct {
	Name    string `json:"name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	members []string
	model   string
}

// StartEngine starts an engine on a loopback address and lets it register.
func (system *System) StartEngine(config EngineConfig) (*Engine, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(config.Address, "0"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	engine := &Engine{
		EngineConfig: config, system: system, listener: listener, born: time.Now().UnixMilli(), cancel: cancel,
		changed: make(chan struct{}, 1), state: "ready",
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Name("order_path"), engine.order)
	mux.HandleFunc("GET "+Name("report_path"), engine.report)
	mux.HandleFunc("/", engine.serve)
	engine.server = &http.Server{Handler: mux}
	system.addEngine(engine)
	go func() { _ = engine.server.Serve(listener) }()
	engine.beating.Go(func() { engine.beat(ctx) })
	return engine, nil
}

// Stop ends the engine without a word.
func (engine *Engine) Stop() {
	engine.cancel()
	_ = engine.server.Close()
	engine.beating.Wait()
	engine.mutex.Lock()
	engine.ended = true
	left := engine.group
	engine.mutex.Unlock()
	engine.system.memberLost(engine, left)
}

// Drain makes the engine say that it is about to stop. It goes on serving.
func (engine *Engine) Drain() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.state = "draining"
	engine.notify()
}

// Group returns the members of the engine's group, the head first, and its state.
func (engine *Engine) Group() (model, state string, members []string) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.group == nil {
		return "", "", nil
	}
	return engine.group.model, engine.group.State, engine.group.members
}

// Staged lists the models on the engine's host.
func (engine *Engine) Staged() []string {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return append([]string{}, engine.staged...)
}

func (engine *Engine) beat(ctx context.Context) {
	for node := 0; ctx.Err() == nil; {
		body := engine.describe()
		status, _, err := call(ctx, http.MethodPost, "http://"+engine.system.Cores[node%cores].Control()+Name("instances_path")+engine.ID+"/heartbeat", body)
		if err == nil {
			engine.system.Record.Notef("%s says %s: %d", engine.ID, body, status)
		}
		if err != nil || status != http.StatusOK {
			node++
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		select {
		case <-ctx.Done():
		case <-engine.changed:
		case <-time.After(heartbeatInterval):
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

type namedModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (engine *Engine) models() []namedModel {
	if engine.model == "" {
		return []namedModel{}
	}
	return []namedModel{{Name: engine.model, Version: 1, Adapters: []string{}}}
}

func (engine *Engine) describe() []byte {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.sequence++
	fields := map[string]any{
		"service": engine.Service, "address": engine.listener.Addr().String(), "zone": engine.Zone, "version": "v1", "slots": engine.Slots,
		"state": engine.state, "@cold": 0, "sequence": engine.sequence, "born": engine.born,
	}
	if engine.Model {
		fields["stage"], fields["models"], fields["domain"], fields["staged"] = "both", engine.models(), engine.Domain, append([]string{}, engine.staged...)
		if engine.group != nil {
			fields["group"] = engine.group
		}
	}
	data, _ := encode(fields)
	return data
}

func (engine *Engine) report(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	fields := map[string]any{"stage": "both", "models": engine.models(), "busy": false, "sequence": engine.orders, "queued": 0, "active": 0, "@used": 0, "@total": 1860000, "handles": 0, "pace": 1}
	if engine.group != nil {
		fields["group"] = engine.group
	}
	writer.Header().Set("Content-Type", "application/json")
	data, _ := encode(fields)
	_, _ = writer.Write(data)
}

// orderBody is an order of the system.
type orderBody struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        uint64   `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	CloseMode    string   `json:"close_mode"`
	FencingToken uint64   `json:"fencing_token"`
}

func (engine *Engine) order(writer http.ResponseWriter, request *http.Request) {
	var order orderBody
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, left := engine.carryOut(order)
	if left != nil {
		if order.Operation == "join" {
			engine.system.checkTwo(engine, left, order.Group)
		}
		engine.system.memberLost(engine, left)
	}
	engine.system.Record.Notef("%s was ordered %+v: %d", engine.ID, order, status)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, "{}")
}

// carryOut changes the engine's state by an order, and returns the answer's status and the group
// that the engine was in before, if it is in another one or in none now.
func (engine *Engine) carryOut(order orderBody) (int, *membership) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	former := engine.group
	status := engine.change(order)
	if former == engine.group {
		return status, nil
	}
	return status, former
}

// change is carryOut for a caller that holds the mutex.
func (engine *Engine) change(order orderBody) int {
	if order.FencingToken < engine.fence {
		return http.StatusPreconditionFailed
	}
	engine.fence = order.FencingToken
	own := engine.group
	sameGroup := own != nil && own.Name == order.Group && own.Epoch == order.Epoch
	switch order.Operation {
	case "join":
		rank := -1
		for index, member := range order.Members {
			if member == engine.ID {
				rank = index
			}
		}
		switch {
		case rank < 0:
			return http.StatusConflict
		case order.Epoch < engine.epoch:
			return http.StatusPreconditionFailed
		case sameGroup:
			return http.StatusOK
		}
		engine.epoch = order.Epoch
		joined := &membership{Name: order.Group, Epoch: order.Epoch, Rank: rank, State: "joining", members: order.Members, model: order.Model}
		pause := engine.WarmTime
		if engine.model == order.Model {
			pause = rejoinTime
		}
		engine.group = joined
		engine.later(pause, func() {
			if engine.group == joined {
				joined.State, engine.model, engine.staged = "ready", order.Model, []string{order.Model}
			}
		})
	case "open":
		if !sameGroup || own.Rank != 0 || own.State != "ready" {
			if sameGroup && own.State == "open" {
				return http.StatusOK
			}
			return http.StatusConflict
		}
		engine.later(formTime, func() {
			if engine.group == own && own.State == "ready" {
				own.State = "open"
			}
		})
	case "close":
		if !sameGroup || own.State != "open" {
			return http.StatusConflict
		}
		own.State = "closing"
		engine.finishClosing()
	case "leave":
		if !sameGroup {
			return http.StatusOK
		}
		engine.group = nil
	case "stage":
		engine.later(engine.WarmTime, func() { engine.staged = []string{order.Model} })
	default:
		return http.StatusBadRequest
	}
	engine.orders++
	engine.notify()
	return http.StatusAccepted
}

// later runs a change of the engine's state after a pause, and tells of it. The caller holds the mutex.
func (engine *Engine) later(pause time.Duration, change func()) {
	time.AfterFunc(pause, func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		change()
		engine.notify()
	})
}

func (engine *Engine) notify() {
	select {
	case engine.changed <- struct{}{}:
	default:
	}
}

// finishClosing ends the closing of the group once no request is left. The caller holds the mutex.
func (engine *Engine) finishClosing() {
	if engine.group != nil && engine.group.State == "closing" && engine.active == 0 {
		engine.group.State = "ready"
		engine.notify()
	}
}

// Open reports whether the engine is the head of an open group.
func (engine *Engine) Open() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.group != nil && engine.group.State == "open"
}

func (engine *Engine) serve(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	expected := request.Header.Get(Name("expected"))
	switch {
	case request.URL.Path == "/health":
		writer.Header().Set("Instance-Id", engine.ID)
		return
	case expected != "" && expected != engine.ID, engine.Model && !engine.Open():
		writer.Header().Set(Name("not_run"), "1")
		writer.Header().Set(Name("at_server"), engine.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		writer.Header().Set(Name("not_run"), "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	run := Run{ID: id, Engine: engine.ID, Service: engine.Service, Path: request.URL.Path, Key: request.Header.Get("Authorization"), Tenant: request.Header.Get("Tenant"), At: time.Now()}
	engine.Runs.add(run)
	engine.system.Record.Notef("%s begins to run %s %s, tenant %q", engine.ID, id, request.URL.Path, run.Tenant)
	engine.mutex.Lock()
	engine.active++
	engine.mutex.Unlock()
	defer func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.active--
		engine.finishClosing()
	}()
	engine.Serve(engine, writer, request, body)
}

// Sign sets an engine's signature of the answer to a request.
func (engine *Engine) Sign(header http.Header, id string) { header.Set(Name("seal"), engine.ID+"."+id) }

// AnswerAfter is the usual work of a plain service: it answers with a signed body after some time.
func AnswerAfter(work time.Duration) func(*Engine, http.ResponseWriter, *http.Request, []byte) {
	return func(engine *Engine, writer http.ResponseWriter, request *http.Request, _ []byte) {
		time.Sleep(work)
		id := request.Header.Get("Request-Id")
		engine.Sign(writer.Header(), id)
		writer.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(writer, `{"done":%q}`, id)
	}
}

// Born returns the start of the engine in Unix milliseconds.
func (engine *Engine) Born() int64 { return engine.born }
