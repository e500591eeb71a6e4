package entryapi

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/body"
	"carobline.dev/core/process/memory"
)

const (
	// defaultBodyBytes bounds a request body where the declaration sets no
	// limit.
	defaultBodyBytes = 4 << 20
	// maxBodyTime is the longest time in which a body may come, from the arrival of its request.
	maxBodyTime = 60 * time.Second
	// maxUnreadBodyTime is the longest time for which the rest of a refused call's body is awaited.
	maxUnreadBodyTime = time.Second
)

// errHostStopped reports that the host has stopped while a body came.
var errHostStopped = errors.New("the host has stopped")

// bodyReading is the reading of one body, which may be ended at any time. To end it more than
// once, or after the connection has closed, does nothing.
type bodyReading struct {
	cancel  context.CancelFunc
	control *http.ResponseController
}

// end stops the reading at once.
func (reading *bodyReading) end() {
	reading.cancel()
	// Fails only for a connection without deadlines, whose body is then read to its end.
	_ = reading.control.SetReadDeadline(time.Unix(1, 0))
}

// readBody reads the whole body into memory, so that a retry can send it again. The call's charge
// holds it, also with a refusal. A refusal closes the connection, on which the rest of the body
// may still come: nothing that follows it may be taken for a request.
func (api *API) readBody(writer http.ResponseWriter, call *call) *refusal {
	if call.request.ContentLength == 0 {
		return nil
	}
	limit := call.table.Declaration().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	until := api.bodyDeadline(call)
	ctx, cancel := context.WithDeadline(call.request.Context(), until)
	defer cancel()
	reading := &bodyReading{cancel: cancel, control: http.NewResponseController(writer)}
	// Fails only for a connection without deadlines.
	_ = reading.control.SetReadDeadline(until)
	goOn := context.AfterFunc(api.stopCtx, reading.end)
	call.bodyCharge = api.config.Account.Open(call.holder(), string(call.id), func(bool) { reading.end() })
	reader := body.Reader{Charge: call.bodyCharge, Now: api.config.Now, Limit: limit, Waits: true}
	data, err := reader.ReadAll(ctx, call.request.Body, call.request.ContentLength)
	switch {
	case !goOn():
		err = errHostStopped
	case !call.bodyCharge.Keep():
		err = memory.ErrNoRoom
	case errors.Is(err, memory.ErrNoRoom) && errors.Is(ctx.Err(), context.DeadlineExceeded):
		// It has waited for room until its time was over.
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		return closingConnection(bodyRefusal(err))
	}
	call.body = data
	_ = reading.control.SetReadDeadline(time.Time{})
	return nil
}

// bodyRefusal returns the refusal of a call whose body couldn't be read or kept. Nothing of the
// call has been sent anywhere.
func bodyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, body.ErrTooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case errors.Is(err, errHostStopped):
		return newRefusal(http.StatusServiceUnavailable, "host_stopping", otherHostRetryAfter)
	case errors.Is(err, memory.ErrNoRoom):
		return newRefusal(http.StatusServiceUnavailable, "no_memory", defaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, "body_timeout", 0)
	default:
		return newRefusal(http.StatusBadRequest, "body_unreadable", 0)
	}
}

// refuseUnread refuses a call whose body hasn't been read. The server reads what is left of a
// short one before it answers, so that it needs the time limit too.
func (api *API) refuseUnread(writer http.ResponseWriter, call *call, refusal *refusal) result {
	if call.request.ContentLength != 0 {
		until := time.Now().Add(maxUnreadBodyTime)
		if deadline := api.bodyDeadline(call); deadline.Before(until) {
			until = deadline
		}
		// Fails only for a connection without deadlines.
		_ = http.NewResponseController(writer).SetReadDeadline(until)
	}
	return api.refuse(writer, call, refusal)
}

// bodyDeadline returns when the body of a call must have come, by the clock of the connection.
func (api *API) bodyDeadline(call *call) time.Time {
	timeLeft := maxBodyTime
	if callerTimeLeft, ok := api.callerTimeLeft(call); ok {
		timeLeft = min(timeLeft, callerTimeLeft)
	}
	if call.route != nil {
		timeLeft = min(timeLeft, call.route.Timeout())
	}
	return time.Now().Add(timeLeft - api.config.Now().Sub(call.arrivedAt))
}
