package callerapi

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/version/view"
)

// evacuatedRetryAfter is the Retry-After of a call that finds no endpoint outside of evacuated
// data centres once it was assigned to one.
const evacuatedRetryAfter = time.Second

// errEvacuated reports that the data centre of an endpoint was evacuated before the call was
// sent there.
var errEvacuated = errors.New("the endpoint's data centre is evacuated")

// notStarted returns why no attempt may start at an endpoint.
func (api *API) notStarted(endpoint *view.Endpoint) error {
	if api.config.View().Evacuated(endpoint.DataCentre) {
		return errors.Wrapf(errEvacuated, "endpoint %s", endpoint.Address)
	}
	return errors.Wrapf(errNotWhole, "endpoint %s", endpoint.Address)
}

// refuseEvacuated returns the refusal of a call that hasn't run and has found no endpoint
// outside of evacuated data centres, and nil for any other error.
func refuseEvacuated(err error) *rest.Error {
	if !errors.Is(err, errEvacuated) {
		return nil
	}
	refusal := rest.NotRun(http.StatusServiceUnavailable, string(dispatcher.ReasonEvacuated), "all data centres that serve this are evacuated at present")
	refusal.RetryAfter = evacuatedRetryAfter
	return refusal
}
