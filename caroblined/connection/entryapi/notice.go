package entryapi

import "net/http"

// recordNotices tells the balancer what an endpoint says of itself in an answer of any
// kind.
func (api *API) recordNotices(attempt *attempt, response *http.Response) {
	now := api.config.Now()
	leaving := response.Header.Get(api.config.Dialect.Leaving) == "1"
	if !leaving {
		return
	}
	endpoint := attempt.endpoint
	api.config.Log.Info().Str("step", "notice").Str("host", string(endpoint.Host)).Uint64("incarnation", uint64(endpoint.Incarnation)).
		Bool("leaving", leaving).Msg("an endpoint wants no more calls")
	api.mutex.Lock()
	defer api.mutex.Unlock()
	api.balancer.Leaving(now, endpoint)
}
