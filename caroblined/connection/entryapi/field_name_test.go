package entryapi_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"carobline.dev/core/version/routing"
)

// Guards against an answer that its caller gets though the name of a field holds a blank: its length or its refusal isn't
// seen then (issue 61). A call that must not repeat is sent once, and may have run.
func TestBlankInAFieldsNameIsABrokenAnswer(t *testing.T) {
	const sound, chunks = "Content-Length: 4\r\n\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\ndone",
		"coding":  "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run : 1\r\n" + sound,
		"interim": "HTTP/1.1 103 Early Hints\r\nTwo Words: a\r\n\r\nHTTP/1.1 200 OK\r\n%s" + sound,
		"trailer": "HTTP/1.1 200 OK\r\n%s" + chunks + "Two Words: a\r\n\r\n",
		"events":  "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTwo Words: a\r\nContent-Length: 9\r\n\r\ndata: a\n\n",
	} {
		for _, repeat := range []routing.Repeat{routing.RepeatSafe, routing.RepeatStream, routing.RepeatNever} {
			t.Run(fmt.Sprint(name, ", ", repeat), func(t *testing.T) {
				t.Parallel()
				var sends atomic.Int64
				respond := func(_ *service, connection net.Conn, request *http.Request, _ int) {
					if sends.Add(1) > 1 {
						reply(connection, request, "200 OK", "sound", "Mark: m")
						return
					}
					_, _ = io.WriteString(connection, fmt.Sprintf(text, "Mark: m\r\nCall-Id: "+request.Header.Get("Call-Id")+"\r\n"))
					_ = connection.Close()
				}
				log := &logBuffer{}
				entryHost := loggedOptions(log).start(t, route(repeat), newService(t, respond), newService(t, respond))
				got, err := call(t, entryHost.server, post("/a", "x"))
				line := log.awaitLine(t, "request")
				if repeat != routing.RepeatNever {
					if err != nil || got.body != "sound" || sends.Load() != 2 {
						t.Errorf("status %d, %q, error %v, %d sends; want the answer of the second send", got.status, got.body, err, sends.Load())
					}
					return
				}
				if err != nil || got.status != http.StatusBadGateway || sends.Load() != 1 || line["reason"] != "invalid_field_name" || line["outcome"] != "unknown" {
					t.Errorf("status %d, %q, error %v, %d sends, %v, %v; want 502, an unknown outcome, one send", got.status, got.body, err, sends.Load(), line["reason"], line["outcome"])
				}
			})
		}
	}
}

// Guards against parts of prompts that come under suspicion of having ended an endpoint's process, since a field of its
// answer has a blank in its name, which shows that it runs.
func TestBlankInAFieldsNameIsNoCrash(t *testing.T) {
	for name, text := range map[string]string{
		"head":    "HTTP/1.1 200 OK\r\n%sTwo Words: a\r\nContent-Length: 4\r\n\r\ndone",
		"interim": "HTTP/1.1 103 Early Hints\r\nTwo Words: a\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\ndone",
		"trailer": "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\nTwo Words: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantNoCrash(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
				_, _ = io.WriteString(connection, fmt.Sprintf(text, "Mark: m\r\nCall-Id: "+request.Header.Get("Call-Id")+"\r\n"))
			})
		})
	}
}
