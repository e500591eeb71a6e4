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
	"strings"
	"time"
)

// slashPath lets a configuration add a route for all paths, while clients send paths that begin with two slashes.
func slashPath(ctx context.Context, trial *trial) error {
	cluster := trial.cluster
	if err := trial.start(ctx, 5, 1, 2, 1); err != nil {
		return err
	}
	if trial.trouble {
		text := strings.Replace(configuration(2, 1000), `{"name":"r-commit"`, rootRouteText+`{"name":"r-commit"`, 1)
		status, by := cluster.callAny(ctx, 0, http.MethodPost, cluster.names.ReplacePath, []byte(text))
		trial.record.add("configured", "version", 2, "adds", "r-root", "status", status, "by", by)
		if status != http.StatusOK {
			return fmt.Errorf("the configuration is answered %d", status)
		}
		sleep(ctx, applyTime)
	}
	for number, target := range []string{"/commit/a?b=c", "/a//b", "//book/a", "//shop.example/commit/a?b=c", "///a"} {
		id := fmt.Sprintf("%016x", rand.Uint64())
		status, err := cluster.send(ctx, cluster.fronts[0], id, target, fmt.Sprintf("body %d", number))
		trial.record.add("answer", "request", id, "sent", target, "status", status, "error", fmt.Sprint(err))
		got, ran := trial.fabric.targetOf(id)
		if !ran {
			continue
		}
		trial.record.add("arrived", "request", id, "sent", target, "got", got.target, "host", got.host)
		if got.target != target || got.host != "shop.example" {
			trial.breaks("UNASKED", fmt.Sprintf("the request for %s at shop.example runs as one for %s at %s", target, got.target, got.host))
		}
	}
	return nil
}

// send sends a request with a target as it is, and returns the status of its answer.
func (cluster *cluster) send(ctx context.Context, front *node, id, target, body string) (int, error) {
	dialer := net.Dialer{Timeout: time.Second}
	connection, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(front.ip, strconv.Itoa(cluster.callerPort)))
	if err != nil {
		return 0, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 1000\r\nContent-Length: %d\r\n\r\n%s", target, cluster.names.RequestID, id, cluster.names.TimeLeft, len(body), body)
	if err != nil {
		return 0, fmt.Errorf("send: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, fmt.Errorf("read: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
