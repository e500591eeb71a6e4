// Package sse reads server-sent events (WHATWG HTML, section 9.2) one at a time
// without copying them: an Event is valid until the next one is read.
//
// # Usage
//
//	reader := sse.NewReader(body, 64<<10)
//	event, err := reader.Next() // io.EOF at the end, ErrTooLong past the limit
package sse

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// readBufferSize is the most that one read takes; longer lines are assembled
// from several reads.
const readBufferSize = 1 << 10

// ErrTooLong reports an event that is longer than the reader's limit.
var ErrTooLong = errors.New("event is too long")

// ErrTruncated reports a stream that ended within an event.
var ErrTruncated = errors.New("stream was cut within an event")

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
	doneData  = []byte("[DONE]")
	// eventSeparators are a line's end and the empty line after it; a line feed may
	// have a carriage return before it.
	eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
)

// Event is one event. Raw holds all its lines and the empty line after them,
// Data the last data field.
type Event struct {
	Raw  []byte
	Data []byte
	// ID is the number in the id field; HasID is false when there is none.
	ID    int64
	HasID bool
}

// Done reports whether the event is the [DONE] that ends a complete answer.
func (event *Event) Done() bool { return bytes.Equal(event.Data, doneData) }

// Reader reads events from one stream.
type Reader struct {
	source *bufio.Reader
	buffer []byte
	limit  int
	onGrow func(size int) error
}

// NewReader returns a reader of events of up to limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferSize), limit: limit}
}

// OnGrow sets a function that is called before the buffer of an event grows to size bytes. Its error is
// returned by Next.
func (reader *Reader) OnGrow(onGrow func(size int) error) { reader.onGrow = onGrow }

// add appends a part of a line to the event.
func (reader *Reader) add(line []byte) error {
	if needed := len(reader.buffer) + len(line); needed > cap(reader.buffer) {
		size := max(readBufferSize, 2*cap(reader.buffer), needed)
		if reader.onGrow != nil {
			if err := reader.onGrow(size); err != nil {
				return err
			}
		}
		reader.buffer = append(make([]byte, 0, size), reader.buffer...)
	}
	reader.buffer = append(reader.buffer, line...)
	return nil
}

// Ready reports whether the end of an event is already buffered, so that Next
// won't block.
func (reader *Reader) Ready() bool {
	buffered, err := reader.source.Peek(reader.source.Buffered())
	return err == nil && CompleteLen(buffered) > 0
}

// Next reads one event. It returns io.EOF when the stream ends after an event,
// ErrTruncated when it ends within one, and ErrTooLong for an event that is beyond the
// limit together with the empty lines before it.
func (reader *Reader) Next() (Event, error) {
	reader.buffer = reader.buffer[:0]
	emptyLines := 0
	for {
		line, err := reader.source.ReadSlice('\n')
		if emptyLines+len(reader.buffer)+len(line) > reader.limit {
			return Event{}, ErrTooLong
		}
		if err := reader.add(line); err != nil {
			return Event{}, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			if len(reader.buffer) == 0 {
				return Event{}, io.EOF
			}
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if !endsEvent(reader.buffer) {
			continue
		}
		if len(bytes.TrimSpace(reader.buffer)) == 0 {
			emptyLines += len(reader.buffer)
			reader.buffer = reader.buffer[:0]
			continue
		}
		return parse(reader.buffer), nil
	}
}

// CompleteLen returns the length of the complete events at the start of data. An event
// ends with an empty line.
func CompleteLen(data []byte) int {
	end := 0
	for _, separator := range eventSeparators {
		if index := bytes.LastIndex(data, separator); index >= 0 {
			end = max(end, index+len(separator))
		}
	}
	return end
}

// Matches reports whether a Content-Type is that of a stream of events.
func Matches(contentType string) bool { return strings.HasPrefix(contentType, "text/event-stream") }

// Truncated reports whether a stream that ends with data was cut within an event. Empty
// lines and comments may follow the last event.
func Truncated(data []byte) bool {
	for line := range bytes.Lines(data[CompleteLen(data):]) {
		isComment := line[0] == ':' && bytes.HasSuffix(line, []byte("\n"))
		if len(bytes.TrimRight(line, "\r\n")) > 0 && !isComment {
			return true
		}
	}
	return false
}

// endsEvent reports whether the last line is empty.
func endsEvent(buffer []byte) bool {
	endsWith := func(separator []byte) bool { return bytes.HasSuffix(buffer, separator) }
	return slices.ContainsFunc(eventSeparators, endsWith) || len(bytes.TrimRight(buffer, "\r\n")) == 0
}

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	rest := raw
	for len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			end = len(rest) - 1
		}
		line := bytes.TrimRight(rest[:end], "\r")
		rest = rest[end+1:]
		switch {
		case bytes.HasPrefix(line, dataField):
			event.Data = bytes.TrimPrefix(line[len(dataField):], []byte(" "))
		case bytes.HasPrefix(line, idField):
			event.ID, event.HasID = parseID(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return event
}

func parseID(text []byte) (int64, bool) {
	const maxDigits = 18
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	value := int64(0)
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		value = value*10 + int64(digit-'0')
	}
	return value, true
}
