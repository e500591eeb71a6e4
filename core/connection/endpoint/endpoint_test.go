package endpoint_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/endpoint"
)

const (
	pieces = 6
	// pause is longer than the idle timeout of the transports.
	pause, idleTimeout = 60 * time.Millisecond, 20 * time.Millisecond
)

// newTransport returns a transport whose idle connections end soon.
func newTransport(t *testing.T, readerBoundsStreams bool) *endpoint.Transport {
	transport := endpoint.New(endpoint.Config{
		Dial: (&net.Dialer{}).DialContext, MaxIdlePerHost: 1, IdleTimeout: idleTimeout, IDHeader: idHeader, ReaderBoundsStreams: readerBoundsStreams,
	})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func get(transport *endpoint.Transport, url string) (string, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return "", err
	}
	request.Header.Set("Accept", "text/event-stream")
	request.Header.Set(idHeader, "c1")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a transport that closes a connection in use: when it drops idle ones, or
// when an answer pauses for longer than idle ones are kept.
func TestConnectionInUseIsNotIdle(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(idHeader, request.Header.Get(idHeader))
		for range pieces {
			time.Sleep(pause)
			_, _ = io.WriteString(writer, "x")
			_ = http.NewResponseController(writer).Flush()
		}
	}))
	defer server.Close()
	transport := newTransport(t, false)
	var reader sync.WaitGroup
	reader.Go(func() {
		if body, err := get(transport, server.URL); err != nil || body != strings.Repeat("x", pieces) {
			t.Errorf("%q, %v", body, err)
		}
	})
	for range pieces {
		time.Sleep(pause / 2)
		transport.CloseIdleConnections()
	}
	reader.Wait()
}

// Guards against a bound on the bytes of a stream that its reader bounds, and against an
// answer of another kind, or of another request, without one.
func TestOnlyStreamsOfOwnBoundAreUnbounded(t *testing.T) {
	const total = endpoint.MaxAnswerBytes + 1<<20
	block := strings.Repeat("x", 1<<20)
	tests := []struct {
		contentType         string
		readerBoundsStreams bool
		whole               bool
	}{
		{"text/event-stream", true, true},
		{"text/event-stream", false, false},
		{"application/json", true, false},
	}
	for _, test := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Type", test.contentType)
			for range total / len(block) {
				_, _ = io.WriteString(writer, block)
			}
		}))
		body, err := get(newTransport(t, test.readerBoundsStreams), server.URL)
		if whole := err == nil && len(body) == total; whole != test.whole || !whole && !errors.Is(err, endpoint.ErrTooLarge) {
			t.Errorf("%+v: %d bytes, %v", test, len(body), err)
		}
		server.Close()
	}
}
