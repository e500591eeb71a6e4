package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The times of orders, as the pages state them for the small deployment. A load takes a tenth before the first request.
const (
	rejoinTime = 200 * time.Millisecond
	loadTime   = 1200 * time.Millisecond
	warmupTime = 1100 * time.Millisecond
	formTime   = 300 * time.Millisecond
	stallTime  = 4 * time.Second
)

// Fabric is all model engines of a system. Its mutex guards their states.
type Fabric struct {
	system *System

	mutex   sync.Mutex
	engines []*Engine
	// early are the joins that an engine took while the head of its group was open or closing.
	early []string
}

// Engine is the stand-in of a model engine.
type Engine struct {
	fabric  *Fabric
	id      string
	zone    string
	address string
	born    int64
	fill    []net.Conn
	// cut is set while no heartbeat of the engine gets to control.
	cut bool

	sequence int
	next     int
	fence    uint64
	epoch    uint64
	// models is what is in memory, staged what is on the host.
	models, staged []string
	group          string
	members        []string
	// state is joining, ready, open or broken, or empty without a group. changes counts its changes.
	state   string
	changes int
	// brokenAt is when the head gives the group up, since it has lost a member.
	brokenAt time.Time
	listener *stoppableListener
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

// stoppableListener accepts no connection once it is held, so that new ones hang as behind a partition.
type stoppableListener struct {
	net.Listener

	held, closed chan struct{}
	closing      sync.Once
}

// Close implements net.Listener.
func (listener *stoppableListener) Close() error {
	listener.closing.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}

// Accept implements net.Listener.
func (listener *stoppableListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	select {
	case <-listener.held:
		// It was opened before, or fills the queue. Nobody reads it.
		<-listener.closed
		return connection, err
	default:
		return connection, err
	}
}

// listenShort listens with the shortest queue of connections that aren't accepted yet.
func listenShort(address string) (net.Listener, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(socket), address)
	defer func() { _ = file.Close() }()
	bound := &syscall.SockaddrInet4{Port: resolved.Port}
	copy(bound.Addr[:], resolved.IP.To4())
	if err := syscall.Bind(socket, bound); err != nil {
		return nil, err
	}
	if err := syscall.Listen(socket, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// Add adds an engine, which serves and sends heartbeats from now on.
func (fabric *Fabric) Add(index int, id string) (*Engine, error) {
	engine := &Engine{
		fabric: fabric, id: id, zone: zones[0], address: fabric.system.endpointAddress(100 + index),
		born: time.Now().UnixMilli(), next: index, stop: make(chan struct{}), wake: make(chan struct{}, 1),
	}
	socket, err := listenShort(engine.address)
	if err != nil {
		return nil, err
	}
	engine.listener = &stoppableListener{Listener: socket, held: make(chan struct{}), closed: make(chan struct{})}
	engine.server = &http.Server{Handler: http.HandlerFunc(engine.serve)}
	fabric.mutex.Lock()
	fabric.engines = append(fabric.engines, engine)
	fabric.mutex.Unlock()
	go func() { _ = engine.server.Serve(engine.listener) }()
	go engine.beat()
	return engine, nil
}

// Cut partitions an engine: no heartbeat of it arrives, and connections to it hang.
func (engine *Engine) Cut() {
	engine.fabric.mutex.Lock()
	engine.cut = true
	engine.fabric.mutex.Unlock()
	close(engine.listener.held)
	for range 8 {
		connection, err := net.DialTimeout("tcp", engine.address, 200*time.Millisecond)
		if err != nil {
			return
		}
		engine.fill = append(engine.fill, connection)
	}
}

// Close ends all engines.
func (fabric *Fabric) Close() {
	for _, engine := range fabric.engines {
		close(engine.stop)
		_ = engine.server.Close()
		for _, connection := range engine.fill {
			_ = connection.Close()
		}
	}
}

func (engine *Engine) serve(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	if request.Method == http.MethodPost && request.URL.Path == wire("order_path") {
		engine.serveOrder(writer, body)
		return
	}
	// No client of the cases calls a model engine.
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	writer.Header().Set("Instance-Id", engine.id)
	writer.WriteHeader(http.StatusMisdirectedRequest)
}

func (engine *Engine) serveOrder(writer http.ResponseWriter, body []byte) {
	var decoded order
	if json.Unmarshal(body, &decoded) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	engine.fabric.mutex.Lock()
	status := engine.carryOut(&decoded)
	engine.fabric.mutex.Unlock()
	engine.fabric.system.record.Printf("engine %s: order %s, group %s, epoch %d, members %v: %d", engine.id, decoded.Operation, decoded.Group, decoded.Epoch, decoded.Members, status)
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, "{}")
}

// carryOut carries out an order and returns the status. The caller holds the mutex, as for all below.
func (engine *Engine) carryOut(order *order) int {
	if order.FencingToken != nil {
		if *order.FencingToken < engine.fence {
			return http.StatusPreconditionFailed
		}
		engine.fence = *order.FencingToken
	}
	same := order.Group == engine.group && order.Epoch == engine.epoch && engine.state != ""
	switch order.Operation {
	case "join":
		if order.Epoch < engine.epoch || (same && !slices.Equal(order.Members, engine.members)) {
			return http.StatusPreconditionFailed
		}
		engine.join(order, same)
		return http.StatusAccepted
	case "open":
		if !same || engine.state != "ready" || engine.members[0] != engine.id {
			return http.StatusConflict
		}
		engine.later(formTime, "open")
		return http.StatusAccepted
	case "close":
		if !same || engine.state != "open" {
			return http.StatusConflict
		}
		engine.set("ready")
		return http.StatusOK
	case "leave":
		if !same {
			return http.StatusConflict
		}
		engine.leaveGroup()
		engine.set("")
		return http.StatusOK
	case "stage":
		time.AfterFunc(loadTime, func() {
			engine.fabric.mutex.Lock()
			defer engine.fabric.mutex.Unlock()
			engine.staged = []string{order.Model}
		})
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

// join takes a join, and records it if it is to another group while the head of the engine's group serves.
func (engine *Engine) join(order *order, same bool) {
	if head := engine.head(); head != nil && !same && head.serves(time.Now()) {
		early := fmt.Sprintf("engine %s takes a join of group %s, epoch %d, while %s, the head of its group %s, epoch %d, is %s",
			engine.id, order.Group, order.Epoch, head.id, engine.group, engine.epoch, head.state)
		engine.fabric.early = append(engine.fabric.early, early)
		engine.fabric.system.record.Printf("%s", early)
	}
	engine.leaveGroup()
	takes := loadTime
	switch {
	case slices.Contains(engine.models, order.Model):
		takes = rejoinTime
	case slices.Contains(engine.staged, order.Model):
		takes = warmupTime
	}
	engine.group, engine.epoch, engine.members, engine.brokenAt = order.Group, order.Epoch, order.Members, time.Time{}
	engine.models, engine.staged = []string{order.Model}, []string{order.Model}
	engine.set("joining")
	engine.later(takes, "ready")
}

// head returns the head of the engine's group, if it is still in that group under the same epoch.
func (engine *Engine) head() *Engine {
	for _, head := range engine.fabric.engines {
		if engine.state != "" && head.id == engine.members[0] && head.group == engine.group && head.epoch == engine.epoch && head.state != "" {
			return head
		}
	}
	return nil
}

// serves reports whether a head is open, or stands still and isn't broken yet.
func (engine *Engine) serves(now time.Time) bool {
	return engine.state == "open" && (engine.brokenAt.IsZero() || now.Before(engine.brokenAt))
}

// leaveGroup makes the head of the engine's group stand still, and break a while later.
func (engine *Engine) leaveGroup() {
	head := engine.head()
	if head == nil || head == engine || !head.serves(time.Now()) || !head.brokenAt.IsZero() {
		return
	}
	head.brokenAt = time.Now().Add(stallTime)
	head.later(stallTime, "broken")
}

// set changes the state, and reports it at once.
func (engine *Engine) set(state string) {
	engine.state = state
	engine.changes++
	engine.fabric.system.record.Printf("engine %s, group %s, epoch %d: %q", engine.id, engine.group, engine.epoch, state)
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// later changes the state after a while, unless it has changed before.
func (engine *Engine) later(wait time.Duration, state string) {
	changes := engine.changes
	time.AfterFunc(wait, func() {
		engine.fabric.mutex.Lock()
		defer engine.fabric.mutex.Unlock()
		if engine.changes == changes {
			engine.set(state)
		}
	})
}

// heartbeat returns the body of the next heartbeat.
func (engine *Engine) heartbeat() []byte {
	engine.fabric.mutex.Lock()
	defer engine.fabric.mutex.Unlock()
	engine.sequence++
	models := []object{}
	for _, model := range engine.models {
		models = append(models, object{"name": model, "version": 1, "adapters": []string{}})
	}
	fields := object{
		"service": "pool", "address": engine.address, "zone": engine.zone, "version": "v1", "slots": 17, "state": "ready", wire("cold"): 0, "stage": "both",
		"models": models, "staged": append([]string{}, engine.staged...), "domain": "fabric-0", "sequence": engine.sequence, "born": engine.born,
	}
	if engine.state != "" {
		fields["group"] = object{"name": engine.group, "epoch": engine.epoch, "rank": slices.Index(engine.members, engine.id), "state": engine.state}
	}
	body, _ := json.Marshal(fields)
	return body
}

// send sends a heartbeat to one control node after another until one acknowledges it.
func (engine *Engine) send(body []byte) bool {
	cores := engine.fabric.system.cores
	for range cores {
		core := cores[engine.next%len(cores)]
		got, err := exchange(core.control(), post(heartbeatPath(engine.id), body), time.Second)
		if err == nil && got.status/100 == 2 {
			return true
		}
		engine.next++
	}
	return false
}

// beat sends heartbeats, also at once after a change.
func (engine *Engine) beat() {
	for {
		engine.fabric.mutex.Lock()
		cut := engine.cut
		engine.fabric.mutex.Unlock()
		if !cut {
			engine.send(engine.heartbeat())
		}
		select {
		case <-engine.stop:
			return
		case <-engine.wake:
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// stateOf returns the state of an engine's group membership.
func (engine *Engine) stateOf() (state string, members []string) {
	engine.fabric.mutex.Lock()
	defer engine.fabric.mutex.Unlock()
	return engine.state, engine.members
}

// poolConfiguration returns a configuration with a service of engines, whose model needs two of them.
func poolConfiguration(version int) object {
	configuration := deskConfiguration(version, "/desk/", "unsafe", object{
		"name": "r-pool", "host": "desk.example", "path_prefix": "/pool/", "kind": "streaming", "timeout_ms": 6000, wire("target"): 300, wire("gap"): 200,
		"priority": 1, "service": "pool", "attempts": 2, wire("anonymous"): true, "session_affinity": true, "resumable": true,
	})
	configuration["services"] = append(configuration["services"].([]object), object{
		"name": "pool", "health_path": "/health", "connection_limit": 288, "protocol": "h1", "tls": false, "engine": object{
			"slots": 17, "kv_capacity_tokens": 1860000, "kv_token_bytes": 96256, "link_mbps": 400000.0, "stride": 5,
			"models":  []object{{"name": "rada7437b5", "size": 2, "share": 1.0, "pace": 0.6, "load_s": 12.0, "warmup_s": 1.1}},
			"step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0,
			"loads_per_s": 5.0, "loads_at_once": 7, "usual": object{"prompt": 979, "answer": 154}, "retention_count": 1, "far_x": 2.5, "form_ms": 300.0,
		},
	})
	return configuration
}
