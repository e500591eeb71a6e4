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
	// bytesPerToken estimates a prompt's length.
	bytesPerToken = 4
	// prefixBytes is how much of a prompt decides where it is cached.
	prefixBytes = 1024
	// eventBytes bounds one event of an engine.
	eventBytes = 64 << 10
	// wholeBytes bounds an answer that is gathered for a caller.
	wholeBytes = 16 << 20
)

// The headers towards engines.
const (
	headerAttempt     = "Carobline-Attempt"
	headerGroup       = "Carobline-Group"
	headerFencing     = "Carobline-Fencing"
	headerPriority    = "Carobline-Priority"
	headerPrefix      = "Carobline-Prefix"
	headerLastEventID = "Last-Event-ID"
)

// completion holds the fields of a caller's body that decide its way. The body
// itself is passed on with only stream and max_tokens changed.
type completion struct {
	Model     id.Model        `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens *id.Tokens      `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	N         *int            `json:"n"`
}

func (api *API) completions(writer http.ResponseWriter, request *http.Request, current *call) error {
	data, err := api.readBody(writer, request)
	if err != nil {
		return err
	}
	asked, body, err := api.readCompletion(data, request.URL.Path, current)
	if err != nil {
		return err
	}
	prefix := prefixOf(current, asked)
	admission, err := api.config.Traffic.Admit(request.Context(), dispatcher.Call{
		ClientAccount: current.clientAccount.Contract.ClientAccount, Model: asked.Model,
		Prompt: id.Tokens(len(data) / bytesPerToken), Prefix: prefix,
	})
	if err != nil {
		return err
	}
	api.config.RetryBudget.Earn()
	relay := &relay{api: api, call: current, admission: admission, path: request.URL.Path, body: body, prefix: prefix}
	if asked.Stream {
		relay.sink = &streamSink{writer: writer, control: http.NewResponseController(writer), stall: api.config.CallerWriteTimeout, call: current}
	} else {
		relay.sink = &wholeSink{writer: writer, chat: request.URL.Path == "/v1/chat/completions"}
	}
	err = relay.run(request.Context())
	admission.Finish(relay.tokens, relay.failed)
	return err
}

// readCompletion checks a body and draws up the one for the engine.
func (api *API) readCompletion(data []byte, path string, current *call) (completion, []byte, error) {
	var asked completion
	if err := json.Unmarshal(data, &asked); err != nil {
		return asked, nil, rest.NotRun(http.StatusBadRequest, "bad_json", "the body is not a JSON object of this protocol: "+err.Error())
	}
	agreed := &current.clientAccount.Contract
	switch {
	case asked.Model == "":
		return asked, nil, rest.NotRun(http.StatusBadRequest, "missing_model", "field model is missing")
	case !slices.Contains(agreed.Models, asked.Model):
		return asked, nil, rest.NotRun(http.StatusNotFound, "unknown_model", "model "+string(asked.Model)+" is not in the contract; see /v1/models")
	case path == "/v1/chat/completions" && len(asked.Messages) == 0:
		return asked, nil, rest.NotRun(http.StatusBadRequest, "missing_messages", "field messages is missing")
	case path == "/v1/completions" && len(asked.Prompt) == 0:
		return asked, nil, rest.NotRun(http.StatusBadRequest, "missing_prompt", "field prompt is missing")
	case asked.N != nil && *asked.N != 1:
		return asked, nil, rest.NotRun(http.StatusBadRequest, "unsupported_n", "field n: only 1 is served")
	case asked.MaxTokens != nil && *asked.MaxTokens < 1:
		return asked, nil, rest.NotRun(http.StatusBadRequest, "bad_max_tokens", "field max_tokens: 1 or more")
	}
	most := agreed.MaxTokens
	if asked.MaxTokens != nil {
		most = min(most, *asked.MaxTokens)
	}
	body, err := rewrite(data, most)
	return asked, body, err
}

// rewrite asks the engine for a stream whatever the caller wants, so that both
// kinds of answers can be resumed, and bounds the answer by the contract.
func rewrite(data []byte, most id.Tokens) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, rest.NotRun(http.StatusBadRequest, "bad_json", err.Error())
	}
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(int64(most), 10))
	body, err := json.Marshal(fields)
	return body, step.Wrap(err, "encode body")
}

// prefixOf hashes the start of a prompt, apart for each customer.
func prefixOf(current *call, asked completion) uint64 {
	prompt := asked.Messages
	if len(prompt) == 0 {
		prompt = asked.Prompt
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(current.clientAccount.Contract.ClientAccount))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(prompt[:min(len(prompt), prefixBytes)])
	return hash.Sum64()
}

// relay carries one answer from engines to its caller, over as many attempts as
// it takes.
type relay struct {
	api       *API
	call      *call
	admission *traffic.Admission
	path      string
	body      []byte
	prefix    uint64
	sink      sink

	attempt int
	// tokens is the number of the last event that the caller has got.
	tokens id.Tokens
	failed bool
}

// sink is where events go: straight to the caller, or into a whole answer.
type sink interface {
	// event takes one event that isn't the end mark. More says that another one
	// has arrived whole.
	event(event *sse.Event, more bool) error
	// end takes the end mark and completes the answer.
	end(raw []byte) error
	// cut tells the caller that a begun answer stays incomplete.
	cut(err *rest.Error)
}

// errSunk ends an attempt whose call has sunk to a lower level.
var errSunk = errors.New("the call has sunk a level")

// errSlow ends an attempt at an endpoint that has been ejected as slow.
var errSlow = errors.New("the endpoint has turned slow")

// errCallerGone ends a call whose caller takes no more.
var errCallerGone = errors.New("the caller took no more")

func (relay *relay) run(ctx context.Context) error {
	for {
		relay.attempt++
		err := relay.try(ctx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, errSunk):
			relay.api.meters.demoted.Inc(1)
			if !relay.admission.Move(ctx, relay.api.config.PriorityLevels.Level(relay.tokens), false) {
				return relay.giveUp(errors.New("no endpoint for the rest of the answer"))
			}
			relay.attempt-- // sinking isn't a failure
		case errors.Is(err, errSlow), errors.Is(err, traffic.ErrStalled):
			relay.api.meters.resumed.Inc(1)
			if !relay.admission.Move(ctx, relay.admission.Level(), true) {
				return relay.giveUp(err)
			}
			relay.attempt-- // nor is leaving a slow endpoint; ejections bound it
		case ctx.Err() != nil || errors.Is(err, errCallerGone):
			return rest.Unknown(rest.StatusClientClosed, "caller_gone", "the caller went away")
		default:
			if again := relay.recover(ctx, err); !again {
				return relay.giveUp(err)
			}
		}
	}
}

// recover finds another endpoint after a failed attempt, if one may be tried.
func (relay *relay) recover(ctx context.Context, err error) bool {
	var refused *engineError
	if errors.As(err, &refused) && !refused.retry {
		return false
	}
	resumable := relay.tokens == 0 || relay.admission.Endpoint().Resumes
	if !resumable || relay.attempt >= mostAttempts || !relay.api.config.RetryBudget.Spend() {
		relay.failed = true
		return false
	}
	relay.call.log.Warn().Err(err).Str("step", "retry").Str("endpoint", relay.call.endpoint).Int("attempt", relay.attempt).Msg("attempt failed; the call goes on elsewhere")
	if relay.tokens > 0 {
		relay.api.meters.resumed.Inc(1)
	}
	return relay.admission.Move(ctx, relay.admission.Level(), true)
}

// giveUp tells the caller that there is no whole answer.
func (relay *relay) giveUp(err error) error {
	var refused *engineError
	if errors.As(err, &refused) && refused.shown != nil {
		return refused.shown
	}
	shown := rest.Unknown(http.StatusBadGateway, "upstream_failed", "the answer could not be completed: "+err.Error())
	if relay.call.answered {
		relay.sink.cut(shown)
	}
	return shown
}

// engineError is an engine's own refusal.
type engineError struct {
	retry bool
	shown *rest.Error
	cause string
}

// Error implements error.
func (engineError *engineError) Error() string { return engineError.cause }

// try makes one attempt at the present endpoint.
func (relay *relay) try(ctx context.Context) error {
	admission := relay.admission
	endpoint := admission.Endpoint()
	relay.call.endpoint = endpointName(endpoint)
	attempt, cancel, ok := admission.Attempt(ctx)
	if !ok {
		return errors.New("the endpoint is no longer whole")
	}
	defer cancel(nil)
	silence := time.AfterFunc(relay.api.config.InactivityTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
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
	if err := relay.checkHead(response); err != nil {
		return err
	}
	err = relay.copy(response.Body, silence)
	if err != nil && !errors.Is(err, errSunk) && !errors.Is(err, errSlow) && !errors.Is(err, errCallerGone) {
		return errors.Wrapf(causeOf(attempt, err), "read engine at %s", endpoint.Address)
	}
	return err
}

// errSilent ends an attempt at an endpoint that sends nothing.
var errSilent = errors.New("the endpoint was silent for too long")

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
	if relay.tokens > 0 {
		header.Set(headerLastEventID, strconv.FormatInt(int64(relay.tokens), 10))
	}
}

// checkHead makes sure that the answer is a stream and that of this request.
func (relay *relay) checkHead(response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	if got := response.Header.Get(rest.HeaderRequestID); got != string(relay.call.id) {
		return errors.Errorf("engine answered request %q, not this one", got)
	}
	return nil
}

// readRefusal shows an engine's refusal; those of its own state are retried.
func readRefusal(response *http.Response) error {
	const most = 8 << 10
	text, _ := io.ReadAll(io.LimitReader(response.Body, most))
	refused := &engineError{cause: "engine answered " + response.Status + ": " + string(bytes.TrimSpace(text))}
	switch {
	case response.StatusCode == http.StatusConflict, response.StatusCode == http.StatusTooManyRequests, response.StatusCode >= http.StatusInternalServerError:
		refused.retry = true
	default:
		refused.shown = rest.NotRun(response.StatusCode, "refused_by_engine", refused.cause)
	}
	return refused
}

// copy hands events on as they come, until the end mark.
func (relay *relay) copy(body io.Reader, silence *time.Timer) error {
	reader := sse.NewReader(body, eventBytes)
	level := relay.admission.Level()
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("the stream ended without its end mark")
		}
		if err != nil {
			return err
		}
		if event.Done() {
			err := relay.sink.end(event.Raw)
			relay.drain(body, silence)
			return err
		}
		if event.HasID && event.ID <= int64(relay.tokens) {
			continue // a repeat after a resumption
		}
		if event.HasID && event.ID != int64(relay.tokens)+1 {
			return errors.Errorf("the stream left out tokens after %d", relay.tokens)
		}
		slow, err := relay.deliver(&event, reader.Ready())
		if err != nil {
			return err
		}
		silence.Reset(relay.api.config.InactivityTimeout)
		if slow && relay.admission.Endpoint().Resumes {
			return errSlow
		}
		if event.HasID && relay.api.config.PriorityLevels.Level(relay.tokens) > level && relay.admission.Endpoint().Resumes {
			return errSunk
		}
	}
}

// drain reads up to the end of the body, which lets the connection be used
// again. The caller has its answer already.
func (relay *relay) drain(body io.Reader, silence *time.Timer) {
	const patience, most = 100 * time.Millisecond, 1 << 10
	silence.Reset(patience)
	_, _ = io.CopyN(io.Discard, body, most)
}

// deliver hands one event on, and tells whether the endpoint has turned slow.
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
	if relay.tokens == 0 {
		relay.api.meters.firstToken.Update(relay.api.config.Now().Sub(relay.call.began).Microseconds())
	}
	relay.tokens = id.Tokens(event.ID)
	relay.api.meters.tokens.Inc(1)
	return relay.admission.RecordToken(), nil
}
