package operatorapi

import (
	"context"
	"net/http"

	"carobline.dev/caroblined/process/control"
	"carobline.dev/core/connection/operator"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/controller"
)

func (api *API) startEvacuation(ctx context.Context, request operator.EvacuationRequest) (controller.Outcome, error) {
	return api.evacuate(ctx, request, false)
}

func (api *API) finishEvacuation(ctx context.Context, request operator.EvacuationRequest) (controller.Outcome, error) {
	return api.evacuate(ctx, request, true)
}

func (api *API) evacuate(ctx context.Context, request operator.EvacuationRequest, finish bool) (controller.Outcome, error) {
	if request.Change == "" {
		return controller.Outcome{}, rest.NotRun(http.StatusBadRequest, "missing_change", "field change: an id of the change that a resend repeats")
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	outcome, err := api.config.Control.Evacuate(ctx, control.Evacuation{Change: request.Change, Actor: rest.Actor(ctx), DataCentre: request.DataCentre, Finish: finish})
	if err != nil {
		return outcome, rest.Unknown(http.StatusServiceUnavailable, "no_leader", err.Error())
	}
	return outcome, nil
}

func (api *API) evacuations(writer http.ResponseWriter, request *http.Request) {
	overview, err := api.overview(request)
	writeAnswer(writer, operator.EvacuationList{Version: overview.Evacuations.Version, DataCentres: overview.Evacuations.DataCentres}, err)
}
