package entryapi

import (
	"bytes"
	"io"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/sse"
	"carobline.dev/core/process/memory"
)

const (
	// readBufferBytes is the initial size of a stream's read buffer.
	readBufferBytes = 4 << 10
	// maxEventBytes is the most of one event that is held back until the event is
	// complete. A larger one is passed on in pieces.
	maxEventBytes = 256 << 10
	// maxBufferBytes is the size of the largest read buffer, and keptBufferBytes that of the largest
	// one which a stream keeps once an event has been passed on.
	maxBufferBytes  = maxEventBytes + readBufferBytes
	keptBufferBytes = 64 << 10
	// maxSeparatorBytes is the length of the longest end of an event: a line feed and an
	// empty line.
	maxSeparatorBytes = 3
	// maxTrickleTime is the longest time for which bytes may come without an event, and
	// maxTrickleGap the longest time between two reads of such bytes.
	maxTrickleTime = 2 * time.Second
	maxTrickleGap  = 400 * time.Millisecond
)

// errTrickle reports an endpoint that goes on sending bytes that are no event. An engine
// that works sends nothing meanwhile, or comments.
var errTrickle = errors.New("read stream: the bytes make no event")

// eventReader reads whole events from an endpoint's stream.
type eventReader struct {
	body   io.Reader
	now    func() time.Time
	buffer []byte
	// memory is charged for the buffer beyond its first readBufferBytes.
	memory *bufferCharge
	// complete is how much of the buffer can be passed on, returned how much of it next
	// has returned, and scanned how much has been searched for the end of an event.
	complete, returned, scanned int
	// hasEvent reports that an event, or a piece of one, is in what can be passed on.
	hasEvent bool
	// within reports that what can be passed on ends within an event.
	within bool
	// crowded reports that there was no room for the rest of the event, so that its pieces are passed
	// on as they come.
	crowded bool
	// passedPieces reports that there was no room for an event so far.
	passedPieces bool
	err          error
	// trickleSince and trickledAt are the times of the first and the latest read of
	// bytes that are no event.
	trickleSince, trickledAt time.Time
}

func newEventReader(body io.Reader, now func() time.Time, memory *bufferCharge) *eventReader {
	return &eventReader{body: body, now: now, buffer: make([]byte, 0, readBufferBytes), memory: memory}
}

// next returns the next whole events, which are valid until it is called again. It returns
// an error with the last of them, io.EOF if the endpoint ended the stream properly.
func (reader *eventReader) next() ([]byte, error) {
	reader.memory.setWriting(false)
	if reader.returned > 0 {
		reader.buffer = append(reader.reusedBuffer(), reader.buffer[reader.returned:]...)
		reader.complete, reader.returned, reader.hasEvent = 0, 0, false
		reader.scanned = len(reader.buffer)
		reader.crowded = reader.crowded && reader.within
	}
	if reader.complete == 0 && reader.err == nil {
		reader.read()
	}
	reader.returned = reader.complete
	reader.memory.setWriting(reader.returned > 0)
	return reader.buffer[:reader.complete], reader.err
}

// awaitEvent reads until next returns an event or the stream's end without blocking. It
// reports whether the stream goes on or has ended properly. A stream that can't be kept so far has
// failed with memory.ErrNoRoom.
func (reader *eventReader) awaitEvent() bool {
	for !reader.hasEvent && reader.err == nil && len(reader.buffer) <= maxEventBytes {
		reader.read()
	}
	if reader.crowded {
		reader.err = memory.ErrNoRoom
		return false
	}
	return reader.hasEvent || errors.Is(reader.err, io.EOF)
}

// failure returns why the stream broke off, if it did.
func (reader *eventReader) failure() error {
	if errors.Is(reader.err, io.EOF) {
		return nil
	}
	return reader.err
}

// unfinishedBytes returns how much can't be passed on.
func (reader *eventReader) unfinishedBytes() int { return len(reader.buffer) - reader.complete }

// read takes what the endpoint has sent.
func (reader *eventReader) read() {
	if !reader.makeRoom() {
		reader.crowded, reader.passedPieces, reader.hasEvent = true, true, true
		reader.complete, reader.within = pieceLen(reader.buffer), true
		return
	}
	count, err := reader.body.Read(reader.buffer[len(reader.buffer):cap(reader.buffer)])
	reader.buffer = reader.buffer[:len(reader.buffer)+count]
	if count > 0 {
		reader.memory.recordProgress(reader.now())
	}
	began := reader.within
	reader.scan()
	reader.within = began && reader.complete == 0
	switch {
	case errors.Is(err, io.EOF):
		reader.end()
	case err != nil && reader.memory.ended():
		reader.err = errAnswerStalled
	case err != nil:
		reader.err = errors.Wrap(err, "read stream")
	case reader.complete == 0 && len(reader.buffer) > maxEventBytes:
		reader.complete, reader.within = pieceLen(reader.buffer), true
	}
	complete := reader.buffer[:reader.complete]
	reader.hasEvent = len(complete) > 0 && (began || reader.within || hasEvent(complete))
	if reader.err == nil && !reader.hasEvent && !began && !onlyComments(complete) {
		reader.recordTrickle(reader.now())
	}
}

// scan searches what has been read for the end of an event.
func (reader *eventReader) scan() {
	from := max(0, reader.scanned-maxSeparatorBytes+1)
	if length := sse.CompleteLen(reader.buffer[from:]); length > 0 {
		reader.complete = from + length
	}
	reader.scanned = len(reader.buffer)
}

// end records the end of the stream, which is proper if it isn't within an event.
func (reader *eventReader) end() {
	if reader.within || sse.Truncated(reader.buffer) {
		reader.err = sse.ErrTruncated
		return
	}
	reader.complete, reader.err = len(reader.buffer), io.EOF
}

// recordTrickle records a read of bytes that are no event.
func (reader *eventReader) recordTrickle(now time.Time) {
	if now.Sub(reader.trickledAt) > maxTrickleGap {
		reader.trickleSince = now
	}
	reader.trickledAt = now
	if now.Sub(reader.trickleSince) > maxTrickleTime {
		reader.err = errTrickle
	}
}

// pieceLen returns how much of an unfinished event is passed on at once: all but its last
// line feed and what follows, so that the empty line after the event is seen as a whole.
func pieceLen(event []byte) int {
	if end := bytes.LastIndexByte(event, '\n'); end > 0 {
		return end
	}
	return len(event)
}

// hasEvent reports whether some of the lines belong to an event. Lines that don't are
// passed on, but they are no progress: a faulty endpoint may send them without end.
func hasEvent(lines []byte) bool {
	for line := range bytes.Lines(lines) {
		if bytes.HasPrefix(line, []byte("data:")) || bytes.HasPrefix(line, []byte("id:")) {
			return true
		}
	}
	return false
}

// onlyComments reports whether there are comments and nothing else but empty lines.
func onlyComments(lines []byte) bool {
	found := false
	for line := range bytes.Lines(lines) {
		comment := line[0] == ':'
		if !comment && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
		found = found || comment
	}
	return found
}

// makeRoom makes room for a read. It reports false when what has been read must be passed on first,
// for want of memory.
func (reader *eventReader) makeRoom() bool {
	switch {
	case reader.memory.mustGiveWay() && len(reader.buffer) > 0:
		return false
	case len(reader.buffer) < cap(reader.buffer):
		return true
	case reader.crowded:
		return false
	}
	size := 2 * cap(reader.buffer)
	if size >= maxEventBytes {
		size = maxBufferBytes
	}
	if reader.memory.resize(reader.now(), size+cap(reader.buffer)) != nil {
		return false
	}
	larger := make([]byte, len(reader.buffer), size)
	copy(larger, reader.buffer)
	reader.buffer = larger
	// A charge that becomes smaller always fits.
	_ = reader.memory.resize(reader.now(), size)
	return true
}

// reusedBuffer returns the buffer for what remains after the latest events, without content. A large
// one is given back once its event has gone, or when others need it.
func (reader *eventReader) reusedBuffer() []byte {
	large := cap(reader.buffer) > keptBufferBytes && !reader.within || reader.memory.mustGiveWay()
	if !large || len(reader.buffer)-reader.returned > readBufferBytes {
		return reader.buffer[:0]
	}
	reader.memory.close()
	return make([]byte, 0, readBufferBytes)
}

// close gives the buffer's bytes back.
func (reader *eventReader) close() { reader.memory.close() }
