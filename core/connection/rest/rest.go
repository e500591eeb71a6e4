// Package rest holds what all HTTP+JSON interfaces of the project have in common:
// strict decoding, typed errors with their outcome, bearer credentials and a
// client.
//
// # Usage
//
//	mux.Handle("POST /peer/v2/feed", rest.Handle(intake, maxBody, server.feed))
//	func (server *Server) feed(ctx context.Context, request feed.Request) (feed.Response, error)
package rest

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Outcome is whether a refused or failed call ran.
type Outcome string

// The outcomes that the system itself states.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// StatusClientClosed is the customary status for a caller that closed its
// connection before it had an answer.
const StatusClientClosed = 499

// The headers of the project.
const (
	HeaderOutcome   = "Carobline-Outcome"
	HeaderRequestID = "X-Request-Id"
)

// Error is an error that is sent to the client.
type Error struct {
	Status  int     `json:"-"`
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Outcome Outcome `json:"outcome"`
	// RetryAfter is sent as the Retry-After header, at least 1 s; zero omits it.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (restError *Error) Error() string {
	return strconv.Itoa(restError.Status) + " " + restError.Code + ": " + restError.Message
}

// ErrorBody is the JSON form of an Error.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// NotRun returns an error which states that the call did not run.
func NotRun(status int, code, message string) *Error {
	return &Error{Status: status, Message: message, Type: errorType(status), Code: code, Outcome: OutcomeNotRun}
}

// Unknown returns an error which states that the call may have run.
func Unknown(status int, code, message string) *Error {
	return &Error{Status: status, Message: message, Type: errorType(status), Code: code, Outcome: OutcomeUnknown}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// WriteError answers with an error. An error that isn't an *Error is sent with
// status 500, code internal and outcome unknown.
func WriteError(writer http.ResponseWriter, err error) {
	var known *Error
	if !errors.As(err, &known) {
		known = Unknown(http.StatusInternalServerError, "internal", err.Error())
	}
	header := writer.Header()
	header.Set(HeaderOutcome, string(known.Outcome))
	if known.RetryAfter > 0 {
		seconds := int(known.RetryAfter.Round(time.Second) / time.Second)
		header.Set("Retry-After", strconv.Itoa(max(1, seconds)))
	}
	WriteJSON(writer, known.Status, ErrorBody{Error: known})
}

// WriteJSON answers with a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	data, ok := encode(writer, body)
	if !ok {
		return
	}
	writer.WriteHeader(status)
	// The client may have disconnected; no error could reach it.
	_, _ = writer.Write(append(data, '\n'))
}

// encode returns body as JSON and sets the Content-Type header; it answers a
// body that can't be encoded with status 500 and returns false.
func encode(writer http.ResponseWriter, body any) ([]byte, bool) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return nil, false
	}
	writer.Header().Set("Content-Type", "application/json")
	return data, true
}

// Decode reads one JSON value. Unknown fields and data after the value are
// errors.
func Decode[T any](data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, errors.Wrap(err, "decode")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, errors.New("decode: data after the value")
	}
	return value, nil
}

// Handle returns a handler that decodes a JSON body of up to limit bytes, calls
// serve and answers with its result or error in JSON. The account of the intake holds
// the body until the request is served.
func Handle[Request, Response any](intake Intake, limit int64, serve func(context.Context, Request) (Response, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		data, charge, err := intake.Read(writer, request, limit)
		defer charge.Close()
		if err != nil {
			WriteError(writer, err)
			return
		}
		body, err := Decode[Request](data)
		if err != nil {
			WriteError(writer, NotRun(http.StatusBadRequest, "bad_json", err.Error()))
			return
		}
		answer, err := serve(request.Context(), body)
		if err != nil {
			WriteError(writer, err)
			return
		}
		writeAnswer(writer, request, answer)
	})
}

// compressedBytes is the size from which on an answer is compressed for clients
// that accept gzip.
const compressedBytes = 8 << 10

// gzipWriters are reused, since a new one takes over a megabyte. They compress fast,
// as large answers go to many nodes at once.
var gzipWriters = sync.Pool{New: func() any {
	writer, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err)
	}
	return writer
}}

// writeAnswer answers with a JSON body, compressed from compressedBytes on.
func writeAnswer(writer http.ResponseWriter, request *http.Request, body any) {
	data, ok := encode(writer, body)
	if !ok {
		return
	}
	if len(data) < compressedBytes || !strings.Contains(request.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = writer.Write(data)
		return
	}
	writer.Header().Set("Content-Encoding", "gzip")
	compressed := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(compressed)
	compressed.Reset(writer)
	// The client may have disconnected; no error could reach it.
	_, _ = compressed.Write(data)
	_ = compressed.Close()
}
