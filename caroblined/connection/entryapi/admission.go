package entryapi

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/process/memory"
	"carobline.dev/core/request/balancer"
	"carobline.dev/core/request/prompt"
	"carobline.dev/core/version/routing"
	"carobline.dev/core/version/view"
)

const (
	// callerTimeoutSlack is the fraction of a route's timeout by which a
	// caller's own timeout may be shorter. A caller with less time left than
	// that has already waited in an earlier attempt.
	callerTimeoutSlack = 0.15
	// startupTime is within how long of its start an entry host gets a configuration in
	// force when the whole system starts at once.
	startupTime = 2 * time.Second
	// maxCallerTimeLeft stands for any longer time that a caller states.
	maxCallerTimeLeft = time.Hour
)

// call is the state of one request of a caller.
type call struct {
	request *http.Request
	id      id.Request
	body    []byte
	// bodyCharge is what the body holds of the account, until the call ends.
	bodyCharge    *memory.Charge
	route         *routing.Route
	table         *routing.Table
	clientAccount id.ClientAccount
	// sharedParts are the parts of the prompt that other requests may have too.
	sharedParts []id.PromptPart
	// requestName returns the name of the request. It is nil until the body has come.
	requestName func() id.PromptPart
	// brokenAt is the endpoint at which an answer to the call last broke off, or nil.
	// breaks counts those that have before the answer had begun.
	brokenAt  *view.Endpoint
	breaks    int
	pool      balancer.Pool
	priority  int
	arrivedAt time.Time
	deadline  time.Time
	// work is the time that the call takes of a group of engines; zero if that isn't known.
	work time.Duration
	// late reports that the caller has already waited past the route's target
	// in an earlier attempt.
	late              bool
	connectionOptions map[string]bool
	// tried lists the endpoints that the call was sent to. possibleRuns counts
	// those that may have run it.
	tried        []feed.Endpoint
	possibleRuns int
	// runningAt is the endpoint that may still answer the call if it gets no other.
	runningAt feed.Endpoint
	// streaming reports that the caller has got a part of a stream, so that only a stream
	// can go on with the call.
	streaming bool
	// failure is the latest answer by which an endpoint stated that it has failed. The caller
	// gets it if no other endpoint answers.
	failure *failureAnswer
	// seeking reports that the call is a copy, for which a replacement is sought, so that there is
	// no caller to write to yet.
	seeking bool
	// memory is what a shortage of memory last meant for the call.
	memory memoryVerdict
}

// admit looks up the route and the client account of a request in the view in
// force, and sets the call's deadline and pool.
func (api *API) admit(call *call) *refusal {
	now, current := api.config.Now(), api.config.View()
	if current.Routing == nil || !current.AcceptsNewWork(now) {
		return closingConnection(newRefusal(http.StatusServiceUnavailable, "no_state_in_force", api.stateRetryAfter(now, current)))
	}
	if call.id == "" {
		return newRefusal(http.StatusBadRequest, "no_request_id", 0)
	}
	call.table = current.Routing
	path, _, _ := strings.Cut(call.request.RequestURI, "?")
	route, ok := current.Routing.Match(call.request.Host, path)
	if !ok {
		return newRefusal(http.StatusNotFound, "no_route", 0)
	}
	call.route, call.priority = route, route.Priority
	if refusal := api.authenticate(call); refusal != nil {
		return refusal
	}
	call.deadline = call.arrivedAt.Add(route.Timeout())
	if timeLeft, ok := api.callerTimeLeft(call); ok {
		if callerDeadline := call.arrivedAt.Add(timeLeft); callerDeadline.Before(call.deadline) {
			call.deadline = callerDeadline
			call.late = waitedPastTarget(route, callerDeadline.Sub(call.arrivedAt))
		}
	}
	call.pool = api.choosePool(call)
	call.sharedParts = prompt.Shared(call.request.Header.Values(api.config.Dialect.PromptParts))
	call.connectionOptions = parseConnectionOptions(call.request.Header)
	return api.refuseBlocked(call)
}

// callerTimeLeft returns how long the caller waits from the call's arrival on. It returns false
// if the caller doesn't state it, or states what isn't a number.
func (api *API) callerTimeLeft(call *call) (time.Duration, bool) {
	timeLeft, err := strconv.ParseFloat(call.request.Header.Get(api.config.Dialect.TimeLeftMS), 64)
	if errors.Is(err, strconv.ErrRange) {
		err = nil // timeLeft is infinite
	}
	if err != nil || math.IsNaN(timeLeft) {
		return 0, false
	}
	// The conversion of a number outside the range of a Duration depends on the processor.
	longest := float64(maxCallerTimeLeft.Milliseconds())
	return time.Duration(max(0, min(timeLeft, longest)) * float64(time.Millisecond)), true
}

// stateRetryAfter returns when a node without a configuration in force may have one. A
// node that has had one is cut off, while others may serve; one that has just started
// gets callers only if all others have too.
func (api *API) stateRetryAfter(now time.Time, current *view.View) time.Duration {
	if current.Routing != nil {
		return defaultRetryAfter
	}
	return max(defaultRetryAfter, startupTime-now.Sub(api.startedAt))
}

// waitedPastTarget reports whether a caller with this much time left has
// already waited past the route's target, as one that retries after a refusal
// has.
func waitedPastTarget(route *routing.Route, timeLeft time.Duration) bool {
	slack := time.Duration(callerTimeoutSlack * float64(route.Timeout()))
	return route.Timeout()-timeLeft > max(route.Target(), slack)
}

// authenticate finds the client account of a call. A call without credentials has none, and is
// refused unless its route is open to all; one with credentials is judged by them on every route.
func (api *API) authenticate(call *call) *refusal {
	call.clientAccount = ""
	if !call.table.RequiresToken() {
		return nil
	}
	token, given := api.config.Dialect.credentials(call.request)
	if !given && call.route.Anonymous {
		return nil
	}
	clientAccount, ok := call.table.Authenticate(token)
	if token == "" || !ok {
		return newRefusal(http.StatusUnauthorized, "unknown_token", 0)
	}
	call.clientAccount = clientAccount.Name
	if clientAccount.Priority != nil {
		call.priority = *clientAccount.Priority
	}
	return nil
}

// choosePool picks one of the route's services at random, by weight.
func (api *API) choosePool(call *call) balancer.Pool {
	random := 0.0
	if len(call.route.Backends) > 1 {
		api.mutex.Lock()
		random = api.config.Rand.Float64()
		api.mutex.Unlock()
	}
	pool := balancer.Pool{Service: call.route.Pick(random)}
	service, ok := call.table.Declaration().Service(pool.Service)
	if ok && service.Engine != nil {
		pool.Model = id.Model(call.request.Header.Get(api.config.Dialect.Model))
	}
	return pool
}

// parseConnectionOptions returns the names of the headers that the Connection
// header declares as hop-by-hop.
func parseConnectionOptions(header http.Header) map[string]bool {
	var options map[string]bool
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if options == nil {
				options = map[string]bool{}
			}
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
