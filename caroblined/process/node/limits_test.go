package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"carobline.dev/core/process/register"
	"carobline.dev/core/process/wal"
	"carobline.dev/core/version/routing"
)

// Guards against declared limits that have no effect, also on connections that were open before the
// declaration (issue 39).
func TestDeclaredLimitsOfCallersAreInForce(t *testing.T) {
	t.Parallel()
	system := newSystem(t, wal.OS())
	dial := func() *connection {
		connection, err := system.dial()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		return connection
	}
	call := func(connection *connection, headerBytes int) (reply, error) {
		text := strings.Replace(head("/safe/x", "c", time.Minute, 0), "\r\n\r\n", "\r\nX: "+strings.Repeat("x", headerBytes)+"\r\n\r\n", 1) + "0s"
		if err := connection.send(text); err != nil {
			return reply{}, err
		}
		return connection.read()
	}
	kept, slow := dial(), dial()
	if got, err := call(kept, 40_000); err != nil || got.status != http.StatusOK {
		t.Fatalf("a head of 40 kB without declared limits: %+v, error %v; want it served", got, err)
	}
	limits := routing.Limits{HeaderBytes: 16 << 10, HeaderTimeoutMS: 500, IdleTimeoutMS: 2000}
	if result := system.declareLimits(2, limits); result == nil || result.Verdict == register.VerdictRefused {
		t.Fatalf("declare: %+v", result)
	}
	time.Sleep(500 * time.Millisecond)
	if got, err := call(kept, 10_000); err != nil || got.status != http.StatusOK {
		t.Errorf("a head of 10 kB on an open connection: %+v, error %v; want it served", got, err)
	}
	idleAt := time.Now()
	if err := slow.send("POST /safe/x HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := slow.read(); err != nil || got.status != http.StatusRequestTimeout || !got.closes {
		t.Errorf("a head that doesn't end: %+v, error %v; want 408 and the connection closed", got, err)
	}
	if elapsed := time.Since(idleAt); elapsed < 500*time.Millisecond || elapsed > 1500*time.Millisecond {
		t.Errorf("a head that doesn't end has its answer after %v, want 500 ms", elapsed)
	}
	if got, err := call(dial(), 40_000); err != nil || got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head of 40 kB: %+v, error %v; want 431", got, err)
	}
	if _, err := kept.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection: error %v, want it closed", err)
	}
	if elapsed := time.Since(idleAt); elapsed < 1900*time.Millisecond || elapsed > 3*time.Second {
		t.Errorf("an idle connection is closed after %v, want 2 s", elapsed)
	}
}
