package endpoint_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"carobline.dev/core/connection/endpoint"
)

// Guards against a request that can't be written, and closes the unused connections one after another.
func TestInvalidRequestClosesNoUnusedConnections(t *testing.T) {
	var together sync.WaitGroup
	together.Add(2)
	url := newAnswering(t, func(number int, request *http.Request) string {
		if number == 1 {
			together.Done()
			together.Wait()
		}
		return answerWith("200 OK", "done", idHeader+": "+request.Header.Get(idHeader))
	})
	transport := newKeeping(t)
	var sends sync.WaitGroup
	for number := range 2 {
		sends.Go(func() { _, _ = sendCopied(t, transport, url, strconv.Itoa(number)) })
	}
	sends.Wait()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(idHeader, "r1")
	request.Header.Set("Invalid", "a\nb")
	response, err := transport.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
	}
	if kept := endpoint.Kept(transport); !endpoint.Unsent(err) || kept == 0 {
		t.Errorf("%v, %d connections kept; want that nothing was sent, and a connection", err, kept)
	}
}
