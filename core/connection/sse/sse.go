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

	"github.com/go-faster/errors"
)

// readBytes is what one read may take; longer events are put together.
const readBytes = 1 << 10

// ErrTooLong reports an event that doesn't fit into the reader's buffer.
var ErrTooLong = errors.New("event is too long")

// ErrCut reports a stream that ended within an event.
var ErrCut = errors.New("stream was cut within an event")

var (
	dataField = []byte("data:")
	idField   = []byte("id:")
	doneMark  = []byte("[DONE]")
)

// Event is one event. Raw holds all its lines and the empty one after them.
type Event struct {
	Raw  []byte
	Data []byte
	// ID is the number in the id field; HasID tells whether there is one.
	ID    int64
	HasID bool
}

// Done tells whether the event is the mark that ends a whole answer.
func (event *Event) Done() bool { return bytes.Equal(event.Data, doneMark) }

// Reader reads events from one stream.
type Reader struct {
	source *bufio.Reader
	buffer []byte
	limit  int
}

// NewReader returns a reader of events of up to limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBytes), limit: limit}
}

// Ready tells whether the next event has arrived whole already, so that Next
// won't wait.
func (reader *Reader) Ready() bool {
	waiting, err := reader.source.Peek(reader.source.Buffered())
	return err == nil && bytes.Contains(waiting, []byte("\n\n"))
}

// Next reads one event.
func (reader *Reader) Next() (Event, error) {
	reader.buffer = reader.buffer[:0]
	for {
		line, err := reader.source.ReadSlice('\n')
		if len(reader.buffer)+len(line) > reader.limit {
			return Event{}, ErrTooLong
		}
		reader.buffer = append(reader.buffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			if len(reader.buffer) == 0 {
				return Event{}, io.EOF
			}
			return Event{}, ErrCut
		}
		if err != nil {
			return Event{}, err
		}
		if !endsEvent(reader.buffer) {
			continue
		}
		if len(bytes.TrimSpace(reader.buffer)) == 0 {
			reader.buffer = reader.buffer[:0]
			continue
		}
		return parse(reader.buffer), nil
	}
}

// endsEvent tells whether the last line is empty.
func endsEvent(buffer []byte) bool {
	return bytes.HasSuffix(buffer, []byte("\n\n")) || bytes.HasSuffix(buffer, []byte("\n\r\n")) ||
		len(bytes.TrimRight(buffer, "\r\n")) == 0
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
			event.ID, event.HasID = number(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return event
}

func number(text []byte) (int64, bool) {
	const mostDigits = 18
	if len(text) == 0 || len(text) > mostDigits {
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
