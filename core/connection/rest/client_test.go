package rest_test

import (
	"context"
	"net"
	"testing"
	"time"

	"carobline.dev/core/connection/rest"
)

// Guards against a paused host that is taken for lost: connections to its address are still
// opened, while those to one that has ended aren't.
func TestPausedHostIsReachedAndEndedOneIsNot(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var dialer net.Dialer
	if err := rest.Reach(ctx, dialer.DialContext, listener.Addr().String()); err != nil {
		t.Errorf("a host that accepts no connection yet isn't reached: %v", err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if err := rest.Reach(ctx, dialer.DialContext, listener.Addr().String()); !rest.DialFailed(err) {
		t.Errorf("a host that has ended is reached: %v", err)
	}
}
