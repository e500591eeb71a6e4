package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/id"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/step"
)

const (
	// promptBytesPerToken estimates a prompt's length in tokens from its bytes.
	promptBytesPerToken = 4
	// prefixBytes is how much of a prompt is hashed to find the endpoint that
	// has it in its cache.
	prefixBytes = 1024
	// maxEventBytes bounds one event of an engine.
	maxEventBytes = 64 << 10
	// maxUnnumberedEvents bounds the events of one attempt that are no tokens.
	maxUnnumberedEvents = 1000
	// maxAnswerBytes bounds an answer that is collected whole before it goes to
	// the caller.
	maxAnswerBytes = 16 << 20
)

// The headers of requests to engines.
const (
	headerAttempt     = "Carobline-Attempt"
	headerGroup       = "Carobline-Group"
	headerFencing     = "Carobline-Fencing"
	headerPriority    = "Carobline-Priority"
	headerPrefix      = "Carobline-Prefix"
	headerLastEventID = "Last-Event-ID"
)

// completion holds the fields of a caller's body that are checked or decide its
// routing. The body is forwarded with only stream and max_tokens changed.
type completion struct {
	Model     id.Model        `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens *id.Tokens      `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	N         *int            `json:"n"`
}

func (api *API) completions(writer http.ResponseWriter, request *http.Request, call *call) error {
	callerBody, err := api.readBody(writer, request)
	if err != nil {
		return err
	}
	completion, body, err := api.readCompletion(callerBody, request.URL.Path, call)
	if err != nil {
		return err
	}
	prefix := prefixOf(call, completion)
	admission, err := api.config.Traffic.Admit(request.Context(), dispatcher.Call{
		ClientAccount: call.clientAccount.Contract.ClientAccount, Model: completion.Model,
		Prompt: id.Tokens(len(callerBody) / promptBytesPerToken), Prefix: prefix,
	})
	if err != nil {
		return err
	}
	api.config.RetryBudget.Earn()
	relay := &relay{api: api, call: call, admission: admission, path: request.URL.Path, body: body, prefix: prefix, maxTokens: *completion.MaxTokens}
	if completion.Stream {
		relay.sink = &streamSink{writer: writer, controller: http.NewResponseController(writer), writeTimeout: api.config.CallerWriteTimeout, call: call}
	} else {
		relay.sink = &bufferedSink{writer: writer, chat: request.URL.Path == "/v1/chat/completions"}
	}
	err = relay.run(request.Context())
	admission.Finish(relay.deliveredTokens, relay.failed)
	return err
}

// readCompletion checks a caller's body and returns the body for the engine. The
// completion's MaxTokens is set, at most to that of the contract.
func (api *API) readCompletion(callerBody []byte, path string, call *call) (completion, []byte, error) {
	var completion completion
	if err := json.Unmarshal(callerBody, &completion); err != nil {
		return completion, nil, rest.NotRun(http.StatusBadRequest, "bad_json", "the body is not a JSON object of this protocol: "+err.Error())
	}
	contract := &call.clientAccount.Contract
	switch {
	case completion.Model == "":
		return completion, nil, rest.NotRun(http.StatusBadRequest, "missing_model", "field model is missing")
	case !slices.Contains(contract.Models, completion.Model):
		return completion, nil, rest.NotRun(http.StatusNotFound, "unknown_model", "model "+string(completion.Model)+" is not in the contract; see /v1/models")
	case path == "/v1/chat/completions" && len(completion.Messages) == 0:
		return completion, nil, rest.NotRun(http.StatusBadRequest, "missing_messages", "field messages is missing")
	case path == "/v1/completions" && len(completion.Prompt) == 0:
		return completion, nil, rest.NotRun(http.StatusBadRequest, "missing_prompt", "field prompt is missing")
	case completion.N != nil && *completion.N != 1:
		return completion, nil, rest.NotRun(http.StatusBadRequest, "unsupported_n", "field n: only 1 is served")
	case completion.MaxTokens != nil && *completion.MaxTokens < 1:
		return completion, nil, rest.NotRun(http.StatusBadRequest, "bad_max_tokens", "field max_tokens: 1 or more")
	}
	maxTokens := contract.MaxTokens
	if completion.MaxTokens != nil {
		maxTokens = min(maxTokens, *completion.MaxTokens)
	}
	completion.MaxTokens = &maxTokens
	body, err := engineBody(callerBody, maxTokens)
	return completion, body, err
}

// engineBody sets stream and max_tokens in a caller's body. The engine is
// always asked for a stream, so that answers can be resumed whether the caller
// streams or not; max_tokens is bounded by the contract.
func engineBody(data []byte, maxTokens id.Tokens) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, rest.NotRun(http.StatusBadRequest, "bad_json", err.Error())
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(int64(maxTokens), 10))
	body, err := json.Marshal(fields)
	return body, step.Wrap(err, "encode body")
}

// prefixOf hashes the client account and the start of the prompt, so that
// client accounts never share a prefix.
func prefixOf(call *call, completion completion) uint64 {
	prompt := completion.Messages
	if len(prompt) == 0 {
		prompt = completion.Prompt
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(call.clientAccount.Contract.ClientAccount))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(prompt[:min(len(prompt), prefixBytes)])
	return hash.Sum64()
}

// relay passes one answer from engines to its caller, over one or more
// attempts.
type relay struct {
	api       *API
	call      *call
	admission *traffic.Admission
	path      string
	body      []byte
	prefix    uint64
	maxTokens id.Tokens
	sink      sink

	attempt int
	// deliveredTokens is the id of the last event that the sink has taken.
	// Engines number the events of an answer from 1, one a token.
	deliveredTokens id.Tokens
	failed          bool
}

// sink takes the events of an answer. It sends each to the caller, or collects
// them into a whole answer.
type sink interface {
	// event takes one event that isn't the end mark. The argument more reports
	// that the next event has already arrived whole.
	event(event *sse.Event, more bool) error
	// end takes the raw end mark and completes the answer.
	end(raw []byte) error
	// fail reports an error to the caller of an answer that has started and
	// stays incomplete.
	fail(err *rest.Error)
}

// errDemoted ends an attempt whose call has been demoted to a lower priority
// level. The call continues in a new attempt at that level.
var errDemoted = errors.New("the call was demoted to a lower priority level")

// errEndpointSlow ends an attempt at an endpoint that has been ejected as slow.
var errEndpointSlow = errors.New("the endpoint has turned slow")

// errCallerGone ends a call whose caller no longer accepts writes.
var errCallerGone = errors.New("write to the caller failed")

// run makes attempts until the answer is complete or can't be completed. A
// demotion or a move away from a slow endpoint doesn't count as an attempt.
func (relay *relay) run(ctx context.Context) error {
	for {
		relay.attempt++
		err := relay.runAttempt(ctx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errDemoted):
			relay.api.meters.demoted.Inc(1)
			if !relay.admission.Move(ctx, relay.api.config.PriorityLevels.Level(relay.deliveredTokens), false) {
				return relay.failAnswer(errors.New("no endpoint for the rest of the answer"))
			}
			relay.attempt-- // a demotion isn't a failure
		case errors.Is(err, errEndpointSlow), errors.Is(err, traffic.ErrStalled):
			relay.api.meters.resumed.Inc(1)
			if !relay.admission.Move(ctx, relay.admission.Level(), true) {
				return relay.failAnswer(err)
			}
			relay.attempt-- // neither is leaving a slow endpoint; ejections bound how often it happens
		case ctx.Err() != nil || errors.Is(err, errCallerGone):
			return rest.Unknown(rest.StatusClientClosed, "caller_gone", "the caller went away")
		default:
			if retry := relay.retryElsewhere(ctx, err); !retry {
				return relay.failAnswer(err)
			}
		}
	}
}

// retryElsewhere moves the call to another endpoint after a failed attempt. It
// returns false when the call must not be tried again or finds no endpoint.
func (relay *relay) retryElsewhere(ctx context.Context, err error) bool {
	var engineError *engineError
	if errors.As(err, &engineError) && !engineError.retry {
		return false
	}
	resumable := relay.deliveredTokens == 0 || relay.admission.Endpoint().Resumes
	if !resumable || relay.attempt >= maxAttempts || !relay.api.config.RetryBudget.Spend() {
		relay.failed = true
		return false
	}
	relay.call.log.Warn().Err(err).Str("step", "retry").Str("endpoint", relay.call.lastEndpoint).Int("attempt", relay.attempt).Msg("attempt failed; retrying the call at another endpoint")
	if relay.deliveredTokens > 0 {
		relay.api.meters.resumed.Inc(1)
	}
	return relay.admission.Move(ctx, relay.admission.Level(), true)
}

// failAnswer returns the error for a caller whose answer can't be completed. If
// the answer has started, it also reports the error within the answer.
func (relay *relay) failAnswer(err error) error {
	var engineError *engineError
	if errors.As(err, &engineError) && engineError.callerError != nil {
		return engineError.callerError
	}
	restError := rest.Unknown(http.StatusBadGateway, "upstream_failed", "the answer could not be completed: "+err.Error())
	if relay.call.answerStarted {
		relay.sink.fail(restError)
	}
	return restError
}

// engineError is an engine's answer with an error status. If retry is set, the
// call may be tried elsewhere; callerError, if set, is what the caller gets.
type engineError struct {
	retry       bool
	callerError *rest.Error
	cause       string
}

// Error implements error.
func (engineError *engineError) Error() string { return engineError.cause }

// runAttempt makes one attempt at the call's current endpoint.
func (relay *relay) runAttempt(ctx context.Context) error {
	admission := relay.admission
	endpoint := admission.Endpoint()
	relay.call.lastEndpoint = endpointName(endpoint)
	attempt, cancel, ok := admission.Attempt(ctx)
	if !ok {
		return errors.New("the endpoint is no longer whole")
	}
	defer cancel(nil)
	inactivityTimer := time.AfterFunc(relay.api.config.InactivityTimeout, func() { cancel(errEndpointSilent) })
	defer inactivityTimer.Stop()
	request, err := http.NewRequestWithContext(attempt, http.MethodPost, "http://"+endpoint.Address+relay.path, bytes.NewReader(relay.body))
	if err != nil {
		return errors.Wrapf(err, "request to %s", endpoint.Address)
	}
	relay.setHeaders(request)
	response, err := relay.api.config.EngineTransport.RoundTrip(request)
	if err != nil {
		return errors.Wrapf(causeOf(attempt, err), "call engine at %s", endpoint.Address)
	}
	defer func() { _ = response.Body.Close() }()
	if err := relay.checkResponse(response); err != nil {
		return err
	}
	err = relay.copy(response.Body, inactivityTimer)
	if err != nil && !errors.Is(err, errDemoted) && !errors.Is(err, errEndpointSlow) && !errors.Is(err, errCallerGone) {
		return errors.Wrapf(causeOf(attempt, err), "read engine at %s", endpoint.Address)
	}
	return err
}

// errEndpointSilent ends an attempt at an endpoint that has sent nothing for
// the inactivity timeout.
var errEndpointSilent = errors.New("the endpoint was silent for too long")

// causeOf returns the cause with which ctx was cancelled, or err if it wasn't.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (relay *relay) setHeaders(request *http.Request) {
	endpoint := relay.admission.Endpoint()
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(rest.HeaderRequestID, string(relay.call.id))
	header.Set(headerAttempt, strconv.Itoa(relay.attempt))
	header.Set(headerGroup, string(endpoint.Name.Group))
	header.Set(headerFencing, strconv.FormatUint(uint64(endpoint.Fencing), 10))
	header.Set(headerPriority, strconv.Itoa(int(relay.admission.Level())))
	header.Set(headerPrefix, strconv.FormatUint(uint64(uint32(relay.prefix)), 10))
	if relay.deliveredTokens > 0 {
		header.Set(headerLastEventID, strconv.FormatInt(int64(relay.deliveredTokens), 10))
	}
}

// checkResponse checks that the engine's answer belongs to this request and has
// status 200.
func (relay *relay) checkResponse(response *http.Response) error {
	if got := response.Header.Get(rest.HeaderRequestID); got != string(relay.call.id) {
		return errors.Errorf("engine answered request %q with %s, not this one", got, response.Status)
	}
	if response.StatusCode != http.StatusOK {
		return readEngineError(response)
	}
	return nil
}

// readEngineError converts an engine's error answer. Conflicts, rate limits and
// server errors depend on the engine's state and may be retried; any other
// status goes to the caller.
func readEngineError(response *http.Response) error {
	const maxBytes = 8 << 10
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	engineError := &engineError{cause: "engine answered " + response.Status + ": " + string(bytes.TrimSpace(text))}
	switch {
	case response.StatusCode == http.StatusConflict, response.StatusCode == http.StatusTooManyRequests, response.StatusCode >= http.StatusInternalServerError:
		engineError.retry = true
	default:
		engineError.callerError = rest.NotRun(response.StatusCode, "refused_by_engine", engineError.cause)
	}
	return engineError
}

// copy passes events to the sink as they arrive, up to the end mark.
func (relay *relay) copy(body io.Reader, inactivityTimer *time.Timer) error {
	reader := sse.NewReader(body, maxEventBytes)
	level := relay.admission.Level()
	for unnumbered := 0; ; {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("the stream ended without its end mark")
		}
		if err != nil {
			return err
		}
		if event.Done() {
			err := relay.sink.end(event.Raw)
			relay.drain(body, inactivityTimer)
			return err
		}
		if event.HasID && event.ID <= int64(relay.deliveredTokens) {
			continue // already delivered before the stream was resumed
		}
		if event.HasID && event.ID > int64(relay.maxTokens)+1 {
			return errors.Errorf("the stream goes on past the %d tokens that were asked for", relay.maxTokens)
		}
		if !event.HasID {
			if unnumbered++; unnumbered > maxUnnumberedEvents {
				return errors.Errorf("the stream sent more than %d events without a number", maxUnnumberedEvents)
			}
		}
		if event.HasID && event.ID != int64(relay.deliveredTokens)+1 {
			return errors.Errorf("the stream left out tokens after %d", relay.deliveredTokens)
		}
		slow, err := relay.deliver(&event, reader.Ready())
		if err != nil {
			return err
		}
		inactivityTimer.Reset(relay.api.config.InactivityTimeout)
		if slow && relay.admission.Endpoint().Resumes {
			return errEndpointSlow
		}
		if event.HasID && relay.api.config.PriorityLevels.Level(relay.deliveredTokens) > level && relay.admission.Endpoint().Resumes {
			return errDemoted
		}
	}
}

// drain reads the rest of the body, so that the transport can reuse the
// connection. The caller already has its answer, so the time and the bytes for
// this are bounded.
func (relay *relay) drain(body io.Reader, inactivityTimer *time.Timer) {
	const timeout, maxBytes = 100 * time.Millisecond, 1 << 10
	inactivityTimer.Reset(timeout)
	_, _ = io.CopyN(io.Discard, body, maxBytes)
}

// deliver passes one event to the sink. It returns true when the endpoint has
// been ejected as slow.
func (relay *relay) deliver(event *sse.Event, more bool) (slow bool, err error) {
	if !json.Valid(event.Data) {
		return false, errors.New("the engine sent an event that isn't JSON")
	}
	if err := relay.sink.event(event, more); err != nil {
		return false, err
	}
	if !event.HasID {
		return false, nil
	}
	if relay.deliveredTokens == 0 {
		relay.api.meters.firstToken.Update(relay.api.config.Now().Sub(relay.call.startedAt).Microseconds())
	}
	relay.deliveredTokens = id.Tokens(event.ID)
	relay.api.meters.tokens.Inc(1)
	return relay.admission.RecordToken(), nil
}
