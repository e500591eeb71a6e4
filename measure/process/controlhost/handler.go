package controlhost

import (
	"context"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/caroblined/process/peers"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/register"
	"carobline.dev/core/process/roster"
	"carobline.dev/core/version/routing"
)

// The paths of the interface.
const (
	// AnnouncePath takes a roster.Announcement.
	AnnouncePath = "/announce"
	// DeclarePath takes a routing.Declaration.
	DeclarePath = "/declare"
	// ProfilePath returns a processor profile over the seconds that the query names.
	ProfilePath = "/profile"
)

const (
	// answerTimeout bounds the time until a request is answered.
	answerTimeout = 900 * time.Millisecond
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 1 << 20
)

// empty is an answer without content.
type empty struct{}

// handler serves engines and the operator.
type handler struct{ control *control.Control }

func newHandler(control *control.Control, _ rest.Intake) http.Handler {
	handler := handler{control: control}
	mux := http.NewServeMux()
	mux.Handle("POST "+AnnouncePath, rest.Handle(rest.Intake{}, maxBodyBytes, handler.announce))
	mux.Handle("POST "+DeclarePath, rest.Handle(rest.Intake{}, maxBodyBytes, handler.declare))
	mux.HandleFunc("GET "+ProfilePath, pprof.Profile)
	return mux
}

func (handler *handler) announce(ctx context.Context, announcement roster.Announcement) (empty, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := handler.control.AnnounceWithoutEcho(ctx, announcement); err != nil {
		return empty{}, rest.Unknown(http.StatusServiceUnavailable, "unavailable", err.Error())
	}
	return empty{}, nil
}

func (handler *handler) declare(ctx context.Context, declared routing.Declaration) (register.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	outcome, err := handler.control.Propose(ctx, peers.Proposal{Command: register.Command{
		Change: id.Change("declare-" + strconv.FormatUint(uint64(declared.Revision), 10)), Actor: "measure",
		Declare: &register.Declare{Declaration: declared},
	}})
	switch {
	case err != nil:
		return register.Result{}, rest.Unknown(http.StatusServiceUnavailable, "unavailable", err.Error())
	case outcome.Result == nil:
		return register.Result{}, rest.Unknown(http.StatusServiceUnavailable, "unavailable", "no leader answered in time")
	case outcome.Result.Verdict == register.VerdictRefused:
		return *outcome.Result, rest.NotRun(http.StatusBadRequest, "refused", outcome.Result.Reason)
	}
	return *outcome.Result, nil
}
