package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against heads of requests that are bounded one by one and whose sum isn't (issue 39): 400 heads of 60 kB that
// don't end take more than a process of 64 MB may give one address.
func TestHeadsThatDoNotEndStayWithinTheMemory(t *testing.T) {
	const (
		heads, headBytes = 400, 60_000
		// parsedFactor times a head's bytes is what it takes, and maxHeld what the account of 64 MB gives out.
		parsedFactor = 2
		maxHeld      = 64 << 20 * 40 / 100
	)
	synctest.Test(t, func(t *testing.T) {
		system := newSystem(t, 2, nil)
		defer system.close()
		system.nodes[0].stop()
		<-system.nodes[0].stopped
		system.nodes[0].settings.Limits.MemoryMB = 64
		system.start(0)
		system.waitUntil("node 0 serves again", func() bool {
			return system.call(context.Background(), 0, http.MethodGet, "/services/orders/stock", "acme-token", nil, "").status == http.StatusOK
		})
		var refused atomic.Int64
		var connections []net.Conn
		for range heads {
			connection, err := system.network.dial(context.Background(), "tcp", "127.0.0.1:10")
			if err != nil {
				t.Fatal(err)
			}
			connections = append(connections, connection)
			go func() { _, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", headBytes)) }()
			go func() {
				response, err := http.ReadResponse(bufio.NewReader(connection), nil)
				if err != nil {
					return
				}
				_ = response.Body.Close()
				if response.StatusCode == http.StatusServiceUnavailable && response.Close {
					refused.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
		if held := (heads - refused.Load()) * headBytes * parsedFactor; held > maxHeld || held < maxHeld/4 {
			t.Errorf("%d of %d heads are refused, so that %d bytes are held; want a quarter to all of %d", refused.Load(), heads, held, maxHeld)
		}
		if got := system.call(context.Background(), 0, http.MethodGet, "/services/orders/stock", "acme-token", nil, ""); got.status != http.StatusOK {
			t.Errorf("a sound call beside them: status %d, want 200", got.status)
		}
		for _, connection := range connections {
			_ = connection.Close()
		}
	})
}
