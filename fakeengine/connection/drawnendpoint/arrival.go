package drawnendpoint

import (
	"io"
	"net/http"
	"sync"
)

// Arrival is a request that an endpoint has got.
type Arrival struct {
	Conn    *Conn
	Request *http.Request
	Script  Script
	// Sent and ID are those of the request's headers.
	Sent, ID string
	// Reused reports that the connection has carried a request before. Tidy reports that
	// nothing but whole answers in their places had been written on it.
	Reused, Tidy bool
	// Disturbed reports that something was written when the request began.
	Disturbed bool

	play, played chan struct{}
	once         sync.Once

	mutex sync.Mutex
	body  []byte
	whole bool
	// answer is the request's own one, once it is being written.
	answer *answer
}

func newArrival(conn *Conn, request *http.Request) *Arrival {
	names := &conn.endpoint.config.Names
	sent := request.Header.Get(names.Sent)
	arrival := &Arrival{
		Conn: conn, Request: request, Script: conn.endpoint.config.Script(sent), Sent: sent, ID: request.Header.Get(names.RequestID),
		play: make(chan struct{}), played: make(chan struct{}),
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	arrival.Reused, arrival.Tidy, arrival.Disturbed = len(conn.history) > 0, conn.tidy, conn.disturbed
	return arrival
}

// Play lets the endpoint write the answer in the arrival's script.
func (arrival *Arrival) Play() { arrival.once.Do(func() { close(arrival.play) }) }

// Played is closed when the script has been played, or the connection has ended.
func (arrival *Arrival) Played() <-chan struct{} { return arrival.played }

// Ran reports whether the endpoint runs the request.
func (arrival *Arrival) Ran() bool { return arrival.Script.Outcome != Refuse }

// Clean reports whether the arrival is answered soundly, whole, and as if no other endpoint were
// faulty, so that its caller gets that answer.
func (arrival *Arrival) Clean() bool { return arrival.Tidy && arrival.Script.clean() }

// Body returns what has been read of the request's body, and whether that is all of it.
func (arrival *Arrival) Body() (body string, whole bool) {
	arrival.mutex.Lock()
	defer arrival.mutex.Unlock()
	return string(arrival.body), arrival.whole
}

// Answer returns the request's own answer: its status and its whole body. It returns false if none
// has been begun.
func (arrival *Arrival) Answer() (status int, body string, ok bool) {
	arrival.mutex.Lock()
	defer arrival.mutex.Unlock()
	if arrival.answer == nil {
		return 0, "", false
	}
	return arrival.answer.status, arrival.answer.body, true
}

// readBody reads the request's body and reports whether it came whole.
func (arrival *Arrival) readBody() bool {
	body, err := io.ReadAll(arrival.Request.Body)
	if err != nil {
		arrival.Conn.reportUnreadable(err)
	}
	arrival.mutex.Lock()
	defer arrival.mutex.Unlock()
	arrival.body, arrival.whole = body, err == nil
	return arrival.whole
}

func (arrival *Arrival) setAnswer(answer *answer) {
	arrival.mutex.Lock()
	defer arrival.mutex.Unlock()
	arrival.answer = answer
}
