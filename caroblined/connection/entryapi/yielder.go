package entryapi

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/memory"
)

// errAnswerStalled reports an answer that made no progress while others needed its memory.
var errAnswerStalled = errors.New("the answer makes no progress and others need its memory")

// yielder is notified when others need the bytes of an answer that is being read, and ends the exchange
// if nothing else frees them. It is safe for concurrent use.
type yielder struct {
	cancel context.CancelFunc
	// passes reports that the answer can be passed on before it is complete.
	passes bool

	mutex sync.Mutex
	// givesWay reports that no more is kept, cancelled that the exchange was ended for it, and
	// finished that nothing is read any more.
	givesWay, cancelled, finished bool
	// writing reports that the bytes are being passed on, so that nothing is read.
	writing bool
	timer   *time.Timer
}

func (yielder *yielder) mustGiveWay() bool {
	yielder.mutex.Lock()
	defer yielder.mutex.Unlock()
	return yielder.givesWay
}

// giveWay ends the exchange at once if its answer is stalled or can't be passed on. Any other one
// gives way at the next read, and ends like a stalled one if there is none.
func (yielder *yielder) giveWay(stalled bool) {
	yielder.mutex.Lock()
	defer yielder.mutex.Unlock()
	if yielder.finished {
		return
	}
	yielder.givesWay = true
	if stalled || !yielder.passes {
		yielder.end()
		return
	}
	yielder.timer = time.AfterFunc(memory.StallTime, func() {
		yielder.mutex.Lock()
		defer yielder.mutex.Unlock()
		yielder.end()
	})
}

// end cancels the exchange if it is being read. The caller holds the mutex.
func (yielder *yielder) end() {
	if yielder.finished || yielder.writing {
		return
	}
	yielder.cancelled = true
	yielder.cancel()
}

func (yielder *yielder) setWriting(writing bool) {
	yielder.mutex.Lock()
	defer yielder.mutex.Unlock()
	yielder.writing = writing
}

// finish records that nothing is read any more, and reports whether the exchange was ended to
// make room.
func (yielder *yielder) finish() bool {
	yielder.mutex.Lock()
	defer yielder.mutex.Unlock()
	yielder.finished = true
	if yielder.timer != nil {
		yielder.timer.Stop()
	}
	return yielder.cancelled
}
