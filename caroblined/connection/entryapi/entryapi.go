// Package entryapi serves callers by the declaration in force: it finds the
// route of a request by its host and path, checks the caller's token, waits for
// an endpoint, and forwards method, path, query and body unchanged. What comes
// back is the endpoint's answer byte for byte, or one of its own that says
// truly whether the request ran.
//
// # Usage
//
//	entry := entryapi.New(entryapi.Config{Dialect: dialect, View: loop.View, ...})
//	server := &http.Server{Handler: entry}
//	entry.Drain()
package entryapi

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/version/routing"
	"carobline.dev/core/version/view"
)

const (
	// defaultBodyBytes bounds a body where the declaration sets no limit.
	defaultBodyBytes = 4 << 20
	// leastLeft is the least time left with which a request is still sent.
	leastLeft = 20 * time.Millisecond
	// callersPart is by what part of a route's timeout callers' own limits may
	// stay below it: one that has less left has waited before.
	callersPart = 0.15
	// noStateRetry is when to come back to a node without a state in force.
	noStateRetry = 500 * time.Millisecond
	// retryPart is the part of calls that may be sent a second time, and
	// retrySavings what one entry host may save up.
	retryPart    = 0.15
	retrySavings = 12
)

// Config is fixed for the life of a process.
type Config struct {
	Dialect Dialect
	View    func() *view.View
	Now     func() time.Time
	// Transport carries requests to endpoints.
	Transport http.RoundTripper
	Log       zerolog.Logger
	Metrics   metrics.Registry
	Rand      *rand.Rand
}

// API serves callers. It is safe for concurrent use.
type API struct {
	config   Config
	retries  *budget.Budget
	draining atomic.Bool
	running  atomic.Int64
	number   atomic.Uint64

	mutex    sync.Mutex
	balancer *balancer.Balancer
	waiting  map[balancer.Number]chan balancer.Decision
	latency  metrics.Histogram
}

// New returns an API that knows no endpoints until its first view.
func New(config Config) *API {
	return &API{
		config: config, retries: budget.New(retryPart, retrySavings), balancer: balancer.New(config.Rand),
		waiting: map[balancer.Number]chan balancer.Decision{},
		latency: metrics.GetOrRegisterHistogram("entry.latency_ms", config.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
	}
}

// Drain makes each answer the last on its connection.
func (api *API) Drain() { api.draining.Store(true) }

// ActiveCalls counts the calls in progress.
func (api *API) ActiveCalls() int { return int(api.running.Load()) }

// RunningByEndpoint counts the calls in progress by endpoint.
func (api *API) RunningByEndpoint() map[feed.Endpoint]int {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.Running()
}

// StalledEndpoints lists the endpoints whose calls stand still.
func (api *API) StalledEndpoints() []feed.Endpoint {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.StalledEndpoints(api.config.Now())
}

// progress notes an event of a stream.
func (api *API) progress(now time.Time, endpoint feed.Endpoint, first bool) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	if first {
		api.balancer.StreamBegan(now, endpoint)
		return
	}
	api.balancer.StreamEvent(now, endpoint)
}

// quiet is how long no stream of an endpoint has had an event.
func (api *API) quiet(now time.Time, endpoint feed.Endpoint) time.Duration {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.SinceLastEvent(now, endpoint)
}

func (api *API) streamEnded(endpoint feed.Endpoint) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.balancer.StreamEnded(endpoint)
}

// Update takes a new view.
func (api *API) Update(current *view.View) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.deliver(api.balancer.Update(api.config.Now(), current))
}

// deliver hands answers to the calls that wait for them.
func (api *API) deliver(answers []balancer.Decision) {
	for _, answer := range answers {
		if waiter := api.waiting[answer.Call]; waiter != nil {
			delete(api.waiting, answer.Call)
			waiter <- answer
		}
	}
}

// call is one request of a caller on its way.
type call struct {
	request       *http.Request
	id            id.Request
	body          []byte
	route         *routing.Route
	table         *routing.Table
	clientAccount id.ClientAccount
	pool          balancer.Pool
	priority      int
	arrived       time.Time
	deadline      time.Time
	// late says that the caller has waited past the route's target before.
	late           bool
	connectionOnly map[string]bool
	// tried are the endpoints that it was sent to, ran those that may have
	// run it.
	tried []feed.Endpoint
	ran   int
}

// ServeHTTP serves one request of a caller.
func (api *API) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	api.running.Add(1)
	defer api.running.Add(-1)
	if api.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	now := api.config.Now()
	call := &call{request: request, id: api.config.Dialect.requestID(request), arrived: now}
	result := api.serve(writer, call)
	api.record(call, result)
	if result.abort {
		// The caller must see that the answer isn't whole.
		panic(http.ErrAbortHandler)
	}
}

// result is how a call ended, for its log line.
type result struct {
	status   int
	reason   string
	outcome  string
	endpoint feed.Endpoint
	host     id.Host
	events   int
	abort    bool
	waited   time.Duration
	running  int
	limit    int
	waiting  int
	err      error
	// first is when the first event came, after the request, and pause the
	// longest time between two events.
	first, pause time.Duration
}

func (api *API) serve(writer http.ResponseWriter, call *call) result {
	if refusal := api.admit(call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	if refusal := api.readBody(writer, call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	ctx, cancel := context.WithDeadline(call.request.Context(), time.Now().Add(call.deadline.Sub(api.config.Now())))
	defer cancel()
	api.retries.Earn()
	return api.forward(ctx, writer, call)
}

// refusal is an answer of the entry host's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// leave closes the connection, so that the caller comes to another node.
	leave bool
	// answer is what the balancer knew, for the log.
	answer balancer.Decision
}

// leaving makes a refusal the last answer on its connection.
func leaving(refusal *refusal) *refusal {
	refusal.leave = true
	return refusal
}

func newRefusal(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, reason: reason, retryAfter: retryAfter}
}

// admit finds the route and the customer of a request by the view in force.
func (api *API) admit(call *call) *refusal {
	now, current := api.config.Now(), api.config.View()
	if current.Routing == nil || !current.AcceptsNewWork(now) {
		return leaving(newRefusal(http.StatusServiceUnavailable, "no_state_in_force", noStateRetry))
	}
	if call.id == "" {
		return newRefusal(http.StatusBadRequest, "no_request_id", 0)
	}
	call.table = current.Routing
	path, _, _ := strings.Cut(call.request.RequestURI, "?")
	route, ok := current.Routing.Match(call.request.Host, path)
	if !ok {
		return newRefusal(http.StatusNotFound, "no_route", 0)
	}
	call.route, call.priority = route, route.Priority
	if refusal := api.authenticate(call); refusal != nil {
		return refusal
	}
	call.deadline = call.arrived.Add(route.Timeout())
	if left, err := strconv.ParseFloat(call.request.Header.Get(api.config.Dialect.TimeLeftMS), 64); err == nil {
		if until := call.arrived.Add(time.Duration(left * float64(time.Millisecond))); until.Before(call.deadline) {
			call.deadline = until
			call.late = waitedBefore(route, until.Sub(call.arrived))
		}
	}
	call.pool = api.choosePool(call)
	call.connectionOnly = namedByConnection(call.request.Header)
	return nil
}

// waitedBefore tells by the time that a caller has left whether it has waited
// past the route's target before, as one that comes back after a refusal has.
func waitedBefore(route *routing.Route, left time.Duration) bool {
	own := time.Duration(callersPart * float64(route.Timeout()))
	return route.Timeout()-left > max(route.Target(), own)
}

func (api *API) authenticate(call *call) *refusal {
	if !call.table.RequiresToken() {
		return nil
	}
	clientAccount, ok := call.table.Authenticate(api.config.Dialect.token(call.request))
	if !ok {
		if call.route.Anonymous {
			return nil
		}
		return newRefusal(http.StatusUnauthorized, "unknown_token", 0)
	}
	call.clientAccount = clientAccount.Name
	if clientAccount.Priority != nil {
		call.priority = *clientAccount.Priority
	}
	return nil
}

// choosePool picks one of the route's services by weight.
func (api *API) choosePool(call *call) balancer.Pool {
	spin := 0.0
	if len(call.route.Backends) > 1 {
		api.mutex.Lock()
		spin = api.config.Rand.Float64()
		api.mutex.Unlock()
	}
	pool := balancer.Pool{Service: call.route.Pick(spin)}
	service, ok := call.table.Declaration().Service(pool.Service)
	if ok && service.Engine != nil {
		pool.Model = id.Model(call.request.Header.Get(api.config.Dialect.Model))
	}
	return pool
}

// readBody reads the whole body, so that it can be sent more than once.
func (api *API) readBody(writer http.ResponseWriter, call *call) *refusal {
	limit := call.table.Declaration().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	data, err := io.ReadAll(http.MaxBytesReader(writer, call.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	}
	if err != nil {
		return newRefusal(http.StatusBadRequest, "body_unreadable", 0)
	}
	call.body = data
	return nil
}

// refuse answers a request that has not run.
func (api *API) refuse(writer http.ResponseWriter, call *call, refusal *refusal) result {
	header := writer.Header()
	if refusal.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.retryAfter.Seconds(), 'f', 3, 64))
	}
	if call.id != "" {
		header.Set(api.config.Dialect.RequestID, string(call.id))
	}
	if refusal.leave {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(refusal.status)
	// The caller may be gone; there is nobody left to tell.
	_, _ = io.WriteString(writer, refusal.reason+"\n")
	return result{
		status: refusal.status, reason: refusal.reason, outcome: "not_run",
		running: refusal.answer.Running, limit: refusal.answer.Limit, waiting: refusal.answer.Waiting,
	}
}

// record writes the one line that each request leaves.
func (api *API) record(call *call, result result) {
	took := api.config.Now().Sub(call.arrived)
	api.latency.Update(took.Milliseconds())
	metrics.GetOrRegisterCounter("entry.answers."+strconv.Itoa(result.status), api.config.Metrics).Inc(1)
	event := api.config.Log.Info().Str("step", "request").Str("request", string(call.id)).Int("status", result.status).
		Str("reason", result.reason).Str("outcome", result.outcome).Int64("took_ms", took.Milliseconds()).Int64("waited_ms", result.waited.Milliseconds())
	if call.table != nil {
		event = event.Uint64("revision", uint64(call.table.Declaration().Revision))
	}
	if call.route != nil {
		event = event.Str("route", call.route.Name).Str("customer", string(call.clientAccount)).Str("service", string(call.pool.Service)).
			Str("model", string(call.pool.Model)).Bool("late", call.late).Int64("left_ms", call.deadline.Sub(call.arrived).Milliseconds())
	}
	if result.host != "" {
		event = event.Str("host", string(result.host)).Str("group", string(result.endpoint.Group)).
			Int("running", result.running).Int("limit", result.limit).Int("events", result.events).Int("tried", len(call.tried)).
			Int64("first_ms", result.first.Milliseconds()).Int64("pause_ms", result.pause.Milliseconds())
	}
	if result.host == "" && result.limit > 0 {
		event = event.Int("running", result.running).Int("limit", result.limit).Int("waiting", result.waiting)
	}
	if result.err != nil {
		event = event.Str("error", result.err.Error())
	}
	event.Send()
}

// namedByConnection lists the headers that the header Connection names.
func namedByConnection(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func milliseconds(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}

func equalFold(a, b string) bool { return strings.EqualFold(a, b) }
