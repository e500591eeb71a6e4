package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// optionsAll sends requests of the method OPTIONS for all of a server, whose target is an asterisk.
func optionsAll(ctx context.Context, trial *trial) error {
	if err := trial.start(ctx, 5, 1, 2, 1); err != nil {
		return err
	}
	target := "/lookup/a"
	if trial.trouble {
		target = "*"
	}
	for range 5 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		answered, err := trial.cluster.options(ctx, trial.cluster.fronts[0], id, target)
		if err != nil {
			return err
		}
		ran := trial.fabric.runsOf(id)
		trial.record.add("answer", "request", id, "method", http.MethodOptions, "target", target, "status", answered.status, "sealed", answered.sealed, "runs", ran)
		if answered.status >= 200 && answered.status < 300 && !answered.sealed {
			trial.breaks("MIXED", fmt.Sprintf("OPTIONS %s is answered %d without a seal; it ran %d times", target, answered.status, ran))
		}
	}
	return nil
}

// options sends a request of the method OPTIONS with a target as it is.
func (cluster *cluster) options(ctx context.Context, front *node, id, target string) (call, error) {
	dialer := net.Dialer{Timeout: time.Second}
	connection, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(front.ip, strconv.Itoa(cluster.callerPort)))
	if err != nil {
		return call{}, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = fmt.Fprintf(connection, "OPTIONS %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 1000\r\nContent-Length: 0\r\n\r\n", target, cluster.names.RequestID, id, cluster.names.TimeLeft)
	if err != nil {
		return call{}, fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return call{}, fmt.Errorf("read: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return call{id: id, status: response.StatusCode, sealed: response.Header.Get(cluster.names.Seal) != ""}, err
}
