package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// order is the body of an order.
type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Fence     uint64   `json:"fencing_token"`
}

// changed makes the engine announce itself at once. The caller holds the mutex.
func (engine *engine) changed() {
	select {
	case engine.kick <- struct{}{}:
	default:
	}
}

// announce sends heartbeats until the run or the engine ends.
func (engine *engine) announce() {
	for {
		if engine.fabric.ctx.Err() != nil || !engine.beat() {
			return
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-engine.kick:
		case <-engine.fabric.ctx.Done():
			return
		}
	}
}

// beat sends one heartbeat, to one control host after another. It returns false for an engine that has ended.
func (engine *engine) beat() bool {
	fabric := engine.fabric
	fabric.mutex.Lock()
	if engine.dead || engine.silent {
		fabric.mutex.Unlock()
		return false
	}
	engine.sequence++
	body, sequence := engine.heartbeat(), engine.sequence
	fabric.mutex.Unlock()
	for attempt := range len(fabric.cluster.controls) {
		control := fabric.cluster.controls[(engine.index+attempt)%len(fabric.cluster.controls)]
		status, _ := fabric.cluster.call(control, http.MethodPost, fabric.cluster.names.InstancesPath+engine.id+"/heartbeat", body)
		if status >= 200 && status < 300 {
			if attempt > 0 {
				fabric.cluster.record.add("heartbeat_moved", "id", engine.id, "sequence", sequence, "to", control.name)
			}
			return true
		}
	}
	fabric.cluster.record.add("heartbeat_unanswered", "id", engine.id, "sequence", sequence)
	return true
}

// firstBeat returns the body of the first heartbeat of an engine that doesn't announce itself.
func (engine *engine) firstBeat() []byte {
	engine.fabric.mutex.Lock()
	defer engine.fabric.mutex.Unlock()
	engine.sequence = 1
	return engine.heartbeat()
}

// heartbeat returns the body of a heartbeat. The caller holds the mutex.
func (engine *engine) heartbeat() []byte {
	body := map[string]any{
		"service": engine.service, "address": engine.address, "zone": engine.zone, "version": "v1", "slots": slots, "state": engine.state,
		engine.fabric.cluster.names.ColdLeft: 0, "sequence": engine.sequence, "born": engine.born,
	}
	if engine.domain != "" {
		engine.addState(body)
	} else {
		body["slots"] = 6
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return data
}

// addState adds what only model engines say of themselves.
func (engine *engine) addState(body map[string]any) {
	models := []map[string]any{}
	if engine.group != nil && engine.group.state != "joining" {
		models = append(models, map[string]any{"name": engine.group.model, "version": 1, "adapters": []string{}})
	}
	staged := engine.staged
	if staged == nil {
		staged = []string{}
	}
	body["stage"], body["models"], body["domain"], body["staged"] = "both", models, engine.domain, staged
	if group := engine.group; group != nil {
		body["group"] = map[string]any{"name": group.name, "epoch": group.epoch, "rank": slices.Index(group.members, engine.id), "state": group.state}
	}
}

// ServeHTTP serves requests, orders, reports and health checks.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	names := &engine.fabric.cluster.names
	if expected := request.Header.Get(names.Expected); expected != "" && expected != engine.id {
		writer.Header().Set(names.RequestID, request.Header.Get(names.RequestID))
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == names.OrderPath:
		engine.serveOrder(writer, request)
	case request.URL.Path == "/health":
		writer.Header().Set(names.Instance, engine.id)
		writer.WriteHeader(http.StatusOK)
	case request.URL.Path == names.ReportPath:
		engine.fabric.mutex.Lock()
		body := map[string]any{"sequence": engine.orders, "busy": false, "queued": 0, "active": 0}
		engine.addState(body)
		engine.fabric.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(body)
	default:
		engine.serveRequest(writer, request)
	}
}

// serveOrder carries out an order.
func (engine *engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(request.Body)
	var given order
	if err != nil || json.Unmarshal(data, &given) != nil || engine.domain == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	fabric := engine.fabric
	fabric.mutex.Lock()
	status := engine.carryOut(&given)
	fabric.cluster.record.add("order", "engine", engine.id, "operation", given.Operation, "group", given.Group, "epoch", given.Epoch, "members", given.Members, "fence", given.Fence, "status", status)
	fabric.mutex.Unlock()
	writer.WriteHeader(status)
}

// carryOut carries out an order and returns the status of its answer. The caller holds the mutex, as for all below.
func (engine *engine) carryOut(given *order) int {
	if engine.dead {
		return http.StatusServiceUnavailable
	}
	if given.Fence < engine.fence {
		return http.StatusPreconditionFailed
	}
	engine.fence = given.Fence
	switch given.Operation {
	case "join":
		return engine.join(given)
	case "open":
		return engine.open(given)
	case "close":
		return engine.closeGroup(given)
	case "leave":
		if !engine.group.is(given.Group, given.Epoch) {
			return http.StatusOK
		}
		engine.orders++
		engine.fabric.leave(engine)
		engine.changed()
		return http.StatusOK
	case "stage":
		return engine.stage(given.Model)
	default:
		return http.StatusBadRequest
	}
}

func (engine *engine) join(given *order) int {
	if !slices.Contains(given.Members, engine.id) {
		return http.StatusBadRequest
	}
	old := engine.group
	switch {
	case given.Epoch < engine.maxEpoch:
		return http.StatusPreconditionFailed
	case old.is(given.Group, given.Epoch) && slices.Equal(old.members, given.Members):
		return http.StatusOK
	case old.is(given.Group, given.Epoch):
		return http.StatusPreconditionFailed
	}
	if old != nil && old.name != given.Group {
		if head := engine.fabric.head(old); head != nil && head.group.serves() {
			engine.fabric.breaks("TWO", fmt.Sprintf("%s takes the join of %s, while the head %s of its group %s is %s", engine.id, given.Group, head.id, old.name, head.group.state))
		}
	}
	engine.fabric.leave(engine)
	engine.orders++
	engine.maxEpoch = given.Epoch
	joinTime := earlyLoadTime
	switch {
	case engine.lastModel == given.Model:
		joinTime = rejoinTime
	case slices.Contains(engine.staged, given.Model):
		joinTime = warmUpTime
	}
	joined := &membership{name: given.Group, epoch: given.Epoch, members: given.Members, model: given.Model, state: "joining"}
	engine.group, engine.lastModel = joined, given.Model
	engine.changed()
	time.AfterFunc(joinTime, func() {
		engine.fabric.mutex.Lock()
		defer engine.fabric.mutex.Unlock()
		engine.staged = []string{given.Model}
		if engine.group == joined {
			joined.state = "ready"
			engine.changed()
		}
	})
	return http.StatusAccepted
}

func (engine *engine) open(given *order) int {
	group := engine.group
	switch {
	case !group.is(given.Group, given.Epoch) || group.members[0] != engine.id:
		return http.StatusConflict
	case group.state == "open":
		return http.StatusOK
	case group.state != "ready":
		return http.StatusConflict
	}
	engine.orders++
	time.AfterFunc(openTime, func() {
		engine.fabric.mutex.Lock()
		defer engine.fabric.mutex.Unlock()
		if engine.group == group && group.state == "ready" {
			group.state = "open"
			engine.fabric.cluster.record.add("open", "engine", engine.id, "group", group.name)
			engine.changed()
		}
	})
	return http.StatusAccepted
}

func (engine *engine) closeGroup(given *order) int {
	group := engine.group
	if !group.is(given.Group, given.Epoch) || !group.serves() {
		return http.StatusConflict
	}
	engine.orders++
	group.state = "closing"
	engine.changed()
	time.AfterFunc(time.Second, func() {
		engine.fabric.mutex.Lock()
		defer engine.fabric.mutex.Unlock()
		if engine.group == group && group.state == "closing" {
			group.state = "ready"
			engine.changed()
		}
	})
	return http.StatusAccepted
}

func (engine *engine) stage(model string) int {
	if slices.Contains(engine.staged, model) {
		return http.StatusOK
	}
	engine.orders++
	time.AfterFunc(earlyLoadTime, func() {
		engine.fabric.mutex.Lock()
		defer engine.fabric.mutex.Unlock()
		engine.staged = []string{model}
		engine.changed()
	})
	return http.StatusAccepted
}

// serveRequest runs a client's request.
func (engine *engine) serveRequest(writer http.ResponseWriter, request *http.Request) {
	fabric, names := engine.fabric, &engine.fabric.cluster.names
	id := request.Header.Get(names.RequestID)
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	header := writer.Header()
	header.Set(names.RequestID, id)
	fabric.mutex.Lock()
	open := engine.domain == "" || engine.group != nil && engine.group.members[0] == engine.id && engine.group.state == "open"
	if open && !engine.dead {
		fabric.runs[id]++
		fabric.lastRun[id] = engine.id
	}
	runs := fabric.runs[id]
	fabric.mutex.Unlock()
	if !open || engine.dead {
		header.Set(names.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fabric.cluster.record.add("run", "engine", engine.id, "request", id, "runs", runs, "body_bytes", len(body))
	header.Set(names.Seal, "3e1b."+id)
	if engine.domain == "" {
		time.Sleep(15 * time.Millisecond)
		_, _ = io.WriteString(writer, "done "+id)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	from := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		from = last
	}
	for event := from + 1; event <= 20; event++ {
		if request.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: part %d of %s\n\n", event, event, id)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(40 * time.Millisecond)
	}
}
