package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/id"
	"carobline.dev/core/process/action"
	"carobline.dev/fakeengine/request/scheduler"
)

// handleOrder has the signature that rest.Handle takes.
func (engine *Engine) handleOrder(_ context.Context, order action.Order) (orderAccepted, error) {
	return engine.applyOrder(order)
}

// complete answers a completion call with a stream of tokens.
func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	if form := engine.currentFaults().Endless; form != "" {
		answerEndlessly(writer, request, form)
		return
	}
	if refused := engine.refuseAsFault(writer, request); refused {
		return
	}
	var requestBody body
	if err := json.NewDecoder(io.LimitReader(request.Body, 64<<20)).Decode(&requestBody); err != nil {
		rest.WriteError(writer, rest.NotRun(http.StatusBadRequest, "bad_json", err.Error()))
		return
	}
	if err := engine.admit(request, requestBody.Model); err != nil {
		rest.WriteError(writer, err)
		return
	}
	if engine.config.Accepted != nil {
		engine.config.Accepted(request.Header.Get(rest.HeaderRequestID))
	}
	priority, _ := strconv.Atoi(request.Header.Get("Carobline-Priority"))
	lastEventID, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	prefix, _ := strconv.ParseUint(request.Header.Get("Carobline-Prefix"), 10, 64)
	engine.cachePrefix(uint32(prefix))
	ticket := engine.scheduler.Enqueue(priority)
	defer engine.scheduler.Remove(ticket)
	stream := &stream{
		engine: engine, writer: writer, control: http.NewResponseController(writer), ticket: ticket,
		id: request.Header.Get(rest.HeaderRequestID), requestBody: requestBody,
		chat: request.URL.Path == "/v1/chat/completions", created: engine.now().Unix(),
	}
	stream.run(request.Context(), lastEventID)
}

// refuseAsFault refuses a call as the faults require and returns false when they don't. Other
// answers repeat the request's id.
func (engine *Engine) refuseAsFault(writer http.ResponseWriter, request *http.Request) bool {
	header, faults := writer.Header(), engine.currentFaults()
	header.Set(rest.HeaderRequestID, request.Header.Get(rest.HeaderRequestID))
	switch {
	case faults.OldRefusal:
		header.Set(rest.HeaderRequestID, "another")
	case faults.NamelessRefusal:
		header.Del(rest.HeaderRequestID)
	case faults.Refuse:
	default:
		return false
	}
	rest.WriteError(writer, rest.NotRun(http.StatusBadRequest, "bad_json", "refused as a fault"))
	return true
}

// admit returns an error unless the host serves the model, has rank 0 in its group,
// and, if it checks fencing, serves the group and the fencing token that the
// request names.
func (engine *Engine) admit(request *http.Request, model id.Model) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	fencing, _ := strconv.ParseUint(request.Header.Get("Carobline-Fencing"), 10, 64)
	group := id.Group(request.Header.Get("Carobline-Group"))
	switch {
	case engine.serving.Group == "" || engine.serving.Model != model || engine.now().Before(engine.loadedAt):
		return rest.NotRun(http.StatusConflict, "not_serving", "this host doesn't serve the model now")
	case engine.rank != 0:
		return rest.NotRun(http.StatusConflict, "not_first", "this host isn't the first of its group")
	case engine.config.ChecksFencing && (group != engine.serving.Group || id.FencingToken(fencing) != engine.serving.Fencing):
		return fencingConflict("the group has another fencing number")
	default:
		return nil
	}
}

// stream is one response in progress.
type stream struct {
	engine      *Engine
	writer      http.ResponseWriter
	control     *http.ResponseController
	ticket      *scheduler.Ticket
	id          string
	requestBody body
	chat        bool
	created     int64
}

// run writes the tokens after lastEventID, unless a fault stops it earlier.
func (stream *stream) run(ctx context.Context, lastEventID int) {
	faults := stream.engine.currentFaults()
	header := stream.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(rest.HeaderRequestID, stream.id)
	if faults.WrongRequest {
		header.Set(rest.HeaderRequestID, "another")
	}
	if faults.Garbage {
		_, _ = io.WriteString(stream.writer, "data: this is no JSON\n\n")
		return
	}
	// The headers report that the request is accepted. A write fails only when its caller
	// has gone, which cancels ctx.
	stream.writer.WriteHeader(http.StatusOK)
	_ = stream.control.Flush()
	prompt := stream.requestBody.text()
	length := AnswerLength(prompt, stream.requestBody.MaxTokens)
	for index := lastEventID + 1; index <= length; index++ {
		if !stream.waitForToken(ctx) {
			return
		}
		faults = stream.engine.currentFaults()
		switch {
		case faults.CutAfter > 0 && index > faults.CutAfter:
			panic(http.ErrAbortHandler)
		case faults.EndEarly && index > 2:
			return
		case faults.Hang && index > 2:
			<-ctx.Done()
			return
		}
		stream.writeToken(index, TokenText(prompt, index), index == length)
	}
	_, _ = io.WriteString(stream.writer, "data: [DONE]\n\n")
	_ = stream.control.Flush()
}

// waitForToken waits for the time of one token, and again as long as the stream has
// no slot. It returns false once the request is cancelled.
func (stream *stream) waitForToken(ctx context.Context) bool {
	for {
		pace := stream.engine.config.Pace * time.Duration(max(1, stream.engine.currentFaults().Slow))
		if pace > 0 {
			timer := time.NewTimer(pace)
			select {
			case <-ctx.Done():
				timer.Stop()
				return false
			case <-timer.C:
			}
		}
		if ctx.Err() != nil {
			return false
		}
		if stream.engine.scheduler.HasSlot(stream.ticket) {
			return true
		}
		if pace == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func (stream *stream) writeToken(index int, text string, final bool) {
	finishReason := "null"
	if final {
		finishReason = `"stop"`
	}
	content := fmt.Sprintf(`"delta":{"role":"assistant","content":%q}`, text)
	object := "chat.completion.chunk"
	if !stream.chat {
		content = fmt.Sprintf(`"text":%q`, text)
		object = "text_completion"
	}
	// A closed connection cancels the request's context, which waitForToken checks.
	_, _ = fmt.Fprintf(stream.writer, "id: %d\ndata: {\"id\":\"cmpl-%s\",\"object\":%q,\"created\":%d,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
		index, stream.id, object, stream.created, stream.requestBody.Model, content, finishReason)
	_ = stream.control.Flush()
}
