package node_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/go-faster/errors"

	"carobline.dev/caroblined/connection/hostapi"
	"carobline.dev/caroblined/process/node"
	"carobline.dev/core/connection/rest"
	"carobline.dev/core/process/action"
)

// orderAnswer is a host's answer to an order. It names no request, since orders have no id.
func orderAnswer(status string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
}

// orderHost is a host that gives its orders one answer after another. On a connection that it
// has answered on, it writes the answer to the order before once more, ahead of the own one.
type orderHost struct {
	listener    net.Listener
	answers     []string
	mutex       sync.Mutex
	orders      int
	connections sync.WaitGroup
}

func newOrderHost(t *testing.T, statuses ...string) *orderHost {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	host := &orderHost{listener: listener}
	for _, status := range statuses {
		host.answers = append(host.answers, orderAnswer(status))
	}
	host.connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			host.connections.Go(func() { host.serve(connection) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		host.connections.Wait()
	})
	return host
}

func (host *orderHost) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader, last := bufio.NewReader(connection), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		host.mutex.Lock()
		own := host.answers[host.orders]
		host.orders++
		host.mutex.Unlock()
		if _, err := io.WriteString(connection, last+own); err != nil || request.Close {
			return
		}
		last = own
	}
}

// sendTwo sends two orders as a node does and returns how the second one ended.
func (host *orderHost) sendTwo(t *testing.T) error {
	t.Helper()
	send, closeIdle := node.OrderSender(node.Config{SendOrder: func(ctx context.Context, client *http.Client, order action.Order) error {
		return hostapi.SendOrder(ctx, rest.NewClient(client, ""), order)
	}})
	t.Cleanup(closeIdle)
	order := action.Order{Host: "h1", Address: host.listener.Addr().String(), Kind: action.OrderUnload, Group: "g1", Number: 1}
	// What becomes of the first order is no matter of this test.
	_ = send(t.Context(), order)
	order.Number++
	return send(t.Context(), order)
}

// Guards against an order that counts as begun though its host refused it, since the host wrote
// the answer to the order before once more.
func TestCopiedAnswerToAnOrderBeginsNoOther(t *testing.T) {
	for _, earlier := range []string{"202 Accepted", "200 OK"} {
		for _, own := range []string{"409 Conflict", "412 Precondition Failed", "421 Misdirected Request"} {
			t.Run(earlier+", "+own, func(t *testing.T) {
				if err := newOrderHost(t, earlier, own).sendTwo(t); err == nil {
					t.Errorf("the order counts as carried out by the copy of %s; its own answer is %s", earlier, own)
				}
			})
		}
	}
}

// Guards against an order that counts as refused though its host has begun it, since the host
// wrote the refusal of the order before once more.
func TestCopiedRefusalOfAnOrderRefusesNoOther(t *testing.T) {
	for _, earlier := range []string{"409 Conflict", "412 Precondition Failed", "421 Misdirected Request"} {
		for _, own := range []string{"202 Accepted", "200 OK"} {
			t.Run(earlier+", "+own, func(t *testing.T) {
				err := newOrderHost(t, earlier, own).sendTwo(t)
				if refusal := (*rest.Error)(nil); errors.As(err, &refusal) {
					t.Errorf("%v; the order's own answer is %s", err, own)
				}
			})
		}
	}
}
