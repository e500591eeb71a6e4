// Package peerapi is the HTTP API for other nodes: messages between voters, the
// nodes' reports, changes forwarded to the leader, and reads of what only the
// leader has.
//
// # Usage
//
//	handler := peerapi.New(loop, credentials, intake).Handler()
package peerapi

import (
	"context"
	"net/http"
	"strconv"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/controller"
	"carobline.dev/core/process/feed"
)

// bodyBytes bounds a message. The largest messages carry a snapshot.
const bodyBytes = 256 << 20

// API handles requests of other nodes.
type API struct {
	control     *control.Control
	credentials []rest.Credential
	intake      rest.Intake
}

// New returns an API that accepts the given credentials of peers and reads their messages with intake.
func New(control *control.Control, credentials []rest.Credential, intake rest.Intake) *API {
	return &API{control: control, credentials: credentials, intake: intake}
}

// Handler returns the HTTP handler of the peers' listener.
func (api *API) Handler() http.Handler {
	return rest.Require(api.credentials, api.UnauthenticatedHandler())
}

// UnauthenticatedHandler is Handler without the check of credentials, for
// networks that only nodes can reach.
func (api *API) UnauthenticatedHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /peer/v1/quorum", rest.Handle(api.intake, bodyBytes, api.quorum))
	mux.Handle("POST /peer/v2/feed", rest.Handle(api.intake, bodyBytes, api.feed))
	mux.Handle("POST /peer/v1/propose", rest.Handle(api.intake, bodyBytes, api.propose))
	mux.HandleFunc("GET /peer/v1/overview", api.overview)
	mux.HandleFunc("GET /peer/v1/audit", api.audit)
	mux.HandleFunc("GET /peer/v1/declaration", api.declaration)
	return mux
}

func (api *API) quorum(_ context.Context, messages peers.Messages) (peers.Empty, error) {
	return peers.Empty{}, unavailable(api.control.Deliver(messages.Messages))
}

func (api *API) feed(ctx context.Context, request feed.Request) (peers.FeedAnswer, error) {
	answer, err := api.control.Feed(ctx, request)
	return answer, unavailable(err)
}

func (api *API) propose(ctx context.Context, proposal peers.Proposal) (controller.Outcome, error) {
	outcome, err := api.control.ProposeHere(ctx, proposal)
	return outcome, unavailable(err)
}

func (api *API) overview(writer http.ResponseWriter, request *http.Request) {
	overview, ok := api.control.OverviewHere(request.Context())
	writeIfLeader(writer, overview, ok)
}

func (api *API) declaration(writer http.ResponseWriter, request *http.Request) {
	record, ok := api.control.DeclarationHere(request.Context())
	writeIfLeader(writer, record, ok)
}

func (api *API) audit(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	limit, err := strconv.Atoi(request.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		rest.WriteError(writer, rest.NotRun(http.StatusBadRequest, "bad_limit", "limit: 1 or more"))
		return
	}
	audit, ok := api.control.AuditHere(request.Context(), id.Index(after), limit)
	writeIfLeader(writer, audit, ok)
}

func writeIfLeader(writer http.ResponseWriter, body any, isLeader bool) {
	if !isLeader {
		rest.WriteError(writer, rest.NotRun(http.StatusMisdirectedRequest, "not_leader", "this node doesn't lead"))
		return
	}
	rest.WriteJSON(writer, http.StatusOK, body)
}

func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return rest.Unknown(http.StatusServiceUnavailable, "unavailable", err.Error())
}
