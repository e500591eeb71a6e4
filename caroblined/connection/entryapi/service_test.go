package entryapi_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// service is a fake endpoint. It reads each request whole and calls respond for
// it.
type service struct {
	listener   net.Listener
	mutex      sync.Mutex
	received   []string
	respond    func(service *service, connection net.Conn, request *http.Request, number int)
	goroutines sync.WaitGroup
	// readsHeads is set for a service that reads the heads of requests alone, and ends each connection after its answer.
	readsHeads bool
}

func newService(t *testing.T, respond func(*service, net.Conn, *http.Request, int)) *service {
	t.Helper()
	return (&service{respond: respond}).start(t)
}

// newHeadReader starts a service that reads the heads of requests alone, and ends each connection after its answer.
func newHeadReader(t *testing.T, respond func(*service, net.Conn, *http.Request, int)) *service {
	t.Helper()
	return (&service{respond: respond, readsHeads: true}).start(t)
}

func (service *service) start(t *testing.T) *service {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service.listener = listener
	service.goroutines.Go(service.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		service.goroutines.Wait()
	})
	return service
}

func (service *service) accept() {
	for {
		connection, err := service.listener.Accept()
		if err != nil {
			return
		}
		service.goroutines.Go(func() { service.serve(connection) })
	}
}

func (service *service) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if service.readsHeads {
			service.respond(service, connection, request, 0)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		service.mutex.Lock()
		service.received = append(service.received, request.Method+" "+request.RequestURI+" "+string(body))
		number := len(service.received)
		service.mutex.Unlock()
		service.respond(service, connection, request, number)
		if request.Close {
			return
		}
	}
}

func (service *service) requests() []string {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return append([]string(nil), service.received...)
}

// reply writes an answer with a Content-Length and the given header lines.
func reply(connection net.Conn, request *http.Request, status, body string, lines ...string) {
	text := fmt.Sprintf("HTTP/1.1 %s\r\nCall-Id: %s\r\nContent-Length: %d\r\n", status, request.Header.Get("Call-Id"), len(body))
	for _, line := range lines {
		text += line + "\r\n"
	}
	_, _ = io.WriteString(connection, text+"\r\n"+body)
}

func respondDone(_ *service, connection net.Conn, request *http.Request, _ int) {
	reply(connection, request, "200 OK", "done", "Mark: m")
}

func respondNotRun(_ *service, connection net.Conn, request *http.Request, _ int) {
	reply(connection, request, "503 Service Unavailable", "", "Not-Run: 1")
}

func closeUnanswered(_ *service, connection net.Conn, _ *http.Request, _ int) { _ = connection.Close() }

func answerAnotherRequest(_ *service, connection net.Conn, _ *http.Request, _ int) {
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nCall-Id: another\r\nMark: m\r\nContent-Length: 4\r\n\r\nevil")
}

func refuseAnotherRequest(_ *service, connection net.Conn, _ *http.Request, _ int) {
	_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nCall-Id: another\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

func refuseWithoutID(_ *service, connection net.Conn, _ *http.Request, _ int) {
	_, _ = io.WriteString(connection, "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

func closeInBody(_ *service, connection net.Conn, request *http.Request, _ int) {
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nCall-Id: "+request.Header.Get("Call-Id")+"\r\nMark: m\r\nContent-Length: 40\r\n\r\nhalf")
	_ = connection.Close()
}

func respondWithoutMark(_ *service, connection net.Conn, request *http.Request, _ int) {
	reply(connection, request, "200 OK", "forged")
}

func respondError(_ *service, connection net.Conn, request *http.Request, _ int) {
	reply(connection, request, "500 Internal Server Error", "own", "Mark: m")
}
