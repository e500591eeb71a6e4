// Package entryapi is the HTTP handler for callers. By the declaration in force
// it finds the route of a request from its host and path, checks the caller's
// token, waits for an endpoint, and forwards method, path, query and body
// unchanged. The caller gets the endpoint's answer byte for byte, or an answer
// of the entry host that states truthfully whether the request ran.
//
// # Usage
//
//	entry := entryapi.New(entryapi.Config{Dialect: dialect, View: loop.View, ...})
//	server := &http.Server{Handler: entry}
//	entry.Drain(closesAt, stopsAt)
//	entry.Stop()
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

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/request/estimate"
	"carobline.dev/core/version/routing"
	"carobline.dev/core/version/view"
)

const (
	// defaultBodyBytes bounds a request body where the declaration sets no
	// limit.
	defaultBodyBytes = 4 << 20
	// minTimeLeft is the least time before its deadline with which a request is
	// still sent.
	minTimeLeft = 20 * time.Millisecond
	// callerTimeoutSlack is the fraction of a route's timeout by which a
	// caller's own timeout may be shorter. A caller with less time left than
	// that has already waited in an earlier attempt.
	callerTimeoutSlack = 0.15
	// defaultRetryAfter is the Retry-After of a node without a configuration in
	// force, and of refusals for which the balancer gives no time.
	defaultRetryAfter = 500 * time.Millisecond
	// startupTime is within how long of its start an entry host gets a configuration in
	// force when the whole system starts at once.
	startupTime = 2 * time.Second
	// retryBudgetRatio is the fraction of calls that may be sent a second time.
	// maxSavedRetries is the number of retries that one entry host may save up, as
	// far as its share of Config.SavedRetries allows, and minSavedRetries what it
	// may in any case.
	retryBudgetRatio = 0.15
	maxSavedRetries  = 12
	minSavedRetries  = 1
	// savedRetriesFraction is the part of Config.SavedRetries that is shared out:
	// shares are of different moments and may add up to more than one.
	savedRetriesFraction = 0.9
)

// Config is fixed for the life of a process.
type Config struct {
	Dialect Dialect
	View    func() *view.View
	Now     func() time.Time
	// Transport sends requests to endpoints.
	Transport http.RoundTripper
	Log       zerolog.Logger
	Metrics   metrics.Registry
	Rand      *rand.Rand
	// SavedRetries is the number of retries that all entry hosts together may save
	// up. Zero leaves it at maxSavedRetries for each.
	SavedRetries int
}

// API serves callers. It is safe for concurrent use.
type API struct {
	config      Config
	startedAt   time.Time
	retryBudget *budget.Budget
	// drain is nil until the host is about to stop.
	drain          atomic.Pointer[drain]
	stopCtx        context.Context //nolint:containedctx // bounds the API itself
	stop           context.CancelFunc
	activeCalls    atomic.Int64
	lastCallNumber atomic.Uint64

	mutex          sync.Mutex
	balancer       *balancer.Balancer
	decisionByCall map[balancer.Number]chan balancer.Decision
	latency        metrics.Histogram
	// answerTimeByRoute holds the routes of table.
	answerTimeByRoute map[string]estimate.Estimate
	table             *routing.Table
}

// New returns an API without endpoints. The first Update supplies them.
func New(config Config) *API {
	stopCtx, stop := context.WithCancel(context.Background())
	return &API{
		config: config, startedAt: config.Now(), retryBudget: budget.New(retryBudgetRatio, maxSavedRetries), balancer: balancer.New(config.Rand),
		stopCtx: stopCtx, stop: stop, decisionByCall: map[balancer.Number]chan balancer.Decision{}, answerTimeByRoute: map[string]estimate.Estimate{},
		latency: metrics.GetOrRegisterHistogram("entry.latency_ms", config.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
	}
}

// ActiveCalls returns the number of calls in progress.
func (api *API) ActiveCalls() int { return int(api.activeCalls.Load()) }

// RunningByEndpoint returns the number of calls in progress at each endpoint.
func (api *API) RunningByEndpoint() map[feed.Endpoint]int {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.Running()
}

// StalledEndpoints lists the endpoints that the balancer counts as stalled.
func (api *API) StalledEndpoints() []feed.Endpoint {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.StalledEndpoints(api.config.Now())
}

// recordEvent reports an event of an endpoint's stream to the balancer. The
// first event of a stream adds the stream to the endpoint's count.
func (api *API) recordEvent(now time.Time, endpoint feed.Endpoint, first bool) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	if first {
		api.balancer.StreamBegan(now, endpoint)
		return
	}
	api.balancer.StreamEvent(now, endpoint)
}

// sinceLastEvent returns the time since any stream of an endpoint has had an
// event. It is zero when the endpoint has no stream that has begun.
func (api *API) sinceLastEvent(now time.Time, endpoint feed.Endpoint) time.Duration {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	return api.balancer.SinceLastEvent(now, endpoint)
}

func (api *API) streamEnded(endpoint feed.Endpoint) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.balancer.StreamEnded(endpoint)
}

// Update applies a new view and wakes the waiting calls that now get an
// endpoint.
func (api *API) Update(current *view.View) {
	if api.config.SavedRetries > 0 && current.Share > 0 {
		saved := savedRetriesFraction * float64(api.config.SavedRetries) * current.Share
		api.retryBudget.SetCapacity(min(maxSavedRetries, max(minSavedRetries, saved)))
	}
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.forgetDroppedRoutes(current.Routing)
	api.deliver(api.balancer.Update(api.config.Now(), current))
}

// deliver passes the balancer's decisions to the calls that wait for them.
func (api *API) deliver(decisions []balancer.Decision) {
	for _, decision := range decisions {
		if decided := api.decisionByCall[decision.Call]; decided != nil {
			delete(api.decisionByCall, decision.Call)
			decided <- decision
		}
	}
}

// call is the state of one request of a caller.
type call struct {
	request       *http.Request
	id            id.Request
	body          []byte
	route         *routing.Route
	table         *routing.Table
	clientAccount id.ClientAccount
	pool          balancer.Pool
	priority      int
	arrivedAt     time.Time
	deadline      time.Time
	// late reports that the caller has already waited past the route's target
	// in an earlier attempt.
	late              bool
	connectionOptions map[string]bool
	// tried lists the endpoints that the call was sent to. possibleRuns counts
	// those that may have run it.
	tried        []feed.Endpoint
	possibleRuns int
	// stillRunning reports that an endpoint may still answer the call if it gets no other.
	stillRunning bool
}

// ServeHTTP serves one request of a caller.
func (api *API) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	api.activeCalls.Add(1)
	defer api.activeCalls.Add(-1)
	if api.drain.Load() != nil {
		writer.Header().Set("Connection", "close")
	}
	now := api.config.Now()
	call := &call{request: request, id: api.config.Dialect.requestID(request), arrivedAt: now}
	result := api.serve(writer, call)
	api.record(call, result)
	if result.abort {
		rest.AbortAnswer(writer, request)
	}
}

// result is the outcome of a call, as written to the log.
type result struct {
	status    int
	reason    string
	outcome   string
	endpoint  feed.Endpoint
	host      id.Host
	events    int
	abort     bool
	queueTime time.Duration
	running   int
	limit     int
	waiting   int
	err       error
	// timeToFirstEvent is measured from the arrival of the request. longestPause
	// is the longest time between two writes of events.
	timeToFirstEvent, longestPause time.Duration
	// framing is that of the endpoint's answer. unfinishedBytes is what followed
	// the last complete event of a stream.
	framing         framing
	unfinishedBytes int
	breakage        breakage
}

func (api *API) serve(writer http.ResponseWriter, call *call) result {
	if refusal := api.admit(call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	if refusal := api.refuseBeforeStop(api.config.Now(), call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	if refusal := api.readBody(writer, call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	// Time has passed while the body came.
	if refusal := api.refuseBeforeStop(api.config.Now(), call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	ctx, cancel := context.WithDeadline(call.request.Context(), time.Now().Add(call.deadline.Sub(api.config.Now())))
	defer cancel()
	defer context.AfterFunc(api.stopCtx, cancel)()
	api.retryBudget.Earn()
	result := api.forward(ctx, writer, call)
	switch {
	case result.outcome == "ran":
		api.recordAnswerEnd(call.route, api.config.Now().Sub(call.arrivedAt))
	case result.outcome == "unknown" && api.stopCtx.Err() != nil:
		result.reason = "host_stopped"
	}
	return result
}

// refusal is an answer that the entry host gives itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// closeConnection ends the connection after the answer, so that the caller
	// reconnects to another node.
	closeConnection bool
	// decision holds the balancer's figures, for the log.
	decision balancer.Decision
}

// closingConnection makes a refusal the last answer on its connection.
func closingConnection(refusal *refusal) *refusal {
	refusal.closeConnection = true
	return refusal
}

func newRefusal(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, reason: reason, retryAfter: retryAfter}
}

// admit looks up the route and the client account of a request in the view in
// force, and sets the call's deadline and pool.
func (api *API) admit(call *call) *refusal {
	now, current := api.config.Now(), api.config.View()
	if current.Routing == nil || !current.AcceptsNewWork(now) {
		return closingConnection(newRefusal(http.StatusServiceUnavailable, "no_state_in_force", api.stateRetryAfter(now, current)))
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
	call.deadline = call.arrivedAt.Add(route.Timeout())
	if timeLeft, err := strconv.ParseFloat(call.request.Header.Get(api.config.Dialect.TimeLeftMS), 64); err == nil {
		if callerDeadline := call.arrivedAt.Add(time.Duration(timeLeft * float64(time.Millisecond))); callerDeadline.Before(call.deadline) {
			call.deadline = callerDeadline
			call.late = waitedPastTarget(route, callerDeadline.Sub(call.arrivedAt))
		}
	}
	call.pool = api.choosePool(call)
	call.connectionOptions = parseConnectionOptions(call.request.Header)
	return nil
}

// stateRetryAfter returns when a node without a configuration in force may have one. A
// node that has had one is cut off, while others may serve; one that has just started
// gets callers only if all others have too.
func (api *API) stateRetryAfter(now time.Time, current *view.View) time.Duration {
	if current.Routing != nil {
		return defaultRetryAfter
	}
	return max(defaultRetryAfter, startupTime-now.Sub(api.startedAt))
}

// waitedPastTarget reports whether a caller with this much time left has
// already waited past the route's target, as one that retries after a refusal
// has.
func waitedPastTarget(route *routing.Route, timeLeft time.Duration) bool {
	slack := time.Duration(callerTimeoutSlack * float64(route.Timeout()))
	return route.Timeout()-timeLeft > max(route.Target(), slack)
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

// choosePool picks one of the route's services at random, by weight.
func (api *API) choosePool(call *call) balancer.Pool {
	random := 0.0
	if len(call.route.Backends) > 1 {
		api.mutex.Lock()
		random = api.config.Rand.Float64()
		api.mutex.Unlock()
	}
	pool := balancer.Pool{Service: call.route.Pick(random)}
	service, ok := call.table.Declaration().Service(pool.Service)
	if ok && service.Engine != nil {
		pool.Model = id.Model(call.request.Header.Get(api.config.Dialect.Model))
	}
	return pool
}

// readBody reads the whole body into memory, so that a retry can send it again.
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

// refuse writes an answer of the entry host, with the refusal's reason as its
// body. The result's outcome is not_run; fail and failWithoutEndpoint replace
// it where the request may have run.
func (api *API) refuse(writer http.ResponseWriter, call *call, refusal *refusal) result {
	header := writer.Header()
	if refusal.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.retryAfter.Seconds(), 'f', 3, 64))
	}
	if call.id != "" {
		header.Set(api.config.Dialect.RequestID, string(call.id))
	}
	if refusal.closeConnection {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(refusal.status)
	// A write fails only when the caller has disconnected, and then there is no one to
	// report it to.
	_, _ = io.WriteString(writer, refusal.reason+"\n")
	return result{
		status: refusal.status, reason: refusal.reason, outcome: "not_run",
		running: refusal.decision.Running, limit: refusal.decision.Limit, waiting: refusal.decision.Waiting,
	}
}

// record writes the log line of a request and updates the metrics.
func (api *API) record(call *call, result result) {
	elapsed := api.config.Now().Sub(call.arrivedAt)
	api.latency.Update(elapsed.Milliseconds())
	metrics.GetOrRegisterCounter("entry.answers."+strconv.Itoa(result.status), api.config.Metrics).Inc(1)
	event := api.config.Log.Info().Str("step", "request").Str("request", string(call.id)).Int("status", result.status).
		Str("reason", result.reason).Str("outcome", result.outcome).Int64("took_ms", elapsed.Milliseconds()).Int64("waited_ms", result.queueTime.Milliseconds())
	if call.table != nil {
		event = event.Uint64("revision", uint64(call.table.Declaration().Revision))
	}
	if call.route != nil {
		event = event.Str("route", call.route.Name).Str("customer", string(call.clientAccount)).Str("service", string(call.pool.Service)).
			Str("model", string(call.pool.Model)).Bool("late", call.late).Int64("left_ms", call.deadline.Sub(call.arrivedAt).Milliseconds())
	}
	if result.host != "" {
		event = event.Str("host", string(result.host)).Str("group", string(result.endpoint.Group)).
			Int("running", result.running).Int("limit", result.limit).Int("events", result.events).Int("tried", len(call.tried)).
			Int64("first_ms", result.timeToFirstEvent.Milliseconds()).Int64("pause_ms", result.longestPause.Milliseconds()).
			Str("framing", string(result.framing)).Int("unfinished_bytes", result.unfinishedBytes)
	}
	if result.host == "" && result.limit > 0 {
		event = event.Int("running", result.running).Int("limit", result.limit).Int("waiting", result.waiting)
	}
	event = event.EmbedObject(result.breakage)
	if result.err != nil {
		event = event.Str("error", result.err.Error())
	}
	event.Send()
}

// parseConnectionOptions returns the names of the headers that the Connection
// header declares as hop-by-hop.
func parseConnectionOptions(header http.Header) map[string]bool {
	var options map[string]bool
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if options == nil {
				options = map[string]bool{}
			}
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}

func milliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(0, duration.Milliseconds()), 10)
}

func equalFold(a, b string) bool { return strings.EqualFold(a, b) }
