package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobline.dev/caroblined/connection/entryapi"
	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/node"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/loopback"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

const (
	controlHosts, entryHosts, engineCount = 3, 4, 24
	// restartTime is how long an engine that has ended is away.
	restartTime = 1500 * time.Millisecond
	// crashWindow is how long after the ended engines of sendBounds requests may still reach
	// engines.
	crashWindow = 3 * time.Second
	// loadTime is how long requests with the part come, one each badInterval; sound ones come
	// one each soundInterval.
	loadTime      = 10 * time.Second
	badInterval   = 50 * time.Millisecond
	soundInterval = 20 * time.Millisecond
	badPart       = "bad0"
)

// sendBounds are the operators' bounds on what reaches engines: late sends after crashWindow,
// which begins with an ended engine, and soon ones within it.
type sendBounds struct {
	crashes, soon, late int
}

var (
	partBounds    = sendBounds{crashes: 5, soon: math.MaxInt, late: 3}
	requestBounds = sendBounds{crashes: 3, soon: 3, late: 0}
)

// poolSystem is several entry hosts and control hosts in front of one pool of engines. An
// engine ends as it begins an answer on badPart.
type poolSystem struct {
	t       *testing.T
	entries []string
	loops   []*control.Control
	nodes   sync.WaitGroup
	// proxied makes the addresses of engines that have ended accept connections, which
	// are closed without an answer.
	proxied bool
	// syncs are those of the control hosts.
	syncs syncTimes

	mutex   sync.Mutex
	engines []*poolEngine
	// crashedAt and badArrivals are when engines ended, and when requests with badPart
	// reached one.
	crashedAt, badArrivals []time.Time
}

// poolEngine is one engine of the pool.
type poolEngine struct {
	system      *poolSystem
	name        id.Host
	address     string
	incarnation id.Incarnation
	// server is nil while the engine is away.
	server *http.Server
	// away is set instead while an engine is away whose address goes on accepting connections.
	away bool
}

func newPoolSystem(t *testing.T, proxied bool) *poolSystem {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	system := &poolSystem{t: t, proxied: proxied}
	t.Cleanup(func() {
		stop()
		system.nodes.Wait()
	})
	addresses := loopback.ClaimFor(t)
	var seeds []string
	for number := range controlHosts {
		seeds = append(seeds, addresses.Address(number, 1))
	}
	loops := make(chan *control.Control, controlHosts)
	for number := range controlHosts + entryHosts {
		config := node.Config{
			PeerAddress: addresses.Address(number, 1), ReadSeeds: func() ([]string, error) { return seeds, nil }, TargetVoters: controlHosts, Disk: system.syncs.disk(),
			GracePeriod: gracePeriod, Log: zerolog.Nop(),
		}
		if number < controlHosts {
			config.Control = &node.Control{
				Address: addresses.Address(number, 2), DataFolder: t.TempDir(), Founder: true,
				Handler: func(loop *control.Control, _ rest.Intake) http.Handler {
					loops <- loop
					return http.NotFoundHandler()
				},
			}
		} else {
			config.Entry = &node.Entry{Address: addresses.Address(number, 0), ReadyAddress: addresses.Address(number, 2), ReadyPath: "/ready", Dialect: poolDialect, SavedRetries: 30}
			system.entries = append(system.entries, config.Entry.Address)
		}
		system.start(ctx, config)
	}
	for range controlHosts {
		system.loops = append(system.loops, <-loops)
	}
	for number := range engineCount {
		system.engines = append(system.engines, &poolEngine{system: system, name: id.Host(fmt.Sprintf("engine-%d", number)), address: addresses.Address(controlHosts+entryHosts+number, 1)})
	}
	for _, engine := range system.engines {
		engine.start()
	}
	system.announceAll()
	system.declare()
	return system
}

var poolDialect = entryapi.Dialect{
	RequestID: "Call-Id", TimeLeftMS: "Left-Ms", ExpectedHost: "For-Host", ClientAccount: "Customer", Model: "Model", PromptParts: "Parts",
	NotRun: "Not-Run", Leaving: "Leaving", EndpointMark: "Mark", LastEventID: "Last-Event-Id", TokenScheme: "Token",
}

// start runs a node until ctx ends.
func (system *poolSystem) start(ctx context.Context, config node.Config) {
	started, err := node.New(config)
	if err != nil {
		system.t.Fatal(err)
	}
	system.nodes.Go(func() {
		if err := started.Run(ctx, nil); err != nil {
			system.t.Error(err)
		}
	})
}

// declare puts a declaration with one streaming route in force at all entry hosts.
func (system *poolSystem) declare() {
	declaration := routing.Declaration{
		Revision: 1, Services: []routing.Service{{Name: "pool"}},
		Routes: []routing.Route{{
			Name: "draft", Host: "shop.example", PathPrefix: "/draft/", Repeat: routing.RepeatStream, Resumable: true, Anonymous: true,
			TimeoutMS: 6000, TargetMS: 1000, PauseMS: 300, Attempts: 2, Backends: []routing.Backend{{Service: "pool", Weight: 1}},
		}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	command := register.Command{Change: "declare-1", Actor: "operator", Declare: &register.Declare{Declaration: declaration}}
	for {
		outcome, err := system.loops[0].Propose(ctx, peers.Proposal{Command: command})
		if err == nil && outcome.Result != nil && outcome.Result.Verdict != register.VerdictRefused {
			break
		}
		if ctx.Err() != nil {
			system.t.Fatalf("declare: %+v, %v", outcome, err)
		}
	}
	for _, entry := range system.entries {
		for !system.send(entry, "warm-up", "common,own") {
			if ctx.Err() != nil {
				system.t.Fatalf("%s doesn't serve", entry)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// announceAll announces each engine that runs, until the end of the test.
func (system *poolSystem) announceAll() {
	ctx, stop := context.WithCancel(context.Background())
	var announcer sync.WaitGroup
	announcer.Go(func() {
		for sequence := uint64(1); ctx.Err() == nil; sequence++ {
			for number, engine := range system.engines {
				if incarnation := engine.running(); incarnation > 0 {
					// Fails while the node has no leader yet, and once it is closed.
					_ = system.loops[number%len(system.loops)].AnnounceWithoutEcho(ctx, roster.Announcement{
						Host: engine.name, Incarnation: incarnation, Sequence: sequence, Service: "pool", Address: engine.address,
						Load: roster.Load{Slots: 8}, LeaseMS: 5000,
					})
				}
			}
			select {
			case <-ctx.Done():
			case <-time.After(announceInterval):
			}
		}
	})
	system.t.Cleanup(func() {
		stop()
		announcer.Wait()
		for _, engine := range system.engines {
			engine.end()
		}
	})
}

// running returns the engine's incarnation, or 0 while it is away.
func (engine *poolEngine) running() id.Incarnation {
	engine.system.mutex.Lock()
	defer engine.system.mutex.Unlock()
	if engine.server == nil || engine.away {
		return 0
	}
	return engine.incarnation
}

func (engine *poolEngine) start() {
	listener, err := net.Listen("tcp", engine.address)
	if err != nil {
		engine.system.t.Error(err)
		return
	}
	server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	engine.system.mutex.Lock()
	engine.server = server
	engine.incarnation++
	engine.system.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// end closes all that the engine has open. It reports whether the engine was running.
func (engine *poolEngine) end() bool {
	engine.system.mutex.Lock()
	server := engine.server
	engine.server = nil
	engine.system.mutex.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	return true
}

// crash ends the engine, which is back after restartTime.
func (engine *poolEngine) crash() {
	ended, restart := engine.end, engine.start
	if engine.system.proxied {
		ended, restart = engine.leave, engine.comeBack
	}
	if !ended() {
		return
	}
	engine.system.mutex.Lock()
	engine.system.crashedAt = append(engine.system.crashedAt, time.Now())
	engine.system.mutex.Unlock()
	time.AfterFunc(restartTime, restart)
}

// leave ends the engine behind an address that goes on accepting connections.
func (engine *poolEngine) leave() bool {
	engine.system.mutex.Lock()
	defer engine.system.mutex.Unlock()
	left := !engine.away
	engine.away = true
	return left
}

func (engine *poolEngine) comeBack() {
	engine.system.mutex.Lock()
	defer engine.system.mutex.Unlock()
	engine.away = false
	engine.incarnation++
}

// abortUnless closes the connection of a request that was at another incarnation.
func (engine *poolEngine) abortUnless(incarnation id.Incarnation) {
	if engine.running() != incarnation {
		panic(http.ErrAbortHandler)
	}
}

// ServeHTTP answers with three events, or ends the engine.
func (engine *poolEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	const work, eventInterval = 30 * time.Millisecond, 20 * time.Millisecond
	bad := slices.Contains(strings.Split(request.Header.Get("Parts"), ","), badPart)
	if bad {
		engine.system.mutex.Lock()
		engine.system.badArrivals = append(engine.system.badArrivals, time.Now())
		engine.system.mutex.Unlock()
	}
	incarnation := engine.running()
	if incarnation == 0 {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Call-Id", request.Header.Get("Call-Id"))
	writer.Header().Set("Mark", "m")
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	_ = controller.Flush()
	time.Sleep(work)
	if bad {
		engine.crash()
		panic(http.ErrAbortHandler)
	}
	for number := range 3 {
		engine.abortUnless(incarnation)
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: x\n\n", number+1)
		_ = controller.Flush()
		time.Sleep(eventInterval)
	}
}

// send sends a request to an entry host and reports whether its answer has begun.
func (system *poolSystem) send(entry, name, parts string) bool {
	connection, err := net.DialTimeout("tcp", entry, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(6 * time.Second))
	request := fmt.Sprintf("POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nCall-Id: %s\r\nLeft-Ms: 6000\r\nParts: %s\r\nContent-Length: 0\r\n\r\n", name, parts)
	if _, err := io.WriteString(connection, request); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadFull(response.Body, make([]byte, 1))
	return err == nil && response.StatusCode == http.StatusOK
}

// sent is one request of a caller.
type sent struct {
	at    time.Time
	begun bool
}

// load sends a request each interval, to one entry host after the other, for loadTime. Each has the parts that parts returns.
func (system *poolSystem) load(interval time.Duration, parts func(number int) string) []*sent {
	var all []*sent
	var ended sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number, from := 0, time.Now(); time.Since(from) < loadTime; number++ {
		request := &sent{at: time.Now()}
		all = append(all, request)
		ended.Go(func() {
			request.begun = system.send(system.entries[number%entryHosts], fmt.Sprintf("%s-%d", interval, number), parts(number))
		})
		<-ticker.C
	}
	ended.Wait()
	return all
}

// The places of badPart among the parts of a request, with a number of its own twice.
const (
	badPartBetween = "common,topic%d," + badPart + ",own%d"
	badPartInFront = badPart + ",common,topic%d,own%d"
)

// Guards against a request that ends each engine which begins its answer, and that is sent to
// engine after engine by all entry hosts, until the sound requests find none (BUDGET and LOST).
func TestPartThatEndsEnginesReachesNoMore(t *testing.T) {
	for name, badParts := range map[string]string{"between": badPartBetween, "in front": badPartInFront} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newPoolSystem(t, false).checkPartThatEndsEngines(badParts)
		})
	}
}

// Guards against the same where the address of an engine that has ended goes on accepting connections, as behind a proxy.
func TestPartThatEndsEnginesBehindAProxyReachesNoMore(t *testing.T) {
	t.Parallel()
	newPoolSystem(t, true).checkPartThatEndsEngines(badPartBetween)
}

// Guards against a request that its client sends again under new ids, at other entry hosts, and that ends
// two engines each time: what it shares with others is proven by them (BUDGET).
func TestRequestThatEndsEnginesReachesNoMore(t *testing.T) {
	t.Parallel()
	newPoolSystem(t, false).checkLoad(400*time.Millisecond, func(int) string { return "common,topic1," + badPart }, requestBounds)
}

// checkPartThatEndsEngines sends requests with badPart beside sound ones, and checks what becomes of both.
func (system *poolSystem) checkPartThatEndsEngines(badParts string) {
	system.t.Helper()
	system.checkLoad(badInterval, func(number int) string { return fmt.Sprintf(badParts, number%7, number) }, partBounds)
}

// checkLoad sends requests with the bad parts, one each interval, beside sound ones.
func (system *poolSystem) checkLoad(interval time.Duration, badParts func(number int) string, allowed sendBounds) {
	system.t.Helper()
	var sound []*sent
	var load sync.WaitGroup
	load.Go(func() {
		sound = system.load(soundInterval, func(number int) string { return fmt.Sprintf("common,topic%d,sound%d", number%7, number) })
	})
	system.load(interval, badParts)
	load.Wait()
	system.checkRequests(sound, allowed)
}

// checkRequests checks what reached engines after so many had ended, and what became of the
// sound requests.
func (system *poolSystem) checkRequests(sound []*sent, allowed sendBounds) {
	system.t.Helper()
	if len(system.crashedAt) == 0 {
		system.t.Fatal("no engine ended")
	}
	last := system.crashedAt[min(allowed.crashes, len(system.crashedAt))-1]
	soon, late := 0, 0
	for _, at := range system.badArrivals {
		switch after := at.Sub(last); {
		case after > crashWindow:
			late++
		case after > 0:
			soon++
		}
	}
	count, begun := 0, 0
	for _, request := range sound {
		if request.at.Sub(last) > 2*crashWindow {
			count++
			if request.begun {
				begun++
			}
		}
	}
	system.t.Logf("the longest sync of a control host took %v", system.syncs.longest())
	system.t.Logf("%d engines ended, %d requests with the part reached one, %d of them soon after engine %d, %d late; of %d sound ones %d began", len(system.crashedAt), len(system.badArrivals), soon, allowed.crashes, late, count, begun)
	if late > allowed.late || soon > allowed.soon {
		system.t.Errorf("%d bad requests reached engines within %v after engine %d had ended and %d later, want at most %d and %d", soon, crashWindow, allowed.crashes, late, allowed.soon, allowed.late)
	}
	if count < 20 || 2*begun < count {
		system.t.Errorf("of %d sound requests %d began, want at least half of 20 or more", count, begun)
	}
}
