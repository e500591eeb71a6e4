// Package callerapi is the HTTP API for callers: the usual completions protocol
// for models, with server-sent events, and plain services under /services/.
//
// # Usage
//
//	handler := callerapi.New(config).Handler()
package callerapi

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/caroblined/request/partsguard"
	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/view"
)

const (
	// maxAttempts bounds the attempts of one call, in addition to the retry
	// budget.
	maxAttempts = 4
)

// Config is fixed for the life of a process.
type Config struct {
	Owner     register.Owner
	Traffic   *traffic.Traffic
	View      func() *view.View
	Now       func() time.Time
	RequestID func() id.Request
	// Propose commits the records of calls that must not repeat.
	Propose func(ctx context.Context, proposal peers.Proposal) (controller.Outcome, error)
	// RunInBackground runs work that must continue after its caller has
	// disconnected.
	// The daemon's Close waits for it.
	RunInBackground func(work func(ctx context.Context))
	Log             zerolog.Logger
	Metrics         metrics.Registry
	BodyBytes       int64
	// InactivityTimeout is how long an engine may send no event, and a plain service
	// nothing, before another endpoint is looked for. An attempt is cancelled then only if its
	// endpoint is lost.
	InactivityTimeout time.Duration
	// CallerWriteTimeout is how long a caller may take to accept one write.
	CallerWriteTimeout time.Duration
	PriorityLevels     *attained.Attained
	// RetryBudget bounds repeated attempts.
	RetryBudget *budget.Budget
	// Guard keeps calls whose prompts end engines from more of them.
	Guard *partsguard.Guard
	// Account is charged for what is held for callers and endpoints. Nil bounds nothing.
	Account *memory.Account
	// EngineTransport sends requests to engines and services.
	EngineTransport http.RoundTripper
}

// API serves callers.
type API struct {
	config Config
	meters meters
}

// meters are the metrics of callers' calls. They are counters and histograms
// only, since the metrics library runs a goroutine of its own for its meters
// and timers.
type meters struct {
	calls      metrics.Counter
	refused    metrics.Counter
	evacuated  metrics.Counter
	failed     metrics.Counter
	resumed    metrics.Counter
	demoted    metrics.Counter
	tokens     metrics.Counter
	firstToken metrics.Histogram
	duration   metrics.Histogram
}

// New returns the API.
func New(config Config) *API {
	registry := config.Metrics
	return &API{
		config: config,
		meters: meters{
			calls:      metrics.GetOrRegisterCounter("calls", registry),
			refused:    metrics.GetOrRegisterCounter("calls_refused", registry),
			evacuated:  metrics.GetOrRegisterCounter("calls_refused_evacuated", registry),
			failed:     metrics.GetOrRegisterCounter("calls_failed", registry),
			resumed:    metrics.GetOrRegisterCounter("streams_resumed", registry),
			demoted:    metrics.GetOrRegisterCounter("streams_demoted", registry),
			tokens:     metrics.GetOrRegisterCounter("tokens", registry),
			firstToken: metrics.GetOrRegisterHistogram("first_token_us", registry, newDecayingSample()),
			duration:   metrics.GetOrRegisterHistogram("call_duration_us", registry, newDecayingSample()),
		},
	}
}

// newDecayingSample returns a sample that favours the values of the last
// minutes (Cormode and others, "Forward Decay", 2009, as the library implements
// it).
func newDecayingSample() metrics.Sample {
	const size, alpha = 1028, 0.015
	return metrics.NewExpDecaySample(size, alpha)
}

// Handler returns the HTTP handler of the callers' listener.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", api.serve(api.completions))
	mux.HandleFunc("POST /v1/completions", api.serve(api.completions))
	mux.HandleFunc("GET /v1/models", api.serve(api.models))
	mux.HandleFunc("/services/{service}/{path...}", api.serve(api.service))
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		rest.WriteJSON(writer, http.StatusOK, health{Status: "alive"})
	})
	mux.HandleFunc("GET /readyz", api.ready)
	mux.HandleFunc("/", func(writer http.ResponseWriter, _ *http.Request) {
		rest.WriteError(writer, rest.NotRun(http.StatusNotFound, "no_such_path", "this path is not served; see /v1/models and /services/"))
	})
	return mux
}

// health is the answer of /healthz and /readyz.
type health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

func (api *API) ready(writer http.ResponseWriter, _ *http.Request) {
	switch current := api.config.View(); {
	case api.config.Traffic.Stopping():
		rest.WriteJSON(writer, http.StatusServiceUnavailable, health{Status: "stopping", Reason: "this node finishes its calls and takes no new ones"})
	case !current.AcceptsNewWork(api.config.Now()):
		rest.WriteJSON(writer, http.StatusServiceUnavailable, health{Status: "not_ready", Reason: "no live configuration"})
	default:
		rest.WriteJSON(writer, http.StatusOK, health{Status: "ready"})
	}
}

// call is the state of one request of a caller.
type call struct {
	id            id.Request
	clientAccount *view.ClientAccount
	startedAt     time.Time
	log           zerolog.Logger
	// answerStarted reports that a part of the answer has been sent, so that an
	// error status can no longer be sent.
	answerStarted bool
	// lastEndpoint names the endpoint of the latest attempt, for the log.
	lastEndpoint string
	// body is the request's, if it has been read.
	body heldBody
}

// serve assigns a request id, authenticates the caller, runs handle, and
// reports its error to the caller and the log.
func (api *API) serve(handle func(http.ResponseWriter, *http.Request, *call) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		call := &call{id: api.config.RequestID(), startedAt: api.config.Now()}
		writer.Header().Set(rest.HeaderRequestID, string(call.id))
		call.log = api.config.Log.With().Str("request_id", string(call.id)).Logger()
		call.body.uses.Add(1)
		defer call.body.release()
		api.meters.calls.Inc(1)
		err := api.authenticate(request, call)
		if err == nil {
			err = handle(writer, request, call)
		}
		api.finish(writer, request, call, err)
	}
}

func (api *API) authenticate(request *http.Request, call *call) error {
	token, ok := rest.BearerToken(request)
	if !ok {
		return rest.NotRun(http.StatusUnauthorized, "missing_token", "send the customer's token in Authorization: Bearer")
	}
	clientAccount, ok := api.config.View().Authenticate(token)
	if !ok {
		if !api.config.View().AcceptsNewWork(api.config.Now()) {
			return rest.NotRun(http.StatusServiceUnavailable, "no_configuration_lease", "this entry host has no live configuration; another one may serve")
		}
		return rest.NotRun(http.StatusUnauthorized, "wrong_token", "the token belongs to no contract in force")
	}
	call.clientAccount = clientAccount
	call.log = call.log.With().Str("customer", string(clientAccount.Contract.ClientAccount)).Logger()
	return nil
}

func (api *API) finish(writer http.ResponseWriter, request *http.Request, call *call, err error) {
	elapsed := api.config.Now().Sub(call.startedAt)
	api.meters.duration.Update(elapsed.Microseconds())
	if err == nil {
		call.log.Debug().Str("step", "done").Str("endpoint", call.lastEndpoint).Dur("elapsed", elapsed).Msg("call answered")
		return
	}
	restError := asRestError(err)
	if restError.Outcome == rest.OutcomeNotRun {
		api.meters.refused.Inc(1)
		if restError.Code == string(dispatcher.ReasonEvacuated) {
			api.meters.evacuated.Inc(1)
		}
	} else {
		api.meters.failed.Inc(1)
	}
	call.log.Info().Err(err).Str("step", restError.Code).Str("endpoint", call.lastEndpoint).
		Str("outcome", string(restError.Outcome)).Dur("elapsed", elapsed).Msg("call failed")
	if call.answerStarted {
		rest.AbortAnswer(writer, request)
	}
	rest.WriteError(writer, restError)
}

func (api *API) models(writer http.ResponseWriter, _ *http.Request, call *call) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range call.clientAccount.Contract.Models {
		list.Data = append(list.Data, modelEntry{ID: model, Object: "model", OwnedBy: "carobline"})
	}
	rest.WriteJSON(writer, http.StatusOK, list)
	return nil
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      id.Model `json:"id"`
	Object  string   `json:"object"`
	OwnedBy string   `json:"owned_by"`
}

func allows(contract *contract.Contract, service id.Service) bool {
	return slices.Contains(contract.Services, service)
}
