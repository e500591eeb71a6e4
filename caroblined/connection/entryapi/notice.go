package entryapi

import (
	"net/http"
	"strconv"
	"time"
)

// maxPause bounds the pause that an endpoint may ask for.
const maxPause = 24 * time.Hour

// recordNotices passes to the balancer what an endpoint states about itself in an answer of any
// kind.
func (api *API) recordNotices(attempt *attempt, response *http.Response) {
	now := api.config.Now()
	leaving := response.Header.Get(api.config.Dialect.Leaving) == "1"
	pause := requestedPause(response)
	if !leaving && pause <= 0 {
		return
	}
	endpoint := attempt.endpoint
	api.config.Log.Info().Str("step", "notice").Str("host", string(endpoint.Host)).Uint64("incarnation", uint64(endpoint.Incarnation)).
		Bool("leaving", leaving).Int64("pause_ms", pause.Milliseconds()).Msg("an endpoint wants no more calls")
	api.mutex.Lock()
	defer api.mutex.Unlock()
	if leaving {
		api.balancer.Leaving(now, endpoint)
	}
	if pause > 0 {
		api.balancer.Paused(now, endpoint, pause)
	}
}

// requestedPause returns for how long an endpoint that refuses a call accepts no others: its
// Retry-After in seconds, also fractions. A date is ignored, since clocks differ.
func requestedPause(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.StatusCode != http.StatusServiceUnavailable || err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}
