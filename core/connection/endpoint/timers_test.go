package endpoint_test

import (
	"net"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"carobline.dev/core/connection/endpoint"
)

// Guards against memory that each request of a busy connection holds for the idle timeout, for a timer of its own.
func TestRequestsLeaveNoTimers(t *testing.T) {
	const requests, maxObjects = 2000, 500
	url := newAnswering(t, func(_ int, request *http.Request) string {
		return answerWith("200 OK", "done", idHeader+": "+request.Header.Get(idHeader))
	})
	transport := endpoint.New(endpoint.Config{Dial: (&net.Dialer{}).DialContext, MaxIdlePerHost: 2, IdleTimeout: time.Hour, IDHeader: idHeader})
	t.Cleanup(transport.CloseIdleConnections)
	send := func(first, count int) uint64 {
		for number := range count {
			if got, err := sendCopied(t, transport, url, strconv.Itoa(first+number)); err != nil || got != "200 done" {
				t.Fatalf("%q, %v; want the answer", got, err)
			}
		}
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapObjects
	}
	before := send(0, 100)
	after := send(100, requests)
	if after > before+maxObjects {
		t.Errorf("%d objects more after %d requests, want at most %d", after-before, requests, maxObjects)
	}
}
