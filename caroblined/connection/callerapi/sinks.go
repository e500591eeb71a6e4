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
	"carobline.dev/core/process/memory"
	"carobline.dev/core/version/view"
)

// streamSink sends each event to the caller as it arrives.
type streamSink struct {
	writer       http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	call         *call
	// deadlineExtendedAt is when the write deadline was last extended.
	deadlineExtendedAt time.Time
}

func (sink *streamSink) event(event *sse.Event, more bool) error { return sink.write(event.Raw, more) }

func (sink *streamSink) end(raw []byte) error { return sink.write(raw, false) }

// write sends raw to the caller. It flushes at once unless the next event has
// already arrived, in which case one flush serves both.
func (sink *streamSink) write(raw []byte, more bool) error {
	if !sink.call.answerStarted {
		header := sink.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		sink.writer.WriteHeader(http.StatusOK)
		sink.call.answerStarted = true
	}
	if err := sink.extendWriteDeadline(time.Now()); err != nil {
		return errCallerGone
	}
	if _, err := sink.writer.Write(raw); err != nil {
		return errCallerGone
	}
	if more {
		return nil
	}
	if err := sink.controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errCallerGone
	}
	return nil
}

// extendWriteDeadline extends the write deadline, so that a caller that doesn't
// read can't hold its slot for ever. It does so at most once in a tenth of the
// timeout.
func (sink *streamSink) extendWriteDeadline(now time.Time) error {
	if now.Sub(sink.deadlineExtendedAt) < sink.writeTimeout/10 {
		return nil
	}
	sink.deadlineExtendedAt = now
	err := sink.controller.SetWriteDeadline(now.Add(sink.writeTimeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

func (sink *streamSink) fail(restError *rest.Error) {
	data, err := json.Marshal(rest.ErrorBody{Error: restError})
	if err != nil {
		return
	}
	// The connection is aborted after this, so a failed write changes nothing.
	_ = sink.write([]byte("event: error\ndata: "+string(data)+"\n\n"), false)
}

// bufferedSink collects events into one answer.
type bufferedSink struct {
	// charge is for the content and the answer that is made of it.
	charge *memory.Charge
	now    func() time.Time
	writer http.ResponseWriter
	chat   bool

	answer  bufferedAnswer
	content strings.Builder
	role    string
	finish  *string
}

const (
	// minContentBytes is the size of the first buffer of an answer that is gathered.
	minContentBytes = 1 << 10
	// contentFactor times the content is what the answer takes that is made of it.
	contentFactor = 3
)

// chunk is one event of the chat or the completions protocol.
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

// bufferedAnswer is the answer to a call without streaming.
type bufferedAnswer struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   id.Model         `json:"model"`
	Choices []bufferedChoice `json:"choices"`
	Usage   usage            `json:"usage"`
}

type bufferedChoice struct {
	Index        int              `json:"index"`
	Message      *bufferedMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type bufferedMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (sink *bufferedSink) event(event *sse.Event, _ bool) error {
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
	if err := sink.grow(len(choice.Delta.Content) + len(choice.Text)); err != nil {
		return err
	}
	sink.content.WriteString(choice.Delta.Content)
	sink.content.WriteString(choice.Text)
	if choice.Delta.Role != "" {
		sink.role = choice.Delta.Role
	}
	if choice.FinishReason != nil {
		sink.finish = choice.FinishReason
	}
	if sink.content.Len() > maxAnswerBytes {
		return errors.New("the answer is larger than can be gathered; ask for a stream")
	}
	return nil
}

// grow makes room for more content, and charges it before.
func (sink *bufferedSink) grow(more int) error {
	if sink.content.Len()+more <= sink.content.Cap() {
		return nil
	}
	size := max(minContentBytes, 2*sink.content.Cap(), sink.content.Len()+more)
	if sink.charge.Resize(sink.now(), memory.Bytes(contentFactor*size)) != nil {
		return errors.New("no memory is left to gather the answer; ask for a stream")
	}
	sink.content.Grow(size - sink.content.Len())
	return nil
}

func (sink *bufferedSink) end([]byte) error {
	content := sink.content.String()
	choice := bufferedChoice{FinishReason: sink.finish}
	if sink.chat {
		sink.answer.Object = "chat.completion"
		choice.Message = &bufferedMessage{Role: sink.role, Content: content}
	} else {
		sink.answer.Object = "text_completion"
		choice.Text = &content
	}
	sink.answer.Choices = []bufferedChoice{choice}
	sink.answer.Usage.TotalTokens = sink.answer.Usage.PromptTokens + sink.answer.Usage.CompletionTokens
	rest.WriteJSON(sink.writer, http.StatusOK, sink.answer)
	return nil
}

func (sink *bufferedSink) fail(*rest.Error) {}

func asRestError(err error) *rest.Error {
	var restError *rest.Error
	if errors.As(err, &restError) {
		return restError
	}
	return rest.Unknown(http.StatusInternalServerError, "internal", err.Error())
}

func endpointName(endpoint *view.Endpoint) string { return endpoint.Name.BareName() }
