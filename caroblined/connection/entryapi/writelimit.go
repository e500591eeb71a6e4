package entryapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"carobline.dev/core/process/memory"
)

// writeLimit ends the writes to a caller that reads nothing, some time after its call's context has ended. A write
// that blocks sees nothing of that by itself.
type writeLimit struct {
	control *http.ResponseController

	mutex       sync.Mutex
	set, closed bool
}

// limitWrites bounds the writes of a call. Call close when the call has ended.
func limitWrites(ctx context.Context, writer http.ResponseWriter) *writeLimit {
	limit := &writeLimit{control: http.NewResponseController(writer)}
	context.AfterFunc(ctx, limit.begin)
	return limit
}

func (limit *writeLimit) begin() {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if !limit.closed {
		limit.set = true
		// Fails only for a connection without deadlines.
		_ = limit.control.SetWriteDeadline(time.Now().Add(memory.StallTime))
	}
}

// close takes the limit off the connection, which may be kept.
func (limit *writeLimit) close() {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	limit.closed = true
	if limit.set {
		_ = limit.control.SetWriteDeadline(time.Time{})
	}
}
