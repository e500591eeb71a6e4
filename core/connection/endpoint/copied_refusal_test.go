package endpoint_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
)

const idHeader = "Call-Id"

// answerBytes writes what an endpoint writes for the nth request of a connection, from 1 on.
type answerBytes func(number int, request *http.Request) string

// newAnswering starts an endpoint and returns its URL.
func newAnswering(t *testing.T, answer answerBytes) string {
	t.Helper()
	return serveEach(t, func(connection net.Conn) { answerEach(connection, answer) })
}

// serveEach starts an endpoint that serves each of its connections, and returns its URL.
func serveEach(t *testing.T, serve func(connection net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { serve(connection) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		connections.Wait()
	})
	return "http://" + listener.Addr().String()
}

func answerEach(connection net.Conn, answer answerBytes) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(connection, answer(number, request)); err != nil {
			return
		}
	}
}

// answerWith returns an answer with a body and header lines.
func answerWith(status, body string, lines ...string) string {
	lines = append([]string{"HTTP/1.1 " + status, "Content-Length: " + strconv.Itoa(len(body))}, lines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// newKeeping returns a transport that keeps connections and identifies requests by their ids.
func newKeeping(t *testing.T) *endpoint.Transport {
	t.Helper()
	transport := endpoint.New(endpoint.Config{Dial: (&net.Dialer{}).DialContext, MaxIdlePerHost: 2, IdleTimeout: time.Minute, IDHeader: idHeader})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// sendCopied sends a request with an id, unless that is empty, and returns the answer's status and body.
func sendCopied(t *testing.T, transport *endpoint.Transport, url, id string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		request.Header.Set(idHeader, id)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return strconv.Itoa(response.StatusCode) + " " + string(body), err
}

// Guards against an answer that names no request and is taken for that to a request, though the
// connection has carried another one, of which it may be a late answer or its copy.
func TestCopiedAnswerWithoutAnIDOnAUsedConnectionIsForeign(t *testing.T) {
	for name, copied := range map[string]string{
		"refusal": answerWith("503 Service Unavailable", "", "Not-Run: 1"), "refusal with a body": answerWith("503 Service Unavailable", "full"),
		"success": answerWith("200 OK", "other"),
	} {
		t.Run(name, func(t *testing.T) {
			url := newAnswering(t, func(number int, request *http.Request) string {
				own := answerWith("200 OK", "done", idHeader+": "+request.Header.Get(idHeader))
				if number == 1 {
					return own
				}
				return copied + own
			})
			transport := newKeeping(t)
			if got, err := sendCopied(t, transport, url, "r1"); err != nil || got != "200 done" {
				t.Fatalf("%q, %v; want the answer", got, err)
			}
			if got, err := sendCopied(t, transport, url, "r2"); got != "200 done" && !errors.Is(err, endpoint.ErrForeignAnswer) {
				t.Errorf("%q, %v; want the answer or that it is another request's", got, err)
			}
		})
	}
}

// Guards against an answer to a request without an id that is taken, once more, for that to
// the next one.
func TestCopiedAnswerToARequestWithoutAnIDIsNoAnswer(t *testing.T) {
	for name, copied := range map[string]string{"refusal": answerWith("409 Conflict", ""), "success": answerWith("202 Accepted", "{}")} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			url := newAnswering(t, func(number int, _ *http.Request) string {
				switch {
				case requests.Add(1) == 1:
					return copied
				case number == 1:
					return answerWith("200 OK", "own")
				default:
					return copied + answerWith("200 OK", "own")
				}
			})
			transport := newKeeping(t)
			if _, err := sendCopied(t, transport, url, ""); err != nil {
				t.Fatal(err)
			}
			if got, err := sendCopied(t, transport, url, ""); err == nil && got != "200 own" {
				t.Errorf("%q, the answer to the request before; want the own answer or an error", got)
			}
		})
	}
}

// Guards against an answer that names no request and isn't taken for that to the only request
// that its connection has carried.
func TestCopiedAnswersCostNoAnswerWithoutAnIDOnANewConnection(t *testing.T) {
	url := newAnswering(t, func(int, *http.Request) string { return answerWith("200 OK", "done") })
	if got, err := sendCopied(t, newKeeping(t), url, "r1"); err != nil || got != "200 done" {
		t.Errorf("%q, %v; want the answer", got, err)
	}
}

// Guards against an answer of two ids that is taken for that to a request, since the first of
// the two is its own.
func TestCopiedAnswerOfTwoIDsIsForeign(t *testing.T) {
	wantForeign(t, "r1", "other")
}

// Guards against an answer of two ids that is taken for that to a request, since the second of
// the two is its own.
func TestCopiedAnswerOfTwoIDsIsForeignAlsoIfTheOtherIsFirst(t *testing.T) {
	wantForeign(t, "other", "r1")
}

// wantForeign checks that an answer to request r1 that bears two ids isn't taken.
func wantForeign(t *testing.T, first, second string) {
	t.Helper()
	url := newAnswering(t, func(int, *http.Request) string {
		return answerWith("503 Service Unavailable", "", idHeader+": "+first, idHeader+": "+second)
	})
	if got, err := sendCopied(t, newKeeping(t), url, "r1"); !errors.Is(err, endpoint.ErrForeignAnswer) {
		t.Errorf("%q, %v; want that it is another request's", got, err)
	}
}
