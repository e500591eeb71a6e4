package entryapi_test

import (
	"fmt"
	"net/http"
	"strings"
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
				entryHost := entryHostOptions{entryHosts: 1, leaseUntil: time.Now().Add(time.Hour), savedRetries: savedRetries, log: log, dial: endings.Dial}.start(t, test.route, newService(t, respondDone), newService(t, respondDone))
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
