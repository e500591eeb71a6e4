package node_test

import (
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/wal"
)

// drainCase is one caller of an entry host that stops. Times are counted from the
// request to stop; negative ones are before it. The host closes its listeners after
// 3.5 s and ends what still runs after 5.3 s. From 2.5 s on callers
// have other hosts, since the load balancer in front of the entry hosts sends them there.
type drainCase struct {
	name string
	path string
	// connectAt, sendAt and bodyAt are the times of the connection, of the
	// request's head and of its body.
	connectAt, sendAt, bodyAt time.Duration
	timeLeft, work            time.Duration
	status, arrivals          int
}

// Guards against requests that come late in a planned stop, are passed on to an
// endpoint, and are cut without an answer when the grace period ends.
func TestPlannedStopCutsNoCall(t *testing.T) {
	const before, early, opened = -100 * time.Millisecond, 200 * time.Millisecond, 2500 * time.Millisecond
	const noticed, late, closed = 2800 * time.Millisecond, 3200 * time.Millisecond, 3800 * time.Millisecond
	const long = 20 * time.Second
	tests := []drainCase{
		{"runs and ends", "/once/x", before, before, before, long, 4 * time.Second, 200, 1},
		{"runs and outlasts the host", "/once/x", before, before, before, long, 10 * time.Second, 504, 1},
		{"came early, usually ends in time", "/safe/x", early, early, early, long, time.Second, 200, 1},
		{"came early, must not repeat, may outlast the host", "/once/x", early, early, early, long, 7 * time.Second, 503, 0},
		{"came early, must not repeat, ends in time", "/once/x", early, early, early, 4 * time.Second, 2 * time.Second, 200, 1},
		{"came once callers have other hosts, takes longer than usual", "/safe/x", noticed, noticed, noticed, long, 4 * time.Second, 503, 0},
		{"came once callers have other hosts, ends by its deadline", "/safe/x", noticed, noticed, noticed, 2 * time.Second, time.Second, 200, 1},
		{"came late, must not repeat, may outlast the host", "/once/x", late, late, late, 8 * time.Second, 3 * time.Second, 503, 0},
		{"came late, must not repeat, ends in time", "/once/x", late, late, late, 1500 * time.Millisecond, 500 * time.Millisecond, 200, 1},
		{"first request of a connection opened long before, may outlast the host", "/safe/x", opened, closed, closed, 8 * time.Second, 3 * time.Second, 503, 0},
		{"first request of a connection opened long before, ends in time", "/once/x", opened, closed, closed, time.Second, 200 * time.Millisecond, 200, 1},
		{"a body that comes late, may outlast the host", "/safe/x", late, late, closed, 8 * time.Second, 3 * time.Second, 503, 0},
		{"a body that comes late, ends in time", "/once/x", late, late, closed, 1600 * time.Millisecond, 200 * time.Millisecond, 200, 1},
	}
	system := newSystem(t, wal.OS())
	stopAt := time.Now().Add(time.Second)
	var callers sync.WaitGroup
	for index := range tests {
		callers.Go(func() { system.checkDrain(t, stopAt, &tests[index]) })
	}
	time.Sleep(time.Until(stopAt))
	system.stop()
	callers.Wait()
	if err := <-system.stopped; err != nil {
		t.Errorf("Run returned %v", err)
	}
	if took := time.Since(stopAt); took > gracePeriod {
		t.Errorf("the stop took %v of a grace period of %v", took, gracePeriod)
	}
}

// checkDrain makes the call of one case.
func (system *system) checkDrain(t *testing.T, stopAt time.Time, test *drainCase) {
	time.Sleep(time.Until(stopAt.Add(test.connectAt)))
	connection, err := system.dial()
	if err != nil {
		t.Errorf("%s: %v", test.name, err)
		return
	}
	defer func() { _ = connection.Close() }()
	time.Sleep(time.Until(stopAt.Add(test.sendAt)))
	err = connection.send(head(test.path, test.name, test.timeLeft, test.work))
	if err == nil {
		time.Sleep(time.Until(stopAt.Add(test.bodyAt)))
		err = connection.send(test.work.String())
	}
	if err != nil {
		t.Errorf("%s: %v", test.name, err)
		return
	}
	got, err := connection.read()
	if err != nil || got.status != test.status || system.arrivals(test.name) != test.arrivals {
		t.Errorf("%s: status %d %q, error %v, %d arrivals; want status %d, %d arrivals",
			test.name, got.status, got.body, err, system.arrivals(test.name), test.status, test.arrivals)
	}
	if got.status == http.StatusServiceUnavailable && !got.closes {
		t.Errorf("%s: the refused caller's connection stays open, so that it comes back here", test.name)
	}
}

// Guards against a reload, a signal that comes beside running calls, that ends them.
func TestReloadCutsNoCall(t *testing.T) {
	system := newSystem(t, wal.OS())
	time.AfterFunc(200*time.Millisecond, func() { system.reloads <- syscall.SIGHUP })
	if got, err := system.call("/once/x", "c1", 500*time.Millisecond); err != nil || got.body != "done" {
		t.Errorf("%+v, %v", got, err)
	}
}

// Guards against a failed listener that ends the process, and so all running calls, at
// once.
func TestFailedListenerCutsNoCall(t *testing.T) {
	const work = 4 * time.Second
	system := newSystem(t, wal.OS())
	failure, startedAt := errors.New("accept failed"), time.Now()
	time.AfterFunc(200*time.Millisecond, func() { system.node.FailListener(failure) })
	var caller sync.WaitGroup
	caller.Go(func() {
		if got, err := system.call("/once/x", "c1", work); err != nil || got.body != "done" {
			t.Errorf("%+v, %v", got, err)
		}
	})
	if err := <-system.stopped; !errors.Is(err, failure) || time.Since(startedAt) < work {
		t.Errorf("Run returned %v after %v, while a call ran", err, time.Since(startedAt))
	}
	caller.Wait()
}

// Guards against an entry host that cuts running calls when the disk of its control
// host fails.
func TestFailedDiskCutsNoCall(t *testing.T) {
	var full atomic.Bool
	disk := wal.OS()
	disk.Write = func(file *os.File, data []byte) (int, error) {
		if full.Load() {
			return 0, syscall.ENOSPC
		}
		return file.Write(data)
	}
	system := newSystem(t, disk)
	time.AfterFunc(200*time.Millisecond, func() {
		full.Store(true)
		system.declare(2) // writes
	})
	if got, err := system.call("/once/x", "c1", 4*time.Second); err != nil || got.body != "done" {
		t.Errorf("%+v, %v", got, err)
	}
}
