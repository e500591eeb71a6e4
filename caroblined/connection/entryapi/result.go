package entryapi

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"carobline.dev/core/id"
	"carobline.dev/core/process/feed"
	"carobline.dev/core/request/balancer"
)

// maxLoggedParts bounds the parts of a prompt in a line of the log.
const maxLoggedParts = 8

// result is the outcome of a call, as written to the log.
type result struct {
	status    int
	reason    string
	outcome   string
	endpoint  feed.Endpoint
	host      id.Host
	events    int
	abort     bool
	queueTime time.Duration
	running   int
	limit     int
	waiting   int
	err       error
	// timeToFirstEvent is measured from the arrival of the request. longestPause
	// is the longest time between two writes of events.
	timeToFirstEvent, longestPause time.Duration
	// framing is that of the endpoint's answer. unfinishedBytes is what followed
	// the last complete event of a stream.
	framing         framing
	unfinishedBytes int
	breakage        breakage
	// block is that of a refusal of parts of the prompt.
	block id.PartsBlock
	// across reports that the endpoint is in another data centre.
	across bool
}

// shedOutcome is the effect of a shortage of room on a call, as named in the counters.
type shedOutcome string

// Delayed calls waited for an endpoint, refused ones got none, and the callers of late ones had
// waited past their target before.
const (
	shedDelayed shedOutcome = "delayed"
	shedRefused shedOutcome = "refused"
	shedLate    shedOutcome = "late"
)

// countShed counts a call that a shortage of room met, by its priority. The declaration bounds the
// number of priorities.
func (api *API) countShed(what shedOutcome, priority int) {
	metrics.GetOrRegisterCounter("entry."+string(what)+"."+strconv.Itoa(priority), api.config.Metrics).Inc(1)
}

// record writes the log line of a request and updates the metrics.
func (api *API) record(call *call, result result) {
	elapsed := api.config.Now().Sub(call.arrivedAt)
	api.latency.Update(elapsed.Milliseconds())
	metrics.GetOrRegisterCounter("entry.answers."+strconv.Itoa(result.status), api.config.Metrics).Inc(1)
	event := api.config.Log.Info().Str("step", "request").Str("request", string(call.id)).Int("status", result.status).
		Str("reason", result.reason).Str("outcome", result.outcome).Int64("took_ms", elapsed.Milliseconds()).Int64("waited_ms", result.queueTime.Milliseconds())
	if call.table != nil {
		event = event.Uint64("revision", uint64(call.table.Declaration().Revision))
	}
	if call.route != nil {
		event = event.Str("route", call.route.Name).Str("customer", string(call.clientAccount)).Str("service", string(call.pool.Service)).
			Str("model", string(call.pool.Model)).Int("priority", call.priority).Bool("late", call.late).Int64("left_ms", call.deadline.Sub(call.arrivedAt).Milliseconds())
	}
	if len(call.sharedParts) > 0 {
		event = event.Interface("parts", call.sharedParts[:min(len(call.sharedParts), maxLoggedParts)])
	}
	if result.block != "" {
		event = event.Str("block", string(result.block))
	}
	if result.host != "" {
		event = event.Str("host", string(result.host)).Str("group", string(result.endpoint.Group)).
			Int("running", result.running).Int("limit", result.limit).Int("events", result.events).Int("tried", len(call.tried)).
			Int64("first_ms", result.timeToFirstEvent.Milliseconds()).Int64("pause_ms", result.longestPause.Milliseconds()).
			Bool("across", result.across).Str("framing", string(result.framing)).Int("unfinished_bytes", result.unfinishedBytes)
	}
	if result.host == "" && result.limit > 0 {
		event = event.Int("running", result.running).Int("limit", result.limit).Int("waiting", result.waiting)
	}
	if call.memory == memoryPassedThrough {
		api.passedThrough.Inc(1)
	}
	if call.memory != "" {
		event = event.Str("memory", string(call.memory))
	}
	event = event.EmbedObject(result.breakage)
	if result.err != nil {
		event = event.Str("error", result.err.Error())
	}
	if result.reason == string(balancer.ReasonEvacuated) {
		api.refusedEvacuated.Inc(1)
	}
	event.Send()
}

// refusal is an answer that the entry host gives itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// closeConnection ends the connection after the answer, so that the caller
	// reconnects to another node.
	closeConnection bool
	// decision holds the balancer's figures, and block the block of parts of the prompt,
	// for the log.
	decision balancer.Decision
	block    id.PartsBlock
}

// closingConnection makes a refusal the last answer on its connection.
func closingConnection(refusal *refusal) *refusal {
	refusal.closeConnection = true
	return refusal
}

func newRefusal(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, reason: reason, retryAfter: retryAfter}
}

// refuse writes an answer of the entry host, with the refusal's reason as its
// body. The result's outcome is not_run; fail and failWithoutEndpoint replace
// it where the request may have run.
func (api *API) refuse(writer http.ResponseWriter, call *call, refusal *refusal) result {
	header := writer.Header()
	if refusal.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.retryAfter.Seconds(), 'f', 3, 64))
	}
	if call.id != "" {
		header.Set(api.config.Dialect.RequestID, string(call.id))
	}
	if refusal.closeConnection {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(refusal.status)
	// A write fails only when the caller has disconnected, and then there is no one to
	// report it to.
	_, _ = io.WriteString(writer, refusal.reason+"\n")
	return result{
		status: refusal.status, reason: refusal.reason, outcome: "not_run",
		running: refusal.decision.Running, limit: refusal.decision.Limit, waiting: refusal.decision.Waiting, block: refusal.block,
	}
}
