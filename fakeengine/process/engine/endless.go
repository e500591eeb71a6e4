package engine

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"carobline.dev/core/connection/rest"
)

// Endless is a form of answer that never ends.
type Endless string

// The forms of answers without end.
const (
	// EndlessHead repeats a header line, EndlessBody what follows the headers.
	EndlessHead Endless = "head"
	EndlessBody Endless = "body"
	// EndlessEvent is a stream of one event, EndlessEvents one of events without a
	// number, and EndlessRepeats one of the first token again and again.
	EndlessEvent   Endless = "event"
	EndlessEvents  Endless = "events"
	EndlessRepeats Endless = "repeats"
	// EndlessPause is a body of stalledBodyBytes that stops a little before its end.
	EndlessPause Endless = "pause"
)

// stalledBodyBytes is the stated length of an EndlessPause, and missingBytes what never comes.
const (
	stalledBodyBytes = 4_000_000
	missingBytes     = 10_000
)

// stalledBody is what comes of an EndlessPause. All answers share it.
var stalledBody = sync.OnceValue(func() []byte { return bytes.Repeat([]byte("x"), stalledBodyBytes-missingBytes) })

// answerEndlessly writes an answer of the given form until the caller closes the
// connection.
func answerEndlessly(writer http.ResponseWriter, request *http.Request, form Endless) {
	const blockBytes = 32 << 10
	block := map[Endless]string{EndlessHead: "X: y\r\n", EndlessBody: "x", EndlessEvent: "x", EndlessEvents: "data: {}\n\n", EndlessRepeats: "id: 1\ndata: {}\n\n"}[form]
	if block != "" {
		block = strings.Repeat(block, blockBytes/len(block))
	}
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + rest.HeaderRequestID + ": " + request.Header.Get(rest.HeaderRequestID) + "\r\nContent-Type: text/event-stream\r\n"
	switch form {
	case EndlessPause:
		head += "Content-Length: " + strconv.Itoa(stalledBodyBytes) + "\r\n\r\n"
	case EndlessHead:
	case EndlessEvent:
		head += "\r\ndata: "
	case EndlessBody, EndlessEvents, EndlessRepeats:
		head += "\r\n"
	}
	_, err = io.WriteString(connection, head)
	if form == EndlessPause {
		_, _ = connection.Write(stalledBody())
		_, _ = connection.Read(make([]byte, 1)) // returns when the caller closes the connection
		return
	}
	for err == nil {
		_, err = io.WriteString(connection, block)
	}
}
