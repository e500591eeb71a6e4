package entryapi

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/body"
)

// passThroughBytes is the size of the buffer of an answer that is passed on while it is read.
const passThroughBytes = 16 << 10

// passThrough ends a call with an answer of which no more may be kept: the caller gets the head, what
// has been read, and the rest as it comes. If the answer then breaks off, so does the caller's.
func (api *API) passThrough(ctx context.Context, writer http.ResponseWriter, call *call, attempt *attempt, exchange *exchange) result {
	defer exchange.close()
	err := api.copyAnswer(writer, call, exchange)
	result := attempt.result(exchange.response.StatusCode, "answered", "ran", err)
	result.framing = exchange.framing()
	if err == nil {
		api.recordAnswer(call, attempt, exchange)
	} else {
		result.reason, result.outcome, result.abort = reasonBrokenOff, "unknown", true
		result.breakage.by = breakerOf(ctx, call, err)
	}
	api.finishAttempt(call, attempt, endingOf(ctx, err))
	return result
}

// copyAnswer passes on what has been read of an answer and then the rest of it.
func (api *API) copyAnswer(writer http.ResponseWriter, call *call, exchange *exchange) error {
	callerWriter := api.newCallerWriter(writer, call, exchange)
	defer callerWriter.close()
	copyHeaders(writer.Header(), exchange.response.Header)
	writer.WriteHeader(exchange.response.StatusCode)
	passed := len(exchange.body)
	if err := callerWriter.write(exchange.body); err != nil {
		return err
	}
	exchange.body = nil
	buffer := make([]byte, passThroughBytes)
	// What the caller held was larger, or this is too small to fail for.
	_ = exchange.charge.Resize(api.config.Now(), passThroughBytes)
	for {
		count, err := exchange.response.Body.Read(buffer)
		if passed += count; passed > maxWholeAnswerBytes {
			return body.ErrTooLarge
		}
		if writeErr := callerWriter.write(buffer[:count]); writeErr != nil {
			return writeErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
	}
}
