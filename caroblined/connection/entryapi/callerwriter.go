package entryapi

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/memory"
)

// maxWriteBytes is the most of an answer that is written to a caller at a time. Each write is
// progress.
const maxWriteBytes = 256 << 10

// callerWriter writes an answer to a caller, who is charged for it until it is closed. If others
// need the bytes, each further write must end within memory.StallTime.
type callerWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	charge  *memory.Charge
	now     func() time.Time

	mutex sync.Mutex
	// hurried reports that others need the bytes.
	hurried, closed bool
}

// newCallerWriter returns a writer that holds an exchange's bytes for the caller.
func (api *API) newCallerWriter(writer http.ResponseWriter, call *call, exchange *exchange) *callerWriter {
	callerWriter := &callerWriter{writer: writer, control: http.NewResponseController(writer), charge: exchange.charge, now: api.config.Now}
	if exchange.charge != nil {
		exchange.charge.Transfer(api.config.Now(), call.holder(), callerWriter.giveWay)
	}
	return callerWriter
}

// giveWay ends a write to a caller that reads nothing, and bounds that to any other one.
func (callerWriter *callerWriter) giveWay(stalled bool) {
	callerWriter.mutex.Lock()
	defer callerWriter.mutex.Unlock()
	if callerWriter.closed {
		return
	}
	callerWriter.hurried = true
	until := time.Now()
	if !stalled {
		until = until.Add(memory.StallTime)
	}
	callerWriter.setDeadline(until)
}

// write writes all data. Its error is errCallerWrite.
func (callerWriter *callerWriter) write(data []byte) error {
	for len(data) > maxWriteBytes {
		if err := callerWriter.writePiece(data[:maxWriteBytes]); err != nil {
			return err
		}
		data = data[maxWriteBytes:]
		callerWriter.charge.Progress(callerWriter.now())
	}
	return callerWriter.writePiece(data)
}

func (callerWriter *callerWriter) writePiece(data []byte) error {
	callerWriter.extend()
	if _, err := callerWriter.writer.Write(data); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// extend gives the next write its time, if that is bounded.
func (callerWriter *callerWriter) extend() {
	callerWriter.mutex.Lock()
	defer callerWriter.mutex.Unlock()
	if callerWriter.hurried {
		callerWriter.setDeadline(time.Now().Add(memory.StallTime))
	}
}

// close gives the bytes back, and takes the time limit off the connection.
func (callerWriter *callerWriter) close() {
	callerWriter.mutex.Lock()
	defer callerWriter.mutex.Unlock()
	callerWriter.closed = true
	if callerWriter.hurried {
		callerWriter.setDeadline(time.Time{})
	}
	callerWriter.charge.Close()
}

func (callerWriter *callerWriter) setDeadline(until time.Time) {
	// Fails only for a connection without deadlines, whose writes take as long as they do.
	_ = callerWriter.control.SetWriteDeadline(until)
}
