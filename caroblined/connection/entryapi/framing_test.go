package entryapi_test

import (
	"bufio"
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
	ending.writeStatus(connection, request, "200 OK", events)
}

// writeStatus does so with another status.
func (ending streamEnding) writeStatus(connection net.Conn, request *http.Request, status, events string) {
	head := "HTTP/1.1 " + status + "\r\nContent-Type: text/event-stream\r\nMark: m\r\nCall-Id: " + request.Header.Get("Call-Id") + "\r\n"
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

// Guards against an answer that was cut at any byte, of its head too, and that its
// caller gets as complete: with a short or empty body, as another status, or as not run.
func TestAnswersCutAtAnyByteDoNotLookComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nMark: m\r\n"
	for name, test := range map[string]struct {
		repeat routing.Repeat
		whole  string
		// framedAt is the first length at which the connection's end completes the
		// answer. Zero stands for the length of the whole.
		framedAt int
	}{
		"length":            {routing.RepeatNever, head + "Content-Length: 4\r\n\r\ndone", 0},
		"chunks":            {routing.RepeatNever, head + "Transfer-Encoding: chunked\r\n\r\n" + chunk("do") + chunk("ne") + "0\r\n\r\n", 0},
		"connection":        {routing.RepeatNever, head + "\r\ndone", len(head + "\r\n")},
		"interim answer":    {routing.RepeatNever, "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 4\r\n\r\ndone", 0},
		"stream, length":    {routing.RepeatStream, head + "Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n" + event(1), 0},
		"stream, chunks":    {routing.RepeatStream, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event(1)) + "0\r\n\r\n", 0},
		"stream,connection": {routing.RepeatStream, head + "Content-Type: text/event-stream\r\n\r\n" + event(1), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			framedAt := len(test.whole)
			if test.framedAt > 0 {
				framedAt = test.framedAt
			}
			for length := range framedAt {
				service := newService(t, func(_ *service, connection net.Conn, _ *http.Request, _ int) {
					_, _ = io.WriteString(connection, test.whole[:length])
					_ = connection.Close()
				})
				routes := route(test.repeat)
				routes[0].Resumable = false
				got, err := call(t, newEntryHost(t, routes, service), post("/a", "x"))
				if err == nil && got.status != http.StatusBadGateway {
					t.Errorf("cut after %q: the caller got status %d with %q, want a 502 or a broken connection", test.whole[:length], got.status, got.body)
				}
			}
		})
	}
}

// Guards against an endpoint's error, or its head, in the middle of a stream that another
// one began, and against such a stream that ends as if it were complete.
func TestErrorsOfTheNextEndpointAreNotJoinedToAStream(t *testing.T) {
	for name, next := range map[string]string{
		"error":               "500 Internal Server Error\r\nMark: m\r\nContent-Length: 4\r\n\r\noops",
		"error of its stream": "500 Internal Server Error\r\nMark: m\r\nContent-Type: text/event-stream\r\nContent-Length: 10\r\n\r\ndata: no\n\n",
		"refusal":             "503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"client error":        "404 Not Found\r\nMark: m\r\nContent-Length: 4\r\n\r\nnone",
		"redirect":            "302 Found\r\nMark: m\r\nLocation: /b\r\nContent-Length: 0\r\n\r\n",
		"no content":          "204 No Content\r\nMark: m\r\n\r\n",
		"another type":        "200 OK\r\nMark: m\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops",
		"partial content":     "206 Partial Content\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n" + event(2),
		"no mark":             "200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n" + event(2),
		"error by connection": "500 Internal Server Error\r\nMark: m\r\n\r\noops",
		"nothing":             "200 OK\r\nMark: m\r\nContent-Type: text/event-stream\r\n",
	} {
		for _, framing := range []string{"connection", "chunked"} {
			t.Run(name+" after "+framing, func(t *testing.T) {
				respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
					if request.Header.Get("Last-Event-Id") == "" {
						streamEnding{framing, "id: 2\nda"}.write(connection, request, event(1))
						return
					}
					status, rest, _ := strings.Cut(next, "\r\n")
					_, _ = io.WriteString(connection, "HTTP/1.1 "+status+"\r\nCall-Id: "+request.Header.Get("Call-Id")+"\r\n"+rest)
					_ = connection.Close()
				}
				got, err := call(t, newEntryHost(t, route(routing.RepeatStream), newService(t, respond), newService(t, respond)), post("/a", "x"))
				if err == nil || got.body != event(1) {
					t.Errorf("error %v, body %q; want a broken answer with the first event alone", err, got.body)
				}
			})
		}
	}
}

// Guards against a stream that was broken off and looks complete to a caller of the older
// protocol, to whom the end of the connection is the end of the answer.
func TestBrokenStreamIsResetForCallersWithoutChunks(t *testing.T) {
	service := newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
		streamEnding{"chunked", "id: 2\nda"}.write(connection, request, event(1))
	})
	routes := route(routing.RepeatStream)
	routes[0].Resumable = false
	raw := strings.Replace(post("/a", "x"), "HTTP/1.1", "HTTP/1.0", 1)
	if got, err := call(t, newEntryHost(t, routes, service), raw); err == nil {
		t.Errorf("the answer looks complete: %q", got.body)
	}
}

// Guards against the same on routes whose answers are passed on whole: an answer of events
// that ends within one has been broken off there too.
func TestWholeAnswerCutWithinAnEventIsNotPassedOn(t *testing.T) {
	for _, ending := range unfinishedEndings() {
		for repeat, status := range map[routing.Repeat]string{routing.RepeatNever: "200 OK", routing.RepeatSafe: "200 OK", routing.RepeatStream: "201 Created"} {
			t.Run(fmt.Sprintf("%s %s %q", repeat, ending.framing, ending.tail), func(t *testing.T) {
				service := newService(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
					ending.writeStatus(connection, request, status, event(1)+event(2))
				})
				got, err := call(t, newEntryHost(t, route(repeat), service), post("/a", "x"))
				if err == nil && got.status != http.StatusBadGateway {
					t.Errorf("status %d, body %q; want a 502", got.status, got.body)
				}
			})
		}
	}
}

// Guards against an answer that ends with its connection, or that is resumed after it has ended
// within an event, and that takes the caller's kept connection along, or leaves something there
// for the next calls.
func TestKeptConnectionOfACallerOutlastsAnswersWithoutFraming(t *testing.T) {
	for _, ending := range append(unfinishedEndings(), streamEnding{framing: "connection"}, streamEnding{framing: "chunked, kept", tail: "id: 3\nda"}) {
		t.Run(ending.framing+" "+fmt.Sprintf("%q", ending.tail), func(t *testing.T) {
			respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
				switch {
				case request.Header.Get("Last-Event-Id") == "2":
					streamEnding{framing: "connection"}.write(connection, request, event(3))
				case request.Header.Get("Call-Id") != "k0" || ending.tail == "":
					streamEnding{framing: "connection"}.write(connection, request, event(1)+event(2)+event(3))
				case ending.framing == "chunked, kept":
					_, _ = io.WriteString(connection, streamHead(request, "m")+chunk(event(1)+event(2)+ending.tail)+"0\r\n\r\n")
				default:
					ending.write(connection, request, event(1)+event(2))
				}
			}
			server := newEntryHost(t, route(routing.RepeatStream), newService(t, respond), newService(t, respond))
			connection, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReader(connection)
			for number := range 3 {
				id := fmt.Sprintf("k%d", number)
				if _, err := io.WriteString(connection, strings.Replace(post("/a", "x"), "Call-Id: c1", "Call-Id: "+id, 1)); err != nil {
					t.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("call %d on the kept connection: %v", number, err)
				}
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if want := event(1) + event(2) + event(3); err != nil || string(body) != want || response.Header.Get("Call-Id") != id || response.Close {
					t.Fatalf("call %d: %q, error %v, of call %s, closes: %v; want %q of %s on a kept connection", number, body, err, response.Header.Get("Call-Id"), response.Close, want, id)
				}
			}
		})
	}
}
