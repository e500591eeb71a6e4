package entryapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobline.dev/core/version/routing"
)

// fullPause is longer than an endpoint is avoided after it refused a call.
const fullPause = 150 * time.Millisecond

// Guards against a caller that is told that its call hasn't run since the endpoint wrote
// an earlier refusal once more on a kept connection, and against the calls after it
// getting each other's answers.
func TestRepeatedRefusalOnAKeptConnectionIsNoAnswer(t *testing.T) {
	const answerDelay = 50 * time.Millisecond
	for name, refusal := range map[string]string{
		"without a body": "HTTP/1.1 503 Service Unavailable\r\nCall-Id: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"with a body":    "HTTP/1.1 503 Service Unavailable\r\nCall-Id: c1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"misdirected":    "HTTP/1.1 421 Misdirected Request\r\nCall-Id: c1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			service := newService(t, func(service *service, connection net.Conn, request *http.Request, number int) {
				if number <= 2 {
					_, _ = io.WriteString(connection, refusal)
				}
				if number >= 2 {
					time.Sleep(answerDelay)
					respondDone(service, connection, request, number)
				}
			})
			routes := route(routing.RepeatNever)
			routes[0].TargetMS = 300
			server := newEntryHost(t, routes, service)
			for number := 1; number <= 6; number++ {
				want := http.StatusOK
				switch number {
				case 1:
					want = http.StatusServiceUnavailable
				case 2:
					want = http.StatusBadGateway
				}
				got, err := call(t, server, strings.Replace(post("/a", "x"), "Call-Id: c1", fmt.Sprintf("Call-Id: c%d", number), 1))
				if err != nil || got.status != want {
					t.Errorf("call %d: status %d, error %v; want %d", number, got.status, err, want)
				}
				if number == 1 {
					time.Sleep(fullPause) // the endpoint is avoided for this long after a refusal
				}
			}
		})
	}
}
