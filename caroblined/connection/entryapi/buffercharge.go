package entryapi

import (
	"context"
	"time"

	"carobline.dev/core/process/memory"
)

// bufferCharge is what a stream's read buffer holds of the account beyond readBufferBytes. A stream
// whose buffer doesn't grow has no charge.
type bufferCharge struct {
	account *memory.Account
	holder  func() memory.Holder
	subject string
	cancel  context.CancelFunc

	charge     *memory.Charge
	yielder    *yielder
	progressAt time.Time
}

// readEvents returns the reader of a stream's events.
func (api *API) readEvents(call *call, attempt *attempt, exchange *exchange) *eventReader {
	pool := call.pool
	return newEventReader(exchange.response.Body, api.config.Now, &bufferCharge{
		account: api.config.Account, subject: string(call.id), cancel: exchange.cancel,
		holder: func() memory.Holder { return endpointHolder(pool, attempt) },
	})
}

// resize charges the account for buffers of size bytes in all. Its error is memory.ErrNoRoom.
func (bufferCharge *bufferCharge) resize(now time.Time, size int) error {
	if bufferCharge.charge == nil {
		bufferCharge.yielder = &yielder{cancel: bufferCharge.cancel, passes: true}
		bufferCharge.charge = bufferCharge.account.Open(bufferCharge.holder(), bufferCharge.subject, bufferCharge.yielder.giveWay)
	}
	return bufferCharge.charge.Resize(now, memory.Bytes(size-readBufferBytes))
}

// recordProgress records that the stream goes on, as seldom as the account needs it.
func (bufferCharge *bufferCharge) recordProgress(now time.Time) {
	if bufferCharge.charge != nil && now.Sub(bufferCharge.progressAt) >= memory.StallTime/4 {
		bufferCharge.progressAt = now
		bufferCharge.charge.Progress(now)
	}
}

func (bufferCharge *bufferCharge) mustGiveWay() bool {
	return bufferCharge.yielder != nil && bufferCharge.yielder.mustGiveWay()
}

func (bufferCharge *bufferCharge) setWriting(writing bool) {
	if bufferCharge.yielder != nil {
		bufferCharge.yielder.setWriting(writing)
	}
}

// ended reports whether the exchange was ended to make room.
func (bufferCharge *bufferCharge) ended() bool {
	return bufferCharge.yielder != nil && bufferCharge.yielder.finish()
}

// close gives all bytes back.
func (bufferCharge *bufferCharge) close() {
	if bufferCharge.yielder != nil {
		bufferCharge.yielder.finish()
	}
	bufferCharge.charge.Close()
	bufferCharge.charge, bufferCharge.yielder = nil, nil
}
