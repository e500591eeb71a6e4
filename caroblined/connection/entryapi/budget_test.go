package entryapi_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"carobline.dev/core/version/routing"
)

// Guards against second sends that add up over all entry hosts to more than their share
// of the calls and what may be saved up, since each entry host saves as many by itself.
func TestSecondSendsOfManyEntryHostsStayWithinTheirBudget(t *testing.T) {
	const entryHosts, callsAtOnce, callsPerSecondSend = 79, 16, 5
	hold := 20 * time.Millisecond
	failing := newService(t, func(service *service, connection net.Conn, request *http.Request, number int) {
		time.Sleep(hold)
		respondNotRun(service, connection, request, number)
	})
	healthy := newService(t, func(service *service, connection net.Conn, request *http.Request, number int) {
		time.Sleep(hold)
		respondDone(service, connection, request, number)
	})
	for range entryHosts {
		server := newEntryHostOf(t, entryHosts, time.Now().Add(time.Hour), route(routing.RepeatSafe), failing, healthy)
		var calls sync.WaitGroup
		for range callsAtOnce {
			calls.Go(func() { _, _ = call(t, server, post("/a", "b")) })
		}
		calls.Wait()
	}
	const calls = entryHosts * callsAtOnce
	second := len(failing.requests()) + len(healthy.requests()) - calls
	if most := calls/callsPerSecondSend + savedRetries; second > most {
		t.Errorf("%d entry hosts made %d second sends for %d calls, want at most %d", entryHosts, second, calls, most)
	}
}
