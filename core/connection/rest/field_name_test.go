package rest_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"

	"carobline.dev/core/connection/fieldname"
	"carobline.dev/core/connection/rest"
)

// Guards against an answer of a peer in whose head the name of a field holds a blank, and that counts as one.
func TestBlankInAFieldsNameOfAPeerIsAnError(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				connection, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length : 2\r\nConnection: close\r\n\r\n{}", status)
				_ = connection.Close()
			}))
			defer server.Close()
			var answer struct{}
			client := rest.NewClient(server.Client(), "")
			if err := client.Send(t.Context(), http.MethodPost, server.URL, "/", struct{}{}, &answer); !errors.Is(err, fieldname.ErrInvalid) {
				t.Errorf("sent: error %v, want %v", err, fieldname.ErrInvalid)
			}
			if err := client.Get(t.Context(), server.URL, "/", &answer); !errors.Is(err, fieldname.ErrInvalid) {
				t.Errorf("got: error %v, want %v", err, fieldname.ErrInvalid)
			}
		})
	}
}
