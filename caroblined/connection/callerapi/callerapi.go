// Package callerapi serves callers: the usual HTTP protocol for models with
// server-sent events, and plain services under /services/.
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

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"carobline.dev/caroblined/process/peers"
	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
	"carobline.dev/core/request/attained"
	"carobline.dev/core/request/budget"
	"carobline.dev/core/version/contract"
	"carobline.dev/core/version/view"
)

const (
	// mostAttempts bounds the attempts of one call beside the budget.
	mostAttempts = 4
)

// Config is fixed for the life of a process.
type Config struct {
	Owner     register.Owner
	Traffic   *traffic.Traffic
	View      func() *view.View
	Now       func() time.Time
	RequestID func() id.Request
	// Propose records calls that must not repeat.
	Propose func(ctx context.Context, proposal peers.Proposal) (controller.Outcome, error)
	// RunInBackground runs what must go on after a caller has gone; Close of the
	// daemon waits for it.
	RunInBackground func(work func(ctx context.Context))
	Log             zerolog.Logger
	Metrics         metrics.Registry
	BodyBytes       int64
	// InactivityTimeout is how long an endpoint may be silent before it is given up.
	InactivityTimeout time.Duration
	// CallerWriteTimeout is how long a caller may take to accept one write.
	CallerWriteTimeout time.Duration
	PriorityLevels     *attained.Attained
	// RetryBudget bounds repeated attempts.
	RetryBudget *budget.Budget
	// EngineTransport carries requests to engines over kept connections.
	EngineTransport http.RoundTripper
	// SingleSendTransport carries calls that must not repeat, each over a new connection, so
	// that the transport never repeats one by itself.
	SingleSendTransport http.RoundTripper
}

// API serves callers.
type API struct {
	config Config
	meters meters
}

// meters are the figures that callers' calls leave. They need no goroutine of
// the metrics library's own, unlike its meters and timers.
type meters struct {
	calls      metrics.Counter
	refused    metrics.Counter
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
			failed:     metrics.GetOrRegisterCounter("calls_failed", registry),
			resumed:    metrics.GetOrRegisterCounter("streams_resumed", registry),
			demoted:    metrics.GetOrRegisterCounter("streams_demoted", registry),
			tokens:     metrics.GetOrRegisterCounter("tokens", registry),
			firstToken: metrics.GetOrRegisterHistogram("first_token_us", registry, newSample()),
			duration:   metrics.GetOrRegisterHistogram("call_duration_us", registry, newSample()),
		},
	}
}

// newSample keeps the last minutes' values (Cormode and others, "Forward Decay",
// 2009, as the library has it).
func newSample() metrics.Sample {
	const size, alpha = 1028, 0.015
	return metrics.NewExpDecaySample(size, alpha)
}

// Handler returns the handler of the callers' listener.
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

// health is the answer of the two health paths.
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

// call is what one request of a caller carries along.
type call struct {
	id            id.Request
	clientAccount *view.ClientAccount
	began         time.Time
	log           zerolog.Logger
	// answered says that the answer has begun, so that no error can follow.
	answered bool
	// endpoint is where the call ran last, for the log.
	endpoint string
}

// serve authenticates, names the request, and shows and logs its error.
func (api *API) serve(handle func(http.ResponseWriter, *http.Request, *call) error) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		current := &call{id: api.config.RequestID(), began: api.config.Now()}
		writer.Header().Set(rest.HeaderRequestID, string(current.id))
		current.log = api.config.Log.With().Str("request_id", string(current.id)).Logger()
		api.meters.calls.Inc(1)
		err := api.authenticate(request, current)
		if err == nil {
			err = handle(writer, request, current)
		}
		api.finish(writer, current, err)
	}
}

func (api *API) authenticate(request *http.Request, current *call) error {
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
	current.clientAccount = clientAccount
	current.log = current.log.With().Str("customer", string(clientAccount.Contract.ClientAccount)).Logger()
	return nil
}

// readBody reads a whole body. The time limit for reading ends with it, since
// it would otherwise end a long answer too.
func (api *API) readBody(writer http.ResponseWriter, request *http.Request) ([]byte, error) {
	data, err := rest.ReadBody(writer, request, api.config.BodyBytes)
	if err != nil {
		return nil, err
	}
	err = http.NewResponseController(writer).SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, rest.NotRun(rest.StatusClientClosed, "caller_gone", "the caller went away")
	}
	return data, nil
}

func (api *API) finish(writer http.ResponseWriter, current *call, err error) {
	elapsed := api.config.Now().Sub(current.began)
	api.meters.duration.Update(elapsed.Microseconds())
	if err == nil {
		current.log.Debug().Str("step", "done").Str("endpoint", current.endpoint).Dur("elapsed", elapsed).Msg("call answered")
		return
	}
	shown := asRestError(err)
	if shown.Outcome == rest.OutcomeNotRun {
		api.meters.refused.Inc(1)
	} else {
		api.meters.failed.Inc(1)
	}
	current.log.Info().Err(err).Str("step", shown.Code).Str("endpoint", current.endpoint).
		Str("outcome", string(shown.Outcome)).Dur("elapsed", elapsed).Msg("call failed")
	if current.answered {
		// A part of the answer is out; cutting the connection is the only way
		// left to show that it isn't whole.
		panic(http.ErrAbortHandler)
	}
	rest.WriteError(writer, shown)
}

func (api *API) models(writer http.ResponseWriter, _ *http.Request, current *call) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range current.clientAccount.Contract.Models {
		list.Data = append(list.Data, modelEntry{ID: model, Object: "model", OwnedBy: "carobline"})
	}
	rest.WriteJSON(writer, http.StatusOK, list)
	return nil
}

// modelList is the answer of /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      id.Model `json:"id"`
	Object  string   `json:"object"`
	OwnedBy string   `json:"owned_by"`
}

func allows(clientAccount *contract.Contract, service id.Service) bool {
	return slices.Contains(clientAccount.Services, service)
}
