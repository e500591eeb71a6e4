package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/body"
	"carobline.dev/core/process/memory"
)

const (
	// BodyTimeout is how long the body of a peer, an operator or a host may take.
	BodyTimeout = 60 * time.Second
	// roomTimeout is how long a body or an answer waits while others give way.
	roomTimeout = 500 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a request whose body can't be kept.
	refusedRetryAfter = time.Second
	// maxAnswerBytes bounds an answer that a client reads, which may be a part of a snapshot.
	maxAnswerBytes = 256 << 20
)

// Intake reads the bodies of requests. The zero value charges nothing and sets no time limit.
type Intake struct {
	// Account is charged for bodies, with the credential or the address as the holder.
	Account *memory.Account
	// Now is the account's time, by default time.Now.
	Now func() time.Time
	// Timeout bounds the reading of a body; zero leaves that to the server.
	Timeout time.Duration
}

func (intake Intake) now() time.Time {
	if intake.Now == nil {
		return time.Now()
	}
	return intake.Now()
}

// Read reads a request body of up to limit bytes. Its errors are of type *Error, and close the connection: the rest
// of the body may still come. The charge holds the body until the caller closes it, and is closed with an error.
func (intake Intake) Read(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, *memory.Charge, error) {
	if request.ContentLength == 0 {
		return nil, nil, nil
	}
	control := http.NewResponseController(writer)
	if intake.Timeout > 0 {
		// Fails only for a connection without deadlines.
		_ = control.SetReadDeadline(time.Now().Add(intake.Timeout))
	}
	charge := intake.Account.Open(peerHolder(request), request.Method+" "+request.URL.Path, func(bool) { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	ctx, cancel := context.WithTimeout(request.Context(), max(roomTimeout, intake.Timeout))
	defer cancel()
	reader := body.Reader{Charge: charge, Now: intake.now, Limit: limit, Waits: true}
	data, err := reader.ReadAll(ctx, request.Body, request.ContentLength)
	if !charge.Keep() {
		err = memory.ErrNoRoom
	}
	if err != nil {
		charge.Close()
		writer.Header().Set("Connection", "close")
		return nil, nil, BodyError(err, limit)
	}
	if intake.Timeout > 0 {
		_ = control.SetReadDeadline(time.Time{})
	}
	return data, charge, nil
}

// BodyError returns the error of a body that couldn't be read or kept. None of the request has run.
func BodyError(err error, limit int64) *Error {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return NotRun(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, memory.ErrNoRoom):
		return NoMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return NotRun(http.StatusRequestTimeout, "body_timeout", "the body didn't come in time")
	default:
		return NotRun(http.StatusBadRequest, "body_unreadable", "the body could not be read: "+err.Error())
	}
}

// NoMemory returns the error of a request that can't be kept.
func NoMemory() *Error {
	refused := NotRun(http.StatusServiceUnavailable, "no_memory", "this host has no memory left for the request; another one may take it")
	refused.RetryAfter = refusedRetryAfter
	return refused
}

// peerHolder is the credential that a request was authenticated with, or the address without its port.
func peerHolder(request *http.Request) memory.Holder {
	if name := Actor(request.Context()); name != "" {
		return memory.Holder{Kind: memory.Peer, Name: name}
	}
	return memory.HolderAt(memory.Peer, request.RemoteAddr)
}

// Charged returns a client whose answers are charged to the account before they are kept, with the peer's
// address as the holder, until they are decoded.
func (client *Client) Charged(account *memory.Account, now func() time.Time) *Client {
	return &Client{base: client.base.New().ResponseDecoder(&chargedDecoder{account: account, now: now})}
}

// chargedDecoder decodes answers in JSON. It is safe for concurrent use.
type chargedDecoder struct {
	account *memory.Account
	now     func() time.Time
}

// Decode implements sling.ResponseDecoder.
func (decoder *chargedDecoder) Decode(response *http.Response, value any) error {
	request := response.Request
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	holder := memory.Holder{Kind: memory.Peer, Name: request.URL.Host}
	charge := decoder.account.Open(holder, request.Method+" "+request.URL.Path, func(bool) {
		cancel()
		_ = response.Body.Close()
	})
	defer charge.Close()
	reader := body.Reader{Charge: charge, Now: decoder.now, Limit: maxAnswerBytes, Waits: true}
	data, err := reader.ReadAll(ctx, response.Body, response.ContentLength)
	if !charge.Keep() {
		err = memory.ErrNoRoom
	}
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if err := json.Unmarshal(data, value); err != nil {
		return errors.Wrap(err, "decode the answer")
	}
	return nil
}
