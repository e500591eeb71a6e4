package entryapi

import (
	"net/http"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/version/view"
)

// Dialect is how callers and endpoints speak: the names of the headers that
// the entry host reads and sets.
type Dialect struct {
	// RequestID names a request; endpoints return it with their answers.
	RequestID string
	// TimeLeftMS is how long the caller still waits, in milliseconds.
	TimeLeftMS string
	// ExpectedHost names the host that alone may take the request.
	ExpectedHost string
	// ClientAccount tells an endpoint whose request it is.
	ClientAccount string
	// Model names the model that a request is for.
	Model string
	// NotRun is set by an endpoint that has not run the request.
	NotRun string
	// EndpointMark marks an answer as the endpoint's own; a success without it is
	// none.
	EndpointMark string
	// LastEventID names the event after which a stream should go on.
	LastEventID string
	// TokenScheme precedes the token in the header Authorization.
	TokenScheme string
}

// connectionHeaders concern one connection and aren't forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// outgoing are the headers for an endpoint: the caller's but for those of the
// connection, of the credentials, and those that the entry host sets itself.
func (dialect *Dialect) outgoing(call *call, endpoint *view.Endpoint, left time.Duration) http.Header {
	header := make(http.Header, len(call.request.Header)+4)
	for name, values := range call.request.Header {
		if !connectionHeaders[name] && !call.connectionOnly[name] {
			header[name] = values
		}
	}
	header.Del("Authorization")
	header.Del("Content-Length")
	header.Del(dialect.ClientAccount)
	if call.clientAccount != "" {
		header.Set(dialect.ClientAccount, string(call.clientAccount))
	}
	header.Set(dialect.TimeLeftMS, milliseconds(left))
	header.Set(dialect.ExpectedHost, string(endpoint.Host))
	if _, ok := header["User-Agent"]; !ok {
		// Keeps the transport from adding its own.
		header["User-Agent"] = nil
	}
	return header
}

// incoming copies an endpoint's headers to the caller.
func incoming(target, source http.Header) {
	for name, values := range source {
		if !connectionHeaders[name] {
			target[name] = values
		}
	}
}

// token is the caller's token; it is empty when there is none of the scheme.
func (dialect *Dialect) token(request *http.Request) string {
	const separator = " "
	value := request.Header.Get("Authorization")
	prefix := dialect.TokenScheme + separator
	if len(value) <= len(prefix) || !equalFold(value[:len(prefix)], prefix) {
		return ""
	}
	return value[len(prefix):]
}

func (dialect *Dialect) requestID(request *http.Request) id.Request {
	return id.Request(request.Header.Get(dialect.RequestID))
}
