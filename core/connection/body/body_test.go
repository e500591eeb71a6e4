package body_test

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/body"
	"carobline.dev/core/process/memory"
)

// Guards against a body that loses or adds bytes as its buffer grows, and against a charge that isn't
// that of the buffer.
func TestReadAll(t *testing.T) {
	const limit = 100_000
	for name, test := range map[string]struct {
		length int
		stated int64
		want   error
	}{
		"empty":               {0, 0, nil},
		"empty, no length":    {0, -1, nil},
		"stated":              {70_000, 70_000, nil},
		"no length":           {70_000, -1, nil},
		"at the limit":        {limit, -1, nil},
		"over the limit":      {limit + 1, -1, body.ErrTooLarge},
		"stated over it":      {10, limit + 1, body.ErrTooLarge},
		"longer than stated":  {30, 20, body.ErrTooLarge},
		"shorter than stated": {20, 30, nil},
	} {
		t.Run(name, func(t *testing.T) {
			account := memory.New(memory.Config{Memory: 100 << 20})
			charge := account.Open(memory.Holder{Kind: memory.Caller, Name: "a"}, name, nil)
			reader := body.Reader{Charge: charge, Now: time.Now, Limit: limit}
			sent := strings.Repeat("abcdefg", test.length/7+1)[:test.length]
			got, err := reader.ReadAll(t.Context(), iotest.HalfReader(strings.NewReader(sent)), test.stated)
			if !errors.Is(err, test.want) || (err == nil && string(got) != sent) {
				t.Fatalf("got %d bytes, error %v; want %d bytes, error %v", len(got), err, test.length, test.want)
			}
			if held := account.State().Held; int(held) != cap(got) {
				t.Errorf("%d bytes are charged for a buffer of %d", held, cap(got))
			}
		})
	}
}

// Guards against bytes that are kept though the account has no room for them.
func TestReadAllStopsWithoutRoom(t *testing.T) {
	account := memory.New(memory.Config{Memory: 4 << 20})
	charge := account.Open(memory.Holder{Kind: memory.Caller, Name: "a"}, "body", nil)
	reader := body.Reader{Charge: charge, Now: time.Now, Limit: 4 << 20}
	source := bytes.NewReader(make([]byte, 4<<20))
	got, err := reader.ReadAll(t.Context(), source, 4<<20)
	if !errors.Is(err, memory.ErrNoRoom) || len(got) == 0 {
		t.Fatalf("got %d bytes, error %v; want some bytes and no room", len(got), err)
	}
	rest, err := io.ReadAll(source)
	if err != nil || len(got)+len(rest) != 4<<20 {
		t.Errorf("%d bytes were read and %d are left, error %v; want all bytes in one of both", len(got), len(rest), err)
	}
}

// slowSource gives a piece of a body at each read, between which time passes.
type slowSource struct {
	pieces int
	pause  func()
}

func (source *slowSource) Read(buffer []byte) (int, error) {
	if source.pieces == 0 {
		return 0, io.EOF
	}
	source.pieces--
	source.pause()
	return min(len(buffer), 64<<10), nil
}

// Guards against a body that comes slowly, but comes, and gives way as one that has stopped.
func TestSlowBodyIsNotTakenForStalled(t *testing.T) {
	now := time.Unix(1000, 0)
	var stalled []bool
	account := memory.New(memory.Config{Memory: 100 << 20, Report: func(shortage memory.Shortage) {
		if shortage.Verdict == memory.VerdictEnded {
			stalled = append(stalled, shortage.Stalled)
		}
	}})
	charge := account.Open(memory.Holder{Kind: memory.Caller, Name: "slow"}, "slow", func(bool) {})
	source := &slowSource{pieces: 60, pause: func() { now = now.Add(memory.StallTime / 2) }}
	reader := body.Reader{Charge: charge, Now: func() time.Time { return now }, Limit: 4 << 20}
	if _, err := reader.ReadAll(t.Context(), source, 4<<20); err != nil {
		t.Fatal(err)
	}
	for number := range 40 {
		other := account.Open(memory.Holder{Kind: memory.Caller, Name: strconv.Itoa(number)}, "other", nil)
		_ = other.Resize(now, 1<<20)
	}
	// It may give way as the one that holds most.
	if slices.Contains(stalled, true) {
		t.Error("a slow body was ended as one that has stopped")
	}
}
