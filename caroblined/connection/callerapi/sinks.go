package callerapi

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/id"
	"carobline.dev/core/version/view"
)

// streamSink sends each event on as it comes.
type streamSink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	call    *call
	// extended is when the deadline was last moved.
	extended time.Time
}

func (sink *streamSink) event(event *sse.Event, more bool) error { return sink.write(event.Raw, more) }

func (sink *streamSink) end(raw []byte) error { return sink.write(raw, false) }

// write sends at once, unless more has arrived already and goes with it.
func (sink *streamSink) write(raw []byte, more bool) error {
	if !sink.call.answered {
		header := sink.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		sink.writer.WriteHeader(http.StatusOK)
		sink.call.answered = true
	}
	if err := sink.extend(time.Now()); err != nil {
		return errCallerGone
	}
	if _, err := sink.writer.Write(raw); err != nil {
		return errCallerGone
	}
	if more {
		return nil
	}
	if err := sink.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errCallerGone
	}
	return nil
}

// extend moves the deadline for writes now and then: a caller that doesn't read
// must not hold its place for ever.
func (sink *streamSink) extend(now time.Time) error {
	if now.Sub(sink.extended) < sink.stall/10 {
		return nil
	}
	sink.extended = now
	err := sink.control.SetWriteDeadline(now.Add(sink.stall))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

func (sink *streamSink) cut(shown *rest.Error) {
	data, err := json.Marshal(rest.ErrorBody{Error: shown})
	if err != nil {
		return
	}
	// The connection is cut after this; whether it arrives changes nothing.
	_ = sink.write([]byte("event: error\ndata: "+string(data)+"\n\n"), false)
}

// wholeSink gathers events into one answer.
type wholeSink struct {
	writer http.ResponseWriter
	chat   bool

	answer  wholeAnswer
	content strings.Builder
	role    string
	finish  *string
}

// chunk is one event of either protocol.
type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   id.Model      `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type chunkChoice struct {
	Delta        chunkDelta `json:"delta"`
	Text         string     `json:"text"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     id.Tokens `json:"prompt_tokens"`
	CompletionTokens id.Tokens `json:"completion_tokens"`
	TotalTokens      id.Tokens `json:"total_tokens"`
}

// wholeAnswer is the answer to a call without streaming.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   id.Model      `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (sink *wholeSink) event(event *sse.Event, _ bool) error {
	var part chunk
	if err := json.Unmarshal(event.Data, &part); err != nil {
		return errors.Wrap(err, "event of another protocol")
	}
	sink.answer.ID, sink.answer.Created, sink.answer.Model = part.ID, part.Created, part.Model
	if part.Usage != nil {
		sink.answer.Usage = *part.Usage
	}
	if event.HasID {
		sink.answer.Usage.CompletionTokens = id.Tokens(event.ID)
	}
	if len(part.Choices) == 0 {
		return nil
	}
	choice := part.Choices[0]
	sink.content.WriteString(choice.Delta.Content)
	sink.content.WriteString(choice.Text)
	if choice.Delta.Role != "" {
		sink.role = choice.Delta.Role
	}
	if choice.FinishReason != nil {
		sink.finish = choice.FinishReason
	}
	if sink.content.Len() > wholeBytes {
		return errors.New("the answer is larger than can be gathered; ask for a stream")
	}
	return nil
}

func (sink *wholeSink) end([]byte) error {
	content := sink.content.String()
	choice := wholeChoice{FinishReason: sink.finish}
	if sink.chat {
		sink.answer.Object = "chat.completion"
		choice.Message = &wholeMessage{Role: sink.role, Content: content}
	} else {
		sink.answer.Object = "text_completion"
		choice.Text = &content
	}
	sink.answer.Choices = []wholeChoice{choice}
	sink.answer.Usage.TotalTokens = sink.answer.Usage.PromptTokens + sink.answer.Usage.CompletionTokens
	rest.WriteJSON(sink.writer, http.StatusOK, sink.answer)
	return nil
}

func (sink *wholeSink) cut(*rest.Error) {}

func asRestError(err error) *rest.Error {
	var known *rest.Error
	if errors.As(err, &known) {
		return known
	}
	return rest.Unknown(http.StatusInternalServerError, "internal", err.Error())
}

func endpointName(endpoint *view.Endpoint) string {
	if endpoint.Name.Group != "" {
		return string(endpoint.Name.Group)
	}
	return string(endpoint.Name.Host)
}
