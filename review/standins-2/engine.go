package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Engine is the stand-in of a model engine. It carries out orders at once and loads weights in no time.
type Engine struct {
	system  *System
	id      string
	zone    string
	domain  string
	address string
	born    int64

	mutex    sync.Mutex
	sequence int
	next     int
	orders   int
	fence    uint64
	epoch    uint64
	models   []string
	staged   []string
	group    string
	members  []string
	state    string
	draining bool
	silent   bool
	server   *http.Server
	stop     chan struct{}
	wake     chan struct{}
}

// order is the body of an order.
type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        uint64   `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	FencingToken *uint64  `json:"fencing_token"`
}

// NewEngine starts to serve, and sends heartbeats.
func NewEngine(system *System, index int, id, domain string) (*Engine, error) {
	engine := &Engine{system: system, id: id, zone: zones[index%len(zones)], domain: domain, address: system.endpointAddress(100 + index), born: time.Now().UnixMilli(), stop: make(chan struct{}), wake: make(chan struct{}, 1)}
	socket, err := net.Listen("tcp", engine.address)
	if err != nil {
		return nil, err
	}
	engine.server = &http.Server{Handler: http.HandlerFunc(engine.serve)}
	go func() { _ = engine.server.Serve(socket) }()
	go engine.beat()
	return engine, nil
}

func (engine *Engine) serve(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	if request.Method == http.MethodPost && request.URL.Path == "/carobline/order" {
		var decoded order
		if json.Unmarshal(body, &decoded) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		status := engine.carryOut(&decoded)
		engine.system.record.Printf("engine %s: order %s group %s epoch %d members %v: %d", engine.id, decoded.Operation, decoded.Group, decoded.Epoch, decoded.Members, status)
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, "{}")
		select {
		case engine.wake <- struct{}{}:
		default:
		}
		return
	}
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	engine.mutex.Lock()
	serves := engine.state == "open" && engine.members[0] == engine.id
	engine.mutex.Unlock()
	if expected := request.Header.Get("Expected-Instance"); !serves || (expected != "" && expected != engine.id) {
		writer.Header().Set("Instance-Id", engine.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	engine.system.record.Printf("engine %s runs %s", engine.id, id)
	writer.Header().Set("Response-Seal", "seal-"+id)
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := range 5 {
		fmt.Fprintf(writer, "id: %d\ndata: piece %d\n\n", number+1, number+1)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(30 * time.Millisecond)
	}
}

// carryOut carries out an order and returns the status.
func (engine *Engine) carryOut(order *order) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if order.FencingToken != nil {
		if *order.FencingToken < engine.fence {
			return http.StatusPreconditionFailed
		}
		engine.fence = *order.FencingToken
	}
	mine := order.Group == engine.group && order.Epoch == engine.epoch && engine.state != ""
	switch order.Operation {
	case "join":
		if order.Epoch < engine.epoch || (mine && !slices.Equal(order.Members, engine.members)) {
			return http.StatusPreconditionFailed
		}
		engine.group, engine.epoch, engine.members, engine.state = order.Group, order.Epoch, order.Members, "ready"
		engine.models, engine.staged = []string{order.Model}, []string{order.Model}
	case "open":
		if !mine || engine.state != "ready" {
			return http.StatusConflict
		}
		engine.state = "open"
	case "close":
		if !mine || engine.state != "open" {
			return http.StatusConflict
		}
		engine.state = "ready"
	case "leave":
		if !mine {
			return http.StatusConflict
		}
		engine.group, engine.members, engine.state = "", nil, ""
	case "stage":
		engine.staged = []string{order.Model}
	default:
		return http.StatusBadRequest
	}
	engine.orders++
	return http.StatusAccepted
}

func (engine *Engine) heartbeat() []byte {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.sequence++
	models := []object{}
	for _, model := range engine.models {
		models = append(models, object{"name": model, "version": 1, "adapters": []string{}})
	}
	staged := append([]string{}, engine.staged...)
	state := "ready"
	if engine.draining {
		state = "draining"
	}
	fields := object{
		"service": "pool", "address": engine.address, "zone": engine.zone, "version": "v1", "slots": 17, "state": state, "cold_remaining_ms": 0, "stage": "both",
		"models": models, "staged": staged, "domain": engine.domain, "sequence": engine.sequence, "born": engine.born,
	}
	if engine.state != "" {
		fields["group"] = object{"name": engine.group, "epoch": engine.epoch, "rank": slices.Index(engine.members, engine.id), "state": engine.state}
	}
	body, _ := json.Marshal(fields)
	return body
}

func (engine *Engine) beat() {
	for {
		engine.mutex.Lock()
		silent := engine.silent
		engine.mutex.Unlock()
		for attempt := 0; !silent && attempt < len(engine.system.cores); attempt++ {
			core := engine.system.cores[engine.next%len(engine.system.cores)]
			got, err := exchange(core.control(), post("/carobline/instances/"+engine.id+"/heartbeat", engine.heartbeat()), time.Second)
			if err == nil && got.status/100 == 2 {
				break
			}
			engine.next++
		}
		select {
		case <-engine.stop:
			return
		case <-engine.wake:
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// Close ends the engine.
func (engine *Engine) Close() {
	close(engine.stop)
	_ = engine.server.Close()
}

// poolConfiguration returns a configuration with a service of engines and a route to it.
func poolConfiguration(version int, engine object) object {
	configuration := deskConfiguration(version, "/desk/", "unsafe", object{
		"name": "r-pool", "host": "desk.example", "path_prefix": "/pool/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 300, "gap_target_ms": 200,
		"priority": 1, "service": "pool", "attempts": 2, "allow_anonymous": true, "session_affinity": true, "resumable": true,
	})
	configuration["services"] = append(configuration["services"].([]object), object{"name": "pool", "health_path": "/health", "connection_limit": 288, "protocol": "h1", "tls": false, "engine": engine})
	return configuration
}

// usualEngine returns the engine part of a configuration, like that of a small deployment.
func usualEngine() object {
	return object{
		"slots": 17, "kv_capacity_tokens": 1860000, "kv_token_bytes": 96256, "link_mbps": 400000.0, "stride": 5,
		"models": []object{
			{"name": "daka", "size": 4, "share": 0.5, "pace": 1.0, "load_s": 16.0, "warmup_s": 1.6},
			{"name": "rada", "size": 2, "share": 0.5, "pace": 0.6, "load_s": 12.0, "warmup_s": 1.1},
		},
		"step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0,
		"loads_per_s": 5.0, "loads_at_once": 7, "usual": object{"prompt": 979, "answer": 154}, "retention_count": 1, "far_x": 2.5, "form_ms": 300.0,
		"delays": []object{{"source": zones[0], "target_version": zones[1], "delay_ms": 0.5}},
	}
}
