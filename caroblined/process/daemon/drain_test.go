package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a stop that cuts an answer that its caller reads slowly: a call to a
// service has ended for the dispatcher before its answer is written.
func TestStopWaitsUntilAnswersAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, nil)
		defer system.close()
		connection, err := system.network.dial(context.Background(), "tcp", "127.0.0.1:10")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		if _, err := io.WriteString(connection, "GET /services/orders/stock HTTP/1.1\r\nHost: n0\r\nAuthorization: Bearer acme-token\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		system.nodes[0].stop()
		time.Sleep(3 * time.Second)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if body, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("status %d, %q, %v", response.StatusCode, body, err)
		}
	})
}
