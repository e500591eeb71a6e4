package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// rejoinTime is what an engine takes to join a group with the model in memory, warmUpTime with it on its host,
	// and earlyLoadTime with a load before the first request. openTime is what a head takes to open its group.
	rejoinTime    = 200 * time.Millisecond
	warmUpTime    = 1100 * time.Millisecond
	earlyLoadTime = 1200 * time.Millisecond
	openTime      = 300 * time.Millisecond
	// stallTime is how long a head that has lost a member stands still before it is broken.
	stallTime = 4 * time.Second
	slots     = 17
)

// membership is an engine's place in a group.
type membership struct {
	name    string
	epoch   uint64
	members []string
	model   string
	// state is joining, ready, open, closing or broken.
	state string
	// lost is set once a head has lost a member, until it is broken.
	lost bool
}

func (membership *membership) is(name string, epoch uint64) bool {
	return membership != nil && membership.name == name && membership.epoch == epoch
}

// serves reports whether a head is open or closing, or stands still and isn't broken yet.
func (membership *membership) serves() bool {
	return membership.state == "open" || membership.state == "closing"
}

// fabric is all engines and services of a run, and what they have seen. Its mutex guards the engines' state.
type fabric struct {
	cluster *cluster
	ctx     context.Context //nolint:containedctx // bounds the run

	mutex   sync.Mutex
	engines []*engine
	// broken are the breaks of a rule that the engines have seen.
	broken []string
	// runs counts the runs of each request, and lastRun is the engine of the last one.
	runs    map[string]int
	lastRun map[string]string
}

func newFabric(ctx context.Context, cluster *cluster) *fabric {
	return &fabric{cluster: cluster, ctx: ctx, runs: map[string]int{}, lastRun: map[string]string{}}
}

// engine is one engine, or one server of a plain service if it has no domain.
type engine struct {
	fabric  *fabric
	id      string
	address string
	zone    string
	domain  string
	service string
	born    int64
	index   int

	// The fabric's mutex guards the fields below.
	sequence  int
	staged    []string
	lastModel string
	group     *membership
	maxEpoch  uint64
	fence     uint64
	orders    int
	state     string
	dead      bool
	// silent is set for a server that has left: it serves on and sends no heartbeats.
	silent bool
	// kick makes the engine announce itself at once.
	kick   chan struct{}
	server *http.Server
}

// add starts an engine at a host of the network, or a server of a plain service if domain is empty.
func (fabric *fabric) add(host int, id, service, domain string) (*engine, error) {
	engine, err := fabric.serve(host, id, service, domain)
	if err != nil {
		return nil, err
	}
	go engine.announce()
	return engine, nil
}

// addSilent starts a server of a plain service whose heartbeats are left to the caller.
func (fabric *fabric) addSilent(host int, id, service string) (*engine, error) {
	return fabric.serve(host, id, service, "")
}

// crash ends an engine.
func (fabric *fabric) crash(engine *engine) {
	fabric.mutex.Lock()
	engine.dead = true
	fabric.mutex.Unlock()
	_ = engine.server.Close()
	fabric.cluster.record.add("crash", "id", engine.id, "born", engine.born)
}

// serve starts an engine without its heartbeats.
func (fabric *fabric) serve(host int, id, service, domain string) (*engine, error) {
	address := fabric.cluster.address(host, fabric.cluster.enginePort)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", id, err)
	}
	engine := &engine{
		fabric: fabric, id: id, address: address, zone: zones[host%len(zones)], domain: domain, service: service, born: time.Now().UnixMilli(),
		index: host, state: "ready", kick: make(chan struct{}, 1),
	}
	if domain != "" {
		engine.zone = zones[0]
	}
	engine.server = &http.Server{Handler: engine, ReadHeaderTimeout: 10 * time.Second}
	fabric.mutex.Lock()
	fabric.engines = append(fabric.engines, engine)
	fabric.mutex.Unlock()
	go func() { _ = engine.server.Serve(listener) }()
	fabric.cluster.record.add("engine", "id", id, "address", address, "service", service, "born", engine.born)
	return engine, nil
}

// find returns the live engine with an id. The caller holds the mutex, as for all below but breaks.
func (fabric *fabric) find(id string) *engine {
	index := slices.IndexFunc(fabric.engines, func(engine *engine) bool { return engine.id == id && !engine.dead })
	if index < 0 {
		return nil
	}
	return fabric.engines[index]
}

// head returns the engine that leads a group, if it is in it.
func (fabric *fabric) head(group *membership) *engine {
	head := fabric.find(group.members[0])
	if head == nil || !head.group.is(group.name, group.epoch) {
		return nil
	}
	return head
}

// leave takes an engine out of its group. The group's head stands still from then on.
func (fabric *fabric) leave(engine *engine) {
	group := engine.group
	engine.group = nil
	if group == nil {
		return
	}
	head := fabric.head(group)
	if head == nil || head.group.lost {
		return
	}
	held := head.group
	held.lost = true
	time.AfterFunc(stallTime, func() {
		fabric.mutex.Lock()
		defer fabric.mutex.Unlock()
		if head.group == held {
			held.state = "broken"
			fabric.cluster.record.add("broken_group", "engine", head.id, "group", held.name)
			head.changed()
		}
	})
}

// breaks records that a rule is broken.
func (fabric *fabric) breaks(rule, what string) {
	fabric.broken = append(fabric.broken, rule+": "+what)
	fabric.cluster.record.add("rule_broken", "rule", rule, "seen", what)
}

// runsOf returns how often a request has run.
func (fabric *fabric) runsOf(id string) int {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	return fabric.runs[id]
}

// ranAt returns the engine at which a request ran last, "" for none.
func (fabric *fabric) ranAt(id string) string {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	return fabric.lastRun[id]
}

// seen returns the breaks so far.
func (fabric *fabric) seen() []string {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	return slices.Clone(fabric.broken)
}

// openGroups returns the heads of the open groups.
func (fabric *fabric) openGroups() []*engine {
	fabric.mutex.Lock()
	defer fabric.mutex.Unlock()
	var heads []*engine
	for _, engine := range fabric.engines {
		if !engine.dead && engine.group != nil && engine.group.members[0] == engine.id && engine.group.state == "open" {
			heads = append(heads, engine)
		}
	}
	return heads
}

// close ends all engines.
func (fabric *fabric) close() {
	fabric.mutex.Lock()
	engines := slices.Clone(fabric.engines)
	fabric.mutex.Unlock()
	for _, engine := range engines {
		_ = engine.server.Close()
	}
}
