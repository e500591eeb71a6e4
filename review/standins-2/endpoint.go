package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Endpoint is the stand-in of a server of the plain service.
type Endpoint struct {
	system  *System
	id      string
	zone    string
	address string
	born    int64
	// handle replaces the usual answer.
	handle func(writer http.ResponseWriter, request *http.Request)

	mutex    sync.Mutex
	sequence int
	state    string
	silent   bool
	next     int
	runs     []endpointRun
	server   *http.Server
	stop     chan struct{}
}

// endpointRun is one request that the endpoint ran.
type endpointRun struct {
	at                   time.Time
	id, method, uri, key string
	body                 string
}

// NewEndpoint starts to serve at the address of an index, without heartbeats.
func NewEndpoint(system *System, index int, id string) (*Endpoint, error) {
	endpoint := &Endpoint{system: system, id: id, zone: zones[index%len(zones)], address: system.endpointAddress(index), born: time.Now().UnixMilli(), state: "ready", stop: make(chan struct{})}
	socket, err := net.Listen("tcp", endpoint.address)
	if err != nil {
		return nil, err
	}
	endpoint.server = &http.Server{Handler: http.HandlerFunc(endpoint.serve)}
	go func() { _ = endpoint.server.Serve(socket) }()
	return endpoint, nil
}

func (endpoint *Endpoint) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if request.URL.Path == "/health" && id == "" {
		writer.Header().Set("Instance-Id", endpoint.id)
		writer.WriteHeader(http.StatusOK)
		return
	}
	if expected := request.Header.Get(wire("expected")); expected != "" && expected != endpoint.id {
		writer.Header().Set("Instance-Id", endpoint.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	endpoint.note(endpointRun{at: time.Now(), id: id, method: request.Method, uri: request.RequestURI, key: request.Header.Get("Authorization"), body: string(body)})
	if endpoint.handle != nil {
		endpoint.handle(writer, request)
		return
	}
	writer.Header().Set(wire("seal"), "seal-"+id)
	_, _ = io.WriteString(writer, "done "+id+"\n")
}

func (endpoint *Endpoint) note(run endpointRun) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.runs = append(endpoint.runs, run)
	endpoint.system.record.Printf("server %s runs %s: %s %s", endpoint.id, run.id, run.method, run.uri)
}

// Runs returns what the endpoint has run.
func (endpoint *Endpoint) Runs() []endpointRun {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return append([]endpointRun{}, endpoint.runs...)
}

// heartbeatPath returns the path of the heartbeats of an instance.
func heartbeatPath(id string) string { return wire("instances_path") + id + "/heartbeat" }

// heartbeat returns the body of the next heartbeat.
func (endpoint *Endpoint) heartbeat() []byte {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.sequence++
	body, _ := json.Marshal(object{
		"service": "order-desk", "address": endpoint.address, "zone": endpoint.zone, "version": "v1", "slots": 6, "state": endpoint.state,
		wire("cold"): 0, "sequence": endpoint.sequence, "born": endpoint.born,
	})
	return body
}

// call sends a call to one control node after another until one acknowledges it.
func (endpoint *Endpoint) call(path string, body []byte, most time.Duration) (string, bool) {
	until := time.Now().Add(most)
	for time.Now().Before(until) {
		endpoint.mutex.Lock()
		core := endpoint.system.cores[endpoint.next%len(endpoint.system.cores)]
		endpoint.mutex.Unlock()
		got, err := exchange(core.control(), post(path, body), time.Second)
		if err == nil && got.status/100 == 2 {
			return core.name, true
		}
		endpoint.mutex.Lock()
		endpoint.next++
		endpoint.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	return "", false
}

// Beat sends heartbeats until the endpoint is closed or silent.
func (endpoint *Endpoint) Beat() {
	for {
		endpoint.mutex.Lock()
		silent := endpoint.silent
		endpoint.mutex.Unlock()
		if !silent {
			endpoint.call(heartbeatPath(endpoint.id), endpoint.heartbeat(), 1100*time.Millisecond)
		}
		select {
		case <-endpoint.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// Leave announces the departure, after which no heartbeat is sent.
func (endpoint *Endpoint) Leave(most time.Duration) bool {
	endpoint.mutex.Lock()
	endpoint.silent = true
	endpoint.mutex.Unlock()
	body, _ := json.Marshal(object{"born": endpoint.born})
	core, ok := endpoint.call(wire("instances_path")+endpoint.id+"/leave", body, most)
	endpoint.system.record.Printf("server %s: leave acknowledged: %v by %s", endpoint.id, ok, core)
	return ok
}

// Close ends the endpoint.
func (endpoint *Endpoint) Close() {
	close(endpoint.stop)
	_ = endpoint.server.Close()
}

// String names the endpoint.
func (endpoint *Endpoint) String() string {
	return fmt.Sprintf("%s at %s", endpoint.id, endpoint.address)
}
