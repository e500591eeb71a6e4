package callerapi

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/request/traffic"
	"carobline.dev/core/version/view"
)

// serviceWatch watches an attempt at a plain service. A service may be at work however long it sends
// nothing, so the attempt goes on while its caller waits. It ends when the call can go on
// at another endpoint, or when the endpoint is unresponsive and either the view no longer holds it or this node stops.
type serviceWatch struct {
	api         *API
	admission   *traffic.Admission
	serviceCall *serviceCall
	endpoint    *view.Endpoint
	moves       <-chan error
	cancel      context.CancelCauseFunc
	// lastBytesAt is when the attempt began or the service last sent something, in nanoseconds since
	// the start of the call.
	lastBytesAt atomic.Int64
	// waits is set while the answer waits for memory of this process.
	waits atomic.Bool
	done  chan struct{}
}

// watchService begins to watch an attempt. Call stop when the attempt has ended.
func (api *API) watchService(attempt context.Context, cancel context.CancelCauseFunc, admission *traffic.Admission, serviceCall *serviceCall) *serviceWatch {
	watch := &serviceWatch{
		api: api, admission: admission, serviceCall: serviceCall, endpoint: admission.Endpoint(), moves: admission.Moves(), cancel: cancel, done: make(chan struct{}),
	}
	watch.recordBytes()
	go watch.run(attempt)
	return watch
}

// stop ends the attempt and the watch.
func (watch *serviceWatch) stop() {
	watch.cancel(nil)
	<-watch.done
}

// recordBytes records that the service has sent something.
func (watch *serviceWatch) recordBytes() { watch.lastBytesAt.Store(int64(watch.sinceCallStarted())) }

func (watch *serviceWatch) sinceCallStarted() time.Duration {
	return watch.api.config.Now().Sub(watch.serviceCall.call.startedAt)
}

// idle returns how long the service has sent nothing.
func (watch *serviceWatch) idle() time.Duration {
	if watch.waits.Load() {
		watch.recordBytes()
	}
	return watch.sinceCallStarted() - time.Duration(watch.lastBytesAt.Load())
}

func (watch *serviceWatch) run(attempt context.Context) {
	defer close(watch.done)
	inactivityTimeout := watch.api.config.InactivityTimeout
	timer := time.NewTimer(inactivityTimeout)
	defer timer.Stop()
	var lost error
	for {
		select {
		case <-attempt.Done():
			return
		case lost = <-watch.moves:
		case <-timer.C:
		}
		reason, idle := lost, watch.idle()
		if idle >= inactivityTimeout {
			if !watch.endpointValid() || watch.api.config.Traffic.Stopping() {
				watch.cancel(errEndpointUnresponsive)
				return
			}
			if reason == nil {
				reason = errEndpointUnresponsive
			}
		}
		if reason != nil && watch.reserveAnother(reason) {
			watch.cancel(reason)
			return
		}
		timer.Reset(max(minHandoverInterval, inactivityTimeout-idle))
		if lost != nil {
			timer.Reset(minHandoverInterval)
		}
	}
}

func (watch *serviceWatch) endpointValid() bool {
	config := &watch.api.config
	return config.View().Valid(config.Now(), watch.endpoint.Name, watch.endpoint.Fencing)
}

// reserveAnother holds another endpoint for a call that may run again. It leaves an endpoint that is
// unresponsive once only, so that a slow service answers in the end.
func (watch *serviceWatch) reserveAnother(reason error) bool {
	serviceCall, unresponsive := watch.serviceCall, errors.Is(reason, errEndpointUnresponsive)
	if !serviceCall.mayMove || (unresponsive && serviceCall.leftUnresponsive) {
		return false
	}
	reservation, ok := watch.admission.Reserve(0, true)
	if !ok {
		return false
	}
	if !watch.api.config.RetryBudget.Spend() {
		reservation.Release(false)
		return false
	}
	serviceCall.leftUnresponsive = serviceCall.leftUnresponsive || unresponsive
	serviceCall.reservation = reservation
	return true
}

// watchedReader notifies a watch of the bytes that are read.
type watchedReader struct {
	io.Reader
	watch *serviceWatch
}

// Read implements io.Reader.
func (reader *watchedReader) Read(data []byte) (int, error) {
	reader.watch.waits.Store(false)
	count, err := reader.Reader.Read(data)
	reader.watch.recordBytes()
	return count, err
}
