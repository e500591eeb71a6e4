package entryapi_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"carobline.dev/core/version/routing"
)

// leftPath is the target of the requests whose streams the endpoints leave.
const leftPath = "/left"

// streamEnds are the ways in which an endpoint that has sent the head of a stream, and no event, leaves it.
var streamEnds = map[string]struct {
	leave func(connection net.Conn, request *http.Request)
	want  int
}{
	"nothing until the route's timeout": {func(net.Conn, *http.Request) { time.Sleep(2 * time.Second) }, http.StatusGatewayTimeout},
	"comments until then": {func(connection net.Conn, _ *http.Request) {
		for range 20 {
			_, _ = io.WriteString(connection, "3\r\n:\n\n\r\n")
			time.Sleep(100 * time.Millisecond)
		}
	}, http.StatusOK},
	"half an event until then": {func(connection net.Conn, _ *http.Request) {
		_, _ = io.WriteString(connection, "5\r\nid: 1\r\n")
		time.Sleep(2 * time.Second)
	}, http.StatusGatewayTimeout},
	"the connection closed": {func(connection net.Conn, _ *http.Request) { _ = connection.Close() }, http.StatusBadGateway},
	"the connection reset": {func(connection net.Conn, _ *http.Request) {
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}, http.StatusBadGateway},
	"a chunk that can't be read": {func(connection net.Conn, _ *http.Request) { _, _ = io.WriteString(connection, "zz\r\nid: 1\n\n\r\n") }, http.StatusBadGateway},
	"half an event and the end": {func(connection net.Conn, _ *http.Request) {
		_, _ = io.WriteString(connection, "5\r\nid: 1\r\n")
		_ = connection.Close()
	}, http.StatusBadGateway},
}

// Guards against a stream that an endpoint has begun, of which nothing has gone to the caller, and whose
// caller's connection is closed without an answer (review/4).
func TestCallerThatHasGotNothingOfAStreamGetsAnAnswer(t *testing.T) {
	for name, end := range streamEnds {
		for _, resumable := range []bool{false, true} {
			for _, attempts := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, resumable=%v, attempts=%d", name, resumable, attempts), func(t *testing.T) {
					t.Parallel()
					checkAnswerAfterStream(t, end.leave, end.want, resumable, attempts)
				})
			}
		}
	}
}

// checkAnswerAfterStream sends a request whose stream every endpoint leaves, and a second one on the same
// connection.
func checkAnswerAfterStream(t *testing.T, leave func(net.Conn, *http.Request), want int, resumable bool, attempts int) {
	t.Helper()
	respond := func(service *service, connection net.Conn, request *http.Request, number int) {
		if request.RequestURI == "/sound" {
			respondDone(service, connection, request, number)
			return
		}
		_, _ = io.WriteString(connection, streamHead(request, "m"))
		leave(connection, request)
	}
	routes := route(routing.RepeatStream)
	routes[0].TimeoutMS, routes[0].TargetMS, routes[0].PauseMS, routes[0].Attempts, routes[0].Resumable = 1000, 400, 300, attempts, resumable
	server := newEntryHost(t, routes, newService(t, respond), newService(t, respond))
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	if got := statusOn(t, connection, reader, leftPath); got != want {
		t.Errorf("status %d, want %d", got, want)
	}
	if want == http.StatusOK {
		return // the caller has got a part of that stream, which ends with its connection
	}
	if got := statusOn(t, connection, reader, "/sound"); got != http.StatusOK {
		t.Errorf("the next request on the connection: status %d, want 200", got)
	}
}

// statusOn sends a request on a connection and returns the status of its answer, or 0 without one.
func statusOn(t *testing.T, connection net.Conn, reader *bufio.Reader, path string) int {
	t.Helper()
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(connection, post(path, "x")); err != nil {
		t.Logf("send: %v", err)
		return 0
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Logf("read: %v", err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if path == leftPath && response.StatusCode == http.StatusOK {
		return response.StatusCode // that stream breaks off
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Errorf("the answer isn't whole: %v", err)
	}
	return response.StatusCode
}
