package entryapi

import (
	"net/http"
	"slices"
)

// resentHeaders are the headers by which net/http takes a request for one that it may send
// again.
var resentHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// resentMethods are the methods of the requests that net/http may send again.
var resentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// transport returns what sends a request of a call. A kept connection may break before the
// answer, and net/http then sends some requests again by itself.
func (api *API) transport(call *call, request *http.Request) http.RoundTripper {
	if !call.route.Idempotent() && mayBeResent(request) {
		return api.config.SingleSendTransport
	}
	return api.config.Transport
}

// mayBeResent reports whether net/http may send a request again by itself.
func mayBeResent(request *http.Request) bool {
	return (request.Body == nil || request.Body == http.NoBody) && replayable(request)
}

// replayable reports whether net/http takes a request for one that may run twice.
func replayable(request *http.Request) bool {
	return slices.Contains(resentMethods, request.Method) || slices.ContainsFunc(resentHeaders, func(name string) bool {
		_, set := request.Header[name]
		return set
	})
}
