package callerapi

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"carobline.dev/caroblined/request/partsguard"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/request/dispatcher"
	"carobline.dev/core/request/fingerprint"
	"carobline.dev/core/request/prompt"
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
	// maxOpeningBytes bounds what is held of an attempt's stream before its first token.
	maxOpeningBytes = 256 << 10
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
	callerBody, err := api.readBody(writer, request, call)
	if err != nil {
		return err
	}
	decoded, err := api.chargeDecoded(request.Context(), call, len(callerBody))
	if err != nil {
		return err
	}
	completion, body, err := api.readCompletion(callerBody, request.URL.Path, call)
	if err != nil {
		return err
	}
	decoded()
	parts := partsguard.Call{
		ClientAccount: call.clientAccount.Contract.ClientAccount, Parts: prompt.Messages(completion.Messages),
		Name: sync.OnceValue(func() id.PromptPart {
			return fingerprint.Of(call.clientAccount.Contract.ClientAccount, []byte(request.URL.Path), callerBody)
		}),
	}
	if err := blockedError(api.config.Guard.Check(parts)); err != nil {
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
	relay := &relay{api: api, call: call, admission: admission, path: request.URL.Path, model: completion.Model, body: body, parts: parts, prefix: prefix, maxTokens: *completion.MaxTokens}
	if completion.Stream {
		relay.sink = &streamSink{writer: writer, controller: http.NewResponseController(writer), writeTimeout: api.config.CallerWriteTimeout, call: call}
	} else {
		charge := api.config.Account.Open(call.holder(request), string(call.id), nil)
		defer charge.Close()
		relay.sink = &bufferedSink{charge: charge, now: api.config.Now, writer: writer, chat: request.URL.Path == "/v1/chat/completions"}
	}
	err = relay.run(request.Context())
	admission.Finish(relay.delivered(), relay.failed)
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
