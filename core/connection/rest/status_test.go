package rest_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/rest"
	"carobline.dev/core/connection/status"
)

// wantBrokenPeer checks that an answer of a peer is an error, for messages and for resources. The head begins with the
// status, and may have lines after it.
func wantBrokenPeer(t *testing.T, head string, want error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{}", head)
		_ = connection.Close()
	}))
	defer server.Close()
	var answer struct{}
	client := rest.NewClient(server.Client(), "")
	if err := client.Send(t.Context(), http.MethodPost, server.URL, "/", struct{}{}, &answer); !errors.Is(err, want) {
		t.Errorf("sent: error %v, want %v", err, want)
	}
	if err := client.Get(t.Context(), server.URL, "/", &answer); !errors.Is(err, want) {
		t.Errorf("got: error %v, want %v", err, want)
	}
}

// Guards against a peer's invalid status that counts as success, or that is passed on to an
// operator.
func TestInvalidStatusOfAPeerIsAnError(t *testing.T) {
	for _, text := range []string{"000", "001", "020", "099", "600", "999"} {
		t.Run(text, func(t *testing.T) { wantBrokenPeer(t, text+" Odd\r\nContent-Length: 2", status.ErrInvalid) })
	}
}
