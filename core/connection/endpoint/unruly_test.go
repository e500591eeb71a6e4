package endpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// unruly is an endpoint that does by chance what an endpoint may do wrong on a connection. It checks that no id comes
// twice on one connection, and that no request comes there before the one before it was answered.
type unruly struct {
	t        *testing.T
	listener net.Listener

	mutex sync.Mutex
	rand  *rand.Rand
	// sends holds the sends of which anything has come.
	sends map[string]bool
	// open holds the connections that haven't ended.
	open        map[net.Conn]struct{}
	connections sync.WaitGroup
}

func newUnruly(t *testing.T, seed uint64) *unruly {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unruly := &unruly{t: t, listener: listener, rand: rand.New(rand.NewPCG(seed, 1)), sends: map[string]bool{}, open: map[net.Conn]struct{}{}} //nolint:gosec // a seeded test
	unruly.connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			unruly.connections.Go(func() { unruly.serve(connection.(*net.TCPConn)) })
		}
	})
	return unruly
}

func (unruly *unruly) close() {
	_ = unruly.listener.Close()
	unruly.mutex.Lock()
	for connection := range unruly.open {
		_ = connection.Close()
	}
	unruly.mutex.Unlock()
	unruly.connections.Wait()
}

// chance returns a number below most.
func (unruly *unruly) chance(most int) int {
	unruly.mutex.Lock()
	defer unruly.mutex.Unlock()
	return unruly.rand.IntN(most)
}

func (unruly *unruly) pause() { time.Sleep(time.Duration(unruly.chance(1500)) * time.Microsecond) }

// serve answers the requests of a connection until it breaks off, or the peer does.
func (unruly *unruly) serve(connection *net.TCPConn) {
	unruly.mutex.Lock()
	unruly.open[connection] = struct{}{}
	unruly.mutex.Unlock()
	defer func() {
		_ = connection.Close()
		unruly.mutex.Lock()
		defer unruly.mutex.Unlock()
		delete(unruly.open, connection)
	}()
	if unruly.chance(30) == 0 {
		_ = connection.SetLinger(0)
		return
	}
	reader, carried, late := bufio.NewReader(connection), map[string]bool{}, ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(idHeader)
		unruly.record(request)
		if id == "" && len(carried) > 0 || carried[""] || carried[id] {
			unruly.t.Errorf("request %q comes on a connection that has carried %v", id, carried)
		}
		carried[id] = true
		if late != "" {
			_, _ = io.WriteString(connection, late)
			late = ""
		}
		early := unruly.chance(4) == 0
		if !early && !unruly.read(request) {
			return
		}
		own := unruly.answer(request)
		if !unruly.write(connection, own) {
			return
		}
		if early && !unruly.read(request) || unruly.ends(connection) {
			return
		}
		switch unruly.chance(6) {
		case 0:
			_, _ = io.WriteString(connection, own)
		case 1:
			late = own
		}
	}
}

func (unruly *unruly) record(request *http.Request) {
	unruly.mutex.Lock()
	defer unruly.mutex.Unlock()
	unruly.sends[request.Header.Get(sendHeader)] = true
}

// read reads the body of a request, and checks it.
func (unruly *unruly) read(request *http.Request) bool {
	data, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	if send := request.Header.Get(sendHeader); len(data) > 0 && !strings.HasPrefix(string(data[:min(len(data), len(send))]), send) {
		unruly.t.Errorf("send %s comes with the body of another: %.20q", send, data)
	}
	return true
}

// answer returns an answer to a request, in one of the forms that there are.
func (unruly *unruly) answer(request *http.Request) string {
	send, id := request.Header.Get(sendHeader), idHeader+": "+request.Header.Get(idHeader)
	body := "own " + send
	if request.Method == http.MethodHead {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s: %s\r\nContent-Length: 9\r\n\r\n", id, sendHeader, send)
	}
	own := sendHeader + ": " + send
	switch unruly.chance(12) {
	case 0:
		return answerWith("503 Service Unavailable", "", id, own, "Not-Run: 1")
	case 1:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, own, len(body), body)
	case 2:
		return answerWith("200 OK", body, id, own, "Connection: close")
	case 3:
		return fmt.Sprintf("HTTP/1.0 200 OK\r\n%s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", id, own, len(body), body)
	case 4:
		return "HTTP/1.1 103 Early Hints\r\n\r\n" + answerWith("200 OK", body, id, own)
	case 5:
		return answerWith("200 OK", body, own)
	case 6:
		return answerWith("204 No Content", "", id, own)
	default:
		return answerWith("200 OK", body, id, own)
	}
}

// write writes an answer, in two parts or cut off at times.
func (unruly *unruly) write(connection *net.TCPConn, answer string) bool {
	unruly.pause()
	switch unruly.chance(20) {
	case 0:
		_ = connection.SetLinger(0)
		return false
	case 1:
		_, _ = io.WriteString(connection, answer[:len(answer)/2])
		return false
	case 2:
		_, _ = io.WriteString(connection, answer[:len(answer)-3])
		unruly.pause()
		answer = answer[len(answer)-3:]
	}
	_, err := io.WriteString(connection, answer)
	return err == nil
}

// ends reports, at times, that the endpoint closes a connection that isn't in use.
func (unruly *unruly) ends(connection *net.TCPConn) bool {
	switch unruly.chance(20) {
	case 0:
		unruly.pause()
		return true
	case 1:
		_, _ = io.WriteString(connection, answerWith("408 Request Timeout", "", "Connection: close"))
		return true
	default:
		return false
	}
}
