// Package operatorapi is the HTTP API for operators: contracts, planned stops,
// status and the audit trail. Any entry host answers; it reads from the leader
// what only the leader has.
//
// # Usage
//
//	handler := operatorapi.New(config).Handler()
package operatorapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"carobline.dev/caroblined/connection/metricsapi"
	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/register"
)

const (
	bodyBytes = 1 << 20
	// changeTimeout bounds the wait until a change is in force everywhere.
	changeTimeout = 15 * time.Second
	// readTimeout bounds a read of the leader's state.
	readTimeout = 5 * time.Second
	// auditLimit bounds one page of the audit trail.
	auditLimit = 1000
)

// Config is fixed for the life of a process.
type Config struct {
	Control     *control.Control
	Credentials []rest.Credential
	Metrics     metrics.Registry
	// Intake reads the bodies of requests.
	Intake rest.Intake
}

// API handles operators' requests.
type API struct {
	config Config
}

// New returns an API that accepts the operators' credentials in config.
func New(config Config) *API { return &API{config: config} }

// Handler returns the HTTP handler of the operators' listener.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /operator/v1/contracts", rest.Handle(api.config.Intake, bodyBytes, api.apply))
	mux.Handle("POST /operator/v1/contracts/retire", rest.Handle(api.config.Intake, bodyBytes, api.retire))
	mux.HandleFunc("GET /operator/v1/contracts", api.contracts)
	mux.Handle("POST /operator/v1/stops", rest.Handle(api.config.Intake, bodyBytes, api.stop))
	mux.HandleFunc("GET /operator/v1/stops", api.stops)
	mux.Handle("POST /operator/v1/blocks/end", rest.Handle(api.config.Intake, bodyBytes, api.endBlock))
	mux.HandleFunc("GET /operator/v1/blocks", api.blocks)
	mux.Handle("POST /operator/v1/evacuations/start", rest.Handle(api.config.Intake, bodyBytes, api.startEvacuation))
	mux.Handle("POST /operator/v1/evacuations/finish", rest.Handle(api.config.Intake, bodyBytes, api.finishEvacuation))
	mux.HandleFunc("GET /operator/v1/evacuations", api.evacuations)
	mux.Handle("POST /operator/v1/voters", rest.Handle(api.config.Intake, bodyBytes, api.voters))
	mux.HandleFunc("GET /operator/v1/status", api.status)
	mux.HandleFunc("GET /operator/v1/audit", api.audit)
	mux.Handle("GET /metrics", metricsapi.New(api.config.Metrics))
	return rest.Require(api.config.Credentials, mux)
}

func (api *API) apply(ctx context.Context, request operator.ApplyRequest) (controller.Outcome, error) {
	if err := request.Contract.Validate(); err != nil {
		return controller.Outcome{}, rest.NotRun(http.StatusBadRequest, "bad_contract", err.Error())
	}
	return api.change(ctx, request.Change, false, register.Command{ApplyContract: &register.ApplyContract{Base: request.Base, Contract: request.Contract}})
}

func (api *API) retire(ctx context.Context, request operator.RetireRequest) (controller.Outcome, error) {
	return api.change(ctx, request.Change, false, register.Command{RetireContract: &register.RetireContract{Base: request.Base, ClientAccount: request.ClientAccount}})
}

func (api *API) stop(ctx context.Context, request operator.StopRequest) (controller.Outcome, error) {
	switch request.Kind {
	case register.TargetEndpoint, register.TargetGroup, register.TargetNode, register.TargetDomain, register.TargetDataCentre:
	default:
		return controller.Outcome{}, rest.NotRun(http.StatusBadRequest, "bad_stop", "field kind: want endpoint, group, node, domain or data_centre")
	}
	create := &register.CreateStop{Stop: request.Stop, Kind: request.Kind, Target: request.Target}
	return api.change(ctx, request.Change, request.AcceptLoss, register.Command{CreateStop: create})
}

func (api *API) endBlock(ctx context.Context, request operator.EndBlockRequest) (controller.Outcome, error) {
	return api.change(ctx, request.Change, false, register.Command{UnblockParts: &register.UnblockParts{Block: request.Block, Reason: "operator"}})
}

func (api *API) blocks(writer http.ResponseWriter, request *http.Request) {
	overview, err := api.overview(request)
	writeAnswer(writer, operator.BlockList{Blocks: overview.Blocks}, err)
}

func (api *API) change(ctx context.Context, change id.Change, acceptLoss bool, command register.Command) (controller.Outcome, error) {
	if change == "" {
		return controller.Outcome{}, rest.NotRun(http.StatusBadRequest, "missing_change", "field change: an id of the change that a resend repeats")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	command.Change, command.Actor = change, rest.Actor(ctx)
	outcome, err := api.config.Control.Propose(ctx, peers.Proposal{Command: command, AcceptLoss: acceptLoss})
	if err != nil {
		return outcome, rest.Unknown(http.StatusServiceUnavailable, "no_leader", err.Error())
	}
	return outcome, nil
}

func (api *API) voters(ctx context.Context, request operator.VotersRequest) (controller.Outcome, error) {
	if len(request.Voters) == 0 {
		return controller.Outcome{}, rest.NotRun(http.StatusBadRequest, "bad_voters", "field voters: at least one node")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	outcome, err := api.config.Control.Propose(ctx, peers.Proposal{Voters: request.Voters, Actor: rest.Actor(ctx)})
	if err != nil {
		return outcome, rest.Unknown(http.StatusServiceUnavailable, "no_leader", err.Error())
	}
	return outcome, nil
}

func (api *API) overview(request *http.Request) (controller.Overview, error) {
	ctx, cancel := context.WithTimeout(request.Context(), readTimeout)
	defer cancel()
	overview, err := api.config.Control.Overview(ctx)
	if err != nil {
		return overview, rest.NotRun(http.StatusServiceUnavailable, "no_leader", err.Error())
	}
	return overview, nil
}

func (api *API) status(writer http.ResponseWriter, request *http.Request) {
	overview, err := api.overview(request)
	writeAnswer(writer, overview, err)
}

func (api *API) contracts(writer http.ResponseWriter, request *http.Request) {
	overview, err := api.overview(request)
	writeAnswer(writer, operator.ContractList{Contracts: overview.Contracts}, err)
}

func (api *API) stops(writer http.ResponseWriter, request *http.Request) {
	overview, err := api.overview(request)
	writeAnswer(writer, operator.StopList{Stops: overview.Stops}, err)
}

func (api *API) audit(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if text := request.URL.Query().Get("after"); err != nil && text != "" {
		rest.WriteError(writer, rest.NotRun(http.StatusBadRequest, "bad_after", "after: the index of an entry"))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), readTimeout)
	defer cancel()
	audit, err := api.config.Control.Audit(ctx, id.Index(after), auditLimit)
	if err != nil {
		err = rest.NotRun(http.StatusServiceUnavailable, "no_leader", err.Error())
	}
	writeAnswer(writer, audit, err)
}

func writeAnswer(writer http.ResponseWriter, body any, err error) {
	if err != nil {
		rest.WriteError(writer, err)
		return
	}
	rest.WriteJSON(writer, http.StatusOK, body)
}
