package engine

import (
	"io"
	"net/http"
	"strings"

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
)

// answerEndlessly writes an answer of the given form until the caller closes the
// connection.
func answerEndlessly(writer http.ResponseWriter, request *http.Request, form Endless) {
	const blockBytes = 32 << 10
	block := map[Endless]string{EndlessHead: "X: y\r\n", EndlessBody: "x", EndlessEvent: "x", EndlessEvents: "data: {}\n\n", EndlessRepeats: "id: 1\ndata: {}\n\n"}[form]
	block = strings.Repeat(block, blockBytes/len(block))
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + rest.HeaderRequestID + ": " + request.Header.Get(rest.HeaderRequestID) + "\r\nContent-Type: text/event-stream\r\n"
	switch form {
	case EndlessHead:
	case EndlessEvent:
		head += "\r\ndata: "
	case EndlessBody, EndlessEvents, EndlessRepeats:
		head += "\r\n"
	}
	_, err = io.WriteString(connection, head)
	for err == nil {
		_, err = io.WriteString(connection, block)
	}
}
