// Package endpoint is the HTTP transport to the hosts of engines and services. A
// faulty host may send bytes that are no answer and never end, so heads and bodies are
// bounded. It may also write an answer too many, which comes when the next one is due and may
// bear the id of any request that the connection has carried. An answer proves only what it can:
//
//   - A request's id goes on one connection once. An answer with this id is then the request's own. A request that has
//     none, or whose Close is set, has a connection of its own.
//   - An answer that bears another id belongs to another request. One without an id is taken only if the connection
//     has carried no other request, and ends it.
//   - A request goes on a second connection by itself only if no byte of it was written on the first.
//   - An answer without a length is whole if the endpoint has ended its connection after the request was written whole,
//     or before that with a status that is no success. Once a write has failed, the end isn't the endpoint's.
//
// # Usage
//
//	transport := endpoint.New(endpoint.Config{Dial: dial, MaxIdlePerHost: 32, IdleTimeout: 4 * time.Second, IDHeader: "X-Request-Id"})
//	response, err := transport.RoundTrip(request) // ErrForeignAnswer for an answer to another request; see Unsent
//	_, err = io.Copy(target, response.Body) // ErrTooLarge past MaxAnswerBytes, ErrCutInUpload, fieldname.ErrInvalid
//	transport.CloseIdleConnections()
package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/fieldname"
	"carobline.dev/core/connection/sse"
	"carobline.dev/core/connection/status"
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

// errSwitchedProtocol reports an answer by which the endpoint leaves HTTP. No request asks for that.
var errSwitchedProtocol = errors.New("the endpoint switched to another protocol")

// errInterimAnswers reports more interim answers than maxInterimAnswers.
var errInterimAnswers = errors.New("the interim answers don't end")

// ErrTooLarge reports an answer whose body is larger than MaxAnswerBytes.
var ErrTooLarge = errors.New("the answer is larger than 16 MiB")

// ErrCutInUpload reports an answer without a length whose connection ended while its request was being written. What came
// of it may be a part, and the request may have run.
var ErrCutInUpload = errors.New("the connection ended while the request was being written, and the answer has no length")

// Config is fixed for the life of a process.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdlePerHost and IdleTimeout bound the unused connections that are kept. Zero keeps none, and for any time.
	MaxIdlePerHost int
	IdleTimeout    time.Duration
	// BufferBytes is the size of a connection's buffers. Zero stands for the
	// default of net/http.
	BufferBytes int
	// IDHeader names the header of a request that its answer repeats.
	IDHeader string
	// ReaderBoundsStreams is set where the reader of a stream of events that a request
	// accepts bounds it by what it asked for, so that its bytes needn't be bounded here.
	ReaderBoundsStreams bool
	// Account is charged for the heads of answers, until their bodies are closed. Nil bounds
	// nothing. Now is its time.
	Account *memory.Account
	Now     func() time.Time
	// Observe receives answers that belong to no request, and requests that come to an address again. Nil
	// disables this.
	Observe func(Observation)
}

// Transport sends requests to hosts. It is safe for concurrent use.
type Transport struct {
	pool                *pool
	idHeader            string
	readerBoundsStreams bool
	account             *memory.Account
	now                 func() time.Time
	observe             func(Observation)
}

// New returns a transport without connections.
func New(config Config) *Transport {
	observe := config.Observe
	if observe == nil {
		observe = func(Observation) {}
	}
	dialer := &http.Transport{
		DialContext: dialWire(config.Dial), DisableCompression: true,
		ReadBufferSize: config.BufferBytes, WriteBufferSize: config.BufferBytes, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Transport{
		pool:     &pool{dialer: dialer, maxIdle: config.MaxIdlePerHost, idleTimeout: config.IdleTimeout, observe: observe, idleByAddress: map[string][]*conn{}},
		idHeader: config.IDHeader, readerBoundsStreams: config.ReaderBoundsStreams, account: config.Account, now: config.Now, observe: observe,
	}
}

// RoundTrip implements http.RoundTripper. It returns ErrTooLarge for an answer that
// states that it is larger than MaxAnswerBytes, ErrHeaderTimeout for one whose headers don't
// end, status.ErrInvalid for one with a status that no answer may have, fieldname.ErrInvalid for one with a field, or an
// interim answer's, whose name none may have, and ErrForeignAnswer for one that belongs to another request, or can't be
// distinguished from one. The connection of the latter is closed: the answer to this request would come as that to the
// next one.
func (transport *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	for {
		conn, err := transport.connect(request)
		if err != nil {
			closeBody(request)
			return nil, &unsentError{err}
		}
		response, err := transport.exchange(conn, request)
		if err == nil || !Unsent(err) || !conn.reused() || !conn.broke || request.Context().Err() != nil {
			return response, err
		}
		again, rewound := rewind(request)
		if !rewound {
			return nil, err
		}
		request = again
	}
}

// connect returns a connection for a request.
func (transport *Transport) connect(request *http.Request) (*conn, error) {
	id, address := request.Header.Get(transport.idHeader), request.URL.Host
	if id != "" && !request.Close {
		return transport.pool.take(request.Context(), address, id)
	}
	conn, err := transport.pool.open(request.Context(), address)
	if err == nil {
		conn.singleUse = true
	}
	return conn, err
}

// exchange sends a request on a connection and returns its own answer. With an error the connection is closed.
func (transport *Transport) exchange(conn *conn, request *http.Request) (*http.Response, error) {
	var timer headerTimer
	head := transport.newHeadCharge(request)
	sent := request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotFirstResponseByte: func() { timer.start(conn.wire) },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
			if err := fieldname.Check(http.Header(header)); err != nil {
				return err
			}
			return timer.recordInterim()
		},
	}))
	sent.Close = conn.singleUse
	conn.begin(request, request.Header.Get(transport.idHeader), head)
	response, err := conn.client.RoundTrip(sent)
	conn.wire.endHead()
	expired := timer.stop()
	if err != nil {
		head.charge.Close()
		conn.broke = conn.client.Err() != nil
		_ = conn.client.Close()
		switch {
		case expired:
			return nil, ErrHeaderTimeout
		case conn.unsent():
			return nil, &unsentError{err}
		default:
			return nil, err
		}
	}
	response.Body = &provenBody{ReadCloser: response.Body, response: response, wire: conn.wire}
	if head.charge != nil {
		response.Body = &closing{response.Body, head.charge}
	}
	if err := transport.check(conn, request, response, expired); err != nil {
		_ = response.Body.Close()
		_ = conn.client.Close()
		return nil, err
	}
	transport.pool.settle(conn, response)
	if !transport.readerBounds(request, response) {
		response.Body = &boundedBody{ReadCloser: response.Body, remaining: MaxAnswerBytes}
	}
	return response, nil
}

// check returns why an answer's head can't be passed on, nil if it can.
func (transport *Transport) check(conn *conn, request *http.Request, response *http.Response, expired bool) error {
	invalidName := fieldname.Check(response.Header)
	switch {
	case expired:
		return ErrHeaderTimeout
	case invalidName != nil:
		return invalidName
	case conn.wire.folded():
		return errors.Wrap(fieldname.ErrInvalid, "a line begins with a blank")
	case response.StatusCode == http.StatusSwitchingProtocols:
		return errSwitchedProtocol
	case !transport.attribute(conn, request, response):
		return ErrForeignAnswer
	case status.Check(response.StatusCode) != nil:
		return status.Check(response.StatusCode)
	case response.ContentLength > MaxAnswerBytes && !transport.readerBounds(request, response):
		return ErrTooLarge
	default:
		return nil
	}
}

// attribute reports whether an answer is certainly that to a request, and records it.
func (transport *Transport) attribute(conn *conn, request *http.Request, response *http.Response) bool {
	id, names := request.Header.Get(transport.idHeader), response.Header.Values(transport.idHeader)
	other := slices.IndexFunc(names, func(name string) bool { return name != id })
	answered := ""
	switch {
	case id == "":
	case other >= 0:
		answered = names[other]
		transport.observeForeign(conn, request, response, answered)
		return false
	case len(names) == 0 && conn.reused():
		transport.observeForeign(conn, request, response, answered)
		return false
	case len(names) == 0:
		conn.singleUse = true
	}
	conn.recordAnswer(response.StatusCode)
	return true
}

// observeForeign reports an answer that isn't certainly that to a request.
func (transport *Transport) observeForeign(conn *conn, request *http.Request, response *http.Response, answered string) {
	transport.observe(Observation{
		Oddity: oddityOf(conn.history, answered), Address: conn.address, Request: request.Header.Get(transport.idHeader),
		Answered: answered, Status: response.StatusCode,
	})
}

// readerBounds reports whether the reader of an answer bounds its bytes.
func (transport *Transport) readerBounds(request *http.Request, response *http.Response) bool {
	return transport.readerBoundsStreams && sse.Matches(request.Header.Get("Accept")) && sse.Matches(response.Header.Get("Content-Type"))
}

// CloseIdleConnections closes the connections that aren't in use.
func (transport *Transport) CloseIdleConnections() { transport.pool.closeIdle() }

// rewind returns a request of which nothing was sent, with its body from the start. It returns false where that can't be
// read again.
func rewind(request *http.Request) (*http.Request, bool) {
	if request.Body == nil || request.Body == http.NoBody {
		return request, true
	}
	if request.GetBody == nil {
		return nil, false
	}
	body, err := request.GetBody()
	if err != nil {
		return nil, false
	}
	again := *request
	again.Body = body
	return &again, true
}

// closeBody closes the body of a request that isn't sent, as http.RoundTripper demands.
func closeBody(request *http.Request) {
	if request.Body != nil {
		_ = request.Body.Close()
	}
}

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
