package callerapi

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/sse"
	"carobline.dev/core/id"
)

// eventSource reads the events of an attempt. Those of a successor are read up to the
// first that can be passed on before the successor takes over.
type eventSource struct {
	reader *sse.Reader
	// opened receives the opening while that is being read, and is nil otherwise.
	opened chan opening
	// opening holds the events that were read ahead and aren't passed on yet.
	opening opening
}

// opening is the start of a stream up to its first event that can be passed on, or the
// error that came before one.
type opening struct {
	events []sse.Event
	err    error
}

// next returns the next event. It is valid until the one after it is read.
func (source *eventSource) next() (sse.Event, error) {
	if source.opened != nil {
		source.setOpening(<-source.opened)
	}
	if ahead := source.opening.events; len(ahead) > 0 {
		source.opening.events = ahead[1:]
		return ahead[0], nil
	}
	if err := source.opening.err; err != nil {
		return sse.Event{}, err
	}
	return source.reader.Next()
}

// ready reports whether next won't block.
func (source *eventSource) ready() bool {
	return len(source.opening.events) > 0 || source.reader.Ready()
}

func (source *eventSource) setOpening(opening opening) {
	source.opened, source.opening = nil, opening
}

// open reads the opening of an answer that goes on after the delivered tokens, beside its
// caller. It ends with the attempt at the latest.
func (source *eventSource) open(delivered func() id.Tokens) {
	opened := make(chan opening, 1)
	source.opened = opened
	go func() { opened <- readOpening(source.reader, delivered) }()
}

// readOpening reads events up to the end mark or the first one with a number, which must
// leave out no token.
func readOpening(reader *sse.Reader, delivered func() id.Tokens) opening {
	var opening opening
	held := 0
	for len(opening.events) <= maxUnnumberedEvents && held <= maxOpeningBytes {
		event, err := reader.Next()
		if err != nil {
			opening.err = err
			return opening
		}
		event.Raw, event.Data = bytes.Clone(event.Raw), bytes.Clone(event.Data)
		if opening.err = checkOpeningEvent(&event, delivered()); opening.err != nil {
			return opening
		}
		opening.events = append(opening.events, event)
		held += len(event.Raw) + len(event.Data)
		if event.HasID || event.Done() {
			return opening
		}
	}
	opening.err = errors.Errorf("the stream began with more than %d events, or %d bytes, without a number", maxUnnumberedEvents, maxOpeningBytes)
	return opening
}

// checkOpeningEvent returns why an answer can't go on with an event, or nil if it can.
func checkOpeningEvent(event *sse.Event, delivered id.Tokens) error {
	switch {
	case event.Done():
		return nil
	case !json.Valid(event.Data):
		return errNotJSON
	case event.HasID && event.ID > int64(delivered)+1:
		return errors.Errorf("the stream left out tokens after %d", delivered)
	default:
		return nil
	}
}
