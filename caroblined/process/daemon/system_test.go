package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/daemon"
	"carobline.dev/caroblined/process/settings"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/placer"
	"carobline.dev/core/process/register"
	"carobline.dev/core/version/contract"
	"carobline.dev/fakeengine/process/announcer"
	"carobline.dev/fakeengine/process/engine"
)

const (
	modelName        = id.Model("pulp")
	serviceName      = id.Service("orders")
	announceInterval = 500 * time.Millisecond
)

// system is three nodes and some engine hosts on one pipeNetwork.
type system struct {
	t          testing.TB
	network    *pipeNetwork
	folder     string
	nodes      []*runningNode
	engines    []*engine.Engine
	service    *engine.Engine
	client     *http.Client
	stop       context.CancelFunc
	announcers sync.WaitGroup
	closers    []func()
	// memoryMB is what each node may use; zero stands for the default.
	memoryMB int64
	// log is that of the nodes that are started from now on.
	log zerolog.Logger
	// ended counts the engines that have ended under prompts with endingText.
	ended atomic.Int64
}

// runningNode is a node with the daemon that runs it.
type runningNode struct {
	settings settings.Settings
	daemon   *daemon.Daemon
	stop     context.CancelFunc
	stopped  chan struct{}
}

// newSystem starts three nodes, engine hosts that form pairs, and one order
// service, and waits until all of them serve.
func newSystem(t testing.TB, hosts int, change func(config *engine.Config)) *system {
	t.Helper()
	return newSystemOn(t, newPipeNetwork(), hosts, change)
}

// newSystemWithMemory is a system of two hosts whose nodes have so much memory.
func newSystemWithMemory(t testing.TB, memoryMB int64) *system {
	t.Helper()
	return startSystem(t, &system{t: t, network: newPipeNetwork(), memoryMB: memoryMB}, 2, nil)
}

func newSystemOn(t testing.TB, network *pipeNetwork, hosts int, change func(config *engine.Config)) *system {
	t.Helper()
	return startSystem(t, &system{t: t, network: network}, hosts, change)
}

func startSystem(t testing.TB, system *system, hosts int, change func(config *engine.Config)) *system {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	system.folder, system.stop, system.log = t.TempDir(), stop, zerolog.Nop()
	transport := &http.Transport{DialContext: system.network.dial}
	system.client = &http.Client{Transport: transport}
	system.closers = append(system.closers, transport.CloseIdleConnections)
	for index := range 3 {
		system.nodes = append(system.nodes, &runningNode{settings: system.settings(index)})
		system.start(index)
	}
	for index := range hosts {
		config := engine.Config{
			Host: id.Host(fmt.Sprintf("h%d", index)), DataCentre: "dc1", Domain: "fabric", Accelerators: 2, Models: []id.Model{modelName},
			ChecksFencing: true, Resumes: true, Slots: 4, Pace: 10 * time.Millisecond, LoadTime: 100 * time.Millisecond, Lease: 4 * time.Second,
		}
		if change != nil {
			change(&config)
		}
		system.engines = append(system.engines, system.startEngine(ctx, config))
	}
	system.service = system.startEngine(ctx, engine.Config{Host: "orders-1", Address: "127.0.0.1:60", DataCentre: "dc1", Service: serviceName, Slots: 16, Lease: 4 * time.Second})
	system.applyUntilInForce(testContract("acme", "acme-token"))
	system.waitUntil("all groups serve", func() bool {
		overview, err := system.operator().Status(context.Background())
		if err != nil || len(overview.Groups) != hosts/2 {
			return false
		}
		for _, group := range overview.Groups {
			if !group.Ready {
				return false
			}
		}
		return true
	})
	// Every node has the groups in its view once it has exchanged another feed
	// request with the leader.
	time.Sleep(time.Second)
	return system
}

func (system *system) settings(index int) settings.Settings {
	system.t.Helper()
	for _, name := range []string{"peer", "order"} {
		if err := os.WriteFile(filepath.Join(system.folder, name), []byte(name+"-token"), 0o600); err != nil {
			system.t.Fatal(err)
		}
	}
	nodeSettings := settings.Settings{
		Node: id.Node(fmt.Sprintf("n%d", index)), DataCentre: "dc1",
		Listen: settings.Listen{
			Callers: fmt.Sprintf("127.0.0.1:1%d", index), Hosts: fmt.Sprintf("127.0.0.1:2%d", index),
			Operators: fmt.Sprintf("127.0.0.1:3%d", index), Peers: fmt.Sprintf("127.0.0.1:4%d", index),
		},
		DataFolder: filepath.Join(system.folder, fmt.Sprint(index)), MaxLoadingGroups: 4,
		Models: []placer.Spec{{Model: modelName, HostsPerGroup: 2, Weight: 1}},
		Credentials: settings.Credentials{
			Operators:     []rest.Credential{{Name: "op", TokenSHA256: rest.HashToken("op-token")}},
			Announcers:    []rest.Credential{{Name: "hosts", TokenSHA256: rest.HashToken("host-token")}},
			PeerTokenFile: filepath.Join(system.folder, "peer"), OrderTokenFile: filepath.Join(system.folder, "order"),
		},
		LogLevel: "disabled", Limits: settings.Limits{MemoryMB: system.memoryMB},
	}
	for other := range 3 {
		nodeSettings.Peers = append(nodeSettings.Peers, settings.Peer{Node: id.Node(fmt.Sprintf("n%d", other)), Address: fmt.Sprintf("127.0.0.1:4%d", other), Voter: true})
	}
	data, err := json.Marshal(nodeSettings)
	if err != nil {
		system.t.Fatal(err)
	}
	checked, err := settings.Parse(data)
	if err != nil {
		system.t.Fatal(err)
	}
	return checked
}

func (system *system) start(index int) {
	system.t.Helper()
	node := system.nodes[index]
	started, err := daemon.New(node.settings, system.log, system.network.daemonNetwork())
	if err != nil {
		system.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	node.daemon, node.stop, node.stopped = started, stop, make(chan struct{})
	stopped := node.stopped
	go func() {
		defer close(stopped)
		if err := started.Run(ctx); err != nil {
			system.t.Errorf("node %s: %v", node.settings.Node, err)
		}
	}()
}

// kill closes a node without draining it.
func (system *system) kill(index int) {
	system.t.Helper()
	if err := system.nodes[index].daemon.Close(); err != nil {
		system.t.Errorf("kill: %v", err)
	}
}

func (system *system) startEngine(ctx context.Context, config engine.Config) *engine.Engine {
	system.t.Helper()
	if config.Address == "" {
		config.Address = "127.0.0.1:5" + fmt.Sprint(len(system.engines))
	}
	host := engine.New(config, time.Now)
	listener, err := system.network.listen(config.Address)
	if err != nil {
		system.t.Fatal(err)
	}
	server := &http.Server{Handler: system.endingOn(config.Address, host.Handler())}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{DialContext: system.network.dial}
	system.closers = append(system.closers, func() { _ = server.Close(); transport.CloseIdleConnections() })
	loop := announcer.New(announcer.Config{
		EntryURLs: []string{"http://127.0.0.1:20", "http://127.0.0.1:21", "http://127.0.0.1:22"},
		Client:    rest.NewClient(&http.Client{Transport: transport, Timeout: time.Second}, "host-token"), NextAnnouncement: host.Announcement, Now: time.Now,
	})
	system.announcers.Go(func() {
		for ctx.Err() == nil {
			_ = loop.AnnounceOnce(ctx) // fails when a node is down; the next round retries
			select {
			case <-ctx.Done():
			case <-time.After(announceInterval):
			}
		}
	})
	return host
}

// close stops everything. A leaked goroutine fails the test's synctest bubble.
func (system *system) close() {
	system.stop()
	system.announcers.Wait()
	for _, node := range system.nodes {
		node.stop()
		<-node.stopped
	}
	for _, closer := range system.closers {
		closer()
	}
}

func (system *system) operator() *operator.Client {
	return operator.New([]string{"http://127.0.0.1:30", "http://127.0.0.1:31", "http://127.0.0.1:32"}, rest.NewClient(system.client, "op-token"))
}

func testContract(clientAccount id.ClientAccount, token string) contract.Contract {
	return contract.Contract{
		ClientAccount: clientAccount, TokenSHA256: []string{rest.HashToken(token)}, Share: 1, Priority: contract.PriorityStandard,
		RequestsPerSecond: 1e6, TokensPerSecond: 1e9, Concurrency: 9000, QueuePlaces: 9000, DeadlineMS: 20_000, MaxTokens: 10_000,
		Models: []id.Model{modelName}, Services: []id.Service{serviceName},
		NonIdempotent: []contract.CallPattern{{Service: serviceName, Methods: []string{"POST"}, PathPrefix: "/bookings"}},
	}
}

func (system *system) applyUntilInForce(desired contract.Contract) {
	system.t.Helper()
	system.waitUntil("the contract is in force", func() bool {
		outcome, err := system.operator().Apply(context.Background(), operator.ApplyRequest{Change: id.Change("apply-" + string(desired.ClientAccount)), Contract: desired})
		return err == nil && outcome.Result != nil && outcome.InForce
	})
}

func (system *system) changeContract(desired contract.Contract, base id.Revision) {
	system.t.Helper()
	outcome, err := system.operator().Apply(context.Background(), operator.ApplyRequest{Change: "change-" + id.Change(desired.ClientAccount), Base: base, Contract: desired})
	if err != nil || outcome.Result.Verdict != register.VerdictDone {
		system.t.Errorf("change of contract: %+v, %v", outcome, err)
	}
}

func (system *system) waitUntil(condition string, holds func() bool) {
	system.t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	system.t.Fatalf("timed out after a minute of the test's time, waiting until %s", condition)
}

// reply is an answer to a caller. broken is set if the call failed or its body
// could not be read to the end.
type reply struct {
	status int
	header http.Header
	body   string
	broken bool
}

func (system *system) call(ctx context.Context, node int, method, path, token string, header map[string]string, body string) reply {
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://127.0.0.1:1%d%s", node, path), bytes.NewReader([]byte(body)))
	if err != nil {
		system.t.Error(err)
		return reply{broken: true}
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := system.client.Do(request)
	if err != nil {
		return reply{broken: true}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), broken: err != nil}
}

func (system *system) stream(node int, prompt string) reply {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"prompt":%q}`, modelName, prompt)
	return system.call(context.Background(), node, http.MethodPost, "/v1/completions", "acme-token", nil, body)
}

func (system *system) book(ctx context.Context, node int, key, body string) reply {
	return system.call(ctx, node, http.MethodPost, "/services/orders/bookings", "acme-token", map[string]string{"Idempotency-Key": key}, body)
}

// expectedText returns the tokens of the whole answer to a prompt.
func expectedText(prompt string) string {
	quoted, _ := json.Marshal(prompt)
	var text strings.Builder
	for index := range engine.AnswerLength(string(quoted), 10_000) {
		text.WriteString(engine.TokenText(string(quoted), index+1))
	}
	return text.String()
}

// parseStream returns the tokens of a stream. whole reports whether the stream
// ends with its [DONE] event.
func parseStream(body string) (text string, whole bool) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var part struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &part); err == nil && len(part.Choices) > 0 {
			text += part.Choices[0].Text
		}
	}
	return text, false
}

func (system *system) leader() int {
	overview, err := system.operator().Status(context.Background())
	if err != nil {
		system.t.Fatal(err)
	}
	for index, node := range system.nodes {
		if node.settings.Node == overview.Leader {
			return index
		}
	}
	system.t.Fatal("no leader")
	return 0
}

func (system *system) requestStop(kind register.TargetKind, target string) controller.Outcome {
	system.t.Helper()
	outcome, err := system.operator().Stop(context.Background(), operator.StopRequest{Change: id.Change("stop-" + target), Stop: id.Stop(target), Kind: kind, Target: target})
	if err != nil {
		system.t.Fatal(err)
	}
	return outcome
}

func (system *system) stopDone(name string) bool {
	list, err := system.operator().Stops(context.Background())
	if err != nil {
		return false
	}
	for _, stop := range list.Stops {
		if string(stop.Stop) == name {
			return stop.Done
		}
	}
	return false
}
