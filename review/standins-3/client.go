package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// call is one request of a client and its answer.
type call struct {
	id     string
	status int
	sealed bool
	body   string
	err    error
}

// request sends one request to a front, on a new connection.
func (cluster *cluster) request(ctx context.Context, front *node, method, path, body string, timeLeft time.Duration, header map[string]string) call {
	made := call{id: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", front.ip, cluster.callerPort, path), strings.NewReader(body))
	if err != nil {
		made.err = err
		return made
	}
	request.Host = "shop.example"
	request.Header.Set(cluster.names.RequestID, made.id)
	request.Header.Set(cluster.names.TimeLeft, fmt.Sprint(timeLeft.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		made.err = err
		return made
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	made.status, made.sealed, made.body, made.err = response.StatusCode, response.Header.Get(cluster.names.Seal) != "", string(data), err
	return made
}

// digest sends a request to the model engines.
func (cluster *cluster) digest(ctx context.Context, front *node) call {
	return cluster.request(ctx, front, http.MethodPost, "/digest/a", "prompt", 8*time.Second, map[string]string{cluster.names.Model: "ma", cluster.names.Tokens: "1460,80"})
}
