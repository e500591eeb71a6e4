package rest_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/cutconn"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/memory"
)

// Guards against a part of a peer's answer that counts as the whole, since the peer reset the connection while a long
// message was being written to it (issue 61).
func TestCutAnswerOfAPeerIsAnError(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		for _, body := range []string{"", `{"text":"a`, `{"text":"a"`, `{"error":{"outcome":"not_run"}`} {
			for _, how := range []cutconn.How{cutconn.WriteFails, cutconn.WriteFailsLater} {
				t.Run(status+" "+body+" "+string(how), func(t *testing.T) {
					t.Parallel()
					endings := cutconn.Endings{How: how, Answer: func(*http.Request) string {
						return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n\r\n" + body
					}}
					client := rest.NewClient(&http.Client{Transport: &http.Transport{DialContext: endings.Dial}}, "")
					account := memory.New(memory.Config{Memory: 32 << 20})
					for name, client := range map[string]*rest.Client{"plain": client, "charged": client.Charged(account, time.Now)} {
						var answer message
						err := client.Send(t.Context(), http.MethodPost, "http://127.0.0.1:9", "/", message{strings.Repeat("x", 1<<20)}, &answer)
						if failure := (*rest.Error)(nil); err == nil || errors.As(err, &failure) && failure.Outcome == rest.OutcomeNotRun {
							t.Errorf("%s: %+v, error %v; want that the message may have run", name, answer, err)
						}
					}
				})
			}
		}
	}
}
