// Package body reads a message's body into memory, and charges the bytes to an account before
// they are kept.
//
// # Usage
//
//	reader := body.Reader{Charge: charge, Now: clock.Now, Limit: 4 << 20}
//	data, err := reader.ReadAll(ctx, request.Body, request.ContentLength)
package body

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/memory"
)

const (
	// minBufferBytes is the size of the first buffer of a body whose length isn't known.
	minBufferBytes = 4 << 10
	// progressInterval is the least time between two notes that a body still comes.
	progressInterval = memory.StallTime / 4
)

// ErrTooLarge reports a body that is larger than the limit.
var ErrTooLarge = errors.New("the body is too large")

// Reader reads one body.
type Reader struct {
	Charge *memory.Charge
	Now    func() time.Time
	// Limit is the most that a body may have, in bytes.
	Limit int64
	// Waits makes the reader wait, until ctx ends, while others give way.
	Waits bool
	// Reserves makes it wait until a body of a stated length fits as a whole, before any of it
	// is kept.
	Reserves bool
	// progressAt is when the charge was last notified of progress.
	progressAt time.Time
}

// ReadAll reads source to its end. A stated length that isn't negative bounds the buffer. It returns what it
// has read, also with an error: memory.ErrNoRoom when no more may be kept, ErrTooLarge past
// the limit, or that of source. The charge holds the bytes of the buffer that is returned.
func (reader *Reader) ReadAll(ctx context.Context, source io.Reader, stated int64) ([]byte, error) {
	if stated > reader.Limit {
		return nil, ErrTooLarge
	}
	most := reader.Limit + 1
	if stated >= 0 {
		most = stated + 1
	}
	data, err := reader.reserve(ctx, stated)
	if err != nil {
		return nil, err
	}
	for {
		if len(data) == cap(data) {
			if int64(len(data)) >= most {
				return data, ErrTooLarge
			}
			larger, err := reader.grow(ctx, data, most)
			if err != nil {
				return data, err
			}
			data = larger
		}
		count, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		reader.noteProgress(count)
		switch {
		case int64(len(data)) > reader.Limit:
			return data, ErrTooLarge
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}

// reserve returns a buffer for a body of a stated length, if that is to be had before.
func (reader *Reader) reserve(ctx context.Context, stated int64) ([]byte, error) {
	if !reader.Reserves || stated <= 0 {
		return nil, nil
	}
	// The end of a body is seen when there is room for one more byte.
	size := stated + 1
	if err := reader.Charge.AwaitTurn(ctx, reader.Now, memory.Bytes(size)); err != nil {
		return nil, err
	}
	return make([]byte, 0, size), nil
}

// noteProgress notifies the charge that count bytes have come, which it doesn't see while they fit the buffer:
// a body that comes slowly isn't one that has stopped.
func (reader *Reader) noteProgress(count int) {
	if reader.Charge == nil || count == 0 {
		return
	}
	if now := reader.Now(); now.Sub(reader.progressAt) >= progressInterval {
		reader.progressAt = now
		reader.Charge.Progress(now)
	}
}

// grow returns a larger buffer with the same data. Both are held while it copies.
func (reader *Reader) grow(ctx context.Context, data []byte, most int64) ([]byte, error) {
	size := min(most, max(minBufferBytes, 2*int64(cap(data))))
	if err := reader.charge(ctx, memory.Bytes(size)+memory.Bytes(cap(data))); err != nil {
		return nil, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	// A charge that becomes smaller always fits.
	reader.progressAt = reader.Now()
	_ = reader.Charge.Resize(reader.progressAt, memory.Bytes(size))
	return larger, nil
}

func (reader *Reader) charge(ctx context.Context, size memory.Bytes) error {
	if reader.Waits {
		return reader.Charge.Await(ctx, reader.Now, size)
	}
	return reader.Charge.Resize(reader.Now(), size)
}
