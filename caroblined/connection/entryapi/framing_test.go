package entryapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"carobline.dev/core/version/routing"
)

// streamEnding is how an endpoint's stream ends after its events: what it writes before it
// closes the connection.
type streamEnding struct {
	framing string
	tail    string
}

// write sends an answer with the given events and this ending.
func (ending streamEnding) write(connection net.Conn, request *http.Request, events string) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMark: m\r\nCall-Id: " + request.Header.Get("Call-Id") + "\r\n"
	switch ending.framing {
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n\r\n"
		head += chunk(events+ending.tail) + "0\r\n\r\n"
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events+ending.tail)) + events + ending.tail
	default:
		head += "\r\n" + events + ending.tail
	}
	_, _ = io.WriteString(connection, head)
	_ = connection.Close()
}

// unfinishedEndings are the ends of streams that have been broken off.
func unfinishedEndings() []streamEnding {
	var endings []streamEnding
	for _, framing := range []string{"connection", "chunked", "length"} {
		for _, tail := range []string{"id: 3\nda", "id: 3\ndata: e3", "id: 3\ndata: e3\n", "i", "id: 3\r\ndata: e3\r\n\r"} {
			endings = append(endings, streamEnding{framing, tail})
		}
	}
	return endings
}

// Guards against a stream that its endpoint broke off within an event and that its
// caller got as complete, however the endpoint framed it.
func TestStreamCutWithinAnEventDoesNotLookComplete(t *testing.T) {
	for _, ending := range unfinishedEndings() {
		t.Run(ending.framing+" "+fmt.Sprintf("%q", ending.tail), func(t *testing.T) {
			service := newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
				ending.write(connection, request, event(1)+event(2))
			})
			routes := route(routing.RepeatStream)
			routes[0].Resumable = false
			got, err := call(t, newEntryHost(t, routes, service), post("/a", "x"))
			if err == nil {
				t.Errorf("the answer looks complete: %q", got.body)
			}
			if got.body != event(1)+event(2) {
				t.Errorf("the caller got %q, want the two whole events", got.body)
			}
		})
	}
}

// Guards against a stream that was cut within an event and isn't resumed, or is joined
// to the rest with half an event between.
func TestStreamCutWithinAnEventResumes(t *testing.T) {
	for _, ending := range unfinishedEndings() {
		t.Run(ending.framing+" "+fmt.Sprintf("%q", ending.tail), func(t *testing.T) {
			respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
				if request.Header.Get("Last-Event-Id") == "2" {
					streamEnding{framing: ending.framing}.write(connection, request, event(3)+event(4))
					return
				}
				ending.write(connection, request, event(1)+event(2))
			}
			got, err := call(t, newEntryHost(t, route(routing.RepeatStream), newService(t, respond), newService(t, respond)), post("/a", "x"))
			if err != nil {
				t.Fatal(err)
			}
			if want := event(1) + event(2) + event(3) + event(4); got.body != want {
				t.Errorf("the caller got %q, want %q", got.body, want)
			}
		})
	}
}

// Guards against a resumed stream whose second endpoint breaks off too and whose caller
// gets it as complete.
func TestResumedStreamCutWithinAnEventDoesNotLookComplete(t *testing.T) {
	for _, ending := range unfinishedEndings() {
		t.Run(ending.framing+" "+fmt.Sprintf("%q", ending.tail), func(t *testing.T) {
			respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
				if request.Header.Get("Last-Event-Id") == "2" {
					ending.write(connection, request, event(3))
					return
				}
				ending.write(connection, request, event(1)+event(2))
			}
			got, err := call(t, newEntryHost(t, route(routing.RepeatStream), newService(t, respond), newService(t, respond)), post("/a", "x"))
			if err == nil || !strings.HasPrefix(event(1)+event(2)+event(3), got.body) {
				t.Errorf("error %v, body %q; want a broken answer of whole events", err, got.body)
			}
		})
	}
}

// Guards against a stream of which nothing but the head has come, and that its caller
// gets as complete and empty.
func TestStreamCutBeforeItsFirstEventDoesNotLookComplete(t *testing.T) {
	service := newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
		streamEnding{framing: "connection"}.write(connection, request, "")
	})
	routes := route(routing.RepeatStream)
	routes[0].Resumable = false
	if got, err := call(t, newEntryHost(t, routes, service), post("/a", "x")); err == nil && got.status == http.StatusOK {
		t.Errorf("the answer looks complete: %q", got.body)
	}
}

// Guards against whole streams being taken for broken ones: a stream may have neither a
// length nor chunks, its lines may end in any of the usual ways, and comments or blank
// lines may follow the last event.
func TestWholeStreamsStayWhole(t *testing.T) {
	for _, framing := range []string{"connection", "chunked", "length"} {
		for name, events := range map[string]string{
			"line feeds":                  event(1) + event(2),
			"carriage returns":            "id: 1\r\ndata: e1\r\n\r\nid: 2\r\ndata: e2\r\n\r\n",
			"both":                        "id: 1\ndata: e1\n\r\nid: 2\r\ndata: e2\r\n\n",
			"blank lines at the end":      event(1) + "\n\n\r\n",
			"a comment at the end":        event(1) + ": that was all\n",
			"a comment and a blank line":  event(1) + ": that was all\n\n",
			"an event without any number": "data: e\n\n",
		} {
			t.Run(framing+", "+name, func(t *testing.T) {
				service := newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
					streamEnding{framing: framing}.write(connection, request, events)
				})
				got, err := call(t, newEntryHost(t, route(routing.RepeatStream), service), post("/a", "x"))
				if err != nil || got.body != events || len(service.requests()) != 1 {
					t.Errorf("error %v, body %q after %d sends; want %q after one", err, got.body, len(service.requests()), events)
				}
			})
		}
	}
}
