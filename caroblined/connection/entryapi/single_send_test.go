package entryapi_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"carobline.dev/core/version/routing"
)

// Guards against a call that must not repeat and that net/http sends once more by itself,
// since its kept connection breaks before the answer.
func TestTransportSendsNoCallTwiceThatMustNotRepeat(t *testing.T) {
	bodyless := func(method string) string { return strings.Replace(post("/a", ""), "POST", method, 1) }
	for name, raw := range map[string]string{
		"GET": bodyless("GET"), "OPTIONS": bodyless("OPTIONS"), "TRACE": bodyless("TRACE"),
		"DELETE": bodyless("DELETE"), "POST with a body": post("/a", "x"), "POST without a body": post("/a", ""),
		"POST without a body, Idempotency-Key":   post("/a", "", "Idempotency-Key: k"),
		"POST without a body, X-Idempotency-Key": post("/a", "", "X-Idempotency-Key: k"),
		"POST with a body, Idempotency-Key":      post("/a", "x", "Idempotency-Key: k"),
	} {
		for _, repeat := range []routing.Repeat{routing.RepeatNever} {
			t.Run(name+", "+string(repeat), func(t *testing.T) {
				service := newService(t, func(service *service, connection net.Conn, request *http.Request, number int) {
					if number == 2 {
						_ = connection.Close()
						return
					}
					respondDone(service, connection, request, number)
				})
				server := newEntryHost(t, route(repeat), service)
				_, _ = call(t, server, raw)
				got, err := call(t, server, raw)
				if sends := len(service.requests()); sends != 2 {
					t.Errorf("status %d, error %v, %d sends of 2 calls", got.status, err, sends)
				}
			})
		}
	}
}
