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
//	entry.Drain(noticedAt, stopsAt)
//	entry.Stop()
package entryapi

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/connection/metricsapi"
	"carobline.dev/caroblined/request/partsguard"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/request/estimate"
	"carobline.dev/core/request/offered"
	"carobline.dev/core/version/routing"
	"carobline.dev/core/version/view"
)

const (
	// defaultRetryAfter is the Retry-After of a node without a configuration in
	// force, and of refusals for which the balancer gives no time.
	defaultRetryAfter = 500 * time.Millisecond
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
	// Reach opens a connection to an endpoint's address and closes it.
	Reach func(ctx context.Context, address string) error
	// Self and Incarnation are those of the node.
	Self        id.Node
	Incarnation id.Incarnation
	// SavedRetries is the number of retries that all entry hosts together may save
	// up. Zero leaves it at maxSavedRetries for each.
	SavedRetries int
	// DataCentre is where the node is; empty if that isn't known.
	DataCentre id.DataCentre
	// Account is charged for what is held for callers and endpoints. Nil bounds nothing.
	Account *memory.Account
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
	guard          *partsguard.Guard

	mutex          sync.Mutex
	balancer       *balancer.Balancer
	offered        *offered.Offered
	decisionByCall map[balancer.Number]chan balancer.Decision
	latency        metrics.Histogram
	// passedThrough counts the calls whose answer, or an event of it, was passed on before it was complete.
	passedThrough metrics.Counter
	// refusedEvacuated counts the calls that were refused for evacuated data centres.
	refusedEvacuated metrics.Counter
	// sentWithin and sentAcross count the calls sent to the own data centre and to others.
	sentWithin, sentAcross metrics.Counter
	// answerTimeByRoute holds the routes of table.
	answerTimeByRoute map[string]estimate.Estimate
	table             *routing.Table
}

// New returns an API without endpoints. The first Update supplies them.
func New(config Config) *API {
	stopCtx, stop := context.WithCancel(context.Background())
	api := &API{
		config: config, startedAt: config.Now(), retryBudget: budget.New(retryBudgetRatio, maxSavedRetries), balancer: balancer.New(config.Rand), offered: offered.New(),
		stopCtx: stopCtx, stop: stop, decisionByCall: map[balancer.Number]chan balancer.Decision{}, answerTimeByRoute: map[string]estimate.Estimate{},
		latency:          metrics.GetOrRegisterHistogram("entry.latency_ms", config.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
		passedThrough:    metrics.GetOrRegisterCounter("entry.passed_through", config.Metrics),
		refusedEvacuated: metrics.GetOrRegisterCounter("entry.refused_evacuated", config.Metrics),
		sentWithin:       metrics.GetOrRegisterCounter("entry.sent_within", config.Metrics),
		sentAcross:       metrics.GetOrRegisterCounter("entry.sent_across", config.Metrics),
	}
	api.balancer.SetDataCentre(config.DataCentre)
	api.guard = partsguard.New(partsguard.Config{
		Self: config.Self, Incarnation: config.Incarnation, View: config.View, Now: config.Now, Reach: config.Reach,
		Declines: api.declines, Log: config.Log, Metrics: config.Metrics,
	})
	metricsapi.RegisterCold(config.Metrics, func() int { return config.View().ColdEndpoints(config.Now()) }, api.balancer.DivertedCalls)
	return api
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

// recordEvent reports an event of an endpoint's stream to the balancer, and wakes the
// waiting calls that now get an endpoint. The first event of a stream adds the stream to the
// endpoint's count.
func (api *API) recordEvent(now time.Time, endpoint feed.Endpoint, first bool) {
	api.mutex.Lock()
	defer api.mutex.Unlock()
	if first {
		api.deliver(api.balancer.StreamBegan(now, endpoint))
		return
	}
	api.deliver(api.balancer.StreamEvent(now, endpoint))
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
	api.guard.Update(current)
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

func (api *API) serve(writer http.ResponseWriter, call *call) result {
	if refusal := api.admit(call); refusal != nil {
		return api.refuseUnread(writer, call, refusal)
	}
	if refusal := api.refuseBeforeStop(api.config.Now(), call); refusal != nil {
		return api.refuseUnread(writer, call, refusal)
	}
	api.countOfferedWork(call)
	refusal := api.readBody(writer, call)
	defer call.bodyCharge.Close()
	if refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	call.requestName = api.config.Dialect.requestName(call)
	// Time has passed while the body came.
	if refusal := api.refuseBeforeStop(api.config.Now(), call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	if refusal := api.refuseBlocked(call); refusal != nil {
		return api.refuse(writer, call, refusal)
	}
	ctx, cancel := context.WithDeadline(call.request.Context(), time.Now().Add(call.deadline.Sub(api.config.Now())))
	defer cancel()
	defer context.AfterFunc(api.stopCtx, cancel)()
	defer limitWrites(ctx, writer).close()
	defer call.dropFailure()
	api.retryBudget.Earn()
	result := api.forward(ctx, writer, call)
	switch {
	case result.outcome == "ran":
		api.recordAnswerEnd(call.route, api.config.Now().Sub(call.arrivedAt))
		api.recordCompleted(call, result.events)
	case result.outcome == "unknown" && api.stopCtx.Err() != nil:
		result.reason = "host_stopped"
	}
	return result
}
