package entryapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"carobline.dev/core/id"
	"carobline.dev/core/request/shedding"
	"carobline.dev/core/version/view"
)

// Dialect holds the names of the headers that the entry host reads and sets,
// and the scheme of the Authorization header.
type Dialect struct {
	// RequestID identifies a request. Endpoints return it with their answers.
	RequestID string
	// TimeLeftMS carries the time for which the caller still waits, in
	// milliseconds.
	TimeLeftMS string
	// ExpectedHost names the only host that may take the request.
	ExpectedHost string
	// ClientAccount names the client account of the request to the endpoint.
	ClientAccount string
	// Model names the model that a request is for.
	Model string
	// PromptParts lists the parts of the request's prompt, as package prompt reads them.
	PromptParts string
	// Priority carries the priority at which an engine admits a request, see shedding.EngineLevel.
	// Without a name it isn't set.
	Priority string
	// NotRun is set by an endpoint that has not run the request.
	NotRun string
	// Leaving is set by an endpoint that will stop and wants no further requests.
	Leaving string
	// EndpointMark marks an answer as the endpoint's own. A success without it
	// is rejected.
	EndpointMark string
	// LastEventID carries the id of the event after which a stream is to
	// resume.
	LastEventID string
	// TokenCounts carries the tokens of a request's prompt and the most that its answer may
	// have, as "PROMPT,MOST". LengthHint carries the caller's estimate of the answer's tokens.
	TokenCounts string
	LengthHint  string
	// TokenScheme precedes the token in the Authorization header.
	TokenScheme string
}

// hopByHopHeaders apply to a single connection and aren't forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true,
}

// requestHeaders returns the headers for an endpoint: those of the caller
// without hop-by-hop headers, credentials and the headers that the entry host
// sets itself.
func (dialect *Dialect) requestHeaders(call *call, endpoint *view.Endpoint, timeLeft time.Duration) http.Header {
	header := make(http.Header, len(call.request.Header)+4)
	for name, values := range call.request.Header {
		if !hopByHopHeaders[name] && !call.connectionOptions[name] {
			header[name] = values
		}
	}
	header.Del("Authorization")
	header.Del("Content-Length")
	header.Del(dialect.ClientAccount)
	if call.clientAccount != "" {
		header.Set(dialect.ClientAccount, string(call.clientAccount))
	}
	header.Set(dialect.TimeLeftMS, milliseconds(timeLeft))
	header.Set(dialect.ExpectedHost, string(endpoint.Host))
	if level, ok := call.engineLevel(); ok && dialect.Priority != "" {
		header.Set(dialect.Priority, strconv.Itoa(level))
	}
	if _, ok := header["User-Agent"]; !ok {
		// A nil value keeps the transport from adding its own User-Agent.
		header["User-Agent"] = nil
	}
	return header
}

// ranked reports whether the call is to engines, and the routes to those differ in priority.
func (call *call) ranked() bool {
	if call.table == nil || !call.table.RanksEngineCalls() {
		return false
	}
	service, ok := call.table.Declaration().Service(call.pool.Service)
	return ok && service.Engine != nil
}

// engineLevel returns the priority at which an engine is to admit the call. It returns false where
// engines treat all calls alike; what the caller has sent under the header's name is then passed
// on, as any other header.
func (call *call) engineLevel() (int, bool) {
	if !call.ranked() {
		return 0, false
	}
	return shedding.EngineLevel(call.table.EnginePriorities(), shedding.Call{Priority: call.priority, Late: call.late}, len(call.tried) > 0), true
}

// copyHeaders copies an endpoint's headers, except hop-by-hop headers, to the
// answer to the caller.
func copyHeaders(target, source http.Header) {
	for name, values := range source {
		if !hopByHopHeaders[name] {
			target[name] = values
		}
	}
}

// credentials returns the caller's token, and whether the request has an Authorization header
// at all. The token is empty unless there is one header, of the dialect's scheme.
func (dialect *Dialect) credentials(request *http.Request) (token string, given bool) {
	const separator = " "
	values := request.Header["Authorization"]
	prefix := dialect.TokenScheme + separator
	if len(values) != 1 || len(values[0]) <= len(prefix) || !equalFold(values[0][:len(prefix)], prefix) {
		return "", len(values) > 0
	}
	return values[0][len(prefix):], true
}

func (dialect *Dialect) requestID(request *http.Request) id.Request {
	return id.Request(request.Header.Get(dialect.RequestID))
}

func milliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(0, duration.Milliseconds()), 10)
}

func equalFold(a, b string) bool { return strings.EqualFold(a, b) }
