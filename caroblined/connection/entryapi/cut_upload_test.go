package entryapi_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/version/routing"
)

// cutUpload is an answer without a length that is cut, and what its call comes to.
type cutUpload struct {
	route []routing.Route
	// status is that of the answer, and rest what follows its first headers.
	status, rest string
	// wantStatus is what the caller gets, 0 for a broken answer.
	wantStatus int
	wantSends  int64
	wantReason string
}

// Guards against a part of an answer that its caller gets as the whole, since the endpoint reset the connection while the
// upload was being written (issue 61). A call that must not repeat is sent once, and may have run.
func TestAnswerCutInItsUploadIsABrokenAnswer(t *testing.T) {
	const (
		part   = "\r\n\r\npart"
		events = "\r\nContent-Type: text/event-stream\r\n\r\n"
		event  = "data: part\n\n"
		cut    = "answer_cut_in_upload"
	)
	safe, never, stream := route(routing.RepeatSafe), route(routing.RepeatNever), route(routing.RepeatStream)
	for name, test := range map[string]cutUpload{
		"may repeat":                {safe, "200 OK", part, 200, 2, "answered"},
		"must not":                  {never, "200 OK", part, 502, 1, cut},
		"must not, refusal":         {never, "413 Content Too Large", part, 502, 1, cut},
		"events, may repeat":        {safe, "200 OK", events + event, 200, 2, "answered"},
		"events, must not":          {never, "200 OK", events + event, 502, 1, cut},
		"stream with an event":      {stream, "200 OK", events + event, 0, 1, "stream_broken_off"},
		"stream without any events": {stream, "200 OK", events, 200, 2, "answered"},
	} {
		for _, how := range []cutconn.How{cutconn.WriteFails, cutconn.WriteFailsLater} {
			t.Run(fmt.Sprint(name, ", ", how), func(t *testing.T) {
				t.Parallel()
				var sends atomic.Int64
				endings := cutconn.Endings{How: how, Answer: func(request *http.Request) string {
					own := "\r\nMark: m\r\nCall-Id: " + request.Header.Get("Call-Id")
					if sends.Add(1) > 1 {
						return "HTTP/1.1 200 OK" + own + "\r\nContent-Length: 4\r\n\r\ndone"
					}
					return "HTTP/1.1 " + test.status + own + test.rest
				}}
				log := &logBuffer{}
				options := loggedOptions(log)
				options.dial = endings.Dial
				entryHost := options.start(t, test.route, newService(t, respondDone), newService(t, respondDone))
				got, err := call(t, entryHost.server, post("/a", strings.Repeat("x", 256<<10)))
				if test.wantStatus == 0 && err == nil || test.wantStatus != 0 && (err != nil || got.status != test.wantStatus || strings.Contains(got.body, "part")) {
					t.Errorf("status %d, %q, error %v; want status %d, and no part as the whole", got.status, got.body, err, test.wantStatus)
				}
				line := log.awaitLine(t, "request")
				if sends.Load() != test.wantSends || line["reason"] != test.wantReason || (test.wantSends == 1) != (line["outcome"] == "unknown") {
					t.Errorf("%d sends, reason %v, outcome %v; want %d, %s", sends.Load(), line["reason"], line["outcome"], test.wantSends, test.wantReason)
				}
				if cause, _ := line["error"].(string); test.wantSends == 1 && !strings.Contains(cause, "while the request was being written") {
					t.Errorf("error %q; want what happened", cause)
				}
			})
		}
	}
}

// callsTogether is the number of calls that callsAtOnce makes.
const callsTogether = 64

// callsAtOnce makes long uploads, each by its own caller, and returns the number of answers that aren't as wanted.
func callsAtOnce(t *testing.T, server *httptest.Server, wanted func(got answer, err error) bool) int64 {
	t.Helper()
	var wrong atomic.Int64
	var running sync.WaitGroup
	upload := post("/a", strings.Repeat("x", 1500<<10))
	for range callsTogether {
		running.Go(func() {
			if got, err := call(t, server, upload); !wanted(got, err) {
				t.Logf("status %d, %.40q, error %v", got.status, got.body, err)
				wrong.Add(1)
			}
		})
	}
	running.Wait()
	return wrong.Load()
}

// startReader starts an entry host in front of a service that reads heads alone, for calls that must not repeat.
func startReader(t *testing.T, respond func(*service, net.Conn, *http.Request, int)) *httptest.Server {
	t.Helper()
	options := loggedOptions(nil)
	options.slots = 1000
	return options.start(t, route(routing.RepeatNever), newHeadReader(t, respond)).server
}

// Guards against the same on sockets, where it is a race, through a whole entry host.
func TestManyAnswersCutInTheirUploadsAreBrokenAnswers(t *testing.T) {
	const rounds, pause = 6, 4 * time.Millisecond
	for name, fields := range map[string]string{"plain": "", "events": "Content-Type: text/event-stream\r\n"} {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int64
			server := startReader(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
				number := sends.Add(1)
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nMark: m\r\nCall-Id: %s\r\n%s\r\ndata: part\n\n", request.Header.Get("Call-Id"), fields)
				if number%4 == 0 {
					time.Sleep(time.Duration(number%callsTogether) * pause)
				}
				if number%2 == 0 {
					_ = connection.(*net.TCPConn).SetLinger(0)
				}
			})
			var wrong int64
			for range rounds {
				wrong += callsAtOnce(t, server, func(got answer, err error) bool { return err == nil && got.status == http.StatusBadGateway })
			}
			if wrong > 0 || sends.Load() != rounds*callsTogether {
				t.Errorf("%d calls got no 502, %d sends; want none, and one send a call", wrong, sends.Load())
			}
		})
	}
}

// Guards against a refusal with a length that is lost, or a call that is said to have an unknown outcome, since the
// endpoint refuses the upload early and ends the connection with bytes unread.
func TestEarlyRefusalsReachTheirCallers(t *testing.T) {
	for name, test := range map[string]struct {
		status, field, wantBody string
		wantStatus              int
	}{
		"too large": {"413 Content Too Large", "Mark: m", "body", 413},
		"full":      {"503 Service Unavailable", "Mark: m", "body", 503},
		"not run":   {"503 Service Unavailable", "Not-Run: 1", "", 503},
	} {
		t.Run(name, func(t *testing.T) {
			server := startReader(t, func(_ *service, connection net.Conn, request *http.Request, _ int) {
				reply(connection, request, test.status, "body", test.field, "Connection: close")
			})
			wrong := callsAtOnce(t, server, func(got answer, err error) bool {
				return err == nil && got.status == test.wantStatus && (test.wantBody == "" || got.body == test.wantBody)
			})
			if wrong > 0 {
				t.Errorf("%d refusals are lost, want none", wrong)
			}
		})
	}
}
