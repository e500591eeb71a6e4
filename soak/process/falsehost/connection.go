package falsehost

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"carobline.dev/core/connection/rest"
)

const (
	maxBodyBytes = 1 << 20
	// maxWork is the longest that a run takes, and maxIdleCopy the longest until a copy is
	// written on an idle connection.
	maxWork     = 40 * time.Millisecond
	maxIdleCopy = 30 * time.Millisecond
)

// connection is one connection from an entry host.
type connection struct {
	host   *Host
	socket net.Conn
	random *rand.Rand
	// late is written once the next request has been read, and lateByID once one with that id has.
	late     []byte
	lateByID map[string][]byte
	// former are the answers so far.
	former [][]byte

	// mutex guards writes.
	mutex sync.Mutex
}

// fault is one way in which an answer misleads.
type fault int

// The faults. A copy comes with the next request, with the next one of the same id, or before.
const (
	sound fault = iota
	copyWithNext
	copyWithSame
	copyWhileIdle
	copyAtOnce
	formerWithNext
	foreignID
	noID
	extraBytes
	cutWithin
	resetBefore
	closeAfter
	interim
	runThenHang
	faultCount
)

func (connection *connection) serve() {
	defer func() { _ = connection.socket.Close() }()
	reader := bufio.NewReader(connection.socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxBodyBytes)); err != nil {
			return
		}
		if !connection.answer(request) {
			return
		}
	}
}

// answer answers one request and returns false if the connection ends.
func (connection *connection) answer(request *http.Request) bool {
	connection.host.busy.Add(1)
	defer connection.host.busy.Add(-1)
	fault := sound
	if connection.random.Float64() < connection.host.falsePart {
		fault = 1 + connection.drawFault()
	}
	refuses := connection.random.Float64() < connection.host.refusedPart
	work := time.Duration(connection.random.Int64N(int64(maxWork)))
	id := request.Header.Get(rest.HeaderRequestID)
	connection.write(connection.late)
	connection.write(connection.lateByID[id])
	connection.late = nil
	delete(connection.lateByID, id)
	if !refuses {
		connection.host.record(request)
	}
	time.Sleep(work)
	return connection.writeAnswer(request, fault, connection.compose(request, fault, refuses))
}

func (connection *connection) drawFault() fault {
	return fault(connection.random.IntN(int(faultCount) - 1))
}

// writeAnswer writes an answer with its fault.
func (connection *connection) writeAnswer(request *http.Request, fault fault, answer []byte) bool {
	if len(connection.former) > 0 && fault == formerWithNext {
		connection.late = connection.former[connection.random.IntN(len(connection.former))]
	}
	connection.former = append(connection.former, answer)
	switch fault {
	case cutWithin:
		connection.write(answer[:connection.random.IntN(len(answer))])
		return false
	case resetBefore:
		if tcp, ok := connection.socket.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case runThenHang:
		time.Sleep(time.Second)
		return false
	case interim:
		connection.write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
	case copyWithNext:
		connection.late = answer
	case copyWithSame:
		connection.lateByID[request.Header.Get(rest.HeaderRequestID)] = answer
	}
	connection.write(answer)
	switch fault {
	case copyAtOnce:
		connection.write(answer)
	case copyWhileIdle:
		wait := time.Duration(connection.random.Int64N(int64(maxIdleCopy)))
		time.AfterFunc(wait, func() { connection.write(answer) })
	case extraBytes:
		connection.write([]byte("\r\nnot an answer\r\n\r\n"))
	case closeAfter:
		return false
	}
	return !request.Close
}

// compose returns the answer as it is written.
func (connection *connection) compose(request *http.Request, fault fault, refuses bool) []byte {
	header := http.Header{"Content-Type": {"application/json"}, rest.HeaderRequestID: {request.Header.Get(rest.HeaderRequestID)}}
	status := http.StatusOK
	if refuses {
		statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout}
		status = statuses[connection.random.IntN(len(statuses))]
		header.Set(rest.HeaderOutcome, string(rest.OutcomeNotRun))
	}
	switch fault {
	case foreignID:
		header.Set(rest.HeaderRequestID, "another")
	case noID:
		header.Del(rest.HeaderRequestID)
	case closeAfter:
		header.Set("Connection", "close")
	}
	body, err := json.Marshal(Answer{Nonce: request.Header.Get(HeaderNonce), Key: request.Header.Get("Idempotency-Key")})
	if err != nil {
		panic(err) // two strings can always be encoded
	}
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&answer) // a buffer takes all
	fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return answer.Bytes()
}

// write writes bytes whole; an error shows at the next read.
func (connection *connection) write(data []byte) {
	if len(data) == 0 {
		return
	}
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	_, _ = connection.socket.Write(data)
}
