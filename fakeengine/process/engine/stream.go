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
	"carobline.dev/core/process/controller"
	"carobline.dev/fakeengine/request/scheduler"
)

func (engine *Engine) order(_ context.Context, order controller.Order) (taken, error) {
	return engine.obey(order)
}

// complete answers a call with a stream of tokens.
func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	var asked body
	if err := json.NewDecoder(io.LimitReader(request.Body, 64<<20)).Decode(&asked); err != nil {
		rest.WriteError(writer, rest.NotRun(http.StatusBadRequest, "bad_json", err.Error()))
		return
	}
	if err := engine.admit(request, asked.Model); err != nil {
		rest.WriteError(writer, err)
		return
	}
	priority, _ := strconv.Atoi(request.Header.Get("Carobline-Priority"))
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-ID"))
	prefix, _ := strconv.ParseUint(request.Header.Get("Carobline-Prefix"), 10, 64)
	engine.cachePrefix(uint32(prefix))
	turn := engine.slots.Join(priority)
	defer engine.slots.Leave(turn)
	stream := &stream{
		engine: engine, writer: writer, control: http.NewResponseController(writer), turn: turn,
		id: request.Header.Get(rest.HeaderRequestID), asked: asked,
		chat: request.URL.Path == "/v1/chat/completions", created: engine.now().Unix(),
	}
	stream.run(request.Context(), from)
}

// admit makes sure that the host serves the model in the group that the caller
// means. Only rank 0 takes requests.
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
		return conflict("the group has another fencing number")
	default:
		return nil
	}
}

// stream is one answer in progress.
type stream struct {
	engine  *Engine
	writer  http.ResponseWriter
	control *http.ResponseController
	turn    *scheduler.Turn
	id      string
	asked   body
	chat    bool
	created int64
}

func (stream *stream) run(ctx context.Context, from int) {
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
	prompt := stream.asked.text()
	length := Length(prompt, stream.asked.MaxTokens)
	for index := from + 1; index <= length; index++ {
		if !stream.wait(ctx) {
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
		stream.token(index, Word(prompt, index), index == length)
	}
	_, _ = io.WriteString(stream.writer, "data: [DONE]\n\n")
	_ = stream.control.Flush()
}

// wait passes the time of one token, and any time without a slot.
func (stream *stream) wait(ctx context.Context) bool {
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
		if stream.engine.slots.Runs(stream.turn) {
			return true
		}
		if pace == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func (stream *stream) token(index int, word string, last bool) {
	finish := "null"
	if last {
		finish = `"stop"`
	}
	content := fmt.Sprintf(`"delta":{"role":"assistant","content":%q}`, word)
	object := "chat.completion.chunk"
	if !stream.chat {
		content = fmt.Sprintf(`"text":%q`, word)
		object = "text_completion"
	}
	// A caller that has gone shows by its context.
	_, _ = fmt.Fprintf(stream.writer, "id: %d\ndata: {\"id\":\"cmpl-%s\",\"object\":%q,\"created\":%d,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
		index, stream.id, object, stream.created, stream.asked.Model, content, finish)
	_ = stream.control.Flush()
}
