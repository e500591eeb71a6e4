// Package endpoint is the HTTP transport to the hosts of engines and services. A
// faulty host may send bytes that are no answer and never end, so heads and bodies are
// bounded, and an answer to another request isn't taken for that to this one. Either costs
// the connection, which isn't used again.
//
// # Usage
//
//	transport := endpoint.New(endpoint.Config{Dial: dial, MaxIdlePerHost: 32, IdleTimeout: 4 * time.Second, IDHeader: "X-Request-Id"})
//	response, err := transport.RoundTrip(request) // ErrForeignAnswer for an answer to another request
//	_, err = io.Copy(target, response.Body) // ErrTooLarge past MaxAnswerBytes
//	transport.CloseIdleConnections()
package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/sse"
	"carobline.dev/core/process/memory"
)

const (
	// MaxAnswerBytes bounds the body of an answer, also of a stream unless
	// Config.ReaderBoundsStreams is set.
	MaxAnswerBytes = 16 << 20
	// maxHeaderBytes bounds the status line and the headers of an answer.
	maxHeaderBytes = 64 << 10
	// maxHeaderTime is the longest time from the first byte of an answer to the end of its
	// headers. A sound endpoint may send nothing for two seconds of it.
	maxHeaderTime = 3 * time.Second
	// maxInterimAnswers is the most interim answers (1xx) before the answer itself.
	maxInterimAnswers = 16
)

// ErrForeignAnswer reports an answer that belongs to another request.
var ErrForeignAnswer = errors.New("the endpoint answered another request")

// ErrHeaderTimeout reports an answer whose headers don't end within maxHeaderTime.
var ErrHeaderTimeout = errors.New("the answer's headers don't end")

// errInterimAnswers reports more interim answers than maxInterimAnswers.
var errInterimAnswers = errors.New("the interim answers don't end")

// ErrTooLarge reports an answer whose body is larger than MaxAnswerBytes.
var ErrTooLarge = errors.New("the answer is larger than 16 MiB")

// Config is fixed for the life of a process.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdlePerHost and IdleTimeout bound the unused connections that are kept.
	MaxIdlePerHost int
	IdleTimeout    time.Duration
	// BufferBytes is the size of a connection's buffers. Zero stands for the
	// default of net/http.
	BufferBytes int
	// IDHeader names the header of a request that its answer repeats. An answer with
	// another value belongs to another request.
	IDHeader string
	// ReaderBoundsStreams is set where the reader of a stream of events that a request
	// accepts bounds it by what it asked for, so that its bytes needn't be bounded here.
	ReaderBoundsStreams bool
	// SingleUse gives each request a connection of its own.
	SingleUse bool
	// Account is charged for the heads of answers, until their bodies are closed. Nil bounds
	// nothing. Now is its time.
	Account *memory.Account
	Now     func() time.Time
	// Observe is told of answers that belong to no request, and of requests that come to an address again. Nil tells
	// nobody.
	Observe func(Observation)
}

// Transport sends requests to hosts. It is safe for concurrent use.
type Transport struct {
	transport           *http.Transport
	idHeader            string
	readerBoundsStreams bool
	account             *memory.Account
	now                 func() time.Time
	observe             func(Observation)
}

// New returns a transport without connections.
func New(config Config) *Transport {
	transport := &Transport{idHeader: config.IDHeader, readerBoundsStreams: config.ReaderBoundsStreams, account: config.Account, now: config.Now, observe: config.Observe}
	if transport.observe == nil {
		transport.observe = func(Observation) {}
	}
	transport.transport = &http.Transport{
		DialContext: transport.wires(config.Dial), DisableCompression: true, DisableKeepAlives: config.SingleUse,
		MaxIdleConnsPerHost: config.MaxIdlePerHost, IdleConnTimeout: config.IdleTimeout,
		ReadBufferSize: config.BufferBytes, WriteBufferSize: config.BufferBytes, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return transport
}

// RoundTrip implements http.RoundTripper. It returns ErrTooLarge for an answer that
// says that it is larger than MaxAnswerBytes, ErrHeaderTimeout for one whose headers don't
// end, and ErrForeignAnswer for one that belongs to another request. The connection of the
// latter is closed: the answer to this request would come as that to the next one.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn *wire
	var timer headerTimer
	id, head := request.Header.Get(transport.idHeader), transport.newHeadCharge(request)
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn != nil {
				conn.setHead(nil)
			}
			conn = info.Conn.(*wire)
			transport.begin(conn, request.URL.Host, id, head)
		},
		PutIdleConn:          func(error) { conn.end() },
		GotFirstResponseByte: func() { timer.start(conn) },
		Got1xxResponse:       func(int, textproto.MIMEHeader) error { return timer.recordInterim() },
	})
	response, err := transport.transport.RoundTrip(request.WithContext(traced))
	if conn != nil {
		conn.setHead(nil)
	}
	if err != nil {
		head.charge.Close()
	} else if head.charge != nil {
		response.Body = &closing{response.Body, head.charge}
	}
	if timer.stop() {
		if err == nil {
			_ = response.Body.Close()
		}
		return nil, ErrHeaderTimeout
	}
	if err != nil {
		return nil, err
	}
	if answered := response.Header.Get(transport.idHeader); transport.foreign(request, response) {
		transport.observe(Observation{
			Oddity: oddityOf(conn.history, answered), Address: request.URL.Host, Request: id, Answered: answered, Status: response.StatusCode,
		})
		_ = response.Body.Close()
		_ = conn.Close()
		return nil, ErrForeignAnswer
	}
	conn.answered(response.StatusCode)
	if transport.readerBoundsStreams && sse.Matches(request.Header.Get("Accept")) && sse.Matches(response.Header.Get("Content-Type")) {
		return response, nil
	}
	if response.ContentLength > MaxAnswerBytes {
		_ = response.Body.Close()
		return nil, ErrTooLarge
	}
	response.Body = &boundedBody{ReadCloser: response.Body, remaining: MaxAnswerBytes}
	return response, nil
}

// begin records that a request is sent on a connection.
func (transport *Transport) begin(conn *wire, address, id string, head *headCharge) {
	if earlier := conn.begin(id, head); earlier != nil && id != "" {
		transport.observe(Observation{Oddity: SecondSend, Address: address, Request: id, Status: earlier.status})
	}
}

// foreign reports whether an answer names another request. One that names none may still
// be this request's.
func (transport *Transport) foreign(request *http.Request, response *http.Response) bool {
	if transport.idHeader == "" {
		return false
	}
	answered := response.Header.Get(transport.idHeader)
	return answered != "" && answered != request.Header.Get(transport.idHeader)
}

// CloseIdleConnections closes the connections that aren't in use.
func (transport *Transport) CloseIdleConnections() { transport.transport.CloseIdleConnections() }

// boundedBody fails with ErrTooLarge once more than remaining bytes come.
type boundedBody struct {
	io.ReadCloser
	remaining int64
}

// Read implements io.Reader.
func (body *boundedBody) Read(data []byte) (int, error) {
	if int64(len(data)) > body.remaining+1 {
		data = data[:body.remaining+1]
	}
	count, err := body.ReadCloser.Read(data)
	if int64(count) > body.remaining {
		return int(body.remaining), ErrTooLarge
	}
	body.remaining -= int64(count)
	return count, err
}
