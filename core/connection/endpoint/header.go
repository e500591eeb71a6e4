package endpoint

import (
	"net"
	"sync"
	"time"
)

// headerTimeSteps is the number of steps in which maxHeaderTime is counted.
const headerTimeSteps = 10

// headerTimer closes a connection on which an answer has begun whose headers don't end.
// Before the first byte there is no limit: an endpoint may work for long. The time is
// counted in steps. A time for which this process was suspended counts as one step, so that
// the headers that came meanwhile are still read.
type headerTimer struct {
	mutex   sync.Mutex
	timer   *time.Timer
	steps   int
	stopped bool
	expired bool
	interim int
}

// start begins the time of an answer whose first byte has come.
func (timer *headerTimer) start(connection net.Conn) {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	if timer.timer == nil && !timer.stopped {
		timer.timer = time.AfterFunc(maxHeaderTime/headerTimeSteps, func() { timer.step(connection) })
	}
}

// step counts a step, and closes the connection after the last one.
func (timer *headerTimer) step(connection net.Conn) {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	if timer.stopped {
		return
	}
	timer.steps++
	if timer.steps < headerTimeSteps {
		timer.timer.Reset(maxHeaderTime / headerTimeSteps)
		return
	}
	timer.stopped, timer.expired = true, true
	_ = connection.Close()
}

// recordInterim ends the time, since an interim answer has been read whole: the endpoint
// may work for long before the next one.
func (timer *headerTimer) recordInterim() error {
	timer.stop()
	timer.interim++
	if timer.interim > maxInterimAnswers {
		return errInterimAnswers
	}
	return nil
}

// stop ends the time and reports whether it had run out.
func (timer *headerTimer) stop() bool {
	timer.mutex.Lock()
	defer timer.mutex.Unlock()
	timer.stopped = true
	if timer.timer != nil {
		timer.timer.Stop()
	}
	return timer.expired
}
