package lab

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Client is a stand-in for a client: it sends one request after another on a kept connection.
type Client struct {
	system  *System
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// Request is one attempt of a client.
type Request struct {
	ID      string
	Method  string
	Path    string
	Host    string
	Key     string
	Time    time.Duration
	Headers map[string]string
	Body    string
}

// Answer is what a client got. Err is set when the connection ended without a whole answer; Status
// is 0 then unless the head of an answer had come.
type Answer struct {
	Status  int
	Header  http.Header
	Body    string
	Err     error
	SentAt  time.Time
	EndedAt time.Time
}

// requestNumber makes the ids of requests differ.
var requestNumber atomic.Int64

// NewID returns a new id of a request.
func NewID() string {
	return fmt.Sprintf("r%07d%08x", requestNumber.Add(1), time.Now().UnixNano()&0xffffffff)
}

// NewClient returns a client of an entry host.
func (system *System) NewClient(front *Process) *Client {
	return &Client{system: system, address: front.Front()}
}

// Close closes the kept connection.
func (client *Client) Close() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}

// Send sends a request and waits for the whole answer, for a little longer than the request's time.
func (client *Client) Send(request Request) Answer {
	answer := Answer{}
	if client.conn == nil {
		conn, err := net.DialTimeout("tcp", client.address, time.Second)
		if err != nil {
			answer.Err = err
			return answer
		}
		client.conn, client.reader = conn, bufio.NewReader(conn)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: %d\r\n", request.Method, request.Path, request.Host, request.ID, Name("time_left"), request.Time.Milliseconds())
	if request.Key != "" {
		fmt.Fprintf(&text, "Authorization: Token %s\r\n", request.Key)
	}
	for name, value := range request.Headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if request.Method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(request.Body))
	}
	text.WriteString("\r\n" + request.Body)
	answer.SentAt = time.Now()
	_ = client.conn.SetDeadline(answer.SentAt.Add(request.Time + 2*time.Second))
	_, err := client.conn.Write(text.Bytes())
	if err == nil {
		err = client.read(request, &answer)
	}
	answer.EndedAt, answer.Err = time.Now(), err
	if err != nil || strings.EqualFold(answer.Header.Get("Connection"), "close") {
		client.Close()
	}
	return answer
}

func (client *Client) read(request Request, answer *Answer) error {
	response, err := http.ReadResponse(client.reader, &http.Request{Method: request.Method})
	if err != nil {
		return err
	}
	answer.Status, answer.Header = response.StatusCode, response.Header
	if response.Close {
		answer.Header.Set("Connection", "close")
	}
	data, err := io.ReadAll(response.Body)
	answer.Body = string(data)
	return err
}

// TimedOut reports whether a client gave up waiting.
func (answer *Answer) TimedOut() bool {
	var timeout net.Error
	return errors.As(answer.Err, &timeout) && timeout.Timeout()
}
