package entryapi

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/memory"
)

// keeperProgressBytes is the length from which on each read of an answer is recorded as progress.
// Smaller answers aren't ended for others.
const keeperProgressBytes = 64 << 10

// memoryVerdict is what a shortage of memory meant for a call, as written to the log.
type memoryVerdict string

const (
	// memoryPassedThrough: an answer was passed on before it was complete.
	memoryPassedThrough memoryVerdict = "passed_through"
	// memoryEnded: an exchange was ended.
	memoryEnded memoryVerdict = "ended"
)

// errAnswerStalled reports an answer that made no progress while others needed its memory.
var errAnswerStalled = errors.New("the answer makes no progress and others need its memory")

// endpointHolder is whom the bytes of an endpoint's answer are held for.
func endpointHolder(call *call, attempt *attempt) memory.Holder {
	name := string(attempt.endpoint.Name.Group)
	if name == "" {
		name = string(attempt.endpoint.Name.Host)
	}
	return memory.Holder{Kind: memory.Endpoint, Name: string(call.pool.Service) + "/" + name}
}

// keeper reads an answer that is kept, until it is told that others need the bytes. Its Read then
// returns memory.ErrNoRoom, or what comes of a read that is cancelled.
type keeper struct {
	source io.Reader
	charge *memory.Charge
	now    func() time.Time
	cancel context.CancelFunc
	// passes reports that the answer can be passed on before it is complete.
	passes bool
	// count is the number of bytes read.
	count int64

	mutex sync.Mutex
	// givesWay reports that no more is kept, cancelled that the exchange was ended for it, and
	// finished that nothing is read any more.
	givesWay, cancelled, finished bool
	timer                         *time.Timer
}

// Read implements io.Reader.
func (keeper *keeper) Read(data []byte) (int, error) {
	if keeper.mustGiveWay() {
		return 0, memory.ErrNoRoom
	}
	count, err := keeper.source.Read(data)
	if keeper.count += int64(count); count > 0 && keeper.count > keeperProgressBytes {
		keeper.charge.Progress(keeper.now())
	}
	return count, err
}

func (keeper *keeper) mustGiveWay() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.givesWay
}

// giveWay ends the reading at once if the answer is stalled or can't be passed on, and at the next
// read otherwise. If there is none it ends as a stalled one.
func (keeper *keeper) giveWay(stalled bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.finished {
		return
	}
	keeper.givesWay = true
	if stalled || !keeper.passes {
		keeper.end()
		return
	}
	keeper.timer = time.AfterFunc(memory.StallTime, func() {
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		if !keeper.finished {
			keeper.end()
		}
	})
}

// end cancels the exchange. The caller holds the mutex.
func (keeper *keeper) end() {
	keeper.cancelled = true
	keeper.cancel()
}

// finish records that nothing is read any more, and reports whether the exchange was ended to
// make room.
func (keeper *keeper) finish() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.finished = true
	if keeper.timer != nil {
		keeper.timer.Stop()
	}
	return keeper.cancelled
}
