// Package engine is a stand-in for one host of a model engine, or of a plain
// service. It streams tokens that depend only on the prompt and their number,
// so that an answer can be checked to be whole and the caller's own.
//
// # Usage
//
//	host := engine.New(engine.Config{Slots: 8, Pace: time.Millisecond}, time.Now)
//	server := httptest.NewServer(host.Handler())
//	announcement := host.Announcement()
package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/roster"
	"carobline.dev/fakeengine/request/scheduler"
)

// Config says what the host is and how it behaves.
type Config struct {
	Host         id.Host
	Address      string
	DataCentre   id.DataCentre
	Domain       id.Domain
	Accelerators int
	Models       []id.Model
	Service      id.Service
	// ChecksFencing refuses orders and requests with old numbers.
	ChecksFencing bool
	Resumes       bool
	Slots         int
	// Pace is the time between two tokens.
	Pace time.Duration
	// LoadTime is how long weights take to load.
	LoadTime time.Duration
	// ReportLag is how old a load report is.
	ReportLag time.Duration
	Lease     time.Duration
}

// Faults are what can be made to go wrong.
type Faults struct {
	// Silent stops announcements, as of a host that is gone or paused.
	Silent bool `json:"silent,omitempty"`
	// CutAfter cuts each stream after a number of tokens.
	CutAfter int `json:"cut_after,omitempty"`
	// Garbage sends something else than events.
	Garbage bool `json:"garbage,omitempty"`
	// EndEarly ends streams in good order but without the end mark.
	EndEarly bool `json:"end_early,omitempty"`
	// Hang stops streams without ending them.
	Hang bool `json:"hang,omitempty"`
	// Slow multiplies the pace.
	Slow int `json:"slow,omitempty"`
	// DropAnswer runs a service call and cuts the connection.
	DropAnswer bool `json:"drop_answer,omitempty"`
	// Delay holds back the answer to a service call that has run.
	Delay time.Duration `json:"delay,omitempty"`
	// RefuseUnrun refuses service calls and says that they weren't run.
	RefuseUnrun bool `json:"refuse_unrun,omitempty"`
	// WrongRequest answers with another request's id.
	WrongRequest bool `json:"wrong_request,omitempty"`
}

// Engine is one host. It is safe for concurrent use.
type Engine struct {
	config Config
	now    func() time.Time
	slots  *scheduler.Scheduler

	mutex       sync.Mutex
	incarnation id.Incarnation
	sequence    uint64
	serving     roster.Serving
	rank        int
	loadedAt    time.Time
	leaving     bool
	faults      Faults
	reports     []report
	runs        map[string]int
	// prefixes are the cached ones, the latest used last.
	prefixes []uint32
}

// report is a load at one moment, sent when it is old enough.
type report struct {
	at   time.Time
	load roster.Load
}

// New returns a host that serves nothing yet.
func New(config Config, now func() time.Time) *Engine {
	return &Engine{
		config: config, now: now, slots: scheduler.New(max(1, config.Slots)),
		incarnation: id.Incarnation(now().UnixNano()), runs: map[string]int{},
	}
}

// Handler returns the handler of the host's only listener.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /engine/v1/orders", rest.Handle(1<<20, engine.order))
	mux.HandleFunc("POST /v1/chat/completions", engine.complete)
	mux.HandleFunc("POST /v1/completions", engine.complete)
	mux.HandleFunc("POST /fault", engine.fault)
	mux.HandleFunc("GET /runs", engine.listRuns)
	if engine.config.Service != "" {
		mux.HandleFunc("/", engine.serveOrders)
	}
	return mux
}

// SetFaults makes things go wrong from now on.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = faults
}

// Leave announces from now on that the host is leaving.
func (engine *Engine) Leave() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.leaving = true
}

// Busy tells whether streams are in progress.
func (engine *Engine) Busy() bool {
	return engine.Streams() > 0
}

// Streams counts the streams in progress.
func (engine *Engine) Streams() int {
	running, queued, _ := engine.slots.Load()
	return running + queued
}

func (engine *Engine) currentFaults() Faults {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.faults
}

func (engine *Engine) fault(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(io.LimitReader(request.Body, 1<<16))
	if err != nil {
		rest.WriteError(writer, err)
		return
	}
	faults, err := rest.Decode[Faults](data)
	if err != nil {
		rest.WriteError(writer, rest.NotRun(http.StatusBadRequest, "bad_fault", err.Error()))
		return
	}
	engine.SetFaults(faults)
	writer.WriteHeader(http.StatusNoContent)
}

// Announcement is the next announcement; it is false while the host is silent.
func (engine *Engine) Announcement() (roster.Announcement, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.faults.Silent {
		return roster.Announcement{}, false
	}
	engine.sequence++
	serving := engine.serving
	serving.Ready = serving.Group != "" && !engine.now().Before(engine.loadedAt)
	config := engine.config
	return roster.Announcement{
		Host: config.Host, Incarnation: engine.incarnation, Sequence: engine.sequence, Address: config.Address,
		DataCentre: config.DataCentre, Domain: config.Domain, Accelerators: config.Accelerators, Models: config.Models,
		Service: config.Service, ChecksFencing: config.ChecksFencing, Resumes: config.Resumes,
		LeaseMS: config.Lease.Milliseconds(), Load: engine.lateLoad(), Prefixes: slices.Clone(engine.prefixes), Serving: serving, Leaving: engine.leaving,
	}, true
}

// lateLoad is the load as it was some time ago. The mutex is held.
func (engine *Engine) lateLoad() roster.Load {
	now := engine.now()
	running, queued, urgent := engine.slots.Load()
	load := roster.Load{Slots: engine.config.Slots, Running: running, Queued: queued, HighestPriority: urgent}
	engine.reports = append(engine.reports, report{now, load})
	for len(engine.reports) > 1 && now.Sub(engine.reports[1].at) >= engine.config.ReportLag {
		engine.reports = engine.reports[1:]
	}
	return engine.reports[0].load
}

// cachePrefix makes a prefix the latest used one and forgets the oldest.
func (engine *Engine) cachePrefix(prefix uint32) {
	const places = 16
	if prefix == 0 {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.prefixes = slices.DeleteFunc(engine.prefixes, func(other uint32) bool { return other == prefix })
	engine.prefixes = append(engine.prefixes, prefix)
	if len(engine.prefixes) > places {
		engine.prefixes = engine.prefixes[1:]
	}
}

// conflict is an order or a request with an old number.
func conflict(message string) error {
	return rest.NotRun(http.StatusConflict, "old_fencing_number", message)
}

// taken is the answer to an order.
type taken struct {
	Fencing id.FencingToken `json:"fencing"`
}

func (engine *Engine) obey(order controller.Order) (taken, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.config.ChecksFencing && order.Fencing < engine.serving.Fencing {
		return taken{}, conflict(fmt.Sprintf("number %d is older than %d", order.Fencing, engine.serving.Fencing))
	}
	loaded := engine.serving.Model == order.Model && !engine.now().Before(engine.loadedAt)
	engine.serving = roster.Serving{Group: order.Group, Model: order.Model, Fencing: order.Fencing}
	engine.rank = order.Rank
	if order.Kind == controller.OrderUnload {
		engine.serving.Group, engine.serving.Model = "", ""
	}
	if !loaded {
		engine.loadedAt = engine.now().Add(engine.config.LoadTime)
	}
	return taken{Fencing: order.Fencing}, nil
}

// Word is the text of one token of the answer to a prompt.
func Word(prompt string, index int) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, prompt)
	_, _ = io.WriteString(hash, strconv.Itoa(index))
	return fmt.Sprintf("w%08x ", hash.Sum32())
}

var lengthPattern = regexp.MustCompile(`tokens=(\d+)`)

// Length is how many tokens the answer to a prompt has: what it asks for by
// tokens=N, else 24, and no more than the limit.
func Length(prompt string, limit int) int {
	const usual = 24
	length := usual
	if match := lengthPattern.FindStringSubmatch(prompt); match != nil {
		if number, err := strconv.Atoi(match[1]); err == nil {
			length = number
		}
	}
	if limit > 0 {
		length = min(length, limit)
	}
	return length
}

// body is a request as the host reads it.
type body struct {
	Model     id.Model        `json:"model"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

func (body *body) text() string {
	if len(body.Messages) > 0 {
		return string(body.Messages)
	}
	return string(body.Prompt)
}
