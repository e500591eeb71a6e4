// Package engine is a stand-in for one host of a model engine, or of a plain
// service. Each token depends only on the prompt and the token's index, so that a
// test can check that an answer is complete and belongs to the caller's prompt.
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
	"carobline.dev/core/process/action"
	"carobline.dev/core/process/roster"
	"carobline.dev/fakeengine/request/scheduler"
)

// Config describes the host and its behaviour. It is fixed for the life of an
// engine.
type Config struct {
	Host         id.Host
	Address      string
	DataCentre   id.DataCentre
	Domain       id.Domain
	Accelerators int
	Models       []id.Model
	Service      id.Service
	// ChecksFencing refuses orders with an older fencing token than the last
	// accepted one, and requests that name another group or fencing token.
	ChecksFencing bool
	// Resumes is announced: the engine continues a stream after the token that
	// Last-Event-ID names.
	Resumes bool
	// Slots is how many streams run at a time.
	Slots int
	// Pace is the time between two tokens.
	Pace time.Duration
	// LoadTime is how long loading the weights of a model takes.
	LoadTime time.Duration
	// ReportLag is the age that a load report has when it is announced.
	ReportLag time.Duration
	// Lease is how long an announcement is valid from when it was sent.
	Lease time.Duration
	// Accepted, if set, is called with the request id of each completion that the host
	// begins to run. It is safe for concurrent use.
	Accepted func(requestID string)
}

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Silent stops the announcements, as if the host had stopped or were paused.
	Silent bool `json:"silent,omitempty"`
	// CutAfter aborts the connection of each stream after the token of this
	// index.
	CutAfter int `json:"cut_after,omitempty"`
	// Garbage sends one event that isn't JSON in place of each stream, and half an
	// event in place of each answer to a service call that may repeat.
	Garbage bool `json:"garbage,omitempty"`
	// EndEarly ends the response of each stream normally after the second token,
	// without the end mark.
	EndEarly bool `json:"end_early,omitempty"`
	// Hang sends nothing after a stream's second token, and no answer to a
	// service call that has run, but keeps the connection open.
	Hang bool `json:"hang,omitempty"`
	// Slow multiplies the time between two tokens.
	Slow int `json:"slow,omitempty"`
	// DropAnswer runs a service call and aborts the connection before the answer.
	DropAnswer bool `json:"drop_answer,omitempty"`
	// Delay holds back the answer to a service call; in JSON it is in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// RefuseUnrun refuses service calls with an error that states that the call
	// wasn't run.
	RefuseUnrun bool `json:"refuse_unrun,omitempty"`
	// OldRefusal answers each call with the refusal of another request.
	OldRefusal bool `json:"old_refusal,omitempty"`
	// NamelessRefusal does so without any request's id.
	NamelessRefusal bool `json:"nameless_refusal,omitempty"`
	// Refuse answers each call with a refusal of its own request.
	Refuse bool `json:"refuse,omitempty"`
	// Endless answers each stream and service call without end.
	Endless Endless `json:"endless,omitempty"`
	// WrongRequest puts another request's id into the response header.
	WrongRequest bool `json:"wrong_request,omitempty"`
}

// Engine simulates one host. It is safe for concurrent use.
type Engine struct {
	config    Config
	now       func() time.Time
	scheduler *scheduler.Scheduler

	mutex       sync.Mutex
	incarnation id.Incarnation
	sequence    uint64
	serving     roster.Serving
	rank        int
	loadedAt    time.Time
	leaving     bool
	faults      Faults
	loadReports []loadReport
	runsByKey   map[string]int
	// cachedPrefixes holds the prefixes in order of use, the latest last.
	cachedPrefixes []uint32
}

// loadReport is the load at one time, announced once it is ReportLag old.
type loadReport struct {
	takenAt time.Time
	load    roster.Load
}

// New returns a host that serves no model until it receives an order.
func New(config Config, now func() time.Time) *Engine {
	return &Engine{
		config: config, now: now, scheduler: scheduler.New(max(1, config.Slots)),
		incarnation: id.Incarnation(now().UnixNano()), runsByKey: map[string]int{},
	}
}

// Handler returns the handler for orders, calls, fault injection and the list of
// runs; a host has one listener for all of them.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /engine/v1/orders", rest.Handle(rest.Intake{}, 1<<20, engine.handleOrder))
	mux.HandleFunc("POST /v1/chat/completions", engine.complete)
	mux.HandleFunc("POST /v1/completions", engine.complete)
	mux.HandleFunc("POST /fault", engine.handleFault)
	mux.HandleFunc("GET /runs", engine.listRuns)
	if engine.config.Service != "" {
		mux.HandleFunc("/", engine.serveBookings)
	}
	return mux
}

// SetFaults replaces the faults to inject.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = faults
}

// Leave marks all further announcements as those of a host that is leaving.
func (engine *Engine) Leave() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.leaving = true
}

// Busy reports whether streams are in progress.
func (engine *Engine) Busy() bool {
	return engine.Streams() > 0
}

// Streams returns the number of streams in progress, running or queued.
func (engine *Engine) Streams() int {
	running, queued, _ := engine.scheduler.Load()
	return running + queued
}

func (engine *Engine) currentFaults() Faults {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.faults
}

func (engine *Engine) handleFault(writer http.ResponseWriter, request *http.Request) {
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

// Announcement returns the next announcement; it returns false while the Silent
// fault is set.
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
		LeaseMS: config.Lease.Milliseconds(), Load: engine.delayedLoad(), Prefixes: slices.Clone(engine.cachedPrefixes), Serving: serving, Leaving: engine.leaving,
	}, true
}

// delayedLoad records the present load and returns the latest one that is at least
// ReportLag old, or the oldest if none is. The mutex is held.
func (engine *Engine) delayedLoad() roster.Load {
	now := engine.now()
	running, queued, highestPriority := engine.scheduler.Load()
	load := roster.Load{Slots: engine.config.Slots, Running: running, Queued: queued, HighestPriorityRequests: highestPriority}
	engine.loadReports = append(engine.loadReports, loadReport{now, load})
	for len(engine.loadReports) > 1 && now.Sub(engine.loadReports[1].takenAt) >= engine.config.ReportLag {
		engine.loadReports = engine.loadReports[1:]
	}
	return engine.loadReports[0].load
}

// cachePrefix makes a prefix the latest used one and evicts the least recently
// used one when the cache is full. 0 means that the request has no prefix.
func (engine *Engine) cachePrefix(prefix uint32) {
	const maxCachedPrefixes = 16
	if prefix == 0 {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.cachedPrefixes = slices.DeleteFunc(engine.cachedPrefixes, func(other uint32) bool { return other == prefix })
	engine.cachedPrefixes = append(engine.cachedPrefixes, prefix)
	if len(engine.cachedPrefixes) > maxCachedPrefixes {
		engine.cachedPrefixes = engine.cachedPrefixes[1:]
	}
}

// fencingConflict returns the error for an order or a request with an old or a
// different fencing token.
func fencingConflict(message string) error {
	return rest.NotRun(http.StatusConflict, "old_fencing_number", message)
}

// orderAccepted is the answer to an order.
type orderAccepted struct {
	Fencing id.FencingToken `json:"fencing"`
}

// applyOrder makes the host serve what an order names. The model is ready after
// LoadTime, or at once if it is the model that the host serves and has loaded.
func (engine *Engine) applyOrder(order action.Order) (orderAccepted, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.config.ChecksFencing && order.Fencing < engine.serving.Fencing {
		return orderAccepted{}, fencingConflict(fmt.Sprintf("number %d is older than %d", order.Fencing, engine.serving.Fencing))
	}
	loaded := engine.serving.Model == order.Model && !engine.now().Before(engine.loadedAt)
	engine.serving = roster.Serving{Group: order.Group, Model: order.Model, Fencing: order.Fencing}
	engine.rank = order.Rank
	if order.Kind == action.OrderUnload {
		engine.serving.Group, engine.serving.Model = "", ""
	}
	if !loaded {
		engine.loadedAt = engine.now().Add(engine.config.LoadTime)
	}
	return orderAccepted{Fencing: order.Fencing}, nil
}

// TokenText returns the text of the token with the given index, counted from 1, of
// the answer to a prompt.
func TokenText(prompt string, index int) string {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, prompt)
	_, _ = io.WriteString(hash, strconv.Itoa(index))
	return fmt.Sprintf("w%08x ", hash.Sum32())
}

var lengthPattern = regexp.MustCompile(`tokens=(\d+)`)

// AnswerLength returns how many tokens the answer to a prompt has: the N of
// tokens=N in the prompt, else 24, and at most limit if that is positive.
func AnswerLength(prompt string, limit int) int {
	const defaultLength = 24
	length := defaultLength
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

// body is the body of a completion request. The type's name is part of the text of
// decoding errors that the host answers with.
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
