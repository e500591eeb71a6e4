package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/sse"
	"carobline.dev/soak/process/cluster"
	"carobline.dev/soak/process/falsehost"
	"carobline.dev/soak/process/judge"
)

const (
	maxTokens     = 40
	maxEventBytes = 64 << 10
)

// newRequest returns the request of a call, and completes the call by what it asks for.
func newRequest(ctx context.Context, call *judge.Call, token string, random *rand.Rand) (*http.Request, error) {
	method, path, body := http.MethodPost, "/services/"+cluster.Service+"/bookings", `{"batch":"`+call.Nonce+`"}`
	switch call.Kind {
	case judge.Quote:
		path = "/services/" + cluster.Service + "/quotes"
	case judge.Stock:
		method, path, body = http.MethodGet, "/services/"+cluster.Service+"/stock", ""
	case judge.Stream, judge.Whole:
		call.Tokens = 1 + random.IntN(maxTokens)
		call.Prompt = fmt.Sprintf(`[{"role":"user","content":"%s tokens=%d"}]`, call.Nonce, call.Tokens)
		path = "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"stream":%t,"messages":%s}`, cluster.Model, call.Kind == judge.Stream, call.Prompt)
	}
	request, err := http.NewRequestWithContext(ctx, method, call.Entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set(falsehost.HeaderNonce, call.Nonce)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	return request, nil
}

// exchange sends a request and records the answer in the call.
func exchange(transport http.RoundTripper, request *http.Request, call *judge.Call) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	call.Status = response.StatusCode
	call.Outcome = rest.Outcome(response.Header.Get(rest.HeaderOutcome))
	call.RequestID = response.Header.Get(rest.HeaderRequestID)
	if call.Kind == judge.Stream && call.Status == http.StatusOK {
		readStream(response.Body, call)
		return
	}
	data, err := io.ReadAll(response.Body)
	call.Body, call.Ended = string(data), err == nil
}

// chunk is what is read of an event of a stream.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func readStream(body io.Reader, call *judge.Call) {
	reader := sse.NewReader(body, maxEventBytes)
	for {
		event, err := reader.Next()
		if err != nil {
			call.Ended = errors.Is(err, io.EOF) || errors.Is(err, sse.ErrTruncated)
			return
		}
		if event.Done() {
			call.EndMark = true
			continue
		}
		var chunk chunk
		err = json.Unmarshal(event.Data, &chunk)
		if err == nil && len(chunk.Choices) == 0 {
			continue // an error that breaks the answer off
		}
		text := ""
		if err == nil {
			text = chunk.Choices[0].Delta.Content
		}
		call.Events = append(call.Events, text)
	}
}
